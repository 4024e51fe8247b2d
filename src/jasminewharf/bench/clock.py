"""The event queue of virtual time."""

import heapq
from collections.abc import Callable
from typing import Any

__all__ = ["Clock"]


class Clock:
    """Runs callbacks in the order of their virtual times.

    Attributes:
        now: Virtual time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = 0

    def call_at(self, when: float, function: Callable[..., None], *args: Any) -> None:
        """Run ``function(*args)`` at a time; a time in the past means now."""
        self._serial += 1
        entry = (max(when, self.now), self._serial, function, args)
        heapq.heappush(self._queue, entry)

    def call_in(self, delay: float, function: Callable[..., None], *args: Any) -> None:
        """Run ``function(*args)`` after a delay in seconds."""
        self.call_at(self.now + delay, function, *args)

    def run(self, until: float) -> None:
        """Run everything up to a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self._queue)
            function(*args)
        self.now = until
