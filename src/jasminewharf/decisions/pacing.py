"""Pacing rules that rate-limit loads from the weight store."""

from collections.abc import Callable
from typing import Protocol

from .. import defaults
from ..registry import lookup, register

__all__ = ["PACING_RULES", "PacingRule", "create_pacing_rule"]


class PacingRule(Protocol):
    """A rule that decides when the next load may start.

    Attributes:
        per_host: Whether the decision depends on the host.
    """

    per_host: bool

    def earliest(self, host: str, running: int, now: float) -> float:
        """Return the earliest time at which a load may start.

        Args:
            host: The host of the load.
            running: Number of loads in progress in the fleet.
            now: Current time in seconds.
        """

    def note_start(self, host: str, now: float) -> None:
        """Record the start of a load."""

    def note_end(self, host: str, slowdown: float, failed: bool, now: float) -> None:
        """Record the end of a load.

        Args:
            host: The host of the load.
            slowdown: Its duration divided by the nominal duration.
            failed: Whether it failed.
            now: Current time in seconds.
        """


PACING_RULES: dict[str, Callable[[float, int], PacingRule]] = {}


def create_pacing_rule(name: str, loads_per_s: float, burst: int) -> PacingRule:
    """Create the pacing rule called ``name``.

    Args:
        name: A name in ``PACING_RULES``.
        loads_per_s: Rate limit of the store.
        burst: Maximum number of concurrent loads.

    Raises:
        UnknownRegistration: If there is no such rule.
    """
    return lookup(PACING_RULES, name)(loads_per_s, burst)


class _Bucket:
    """A token bucket with a variable rate."""

    def __init__(self, rate: float, burst: int) -> None:
        self.rate = rate
        self._burst = float(burst)
        self._level = float(burst)
        self._at = float("-inf")

    def refill(self, now: float) -> None:
        if now > self._at:
            gained = (now - self._at) * self.rate
            self._level = min(self._burst, self._level + gained)
            self._at = now

    def earliest(self, now: float) -> float:
        self.refill(now)
        if self._level >= 1 - 1e-9:
            return now
        return now + (1 - self._level) / self.rate

    def take(self, now: float) -> None:
        self.refill(now)
        self._level -= 1


@register(PACING_RULES, "token-bucket")
class TokenBucketRule:
    """A fixed rate that does not react to slow or failed loads."""

    per_host = False

    def __init__(self, loads_per_s: float, burst: int) -> None:
        # The bucket holds one token, because a burst in addition to the refill of
        # one second would exceed the store's limit on starts per second.
        del burst
        self._bucket = _Bucket(loads_per_s, 1)

    def earliest(self, host: str, running: int, now: float) -> float:
        """Return the time at which the bucket holds a whole token."""
        return self._bucket.earliest(now)

    def note_start(self, host: str, now: float) -> None:
        """Take one token from the bucket."""
        self._bucket.take(now)

    def note_end(self, host: str, slowdown: float, failed: bool, now: float) -> None:
        """Do nothing; the rate is fixed."""


@register(PACING_RULES, "aimd")
class AdditiveIncreaseRule:
    """Additive increase and multiplicative decrease of rate and concurrency.

    A load that fails or takes longer than ``PACING_SLOW_FACTOR`` times its nominal
    duration multiplies the rate and the concurrency by ``PACING_DECREASE_FACTOR``.
    This happens at most once per ``PACING_DECREASE_HOLD_S``, because concurrent loads
    report the same congestion. A load that ends in time increases both.
    """

    per_host = False

    def __init__(self, loads_per_s: float, burst: int) -> None:
        self._bucket = _Bucket(loads_per_s, 1)
        self._most = loads_per_s
        self._most_at_once = float(burst)
        self._at_once = float(burst)
        self._held_until = float("-inf")

    def earliest(self, host: str, running: int, now: float) -> float:
        """Return the time at which the current rate and concurrency allow a load."""
        if running >= max(1, int(self._at_once)):
            return float("inf")
        return self._bucket.earliest(now)

    def note_start(self, host: str, now: float) -> None:
        """Take one token from the bucket."""
        self._bucket.take(now)

    def note_end(self, host: str, slowdown: float, failed: bool, now: float) -> None:
        """Increase the rate and concurrency after a timely load, else decrease them."""
        self._bucket.refill(now)
        if not failed and slowdown <= defaults.PACING_SLOW_FACTOR:
            raised = self._bucket.rate + defaults.PACING_INCREASE_LOADS_PER_S
            self._bucket.rate = min(self._most, raised)
            step = 1 / max(1.0, self._at_once)
            self._at_once = min(self._most_at_once, self._at_once + step)
        elif now >= self._held_until:
            lowered = self._bucket.rate * defaults.PACING_DECREASE_FACTOR
            self._bucket.rate = max(defaults.PACING_MIN_LOADS_PER_S, lowered)
            self._at_once = max(1.0, self._at_once * defaults.PACING_DECREASE_FACTOR)
            self._held_until = now + defaults.PACING_DECREASE_HOLD_S
