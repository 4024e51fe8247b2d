"""How many replicas a model needs and where the next one goes."""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .. import defaults
from .demand import ModelDemand
from .inventory import BackendKey, BackendState, ModelSpec

__all__ = [
    "Candidate",
    "LoadTimes",
    "choose_candidate",
    "count_needed",
    "score_candidate",
]

_MB_PER_GB = 1024
# A running call delays a new replica less than one that already waits.
_RUNNING_SHARE = 0.1


class LoadTimes(NamedTuple):
    """Load times: a fixed part and seconds per GB of weights for each tier."""

    base_s: float = defaults.LOAD_BASE_S
    s_per_gb: Mapping[str, float] = defaults.LOAD_S_PER_GB

    def estimate(self, weights_mb: int, tier: str) -> float:
        """Return the load time in seconds.

        Args:
            weights_mb: Size of the checkpoint.
            tier: memory, disk or remote.
        """
        return self.base_s + self.s_per_gb[tier] * weights_mb / _MB_PER_GB


class Candidate(NamedTuple):
    """A backend server that could hold the next replica.

    ``wait_s`` is the wait for the store, ``evict`` the replicas to unload first,
    ``evict_cost`` their expected cost in weighted seconds.
    """

    key: BackendKey
    tier: str
    load_s: float
    wait_s: float
    score: float
    evict: tuple[int, ...] = ()


def count_needed(
    demand: ModelDemand, spec: ModelSpec, ready: int, load_s: float, now: float
) -> int:
    """Return how many replicas the waiting tokens call for.

    The window in which new replicas work off the backlog is what the most urgent
    deadline leaves after the load, but at least one load time: a shorter window
    would start loads whose work has ended before they have.

    Args:
        demand: The model's merged demand.
        spec: The model.
        ready: Replicas that serve now.
        load_s: Estimated time until a further replica serves.
        now: Current time in seconds.
    """
    if demand.requests <= 0:
        return ready
    left = demand.deadline - now
    window = max(left - load_s, load_s, defaults.BACKLOG_WINDOW_MIN_S)
    served = ready * spec.tokens_per_s * (load_s + window)
    excess = max(0.0, demand.tokens - served)
    extra = math.ceil(excess / (spec.tokens_per_s * window))
    return min(spec.max_replicas, max(1, ready + extra))


def score_candidate(
    backend: BackendState,
    *,
    load_s: float,
    wait_s: float,
    fill: float,
    shared_zone: int,
    evict_cost: float,
) -> float:
    """Return the expected seconds until the replica serves well; less is better.

    Args:
        backend: The backend server.
        load_s: Estimated load time.
        wait_s: Wait for the store's budget and for memory.
        fill: Share of the host's memory that is reserved.
        shared_zone: Replicas of the model that are already in this zone.
        evict_cost: Expected cost of the replicas to unload first.
    """
    report = backend.report
    queue = report.queued + report.running * _RUNNING_SHARE
    return (
        wait_s
        + load_s
        + evict_cost
        + defaults.PLACEMENT_ZONE_PENALTY_S * shared_zone
        + defaults.PLACEMENT_QUEUE_PENALTY_S * queue
        + defaults.PLACEMENT_FILL_PENALTY_S * fill
    )


def choose_candidate(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the candidate with the lowest score; ties go to the lower name."""
    return min(candidates, key=lambda c: (c.score, c.key), default=None)
