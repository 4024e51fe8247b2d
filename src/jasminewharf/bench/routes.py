"""Routing policies in virtual time: entries with own counts and stale reports."""

import random
from collections import OrderedDict
from typing import NamedTuple

from ..decisions.admission import Admission, AdmissionLimits
from ..decisions.health import OutlierDetector
from ..decisions.prefixes import CacheEvent, PrefixHints
from ..decisions.queueing import INTERACTIVE, QUEUES, QueueLimits
from ..decisions.retries import NOT_BEGUN, Attempt, RetryBudget, may_retry
from ..decisions.routing import ROUTERS, Candidate
from .queue_simulation import Arrival, CallResult, SimulatedBackend, Timeline

__all__ = ["FLEETS", "POLICIES", "Fleet", "Policy", "compare_routers", "run_router"]

_REPORT_EVERY_S = 1.0
_REPORT_LAG_S = 0.5
_EVENT_LAG_S = 0.5
_EVENT_LOSS = 0.1
_BLOCKS = 16
_BLOCK_TOKENS = 64
_FAILURE_S = 0.02


class Fleet(NamedTuple):
    """Entries, backend servers and calls; ``utilisation`` is of all slots.

    ``prefixes`` is the number of prompts that calls share; ``cache_blocks`` is
    the size of each server's prefix cache. ``slow_backend`` is a factor on the
    times of the first server, which refuses all calls in ``failing_between``.
    """

    entries: int
    backends: int
    zones: int
    utilisation: float
    prefixes: int = 60
    cache_blocks: int = 320
    seconds: float = 300.0
    slots: int = 16
    slow_backend: float = 1.0
    failing_between: tuple[float, float] = (0.0, 0.0)


class Policy(NamedTuple):
    """A router and what stands beside it."""

    router: str
    affinity: bool = False
    ejection: bool = True
    retries: bool = True


POLICIES: dict[str, Policy] = {
    "two_choices": Policy("two_choices", True),
    "without affinity": Policy("two_choices"),
    "least_loaded": Policy("least_loaded"),
    "random": Policy("random"),
    "without ejection": Policy("two_choices", True, ejection=False),
    "without retries": Policy("two_choices", True, retries=False),
    "without both": Policy("two_choices", True, False, False),
}


FLEETS: dict[str, Fleet] = {
    "guild evening": Fleet(4, 5, 4, 0.8),
    "qurum night": Fleet(3, 6, 3, 0.3),
    "many entries": Fleet(24, 12, 3, 0.85, seconds=120.0),
    "one slow server": Fleet(4, 5, 4, 0.6, slow_backend=2.5),
    "one failing server": Fleet(4, 5, 4, 0.5, failing_between=(60.0, 180.0)),
}


class _Cache:
    """A server's prefix cache; returns the events of each use."""

    def __init__(self, blocks: int) -> None:
        self._limit = blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def use(self, hashes: list[int]) -> tuple[float, list[tuple[str, int]]]:
        cached = sum(1 for block in hashes if block in self._blocks) / len(hashes)
        events = [("stored", block) for block in hashes if block not in self._blocks]
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            evicted, _ = self._blocks.popitem(last=False)
            events.append(("evicted", evicted))
        return cached, events


class _Entry:
    def __init__(self, zone: str, backends: list[str]) -> None:
        self.zone = zone
        self.own = dict.fromkeys(backends, 0)
        self.reports: dict[str, tuple[int, int, float]] = {}
        self.hints = PrefixHints()
        self.health = OutlierDetector()
        self.budget = RetryBudget()


class _Run:
    def __init__(self, fleet: Fleet, policy: Policy, seed: int) -> None:
        self.fleet = fleet
        self.policy = policy
        self.choose = ROUTERS[policy.router]
        self.failed = 0
        self.retries = 0
        self.source = random.Random(seed + 2)
        self.timeline = Timeline()
        self.results: list[CallResult] = []
        self.cached: list[float] = []
        self.remote = 0
        self.entry_of: dict[int, tuple[_Entry, str]] = {}
        self.names = [f"b{number}" for number in range(fleet.backends)]
        self.zones = {
            name: f"z{number % fleet.zones}" for number, name in enumerate(self.names)
        }
        self.backends = {name: self._build_backend(name) for name in self.names}
        self.caches = {name: _Cache(fleet.cache_blocks) for name in self.names}
        self.sequences = dict.fromkeys(self.names, 0)
        self.entries = [
            _Entry(f"z{number % fleet.zones}", self.names)
            for number in range(fleet.entries)
        ]

    def _build_backend(self, name: str) -> SimulatedBackend:
        fleet = self.fleet
        factor = fleet.slow_backend if name == "b0" else 1.0
        queue = QUEUES["fair"]({}, QueueLimits())
        admission = Admission(queue, AdmissionLimits(slots=fleet.slots))
        return SimulatedBackend(
            self.timeline, admission, self._finish, lambda now: factor, admit_all=True
        )

    def arrive(self, arrival: Arrival) -> None:
        entry = self.entries[arrival.number % len(self.entries)]
        entry.budget.deposit()
        self._try(entry, arrival, 1, frozenset())

    def _try(
        self, entry: _Entry, arrival: Arrival, number: int, tried: frozenset[str]
    ) -> None:
        now = self.timeline.now
        hashes = [arrival.prefix * _BLOCKS + index for index in range(_BLOCKS)]
        usable = [name for name in self.names if name not in tried]
        if self.policy.ejection:
            usable = entry.health.usable(usable, now)
        candidates = [self._describe(entry, name, hashes) for name in usable]
        chosen = self.choose(candidates, entry.zone, self.source).backend
        entry.own[chosen] += 1
        start, end = self.fleet.failing_between
        if chosen == self.names[0] and start <= now < end:
            self.timeline.at(
                now + _FAILURE_S,
                lambda: self._fail(entry, arrival, number, tried | {chosen}),
            )
            return
        entry.hints.note_route(chosen, hashes, now)
        self.entry_of[arrival.number] = (entry, chosen)
        cached, events = self.caches[chosen].use(hashes)
        self.cached.append(cached)
        self.remote += self.zones[chosen] != entry.zone
        self._publish_events(chosen, events)
        self.backends[chosen].arrive(arrival, cached)

    def _fail(
        self, entry: _Entry, arrival: Arrival, number: int, tried: frozenset[str]
    ) -> None:
        failing = self.names[0]
        entry.own[failing] -= 1
        entry.health.record(failing, False, self.timeline.now)
        attempt = Attempt(NOT_BEGUN, False, 0, number, arrival.deadline_s)
        if self.policy.retries and may_retry(attempt, entry.budget):
            self.retries += 1
            self._try(entry, arrival, number + 1, tried)
        else:
            self.failed += 1

    def _describe(self, entry: _Entry, name: str, hashes: list[int]) -> Candidate:
        now = self.timeline.now
        reported, own_then, at = entry.reports.get(name, (0, 0, float("-inf")))
        share = (
            entry.hints.cached_share(name, hashes, now) if self.policy.affinity else 0.0
        )
        return Candidate(
            name,
            self.zones[name],
            self.fleet.slots,
            entry.own[name],
            reported,
            own_then,
            now - at,
            share,
        )

    def _publish_events(self, name: str, events: list[tuple[str, int]]) -> None:
        for kind, block in events:
            self.sequences[name] += 1
            event = CacheEvent(self.sequences[name], kind, block)
            if self.source.random() >= _EVENT_LOSS:
                at = self.timeline.now + _EVENT_LAG_S
                self.timeline.at(at, lambda event=event: self._apply(name, event))

    def _apply(self, name: str, event: CacheEvent) -> None:
        for entry in self.entries:
            entry.hints.apply(name, event, self.timeline.now)

    def publish_reports(self) -> None:
        loads = {name: backend.load for name, backend in self.backends.items()}
        taken = self.timeline.now

        def deliver() -> None:
            for entry in self.entries:
                for name, load in loads.items():
                    entry.reports[name] = (load, entry.own[name], taken)

        self.timeline.at(taken + _REPORT_LAG_S, deliver)
        if taken + _REPORT_EVERY_S < self.fleet.seconds:
            self.timeline.at(taken + _REPORT_EVERY_S, self.publish_reports)

    def _finish(self, result: CallResult) -> None:
        entry, name = self.entry_of.pop(result.arrival.number)
        entry.own[name] -= 1
        entry.health.record(name, True, self.timeline.now)
        # Every answer carries the load that its agent counts.
        load = self.backends[name].load
        entry.reports[name] = (load, entry.own[name], self.timeline.now)
        self.results.append(result)


def _draw_calls(fleet: Fleet, seed: int) -> list[Arrival]:
    """Return arrivals; popular prefixes are used more often than rare ones."""
    source = random.Random(seed)
    step_s = 0.012 + 0.0004 * fleet.slots * fleet.utilisation
    service_s = 150 * step_s + _BLOCKS * _BLOCK_TOKENS * 0.0002 * 0.5
    rate = fleet.utilisation * fleet.slots * fleet.backends / service_s
    weights = [1 / (rank + 1) for rank in range(fleet.prefixes)]
    arrivals = []
    at = 0.0
    while (at := at + source.expovariate(rate)) < fleet.seconds:
        tokens = int(source.expovariate(1 / 150)) + 1
        prefix = source.choices(range(fleet.prefixes), weights)[0]
        arrivals.append(
            Arrival(
                at,
                len(arrivals),
                f"w{prefix % 5}",
                INTERACTIVE,
                tokens,
                max(tokens, 300),
                1e6,
                prefix,
                _BLOCKS * _BLOCK_TOKENS,
            )
        )
    return arrivals


def run_router(fleet: Fleet, policy: Policy, seed: int) -> dict[str, float]:
    """Run one fleet with one policy; return its figures."""
    run = _Run(fleet, policy, seed)
    run.timeline.at(0.0, run.publish_reports)
    for arrival in _draw_calls(fleet, seed):
        run.timeline.at(arrival.at, lambda call=arrival: run.arrive(call))
    run.timeline.run()
    firsts = sorted(item.first_token_s for item in run.results)
    waits = sorted(item.wait_s for item in run.results)
    count = len(firsts)
    return {
        "calls": count + run.failed,
        "failed_share": run.failed / (count + run.failed),
        "retry_share": run.retries / (count + run.failed),
        "first_token_mean_s": sum(firsts) / count,
        "first_token_p50_s": firsts[count // 2],
        "first_token_p95_s": firsts[int(count * 0.95)],
        "first_token_p99_s": firsts[int(count * 0.99)],
        "wait_p99_s": waits[int(count * 0.99)],
        "cached_share": sum(run.cached) / count,
        "other_zone_share": run.remote / count,
    }


def compare_routers(seed: int) -> dict[str, dict[str, dict[str, float]]]:
    """Run every fleet with each policy on the same arrivals.

    Ejection and retries are switched off only where a server fails.
    """
    figures: dict[str, dict[str, dict[str, float]]] = {}
    for name, fleet in FLEETS.items():
        failing = fleet.failing_between[1] > 0
        figures[name] = {
            label: run_router(fleet, policy, seed)
            for label, policy in POLICIES.items()
            if failing or (policy.ejection and policy.retries)
        }
    return figures
