"""Weights of the requests that wait for a model, used to order loads."""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = [
    "WaitingRequest",
    "is_expected_too_late",
    "weigh_refused_callers",
    "weigh_waiting_requests",
]

# Weight of a request that misses its target, relative to one in time.
_LATE_WEIGHT = 0.2
# Share of a caller's patience after which a late request has full weight again, so that
# newer requests do not starve it.
_OVERDUE_SHARE = 0.6
# Factor on the estimated queueing time: more urgent models overtake, and busy models
# are evicted late.
_QUEUE_DELAY_FACTOR = 2.0


class WaitingRequest(NamedTuple):
    """A waiting request: its start, its target and when its caller gives up."""

    since: float
    target_s: float
    leaves_at: float


def weigh_waiting_requests(
    waits: Iterable[WaitingRequest], ready_s: float, now: float
) -> float:
    """Return the sum of the requests' weights.

    Args:
        waits: Requests for one model.
        ready_s: Seconds until a load that is ordered now is done.
        now: Monotonic seconds.
    """
    return sum(_weigh(wait, ready_s, now) for wait in waits)


def weigh_refused_callers(callers: int) -> float:
    """Return the weight of recently refused callers of one model.

    A single caller is late when it retries. Several callers show steady demand, so
    that a load would serve as many others in time.
    """
    return max(callers - 1, 0) + _LATE_WEIGHT * min(callers, 1)


def is_expected_too_late(
    wait: WaitingRequest, ready_s: float, load_s: float, now: float
) -> bool:
    """Return whether a caller is expected to give up before its model is ready.

    Args:
        wait: The request.
        ready_s: The estimate for its model.
        load_s: The part of it that the load itself takes.
        now: Monotonic seconds.
    """
    queue_s = max(ready_s - load_s, 0.0)
    return now + load_s + queue_s * _QUEUE_DELAY_FACTOR > wait.leaves_at


def _weigh(wait: WaitingRequest, ready_s: float, now: float) -> float:
    age_s = now - wait.since
    if age_s + ready_s <= wait.target_s:
        return 1.0
    patience_s = wait.leaves_at - wait.since
    return 1.0 if age_s > patience_s * _OVERDUE_SHARE else _LATE_WEIGHT
