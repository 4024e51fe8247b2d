"""The fleet leader of a virtual-time run: the log and the planner."""

from collections.abc import Callable

from .. import defaults
from ..decisions.demand import DemandTable
from ..decisions.inventory import (
    ModelKey,
    ModelSpec,
    PlannerView,
    ReplicaRecord,
)
from ..decisions.planner import Planner, PlannerSettings
from ..messages.commands import AdvanceReplica, DecideReplica
from ..messages.feed import NodeReport
from .clock import Clock
from .history import Event

__all__ = ["Control"]

_COMMIT_S = 0.01
_QUIET_INTERVAL_S = 0.5
_NEXT_PHASES = {
    "ordered": ("loaded", "failed"),
    "loaded": ("unloading",),
    "unloading": ("gone",),
    "failed": ("gone",),
}


class Control:
    """Commits the planner's actions and tells who needs to know.

    Args:
        clock: Virtual time.
        models: The models by key.
        settings: The planner's settings.
        note: Receives history events.
        publish: Receives each changed record after its commit.
    """

    def __init__(
        self,
        clock: Clock,
        models: dict[ModelKey, ModelSpec],
        settings: PlannerSettings,
        note: Callable[[Event], None],
        publish: Callable[[ReplicaRecord], None],
    ) -> None:
        self.clock = clock
        self.planner = Planner(settings)
        self.demands = DemandTable()
        self.records: dict[int, ReplicaRecord] = {}
        self.by_model: dict[ModelKey, dict[int, ReplicaRecord]] = {}
        self.decided = 0
        self.unloads: dict[str, int] = {}
        self.rejected = 0
        self._models = models
        self._note = note
        self._publish = publish
        self._version = 0
        self._lost: frozenset[str] = frozenset()
        self._reports: dict[str, NodeReport] = {}
        self._next_plan = float("inf")
        self._view: PlannerView | None = None

    def start(self) -> None:
        """Start planning."""
        self._plan_at(self.clock.now)

    def take_report(self, report: NodeReport) -> None:
        """Take over a node's report."""
        self._reports[report.node] = report
        if report.role == "entry":
            self.demands.observe(report, self.clock.now)
        self._plan_at(self.clock.now + defaults.PLAN_INTERVAL_S)

    def remove_node(self, node: str) -> None:
        """Drop a node that membership has removed."""
        self._reports.pop(node, None)
        self.demands.remove(node)

    def declare_lost(self, host: str) -> None:
        """Declare a host lost after its lease has ended."""
        self._lost |= {host}
        self._view = None

    def ready_replicas(self, key: ModelKey) -> list[ReplicaRecord]:
        """Return the loaded replicas of a model by the log."""
        found = self.by_model.get(key, {}).values()
        return [record for record in found if record.phase == "loaded"]

    def estimate_ready_s(self, key: ModelKey) -> float:
        """Return the planner's estimate for a model."""
        return self.planner.estimate_ready_s(key, self.clock.now)

    def _plan_at(self, when: float) -> None:
        if when < self._next_plan:
            self._next_plan = when
            self.clock.call_at(when, self._plan, when)

    def _plan(self, when: float) -> None:
        if when != self._next_plan:
            return
        self._next_plan = float("inf")
        if self._view is None:
            self._view = PlannerView(
                self._version, self.records, self._models, frozenset(), self._lost
            )
        now = self.clock.now
        for action in self.planner.plan(self._view, self._reports, self.demands, now):
            self.clock.call_in(_COMMIT_S, self._commit, action)
        busy = any(d.requests for d in self.demands.collect(now).values())
        interval = defaults.PLAN_INTERVAL_S if busy else _QUIET_INTERVAL_S
        self._plan_at(now + interval)

    def _commit(self, action: DecideReplica | AdvanceReplica) -> None:
        if isinstance(action, DecideReplica):
            self._version += 1
            self.decided += 1
            self._put(
                ReplicaRecord(
                    self._version,
                    action.service,
                    action.model,
                    action.backend,
                    action.host,
                    action.memory_mb,
                    action.from_tier,
                    "ordered",
                )
            )
            return
        record = self.records.get(action.replica)
        if record is None or action.phase not in _NEXT_PHASES[record.phase]:
            self.rejected += 1
            self.planner.record_outcome(action, False)
            return
        if action.phase == "unloading":
            reason = action.reason.partition(" for ")[0]
            self.unloads[reason] = self.unloads.get(reason, 0) + 1
        self._version += 1
        self._put(record._replace(phase=action.phase))

    def _put(self, record: ReplicaRecord) -> None:
        self.records = dict(self.records)
        self.records[record.replica] = record
        self.by_model.setdefault(record.key, {})[record.replica] = record
        if record.phase == "ordered":
            self._note_record("decided", record)
        if record.phase == "gone":
            del self.records[record.replica]
            del self.by_model[record.key][record.replica]
            self._note_record("gone", record)
        self._view = None
        self._publish(record)

    def _note_record(self, kind: str, record: ReplicaRecord) -> None:
        self._note(
            Event(self.clock.now, kind, record.replica, record.model, record.host)
        )
