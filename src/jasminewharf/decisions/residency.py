"""Decides which models and adapters an engine loads and unloads next.

Models with waiting requests are loaded first. The model that is cheapest to evict
makes room, the least recently used one among equals; its weights stay in the engine's
disk cache. Without waiting requests the engine prefetches models with too few cached
copies in the fleet from the weight store.
"""

from typing import NamedTuple

from ..dialects.fleet import EngineStatus
from ..exceptions import ImplausibleDemand
from .configurations import EngineSpec, ModelSpec
from .copies import FleetCopies, list_evicted_copies, list_sizes
from .eventrate import EventRate
from .loaddemand import EntryDemand, LoadDemand, LoadDemandTable
from .serverselection import rank_by_hash
from .storequeue import (
    DEFAULT_STORE_CONCURRENCY,
    PREFETCH_WEIGHT,
    PREFETCHES_AT_ONCE,
)

__all__ = ["Intent", "Residency"]

# Entries repeat adapter requests more often than this.
_ADAPTER_REQUEST_EXPIRY_S = 1.2
# Entries repeat their usage reports more often than this.
_USAGE_EXPIRY_S = 3.0
# Grace period after a load in which the waiting requests arrive.
_LOAD_GRACE_S = 0.8
# Averaging window of a model's request rate.
_REQUEST_RATE_WINDOW_S = 2.0
# Averaging window of the rate of new demands; each model is demanded rarely.
_DEMAND_RATE_WINDOW_S = 10.0
# How long a new agent collects usage reports before it evicts a model; each model in
# steady use gets several requests in this time.
_USAGE_DISCOVERY_S = 0.7
# Time to bring an evicted model back: an unload and a load from disk.
_RELOAD_S = 1.4
# Time to unload an idle model.
_UNLOAD_S = 0.1
# Mean time that running requests delay an unload.
_DRAIN_S = 1.0
# How long a request waits for an idle model to evict before a busy one is evicted.
_BUSY_EVICTION_DELAY_S = 3.0
# Idle time after which a surplus model may be evicted for a prefetch.
_SURPLUS_IDLE_S = 2.0
# Prefetches leave a model loaded on at least this many engines.
_MIN_HOLDERS = 2
# How long entries may repeat a demand after another engine has loaded the model.
_STALE_DEMAND_S = 0.5
# Delay of a load from the store after the engine's last order and after the first
# demand for the model. Entries demand models cached on the engine within this time.
_FETCH_DELAY_S = 0.4
# Target number of copies per model: a copy is lost with its engine, and a load on a
# busy engine waits behind that engine's other loads.
_MIN_COPIES = 2
# How long prefetches of further copies yield to first copies.
_FIRST_COPY_PRIORITY_S = 2.0
# Time without requests after which a model may be evicted for a first copy.
_NO_TRAFFIC_S = 2.0
# New demands per second above which an engine does not prefetch, since a load from the
# store would block its swaps.
_PREFETCH_MAX_DEMAND_RATE = 0.2


class Intent(NamedTuple):
    """The next order for an engine.

    ``adapter`` is empty for an order about a model. ``fetches`` names the model whose
    load from the store, or the unload before that load, needs a store slot; ``weight``
    is the priority of that slot request.
    """

    loads: bool
    model: str
    adapter: str = ""
    reason: str = "wanted"
    fetches: str = ""
    weight: float = 0.0


class Residency:
    """State of one agent's load and eviction decisions.

    Attributes:
        held_back: Why the last decision ordered no load of a wanted model, by model.
        store_retry_at: Earliest time of the next request for a store slot.
        store_slot: The model that the engine has an unused store slot for, or empty.
    """

    def __init__(self) -> None:
        self._spec: EngineSpec | None = None
        self._models: dict[str, ModelSpec] = {}
        self._sizes: dict[str, float] = {}
        self._largest_mb = 0.0
        # Models of the configuration, and held ones of former configurations.
        self._known: dict[str, ModelSpec] = {}
        self._demands = LoadDemandTable()
        self._usage: dict[str, dict[str, int]] = {}
        self._usage_reported_at: dict[str, float] = {}
        self._last_used_at: dict[str, float] = {}
        self._loaded_at: dict[str, float] = {}
        self._settles_at: dict[str, float] = {}
        self._adapters_wanted: dict[tuple[str, str], float] = {}
        self._held: frozenset[str] = frozenset()
        self._last_busy_at = float("-inf")
        self._rates: dict[str, EventRate] = {}
        self._adapter_misses = EventRate(_REQUEST_RATE_WINDOW_S)
        self._want_rate = EventRate(_DEMAND_RATE_WINDOW_S)
        self._use_known_from = float("inf")
        self._asked_at = float("-inf")
        # The model evicted for a first copy until it is reloaded, and the copied model.
        self._displaced = ""
        self._displaced_for = ""
        self._lacking_since = float("inf")
        # Time since which another engine holds a model.
        self._elsewhere_since: dict[str, float] = {}
        self.held_back: dict[str, str] = {}
        self.store_retry_at = float("-inf")
        self.store_slot = ""

    def set_engine(self, spec: EngineSpec) -> None:
        """Set the engine's limits and the models of its service."""
        self._spec = spec
        self._models = {model.name: model for model in spec.models}
        self._sizes = list_sizes(spec)
        self._largest_mb = max(self._sizes.values(), default=0.0)
        held = {name: self._known[name] for name in self._held & self._known.keys()}
        self._known = held | self._models
        # Entries may ask for models of the former configuration for a moment.
        self._demands.keep_only(self._models.keys())

    @property
    def spec(self) -> EngineSpec | None:
        """The engine's limits; None until a configuration sets them."""
        return self._spec

    def model(self, name: str) -> ModelSpec | None:
        """Return the configuration of a model."""
        return self._models.get(name)

    def note_demand(
        self,
        peer: str,
        model: str,
        requests: int,
        urgency: float,
        now: float,
        age_s: float = 0.0,
        returning: int = 0,
    ) -> bool:
        """Record an entry's demand for a model; without callers, its end.

        Args:
            peer: The entry.
            model: The model.
            requests: Number of waiting requests.
            urgency: Their total weight.
            now: Monotonic seconds.
            age_s: Seconds since the first refusal after the last served caller.
            returning: Number of recently refused callers.

        Raises:
            ImplausibleDemand: If a value is out of range.

        Returns:
            Whether the demand is new for this entry.
        """
        callers = EntryDemand(requests, urgency, age_s, returning)
        if not callers.is_plausible():
            raise ImplausibleDemand(peer, model)
        if callers.is_none:
            self._demands.discount(peer, model)
            return False
        # The entry will learn shortly that the model is loaded. Keeping its demand
        # would reload the model right after an eviction.
        if model not in self._models or model in self._held:
            return False
        self._asked_at = now
        # An unused engine never gets a usage report, so demand starts the period too.
        self._use_known_from = min(self._use_known_from, now + _USAGE_DISCOVERY_S)
        is_new = self._demands.note(peer, model, callers, now)
        if is_new:
            self._want_rate.add(1, now)
        return is_new

    def note_usage(
        self, peer: str, uses: list[tuple[str, int, int]], now: float
    ) -> None:
        """Replace an entry's requests in flight by model or model/adapter."""
        for lost in [
            p for p, at in self._usage_reported_at.items() if now - at > _USAGE_EXPIRY_S
        ]:
            del self._usage_reported_at[lost], self._usage[lost]
        self._use_known_from = min(self._use_known_from, now + _USAGE_DISCOVERY_S)
        current = self._usage[peer] = {}
        self._usage_reported_at[peer] = now
        for name, in_flight, begun in uses:
            if in_flight > 0:
                current[name] = in_flight
            if in_flight > 0 or begun > 0:
                self._last_used_at[name] = self._asked_at = now
            if begun > 0:
                self._rates.setdefault(name, EventRate(_REQUEST_RATE_WINDOW_S)).add(
                    begun, now
                )

    def note_adapter(self, model: str, adapter: str, now: float) -> None:
        """Record that a request waits for an adapter."""
        if (model, adapter) not in self._adapters_wanted:
            self._adapter_misses.add(1, now)
        self._adapters_wanted[(model, adapter)] = now
        self._last_used_at[f"{model}/{adapter}"] = now

    def list_wanted_models(self, now: float) -> list[tuple[str, float]]:
        """Return the demanded models that the engine does not hold, with their weights.

        The heaviest comes first. A starved model gets extra weight, so that every
        model is served eventually.
        """
        missing = self._demands.list_missing(self._held, now)
        weighed = sorted(
            (-wants.weight, wants.since, model) for model, wants in missing.items()
        )
        return [(model, -weight) for weight, _, model in weighed]

    def demand(self, model: str, now: float) -> float:
        """Return a model's request rate plus its waiting and refused callers."""
        rate = self._rates.get(model)
        waiting = self._demands.count_callers(model)
        return round((rate.read(now) if rate else 0.0) + waiting, 2)

    def describe_demand(self, model: str) -> dict[str, float]:
        """Return the log fields that describe the demand for a model."""
        wants = self._demands.find(model)
        return {
            "requests": wants.requests,
            "returning": wants.returning,
            "weight": round(wants.weight, 2),
            "unserved_s": round(wants.age_s, 1),
        }

    def in_flight(self, name: str, now: float) -> int:
        """Return the requests in flight for a model or adapter over all entries.

        Entries whose last usage report has expired are ignored.
        """
        return sum(
            uses.get(name, 0)
            for peer, uses in self._usage.items()
            if now - self._usage_reported_at[peer] <= _USAGE_EXPIRY_S
        )

    def choose(
        self, status: EngineStatus, copies: FleetCopies, now: float
    ) -> Intent | None:
        """Return the next order, or None if there is none."""
        if self._spec is None:
            return None
        self._note_held(status, now)
        self._elsewhere_since = {
            name: self._elsewhere_since.get(name, now) for name in copies.held
        }
        if status.is_busy:
            self._last_busy_at = now
        # The engine rejects adapter orders too while it loads or unloads a model.
        if status.is_busy or status.is_leaving:
            return None
        intent = self._choose_adapter(status, now)
        if intent is not None:
            return intent
        self.held_back = {}
        if self._is_slot_usable(status, copies):
            return Intent(True, self.store_slot, fetches=self.store_slot)
        wanted = self._rank(self.list_wanted_models(now), status, copies, now)
        if wanted:
            self._displaced = ""
        for model in wanted:
            reason = self._find_obstacle(model, status, copies, now)
            intent = None if reason else self._make_way(model, status, copies, now)
            if intent is not None and self._is_remote(model, status):
                weight = self._weigh_in_fleet(model, copies)
                return intent._replace(fetches=model, weight=weight)
            if intent is not None:
                return intent
            self.held_back[model] = reason or "no_room"
        return None if wanted else self._choose_copy(status, copies, now)

    def _is_slot_usable(self, status: EngineStatus, copies: FleetCopies) -> bool:
        """Return whether the engine has a slot and room for a model in demand.

        Entries may have moved their demand to another engine while this one made room;
        that engine would have to wait for the same slot.
        """
        spec = self._models.get(self.store_slot)
        return (
            spec is not None
            and spec.name in copies.wanted
            and spec.name not in self._held | copies.loading | copies.held
            and self._is_remote(spec.name, status)
            and self._free_mb(status) >= spec.weights_mb
        )

    def _find_obstacle(
        self, model: str, status: EngineStatus, copies: FleetCopies, now: float
    ) -> str:
        """Return why a demanded model may not be loaded now, or an empty string."""
        # Its callers go to the other engine, so that a second load would be unused. A
        # load from the store takes so long that one from the disk ends before it.
        is_overtaken = model in copies.fetching and not self._is_remote(model, status)
        if model in copies.loading and not is_overtaken:
            return "loaded_elsewhere"
        held_since = self._elsewhere_since.get(model, float("-inf"))
        if self._demands.find(model).reported_at < held_since + _STALE_DEMAND_S:
            return "held_elsewhere"
        if not self._is_remote(model, status):
            return ""
        return self._find_fetch_obstacle(model, copies, now)

    def _rank(
        self,
        wanted: list[tuple[str, float]],
        status: EngineStatus,
        copies: FleetCopies,
        now: float,
    ) -> list[str]:
        """Sort the demanded models by weight per second of load time, highest first.

        A starved model goes first while no engine loads from the store. At most one
        engine of the fleet is thus occupied by starved models.
        """

        def rank(item: tuple[str, float]) -> tuple[bool, float]:
            model, urgency = item
            is_due = not copies.store_loads and self._demands.find(model).is_starved
            load_s = self._models[model].load_s(status.in_memory, status.on_disk)
            if self._is_remote(model, status):
                urgency = self._weigh_in_fleet(model, copies)
            return not is_due, -urgency / (load_s + _UNLOAD_S)

        return [model for model, _ in sorted(wanted, key=rank)]

    def _weigh_in_fleet(self, model: str, copies: FleetCopies) -> float:
        """Return the weight of a model's callers at all engines.

        Entries ask different engines for one model, since they differ in what they
        know. A load from the store serves the callers of all of them.
        """
        return self._demands.find(model).weight + copies.demand.get(model, 0.0)

    def _find_fetch_obstacle(self, model: str, copies: FleetCopies, now: float) -> str:
        """Return why a load from the store may not start, or an empty string."""
        if self._may_return(model, copies, now):
            return "copy_lost"
        wants = self._demands.find(model)
        if self._yields_to_first_copies(model, wants, copies, now):
            return "copied_elsewhere"
        # Waiting for a pause would starve a model without a copy on an engine that
        # swaps constantly, even if it outweighs the swaps.
        is_first = not self.held_back and not copies.count(model)
        waits_since = wants.since if is_first else max(wants.since, self._last_busy_at)
        if now - waits_since < _FETCH_DELAY_S:
            return "fetch_pause"
        if now < self.store_retry_at:
            return "store_busy"
        # Without waiting or recently refused callers, one load at a time is enough to
        # serve every model eventually.
        has_callers = wants.requests or wants.returning or copies.demand.get(model)
        if not has_callers:
            return "" if copies.store_loads < 1 else "store_busy"
        is_open = copies.has_owner or copies.store_loads < DEFAULT_STORE_CONCURRENCY
        return "" if is_open else "store_busy"

    def _yields_to_first_copies(
        self, model: str, wants: LoadDemand, copies: FleetCopies, now: float
    ) -> bool:
        """Return whether to leave the store to demanded models without any copy.

        An engine with a copy is ready sooner, unless it is held up for as long as a
        load from the store takes.
        """
        is_held_up = now - wants.since >= self._models[model].remote_s
        if is_held_up or not copies.count(model):
            return False
        return any(not copies.count(name) for name in copies.wanted)

    def _may_return(self, model: str, copies: FleetCopies, now: float) -> bool:
        """Return whether to wait for an engine that was lost with the only copies.

        Most engines start again within the time of a load from the store, which would
        hold up models that have no copy at all.
        """
        lost_at = copies.lost.get(model, float("-inf"))
        is_recent = now - lost_at < self._models[model].remote_s
        return is_recent and not copies.count(model)

    def _is_remote(self, model: str, status: EngineStatus) -> bool:
        return model not in status.in_memory and model not in status.on_disk

    def room_cost(self, status: EngineStatus, now: float) -> float:
        """Return the cost of evicting a model for another one, in request-seconds."""
        if self._spec is None or self._free_mb(status) >= self._largest_mb:
            return 0.0
        costs = [
            self._eviction_cost(held.model, now, 0.0)
            + (_LOAD_GRACE_S if self._is_settling(held.model, now) else 0.0)
            for held in status.models
        ]
        return _UNLOAD_S + min(costs, default=0.0)

    def blocked_rate(self, now: float) -> float:
        """Return the request rate that a busy engine delays, per second.

        These are requests for adapters and models that the engine does not hold.
        """
        return self._adapter_misses.read(now) + self._want_rate.read(now)

    def _eviction_cost(self, model: str, now: float, held_up_s: float) -> float:
        """Return the cost of evicting a model, in request-seconds.

        It consists of the requests that arrive until the model is loaded again and of
        the delay by its running requests. ``held_up_s`` is the additional time that a
        load from the store delays the reload.
        """
        rate = self._rates.get(model)
        away_s = _RELOAD_S + held_up_s
        missed = rate.read(now) * away_s if rate else 0.0
        return missed * _RELOAD_S + min(self.in_flight(model, now), 1) * _DRAIN_S

    def _is_settling(self, model: str, now: float) -> bool:
        """Return whether a model is in its grace period after a load."""
        return now < self._settles_at.get(model, now)

    def _note_held(self, status: EngineStatus, now: float) -> None:
        held = frozenset(item.model for item in status.models)
        for model in held - self._held:
            self._loaded_at[model] = now
            if self._demands.remove(model):
                self._settles_at[model] = now + _LOAD_GRACE_S
        self._held = held

    def _free_mb(self, status: EngineStatus) -> float:
        """Return the memory for further models; 0 if a held one's size is unknown."""
        assert self._spec is not None
        used = 0.0
        for held in status.models:
            # A model that was removed from the configuration still occupies memory.
            spec = self._known.get(held.model)
            if spec is None:
                return 0.0
            used += spec.weights_mb + spec.adapter_mb * len(held.adapters)
        for model, _ in status.incoming:
            spec = self._known.get(model)
            used += spec.adapter_mb if spec else 0.0
        return self._spec.weights_mb - used

    def _make_way(
        self, model: str, status: EngineStatus, copies: FleetCopies, now: float
    ) -> Intent | None:
        if self._free_mb(status) >= self._models[model].weights_mb:
            return Intent(True, model)
        victim = self._choose_victim(model, status, copies, now)
        return Intent(False, victim) if victim else None

    def _choose_victim(
        self, model: str, status: EngineStatus, copies: FleetCopies, now: float
    ) -> str:
        """Return the cheapest model to evict, or an empty string if none pays off."""
        wants = self._demands.find(model)
        # An unload waits for running requests and blocks all other orders. A busy model
        # is evicted only after no model has become idle for some time.
        is_pressing = now - wants.since > _BUSY_EVICTION_DELAY_S
        if now < self._use_known_from and not is_pressing:
            return ""
        held = [
            item.model
            for item in status.models
            if not self._is_settling(item.model, now)
            and (is_pressing or not self.in_flight(item.model, now))
        ]
        if not held:
            return ""
        held_up_s = 0.0
        weight = wants.weight
        if self._is_remote(model, status):
            held_up_s = self._models[model].remote_s
            weight = self._weigh_in_fleet(model, copies)
        victim = min(
            held,
            key=lambda name: (
                name in self._models,
                self._eviction_cost(name, now, held_up_s),
                self._last_used_at.get(name, -1.0),
            ),
        )
        # The gain does not grow with the waiting time: otherwise one old request could
        # evict a model with many callers.
        gain = _RELOAD_S * weight
        if wants.is_starved:
            gain = max(gain, wants.age_s)
        is_worth_it = gain > self._eviction_cost(victim, now, held_up_s)
        return victim if is_worth_it else ""

    def _is_idle(self, model: str, now: float) -> bool:
        if self.in_flight(model, now):
            return False
        loaded_at = self._loaded_at.get(model, now)
        used_since = self._last_used_at.get(model, float("-inf")) > loaded_at
        return used_since or now - loaded_at > _LOAD_GRACE_S

    def _choose_adapter(self, status: EngineStatus, now: float) -> Intent | None:
        assert self._spec is not None
        loaded = {(h.model, name) for h in status.models for name in h.adapters}
        present = loaded | set(status.incoming)
        for wanted, at in list(self._adapters_wanted.items()):
            if wanted in loaded or now - at > _ADAPTER_REQUEST_EXPIRY_S:
                del self._adapters_wanted[wanted]
        for wanted in self._adapters_wanted:
            if wanted in present or wanted[0] not in self._held & self._known.keys():
                continue
            if len(present) < self._spec.adapter_slots and self._has_room(
                wanted[0], status
            ):
                return Intent(True, *wanted)
            return self._free_adapter_slot(loaded, now)
        return None

    def _has_room(self, model: str, status: EngineStatus) -> bool:
        return self._free_mb(status) >= self._known[model].adapter_mb

    def _free_adapter_slot(
        self, loaded: set[tuple[str, str]], now: float
    ) -> Intent | None:
        unused = [
            pair
            for pair in loaded
            if not self.in_flight("/".join(pair), now)
            and pair not in self._adapters_wanted
        ]
        if not unused:
            return None
        oldest = min(
            unused,
            key=lambda pair: (self._last_used_at.get("/".join(pair), -1.0), pair),
        )
        return Intent(False, *oldest)

    def _choose_prefetch(
        self, status: EngineStatus, copies: FleetCopies, now: float
    ) -> Intent | None:
        """Return an order that prefetches a model with too few copies, or None."""
        if copies.store_loads >= PREFETCHES_AT_ONCE or not copies.is_complete:
            return None
        if now < self.store_retry_at:
            return None
        if self._want_rate.read(now) > _PREFETCH_MAX_DEMAND_RATE:
            return None
        scarce = self._find_scarce(status, copies, now)
        if not scarce:
            return None
        # Models loaded on some engine are usually requested more than others.
        model = min(
            scarce,
            key=lambda name: (
                copies.count(name) > 0,
                name not in copies.holders,
                copies.count(name),
                rank_by_hash(copies.own, name),
            ),
        )
        is_first = not copies.count(model)
        if not is_first and self._defers_to_first_copies(copies, now):
            return None
        # First copies go before further ones.
        weight = PREFETCH_WEIGHT if is_first else 0.0
        if self._free_mb(status) >= self._models[model].weights_mb:
            return Intent(True, model, reason="copy", fetches=model, weight=weight)
        victim = self._choose_spare(status, copies, now)
        if not victim and is_first:
            victim = self._displaced = self._choose_replicated_victim(
                status, copies, now
            )
            self._displaced_for = model
        if not victim:
            return None
        return Intent(False, victim, reason="copy", fetches=model, weight=weight)

    def _defers_to_first_copies(self, copies: FleetCopies, now: float) -> bool:
        """Return whether to leave the store to models without any copy."""
        if all(copies.count(name) for name in self._models):
            self._lacking_since = float("inf")
            return False
        self._lacking_since = min(self._lacking_since, now)
        return now - self._lacking_since < _FIRST_COPY_PRIORITY_S

    def _choose_copy(
        self, status: EngineStatus, copies: FleetCopies, now: float
    ) -> Intent | None:
        """Return an order for an engine without demand: a prefetch or a reload."""
        if not self._displaced or self._displaced in self._held:
            return self._choose_prefetch(status, copies, now)
        if self._displaced_for not in self._held:
            store_loads = self._choose_prefetch(status, copies, now)
            if store_loads is not None and store_loads.loads:
                return store_loads
        return self._restore(status, now)

    def _restore(self, status: EngineStatus, now: float) -> Intent | None:
        """Return an order that reloads the model evicted for a first copy."""
        name, copied = self._displaced, self._displaced_for
        is_possible = name in self._models and not self._is_remote(name, status)
        if is_possible and self._free_mb(status) >= self._models[name].weights_mb:
            return Intent(True, name, reason="return")
        if is_possible and copied in self._held and not self.in_flight(copied, now):
            return Intent(False, copied, reason="return")
        self._displaced = ""
        return None

    def _choose_replicated_victim(
        self, status: EngineStatus, copies: FleetCopies, now: float
    ) -> str:
        """Return a model to evict for a first copy while there is no traffic.

        It is reloaded from this engine's cache afterwards. Another engine has a copy
        too and can serve callers that arrive before that.
        """
        if copies.has_traffic or now - self._asked_at < _NO_TRAFFIC_S:
            return ""
        lenders = [
            held.model
            for held in status.models
            if not self._is_remote(held.model, status) and copies.count(held.model) > 1
        ]
        return max(lenders, key=lambda name: copies.count(name), default="")

    def _find_scarce(
        self, status: EngineStatus, copies: FleetCopies, now: float
    ) -> list[str]:
        """Return the models with too few copies that this engine should fetch."""
        assert self._spec is not None
        # Each evicted model must keep more copies than the loaded model had before,
        # so that engines do not evict each other's copies in turn.
        left = {
            size: min(
                (
                    copies.count(name) - 1
                    for name in list_evicted_copies(
                        self._spec, status.on_disk, size, self._sizes
                    )
                ),
                default=_MIN_COPIES,
            )
            for size in {model.weights_mb for model in self._models.values()}
        }
        return [
            name
            for name, model in self._models.items()
            if copies.count(name) < min(_MIN_COPIES, left[model.weights_mb])
            and not self._may_return(name, copies, now)
            and self._is_assigned_here(name, copies)
        ]

    def _is_assigned_here(self, model: str, copies: FleetCopies) -> bool:
        """Return whether this engine has the lowest rendezvous rank for a model."""
        free = copies.idle_engines - copies.places.get(model, frozenset())
        first = min(free, key=lambda name: rank_by_hash(model, name), default="")
        return first == copies.own

    def _choose_spare(
        self, status: EngineStatus, copies: FleetCopies, now: float
    ) -> str:
        """Return an idle model held by surplus engines, or an empty string."""
        spare = []
        for held in status.models:
            name = held.model
            last = max(
                self._last_used_at.get(name, -1.0), self._loaded_at.get(name, now)
            )
            holders = copies.holders.get(name, 1)
            if not self._is_idle(name, now) or now - last < _SURPLUS_IDLE_S:
                continue
            if holders > _MIN_HOLDERS:
                spare.append((-holders, name))
        return min(spare)[1] if spare else ""
