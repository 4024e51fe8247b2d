"""Which incomplete requests give way when a process runs short of memory for them."""

from collections import Counter
from collections.abc import Hashable
from typing import NamedTuple

__all__ = ["RequestBudget", "Surplus", "compute_budget"]

# Of the process' memory, for requests that are read or served. An idle entry takes
# 45 MB, a loaded one up to twice that; hosts have 160 MB and more.
_MEMORY_SHARE = 0.25
_LEAST_BYTES = 32 * 1024 * 1024
# Requests up to this size count as ordinary ones, for which room is reserved.
_ORDINARY_BYTES = 64 * 1024
_RESERVED_SHARE = 0.25
# Of what large requests may hold, for one address or workspace. Behind a balancer all
# callers share few addresses, so that one address may hold most of it.
_GROUP_SHARE = 0.75
_SPARE_PART = 32


def compute_budget(memory_bytes: int) -> int:
    """Return the bytes of requests that a process with this memory may hold."""
    return max(int(memory_bytes * _MEMORY_SHARE), _LEAST_BYTES)


class Surplus(NamedTuple):
    """A request that has to be refused, and which bound asks for it."""

    holder: Hashable
    reason: str


class _Holding:
    __slots__ = ("address", "byte_seconds", "changed_at", "is_whole", "size", "space")

    def __init__(self, address: str, now: float) -> None:
        self.address = address
        self.space: str | None = None
        self.size = 0
        self.byte_seconds = 0.0
        self.changed_at = now
        self.is_whole = False

    @property
    def is_large(self) -> bool:
        return self.size > _ORDINARY_BYTES

    @property
    def groups(self) -> list[tuple[str, str]]:
        """The address and the workspace, if it is known yet."""
        groups = [("address", self.address)]
        if self.space is not None:
            groups.append(("workspace", self.space))
        return groups

    def measure(self, now: float) -> float:
        """Return the memory used so far, as bytes times seconds."""
        return self.byte_seconds + self.size * (now - self.changed_at)


class RequestBudget:
    """Counts the bytes of requests that a process holds.

    Whole requests count, since a server may read them slowly, but do not give way. Of
    incomplete ones those give way first that have held most bytes for the longest
    time: a caller that sends at the pace of its link has held few for a short time.

    Args:
        total_bytes: What all requests may hold together.

    Attributes:
        held_bytes: What they hold.
    """

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.held_bytes = 0
        self._large_limit = int(total_bytes * (1 - _RESERVED_SHARE))
        self._group_limit = int(self._large_limit * _GROUP_SHARE)
        self._holdings: dict[Hashable, _Holding] = {}
        self._large: set[Hashable] = set()
        self._large_bytes = 0
        self._group_bytes: Counter[tuple[str, str]] = Counter()

    @property
    def is_short(self) -> bool:
        """Whether little is left beside the room for ordinary requests."""
        return self.held_bytes > self._large_limit // 2

    def hold(
        self,
        holder: Hashable,
        address: str,
        size: int,
        now: float,
        is_whole: bool = False,
    ) -> list[Surplus]:
        """Note how many bytes a request holds; return those that must give way.

        One that ``is_whole`` does not, now or later.
        """
        holding = self._holdings.get(holder)
        if holding is None:
            holding = self._holdings[holder] = _Holding(address, now)
        before = holding.size
        holding.is_whole |= is_whole
        self._resize(holder, holding, size, now)
        if size <= before:
            return []
        return self._find_surplus(holding, now)

    def name_workspace(self, holder: Hashable, workspace: str) -> None:
        """Note which workspace a request is for; empty for an unknown one."""
        holding = self._holdings.get(holder)
        if holding is not None and holding.space != workspace:
            self._count_groups(holding, -1)
            holding.space = workspace
            self._count_groups(holding, 1)

    def complete(self, holder: Hashable) -> None:
        """Note that a request was read whole."""
        if holder in self._holdings:
            self._holdings[holder].is_whole = True

    def release(self, holder: Hashable, now: float) -> None:
        """Forget a request that was answered, refused or cut."""
        holding = self._holdings.get(holder)
        if holding is not None:
            self._resize(holder, holding, 0, now)
            del self._holdings[holder]

    def _resize(
        self, holder: Hashable, holding: _Holding, size: int, now: float
    ) -> None:
        self._count_groups(holding, -1)
        holding.byte_seconds = holding.measure(now)
        holding.changed_at = now
        self.held_bytes += size - holding.size
        holding.size = size
        self._count_groups(holding, 1)
        if holding.is_large:
            self._large.add(holder)
        else:
            self._large.discard(holder)

    def _count_groups(self, holding: _Holding, sign: int) -> None:
        if not holding.is_large:
            return
        self._large_bytes += sign * holding.size
        for group in holding.groups:
            self._group_bytes[group] += sign * holding.size
            if not self._group_bytes[group]:
                del self._group_bytes[group]

    def _find_surplus(self, holding: _Holding, now: float) -> list[Surplus]:
        found: dict[Hashable, Surplus] = {}
        # One large request is always read, whatever its size.
        alone = next(iter(self._large)) if len(self._large) == 1 else None
        if holding.is_large and alone is None:
            for group in holding.groups:
                if self._group_bytes[group] > self._group_limit:
                    self._choose_in_group(found, group, now)
            over = self._large_bytes - self._large_limit
            self._choose(found, list(self._large), over, "large", now)
        held = self.held_bytes
        if alone is not None:
            held -= max(self._holdings[alone].size - self._large_limit, 0)
        if held > self.total_bytes:
            members = [each for each in self._holdings if each != alone]
            self._choose(found, members, held - self.total_bytes, "all", now)
        return list(found.values())

    def _choose_in_group(
        self, found: dict[Hashable, Surplus], group: tuple[str, str], now: float
    ) -> None:
        members = [each for each in self._large if group in self._holdings[each].groups]
        if len(members) > 1:
            over = self._group_bytes[group] - self._group_limit
            self._choose(found, members, over, group[0], now)

    def _choose(
        self,
        found: dict[Hashable, Surplus],
        members: list[Hashable],
        over: int,
        reason: str,
        now: float,
    ) -> None:
        over -= sum(self._holdings[each].size for each in members if each in found)
        if over <= 0:
            return
        # A little more, so that the next bytes do not ask for the same again.
        over += self.total_bytes // _SPARE_PART
        holdings = self._holdings
        candidates = [
            each
            for each in members
            if not holdings[each].is_whole and each not in found
        ]
        candidates.sort(key=lambda each: holdings[each].measure(now))
        while over > 0 and candidates:
            holder = candidates.pop()
            found[holder] = Surplus(holder, reason)
            over -= holdings[holder].size
