"""How much the requests that wait for a model are worth when it is loaded now."""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Wait", "weigh_waits"]

# A late answer is worth about a fifth of one in time to its caller.
_LATE_WEIGHT = 0.2
# Part of a caller's patience after which a late request counts in full again, so that
# newer requests do not keep it waiting until its caller leaves.
_OVERDUE_PART = 0.6


class Wait(NamedTuple):
    """A waiting request: when it began, its target, when its caller leaves."""

    since: float
    target_s: float
    leaves_at: float


def weigh_waits(waits: Iterable[Wait], ready_s: float, now: float) -> float:
    """Return the sum of the requests' weights.

    Args:
        waits: Requests for one model.
        ready_s: Seconds until a load that is ordered now is done.
        now: Monotonic seconds.
    """
    return sum(_weigh(wait, ready_s, now) for wait in waits)


def _weigh(wait: Wait, ready_s: float, now: float) -> float:
    age_s = now - wait.since
    if age_s + ready_s <= wait.target_s:
        return 1.0
    patience_s = wait.leaves_at - wait.since
    return 1.0 if age_s > patience_s * _OVERDUE_PART else _LATE_WEIGHT
