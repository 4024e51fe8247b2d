"""Which models and adapters an engine holds: what its agent orders next.

Requests that wait for a model are served first. What has to make room is the model
that nobody uses and that was used longest ago: a copy of it stays on the engine's
disk. With nothing waiting, the engine fetches models of which the fleet has no copy.
"""

from typing import NamedTuple

from ..dialects.fleet import EngineStatus
from ..exceptions import ImplausibleDemand
from .configurations import EngineSpec, ModelSpec
from .copies import FleetCopies, list_evicted_copies, list_sizes
from .eventrate import EventRate
from .loaddemand import EntryDemand, LoadDemandTable
from .serverselection import rank_by_hash
from .storequeue import DEFAULT_STORE_CONCURRENCY

__all__ = ["Intent", "Residency"]

# An entry repeats that it waits for an adapter well within this time.
_ADAPTER_REQUEST_EXPIRY_S = 1.2
# An entry repeats what it has in flight well within this time.
_USAGE_EXPIRY_S = 3.0
# A model just loaded is kept until the requests that waited for it have come.
_LOAD_GRACE_S = 0.8
# How fast the measured use of a model follows the real one.
_REQUEST_RATE_WINDOW_S = 2.0
# The same for models that are wanted; each is wanted seldom.
_DEMAND_RATE_WINDOW_S = 10.0
# How long an agent that has just started hears of use before a model makes room: some
# requests of each model in steady use.
_USAGE_DISCOVERY_S = 0.7
# A load from disk with the unload before it: how long a model that made room lacks.
_RELOAD_S = 1.4
# An unload of a model that nobody uses.
_UNLOAD_S = 0.1
# How long running requests keep an unload waiting, on average.
_DRAIN_S = 1.0
# How long a request waits for a model to fall idle before one in use makes room.
_BUSY_EVICTION_DELAY_S = 3.0
# A model idle for this long makes room for one of which there is no copy.
_SURPLUS_IDLE_S = 2.0
# Holders that a model placed on many engines keeps when others make room.
_MIN_HOLDERS = 2
# How long entries may repeat a want after another engine has loaded the model.
_STALE_DEMAND_S = 0.5
# How long an engine waits after an order, and a model after it was first asked for,
# before it is fetched from the store: entries ask within this time for what the engine
# has at hand.
_FETCH_DELAY_S = 0.4
# Loads from the store at a time that nobody waits for.
_PREFETCHES_WITH_TRAFFIC = 2
_PREFETCHES_WITHOUT_TRAFFIC = 4
# Copies of each model that the fleet keeps: one is lost with its engine, and the
# other loads of a busy engine keep it waiting.
_MIN_COPIES = 2
# What a first copy in the fleet is worth at the store, beside copies of other models.
_FIRST_COPY_WEIGHT = 0.01
# How long engines leave the store to those that fetch a first copy.
_FIRST_COPY_PRIORITY_S = 2.0
# How long nobody has asked for anything before a model makes room for a first copy.
_NO_TRAFFIC_S = 2.0
# Models wanted a second above which an engine has no time for a load from the store
# that nobody waits for.
_PREFETCH_MAX_DEMAND_RATE = 0.2


class Intent(NamedTuple):
    """What to order next; ``adapter`` is empty for a model.

    ``fetches`` is the model that a load from the store, or the unload before it, is
    for; it needs a turn at the store. Its callers are worth ``weight``.
    """

    loads: bool
    model: str
    adapter: str = ""
    reason: str = "wanted"
    fetches: str = ""
    weight: float = 0.0


class Residency:
    """The state that one agent's decisions need.

    Attributes:
        held_back: Why the last decision ordered no load of a wanted model, by model.
        store_retry_at: Until when no turn at the store is asked for again.
    """

    def __init__(self) -> None:
        self._spec: EngineSpec | None = None
        self._models: dict[str, ModelSpec] = {}
        self._sizes: dict[str, float] = {}
        self._largest_mb = 0.0
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
        # What made room for a first copy, until it is back; and that copy's model.
        self._displaced = ""
        self._displaced_for = ""
        self._lacking_since = float("inf")
        # Since when other engines hold a model.
        self._elsewhere_since: dict[str, float] = {}
        self.held_back: dict[str, str] = {}
        self.store_retry_at = float("-inf")

    def set_engine(self, spec: EngineSpec) -> None:
        """Take the engine's limits and the models of its service."""
        self._spec = spec
        self._models = {model.name: model for model in spec.models}
        self._sizes = list_sizes(spec)
        self._largest_mb = max(self._sizes.values(), default=0.0)

    @property
    def spec(self) -> EngineSpec | None:
        """The engine's limits; None before a configuration named them."""
        return self._spec

    def model(self, name: str) -> ModelSpec | None:
        """Return what the configuration says of a model."""
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
        """Note that requests of an entry wait for a model.

        Args:
            peer: The entry.
            model: What they wait for.
            requests: How many they are.
            urgency: What they are worth.
            now: Monotonic seconds.
            age_s: How long ago its first caller was refused, if none was served since.
            returning: How many callers were refused lately.

        Raises:
            ImplausibleDemand: If no entry can mean this.

        Returns:
            Whether the entry has not asked for it before.
        """
        callers = EntryDemand(requests, urgency, age_s, returning)
        if not callers.is_plausible():
            raise ImplausibleDemand(peer, model)
        # An entry that has not heard that the model is there will at once; its want
        # would bring the model back right after it has made room.
        if model not in self._models or model in self._held:
            return False
        self._asked_at = now
        # An engine that nobody uses hears of no use, however long it waits.
        self._use_known_from = min(self._use_known_from, now + _USAGE_DISCOVERY_S)
        is_new = self._demands.note(peer, model, callers, now)
        if is_new:
            self._want_rate.add(1, now)
        return is_new

    def note_usage(
        self, peer: str, uses: list[tuple[str, int, int]], now: float
    ) -> None:
        """Replace what an entry has in flight, by model or model and adapter."""
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
        """Note that a request waits for an adapter."""
        if (model, adapter) not in self._adapters_wanted:
            self._adapter_misses.add(1, now)
        self._adapters_wanted[(model, adapter)] = now
        self._last_used_at[f"{model}/{adapter}"] = now

    def list_wanted_models(self, now: float) -> list[tuple[str, float]]:
        """Return the models that requests wait for and that are not held.

        Each comes with its urgency, the most urgent one first. One that was asked for
        in vain for long counts for more, so that none is never served.
        """
        missing = self._demands.list_missing(self._held, now)
        weighed = sorted(
            (-wants.weight, wants.since, model) for model, wants in missing.items()
        )
        return [(model, -weight) for weight, _, model in weighed]

    def demand(self, model: str, now: float) -> float:
        """Return the requests for a model: those begun a second and those waiting."""
        rate = self._rates.get(model)
        waiting = self._demands.count_callers(model)
        return round((rate.read(now) if rate else 0.0) + waiting, 2)

    def describe_demand(self, model: str) -> dict[str, float]:
        """Return the figures of a wanted model's callers, for a log line."""
        wants = self._demands.find(model)
        return {
            "requests": wants.requests,
            "returning": wants.returning,
            "weight": round(wants.weight, 2),
            "unserved_s": round(wants.age_s, 1),
        }

    def in_flight(self, name: str, now: float) -> int:
        """Return the requests of all entries in flight for a model or adapter.

        An entry that has not told of its use for long is lost, and its requests too.
        """
        return sum(
            uses.get(name, 0)
            for peer, uses in self._usage.items()
            if now - self._usage_reported_at[peer] <= _USAGE_EXPIRY_S
        )

    def choose(
        self, status: EngineStatus, copies: FleetCopies, now: float
    ) -> Intent | None:
        """Return what to order next, or None."""
        if self._spec is None:
            return None
        self._note_held(status, now)
        self._elsewhere_since = {
            name: self._elsewhere_since.get(name, now) for name in copies.held
        }
        if status.is_busy:
            self._last_busy_at = now
        # The engine takes no order for an adapter either while a model changes.
        if status.is_busy or status.is_leaving:
            return None
        intent = self._choose_adapter(status, now)
        if intent is not None:
            return intent
        self.held_back = {}
        wanted = self._rank(self.list_wanted_models(now), status, copies, now)
        if wanted:
            self._displaced = ""
        for model in wanted:
            reason = self._find_obstacle(model, status, copies, now)
            intent = None if reason else self._make_way(model, status, now)
            if intent is not None and self._is_remote(model, status):
                weight = self._demands.find(model).weight
                return intent._replace(fetches=model, weight=weight)
            if intent is not None:
                return intent
            self.held_back[model] = reason or "no_room"
        return None if wanted else self._choose_copy(status, copies, now)

    def _find_obstacle(
        self, model: str, status: EngineStatus, copies: FleetCopies, now: float
    ) -> str:
        """Return why a wanted model is not loaded now even if there is room."""
        # Its callers go where it is loaded: a second load would serve nobody.
        if model in copies.loading:
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
        """Return the wanted models by what an engine's second brings, the most first.

        A model asked for in vain goes first while no engine fetches any: so each gets
        its turn, and the fleet spends one engine on it at most.
        """

        def rank(item: tuple[str, float]) -> tuple[bool, float]:
            model, urgency = item
            is_due = not copies.store_loads and self._demands.find(model).is_starved
            load_s = self._models[model].load_s(status.in_memory, status.on_disk)
            return not is_due, -urgency / (load_s + _UNLOAD_S)

        return [model for model, _ in sorted(wanted, key=rank)]

    def _find_fetch_obstacle(self, model: str, copies: FleetCopies, now: float) -> str:
        """Return why no load from the store may begin beside those of others."""
        wants = self._demands.find(model)
        # An engine that swaps all the time would never fetch what outweighs the swaps.
        is_first = not self.held_back and not copies.count(model)
        waits_since = wants.since if is_first else max(wants.since, self._last_busy_at)
        if now - waits_since < _FETCH_DELAY_S:
            return "fetch_pause"
        if now < self.store_retry_at:
            return "store_busy"
        # Where nobody waits, one at a time is enough to serve every model some day.
        if not (wants.requests or wants.returning):
            return "" if copies.store_loads < 1 else "store_busy"
        is_open = copies.has_owner or copies.store_loads < DEFAULT_STORE_CONCURRENCY
        return "" if is_open else "store_busy"

    def _is_remote(self, model: str, status: EngineStatus) -> bool:
        return model not in status.in_memory and model not in status.on_disk

    def room_cost(self, status: EngineStatus, now: float) -> float:
        """Return what making room for a model costs others, in request-seconds."""
        if self._spec is None or self._free_mb(status) >= self._largest_mb:
            return 0.0
        costs = [
            self._eviction_cost(held.model, now, 0.0)
            + (_LOAD_GRACE_S if self._is_settling(held.model, now) else 0.0)
            for held in status.models
        ]
        return _UNLOAD_S + min(costs, default=0.0)

    def blocked_rate(self, now: float) -> float:
        """Return the requests a second that wait while the engine is busy.

        Those are the ones for adapters and models that it does not hold.
        """
        return self._adapter_misses.read(now) + self._want_rate.read(now)

    def _eviction_cost(self, model: str, now: float, held_up_s: float) -> float:
        """Return the request-seconds that ending a model's residency costs.

        Those are the requests that come while it is away, and the wait of the next
        model until the running ones have ended. It cannot return for ``held_up_s``
        beyond the usual, while the engine loads from the store.
        """
        rate = self._rates.get(model)
        away_s = _RELOAD_S + held_up_s
        missed = rate.read(now) * away_s if rate else 0.0
        return missed * _RELOAD_S + min(self.in_flight(model, now), 1) * _DRAIN_S

    def _is_settling(self, model: str, now: float) -> bool:
        """Return whether the requests that a model was loaded for may still come."""
        return now < self._settles_at.get(model, now)

    def _note_held(self, status: EngineStatus, now: float) -> None:
        held = frozenset(item.model for item in status.models)
        for model in held - self._held:
            self._loaded_at[model] = now
            if self._demands.remove(model):
                self._settles_at[model] = now + _LOAD_GRACE_S
        self._held = held

    def _free_mb(self, status: EngineStatus) -> float:
        assert self._spec is not None
        used = 0.0
        for held in status.models:
            spec = self._models.get(held.model)
            # A model that the configuration no longer names still takes its room.
            weights = spec.weights_mb if spec else self._largest_mb
            adapter = spec.adapter_mb if spec else 0.0
            used += weights + adapter * len(held.adapters)
        for model, _ in status.incoming:
            spec = self._models.get(model)
            used += spec.adapter_mb if spec else 0.0
        return self._spec.weights_mb - used

    def _make_way(self, model: str, status: EngineStatus, now: float) -> Intent | None:
        if self._free_mb(status) >= self._models[model].weights_mb:
            return Intent(True, model)
        victim = self._choose_victim(model, status, now)
        return Intent(False, victim) if victim else None

    def _choose_victim(self, model: str, status: EngineStatus, now: float) -> str:
        """Return the model whose end costs least, if the waiting one is worth it."""
        wants = self._demands.find(model)
        # An unload waits for the running requests and blocks all other orders: what
        # is in use makes room only when nothing has fallen idle for long.
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
        if self._is_remote(model, status):
            held_up_s = self._models[model].remote_s
        victim = min(
            held,
            key=lambda name: (
                self._eviction_cost(name, now, held_up_s),
                self._last_used_at.get(name, -1.0),
            ),
        )
        # In the unit of the cost, however long they wait: who waits longest must not
        # take the place of many who would have to wait next.
        gain = _RELOAD_S * wants.weight
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
            if wanted in present or wanted[0] not in self._held:
                continue
            if len(present) < self._spec.adapter_slots and self._has_room(
                wanted[0], status
            ):
                return Intent(True, *wanted)
            return self._free_adapter_slot(loaded, now)
        return None

    def _has_room(self, model: str, status: EngineStatus) -> bool:
        spec = self._models.get(model)
        return spec is not None and self._free_mb(status) >= spec.adapter_mb

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
        """Fetch a model of which the fleet has too few copies, one at a time."""
        at_once = (
            _PREFETCHES_WITH_TRAFFIC
            if copies.has_traffic
            else _PREFETCHES_WITHOUT_TRAFFIC
        )
        if copies.store_loads >= at_once or not copies.is_complete:
            return None
        if now < self.store_retry_at:
            return None
        if self._want_rate.read(now) > _PREFETCH_MAX_DEMAND_RATE:
            return None
        scarce = self._find_scarce(status, copies)
        if not scarce:
            return None
        # What engines hold is asked for more than what they do not, as a rule.
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
        weight = _FIRST_COPY_WEIGHT if is_first else 0.0
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
        """Return whether other engines may come first with models that lack a copy."""
        if all(copies.count(name) for name in self._models):
            self._lacking_since = float("inf")
            return False
        self._lacking_since = min(self._lacking_since, now)
        return now - self._lacking_since < _FIRST_COPY_PRIORITY_S

    def _choose_copy(
        self, status: EngineStatus, copies: FleetCopies, now: float
    ) -> Intent | None:
        """Return what to order while nobody waits: copies, and what made room."""
        if not self._displaced or self._displaced in self._held:
            return self._choose_prefetch(status, copies, now)
        if self._displaced_for not in self._held:
            store_loads = self._choose_prefetch(status, copies, now)
            if store_loads is not None and store_loads.loads:
                return store_loads
        return self._restore(status, now)

    def _restore(self, status: EngineStatus, now: float) -> Intent | None:
        """Bring back a model that made room for a first copy."""
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
        """Return a model that makes room for a first copy while nobody calls.

        It is brought back from this engine's copy at once; should callers come first,
        another engine has a copy too.
        """
        if copies.has_traffic or now - self._asked_at < _NO_TRAFFIC_S:
            return ""
        lenders = [
            held.model
            for held in status.models
            if not self._is_remote(held.model, status) and copies.count(held.model) > 1
        ]
        return max(lenders, key=lambda name: copies.count(name), default="")

    def _find_scarce(self, status: EngineStatus, copies: FleetCopies) -> list[str]:
        """Return the models with too few copies that this engine is to fetch."""
        assert self._spec is not None
        # Of the copies that a load displaces, one more than the loaded model then has
        # must be left, so that copies are not only moved about.
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
            and self._is_assigned_here(name, copies)
        ]

    def _is_assigned_here(self, model: str, copies: FleetCopies) -> bool:
        """Return whether this engine is the first that may fetch a model."""
        free = copies.idle_engines - copies.places.get(model, frozenset())
        first = min(free, key=lambda name: rank_by_hash(model, name), default="")
        return first == copies.own

    def _choose_spare(
        self, status: EngineStatus, copies: FleetCopies, now: float
    ) -> str:
        """Return an idle model that enough other engines hold."""
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
