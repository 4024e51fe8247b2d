"""Estimates how long a load from the weight store waits for its slot.

The store serves few loads at a time, and its owner grants them by weight. A model
without a copy may have many others before it, at engines other than its own.
"""

import heapq
from collections.abc import Mapping, Sequence

from .configurations import ModelSpec
from .copies import is_fetching
from .directory import Server
from .storequeue import DEFAULT_STORE_CONCURRENCY

__all__ = ["estimate_store_wait"]


def estimate_store_wait(
    servers: Sequence[Server],
    models: Mapping[str, ModelSpec],
    model: str,
    weight: float,
    now: float,
) -> float:
    """Return the seconds until a load from the store can begin.

    Args:
        servers: The engines of the service with a fresh report.
        models: The models of the service by name.
        model: The model to load.
        weight: The total weight of its callers.
        now: Monotonic seconds.
    """
    reports = [server.report for server in servers if server.report is not None]
    told = max((report.store_at_once for report in reports), default=0)
    slots = told or DEFAULT_STORE_CONCURRENCY
    ends = sorted(
        server.busy_s(now)
        for server in servers
        if server.report is not None and is_fetching(server.report)
    )
    # With more loads than slots, the next one begins when enough have ended.
    free_at = ends[-slots:] if len(ends) >= slots else ends
    free_at = [*free_at, *[0.0] * (slots - len(free_at))]
    heapq.heapify(free_at)
    for name in _list_ahead(servers, model, weight):
        spec = models.get(name)
        if spec is not None:
            heapq.heapreplace(free_at, free_at[0] + spec.remote_s)
    return free_at[0]


def _list_ahead(servers: Sequence[Server], model: str, weight: float) -> list[str]:
    """Return the models that are fetched before ``model``, the heaviest first.

    A model that is fetched, or that an engine is asked for with a copy at hand, needs
    no slot.
    """
    wanted: dict[str, float] = {}
    served: set[str] = {model}
    for server in servers:
        report = server.report
        if report is None:
            continue
        if report.is_loading:
            served.add(report.changing)
        at_hand = {*report.in_memory, *report.on_disk}
        for name, asked in report.wanted:
            if name in at_hand:
                served.add(name)
            else:
                wanted[name] = wanted.get(name, 0.0) + asked
    ahead = [
        (-asked, name)
        for name, asked in wanted.items()
        if asked > weight and name not in served
    ]
    return [name for _, name in sorted(ahead)]
