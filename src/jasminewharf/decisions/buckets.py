"""Token buckets and a meter of recent demand."""

import math
from typing import NamedTuple

__all__ = ["DemandMeter", "RateLimits", "TokenBucket"]


class RateLimits(NamedTuple):
    """Limits of an account: tokens per second and the burst in tokens."""

    rate: float
    burst: int


class TokenBucket:
    """A token bucket whose level and outstanding tokens together stay in the burst.

    Args:
        limits: Rate and burst.
        level: Tokens at the start.
        now: Monotonic seconds.
    """

    __slots__ = ("level", "limits", "updated_at")

    def __init__(self, limits: RateLimits, level: float, now: float) -> None:
        self.limits = limits
        self.level = level
        self.updated_at = now

    def accrue(self, now: float, outstanding: int = 0) -> None:
        """Refill up to ``now``; keep level plus ``outstanding`` within the burst."""
        elapsed = now - self.updated_at
        if elapsed <= 0:
            return
        self.updated_at = now
        self.put(elapsed * self.limits.rate, outstanding)

    def put(self, tokens: float, outstanding: int = 0) -> None:
        """Add tokens and discard those that exceed the burst."""
        room = max(0.0, self.limits.burst - outstanding - self.level)
        self.level += min(tokens, room)

    def take(self, tokens: int) -> None:
        """Remove tokens; the caller checks that the level suffices."""
        self.level -= tokens

    def change_limits(self, limits: RateLimits, outstanding: int = 0) -> None:
        """Apply new limits and cap the level to the new burst."""
        self.limits = limits
        self.level = min(self.level, max(0.0, limits.burst - outstanding))

    def seconds_until(self, tokens: int) -> float:
        """Return the seconds until the level reaches ``tokens``; infinity if never."""
        if tokens <= self.level:
            return 0.0
        if tokens > self.limits.burst or self.limits.rate <= 0:
            return math.inf
        return (tokens - self.level) / self.limits.rate


class DemandMeter:
    """Exponentially weighted moving rate of charged tokens.

    Args:
        time_constant_s: Age at which a charge's weight has decayed to 1/e.
    """

    __slots__ = ("_sum", "_time_constant_s", "_updated_at")

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._sum = 0.0
        self._updated_at = -math.inf

    def add(self, tokens: int, now: float) -> None:
        """Add a charge of ``tokens``."""
        self._sum = self._decayed_sum(now) + tokens
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the recent demand in tokens per second."""
        return self._decayed_sum(now) / self._time_constant_s

    def _decayed_sum(self, now: float) -> float:
        if self._sum == 0.0:
            return 0.0
        age = max(0.0, now - self._updated_at)
        return self._sum * math.exp(-age / self._time_constant_s)
