"""Numbers of nodes that were lately there."""

from collections.abc import Iterable

__all__ = ["Presence", "RecentPeak"]


class Presence:
    """Counts the nodes that were there within the last seconds."""

    def __init__(self) -> None:
        self._seen: dict[str, float] = {}

    def count(self, nodes: Iterable[str], now: float, kept_s: float) -> int:
        """Record nodes that are there; return how many were within ``kept_s``."""
        self._seen.update(dict.fromkeys(nodes, now))
        for node in [n for n, at in self._seen.items() if now - at > kept_s]:
            del self._seen[node]
        return len(self._seen)


class RecentPeak:
    """The newest of the numbers that were reported, or a higher one before it.

    Args:
        kept_s: How long a higher number counts beside its successors, in seconds.
    """

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        self._newest = 0
        self._former = 0
        self._until = float("-inf")

    def note(self, number: int, now: float) -> None:
        """Take the number that is reported now."""
        self._former = self.read(now)
        self._until = now + self._kept_s
        self._newest = number

    def read(self, now: float) -> int:
        """Return the highest number that counts; 0 before the first one."""
        if now < self._until:
            return max(self._newest, self._former)
        return self._newest
