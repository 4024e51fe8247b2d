"""A priority queue whose entries can be updated and removed."""

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["KeyedHeap"]

_K = TypeVar("_K", bound=Hashable)

_COMPACT_SLACK = 64


class KeyedHeap(Generic[_K]):
    """Keys ordered by a float priority, and by insertion order if equal.

    Every operation takes amortised O(log n). An updated or removed entry stays in the
    heap until it reaches the top. The heap is rebuilt when more than half of it is
    stale, so that its size stays proportional to the number of keys.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, _K]] = []
        self._current: dict[_K, tuple[float, int]] = {}
        self._counter = 0

    def __len__(self) -> int:
        return len(self._current)

    def __contains__(self, key: _K) -> bool:
        return key in self._current

    def set(self, key: _K, priority: float) -> None:
        """Insert ``key`` or update its priority."""
        known = self._current.get(key)
        if known is not None and known[0] == priority:
            return
        self._counter += 1
        self._current[key] = (priority, self._counter)
        heapq.heappush(self._heap, (priority, self._counter, key))
        if len(self._heap) > 2 * len(self._current) + _COMPACT_SLACK:
            self._compact()

    def discard(self, key: _K) -> None:
        """Remove ``key`` if it is present."""
        self._current.pop(key, None)

    def peek(self) -> tuple[float, _K] | None:
        """Return the lowest priority and its key, or None if empty."""
        while self._heap:
            priority, counter, key = self._heap[0]
            if self._current.get(key) == (priority, counter):
                return priority, key
            heapq.heappop(self._heap)
        return None

    def pop(self) -> tuple[float, _K] | None:
        """Remove and return the lowest priority and its key, or None if empty."""
        lowest = self.peek()
        if lowest is not None:
            heapq.heappop(self._heap)
            del self._current[lowest[1]]
        return lowest

    def _compact(self) -> None:
        self._heap = [
            (priority, counter, key)
            for key, (priority, counter) in self._current.items()
        ]
        heapq.heapify(self._heap)
