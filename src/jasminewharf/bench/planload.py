"""A synthetic fleet that drives the planner to measure its CPU time."""

import time
from random import Random
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from .. import defaults
from ..decisions.demand import DemandTable
from ..decisions.inventory import ModelKey, ModelSpec, PlannerView, ReplicaRecord
from ..decisions.planner import Planner
from ..messages.commands import DecideReplica
from ..messages.feed import BackendReport, Demand, NodeReport, ReplicaReport

__all__ = ["FleetSize", "measure_plan_time"]

_HOST_MB = 640_000
_LOAD_S = 5.0
_CACHED_PER_HOST = 20
_US_PER_S = 1_000_000
_LONGEST_US = 60 * _US_PER_S


class FleetSize(NamedTuple):
    """Sizes; each host has two backend servers. ``active`` is a share of models."""

    name: str
    models: int
    replicas: int
    adapters: int
    hosts: int
    entries: int
    active: float = 0.25


def measure_plan_time(size: FleetSize, seconds: float, seed: int) -> dict[str, Any]:
    """Return the CPU time of planning at one size.

    Every node reports once a second, spread over the plans; each plan is followed
    by the commit of its actions. A few models become active in each second.

    Args:
        size: The fleet.
        seconds: How much time of operation to run.
        seed: Seed of the fleet and its demand.
    """
    fleet = _Fleet(size, Random(seed))
    fleet.warm_up()
    plans = HdrHistogram(1, _LONGEST_US, 3)
    planning = observing = 0.0
    ticks = int(seconds / defaults.PLAN_INTERVAL_S)
    for tick in range(ticks):
        fleet.now += defaults.PLAN_INTERVAL_S
        reports = fleet.create_reports(tick)
        begun = time.process_time()
        fleet.observe(reports)
        observed = time.process_time()
        actions = fleet.plan()
        planned = time.process_time()
        fleet.commit(actions)
        observing += observed - begun
        planning += planned - observed
        plans.record_value(max(1, int((planned - observed) * _US_PER_S)))
    elapsed = ticks * defaults.PLAN_INTERVAL_S
    return {
        **size._asdict(),
        "plan_us_p50": plans.get_value_at_percentile(50),
        "plan_us_p99": plans.get_value_at_percentile(99),
        "plan_core_percent": round(100 * planning / elapsed, 2),
        "observe_core_percent": round(100 * observing / elapsed, 2),
        "actions": fleet.actions,
    }


class _Fleet:
    def __init__(self, size: FleetSize, random: Random) -> None:
        self.size = size
        self.random = random
        self.now = 1000.0
        self.actions = 0
        self.planner = Planner()
        self.demands = DemandTable()
        self._reports: dict[str, NodeReport] = {}
        self._records: dict[int, ReplicaRecord] = {}
        self._ordered: dict[int, float] = {}
        self._version = 0
        self._sequence = 0
        self._models: dict[ModelKey, ModelSpec] = {}
        for index in range(size.models):
            spec = ModelSpec(
                "s", f"m{index}", "p", f"c{index}", 40_000, 4_000, 16_000, 0, 4
            )
            self._models[spec.key] = spec
        self._keys = list(self._models)
        count = int(size.models * size.active)
        self._active = random.sample(self._keys, count)
        self._cached = [self._draw_cached() for _ in range(2 * size.hosts)]
        self._place_replicas()

    def _draw_cached(self) -> list[tuple[str, str]]:
        count = min(_CACHED_PER_HOST, self.size.models)
        drawn = self.random.sample(range(self.size.models), count)
        return [(f"c{index}", "disk") for index in drawn]

    def _place_replicas(self) -> None:
        for number in range(self.size.replicas):
            self._version += 1
            host = number % self.size.hosts
            backend = f"b{host}-{number // self.size.hosts % 2}"
            model = f"m{number % self.size.models}"
            self._records[self._version] = ReplicaRecord(
                self._version, "s", model, backend, f"h{host}", 60_000, "disk", "loaded"
            )

    def warm_up(self) -> None:
        """Send every report once and plan, so that nothing new is measured."""
        for tick in range(int(1 / defaults.PLAN_INTERVAL_S)):
            self.observe(self.create_reports(tick))
        self.plan()

    def create_reports(self, tick: int) -> list[NodeReport]:
        """Return the reports that arrive before this plan."""
        interval = int(1 / defaults.PLAN_INTERVAL_S)
        if tick % interval == 0:
            self._active.pop(0)
            self._active.append(self.random.choice(self._keys))
        self._sequence += 1
        hosts = range(tick % interval, self.size.hosts, interval)
        entries = range(tick % interval, self.size.entries, interval)
        reports = [self._report_host(number) for number in hosts]
        return reports + [self._report_entry(number) for number in entries]

    def _report_host(self, number: int) -> NodeReport:
        by_backend: dict[str, list[ReplicaReport]] = {}
        for record in self._records.values():
            if record.host != f"h{number}":
                continue
            ended = self.now - self._ordered.get(record.replica, 0.0) > _LOAD_S
            state = "loaded" if ended else "loading"
            if record.phase == "unloading":
                state = "gone"
            reports = by_backend.setdefault(record.backend, [])
            reports.append(ReplicaReport(record.replica, record.model, state, ""))
        backends = []
        for side in range(2):
            name = f"b{number}-{side}"
            cached = self._cached[2 * number + side]
            queued = self.random.choice([0, 0, 0, 2000])
            held = by_backend.get(name, [])
            backends.append(
                BackendReport(name, "p", "d", True, 4, 0, queued, 500.0, held, cached)
            )
        return NodeReport(
            f"a{number}",
            "agent",
            f"h{number}",
            f"z{number % 6}",
            1,
            self._sequence,
            0,
            "",
            _HOST_MB,
            False,
            backends,
            [],
        )

    def _report_entry(self, number: int) -> NodeReport:
        adapters = max(1, self.size.adapters // self.size.models // 4)
        demands = [
            Demand("s", key.model, f"x{index}", 2, 500, 20_000, 300)
            for key in self._active
            for index in range(adapters)
        ]
        return NodeReport(
            f"e{number}",
            "entry",
            "",
            "z",
            1,
            self._sequence,
            0,
            "",
            0,
            False,
            [],
            demands,
        )

    def observe(self, reports: list[NodeReport]) -> None:
        """Take over reports as the leader does."""
        for report in reports:
            self._reports[report.node] = report
            if report.role == "entry":
                self.demands.observe(report, self.now)

    def plan(self) -> list[Any]:
        """Run one plan."""
        view = PlannerView(self._version, self._records, self._models)
        return self.planner.plan(view, self._reports, self.demands, self.now)

    def commit(self, actions: list[Any]) -> None:
        """Commit the actions."""
        self.actions += len(actions)
        if actions:
            self._records = dict(self._records)
        for action in actions:
            self._version += 1
            if isinstance(action, DecideReplica):
                record = ReplicaRecord(self._version, *action, "ordered")
                self._ordered[self._version] = self.now
            else:
                record = self._records[action.replica]._replace(phase=action.phase)
            self._records[record.replica] = record
            if record.phase == "gone":
                del self._records[record.replica]
