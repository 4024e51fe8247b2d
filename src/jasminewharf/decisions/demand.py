"""Demands for a model from any number of entries, merged into one."""

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
    """The one demand for a model.

    ``deadline`` is the time at which the most urgent request must be answered,
    ``since`` the time of the first report of the demand, ``last_call`` the time of
    the last call at any entry; all in seconds of the caller's clock.
    """

    requests: int
    tokens: int
    deadline: float
    since: float
    last_call: float
    adapters: frozenset[str] = frozenset()


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
        """Note a call and return the gap before it if it is kept.

        A call that is not newer than the last changes nothing.
        """
        gap = last_call - self.last_call
        self.last_call = max(self.last_call, last_call)
        if gap < EVICTION_IDLE_MIN_S:
            return None
        self.gaps.append(gap)
        return gap


class _Reported(NamedTuple):
    demand: Demand
    at: float


class DemandTable:
    """Merges the demands of all entries.

    A report replaces what the same entry reported before, so that a report that
    arrives twice or late neither adds nor revives demand.
    """

    def __init__(self) -> None:
        self.histories: dict[ModelKey, CallHistory] = {}
        self.pooled_gaps: deque[float] = deque(maxlen=EVICTION_POOLED_GAPS)
        self._entries: dict[str, tuple[int, int, set[ModelKey]]] = {}
        self._parts: dict[ModelKey, dict[str, list[_Reported]]] = {}
        self._since: dict[ModelKey, float] = {}
        self._merged: dict[ModelKey, ModelDemand] = {}
        self._dirty: set[ModelKey] = set()
        self._next_expiry = 0.0

    def observe(self, report: NodeReport, now: float, age_s: float = 0.0) -> None:
        """Take over one entry's demands.

        Args:
            report: The entry's report.
            now: Current time in seconds.
            age_s: How long ago the entry made the report, in seconds.
        """
        _, sequence, old = self._entries.get(report.node, (0, -1, set()))
        known = report.node in self._entries
        incarnation = self._entries[report.node][0] if known else report.incarnation
        if incarnation == report.incarnation and report.sequence <= sequence:
            return
        made = now - age_s
        grouped: dict[ModelKey, list[_Reported]] = {}
        for demand in report.demands:
            key = ModelKey(demand.service, demand.model)
            grouped.setdefault(key, []).append(_Reported(demand, made))
            self._observe_call(key, made - demand.last_call_ms / 1000)
        for key in old - grouped.keys():
            self._parts[key].pop(report.node, None)
        for key, parts in grouped.items():
            self._parts.setdefault(key, {})[report.node] = parts
        self._dirty |= old | grouped.keys()
        self._entries[report.node] = (
            report.incarnation,
            report.sequence,
            set(grouped),
        )

    def remove(self, node: str) -> None:
        """Drop the demands of an entry that has left."""
        _, _, keys = self._entries.pop(node, (0, 0, set()))
        for key in keys:
            self._parts[key].pop(node, None)
        self._dirty |= keys

    def collect(self, now: float) -> Mapping[ModelKey, ModelDemand]:
        """Return the demand of every model that an entry reports."""
        self._expire(now)
        for key in self._dirty:
            self._merge(key)
        self._dirty.clear()
        return self._merged

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
            stale = [node for node, part in parts.items() if part[0].at < oldest]
            for node in stale:
                del parts[node]
                self._dirty.add(key)

    def _merge(self, key: ModelKey) -> None:
        parts = [p for found in self._parts.get(key, {}).values() for p in found]
        if not parts:
            self._parts.pop(key, None)
            self._merged.pop(key, None)
            self._since.pop(key, None)
            return
        waiting = [p for p in parts if p.demand.requests > 0]
        first = min(p.at for p in parts)
        if waiting:
            self._since.setdefault(key, first)
        else:
            self._since.pop(key, None)
        self._merged[key] = ModelDemand(
            sum(p.demand.requests for p in waiting),
            sum(p.demand.tokens for p in waiting),
            min(
                (p.at + p.demand.deadline_ms / 1000 for p in waiting),
                default=float("inf"),
            ),
            self._since.get(key, first),
            self.histories[key].last_call,
            frozenset(p.demand.adapter for p in waiting if p.demand.adapter),
        )
