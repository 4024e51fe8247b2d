"""Planning of replica loads and unloads.

:class:`Planner` combines the decision modules. The fleet leader calls
:meth:`Planner.plan` with the committed state and the latest reports, proposes the
actions in order and passes each known outcome to :meth:`Planner.record_outcome`.
"""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from .. import defaults
from ..messages.feed import NodeReport
from ..registry import lookup
from .demand import DemandTable, ModelDemand
from .eviction import EvictionWeights, create_eviction_policy
from .inventory import ModelKey, ModelSpec, PlannerView, ReplicaRecord
from .pacing import create_pacing_rule
from .placement import LoadTimes, count_needed
from .placer import EvictionAdvisor, Placer
from .planstate import Action, PlanState
from .storebudget import LOAD_ORDERS, StoreBudget, WantedLoad

__all__ = ["Planner", "PlannerSettings"]


class PlannerSettings(NamedTuple):
    """Policies, limits of the weight store and eviction weights."""

    store_loads_per_s: float = defaults.STORE_LOADS_PER_S
    store_concurrent_loads: int = defaults.STORE_CONCURRENT_LOADS
    pacing: str = "aimd"
    eviction: str = "expected-cost"
    load_order: str = "deadline"
    weights: EvictionWeights = EvictionWeights()
    load_times: LoadTimes = LoadTimes()


class Planner:
    """Plans loads and unloads from the committed state and the latest reports.

    A planner is used for one term of leadership. A new leader creates a new planner
    after a quorum-confirmed read, so that store slots and reserved memory are
    recovered from the log and no proposal of an earlier leader can still commit.

    Args:
        settings: Policies, limits and weights.
    """

    def __init__(self, settings: PlannerSettings = PlannerSettings()) -> None:  # noqa: B008
        self.settings = settings
        pacing = create_pacing_rule(
            settings.pacing, settings.store_loads_per_s, settings.store_concurrent_loads
        )
        budget = StoreBudget(settings.store_concurrent_loads, pacing)
        self.state = PlanState(budget, settings.load_times)
        policy = create_eviction_policy(settings.eviction, settings.weights)
        self._eviction_advisor = EvictionAdvisor(self.state, policy)
        self._placer = Placer(self.state, self._eviction_advisor)
        self._rank = lookup(LOAD_ORDERS, settings.load_order)
        self._checks: deque[int] = deque()
        self._checked_at = float("-inf")
        self._surplus_since: dict[ModelKey, float] = {}
        self._enough_until: dict[ModelKey, float] = {}
        self._moves: dict[ModelKey, float] = {}
        self._positions: dict[ModelKey, int] = {}

    def plan(
        self,
        view: PlannerView,
        reports: Mapping[str, NodeReport],
        demands: DemandTable,
        now: float,
    ) -> list[Action]:
        """Return the commands to propose, in this order.

        Args:
            view: The committed state; ``version`` must increase with every change.
            reports: The latest report of each live node by node name. An unchanged
                report must be the same object as before.
            demands: The demand table; the caller passes each entry's report to it.
            now: Current time in seconds.
        """
        state = self.state
        state.actions = []
        self._eviction_advisor.start(now)
        state.refresh(view, reports, now)
        merged = demands.collect(now)
        for record in state.newly_loaded:
            demand = merged.get(record.key)
            self._eviction_advisor.note_cold_start(
                record.key, demand.requests if demand else 0
            )
        loads = self._find_wanted(merged, now)
        loads += self._find_moves(loads, demands, now)
        self._positions = {load.key: n for n, load in enumerate(loads)}
        self._placer.forget_unwanted({load.key for load in loads}, now)
        self._placer.place(loads, demands, now)
        self._unload_leaving(now)
        self._check_idle(merged, demands, now)
        return state.actions

    def record_outcome(self, action: Action, committed: bool) -> None:
        """Record the outcome of a proposed action.

        Must be called with False when an action is known to have had no effect. An
        action with an unknown outcome stays counted until the view shows its effect.
        """
        self.state.record_outcome(action, committed)

    def estimate_ready_s(self, key: ModelKey, now: float) -> float:
        """Return the estimated seconds until a replica of a model is ready.

        This is zero if a replica is ready. For a model that is not being loaded it is
        the wait for the store plus the load time from the fastest tier.
        """
        state = self.state
        ready, _, _ = state.count(key, now)
        if ready:
            return 0.0
        spec = state.models[key]
        under_way = [
            self._estimate_left(record, spec, now)
            for record in state.replicas.of_model(key)
            if record.phase == "ordered" and state.is_usable(record, now)
        ]
        if under_way:
            return min(under_way)
        wait = 0.0
        tier = state.inventory.best_tier(spec.checkpoint)
        load_s = self._load_s(spec)
        if tier == "remote":
            ahead = self._positions.get(key, len(self._positions))
            wait = state.budget.estimate_wait("", now)
            wait += ahead * load_s / self.settings.store_concurrent_loads
        return wait + load_s

    def _estimate_left(
        self, record: ReplicaRecord, spec: ModelSpec, now: float
    ) -> float:
        """Return the estimated remaining time of a load in progress.

        An overdue load is expected to take a share of its age longer. With a constant
        remaining time, requests would wait for it until their deadlines.
        """
        state = self.state
        elapsed = now - state.ordered_at.get(record.replica, now)
        expected = state.estimate_load_s(spec, record.from_tier)
        return max(expected - elapsed, defaults.OVERDUE_SHARE * elapsed)

    def _load_s(self, spec: ModelSpec) -> float:
        state = self.state
        tier = state.inventory.best_tier(spec.checkpoint)
        return state.estimate_load_s(spec, tier)

    def _find_wanted(
        self, merged: Mapping[ModelKey, ModelDemand], now: float
    ) -> list[WantedLoad]:
        """Return the loads required by demand and minimum replicas, in order."""
        loads = [
            WantedLoad(key, None, 0.0, 0)
            for key, spec in self.state.models.items()
            if spec.min_replicas and self._is_below_minimum(key, spec, now)
        ]
        for key, demand in merged.items():
            spec = self.state.models.get(key)
            if spec is None or now < self._enough_until.get(key, now):
                continue
            queued = self._count_queued_tokens(key, merged, now)
            if queued:
                demand = _add_queued(demand, queued, now)
            if demand.requests <= 0:
                continue
            load = self._want_for_demand(key, spec, demand, now)
            if load is not None:
                loads.append(load)
        loads.sort(key=lambda load: (*self._rank(load, now), load.key))
        return loads

    def _is_below_minimum(self, key: ModelKey, spec: ModelSpec, now: float) -> bool:
        ready, coming, _ = self.state.count(key, now)
        return ready + coming < spec.min_replicas

    def _want_for_demand(
        self, key: ModelKey, spec: ModelSpec, demand: ModelDemand, now: float
    ) -> WantedLoad | None:
        ready, coming, _ = self.state.count(key, now)
        load_s = self._load_s(spec)
        needed = count_needed(demand, spec, ready, load_s, now)
        if needed > ready:
            self._surplus_since.pop(key, None)
        if ready + coming >= max(1, needed):
            self._enough_until[key] = now + defaults.DEMAND_CHECK_INTERVAL_S
            return None
        return WantedLoad(key, demand, load_s, ready + coming)

    def _count_queued_tokens(
        self, key: ModelKey, merged: Mapping[ModelKey, ModelDemand], now: float
    ) -> float:
        """Return the tokens queued for a model at its backend servers.

        A backend server reports one queue for all its replicas. The queue is divided
        equally among the replicas whose model was called recently.
        """
        state = self.state
        queued = 0.0
        for record in state.replicas.of_model(key):
            if record.phase != "loaded":
                continue
            backend = state.inventory.backends.get((record.host, record.backend))
            if backend is None or not backend.report.queued_tokens:
                continue
            sharing = sum(
                1
                for other in state.replicas.on_host(record.host)
                if other.backend == record.backend
                and other.phase == "loaded"
                and (found := merged.get(other.key)) is not None
                and now - found.last_call < defaults.QUEUE_SHARE_WINDOW_S
            )
            queued += backend.report.queued_tokens / max(1, sharing)
        return queued

    def _find_moves(
        self, loads: list[WantedLoad], demands: DemandTable, now: float
    ) -> list[WantedLoad]:
        """Return loads that replace replicas of leaving hosts for models in use.

        Without them the next call would have to wait for a cold model.
        """
        wanted = {load.key for load in loads}
        moves = []
        for key, until in list(self._moves.items()):
            ready, coming, _ = self.state.count(key, now)
            if now >= until or ready + coming or key not in self.state.models:
                del self._moves[key]
            elif key not in wanted:
                if (
                    self._eviction_advisor.idle_s(key, demands, now)
                    > defaults.MOVE_IDLE_MAX_S
                ):
                    continue
                moves.append(WantedLoad(key, None, 0.0, 0))
        return moves

    def _unload_leaving(self, now: float) -> None:
        """Unload the replicas of leaving hosts, which receive no new calls."""
        for host in sorted(self.state.leaving):
            for record in self.state.replicas.on_host(host):
                if record.phase == "loaded" and not self.state.is_unloading(record):
                    self.state.advance(record, ("unloading",), "host leaving")
                    self._moves[record.key] = now + defaults.MEMORY_CLAIM_S

    def _check_idle(
        self,
        merged: Mapping[ModelKey, ModelDemand],
        demands: DemandTable,
        now: float,
    ) -> None:
        """Check some replicas; each is checked about once per interval.

        The interval is ``IDLE_CHECK_INTERVAL_S``.
        """
        if (
            not self._checks
            and now - self._checked_at >= defaults.IDLE_CHECK_INTERVAL_S
        ):
            self._checks.extend(self.state.replicas.records)
            self._checked_at = now
        for _ in range(min(defaults.IDLE_CHECKS_PER_PLAN, len(self._checks))):
            record = self.state.replicas.records.get(self._checks.popleft())
            if record is not None and record.phase == "loaded":
                self._check_replica(record, merged, demands, now)

    def _check_replica(
        self,
        record: ReplicaRecord,
        merged: Mapping[ModelKey, ModelDemand],
        demands: DemandTable,
        now: float,
    ) -> None:
        state = self.state
        spec = state.models.get(record.key)
        if spec is None:
            if not state.is_unloading(record):
                state.advance(record, ("unloading",), "model not offered")
            return
        if self._is_surplus(record, spec, now):
            self._surplus_since[record.key] = now
            state.advance(record, ("unloading",), "more replicas than needed")
            return
        demand = merged.get(record.key)
        if demand is not None and demand.requests > 0:
            return
        if not self._eviction_advisor.may_unload(record, demands, now):
            return
        if self._eviction_advisor.policy.should_release(
            self._eviction_advisor.describe(record, demands, now)
        ):
            state.advance(record, ("unloading",), "idle")

    def _is_surplus(self, record: ReplicaRecord, spec: ModelSpec, now: float) -> bool:
        """Return whether one replica fewer has been sufficient for some time.

        The generation rate of all replicas is compared with the capacity of one
        replica fewer, because a small backlog does not imply an idle replica.
        """
        state = self.state
        ready, _, _ = state.count(record.key, now)
        if ready <= max(1, spec.min_replicas) or state.is_unloading(record):
            return False
        rate = 0.0
        for other in state.replicas.of_model(record.key):
            backend = state.inventory.backends.get((other.host, other.backend))
            rate += backend.report.tokens_per_s if backend is not None else 0.0
        limit = defaults.SURPLUS_UTILISATION * (ready - 1) * spec.tokens_per_s
        if rate > limit:
            self._surplus_since.pop(record.key, None)
            return False
        since = self._surplus_since.setdefault(record.key, now)
        return now - since >= defaults.SURPLUS_HOLD_S


def _add_queued(demand: ModelDemand, tokens: float, now: float) -> ModelDemand:
    """Return the demand plus the tokens already queued at loaded replicas."""
    deadline = min(demand.deadline, now + defaults.DEFAULT_DEADLINE_MS / 1000)
    return demand._replace(
        requests=demand.requests + 1,
        tokens=demand.tokens + int(tokens),
        deadline=deadline,
    )
