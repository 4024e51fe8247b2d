"""Copies of models on the engines' disks: how many there are, which one yields next."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from ..messages.servers import EngineReport
from .configurations import EngineSpec

__all__ = [
    "FleetCopies",
    "count_copies",
    "list_evicted_copies",
    "gather_copies",
    "is_fetching",
    "list_sizes",
    "refresh_loads",
]


class FleetCopies(NamedTuple):
    """Where the other engines of the service stand.

    ``is_complete`` tells that all their agents were heard. ``holders`` counts the
    engines that hold a model, this one among them; ``places`` names for each model
    the engines that have or load a copy; ``idle_engines`` are the engines with nothing to
    load, ``own`` this one. ``store_loads`` counts loads from the store in progress;
    ``has_traffic`` tells that requests run anywhere. ``loading`` are the models that other
    engines load, from anywhere, and ``held`` those that other engines hold.
    ``has_owner`` tells that the owner of the store's turns answers, so that ``store_loads``
    need not be judged here.
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

    def count(self, model: str) -> int:
        """Return how many engines have or load a copy of a model."""
        return len(self.places.get(model, ()))


def gather_copies(
    reports: Sequence[EngineReport], own: str, is_complete: bool
) -> FleetCopies:
    """Return what the agents' reports say of the copies.

    Args:
        reports: The fresh reports, that of the engine at ``own`` among them.
        own: The address of the engine that the copies are gathered for.
        is_complete: Whether every agent of the service was heard.
    """
    holders = Counter(held.model for report in reports for held in report.models)
    places: dict[str, set[str]] = {}
    for report in reports:
        held = [item.model for item in report.models]
        loading = [report.changing] if report.is_loading else []
        for name in (*held, *loading, *report.in_memory, *report.on_disk):
            places.setdefault(name, set()).add(report.address)
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
    )
    return refresh_loads(copies, reports)


def refresh_loads(copies: FleetCopies, reports: Sequence[EngineReport]) -> FleetCopies:
    """Return the copies with what other engines load now.

    Args:
        copies: What :func:`gather_copies` returned a moment ago.
        reports: The fresh reports.
    """
    others = [report for report in reports if report.address != copies.own]
    return copies._replace(
        loading=frozenset(report.changing for report in others if report.is_loading),
        held=frozenset(item.model for report in others for item in report.models),
        store_loads=sum(is_fetching(report) for report in others),
    )


def is_fetching(report: EngineReport) -> bool:
    """Return whether an engine loads a model from the store."""
    at_hand = (*report.in_memory, *report.on_disk)
    return report.is_loading and report.changing not in at_hand


def count_copies(engines: Iterable[Iterable[str]]) -> Counter[str]:
    """Return the number of engines with a copy of each model.

    Args:
        engines: For each engine, the models that it has a copy of, in any order.
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
    """Return the models whose copies a load from the store displaces.

    Args:
        spec: The engine's limits.
        on_disk: The copies on its disk, the least recently loaded first.
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
