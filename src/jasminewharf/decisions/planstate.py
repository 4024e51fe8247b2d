"""Planner state between plans, including the proposed actions.

Actions that are proposed but not yet in the view count as committed: their memory
and store slots are reserved immediately.
"""

from collections.abc import Mapping
from typing import NamedTuple

from .. import defaults
from ..messages.commands import AdvanceReplica, DecideReplica
from ..messages.feed import NodeReport, ReplicaReport
from .inventory import (
    BackendKey,
    Inventory,
    ModelKey,
    ModelSpec,
    PlannerView,
    ReplicaIndex,
    ReplicaRecord,
    Transition,
)
from .memory import MemoryLedger
from .placement import LoadTimes
from .storebudget import StoreBudget

__all__ = ["Action", "PlanState"]

Action = DecideReplica | AdvanceReplica

# Phases from each phase to ``gone`` that need no further engine report.
_PATHS_TO_GONE = {
    "ordered": ("failed", "gone"),
    "loaded": ("unloading", "gone"),
    "unloading": ("gone",),
    "failed": ("gone",),
}


class _Failures(NamedTuple):
    count: int
    until: float


class _Decided(NamedTuple):
    holder: object
    command: DecideReplica


class PlanState:
    """Indexes, memory reservations, store budget and proposed actions.

    Args:
        budget: The weight store's budget.
        load_times: Estimates of load times.
    """

    def __init__(self, budget: StoreBudget, load_times: LoadTimes) -> None:
        self.budget = budget
        self.load_times = load_times
        self.inventory = Inventory()
        self.replicas = ReplicaIndex()
        self.memory = MemoryLedger()
        self.models: Mapping[ModelKey, ModelSpec] = {}
        self.leaving: frozenset[str] = frozenset()
        self.evacuated: frozenset[str] = frozenset()
        self.lost: frozenset[str] = frozenset()
        self.loaded_at: dict[int, float] = {}
        self.ordered_at: dict[int, float] = {}
        self.actions: list[Action] = []
        self.newly_loaded: list[ReplicaRecord] = []
        self._version = -1
        self._reported_leaving: set[str] = set()
        self._unknown: dict[str, dict[str, set[int]]] = {}
        self._blocked_hosts: set[str] = set()
        self._decided: list[_Decided] = []
        self._advanced: dict[int, str] = {}
        self._timed: set[int] = set()
        self._scales: dict[str, float] = {}
        self._failures: dict[tuple[ModelKey, BackendKey], _Failures] = {}
        self._missing: dict[BackendKey, float] = {}
        self._serial = 0

    def refresh(
        self, view: PlannerView, reports: Mapping[str, NodeReport], now: float
    ) -> None:
        """Apply the changes since the last plan."""
        self.newly_loaded = []
        changed = self.inventory.refresh(reports)
        for report in changed:
            if report.role == "agent":
                self._take_host(report)
        if view.version != self._version:
            self._version = view.version
            self.models = view.models
            for transition in self.replicas.refresh(view.replicas):
                self._take_transition(transition, now)
        self.leaving = view.draining | self._reported_leaving
        self.lost = view.lost
        self.evacuated = view.evacuated
        for report in changed:
            self._take_replicas(report)
        for host in self.lost:
            for record in list(self.replicas.on_host(host)):
                self.advance_to_gone(record, "host lost")

    def record_outcome(self, action: Action, committed: bool) -> None:
        """Record the outcome of a proposed action.

        A committed decision stays counted until its replica appears in the view.

        Args:
            action: An action of an earlier plan.
            committed: False only if the action is known to have had no effect.
        """
        if isinstance(action, AdvanceReplica):
            if not committed:
                self._advanced.pop(action.replica, None)
        elif not committed:
            self._withdraw(action)

    def _withdraw(self, command: DecideReplica) -> None:
        for decided in self._decided:
            if decided.command == command:
                self._decided.remove(decided)
                self.memory.release(command.host, decided.holder)
                self.budget.cancel(decided.holder)
                return

    def _take_host(self, report: NodeReport) -> None:
        self.memory.set_capacity(report.host, report.memory_mb)
        if report.leaving:
            self._reported_leaving.add(report.host)
        else:
            self._reported_leaving.discard(report.host)

    def _take_transition(self, change: Transition, now: float) -> None:
        record = change.after or change.before
        number = record.replica
        if change.before is None:
            self._take_new(record, now)
        if change.after is None:
            self.memory.release(record.host, number)
        phase = change.after.phase if change.after is not None else "gone"
        if phase == "loaded" and number in self._timed:
            self._learn_load_time(record, now)
        if phase != "ordered":
            self._timed.discard(number)
            spec = self.models.get(record.key)
            usual_s = self.nominal_load_s(spec, record.from_tier) if spec else None
            self.budget.end(number, phase != "loaded", now, usual_s)
            self.ordered_at.pop(number, None)
        if phase == "loaded":
            self.loaded_at[number] = now
            self.newly_loaded.append(record)
            self._failures.pop((record.key, _backend_key(record)), None)
        if phase == "failed":
            self._note_failure(record, now)
        if phase == "gone":
            self.loaded_at.pop(number, None)
        self._settle_advance(number, phase)

    def _take_new(self, record: ReplicaRecord, now: float) -> None:
        self.memory.restore(record.host, record.replica, record.memory_mb)
        if record.phase == "ordered":
            self.ordered_at[record.replica] = now
        for decided in self._decided:
            command = decided.command
            if (command.service, command.model, command.host, command.backend) == (
                record.service,
                record.model,
                record.host,
                record.backend,
            ):
                self._decided.remove(decided)
                self.memory.release(record.host, decided.holder)
                self.budget.adopt(decided.holder, record.replica)
                self._timed.add(record.replica)
                break
        self.budget.recover([record], now)

    def _learn_load_time(self, record: ReplicaRecord, now: float) -> None:
        """Update the scale of a tier's load time estimates from a finished load.

        The first load sets the scale. Afterwards it adapts quickly to faster loads and
        slowly to slower ones, because a store that is temporarily slow must still be
        compared with its usual speed.
        """
        spec = self.models.get(record.key)
        if spec is None:
            return
        tier = record.from_tier
        nominal = self.load_times.estimate(spec.weights_mb, tier)
        ratio = (now - self.ordered_at[record.replica]) / nominal
        scale = self._scales.setdefault(tier, ratio)
        gain = defaults.SLOWER_LOAD_GAIN
        if ratio < scale:
            gain = defaults.FASTER_LOAD_GAIN
        self._scales[tier] = scale + gain * (ratio - scale)

    def nominal_load_s(self, spec: ModelSpec, tier: str) -> float:
        """Return the load time at the tier's usual speed, in seconds."""
        scale = self._scales.get(tier, 1.0)
        return scale * self.load_times.estimate(spec.weights_mb, tier)

    def estimate_load_s(self, spec: ModelSpec, tier: str) -> float:
        """Return the load time at the tier's current speed, in seconds."""
        seconds = self.nominal_load_s(spec, tier)
        return seconds * self.budget.slowdown if tier == "remote" else seconds

    def _settle_advance(self, number: int, phase: str) -> None:
        if phase == "gone" or self._advanced.get(number) == phase:
            self._advanced.pop(number, None)

    def _note_failure(self, record: ReplicaRecord, now: float) -> None:
        key = (record.key, _backend_key(record))
        count = self._failures.get(key, _Failures(0, 0.0)).count + 1
        backoff = defaults.LOAD_FAILURE_BACKOFF_S * 2.0 ** (count - 1)
        backoff = min(backoff, defaults.LOAD_FAILURE_BACKOFF_MAX_S)
        self._failures[key] = _Failures(count, now + backoff)

    def _take_replicas(self, report: NodeReport) -> None:
        unknown = self._unknown.setdefault(report.host, {})
        for backend in report.backends:
            found = set()
            for replica in backend.replicas:
                record = self.replicas.records.get(replica.replica)
                if record is None:
                    if replica.state in ("loading", "loaded"):
                        found.add(replica.replica)
                elif (record.host, record.backend) == (report.host, backend.backend):
                    self._take_state(record, replica)
            unknown[backend.backend] = found
        if any(unknown.values()):
            self._blocked_hosts.add(report.host)
        else:
            self._blocked_hosts.discard(report.host)

    def _take_state(self, record: ReplicaRecord, report: ReplicaReport) -> None:
        if report.state == "gone":
            self.advance_to_gone(record, report.reason or "engine confirmed")
        elif report.state == "loaded" and record.phase == "ordered":
            self.advance(record, ("loaded",), "engine loaded")
        elif report.state == "failed" and record.phase == "ordered":
            self.advance(record, ("failed",), report.reason)
        elif report.state == "failed" and record.phase == "loaded":
            self.advance(record, ("unloading",), report.reason)

    def advance_to_gone(self, record: ReplicaRecord, reason: str) -> None:
        """Propose all remaining phases up to ``gone``."""
        self.advance(record, _PATHS_TO_GONE[record.phase], reason)

    def advance(
        self, record: ReplicaRecord, phases: tuple[str, ...], reason: str
    ) -> None:
        """Propose phases in order, unless the last one is already proposed."""
        number = record.replica
        if self._advanced.get(number) in (phases[-1], "gone"):
            return
        self._advanced[number] = phases[-1]
        self.actions += [AdvanceReplica(number, phase, reason) for phase in phases]

    def decide(
        self, spec: ModelSpec, target: BackendKey, tier: str, load_s: float, now: float
    ) -> None:
        """Propose a replica and reserve its memory and store slot.

        Raises:
            MemoryOvercommit: If the host has too little free memory.
        """
        self._serial += 1
        holder = ("proposed", self._serial)
        self.memory.reserve(target.host, holder, spec.memory_mb)
        if tier == "remote":
            self.budget.begin(holder, target.host, load_s, now)
        command = DecideReplica(
            spec.service, spec.model, target.backend, target.host, spec.memory_mb, tier
        )
        self._decided.append(_Decided(holder, command))
        self.actions.append(command)

    def is_unloading(self, record: ReplicaRecord) -> bool:
        """Return whether a replica is being removed, committed or proposed."""
        if record.phase not in ("ordered", "loaded"):
            return True
        return self._advanced.get(record.replica) in ("unloading", "failed", "gone")

    def is_usable(self, record: ReplicaRecord, now: float) -> bool:
        """Return whether the host and backend server of a replica are available.

        An unreachable backend server counts as available for
        ``UNREACHABLE_GRACE_S``.
        """
        if record.host in self.leaving or record.host in self.lost:
            return False
        if record.host in self.evacuated:
            return False
        key = _backend_key(record)
        backend = self.inventory.backends.get(key)
        if backend is not None and backend.report.reachable:
            self._missing.pop(key, None)
            return True
        since = self._missing.setdefault(key, now)
        return now - since < defaults.UNREACHABLE_GRACE_S

    def count(self, key: ModelKey, now: float) -> tuple[int, int, int]:
        """Return how many replicas of a model are ready, loading and decided.

        Proposed decisions count as loading. Decided includes the replicas that are
        being removed or unavailable.
        """
        ready = coming = decided = 0
        for record in self.replicas.of_model(key):
            decided += 1
            if self.is_unloading(record) or not self.is_usable(record, now):
                continue
            if record.phase == "loaded":
                ready += 1
            else:
                coming += 1
        proposed = 0
        if self._decided:
            proposed = sum(
                1 for d in self._decided if (d.command.service, d.command.model) == key
            )
        return ready, coming + proposed, decided + proposed

    def is_candidate(self, key: ModelKey, target: BackendKey, now: float) -> bool:
        """Return whether a replica of ``key`` may be placed on ``target``.

        A host whose engine holds a replica that is not in the log is excluded, since
        the memory of that replica is not accounted for.
        """
        backend = self.inventory.backends[target]
        if not backend.report.reachable or backend.leaving:
            return False
        host = target.host
        if host in self.leaving or host in self.lost or host in self._blocked_hosts:
            return False
        if host in self.evacuated:
            return False
        failures = self._failures.get((key, target))
        return failures is None or now >= failures.until

    def find_occupied(self, key: ModelKey) -> set[BackendKey]:
        """Return the backend servers that have or will have a replica of a model."""
        occupied = {_backend_key(record) for record in self.replicas.of_model(key)}
        for decided in self._decided:
            command = decided.command
            if (command.service, command.model) == key:
                occupied.add(BackendKey(command.host, command.backend))
        return occupied

    def unloading_mb(self, host: str) -> int:
        """Return the memory of the replicas being removed from a host, in MB."""
        return sum(
            record.memory_mb
            for record in self.replicas.on_host(host)
            if self.is_unloading(record)
        )


def _backend_key(record: ReplicaRecord) -> BackendKey:
    return BackendKey(record.host, record.backend)
