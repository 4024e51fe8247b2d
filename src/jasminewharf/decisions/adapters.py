"""Placement, load batches, load slots and eviction of adapters.

An adapter loads on a replica of its base model, inside the memory that the
replica reserves for adapters. The fleet's slots bound how many adapters are in
flight from the weight store; a slot is granted with a lease, so that the slots of
a failed holder expire.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import xxhash

from .. import defaults

__all__ = [
    "AdapterGrant",
    "AdapterReservation",
    "AdapterSlots",
    "batch_adapters",
    "choose_replica",
]


class AdapterGrant(NamedTuple):
    """Slots for ``count`` adapter loads of ``holder`` until ``expires``."""

    number: int
    holder: str
    count: int
    expires: float


class AdapterSlots:
    """Slot grants for adapter loads over the whole fleet.

    The owner calls this; the holder must stop using a grant before the lease ends
    on its own clock. The owner adds ``margin_s`` to the lease for clock drift and
    the time the grant is on its way.

    Args:
        limit: How many adapters may be in flight.
        lease_s: How long a grant is valid for its holder.
        margin_s: How much longer the owner counts it.
    """

    def __init__(
        self,
        limit: int = defaults.ADAPTER_LOADS_IN_FLIGHT,
        lease_s: float = defaults.ADAPTER_SLOT_LEASE_S,
        margin_s: float = defaults.ADAPTER_SLOT_MARGIN_S,
    ) -> None:
        self._limit = limit
        self._lease_s = lease_s
        self._margin_s = margin_s
        self._grants: dict[int, AdapterGrant] = {}
        self._last = 0

    def start(self, now: float) -> None:
        """Start ownership with all slots taken until earlier grants have expired."""
        until = now + self._lease_s + self._margin_s
        self._grants = {0: AdapterGrant(0, "earlier owner", self._limit, until)}

    def in_flight(self, now: float) -> int:
        """Return how many slots are granted."""
        self._expire(now)
        return sum(grant.count for grant in self._grants.values())

    def request(self, holder: str, wanted: int, now: float) -> AdapterGrant | None:
        """Grant up to ``wanted`` slots, or none if all are taken."""
        count = min(wanted, self._limit - self.in_flight(now))
        if count <= 0:
            return None
        self._last += 1
        expires = now + self._lease_s + self._margin_s
        grant = AdapterGrant(self._last, holder, count, expires)
        self._grants[grant.number] = grant
        return grant

    def release(self, number: int) -> None:
        """Release a grant after its loads have ended."""
        self._grants.pop(number, None)

    def _expire(self, now: float) -> None:
        for number, grant in list(self._grants.items()):
            if now >= grant.expires:
                del self._grants[number]


def choose_replica(
    adapter: str,
    replicas: Iterable[int],
    resident: Mapping[int, frozenset[str] | set[str]],
    load: Mapping[int, float],
) -> int | None:
    """Return the replica of the base model that an adapter goes to.

    A replica that holds the adapter is preferred. Otherwise the choice is between
    the two replicas that rank first by hash, so that all entries send an adapter
    to the same replica without coordination and load only shifts it to the second
    choice.

    Args:
        adapter: The adapter's name.
        replicas: Numbers of the loaded replicas of its base model.
        resident: Adapters by replica; missing replicas hold none.
        load: Load by replica, any unit; missing replicas have none.
    """
    numbers = list(replicas)
    holding = [n for n in numbers if adapter in resident.get(n, ())]
    if holding:
        return min(holding, key=lambda n: (load.get(n, 0.0), n))
    ranked = sorted(numbers, key=lambda n: _rank(adapter, n))
    return min(ranked[:2], key=lambda n: load.get(n, 0.0), default=None)


def _rank(adapter: str, replica: int) -> int:
    return xxhash.xxh64_intdigest(f"{adapter}\0{replica}".encode())


def batch_adapters(
    waiting: Iterable[tuple[str, float]], limit: int = defaults.ADAPTER_BATCH
) -> list[str]:
    """Return the adapters of the next load command, most urgent first.

    Args:
        waiting: Pairs of adapter and deadline; an adapter may appear repeatedly.
        limit: The most adapters in one command.
    """
    deadlines: dict[str, float] = {}
    for adapter, deadline in waiting:
        deadlines[adapter] = min(deadline, deadlines.get(adapter, deadline))
    return sorted(deadlines, key=lambda name: (deadlines[name], name))[:limit]


class AdapterReservation:
    """The adapters inside one replica's reservation, least recently used first.

    Memory of an adapter that is being unloaded counts until the engine confirms.

    Args:
        memory_mb: The reservation.
    """

    def __init__(self, memory_mb: int) -> None:
        self._memory_mb = memory_mb
        self._resident: OrderedDict[str, int] = OrderedDict()
        self._unloading: dict[str, int] = {}

    @property
    def used_mb(self) -> int:
        """Memory of all adapters that may be in the engine."""
        return sum(self._resident.values()) + sum(self._unloading.values())

    def holds(self, adapter: str) -> bool:
        """Return whether the adapter is loaded or being loaded."""
        return adapter in self._resident

    def touch(self, adapter: str) -> None:
        """Record a call of an adapter as its latest use."""
        if adapter in self._resident:
            self._resident.move_to_end(adapter)

    def admit(self, adapter: str, memory_mb: int) -> bool:
        """Reserve memory for an adapter; return whether there is room now."""
        if adapter in self._resident:
            return True
        if adapter in self._unloading or self.used_mb + memory_mb > self._memory_mb:
            return False
        self._resident[adapter] = memory_mb
        return True

    def evict_for(self, memory_mb: int, in_use: Callable[[str], bool]) -> list[str]:
        """Start the unloads that make room for an adapter and return them.

        Nothing is unloaded if that would require unloading adapters in use.
        """
        free = self._memory_mb - sum(self._resident.values())
        chosen: list[str] = []
        for adapter, size in self._resident.items():
            if free >= memory_mb:
                break
            if not in_use(adapter):
                chosen.append(adapter)
                free += size
        if free < memory_mb:
            return []
        for adapter in chosen:
            self._unloading[adapter] = self._resident.pop(adapter)
        return chosen

    def confirm_unloaded(self, adapter: str) -> None:
        """Free an adapter's memory after the engine's confirmation."""
        self._unloading.pop(adapter, None)
        self._resident.pop(adapter, None)
