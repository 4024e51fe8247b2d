"""Checkers over recorded histories of rate accounts."""

import math
from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from ..decisions.buckets import RateLimits

__all__ = ["LimitsTimeline", "Overshoot", "Spending", "find_overshoot"]

# Levels are sums of floats; a millionth of a token is rounding.
_TOLERANCE_TOKENS = 1e-6


class Spending(NamedTuple):
    """Tokens that a call truly spent, at the true time of its charge."""

    at: float
    tokens: int


class Overshoot(NamedTuple):
    """A window that holds more than burst + rate x window."""

    at: float
    tokens: float


class LimitsTimeline:
    """The limits in force over time.

    Args:
        limits: Limits at the start.
        grace_s: How long grants from before a lowered burst stay valid.
    """

    def __init__(self, limits: RateLimits, grace_s: float) -> None:
        self._times = [-math.inf]
        self._limits = [limits]
        self._grace_s = grace_s

    def change(self, at: float, limits: RateLimits) -> None:
        """Note a change; times must not decrease."""
        self._times.append(at)
        self._limits.append(limits)

    def burst_at(self, at: float) -> int:
        """Return the largest burst that may count at a time."""
        first = bisect_right(self._times, at - self._grace_s) - 1
        last = bisect_right(self._times, at)
        return max(limits.burst for limits in self._limits[first:last])

    def refill_between(self, start: float, end: float) -> float:
        """Return the integral of the rate."""
        total = 0.0
        for index, begins in enumerate(self._times):
            ends = self._times[index + 1] if index + 1 < len(self._times) else math.inf
            span = min(end, ends) - max(start, begins)
            if span > 0:
                total += span * self._limits[index].rate
        return total


def find_overshoot(
    history: Iterable[Spending], timeline: LimitsTimeline
) -> Overshoot | None:
    """Return the worst overshoot of any window, or None.

    A token bucket that starts full and is never overdrawn is equivalent to the
    bound on all windows.
    """
    worst: Overshoot | None = None
    level = math.inf
    last = -math.inf
    for at, tokens in sorted(history):
        burst = timeline.burst_at(at)
        refill = timeline.refill_between(last, at) if last > -math.inf else 0.0
        level = min(burst, level + refill) - tokens
        last = at
        if level < -_TOLERANCE_TOKENS and (worst is None or -level > worst.tokens):
            worst = Overshoot(at, -level)
    return worst
