"""A fleet of found engines in virtual time: which models are served, and when.

The decisions are those of the product: each agent's :class:`Residency`, and the entry's
choice of a place. Engines, store, callers and the delay of reports are modelled. One
entry stands for all; it hears of all callers, as agents do in sum.
"""

import random
from collections import Counter, defaultdict
from typing import NamedTuple

from ..decisions.configurations import EngineSpec, ModelSpec
from ..decisions.copies import FleetCopies, gather_copies, refresh_loads
from ..decisions.directory import Directory
from ..decisions.residency import Intent, Residency
from ..decisions.serverselection import (
    RequestBacklog,
    choose_load_placement,
    sum_urgency,
)
from ..decisions.storequeue import StoreQueue
from ..decisions.urgency import (
    WaitingRequest,
    is_expected_too_late,
    weigh_refused_callers,
    weigh_waiting_requests,
)
from ..dialects.fleet import EngineStatus, HeldModel, ListedServer
from ..messages.servers import EngineReport

__all__ = ["FleetCase", "FleetPlay", "ModelAccount", "StoreLoad", "play_fleet"]

_STEP_S = 0.05
# How long a request runs at an engine.
_RUN_S = 0.5
_ENTRY = "entry"
_SERVICE = "llm"
# Intervals of the product: of an entry's wants and use, and of an agent's look at the
# copies of all engines.
_WANT_S = 0.3
_USE_S = 0.2
_COPIES_S = 0.5
_ASK_S = 0.3
_REFUSED_S = 10.0
_UNLOAD_S = 0.1
_MODEL_MB = 70_000.0
# Copies that an engine keeps in memory.
_MEMORY_COPIES = 2


class FleetCase(NamedTuple):
    """A deployment and its demand; rates are a second, times in seconds.

    ``uncopied`` of the rare models are on no engine at the start. ``store_at_once``
    loads from the store run at full speed beside each other; one that begins beside
    more takes longer in proportion. Nobody calls for ``lead_s``. Reports reach other
    hosts after ``report_delay_s`` at most.
    """

    engines: int = 22
    places: int = 2
    disk_copies: int = 8
    busy_models: int = 14
    rare_models: int = 70
    uncopied: int = 16
    busy_rate: float = 100.0
    rare_rate: float = 15.0
    store_at_once: int = 2
    remote_s: float = 7.8
    disk_s: float = 1.3
    memory_s: float = 0.6
    lead_s: float = 12.0
    length_s: float = 36.0
    target_s: float = 3.0
    patience_s: float = 10.0
    report_delay_s: float = 0.5


class ModelAccount(NamedTuple):
    """Requests for a model: how many came, and how many were served."""

    tries: int
    served: int


class StoreLoad(NamedTuple):
    """A load from the store; ``ended_at`` is infinite if it outlasted the play."""

    model: str
    began_at: float
    ended_at: float


class FleetPlay(NamedTuple):
    """What a play has shown; times count from the first callers."""

    models: dict[str, ModelAccount]
    store_loads: list[StoreLoad]

    def list_unserved(self, tries: int) -> list[str]:
        """Return the models asked for ``tries`` times or more and never served."""
        return [
            name
            for name, account in self.models.items()
            if account.tries >= tries and not account.served
        ]

    @property
    def served_share(self) -> float:
        """The share of all requests that were served."""
        tries = sum(account.tries for account in self.models.values())
        return sum(account.served for account in self.models.values()) / max(tries, 1)

    @property
    def most_store_loads(self) -> int:
        """How many loads from the store ran beside each other at most."""
        return max(
            (
                sum(o.began_at <= load.began_at < o.ended_at for o in self.store_loads)
                for load in self.store_loads
            ),
            default=0,
        )


class _Engine:
    """An engine and the agent beside it."""

    def __init__(self, address: str, spec: EngineSpec) -> None:
        self.address = address
        self.residency = Residency()
        self.residency.set_engine(spec)
        self.models: list[str] = []
        self.on_disk: list[str] = []
        self.in_memory: list[str] = []
        self.change: Intent | None = None
        self.work_s = 0.0
        self.is_remote = False
        self.load_number = 0
        self.granted = ""
        self.is_queued = False
        self.runs: list[tuple[float, str]] = []
        self.begun: Counter[str] = Counter()
        self.reports: list[tuple[float, EngineReport]] = []
        self.copies: FleetCopies | None = None
        self.copies_at = float("-inf")

    def status(self) -> EngineStatus:
        """Return what the engine tells its agent."""
        held = tuple(HeldModel(name, 1, ()) for name in self.models)
        return EngineStatus(
            1,
            self.change is not None,
            0,
            held,
            (),
            len(self.runs),
            0,
            0,
            100_000,
            tuple(self.in_memory),
            tuple(self.on_disk),
            False,
        )

    def report(self, now: float) -> EngineReport:
        """Return what the agent tells the others."""
        status = self.status()
        ready_ms = int(max(self.work_s, 0.0) * 1_000) if self.change else 0
        return EngineReport(
            self.address,
            True,
            1,
            list(status.models),
            self.change.model if self.change else "",
            self.change.loads if self.change else False,
            ready_ms,
            self.residency.list_wanted_models(now),
            self.residency.room_cost(status, now),
            self.residency.blocked_rate(now),
            list(self.in_memory),
            list(self.on_disk),
            len(self.runs),
            0,
            0,
            100_000,
        )

    def find_report(self, at: float) -> EngineReport:
        """Return the report that was the newest ``at`` a time."""
        for made_at, report in reversed(self.reports):
            if made_at <= at:
                return report
        return self.reports[0][1]

    def begin(self, intent: Intent, spec: ModelSpec) -> None:
        """Carry out an order."""
        self.change = intent
        self.is_remote = False
        if intent.loads:
            self.work_s = spec.load_s(self.in_memory, self.on_disk)
            self.is_remote = intent.model not in (*self.in_memory, *self.on_disk)
            self.granted = ""
        else:
            self.work_s = _UNLOAD_S

    def end(self, copies_kept: int) -> None:
        """Complete the order."""
        assert self.change is not None
        name = self.change.model
        if self.change.loads:
            self.models.append(name)
            self.on_disk = [c for c in self.on_disk if c != name][-copies_kept + 1 :]
            self.on_disk.append(name)
            kept = [copy for copy in self.in_memory if copy != name]
            self.in_memory = [*kept[-_MEMORY_COPIES + 1 :], name]
        else:
            self.models.remove(name)
        self.change = None


class _Entry:
    """The callers' side: who waits, who was refused."""

    def __init__(self, case: FleetCase, spec: EngineSpec) -> None:
        self.case = case
        self.spec = spec
        self.directory = Directory()
        self.waits: dict[str, list[WaitingRequest]] = defaultdict(list)
        self.refused: dict[str, list[float]] = defaultdict(list)
        self.missed_since: dict[str, float] = {}
        # The engine whose agent was asked last, by model.
        self.asked: dict[str, _Engine] = {}

    def find_place(self, model: ModelSpec, now: float):
        """Return where a model is ready first, as the demand service does."""
        servers = self.directory.in_service(_SERVICE)
        returning = self.count_refused(model.name, now)
        waits = self.waits[model.name]
        urgency = weigh_waiting_requests(
            waits, model.memory_s, now
        ) + weigh_refused_callers(returning)
        told = sum_urgency(servers, model.name)
        requests = max(len(waits) + returning, round(told))
        waiting = RequestBacklog(requests, max(urgency, told, 1.0))
        return choose_load_placement(servers, self.spec, model, waiting, now)

    def count_refused(self, name: str, now: float) -> int:
        """Return the callers refused lately."""
        self.refused[name] = [u for u in self.refused[name] if u > now]
        return len(self.refused[name])

    def refuse(self, name: str, now: float) -> None:
        """Count a refused caller."""
        self.refused[name].append(now + _REFUSED_S)
        self.missed_since.setdefault(name, now)


class _Play:
    def __init__(self, case: FleetCase, seed: int) -> None:
        self.case = case
        self.random = random.Random(seed)
        busy = [f"busy-{n}" for n in range(case.busy_models)]
        rare = [f"rare-{n}" for n in range(case.rare_models)]
        self.models = {
            name: ModelSpec(
                name, _MODEL_MB, case.remote_s, case.disk_s, case.memory_s, 0.0
            )
            for name in (*busy, *rare)
        }
        self.spec = EngineSpec(
            32,
            case.places * _MODEL_MB,
            8,
            14.0,
            tuple(self.models.values()),
            case.disk_copies * _MODEL_MB,
        )
        self.busy, self.rare = busy, rare
        self.engines = [
            _Engine(f"10.0.0.{n}:80", self.spec) for n in range(case.engines)
        ]
        self._place_copies()
        self.delays = {
            (a.address, b.address): self.random.uniform(0.2, 1.0) * case.report_delay_s
            for a in self.engines
            for b in self.engines
        }
        self.entry = _Entry(case, self.spec)
        self.entry.directory.take_list(
            [
                ListedServer(
                    e.address, _SERVICE, e.address, "a", "v1", 32, False, -1, 1, ()
                )
                for e in self.engines
            ],
            0.0,
        )
        self.tries: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.store_loads: list[StoreLoad] = []
        self.queue = StoreQueue(-case.lead_s, is_first=True)

    def _place_copies(self) -> None:
        """Put the busy models and some rare ones on the engines, copies on disks."""
        copied = self.busy + self.rare[self.case.uncopied :]
        places = self.case.engines * self.case.places
        held = [copied[n % len(copied)] for n in range(places)]
        self.random.shuffle(held)
        for number, engine in enumerate(self.engines):
            start = number * self.case.places
            engine.models = list(dict.fromkeys(held[start : start + self.case.places]))
        wheel = copied * self.case.engines
        self.random.shuffle(wheel)
        for engine in self.engines:
            copies = list(engine.models)
            while len(copies) < self.case.disk_copies:
                name = wheel.pop()
                if name not in copies:
                    copies.insert(0, name)
            engine.on_disk = copies

    def run(self) -> FleetPlay:
        steps = int((self.case.lead_s + self.case.length_s) / _STEP_S)
        for step in range(steps):
            now = round(step * _STEP_S - self.case.lead_s, 3)
            self._advance(now)
            for engine in self.engines:
                if step % 2 == 0 or not engine.reports:
                    engine.reports.append((now, engine.report(now)))
            self._hear(now)
            if now >= 0:
                self._call(now)
            if step % int(_USE_S / _STEP_S) == 0:
                self._tell_use(now)
            if step % int(_WANT_S / _STEP_S) == 0:
                self._tell_wants(now)
            for engine in self.engines:
                self._decide(engine, now)
        models = {
            name: ModelAccount(count, self.served[name])
            for name, count in self.tries.items()
        }
        return FleetPlay(models, self.store_loads)

    def _advance(self, now: float) -> None:
        for engine in self.engines:
            engine.runs = [run for run in engine.runs if run[0] > now]
            change = engine.change
            if change is None:
                continue
            engine.work_s -= _STEP_S
            in_use = any(name == change.model for _, name in engine.runs)
            if engine.work_s <= 0 and (change.loads or not in_use):
                if engine.is_remote:
                    self.queue.release(engine.address, True, now)
                    load = self.store_loads[engine.load_number]
                    self.store_loads[engine.load_number] = load._replace(ended_at=now)
                engine.end(self.case.disk_copies)

    def _hear(self, now: float) -> None:
        """Bring the entry the reports; it hears of an engine in use at once."""
        at = now - self.case.report_delay_s / 2
        for engine in self.engines:
            self.entry.directory.take_report(engine.find_report(at), at)

    def _call(self, now: float) -> None:
        for names, rate in (
            (self.busy, self.case.busy_rate),
            (self.rare, self.case.rare_rate),
        ):
            for _ in range(self._draw(rate * _STEP_S)):
                self._take_call(self.random.choice(names), now)
        for name, waits in self.entry.waits.items():
            engine = self._find_holder(name)
            if engine is not None:
                for _ in waits:
                    self._serve(engine, name, now)
                waits.clear()
            for wait in [w for w in waits if w.leaves_at <= now]:
                waits.remove(wait)
                self.entry.refuse(name, now)

    def _draw(self, mean: float) -> int:
        whole = int(mean)
        return whole + (self.random.random() < mean - whole)

    def _take_call(self, name: str, now: float) -> None:
        self.tries[name] += 1
        engine = self._find_holder(name)
        if engine is not None:
            self._serve(engine, name, now)
            return
        wait = WaitingRequest(now, self.case.target_s, now + self.case.patience_s)
        place = self.entry.find_place(self.models[name], now)
        if place and is_expected_too_late(wait, place.ready_s, place.load_s, now):
            self.entry.refuse(name, now)
            return
        self.entry.waits[name].append(wait)

    def _find_holder(self, name: str) -> _Engine | None:
        holders = [
            e
            for e in self.engines
            if name in e.models and not (e.change and e.change.model == name)
        ]
        return min(holders, key=lambda e: len(e.runs), default=None)

    def _serve(self, engine: _Engine, name: str, now: float) -> None:
        self.served[name] += 1
        self.entry.missed_since.pop(name, None)
        engine.runs.append((now + _RUN_S, name))
        engine.begun[name] += 1

    def _tell_use(self, now: float) -> None:
        for engine in self.engines:
            running = Counter(name for _, name in engine.runs)
            names = {*running, *engine.begun}
            if names:
                uses = [(n, running[n], engine.begun[n]) for n in sorted(names)]
                engine.residency.note_usage(_ENTRY, uses, now)
            engine.begun.clear()

    def _tell_wants(self, now: float) -> None:
        for name, model in self.models.items():
            waits = self.entry.waits[name]
            returning = self.entry.count_refused(name, now)
            since = self.entry.missed_since.get(name, now)
            if self._find_holder(name) is not None:
                continue
            if not (waits or returning or now - since >= _REFUSED_S):
                continue
            place = self.entry.find_place(model, now)
            if place is None:
                continue
            engine = next(
                e for e in self.engines if e.address == place.server.listed.address
            )
            urgency = weigh_waiting_requests(waits, place.ready_s, now)
            engine.residency.note_demand(
                _ENTRY, name, len(waits), urgency, now, now - since, returning
            )
            former = self.entry.asked.get(name, engine)
            if former is not engine:
                former.residency.note_demand(_ENTRY, name, 0, 0.0, now)
            self.entry.asked[name] = engine

    def _decide(self, engine: _Engine, now: float) -> None:
        if engine.change is not None:
            if engine.is_remote:
                self.queue.renew_slot(engine.address, engine.change.model, True, now)
            return
        others = [
            other.find_report(now - self.delays[engine.address, other.address])
            for other in self.engines
            if other is not engine
        ]
        if engine.copies is None or now - engine.copies_at >= _COPIES_S:
            reports = [*others, engine.report(now)]
            engine.copies = gather_copies(reports, engine.address, True)
            engine.copies_at = now
        copies = refresh_loads(engine.copies, others)._replace(has_owner=True)
        residency = engine.residency
        residency.store_slot = engine.granted
        intent = residency.choose(engine.status(), copies, now)
        if intent is not None and not self._acquire_store_slot(engine, intent, now):
            residency.store_retry_at = now + _ASK_S
            residency.store_slot = ""
            intent = residency.choose(engine.status(), copies, now)
        if intent is None:
            if engine.granted:
                self._withdraw(engine, now)
            return
        if intent.adapter:
            return
        if not intent.fetches:
            self._withdraw(engine, now)
        engine.begin(intent, self.models[intent.model])
        if engine.is_remote:
            fetching = sum(1 for e in self.engines if e.change and e.is_remote)
            engine.work_s *= max(fetching / self.case.store_at_once, 1.0)
            engine.load_number = len(self.store_loads)
            self.store_loads.append(StoreLoad(intent.model, now, float("inf")))

    def _acquire_store_slot(self, engine: _Engine, intent: Intent, now: float) -> bool:
        if not intent.fetches or engine.granted == intent.fetches:
            return True
        turn = self.queue.request_slot(
            engine.address, intent.fetches, intent.weight, self.case.remote_s, now
        )
        engine.granted = intent.fetches if turn.is_granted else ""
        engine.is_queued = not turn.is_granted
        return turn.is_granted

    def _withdraw(self, engine: _Engine, now: float) -> None:
        """Return an engine's unused slot or its request for one."""
        if engine.granted or engine.is_queued:
            engine.granted = ""
            engine.is_queued = False
            self.queue.release(engine.address, False, now)


def play_fleet(case: FleetCase, seed: int) -> FleetPlay:
    """Play a case; the same seed gives the same play."""
    return _Play(case, seed).run()
