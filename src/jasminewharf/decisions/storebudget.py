"""Slots of the weight store and the order in which loads get them."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..defaults import SLOW_LOAD_MIN_S
from ..registry import register
from .demand import ModelDemand
from .inventory import ModelKey, ReplicaRecord
from .pacing import PacingRule

__all__ = ["LOAD_ORDERS", "StoreBudget", "WantedLoad"]

# Weight of the newest load in the running mean of the store's slowdown.
_SLOWDOWN_GAIN = 0.3
# Expected wait for a slot whose load is already overdue.
_SLOT_WAIT_MIN_S = 1.0


class WantedLoad(NamedTuple):
    """A replica to load for ``demand``.

    ``load_s`` is the estimated load time, ``have`` the number of existing replicas.
    """

    key: ModelKey
    demand: ModelDemand | None
    load_s: float
    have: int


LOAD_ORDERS: dict[str, Callable[[WantedLoad, float], tuple]] = {}


@register(LOAD_ORDERS, "deadline")
def rank_by_deadline(load: WantedLoad, now: float) -> tuple:
    """Rank loads: first replicas before further ones, then by callers' deadlines.

    A load that cannot end before its deadline goes after those that can, because
    it would take the slot from a request that can still be served.
    """
    if load.demand is None:
        return (2, False, 0.0)
    late = now + load.load_s > load.demand.deadline
    return (min(load.have, 1), late, load.demand.deadline)


@register(LOAD_ORDERS, "first-come")
def rank_by_arrival(load: WantedLoad, now: float) -> tuple:
    """Rank loads by the time of the first request (the baseline)."""
    if load.demand is None:
        return (2, False, 0.0)
    return (0, False, load.demand.since)


class _Load(NamedTuple):
    host: str
    started: float
    nominal_s: float
    measured: bool


class StoreBudget:
    """Store slots of the whole fleet.

    A replica in phase ``ordered`` that loads from remote holds a slot from the
    decision until the log moves it on, whoever leads and whether or not its agent
    is alive. Slots are therefore recovered from the log alone.

    Args:
        concurrency: How many loads the store serves at once.
        pacing: The rule that spaces their starts.
    """

    def __init__(self, concurrency: int, pacing: PacingRule) -> None:
        self.slowdown = 1.0
        self._concurrency = concurrency
        self._pacing = pacing
        self._held: dict[object, _Load] = {}

    @property
    def held(self) -> int:
        """How many slots are held."""
        return len(self._held)

    def earliest(self, host: str, now: float) -> float:
        """Return when a load may start on ``host``; infinite without a free slot."""
        if len(self._held) >= self._concurrency:
            return float("inf")
        return self._pacing.earliest(host, len(self._held), now)

    def is_blocked(self, now: float) -> bool:
        """Return whether no load from remote may start now on any host."""
        if len(self._held) >= self._concurrency:
            return True
        return not self._pacing.per_host and self.earliest("", now) > now

    def estimate_wait(self, host: str, now: float) -> float:
        """Return the expected wait for a slot on ``host`` in seconds."""
        if len(self._held) < self._concurrency:
            earliest = self._pacing.earliest(host, len(self._held), now)
            if earliest != float("inf"):
                return max(0.0, earliest - now)
        ends = (load.started + load.nominal_s for load in self._held.values())
        return max(_SLOT_WAIT_MIN_S, min(ends, default=now) - now)

    def begin(self, holder: object, host: str, nominal_s: float, now: float) -> None:
        """Reserve a slot for a load that is about to be proposed to the log."""
        self._held[holder] = _Load(host, now, nominal_s, True)
        self._pacing.note_start(host, now)

    def adopt(self, holder: object, number: int) -> None:
        """Keep a slot under the replica's number once the log gave it one."""
        load = self._held.pop(holder, None)
        if load is not None:
            self._held[number] = load

    def recover(self, records: Iterable[ReplicaRecord], now: float) -> None:
        """Reserve the slots of loads in progress that a log replay found.

        Their start is unknown, so their duration does not affect the slowdown.
        """
        for record in records:
            if record.replica in self._held:
                continue
            if record.phase == "ordered" and record.from_tier == "remote":
                self._held[record.replica] = _Load(record.host, now, 1.0, False)
                self._pacing.note_start(record.host, now)

    def end(
        self, holder: object, failed: bool, now: float, usual_s: float | None = None
    ) -> None:
        """Free a slot after the log ended its load.

        Args:
            holder: The replica's number.
            failed: Whether the load failed.
            now: Current time in seconds.
            usual_s: What the load usually takes; by default what was estimated when
                it began.
        """
        load = self._held.pop(holder, None)
        if load is None:
            return
        slowdown = 1.0
        if load.measured:
            usual_s = usual_s or load.nominal_s
            elapsed = now - load.started
            if elapsed - usual_s >= SLOW_LOAD_MIN_S:
                slowdown = elapsed / usual_s
        self._pacing.note_end(load.host, slowdown, failed, now)
        if load.measured and not failed:
            self.slowdown += _SLOWDOWN_GAIN * (max(1.0, slowdown) - self.slowdown)

    def cancel(self, holder: object) -> None:
        """Free a slot whose decision was not committed."""
        self._held.pop(holder, None)
