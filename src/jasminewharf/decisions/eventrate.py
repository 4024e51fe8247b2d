"""An event rate with exponential decay."""

import math

__all__ = ["EventRate"]


class EventRate:
    """Exponentially weighted moving rate of events per second.

    Args:
        window_s: Time constant of the decay, in seconds.
    """

    __slots__ = ("_at", "_rate", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._rate = 0.0
        self._at = 0.0

    def add(self, count: int, now: float) -> None:
        """Count events."""
        self._rate = self.read(now) + count / self._window_s
        self._at = now

    def read(self, now: float) -> float:
        """Return the rate in events per second."""
        idle_s = now - self._at
        rate = self._rate * math.exp(-idle_s / self._window_s)
        # After a window without events, the time since the last one bounds the rate.
        return min(rate, 1 / idle_s) if idle_s > self._window_s else rate
