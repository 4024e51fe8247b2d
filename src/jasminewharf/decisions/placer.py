"""Decides replicas for wanted loads, making room where it must."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .. import defaults
from .demand import DemandTable
from .eviction import EvictionPolicy, IdleReplica
from .inventory import TIERS, BackendKey, ModelKey, ModelSpec, ReplicaRecord
from .loads import WantedLoad
from .placement import Candidate, choose_candidate, score_candidate
from .planstate import PlanState

__all__ = ["IdleJudge", "Placer"]


class IdleJudge:
    """Describes replicas as the eviction policy sees them.

    Args:
        state: The planner's state.
        policy: The eviction policy.
    """

    def __init__(self, state: PlanState, policy: EvictionPolicy) -> None:
        self.policy = policy
        self._state = state
        self._callers: dict[ModelKey, float] = {}
        self._pooled_callers = 1.0
        self._started: float | None = None

    def note_cold_start(self, key: ModelKey, waiting: int) -> None:
        """Note how many requests waited when a replica became ready.

        Those that came during the load waited half of it on average, so that they
        count half; a load that nobody waits for counts as one caller.
        """
        callers = min(1 + max(0, waiting - 1) / 2, defaults.CALLERS_MAX)
        pooled = self._pooled_callers
        gain = defaults.CALLERS_GAIN
        self._pooled_callers += gain * (callers - pooled) / 4
        mean = self._callers.get(key, pooled)
        self._callers[key] = mean + gain * (callers - mean)

    def idle_s(self, key: ModelKey, demands: DemandTable, now: float) -> float:
        """Return how long a model has had no call, in seconds.

        A planner that has just started knows no calls, and counts from its start.
        """
        started = self.start(now)
        history = demands.histories.get(key)
        last = history.last_call if history is not None else started
        return now - max(last, started)

    def start(self, now: float) -> float:
        """Return the time of the first plan; the first call sets it."""
        if self._started is None:
            self._started = now
        return self._started

    def describe(
        self, record: ReplicaRecord, demands: DemandTable, now: float
    ) -> IdleReplica:
        """Return the replica's idle time, history and cost of a reload."""
        spec = self._state.models[record.key]
        history = demands.histories.get(record.key)
        tier = self._state.inventory.best_tier(spec.checkpoint)
        slowdown = self._state.budget.slowdown
        return IdleReplica(
            self.idle_s(record.key, demands, now),
            history.gaps if history is not None else (),
            demands.pooled_gaps,
            self._state.load_times.estimate(spec.weights_mb, tier, slowdown),
            spec.accelerators,
            self._callers.get(record.key, self._pooled_callers),
        )

    def may_unload(
        self, record: ReplicaRecord, demands: DemandTable, now: float
    ) -> bool:
        """Return whether a replica is loaded, idle and has been so long enough."""
        state = self._state
        if record.phase != "loaded" or state.is_unloading(record):
            return False
        spec = state.models.get(record.key)
        if spec is None:
            return True
        if now - state.loaded_at.get(record.replica, now) < defaults.RESIDENCE_MIN_S:
            return False
        if self.idle_s(record.key, demands, now) < defaults.EVICTION_IDLE_MIN_S:
            return False
        if spec.min_replicas and state.count(record.key, now)[0] <= spec.min_replicas:
            return False
        return not self._is_running(record)

    def _is_running(self, record: ReplicaRecord) -> bool:
        """Return whether calls run on a backend server that has only this replica."""
        key = BackendKey(record.host, record.backend)
        backend = self._state.inventory.backends.get(key)
        if backend is None or not backend.report.running:
            return False
        others = (
            other
            for other in self._state.replicas.on_host(record.host)
            if other.backend == record.backend and other.replica != record.replica
        )
        return next(others, None) is None


class _RoomClaim(NamedTuple):
    target: BackendKey
    memory_mb: int
    until: float


class Placer:
    """Places wanted loads, one plan at a time."""

    def __init__(self, state: PlanState, judge: IdleJudge) -> None:
        self._state = state
        self._judge = judge
        self._claims: dict[ModelKey, _RoomClaim] = {}
        self._retry_at: dict[ModelKey, float] = {}

    def place(
        self, loads: Iterable[WantedLoad], demands: DemandTable, now: float
    ) -> None:
        """Propose decisions and unloads for the loads, in the order given."""
        attempts = 0
        for load in loads:
            if now < self._retry_at.get(load.key, now):
                continue
            if attempts == defaults.PLACEMENTS_PER_PLAN:
                break
            attempts += 1
            if not self._place_one(load, demands, now):
                self._retry_at[load.key] = now + defaults.PLACEMENT_RETRY_S

    def forget_unwanted(self, wanted: set[ModelKey], now: float) -> None:
        """Drop room claims of loads that nobody wants any more."""
        for key, claim in list(self._claims.items()):
            if key not in wanted or now >= claim.until:
                del self._claims[key]

    def _place_one(self, load: WantedLoad, demands: DemandTable, now: float) -> bool:
        spec = self._state.models[load.key]
        best = choose_candidate(self._find_with_room(spec, now))
        if load.key not in self._claims:
            other = choose_candidate(
                self._find_with_evictions(spec, best, demands, now)
            )
            if other is not None and (best is None or other.score < best.score):
                self._make_room(spec, other, now)
                return True
        if best is None:
            return False
        return self._decide(spec, best, now)

    def _decide(self, spec: ModelSpec, best: Candidate, now: float) -> bool:
        state = self._state
        if best.tier == "remote" and state.budget.earliest(best.key.host, now) > now:
            return False
        self._claims.pop(spec.key, None)
        nominal_s = state.load_times.estimate(spec.weights_mb, best.tier)
        state.decide(spec, best.key, best.tier, nominal_s, now)
        return True

    def _make_room(self, spec: ModelSpec, best: Candidate, now: float) -> None:
        until = now + defaults.ROOM_CLAIM_S
        self._claims[spec.key] = _RoomClaim(best.key, spec.memory_mb, until)
        for number in best.evict:
            record = self._state.replicas.records[number]
            reason = f"room for {spec.model}"
            self._state.advance(record, ("unloading",), reason)

    def _find_with_room(self, spec: ModelSpec, now: float) -> Iterator[Candidate]:
        """Yield the backend servers that have room for the model now."""
        for key in self._state.inventory.pools.get(spec.pool, ()):
            free = self._state.memory.free_mb(key.host)
            if free < spec.memory_mb:
                continue
            if free - self._claimed_mb(key.host, spec.key) < spec.memory_mb:
                continue
            if self._is_open(spec, key, now):
                yield self._describe(spec, key, now)

    def _find_with_evictions(
        self,
        spec: ModelSpec,
        best: Candidate | None,
        demands: DemandTable,
        now: float,
    ) -> Iterator[Candidate]:
        """Yield backend servers on which idle replicas would have to go.

        If a backend server has room, only those that have the checkpoint in a
        faster tier are worth it.
        """
        cached = self._state.inventory.cached_at.get(spec.checkpoint, {})
        keys: Iterable[BackendKey] = self._state.inventory.pools.get(spec.pool, ())
        if best is not None:
            rank = TIERS.index(best.tier)
            keys = [key for key, tier in cached.items() if TIERS.index(tier) < rank]
        for key in keys:
            if self._state.memory.free_mb(key.host) >= spec.memory_mb:
                continue
            if key not in self._state.inventory.pools.get(spec.pool, ()):
                continue
            if not self._is_open(spec, key, now):
                continue
            found = self._choose_victims(spec, key, demands, now)
            if found is not None:
                victims, cost = found
                yield self._describe(spec, key, now, victims, cost, defaults.UNLOAD_S)

    def _choose_victims(
        self, spec: ModelSpec, key: BackendKey, demands: DemandTable, now: float
    ) -> tuple[tuple[int, ...], float] | None:
        """Return the cheapest replicas whose memory makes room, and their cost."""
        state, judge = self._state, self._judge
        short = spec.memory_mb + self._claimed_mb(key.host, spec.key)
        short -= state.memory.free_mb(key.host) + state.unloading_mb(key.host)
        if short <= 0:
            return (), 0.0
        ranked = sorted(
            (judge.policy.keep_value(judge.describe(record, demands, now)), number)
            for number, record in state.replicas.by_host.get(key.host, {}).items()
            if judge.may_unload(record, demands, now)
        )
        victims: list[int] = []
        cost = 0.0
        for value, number in ranked:
            if short <= 0:
                break
            victims.append(number)
            cost += value
            short -= state.replicas.records[number].memory_mb
        return (tuple(victims), cost) if short <= 0 else None

    def _is_open(self, spec: ModelSpec, key: BackendKey, now: float) -> bool:
        state = self._state
        if not state.is_candidate(spec.key, key, now):
            return False
        return not state.proposed_on(spec.key, key)

    def _claimed_mb(self, host: str, but: ModelKey) -> int:
        return sum(
            claim.memory_mb
            for key, claim in self._claims.items()
            if claim.target.host == host and key != but
        )

    def _describe(
        self,
        spec: ModelSpec,
        key: BackendKey,
        now: float,
        evict: tuple[int, ...] = (),
        cost: float = 0.0,
        unload_s: float = 0.0,
    ) -> Candidate:
        state = self._state
        backend = state.inventory.backends[key]
        tier = state.inventory.cached_at.get(spec.checkpoint, {}).get(key, "remote")
        slowdown = state.budget.slowdown
        load_s = state.load_times.estimate(spec.weights_mb, tier, slowdown)
        wait_s = unload_s
        if tier == "remote":
            wait_s = max(wait_s, state.budget.estimate_wait(key.host, now))
        score = score_candidate(
            backend,
            load_s=load_s,
            wait_s=wait_s,
            fill=state.memory.fill(key.host),
            shared_zone=self._count_in_zone(spec.key, backend.zone),
            evict_cost=cost,
        )
        return Candidate(key, tier, load_s, wait_s, score, evict)

    def _count_in_zone(self, key: ModelKey, zone: str) -> int:
        backends = self._state.inventory.backends
        found = 0
        for record in self._state.replicas.of_model(key):
            backend = backends.get(BackendKey(record.host, record.backend))
            found += backend is not None and backend.zone == zone
        return found
