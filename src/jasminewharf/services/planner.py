"""Runs the planner on the leader of group ``fleet``."""

import asyncio
import logging
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import ClassVar

from .. import defaults, events
from ..decisions.demand import DemandTable
from ..decisions.eviction import EvictionWeights
from ..decisions.fleet import FleetState, Replica
from ..decisions.inventory import ModelKey, ModelSpec, PlannerView, ReplicaRecord
from ..decisions.planner import Planner, PlannerSettings
from ..exceptions import ConsensusError, JasminewharfError
from ..kernel import Kernel, Service
from ..messages import decode, encode
from ..messages.commands import AdvanceReplica, CommandResult, DecideReplica
from ..messages.feed import LoadEstimate, NodeReport
from .control import FLEET_GROUP

__all__ = ["PlannerService"]

_logger = logging.getLogger(__name__)


class PlannerService(Service):
    """Plans while this host leads, and proposes what the plan says.

    A term of leadership has its own planner, created after a read that a quorum
    confirmed, so that slots and memory are recovered from the log.
    """

    name: ClassVar[str] = "planner"
    requires: ClassVar[tuple[str, ...]] = ("log", "fleet", "gathering")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._planner: Planner | None = None
        self._demands = DemandTable()
        self._view: PlannerView | None = None
        self._wake = asyncio.Event()
        self._estimated_at = float("-inf")

    async def start(self) -> None:
        """Follow reports and plan at intervals."""
        self.kernel.find("gathering").listen(self._take_report)
        self.kernel.find("log").subscribe(
            FLEET_GROUP, lambda index, command: self._wake.set()
        )
        self.spawn(self._plan_forever(), essential=True)

    def _take_report(self, report: NodeReport) -> None:
        if report.role == "entry":
            self._demands.observe(report, _now(), 0.0)
        self._wake.set()

    async def _plan_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(defaults.PLAN_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            await self._plan_if_leading()
            await asyncio.sleep(defaults.PLAN_PAUSE_S)

    async def _plan_if_leading(self) -> None:
        log = self.kernel.find("log")
        if not log.is_leader(FLEET_GROUP):
            self._planner = None
            return
        try:
            if self._planner is None:
                await log.read_barrier(FLEET_GROUP)
                self._planner = Planner(self._planner_settings())
            await self._plan(self._planner)
        except ConsensusError:
            self._planner = None

    def _planner_settings(self) -> PlannerSettings:
        settings = self.kernel.settings
        return PlannerSettings(
            store_loads_per_s=settings.store.loads_per_s,
            store_concurrent_loads=settings.store.concurrent_loads,
            pacing=settings.policy.pacing,
            eviction=settings.policy.eviction,
            weights=EvictionWeights(
                settings.policy.cold_start_weight, settings.policy.idle_weight
            ),
        )

    async def _plan(self, planner: Planner) -> None:
        now = _now()
        gathering = self.kernel.find("gathering")
        reports = gathering.live()
        view = self._read_view()
        hosts = {record.host for record in view.replicas.values()}
        lost = frozenset(gathering.membership.find_lost_hosts(hosts, now))
        view = view._replace(lost=lost, evacuated=self._find_evacuated(reports))
        actions = planner.plan(view, reports, self._demands, now)
        for action in actions:
            committed = await self._propose(action)
            if not committed:
                planner.record_outcome(action, committed=False)
        self._publish_estimates(planner, now)

    def _find_evacuated(self, reports: Mapping[str, NodeReport]) -> frozenset[str]:
        """Return the hosts in evacuated availability zones."""
        zones = self.kernel.find("fleet").state.evacuations.evacuated
        return frozenset(r.host for r in reports.values() if r.zone in zones)

    def _publish_estimates(self, planner: Planner, now: float) -> None:
        if now - self._estimated_at < defaults.ESTIMATE_INTERVAL_S:
            return
        self._estimated_at = now
        assert self._view is not None
        waiting = _count_entries(self.kernel.find("gathering").live().values())
        estimates = [
            LoadEstimate(
                *key,
                int(planner.estimate_ready_s(key, now) * defaults.MS_PER_S),
                max(waiting[key], 1),
            )
            for key, demand in self._demands.collect(now).items()
            if demand.requests > 0 and key in self._view.models
        ]
        if estimates:
            self.kernel.find("gathering").set_estimates(estimates)

    def _read_view(self) -> PlannerView:
        state: FleetState = self.kernel.find("fleet").state
        if self._view is None or self._view.version != state.version:
            self._view = PlannerView(
                state.version,
                {n: _to_record(r) for n, r in state.replicas.items()},
                _list_specs(state),
                frozenset(state.draining),
            )
        return self._view

    async def _propose(self, action: DecideReplica | AdvanceReplica) -> bool:
        """Return False only if the action is known to have had no effect."""
        try:
            _, data = await self.kernel.find("log").propose(FLEET_GROUP, encode(action))
        except ConsensusError:
            raise
        except JasminewharfError as error:
            events.emit(_logger, events.ORDER_FAILED, error=error)
            return True
        result: CommandResult = decode(data)
        if isinstance(action, DecideReplica) and not result.error:
            events.emit(
                _logger,
                events.REPLICA_DECIDED,
                replica=result.version,
                model=action.model,
                backend=action.backend,
                tier=action.from_tier,
            )
        elif isinstance(action, AdvanceReplica) and not result.error:
            events.emit(
                _logger,
                events.REPLICA_ADVANCED,
                replica=action.replica,
                phase=action.phase,
                reason=action.reason,
            )
        return not result.error


def _count_entries(reports: Iterable[NodeReport]) -> Counter[ModelKey]:
    """Return at how many entries requests for each model wait."""
    counts: Counter[ModelKey] = Counter()
    for report in reports:
        waiting = {
            ModelKey(demand.service, demand.model)
            for demand in report.demands
            if demand.requests > 0
        }
        counts.update(waiting)
    return counts


def _to_record(replica: Replica) -> ReplicaRecord:
    return ReplicaRecord(*replica)


def _list_specs(state: FleetState) -> dict[ModelKey, ModelSpec]:
    specs = {}
    for document in state.all_documents():
        for model in document.models:
            spec = ModelSpec(
                service=document.service,
                model=model.name,
                pool=document.pool,
                checkpoint=model.checkpoint,
                weights_mb=model.memory_mb,
                adapters_mb=model.adapter_memory_mb,
                cache_mb=model.kv_cache_mb,
                min_replicas=model.min_replicas,
                max_replicas=model.max_replicas,
            )
            specs[spec.key] = spec
    return specs


def _now() -> float:
    return asyncio.get_running_loop().time()
