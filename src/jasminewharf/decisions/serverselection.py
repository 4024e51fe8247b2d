"""Selects the backend server for a request and the engine that loads a model."""

from collections.abc import Callable, Mapping, Sequence, Set
from typing import NamedTuple

import xxhash

from ..messages.servers import EngineReport
from .configurations import EngineSpec, ModelSpec
from .copies import count_copies, list_evicted_copies, list_sizes
from .directory import Server
from .spreading import FULL_SHARE, Spread, draw_better, pick_preferred, project_load
from .storewait import estimate_store_wait

__all__ = [
    "LoadPlacement",
    "RequestTarget",
    "RequestBacklog",
    "choose_engine",
    "choose_idle_engine",
    "choose_load_placement",
    "choose_least_loaded_server",
    "count_excess_requests",
    "is_full",
    "order_by_limit",
    "rank_by_hash",
    "split_by_cold",
    "split_by_limit",
    "sum_urgency",
]

# Load up to which requests for a model are packed on one engine, as share of slots.
_PACKING_LOAD_SHARE = 0.6
# Share of the slots beyond which first events are late and memory runs out.
_OVERLOAD_SHARE = 0.75
# Share of a plain server's slots up to which its load does not matter.
_ALIKE_SHARE = 0.5
_INCUMBENT_COST_FACTOR = 0.7
# Requests a second at least, as weight of a server whose limit is lower.
_LOWEST_LIMIT = 0.1
# Usual time of an answer, for what a slow engine costs the requests there.
_ANSWER_S = 1.0
# Time before a load to drain and unload another model.
_EVICTION_S = 0.4


class RequestTarget(NamedTuple):
    """The model and adapter of a request."""

    model: str
    adapter: str


def rank_by_hash(key: str, name: str) -> int:
    """Return the rendezvous rank of ``name`` for ``key``; the lowest is the first."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


def choose_engine(
    servers: Sequence[Server], wanted: RequestTarget, spread: Spread | None = None
) -> Server:
    """Return the engine for a request, of those that hold its model.

    Requests for one model are kept together on the first engine of its rendezvous
    order while that has room: this reuses its prompt cache, and other engines can evict
    the model for rare ones. Adapters are spread over the engines in the same way, by
    their own rendezvous order.

    With ``spread``, the pace of the engines decides how much is packed on each: a slow
    one is left at a lower load, and gradually instead of by all entries at once.
    """
    if len(servers) == 1:
        return servers[0]
    if spread is not None:
        return _spread_over_engines(servers, wanted, spread)
    key = _find_key(wanted)
    with_room = [s for s in servers if s.load < _PACKING_LOAD_SHARE * s.listed.slots]
    if not with_room:
        return min(servers, key=lambda s: s.load / max(s.listed.slots, 1))
    with_room = _prefer_adapter(with_room, wanted)
    return min(with_room, key=lambda s: rank_by_hash(key, s.name))


def _find_key(wanted: RequestTarget) -> str:
    return f"{wanted.model}/{wanted.adapter}" if wanted.adapter else wanted.model


def _prefer_adapter(servers: list[Server], wanted: RequestTarget) -> list[Server]:
    """Return the engines at which a request waits least for its adapter."""
    if not wanted.adapter:
        return servers
    loaded = [s for s in servers if s.holds_adapter(wanted.model, wanted.adapter)]
    # An engine rejects adapter orders while it loads or unloads a model.
    calm = [s for s in servers if s.report is None or not s.report.changing]
    return loaded or calm or servers


def _spread_over_engines(
    servers: Sequence[Server], wanted: RequestTarget, spread: Spread
) -> Server:
    now = spread.now
    with_room = [s for s in servers if project_load(s, now) < FULL_SHARE]
    key = _find_key(wanted)
    preferred = _prefer_adapter(with_room, wanted)
    preferred.sort(key=lambda s: rank_by_hash(key, s.name))
    chosen = pick_preferred(preferred, spread)
    return chosen or draw_better(preferred or servers, spread, 0.0)


def choose_idle_engine(
    servers: Sequence[Server], contended: Set[str], spread: Spread | None = None
) -> Server:
    """Return the engine that has the least load, of those that hold a model.

    Those with a trial under way, ``contended``, come last. The load is the number of
    requests; with ``spread`` it is that per slot, adjusted for the pace.
    """

    def rank(server: Server) -> tuple[bool, float]:
        load = server.load if spread is None else project_load(server, spread.now)
        return server.name in contended, load

    return min(servers, key=rank)


def count_excess_requests(
    servers: Sequence[Server], spread: Spread | None = None
) -> int:
    """Return how many requests at a model's engines another copy could take over.

    Args:
        servers: The engines that hold the model.
        spread: Given if the pace of the engines counts; another copy is then asked for
            before the first of them is full.

    Returns:
        0 while the least loaded of them has room.
    """
    if spread is not None:
        # A server that has returned is soon used whole; a copy would come later.
        rooms = [
            (s.capacity(spread.now) / s.pace.window(spread.now), s) for s in servers
        ]
        room, least = min(rooms, key=lambda item: item[1].load / item[0])
        return max(least.load - int(FULL_SHARE * room), 0)
    least = min(servers, key=lambda s: s.load / max(s.listed.slots, 1))
    return max(least.load - int(_OVERLOAD_SHARE * least.listed.slots), 0)


def choose_least_loaded_server(
    servers: Sequence[Server], zone: str, random: float, spread: Spread | None = None
) -> Server:
    """Return the least loaded server, of equal ones one in the own zone.

    ``random`` in [0, 1) breaks the ties that are left. With ``spread``, it is the
    better of two by load and pace, wherever they are: a way between zones takes less
    time than the paces differ by.
    """
    if spread is not None:
        return draw_better(servers, spread, _ALIKE_SHARE)

    def rank(item: tuple[int, Server]) -> tuple[float, bool, int]:
        number, server = item
        place = (number + int(random * len(servers))) % len(servers)
        return _bucket_load(server), server.listed.zone != zone, place

    return min(enumerate(servers), key=rank)[1]


def _bucket_load(server: Server) -> float:
    """Return the load in slots, where the first half of the slots is alike."""
    slots = max(server.listed.slots, 1)
    return max(server.load / slots, _ALIKE_SHARE)


def split_by_limit(servers: Sequence[Server]) -> tuple[list[Server], list[Server]]:
    """Return the servers without a limit in force and those with one."""
    free = [server for server in servers if not server.limit.is_limited]
    return free, [server for server in servers if server.limit.is_limited]


def split_by_cold(
    servers: Sequence[Server], now: float
) -> tuple[list[Server], list[Server]]:
    """Return the servers that take requests freely, and those cold or with a limit."""
    free = [server for server in servers if not server.limit.is_limited_at(now)]
    return free, [server for server in servers if server.limit.is_limited_at(now)]


def is_full(server: Server) -> bool:
    """Return whether a further request would wait at a server."""
    return server.load >= server.listed.slots


def order_by_limit(
    servers: Sequence[Server], draw: Callable[[], float]
) -> list[Server]:
    """Return servers with a limit in a random order, higher limits mostly first.

    ``draw`` returns random numbers in [0, 1). A server comes first with a probability
    in proportion to its limit, so that all nodes together use each as far as it allows.
    """

    def rank(server: Server) -> float:
        return -(draw() ** (1 / max(server.limit.weight_per_s, _LOWEST_LIMIT)))

    return sorted(servers, key=rank)


class LoadPlacement(NamedTuple):
    """An engine that may load a model, and the estimated time until it is ready.

    ``load_s`` is the part of ``ready_s`` that the load itself takes. ``cost`` is in
    request-seconds: the waiting time of the model's requests and of the requests for
    the models that are evicted or delayed.
    """

    server: Server
    ready_s: float
    load_s: float
    cost: float


class RequestBacklog(NamedTuple):
    """Requests that wait for a model: their number and total weight."""

    requests: int
    urgency: float


def choose_load_placement(
    servers: Sequence[Server],
    engine: EngineSpec,
    model: ModelSpec,
    waiting: RequestBacklog,
    now: float,
) -> LoadPlacement | None:
    """Return the cheapest engine to load a model, usually the same on all nodes.

    Args:
        servers: Engines of the service with a fresh report.
        engine: What each of them can hold.
        model: The model.
        waiting: The requests that wait for it.
        now: Seconds on the clock of the reports.
    """
    reachable = [s for s in servers if s.report is not None and s.report.is_reachable]
    if not reachable:
        return None
    copies = count_copies(s.report.on_disk for s in reachable if s.report)
    models = {spec.name: spec for spec in engine.models}
    store_wait_s = estimate_store_wait(
        reachable, models, model.name, waiting.urgency, now
    )
    fleet = _ServiceContext(engine, models, list_sizes(engine), copies, store_wait_s)
    places = [_estimate_placement(s, fleet, model, waiting, now) for s in reachable]
    return min(places, key=lambda p: (p.cost, rank_by_hash(model.name, p.server.name)))


def sum_urgency(servers: Sequence[Server], model: str) -> float:
    """Return the total weight of the requests for a model over all entries."""
    return sum(
        weight
        for server in servers
        if server.report is not None
        for name, weight in server.report.wanted
        if name == model
    )


class _ServiceContext(NamedTuple):
    """Values shared by the cost estimates of all engines of a service.

    ``store_wait_s`` is the time until the store can begin the load.
    """

    engine: EngineSpec
    models: Mapping[str, ModelSpec]
    sizes: Mapping[str, float]
    copies: Mapping[str, int]
    store_wait_s: float


def _estimate_placement(
    server: Server,
    fleet: _ServiceContext,
    model: ModelSpec,
    waiting: RequestBacklog,
    now: float,
) -> LoadPlacement:
    report = server.report
    assert report is not None
    requests = max(waiting.requests, 1)
    busy_s = server.busy_s(now)
    if report.changing == model.name and report.is_loading:
        return LoadPlacement(
            server, busy_s, busy_s, requests * busy_s * _INCUMBENT_COST_FACTOR
        )
    own_s = model.load_s(report.in_memory, report.on_disk)
    others = [item for item in report.wanted if item[0] != model.name]
    is_wanted_there = len(others) < len(report.wanted)
    ahead = _list_loads_ahead(others, waiting.urgency / own_s, report, fleet)
    is_remote = own_s >= model.remote_s
    begins_s = busy_s + sum(ahead)
    if is_remote:
        begins_s = max(begins_s, fleet.store_wait_s)
    ready_s = begins_s + own_s
    # What the requests take longer there than on a usual engine.
    slower_s = (server.pace.step_factor(now) - 1.0) * _ANSWER_S
    # Hysteresis: a model queued at one agent does not move for a small gain.
    stay_part = _INCUMBENT_COST_FACTOR if is_wanted_there else 1.0
    # The engine takes no other order during a load. Requests that arrive meanwhile wait
    # for half of it on average, models queued behind it for all of it.
    behind = len(others) - len(ahead)
    held_up = report.blocked_rate * own_s * own_s / 2 + behind * own_s
    cost = requests * (ready_s * stay_part + slower_s) + report.room_cost + held_up
    if is_remote:
        displaced = list_evicted_copies(
            fleet.engine, report.on_disk, model.weights_mb, fleet.sizes
        )
        last = sum(1 for name in displaced if fleet.copies[name] <= 1)
        # As many callers are expected for each of them as for this model.
        cost += requests * model.remote_s * last
    return LoadPlacement(server, ready_s, own_s, cost)


def _list_loads_ahead(
    others: Sequence[tuple[str, float]],
    worth_per_s: float,
    report: EngineReport,
    fleet: _ServiceContext,
) -> list[float]:
    """Return the load times of the models that an engine loads first, in seconds.

    These have at least the weight per second of load time ``worth_per_s``.
    """
    ahead = []
    for name, weight in others:
        spec = fleet.models.get(name)
        if spec is None:
            continue
        load_s = spec.load_s(report.in_memory, report.on_disk)
        if weight / load_s >= worth_per_s:
            ahead.append(load_s + _EVICTION_S)
    return ahead
