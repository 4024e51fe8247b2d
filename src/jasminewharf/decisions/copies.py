"""Counts cached copies of model weights in the fleet and predicts their eviction."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from .. import defaults
from ..messages.servers import EngineReport
from .configurations import EngineSpec
from .directory import Server

__all__ = [
    "FleetCopies",
    "LostCopies",
    "count_copies",
    "list_evicted_copies",
    "gather_copies",
    "is_fetching",
    "list_other_reports",
    "list_sizes",
    "refresh_loads",
]


class FleetCopies(NamedTuple):
    """Where the engines of a service hold, cache and load models.

    ``is_complete`` tells whether every agent of the service has reported. ``holders``
    counts the engines that have a model loaded, this one included. ``places`` has the
    engines that hold, cache or load each model. ``idle_engines`` have neither an order
    in progress nor demanded models; ``own`` is the address of this engine.

    ``store_loads`` counts the loads from the store in progress on other engines.
    ``has_traffic`` tells whether requests run on any engine. ``loading`` and ``held``
    are the models that other engines load, from any tier, and have loaded; those in
    ``fetching`` are loaded from the store only. ``wanted`` are the models demanded of
    any engine. ``has_owner`` tells whether the owner of the store slots answers; it
    then limits the loads from the store instead of the caller. ``lost`` has the models
    on the disks of lost engines, and since when; see :class:`LostCopies`. ``demand``
    has the total weight of the callers of each model at other engines.
    """

    is_complete: bool
    holders: dict[str, int]
    places: dict[str, frozenset[str]]
    idle_engines: frozenset[str]
    own: str
    store_loads: int
    has_traffic: bool
    loading: frozenset[str] = frozenset()
    held: frozenset[str] = frozenset()
    has_owner: bool = False
    wanted: frozenset[str] = frozenset()
    fetching: frozenset[str] = frozenset()
    lost: Mapping[str, float] = MappingProxyType({})
    demand: Mapping[str, float] = MappingProxyType({})

    def count(self, model: str) -> int:
        """Return how many engines hold, cache or load a model."""
        return len(self.places.get(model, ()))


class LostCopies:
    """Copies on the disks of engines that crashed and may start again."""

    def __init__(self) -> None:
        self._disks: dict[str, frozenset[str]] = {}
        self._lost_at: dict[str, float] = {}

    def update(
        self, reports: Sequence[EngineReport], listed: Collection[str], now: float
    ) -> dict[str, float]:
        """Return the models on the disks of lost engines, and since when.

        Args:
            reports: Current reports of reachable engines.
            listed: Addresses of the engines that are expected to stay.
            now: Monotonic seconds.
        """
        present = {report.address: frozenset(report.on_disk) for report in reports}
        known = {name: disk for name, disk in self._disks.items() if name in listed}
        self._disks = known | present
        self._lost_at = {
            address: self._lost_at.get(address, now)
            for address in known.keys() - present.keys()
        }
        lost: dict[str, float] = {}
        for address, lost_at in self._lost_at.items():
            for name in self._disks[address]:
                lost[name] = max(lost_at, lost.get(name, lost_at))
        return lost


def list_other_reports(
    servers: Iterable[Server], own: str, now: float
) -> list[EngineReport]:
    """Return the reports of the other engines whose copies can be used.

    An engine that is leaving takes its copies along: they are replaced while it still
    serves, as a load from the store takes longer than it stays. Those of an engine in
    an evacuated zone are of no use before the evacuation ends.

    Args:
        servers: All servers.
        own: The address of this engine.
        now: Monotonic seconds.
    """
    return [
        server.report
        for server in servers
        if server.report is not None
        and server.report.is_reachable
        and not (server.is_leaving or server.is_evacuated)
        and now - server.report_at <= defaults.AGENT_FRESH_S
        and server.listed.address != own
    ]


def gather_copies(
    reports: Sequence[EngineReport], own: str, is_complete: bool
) -> FleetCopies:
    """Build the state of the copies from the agents' reports.

    Args:
        reports: Current reports, including that of the engine at ``own``.
        own: The address of this engine.
        is_complete: Whether every agent of the service has reported.
    """
    holders = Counter(held.model for report in reports for held in report.models)
    places: dict[str, set[str]] = {}
    for report in reports:
        held = [item.model for item in report.models]
        loading = [report.changing] if report.is_loading else []
        for name in (*held, *loading, *report.in_memory, *report.on_disk):
            places.setdefault(name, set()).add(report.address)
    demand: Counter[str] = Counter()
    for report in reports:
        if report.address != own:
            demand.update(dict(report.wanted))
    is_calm = [not report.changing and not report.wanted for report in reports]
    copies = FleetCopies(
        is_complete,
        dict(holders),
        {name: frozenset(engines) for name, engines in places.items()},
        frozenset(
            r.address
            for r, idle_engines in zip(reports, is_calm, strict=True)
            if idle_engines
        ),
        own,
        0,
        any(report.running for report in reports),
        wanted=frozenset(name for report in reports for name, _ in report.wanted),
        demand=demand,
    )
    return refresh_loads(copies, reports)


def refresh_loads(copies: FleetCopies, reports: Sequence[EngineReport]) -> FleetCopies:
    """Return the state with the current loads of other engines.

    Args:
        copies: A recent result of :func:`gather_copies`.
        reports: Current reports.
    """
    others = [report for report in reports if report.address != copies.own]
    loads = [report for report in others if report.is_loading]
    at_hand = {report.changing for report in loads if not is_fetching(report)}
    loading = frozenset(report.changing for report in loads)
    return copies._replace(
        loading=loading,
        held=frozenset(item.model for report in others for item in report.models),
        store_loads=sum(is_fetching(report) for report in others),
        fetching=loading - at_hand,
    )


def is_fetching(report: EngineReport) -> bool:
    """Return whether an engine loads a model from the store."""
    at_hand = (*report.in_memory, *report.on_disk)
    return report.is_loading and report.changing not in at_hand


def count_copies(engines: Iterable[Iterable[str]]) -> Counter[str]:
    """Return the number of engines with a copy of each model.

    Args:
        engines: The models cached on each engine, in any order.
    """
    return Counter(name for names in engines for name in set(names))


def list_sizes(spec: EngineSpec) -> dict[str, float]:
    """Return the size of each model of a service, in MB."""
    return {model.name: model.weights_mb for model in spec.models}


def list_evicted_copies(
    spec: EngineSpec,
    on_disk: Sequence[str],
    weights_mb: float,
    sizes: Mapping[str, float],
) -> list[str]:
    """Return the models whose cached copies a load from the store evicts.

    Args:
        spec: The engine's limits.
        on_disk: The models in its disk cache, least recently loaded first.
        weights_mb: The size of the model that is loaded.
        sizes: The sizes of all models; see :func:`list_sizes`.
    """
    if not spec.disk_mb:
        return []
    free_mb = spec.disk_mb - sum(sizes.get(name, 0.0) for name in on_disk)
    displaced = []
    for name in on_disk:
        if free_mb >= weights_mb:
            break
        free_mb += sizes.get(name, 0.0)
        displaced.append(name)
    return displaced
