"""Merges the demand for each model over all entries."""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from ..defaults import (
    DEMAND_EXPIRY_S,
    EVICTION_GAPS_KEPT,
    EVICTION_IDLE_MIN_S,
    EVICTION_POOLED_GAPS,
)
from ..messages.feed import Demand, NodeReport
from .inventory import ModelKey

__all__ = ["CallHistory", "DemandTable", "ModelDemand"]


class ModelDemand(NamedTuple):
    """The merged demand for a model.

    ``deadline`` is the time at which the most urgent request must be answered,
    ``since`` the time of the first report of the demand, ``last_call`` the time of
    the last call at any entry; all in seconds of the caller's clock.
    """

    requests: int
    tokens: int
    deadline: float
    since: float
    last_call: float


class CallHistory:
    """Inter-call times of one model, newest last.

    Only gaps of ``EVICTION_IDLE_MIN_S`` and more are kept: a replica is not judged
    before it has been idle that long, so shorter gaps never count, and reported
    ages are only exact to about a report interval.
    """

    __slots__ = ("gaps", "last_call")

    def __init__(self, last_call: float) -> None:
        self.last_call = last_call
        self.gaps: deque[float] = deque(maxlen=EVICTION_GAPS_KEPT)

    def observe(self, last_call: float) -> float | None:
        """Record a call and return the gap before it if it is kept.

        A call that is not newer than the last changes nothing.
        """
        gap = last_call - self.last_call
        self.last_call = max(self.last_call, last_call)
        if gap < EVICTION_IDLE_MIN_S:
            return None
        self.gaps.append(gap)
        return gap


class _Part(NamedTuple):
    """One entry's demand; ``deadline`` is infinite without waiting requests."""

    at: float
    requests: int
    tokens: int
    deadline: float
    adapters: tuple[str, ...]


class _Entry(NamedTuple):
    incarnation: int
    sequence: int
    keys: frozenset[ModelKey]


_NO_ENTRY = _Entry(0, -1, frozenset())


class DemandTable:
    """Merges the demands of all entries.

    A report replaces what the same entry reported before, so that a report that
    arrives twice or late neither adds nor revives demand.
    """

    def __init__(self) -> None:
        self.histories: dict[ModelKey, CallHistory] = {}
        self.pooled_gaps: deque[float] = deque(maxlen=EVICTION_POOLED_GAPS)
        self._entries: dict[str, _Entry] = {}
        self._parts: dict[ModelKey, dict[str, _Part]] = {}
        self._since: dict[ModelKey, float] = {}
        self._merged: dict[ModelKey, ModelDemand] = {}
        self._dirty: set[ModelKey] = set()
        self._next_expiry = 0.0

    def observe(self, report: NodeReport, now: float, age_s: float = 0.0) -> None:
        """Replace one entry's demands.

        Args:
            report: The entry's report.
            now: Current time in seconds.
            age_s: Age of the report in seconds.
        """
        entry = self._entries.get(report.node, _NO_ENTRY)
        same = entry.incarnation == report.incarnation
        if same and report.sequence <= entry.sequence:
            return
        made = now - age_s
        grouped: dict[tuple[str, str], list[Demand]] = {}
        for demand in report.demands:
            grouped.setdefault((demand[0], demand[1]), []).append(demand)
        keys = frozenset(ModelKey(*names) for names in grouped)
        for key in entry.keys - keys:
            self._parts[key].pop(report.node, None)
        for key in keys:
            self._take_part(report.node, key, grouped[key], made)
        self._dirty |= entry.keys | keys
        self._entries[report.node] = _Entry(report.incarnation, report.sequence, keys)

    def remove(self, node: str) -> None:
        """Remove the demands of an entry that has left."""
        entry = self._entries.pop(node, _NO_ENTRY)
        for key in entry.keys:
            self._parts[key].pop(node, None)
        self._dirty |= entry.keys

    def collect(self, now: float) -> Mapping[ModelKey, ModelDemand]:
        """Return the demand of every model that an entry reports."""
        self._expire(now)
        for key in self._dirty:
            self._merge(key)
        self._dirty.clear()
        return self._merged

    def collect_adapters(self, key: ModelKey) -> frozenset[str]:
        """Return the adapters of a model that requests wait for at any entry."""
        parts = self._parts.get(key, {}).values()
        return frozenset(name for part in parts for name in part.adapters)

    def _take_part(
        self, node: str, key: ModelKey, demands: list[Demand], made: float
    ) -> None:
        requests = tokens = 0
        deadline_ms = newest_ms = float("inf")
        adapters = []
        for _, _, adapter, count, cost, left_ms, last_call_ms in demands:
            newest_ms = min(newest_ms, last_call_ms)
            if count <= 0:
                continue
            requests += count
            tokens += cost
            deadline_ms = min(deadline_ms, left_ms)
            if adapter:
                adapters.append(adapter)
        self._parts.setdefault(key, {})[node] = _Part(
            made, requests, tokens, made + deadline_ms / 1000, tuple(adapters)
        )
        self._observe_call(key, made - newest_ms / 1000)

    def _observe_call(self, key: ModelKey, last_call: float) -> None:
        history = self.histories.get(key)
        if history is None:
            self.histories[key] = CallHistory(last_call)
        else:
            gap = history.observe(last_call)
            if gap is not None:
                self.pooled_gaps.append(gap)

    def _expire(self, now: float) -> None:
        if now < self._next_expiry:
            return
        self._next_expiry = now + DEMAND_EXPIRY_S / 3
        oldest = now - DEMAND_EXPIRY_S
        for key, parts in self._parts.items():
            stale = [node for node, part in parts.items() if part.at < oldest]
            for node in stale:
                del parts[node]
                self._dirty.add(key)

    def _merge(self, key: ModelKey) -> None:
        parts = self._parts.get(key)
        if not parts:
            self._parts.pop(key, None)
            self._merged.pop(key, None)
            self._since.pop(key, None)
            return
        first, requests, tokens, deadline, _ = zip(*parts.values(), strict=True)
        waiting = sum(requests)
        since = min(first)
        if waiting:
            since = self._since.setdefault(key, since)
        else:
            self._since.pop(key, None)
        self._merged[key] = ModelDemand(
            waiting,
            sum(tokens),
            min(deadline),
            since,
            self.histories[key].last_call,
        )
