"""Checkers of what must hold in every schedule of a log group."""

from jasminewharf.decisions.records import MEMBERS, encode_members


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

    def leader(self, term, identity, term_at, base_index):
        """Election safety and leader completeness."""
        _require_equal(self.leaders, term, identity, "two leaders in a term")
        for index, entry in self.committed.items():
            if index > base_index and term_at(index) != entry.term:
                raise InvariantViolation(
                    f"leader {identity} of term {term} lacks committed entry {index}"
                )

    def vote(self, identity, term, candidate):
        """One vote of a disk identity per term, over all its restarts."""
        _require_equal(self.votes, (identity, term), candidate, "two votes in a term")

    def appended(self, entry, previous_term):
        """Log matching: an index and a term name one entry with one history."""
        value = (entry.kind, entry.data, previous_term)
        _require_equal(self.entries, entry[:2], value, "logs differ")

    def commit(self, entry):
        """State machine safety: one entry per index."""
        _require_equal(self.committed, entry.index, entry, "committed entries differ")
        if entry.kind == MEMBERS and entry.index > self.newest_members[0]:
            self.newest_members = (entry.index, entry.data)

    def acknowledge(self, index, command):
        """A caller was told that its command is committed at ``index``."""
        self.acknowledged[index] = command

    def durable(self, identity, match, durable_index):
        """Nothing is acknowledged before it is synced."""
        if match > durable_index:
            raise InvariantViolation(
                f"{identity} acknowledged {match}, durable is {durable_index}"
            )

    def read(self, index, floor):
        """A read covers everything acknowledged before it began."""
        if index < floor:
            raise InvariantViolation(f"read at {index} misses {floor}")

    def final_state(self, identity, state):
        """No acknowledged command is lost."""
        for index, command in self.acknowledged.items():
            if state.get(index) != command:
                raise InvariantViolation(f"{identity} lost acknowledged {index}")
