"""Placement of wanted loads, with evictions where memory is short."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from .. import defaults
from .demand import DemandTable
from .eviction import EvictionPolicy, IdleReplica
from .inventory import TIERS, BackendKey, ModelKey, ModelSpec, ReplicaRecord
from .placement import Candidate, choose_candidate, score_candidate
from .planstate import PlanState
from .storebudget import WantedLoad

__all__ = ["EvictionAdvisor", "Placer"]


class EvictionAdvisor:
    """Provides the eviction policy with the idle time and reload cost of replicas.

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
        """Record how many requests waited when a replica became ready.

        Requests that arrived during the load waited for half of it on average, and
        therefore count half. A load without waiting requests counts as one caller.
        """
        callers = min(1 + max(0, waiting - 1) / 2, defaults.CALLERS_MAX)
        pooled = self._pooled_callers
        gain = defaults.CALLERS_GAIN
        self._pooled_callers += gain * (callers - pooled) / 4
        mean = self._callers.get(key, pooled)
        self._callers[key] = mean + gain * (callers - mean)

    def idle_s(self, key: ModelKey, demands: DemandTable, now: float) -> float:
        """Return the time since the last call of a model, in seconds.

        A new planner has no call history and counts from its first plan.
        """
        started = self.start(now)
        history = demands.histories.get(key)
        last = history.last_call if history is not None else started
        return now - max(last, started)

    def start(self, now: float) -> float:
        """Return the time of the first plan, which the first call sets."""
        if self._started is None:
            self._started = now
        return self._started

    def describe(
        self, record: ReplicaRecord, demands: DemandTable, now: float
    ) -> IdleReplica:
        """Return the replica's idle time, call history and reload cost."""
        spec = self._state.models[record.key]
        history = demands.histories.get(record.key)
        tier = self._state.inventory.best_tier(spec.checkpoint)
        return IdleReplica(
            self.idle_s(record.key, demands, now),
            history.gaps if history is not None else (),
            demands.pooled_gaps,
            self._state.estimate_load_s(spec, tier),
            spec.accelerators,
            self._callers.get(record.key, self._pooled_callers),
        )

    def find_value(
        self, record: ReplicaRecord, demands: DemandTable, now: float
    ) -> float:
        """Return what it costs to unload a replica; nothing without its model."""
        if not self.is_offered(record):
            return 0.0
        return self.policy.retention_value(self.describe(record, demands, now))

    def is_offered(self, record: ReplicaRecord) -> bool:
        """Return whether a replica's model is in the document in force."""
        return record.key in self._state.models

    def may_unload(
        self, record: ReplicaRecord, demands: DemandTable, now: float
    ) -> bool:
        """Return whether a replica has been loaded and idle for the minimum times."""
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
        """Return whether calls run on a backend server with no other replica."""
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


class _MemoryClaim(NamedTuple):
    target: BackendKey
    memory_mb: int
    until: float


class _Search(NamedTuple):
    """Search data shared by all candidates of one load.

    ``claimed`` is the memory in MB that other loads claim on each host.
    """

    spec: ModelSpec
    now: float
    blocked: bool
    keys: list[BackendKey]
    cached: Mapping[BackendKey, str]
    occupied: set[BackendKey]
    zones: Counter[str]
    claimed: Counter[str]


class Placer:
    """Places wanted loads on backend servers and evicts replicas for them."""

    def __init__(self, state: PlanState, advisor: EvictionAdvisor) -> None:
        self._state = state
        self._eviction_advisor = advisor
        self._claims: dict[ModelKey, _MemoryClaim] = {}
        self._retry_at: dict[ModelKey, float] = {}

    def place(
        self, loads: Iterable[WantedLoad], demands: DemandTable, now: float
    ) -> None:
        """Propose placements and unloads for the loads, in the given order."""
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
        """Drop memory claims that have expired or whose load is no longer wanted."""
        for key, claim in list(self._claims.items()):
            if key not in wanted or now >= claim.until:
                del self._claims[key]

    def _place_one(self, load: WantedLoad, demands: DemandTable, now: float) -> bool:
        spec = self._state.models[load.key]
        search = self._start_search(spec, now)
        best = choose_candidate(self._find_with_room(search))
        if load.key not in self._claims:
            found = self._find_with_evictions(search, best, demands)
            other = choose_candidate(found)
            if other is not None and (best is None or other.score < best.score):
                self._evict_for(spec, other, now)
                return True
        if best is None:
            return False
        return self._decide(spec, best, now)

    def _start_search(self, spec: ModelSpec, now: float) -> _Search:
        """Collect the search data shared by all candidates of one load.

        While no load from the remote tier may start, only backend servers with a
        cached checkpoint are searched.
        """
        state = self._state
        pool = state.inventory.pools.get(spec.pool, set())
        cached = state.inventory.cached_at.get(spec.checkpoint, {})
        blocked = state.budget.is_blocked(now)
        keys = [key for key in cached if key in pool] if blocked else list(pool)
        occupied = state.find_occupied(spec.key)
        zones = Counter(
            state.inventory.backends[key].zone
            for key in occupied
            if key in state.inventory.backends
        )
        claimed: Counter[str] = Counter()
        for key, claim in self._claims.items():
            if key != spec.key:
                claimed[claim.target.host] += claim.memory_mb
        return _Search(spec, now, blocked, keys, cached, occupied, zones, claimed)

    def _decide(self, spec: ModelSpec, best: Candidate, now: float) -> bool:
        state = self._state
        if best.tier == "remote" and state.budget.earliest(best.key.host, now) > now:
            return False
        self._claims.pop(spec.key, None)
        nominal_s = state.nominal_load_s(spec, best.tier)
        state.decide(spec, best.key, best.tier, nominal_s, now)
        return True

    def _evict_for(self, spec: ModelSpec, best: Candidate, now: float) -> None:
        until = now + defaults.MEMORY_CLAIM_S
        self._claims[spec.key] = _MemoryClaim(best.key, spec.memory_mb, until)
        for number in best.evict:
            record = self._state.replicas.records[number]
            reason = f"room for {spec.model}"
            self._state.advance(record, ("unloading",), reason)

    def _find_with_room(self, search: _Search) -> Iterator[Candidate]:
        """Yield the backend servers whose host has enough free memory now.

        Of those without a cached checkpoint only the ones with most free memory are
        scored: their load times are equal, and scoring hundreds of them would take
        most of the planning time.
        """
        need = search.spec.memory_mb
        free_mb = self._state.memory.free_mb
        remote = []
        for key in search.keys:
            free = free_mb(key.host) - search.claimed[key.host]
            if free < need:
                continue
            if key not in search.cached:
                remote.append((-free, key))
            elif self._is_eligible(search, key):
                yield self._describe(search, key)
        remote.sort()
        described = 0
        for _, key in remote:
            if self._is_eligible(search, key):
                yield self._describe(search, key)
                described += 1
            if described == defaults.PLACEMENT_SHORTLIST:
                break

    def _find_with_evictions(
        self, search: _Search, best: Candidate | None, demands: DemandTable
    ) -> Iterator[Candidate]:
        """Yield backend servers that need evictions of idle replicas.

        If a candidate without evictions exists, only backend servers that have the
        checkpoint in a faster tier are considered.
        """
        keys: Iterable[BackendKey] = search.keys
        if best is not None:
            rank = TIERS.index(best.tier)
            pool = self._state.inventory.pools[search.spec.pool]
            keys = [
                key
                for key, tier in search.cached.items()
                if TIERS.index(tier) < rank and key in pool
            ]
        need = search.spec.memory_mb
        for key in keys:
            if self._state.memory.free_mb(key.host) >= need:
                continue
            if not self._is_eligible(search, key):
                continue
            found = self._choose_victims(search, key, demands)
            if found is None:
                continue
            victims, cost = found
            candidate = self._describe(search, key, victims, cost, defaults.UNLOAD_S)
            if not search.blocked or candidate.score < self._score_wait(search):
                yield candidate

    def _score_wait(self, search: _Search) -> float:
        """Return the score of waiting for the store instead of evicting replicas."""
        state = self._state
        load_s = state.estimate_load_s(search.spec, "remote")
        return load_s + state.budget.estimate_wait("", search.now)

    def _choose_victims(
        self, search: _Search, key: BackendKey, demands: DemandTable
    ) -> tuple[tuple[int, ...], float] | None:
        """Return the replicas to evict, cheapest first, and their total cost.

        Memory that earlier unloads will free is counted. Returns None if the idle
        replicas do not free enough.
        """
        state, advisor = self._state, self._eviction_advisor
        now = search.now
        short = search.spec.memory_mb + search.claimed[key.host]
        short -= state.memory.free_mb(key.host) + state.unloading_mb(key.host)
        if short <= 0:
            return (), 0.0
        ranked = sorted(
            (
                advisor.is_offered(record),
                advisor.find_value(record, demands, now),
                number,
            )
            for number, record in state.replicas.by_host.get(key.host, {}).items()
            if advisor.may_unload(record, demands, now)
        )
        victims: list[int] = []
        cost = 0.0
        for _, value, number in ranked:
            if short <= 0:
                break
            victims.append(number)
            cost += value
            short -= state.replicas.records[number].memory_mb
        return (tuple(victims), cost) if short <= 0 else None

    def _is_eligible(self, search: _Search, key: BackendKey) -> bool:
        if key in search.occupied:
            return False
        return self._state.is_candidate(search.spec.key, key, search.now)

    def _describe(
        self,
        search: _Search,
        key: BackendKey,
        evict: tuple[int, ...] = (),
        cost: float = 0.0,
        unload_s: float = 0.0,
    ) -> Candidate:
        state = self._state
        backend = state.inventory.backends[key]
        tier = search.cached.get(key, "remote")
        load_s = state.estimate_load_s(search.spec, tier)
        wait_s = unload_s
        if tier == "remote":
            wait_s = max(wait_s, state.budget.estimate_wait(key.host, search.now))
        score = score_candidate(
            backend,
            load_s=load_s,
            wait_s=wait_s,
            fill=state.memory.fill(key.host),
            shared_zone=search.zones[backend.zone],
            evict_cost=cost,
        )
        return Candidate(key, tier, load_s, wait_s, score, evict)
