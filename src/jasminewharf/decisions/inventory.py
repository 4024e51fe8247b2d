"""Planner state: replicas from the log, hosts and backend servers from reports."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from ..messages.feed import BackendReport, NodeReport

__all__ = [
    "ACTIVE_PHASES",
    "BackendKey",
    "BackendState",
    "Inventory",
    "ModelKey",
    "ModelSpec",
    "PlannerView",
    "ReplicaIndex",
    "ReplicaRecord",
    "TIERS",
    "Transition",
]

# Phases in which a replica takes part in serving or will do so.
ACTIVE_PHASES = frozenset({"ordered", "loaded"})
# Where a checkpoint can be, fastest first.
TIERS = ("memory", "disk", "remote")


class ModelKey(NamedTuple):
    """Names a model within its service."""

    service: str
    model: str


class BackendKey(NamedTuple):
    """Names a backend server on its host."""

    host: str
    backend: str


class ModelSpec(NamedTuple):
    """A model as its document specifies it.

    ``weights_mb``, ``adapters_mb`` (the adapter reservation) and ``cache_mb`` (the
    KV cache) add up to the memory of one replica. ``tokens_per_s`` is what one
    replica generates with a full batch. ``accelerators`` is what one replica
    occupies.
    """

    service: str
    model: str
    pool: str
    checkpoint: str
    weights_mb: int
    adapters_mb: int = 0
    cache_mb: int = 0
    min_replicas: int = 0
    max_replicas: int = 4
    tokens_per_s: float = 1000.0
    accelerators: float = 1.0

    @property
    def key(self) -> ModelKey:
        """The model's key."""
        return ModelKey(self.service, self.model)

    @property
    def memory_mb(self) -> int:
        """Memory of one replica in MB."""
        return self.weights_mb + self.adapters_mb + self.cache_mb


class ReplicaRecord(NamedTuple):
    """A replica as recorded in the log; ``replica`` is its number."""

    replica: int
    service: str
    model: str
    backend: str
    host: str
    memory_mb: int
    from_tier: str
    phase: str

    @property
    def key(self) -> ModelKey:
        """The model's key."""
        return ModelKey(self.service, self.model)


class PlannerView(NamedTuple):
    """The committed state that a plan starts from.

    ``version`` is the log index; replicas, models and draining hosts only change
    with it. ``lost`` are hosts that were declared lost: nothing runs there. Hosts in
    ``evacuated`` zones keep what they hold and get nothing new.
    """

    version: int
    replicas: Mapping[int, ReplicaRecord]
    models: Mapping[ModelKey, ModelSpec]
    draining: frozenset[str] = frozenset()
    lost: frozenset[str] = frozenset()
    evacuated: frozenset[str] = frozenset()


class Transition(NamedTuple):
    """A replica's record before and after a change of the view."""

    before: ReplicaRecord | None
    after: ReplicaRecord | None


class BackendState:
    """A backend server as its agent last reported it."""

    __slots__ = ("leaving", "node", "report", "zone")

    def __init__(self, node: NodeReport, report: BackendReport) -> None:
        self.node = node.node
        self.zone = node.zone
        self.leaving = node.leaving
        self.report = report


class Inventory:
    """Index of hosts and backend servers over the newest report of each node."""

    def __init__(self) -> None:
        self.backends: dict[BackendKey, BackendState] = {}
        self.pools: dict[str, set[BackendKey]] = {}
        self.cached_at: dict[str, dict[BackendKey, str]] = {}
        self.capacity_mb: dict[str, int] = {}
        self._reports: dict[str, NodeReport] = {}

    def refresh(self, reports: Mapping[str, NodeReport]) -> list[NodeReport]:
        """Apply changed reports and remove nodes that are gone.

        Args:
            reports: The newest report of each live node by node name.

        Returns:
            The reports that are new since the last call.
        """
        known = self._reports
        changed = [r for node, r in reports.items() if known.get(node) is not r]
        for report in changed:
            self._replace(report)
        if len(known) > len(reports):
            for node in [node for node in known if node not in reports]:
                self._remove(node)
        return changed

    def best_tier(self, checkpoint: str) -> str:
        """Return the fastest tier in which any backend server has a checkpoint."""
        tiers = self.cached_at.get(checkpoint, {}).values()
        return min(tiers, key=TIERS.index, default="remote")

    def _replace(self, report: NodeReport) -> None:
        before = self._reports.get(report.node)
        if before is not None and not _same_layout(before, report):
            self._remove(report.node)
        self._reports[report.node] = report
        if report.role != "agent":
            return
        self.capacity_mb[report.host] = report.memory_mb
        for backend in report.backends:
            self._put(report, backend)

    def _put(self, report: NodeReport, backend: BackendReport) -> None:
        key = BackendKey(report.host, backend.backend)
        before = self.backends.get(key)
        if before is not None and before.report.pool != backend.pool:
            self.pools[before.report.pool].discard(key)
        self.backends[key] = BackendState(report, backend)
        self.pools.setdefault(backend.pool, set()).add(key)
        if before is not None and before.report.cached == backend.cached:
            return
        if before is not None:
            self._forget_cached(key, before)
        for checkpoint, tier in backend.cached:
            if tier in TIERS:
                self.cached_at.setdefault(checkpoint, {})[key] = tier

    def _forget_cached(self, key: BackendKey, state: BackendState) -> None:
        for checkpoint, _ in state.report.cached:
            self.cached_at.get(checkpoint, {}).pop(key, None)

    def _remove(self, node: str) -> None:
        report = self._reports.pop(node, None)
        for backend in report.backends if report is not None else ():
            key = BackendKey(report.host, backend.backend)
            state = self.backends.get(key)
            # Another node name may report this host by now.
            if state is None or state.node != node:
                continue
            del self.backends[key]
            self._forget_cached(key, state)
            self.pools[state.report.pool].discard(key)


def _same_layout(before: NodeReport, after: NodeReport) -> bool:
    """Return whether two reports of a node name the same backend servers."""
    return before.host == after.host and [
        (backend.backend, backend.pool) for backend in before.backends
    ] == [(backend.backend, backend.pool) for backend in after.backends]


class ReplicaIndex:
    """Index of the replicas that are not gone, by number, model and host."""

    def __init__(self) -> None:
        self.records: dict[int, ReplicaRecord] = {}
        self.by_model: dict[ModelKey, dict[int, ReplicaRecord]] = {}
        self.by_host: dict[str, dict[int, ReplicaRecord]] = {}

    def refresh(self, replicas: Mapping[int, Any]) -> list[Transition]:
        """Apply a changed view and return the transitions.

        Args:
            replicas: Replicas of the log by number; those in phase ``gone`` may be
                left out.
        """
        changes = []
        for number, record in replicas.items():
            before = self.records.get(number)
            if before is record or before == record:
                continue
            if record.phase != "gone":
                self._put(record)
                changes.append(Transition(before, record))
            elif before is not None:
                self._drop(before)
                changes.append(Transition(before, None))
        for number in [n for n in self.records if n not in replicas]:
            before = self.records[number]
            self._drop(before)
            changes.append(Transition(before, None))
        return changes

    def of_model(self, key: ModelKey) -> Iterator[ReplicaRecord]:
        """Iterate over the replicas of a model, lowest number first."""
        return iter(self.by_model.get(key, {}).values())

    def on_host(self, host: str) -> Iterator[ReplicaRecord]:
        """Iterate over the replicas of a host."""
        return iter(self.by_host.get(host, {}).values())

    def _put(self, record: ReplicaRecord) -> None:
        self.records[record.replica] = record
        self.by_model.setdefault(record.key, {})[record.replica] = record
        self.by_host.setdefault(record.host, {})[record.replica] = record

    def _drop(self, record: ReplicaRecord) -> None:
        del self.records[record.replica]
        del self.by_model[record.key][record.replica]
        del self.by_host[record.host][record.replica]
