"""Turns at the weight store: which engine of the fleet loads from it next.

The store serves some loads at full speed beside each other and slows all of them down
beyond that. One owner lets that many begin, for the models with the most callers; it
learns the number from how long loads take.
"""

from typing import NamedTuple

from ..exceptions import ImplausibleDemand

__all__ = [
    "DEFAULT_STORE_CONCURRENCY",
    "StoreQueue",
    "SlotAnswer",
    "estimate_store_concurrency",
]

# Loads that are let begin beside each other before any was measured.
DEFAULT_STORE_CONCURRENCY = 3
_AT_ONCE_LIMIT = 16
# What an agent tells beyond these is an error: it would claim all turns for itself.
_WEIGHT_LIMIT = 1e6
_ALONE_LIMIT_S = 86_400.0
# An engine repeats what it waits for, and that it loads, well within this time.
_WISH_KEPT_S = 1.0
_LOAD_KEPT_S = 3.0
# How long an owner that takes over hears of loads under way before it lets any begin.
_TAKEOVER_S = 1.5
# A load that took this much longer than alone was slowed down by others.
_SLOWED = 1.2
# Part of a load that has to run beside as many as may for it to tell that more could.
_TELLING_PART = 0.7
# After loads were slowed down, one more beside them is not tried for this long.
_RAISE_PAUSE_S = 20.0
# Loads that have to be slowed down before fewer may begin; one may be a slow engine's.
_SLOWED_LOADS = 2


class SlotAnswer(NamedTuple):
    """The owner's answer; ``at_once`` loads run at full speed, as far as it knows."""

    is_granted: bool
    at_once: int


class _Wish(NamedTuple):
    model: str
    weight: float
    since: float
    at: float


class _Load:
    """A turn, and the load that follows once the engine has made room.

    ``beside`` loads ran when it began, itself counted, 0 before; ``seconds`` are spent
    beside so many. Of a load that this owner did not give the turn for, ``alone_s`` is
    0: it teaches nothing.
    """

    def __init__(self, model: str, alone_s: float, now: float) -> None:
        self.model = model
        self.alone_s = alone_s
        self.heard_at = now
        self.beside = 0
        self.seconds: dict[int, float] = {}


class StoreQueue:
    """The state of the owner.

    Args:
        now: When it begins to own the turns, in seconds.
        is_first: Whether no other owner can have let loads begin.
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

    def request_slot(
        self,
        engine: str,
        model: str,
        weight: float,
        alone_s: float,
        now: float,
        known_at_once: int = 0,
    ) -> SlotAnswer:
        """Return whether an engine may begin to load a model from the store.

        Args:
            engine: Who asks; it repeats this while it waits.
            model: What it is to load.
            weight: What its callers are worth.
            alone_s: How long the load takes beside no other.
            now: Monotonic seconds.
            known_at_once: What an owner before this one had learned; 0 if nothing.

        Raises:
            ImplausibleDemand: If no agent can mean this.
        """
        if not (0 <= weight < _WEIGHT_LIMIT and 0 <= alone_s < _ALONE_LIMIT_S):
            raise ImplausibleDemand(engine, model)
        self._advance(now)
        self._adopt(known_at_once)
        # Who asks loads nothing; word of the end of its last load was lost.
        self._loads.pop(engine, None)
        known = self._wishes.get(engine)
        # An engine that now waits for another model keeps its place.
        since = known.since if known else now
        self._wishes[engine] = _Wish(model, weight, since, now)
        is_granted = now >= self._opens_at and self._is_next(engine)
        if is_granted:
            del self._wishes[engine]
            self._loads[engine] = _Load(model, alone_s, now)
        return SlotAnswer(is_granted, self.at_once)

    def renew_slot(
        self,
        engine: str,
        model: str,
        is_loading: bool,
        now: float,
        known_at_once: int = 0,
    ) -> None:
        """Note that an engine uses its turn, granted here or not.

        Args:
            engine: Who uses it; it repeats this.
            model: What the turn is for.
            is_loading: Whether the load has begun.
            now: Monotonic seconds.
            known_at_once: What the engine has heard of the owner; 0 if nothing.
        """
        self._advance(now)
        self._adopt(known_at_once)
        load = self._loads.get(engine)
        if load is None or load.model != model:
            load = self._loads[engine] = _Load(model, 0.0, now)
        load.heard_at = now
        if is_loading and not load.beside:
            load.beside = 1 + sum(1 for other in self._loads.values() if other.beside)

    def release(self, engine: str, is_complete: bool, now: float) -> None:
        """Note that an engine loads no more; learn from it if the load was whole."""
        self._advance(now)
        load = self._loads.pop(engine, None)
        if load is not None and is_complete and load.alone_s > 0 and load.seconds:
            self._learn(load, now)

    def _is_next(self, engine: str) -> bool:
        loading = {load.model for load in self._loads.values()}
        own = self._wishes[engine]
        if engine in self._loads or own.model in loading:
            return False
        # Several engines that wait for one model have one turn together.
        firsts: dict[str, tuple[float, float, str]] = {}
        for name, wish in self._wishes.items():
            if wish.model in loading or name in self._loads:
                continue
            rank = (-wish.weight, wish.since, name)
            firsts[wish.model] = min(rank, firsts.get(wish.model, rank))
        if firsts[own.model][2] != engine:
            return False
        free = self.at_once - len(self._loads)
        return sorted(firsts.values()).index(firsts[own.model]) < free

    def _advance(self, now: float) -> None:
        """Count the time since the last call, then drop what was not repeated."""
        begun = [load for load in self._loads.values() if load.beside]
        beside = len(begun)
        for load in begun:
            passed_s = load.seconds.get(beside, 0.0) + now - self._counted_at
            load.seconds[beside] = passed_s
        self._counted_at = now
        self._wishes = {
            name: wish
            for name, wish in self._wishes.items()
            if now - wish.at <= _WISH_KEPT_S
        }
        self._loads = {
            name: load
            for name, load in self._loads.items()
            if now - load.heard_at <= _LOAD_KEPT_S
        }

    def _adopt(self, known_at_once: int) -> None:
        if 0 < known_at_once <= _AT_ONCE_LIMIT and not self._is_learned:
            self.at_once = known_at_once
            self._is_learned = True

    def _learn(self, load: _Load, now: float) -> None:
        """Step towards the number that explains how long a load took."""
        took_s = sum(load.seconds.values())
        self._is_learned = True
        if took_s > load.alone_s * _SLOWED:
            if (
                estimate_store_concurrency(load.seconds, load.beside, load.alone_s)
                < self.at_once
            ):
                self._slowed += 1
            if self._slowed >= _SLOWED_LOADS:
                self._slowed = 0
                self.at_once = max(self.at_once - 1, 1)
                self._raises_at = now + _RAISE_PAUSE_S
            return
        full_s = sum(s for n, s in load.seconds.items() if n >= self.at_once)
        is_telling = load.beside >= self.at_once and (
            full_s > load.alone_s * _TELLING_PART
        )
        if is_telling:
            self._slowed = 0
        if is_telling and now >= self._raises_at:
            self.at_once = min(self.at_once + 1, _AT_ONCE_LIMIT)


def estimate_store_concurrency(
    seconds: dict[int, float], beside: int, alone_s: float
) -> int:
    """Return how many loads the store serves at full speed, as one load tells.

    A store may divide its speed at each moment, or set a load's speed when it begins;
    of the two numbers that explain the load the larger one counts.

    Args:
        seconds: How long it ran beside so many others, itself counted.
        beside: How many ran when it began, itself counted.
        alone_s: How long it takes beside none.
    """

    def error_s(at_once: int) -> float:
        work_s = sum(s * min(at_once / n, 1.0) for n, s in seconds.items())
        return abs(work_s - alone_s)

    shared = min(range(1, max(seconds) + 1), key=error_s)
    return max(shared, round(beside * alone_s / sum(seconds.values())))
