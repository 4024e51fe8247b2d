"""Slots for loads from the weight store, granted by one owner for the fleet.

The store serves a limited number of concurrent loads at full speed; a load that begins
beyond that is slow. The owner grants that many slots, the highest weight first, and
adapts the number to the measured load times: one load at a time may go beyond what the
store was seen to serve.
"""

from typing import NamedTuple

import xxhash

from ..exceptions import ImplausibleDemand

__all__ = [
    "DEFAULT_STORE_CONCURRENCY",
    "PREFETCHES_AT_ONCE",
    "PREFETCH_WEIGHT",
    "StoreQueue",
    "SlotAnswer",
    "SlotEnd",
    "allows_unowned_load",
    "estimate_slowdown",
    "estimate_store_concurrency",
]

# Concurrency limit before any load was measured.
DEFAULT_STORE_CONCURRENCY = 3
# Weight up to which a load is a prefetch: nobody has asked for the model.
PREFETCH_WEIGHT = 0.01
# Concurrent prefetches in the fleet; the other slots are left to callers.
PREFETCHES_AT_ONCE = 2
_AT_ONCE_LIMIT = 16
# Values beyond these limits are errors; they would claim all slots for one agent.
_WEIGHT_LIMIT = 1e6
_ALONE_LIMIT_S = 86_400.0
# Engines repeat slot requests and slot renewals more often than these.
_WISH_KEPT_S = 1.0
_LOAD_KEPT_S = 3.0
# How long a new owner collects renewals of slots in use before it grants any.
_TAKEOVER_S = 1.5
# Ratio to the uncontended time above which a load was slowed down by others.
_SLOWED = 1.2
# Share of a load that must run at the limit for it to justify a higher limit.
_TELLING_PART = 0.7
# Time without increases of the limit after a decrease.
_RAISE_PAUSE_S = 20.0
# How long an engine waits for an owner for each load that runs on others, before it
# loads without one. It exceeds an election and the new owner's takeover: engines that
# all load at once make each load take several times as long, and take no other order.
_UNOWNED_WAIT_S = 2.5
# The wait differs between engines by up to this, so that each sees the loads that
# others have begun.
_UNOWNED_SPREAD_S = 1.0
_HASH_RANGE = 1 << 64
# Slow loads that decrease the limit; a single one may be due to a slow engine.
_SLOWED_LOADS = 2


class SlotAnswer(NamedTuple):
    """The owner's answer; ``at_once`` is its current concurrency limit."""

    is_granted: bool
    at_once: int


class SlotEnd(NamedTuple):
    """A slot that is free again.

    ``held_s`` counts from the grant and ``loaded_s`` from the begin of the load; the
    latter is 0 if there was none. ``outcome`` is complete, unused, broken (the engine
    gave its load up) or lost (nothing was heard of the engine).
    """

    engine: str
    model: str
    held_s: float
    loaded_s: float
    outcome: str


class _Wish(NamedTuple):
    model: str
    weight: float
    since: float
    at: float


class _BrokenLoad(NamedTuple):
    """A load whose engine was lost, and when it ends if the store goes on with it."""

    ends_at: float
    is_probe: bool


class _Load:
    """A slot in use, and its load once the engine has made room.

    ``beside`` is the number of loads that ran when this one began, itself included, and
    0 before that. ``seconds`` is its running time by the number of concurrent loads.
    ``alone_s`` is the uncontended load time; 0 for slots that another owner granted,
    whose loads do not change the limit. ``is_probe`` tells that it was granted beside
    as many loads as the store was seen to serve.
    """

    def __init__(
        self, model: str, alone_s: float, now: float, is_probe: bool = False
    ) -> None:
        self.model = model
        self.alone_s = alone_s
        self.is_probe = is_probe
        self.heard_at = now
        self.granted_at = now
        self.began_at = now
        self.beside = 0
        self.seconds: dict[int, float] = {}


class StoreQueue:
    """Slot requests and slots in use, as the owner knows them.

    Args:
        now: Monotonic seconds at the start of ownership.
        is_first: Whether no earlier owner can have granted slots.
    """

    def __init__(self, now: float, is_first: bool) -> None:
        self.at_once = DEFAULT_STORE_CONCURRENCY
        self._opens_at = now if is_first else now + _TAKEOVER_S
        self._wishes: dict[str, _Wish] = {}
        self._loads: dict[str, _Load] = {}
        self._counted_at = now
        self._raises_at = now
        self._is_learned = False
        self._slowed = 0
        self._broken: list[_BrokenLoad] = []
        # Concurrent loads that the store is taken to serve at full speed.
        self._proven = DEFAULT_STORE_CONCURRENCY - 1
        self._ended: list[SlotEnd] = []

    @property
    def waiting(self) -> int:
        """How many engines wait for a slot."""
        return len(self._wishes)

    @property
    def in_use(self) -> int:
        """How many slots are in use."""
        return len(self._loads)

    def drain_ended(self) -> list[SlotEnd]:
        """Return the slots that have become free since the last call."""
        ended, self._ended = self._ended, []
        return ended

    def _note_ended(self, engine: str, load: _Load, outcome: str, now: float) -> None:
        loaded_s = now - load.began_at if load.beside else 0.0
        held_s = now - load.granted_at
        self._ended.append(SlotEnd(engine, load.model, held_s, loaded_s, outcome))

    def request_slot(
        self,
        engine: str,
        model: str,
        weight: float,
        alone_s: float,
        now: float,
        known_at_once: int = 0,
    ) -> SlotAnswer:
        """Request a slot for a load from the store.

        Args:
            engine: The requesting engine; it repeats the request while it waits.
            model: The model to load.
            weight: Total weight of its callers.
            alone_s: Uncontended load time in seconds.
            now: Monotonic seconds.
            known_at_once: Concurrency limit of an earlier owner; 0 if unknown.

        Raises:
            ImplausibleDemand: If a value is out of range.
        """
        if not (0 <= weight < _WEIGHT_LIMIT and 0 <= alone_s < _ALONE_LIMIT_S):
            raise ImplausibleDemand(engine, model)
        self._advance(now)
        self._adopt(known_at_once)
        # A requesting engine has no load; the release of its last one was lost.
        forgotten = self._loads.pop(engine, None)
        if forgotten is not None:
            self._note_ended(engine, forgotten, "lost", now)
        known = self._wishes.get(engine)
        # An engine that switches to another model keeps its queue position.
        since = known.since if known else now
        self._wishes[engine] = _Wish(model, weight, since, now)
        is_granted = now >= self._opens_at and self._is_next(engine)
        if is_granted:
            del self._wishes[engine]
            is_probe = self._count_taken() >= self._proven
            self._loads[engine] = _Load(model, alone_s, now, is_probe)
        return SlotAnswer(is_granted, self.at_once)

    def renew_slot(
        self,
        engine: str,
        model: str,
        is_loading: bool,
        now: float,
        known_at_once: int = 0,
    ) -> None:
        """Renew a slot in use, granted by this owner or an earlier one.

        Args:
            engine: The engine that uses the slot; it repeats this.
            model: The model that the slot is for.
            is_loading: Whether the load has begun.
            now: Monotonic seconds.
            known_at_once: Concurrency limit known to the engine; 0 if unknown.
        """
        self._advance(now)
        self._adopt(known_at_once)
        load = self._loads.get(engine)
        if load is None or load.model != model:
            load = self._loads[engine] = _Load(model, 0.0, now)
        load.heard_at = now
        if is_loading and not load.beside:
            load.began_at = now
            load.beside = 1 + self._count_running()

    def release(self, engine: str, is_complete: bool, now: float) -> None:
        """Release an engine's slot or request; a complete load may change the limit."""
        self._advance(now)
        self._wishes.pop(engine, None)
        load = self._loads.pop(engine, None)
        if load is None:
            return
        broken = "broken" if load.beside else "unused"
        self._note_ended(engine, load, "complete" if is_complete else broken, now)
        if not is_complete:
            self._note_broken(load)
        elif load.alone_s > 0 and load.seconds:
            self._learn(load, now)

    def _note_broken(self, load: _Load) -> None:
        """Count a load whose engine was lost as running on.

        The store may serve it for some time, at the cost of the others, which would
        then tell of a slower store.
        """
        if load.beside:
            slowed = max(load.beside / self._proven, 1.0)
            ends_at = load.began_at + load.alone_s * slowed
            self._broken.append(_BrokenLoad(ends_at, load.is_probe))

    def _count_running(self) -> int:
        begun = sum(1 for load in self._loads.values() if load.beside)
        return begun + len(self._broken)

    def _count_taken(self) -> int:
        """Return the slots in use and the loads that go on without their engines."""
        return len(self._loads) + len(self._broken)

    def _is_probing(self) -> bool:
        return any(load.is_probe for load in (*self._loads.values(), *self._broken))

    def _count_free(self) -> int:
        """Return how many slots may be granted now."""
        free = max(self._proven - self._count_taken(), 0)
        probes = 0 if self._is_probing() else 1
        return min(free + probes, self.at_once - len(self._loads))

    def _is_next(self, engine: str) -> bool:
        loading = {load.model for load in self._loads.values()}
        own = self._wishes[engine]
        if engine in self._loads or own.model in loading:
            return False
        is_prefetch = own.weight <= PREFETCH_WEIGHT
        if is_prefetch and len(self._loads) >= PREFETCHES_AT_ONCE:
            return False
        # Several engines that wait for one model share one queue position.
        firsts: dict[str, tuple[float, float, str]] = {}
        for name, wish in self._wishes.items():
            if wish.model in loading or name in self._loads:
                continue
            rank = (-wish.weight, wish.since, name)
            firsts[wish.model] = min(rank, firsts.get(wish.model, rank))
        if firsts[own.model][2] != engine:
            return False
        return sorted(firsts.values()).index(firsts[own.model]) < self._count_free()

    def _advance(self, now: float) -> None:
        """Add the elapsed time to running loads and drop expired entries."""
        beside = self._count_running()
        for load in self._loads.values():
            if load.beside:
                passed_s = load.seconds.get(beside, 0.0) + now - self._counted_at
                load.seconds[beside] = passed_s
        self._counted_at = now
        self._broken = [load for load in self._broken if load.ends_at > now]
        self._wishes = {
            name: wish
            for name, wish in self._wishes.items()
            if now - wish.at <= _WISH_KEPT_S
        }
        for name, load in list(self._loads.items()):
            if now - load.heard_at > _LOAD_KEPT_S:
                del self._loads[name]
                self._note_ended(name, load, "lost", now)
                self._note_broken(load)

    def _adopt(self, known_at_once: int) -> None:
        if 0 < known_at_once <= _AT_ONCE_LIMIT and not self._is_learned:
            # The highest of these may be a probe.
            self._proven = max(known_at_once - 1, min(known_at_once, self._proven))
            self.at_once = known_at_once
            self._is_learned = True

    def _learn(self, load: _Load, now: float) -> None:
        """Adapt the concurrency limit to the duration of a complete load."""
        took_s = sum(load.seconds.values())
        self._is_learned = True
        if took_s > load.alone_s * _SLOWED:
            if (
                estimate_store_concurrency(load.seconds, load.beside, load.alone_s)
                < self.at_once
            ):
                self._slowed += 1
            if self._slowed >= _SLOWED_LOADS:
                self._lower(self.at_once - 1, now)
            elif load.is_probe and self._proven < self.at_once:
                self._lower(self._proven, now)
            return
        full_s = sum(s for n, s in load.seconds.items() if n >= self.at_once)
        is_telling = load.beside >= self.at_once and (
            full_s > load.alone_s * _TELLING_PART
        )
        if is_telling:
            self._slowed = 0
            self._proven = max(self._proven, self.at_once)
        if is_telling and now >= self._raises_at:
            self.at_once = min(self.at_once + 1, _AT_ONCE_LIMIT)

    def _lower(self, at_once: int, now: float) -> None:
        self._slowed = 0
        self.at_once = max(at_once, 1)
        self._proven = min(self._proven, self.at_once)
        self._raises_at = now + _RAISE_PAUSE_S


def allows_unowned_load(engine: str, others: int, silent_s: float) -> bool:
    """Return whether an engine may load from the store without an owner.

    Args:
        engine: The engine's address.
        others: Loads from the store in progress on other engines.
        silent_s: Seconds since the owner was first asked without an answer.
    """
    part = xxhash.xxh64_intdigest(engine.encode()) / _HASH_RANGE
    return silent_s >= others * _UNOWNED_WAIT_S + part * _UNOWNED_SPREAD_S


def estimate_slowdown(others: int, at_once: int) -> float:
    """Return the time of a load from the store relative to one without others.

    Args:
        others: Loads from the store in progress on other engines.
        at_once: Loads that the store serves at full speed; 0 if unknown.
    """
    return max((others + 1) / (at_once or DEFAULT_STORE_CONCURRENCY), 1.0)


def estimate_store_concurrency(
    seconds: dict[int, float], beside: int, alone_s: float
) -> int:
    """Estimate from one load how many loads the store serves at full speed.

    A store may share its bandwidth among the loads that run at each moment, or fix a
    load's speed when it begins. The result is the larger estimate of the two models.

    Args:
        seconds: Running time by the number of concurrent loads, itself included.
        beside: Number of loads that ran when it began, itself included.
        alone_s: Uncontended load time in seconds.
    """

    def error_s(at_once: int) -> float:
        work_s = sum(s * min(at_once / n, 1.0) for n, s in seconds.items())
        return abs(work_s - alone_s)

    shared = min(range(1, max(seconds) + 1), key=error_s)
    return max(shared, round(beside * alone_s / sum(seconds.values())))
