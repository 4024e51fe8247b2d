"""In-memory log entries of a log group."""

from .records import Entry

__all__ = ["EntryLog"]


class EntryLog:
    """Contiguous entries after a base position.

    Args:
        base_index: Index before the first entry.
        base_term: Term of the entry at ``base_index``.
        entries: The entries.
    """

    def __init__(self, base_index: int, base_term: int, entries: list[Entry]) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base if there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the base if there is none."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int:
        """Return the term at ``index``, or -1 if it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return -1

    def append(self, entry: Entry) -> None:
        """Add the entry after the last one."""
        self._entries.append(entry)

    def truncate(self, index: int) -> None:
        """Drop the entries from ``index`` on."""
        del self._entries[index - self.base_index - 1 :]

    def between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = max(first - self.base_index - 1, 0)
        return self._entries[start : last - self.base_index]

    def batch(self, first: int, max_entries: int, max_bytes: int) -> list[Entry]:
        """Return entries from ``first`` on, at least one if there is any."""
        candidates = self.between(first, first + max_entries - 1)
        size = 0
        for count, entry in enumerate(candidates):
            size += len(entry.data)
            if size > max_bytes and count > 0:
                return candidates[:count]
        return candidates

    def first_within(self, index: int, max_entries: int, max_bytes: int) -> int:
        """Return the first of the entries up to ``index`` that fit the limits."""
        first = index + 1
        size = 0
        for entry in reversed(self.between(index - max_entries + 1, index)):
            size += len(entry.data)
            if size > max_bytes:
                break
            first = entry.index
        return first

    def first_of_term(self, index: int) -> int:
        """Return the first held index with the same term as ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact(self, index: int) -> None:
        """Drop the entries up to ``index``; it becomes the base."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Drop all entries; the log continues after ``index``."""
        self._entries.clear()
        self.base_index, self.base_term = index, term
