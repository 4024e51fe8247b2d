"""Checkers of what must hold in every schedule of a log group."""

from collections.abc import Callable

from ..decisions.records import MEMBERS, Entry, encode_members

__all__ = ["Checks", "InvariantViolation"]


class InvariantViolation(AssertionError):
    """A schedule broke a rule of the replicated log."""


def _require_equal(table, key, value, rule):
    known = table.setdefault(key, value)
    if known != value:
        raise InvariantViolation(f"{rule}: {key}: {known!r} and {value!r}")


class Checks:
    """Collects observations and raises InvariantViolation at the first bad one."""

    def __init__(self):
        self.leaders = {}
        self.votes = {}
        self.entries = {}
        self.committed = {}
        self.acknowledged = {}
        self.newest_members = (0, encode_members(()))

    def leader(
        self, term: int, identity: str, term_at: Callable[[int], int], base_index: int
    ) -> None:
        """Election safety and leader completeness."""
        _require_equal(self.leaders, term, identity, "two leaders in a term")
        for index, entry in self.committed.items():
            if index > base_index and term_at(index) != entry.term:
                raise InvariantViolation(
                    f"leader {identity} of term {term} lacks committed entry {index}"
                )

    def vote(self, identity: str, term: int, candidate: str) -> None:
        """One vote of a disk identity per term, over all its restarts."""
        _require_equal(self.votes, (identity, term), candidate, "two votes in a term")

    def appended(self, entry: Entry, previous_term: int) -> None:
        """Log matching: an index and a term name one entry with one history."""
        value = (entry.kind, entry.data, previous_term)
        _require_equal(self.entries, entry[:2], value, "logs differ")

    def commit(self, entry: Entry) -> None:
        """State machine safety: one entry per index."""
        _require_equal(self.committed, entry.index, entry, "committed entries differ")
        if entry.kind == MEMBERS and entry.index > self.newest_members[0]:
            self.newest_members = (entry.index, entry.data)

    def acknowledge(self, index: int, command: bytes) -> None:
        """A caller was told that its command is committed at ``index``."""
        self.acknowledged[index] = command

    def durable(self, identity: str, match: int, durable_index: int) -> None:
        """Nothing is acknowledged before it is synced."""
        if match > durable_index:
            raise InvariantViolation(
                f"{identity} acknowledged {match}, durable is {durable_index}"
            )

    def read(self, index: int, floor: int) -> None:
        """A read covers everything acknowledged before it began."""
        if index < floor:
            raise InvariantViolation(f"read at {index} misses {floor}")

    def final_state(self, identity: str, state: dict[int, bytes]) -> None:
        """No acknowledged command is lost."""
        for index, command in self.acknowledged.items():
            if state.get(index) != command:
                raise InvariantViolation(f"{identity} lost acknowledged {index}")
