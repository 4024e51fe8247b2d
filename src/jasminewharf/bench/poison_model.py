"""Poison requests in virtual time: engines that end, entries that find out why.

Each entry keeps its own table; what one learns reaches the others after a delay.
Engines end of themselves, all at once, by a request with a bad part or by one that is
bad as a whole and comes again, and are back a while later under a new name. Plain
services have no prompts.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import NamedTuple

from .. import defaults
from ..decisions.backpressure import ServerIncarnation
from ..decisions.poison import (
    REFUSED,
    SUSPECT,
    AnsweredParts,
    PartEnd,
    PartEvidence,
    PartTable,
    TrialBook,
    count_trial_slots,
    hash_trial_slot,
    is_whole,
    list_unanswered,
)

__all__ = ["PoisonOutcome", "PoisonScenario", "run_poison"]

_ROUTES = 3
_MIDDLE_PARTS = 8
_SESSIONS = 300
_CRASH_S = 0.05
_RESTART_S = 1.5
_SEEN_S = 0.005
_SPREAD_S = (0.05, 0.15)
_SERVICE_S = (0.2, 3.0)
_PLAIN_SERVICE_S = (0.03, 0.1)
_RETRY_S = 0.1
# How long the caller of an answer that broke off waits for the rest.
_PATIENCE_S = 4.0
_SERVICE = "llm"
_BAD_FROM_S = 10.0
_FIRST_BAD = 1_000_000
_WHOLE = 1 << 63
_FIRST_BAD_WHOLE = _WHOLE + 1_000_000_000
_POLLED_WHOLES = 20
_PART_ENDS = 5
_WHOLE_ENDS = 3
# Parts of a prompt, with the place of the bad part among them drawn.
_PLACES = 4


class PoisonScenario(NamedTuple):
    """A load; ``bad_share`` of the requests hold one of ``bad_parts`` parts.

    ``deadly_share`` of them are repeats of one of ``deadly`` requests, ``polled_share``
    those of a few sound ones, and callers repeat what broke ``retries`` times.
    ``ends_per_s`` is how often an engine ends of itself. At ``all_end_at`` seconds all
    engines end within a second; 0 for never.
    """

    bad_parts: int = 1
    bad_share: float = 0.15
    deadly: int = 0
    deadly_share: float = 0.05
    polled_share: float = 0.0
    is_plain: bool = False
    retries: int = 0
    ends_per_s: float = 0.0
    all_end_at: float = 0.0
    engines: int = 6
    entries: int = 4
    per_s: float = 40.0
    duration_s: float = 60.0


class PoisonOutcome(NamedTuple):
    """What came of a play.

    Attributes:
        most_ends: Engines ended by the part or request that ended most.
        late_arrivals: Requests of the worst bad part that reached engines later than a
            second after its fifth end, or of the worst bad request after its third.
        detected_s: Time from the first end to the refusal at all entries, of the
            slowest; infinite if one was not found out.
        accused: Innocent parts and requests that an entry refused at some time.
        victims: Sound requests that an end by a bad one broke off.
        refused: Sound requests that were refused under suspicion.
        sound: Sound requests in all.
        down_s: Seconds without any engine.
    """

    most_ends: int
    late_arrivals: int
    detected_s: float
    accused: int
    victims: int
    refused: int
    sound: int
    down_s: float


class _Request:
    def __init__(self, entry: "_Entry", parts: tuple[int, ...], whole: int) -> None:
        self.entry = entry
        self.parts = parts
        self.whole = whole
        self.bad = next((part for part in parts if part >= _FIRST_BAD), None)
        if whole >= _FIRST_BAD_WHOLE:
            self.bad = whole
        self.begun_at = math.inf
        self.slot = 0
        self.retries = 0
        self.trial: tuple[int, ...] = ()
        self.repeats = 0


class _Engine:
    def __init__(self, name: str) -> None:
        self.name = name
        self.life = 0
        self.is_up = True
        # In the order of arrival, so that plays repeat.
        self.running: dict[_Request, None] = {}

    @property
    def incarnation(self) -> ServerIncarnation:
        return ServerIncarnation(self.name, self.life)


class _Entry:
    def __init__(self) -> None:
        self.table = PartTable()
        self.answered = AnsweredParts()


class _Play:
    def __init__(self, scenario: PoisonScenario, seed: int) -> None:
        self.scenario = scenario
        self.random = random.Random(seed)
        self.now = 0.0
        self.entries = [_Entry() for _ in range(scenario.entries)]
        self.engines = [_Engine(f"e{n}") for n in range(scenario.engines)]
        self.trials = TrialBook()
        self.slots = count_trial_slots(scenario.engines)
        self.ends: dict[int, list[float]] = {}
        self.arrivals: dict[int, list[float]] = {}
        self.refused_at: dict[int, dict[int, float]] = {}
        self.victims = 0
        self.refused = 0
        self.sound = 0
        self.down_s = 0.0
        self.down_at = 0.0
        self._wholes = itertools.count(_WHOLE + _POLLED_WHOLES)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay_s, next(self._numbers), action))

    def run(self) -> PoisonOutcome:
        self.at(0.0, self._send_next)
        if self.scenario.ends_per_s:
            self.at(self._draw_end_s(), self._end_one)
        if self.scenario.all_end_at:
            for engine in self.engines:
                delay_s = self.scenario.all_end_at + self.random.random()
                self.at(delay_s, lambda e=engine: self._end(e))
        while self._queue and self._queue[0][0] < self.scenario.duration_s:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        return self._conclude()

    # The load.

    def _draw_end_s(self) -> float:
        return self.random.expovariate(self.scenario.ends_per_s)

    def _end_one(self) -> None:
        self._end(self.random.choice(self.engines))
        self.at(self._draw_end_s(), self._end_one)

    def _send_next(self) -> None:
        self.at(self.random.expovariate(self.scenario.per_s), self._send_next)
        request = self._draw_request()
        self.sound += request.bad is None
        self._admit(request, self.now + defaults.POISON_TRIAL_WAIT_S)

    def _draw_request(self) -> _Request:
        scenario = self.scenario
        entry = self.random.choice(self.entries)
        parts = () if scenario.is_plain else self._draw_parts()
        draw = self.random.random()
        if draw < scenario.deadly_share and scenario.deadly and self.now > _BAD_FROM_S:
            whole = _FIRST_BAD_WHOLE + self.random.randrange(scenario.deadly)
        elif 1 - draw < scenario.polled_share:
            whole = _WHOLE + self.random.randrange(_POLLED_WHOLES)
        else:
            whole = next(self._wholes)
        return _Request(entry, parts, whole)

    def _draw_parts(self) -> tuple[int, ...]:
        # Few parts get most of the requests.
        session = int(_SESSIONS * self.random.random() ** 3)
        parts = [
            self.random.randrange(_ROUTES),
            100 + self.random.randrange(_MIDDLE_PARTS),
            1_000 + session,
        ]
        is_bad = self.random.random() < self.scenario.bad_share
        if is_bad and self.scenario.bad_parts and self.now > _BAD_FROM_S:
            bad = _FIRST_BAD + self.random.randrange(self.scenario.bad_parts)
            parts.insert(self.random.randrange(_PLACES), bad)
        return tuple(parts)

    def _admit(self, request: _Request, give_up_at: float) -> None:
        table = request.entry.table
        known = (request.whole, *request.parts)
        standings = {p: table.judge(p, self.now).standing for p in known}
        if REFUSED in standings.values():
            self._refuse(request)
            return
        suspects = tuple(p for p, s in standings.items() if s == SUSPECT)
        if suspects and not self._take_trial(request, suspects):
            if self.now >= give_up_at:
                self._refuse(request)
            else:
                wait_s = defaults.POISON_TRIAL_POLL_S
                self.at(wait_s, lambda: self._admit(request, give_up_at))
            return
        request.trial = suspects
        self._begin(request)

    def _take_trial(self, request: _Request, suspects: tuple[int, ...]) -> bool:
        if sum(engine.is_up for engine in self.engines) < 2:
            return False
        request.slot = self.random.randrange(self.slots)
        slot = hash_trial_slot(_SERVICE, request.slot)
        return self.trials.take(request, [slot, *suspects], self.now)

    def _refuse(self, request: _Request) -> None:
        self.refused += request.bad is None

    def _begin(self, request: _Request) -> None:
        free = [engine for engine in self.engines if engine.is_up]
        if not free:
            self.trials.end(request)
            self.at(0.1, lambda: self._admit(request, self.now))
            return
        engine = self.random.choice(free)
        if request.trial:
            engine = min(free, key=lambda e: self._rank_for_trial(e, request))
        engine.running[request] = None
        request.begun_at = self.now
        if request.trial:
            self.at(defaults.POISON_TRIAL_PROGRESS_S, lambda: self.trials.end(request))
        if request.bad is None:
            life = engine.life
            is_plain = self.scenario.is_plain
            span = _PLAIN_SERVICE_S if is_plain else _SERVICE_S
            service_s = self.random.uniform(*span)
            self.at(service_s, lambda: self._answer(engine, life, request))
            return
        self.arrivals.setdefault(request.bad, []).append(self.now)
        life = engine.life
        self.at(_CRASH_S, lambda: self._crash(engine, life, request.bad))

    def _rank_for_trial(self, engine: _Engine, request: _Request) -> tuple[bool, int]:
        place = self.engines.index(engine) % self.slots
        return place != request.slot, len(engine.running)

    def _answer(self, engine: _Engine, life: int, request: _Request) -> None:
        if engine.life != life or request not in engine.running:
            return
        del engine.running[request]
        self.trials.end(request)
        entry = request.entry
        entry.answered.note(request.parts, self.now)
        known = (request.whole, *request.parts)
        known = [part for part in known if part in entry.table]
        self._learn(entry, [PartEvidence(part, self.now, ()) for part in known])

    def _crash(self, engine: _Engine, life: int, part: int) -> None:
        if engine.life == life and engine.is_up:
            self.ends.setdefault(part, []).append(self.now)
            self.victims += sum(r.bad is None for r in engine.running)
            self._end(engine)

    def _end(self, engine: _Engine) -> None:
        if not engine.is_up:
            return
        ended = engine.incarnation
        broken, engine.running = engine.running, {}
        engine.is_up = False
        engine.life += 1
        if not any(engine.is_up for engine in self.engines):
            self.down_at = self.now
        self.at(_RESTART_S, lambda: self._come_back(engine))
        for request in broken:
            self.at(_SEEN_S, lambda r=request: self._note_broken(r, ended))

    def _come_back(self, engine: _Engine) -> None:
        if not any(engine.is_up for engine in self.engines):
            self.down_s += self.now - self.down_at
        engine.is_up = True

    # What entries find out.

    def _note_broken(self, request: _Request, ended: ServerIncarnation) -> None:
        entry = request.entry
        evidence = []
        for part in request.parts:
            end = PartEnd(ended, self.now, part in request.trial)
            answered_at = entry.answered.find(part)
            evidence.append(PartEvidence(part, answered_at, (end,)))
        if self.now - request.begun_at < defaults.POISON_PROGRESS_S:
            end = PartEnd(ended, self.now, request.whole in request.trial)
            evidence.append(PartEvidence(request.whole, -math.inf, (end,)))
        self._learn(entry, evidence)
        self.trials.end(request)
        is_proven = not list_unanswered(request.parts, entry.answered)
        if is_proven and not request.repeats:
            request.repeats += 1
            self._admit(request, self.now + _PATIENCE_S)
        elif request.retries < self.scenario.retries:
            again = _Request(
                self.random.choice(self.entries), request.parts, request.whole
            )
            again.retries = request.retries + 1
            give_up_at = self.now + _RETRY_S + defaults.POISON_TRIAL_WAIT_S
            self.at(_RETRY_S, lambda: self._admit(again, give_up_at))

    def _learn(self, entry: _Entry, evidence: list[PartEvidence]) -> None:
        news = [item.part for item in evidence if entry.table.merge(item)]
        self._note_refused(entry, news)
        known = [entry.table.find(part) for part in news]
        self._spread(entry, [item for item in known if item is not None])

    def _spread(self, source: _Entry, evidence: list[PartEvidence]) -> None:
        if not evidence:
            return
        for entry in self.entries:
            if entry is not source:
                delay_s = self.random.uniform(*_SPREAD_S)
                self.at(delay_s, lambda e=entry: self._hear(e, evidence))

    def _hear(self, entry: _Entry, evidence: list[PartEvidence]) -> None:
        news = [item.part for item in evidence if entry.table.merge(item)]
        self._note_refused(entry, news)
        own = [PartEvidence(p, entry.answered.find(p), ()) for p in news]
        self._learn(entry, own)

    def _note_refused(self, entry: _Entry, news: list[int]) -> None:
        number = self.entries.index(entry)
        for part in news:
            if entry.table.judge(part, self.now).standing == REFUSED:
                self.refused_at.setdefault(part, {}).setdefault(number, self.now)

    def _conclude(self) -> PoisonOutcome:
        late = 0
        detected_s = 0.0
        for part, ends in self.ends.items():
            bound = _WHOLE_ENDS if is_whole(part) else _PART_ENDS
            if len(ends) >= bound:
                from_s = ends[bound - 1] + 1.0
                late = max(late, sum(at > from_s for at in self.arrivals[part]))
            known = self.refused_at.get(part, {})
            is_known = len(known) == len(self.entries)
            last_at = max(known.values()) if is_known else float("inf")
            detected_s = max(detected_s, last_at - ends[0])
        return PoisonOutcome(
            max((len(ends) for ends in self.ends.values()), default=0),
            late,
            detected_s,
            sum(not _is_bad(part) for part in self.refused_at),
            self.victims,
            self.refused,
            self.sound,
            self.down_s,
        )


def _is_bad(part: int) -> bool:
    return part >= (_FIRST_BAD_WHOLE if is_whole(part) else _FIRST_BAD)


def run_poison(scenario: PoisonScenario, seed: int) -> PoisonOutcome:
    """Play a scenario and return what came of it."""
    return _Play(scenario, seed).run()
