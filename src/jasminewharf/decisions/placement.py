"""Number of replicas that a model needs, and scoring of placements."""

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
# Weight of a running call relative to a queued one, as it delays a new replica less.
_RUNNING_SHARE = 0.1


class LoadTimes(NamedTuple):
    """Load time parameters: a fixed part and seconds per GB of weights by tier."""

    base_s: float = defaults.LOAD_BASE_S
    s_per_gb: Mapping[str, float] = defaults.LOAD_S_PER_GB

    def estimate(self, weights_mb: int, tier: str) -> float:
        """Return the estimated load time in seconds.

        Args:
            weights_mb: Size of the checkpoint.
            tier: ``memory``, ``disk`` or ``remote``.
        """
        return self.base_s + self.s_per_gb[tier] * weights_mb / _MB_PER_GB


class Candidate(NamedTuple):
    """A backend server considered for the next replica.

    ``wait_s`` is the wait for the store or for unloads, ``evict`` the numbers of the
    replicas to unload first.
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
    """Return the number of replicas needed for the backlog of a model.

    New replicas have the time between the end of their load and the earliest deadline
    to process the backlog, but at least one load time: a shorter window would start
    loads that complete after the backlog has been processed.

    Args:
        demand: The model's merged demand.
        spec: The model.
        ready: Number of ready replicas.
        load_s: Estimated load time of another replica.
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
    """Return the score of a placement in seconds; lower is better.

    Args:
        backend: The backend server.
        load_s: Estimated load time.
        wait_s: Wait for the store budget and for memory.
        fill: Reserved share of the host's memory.
        shared_zone: Number of replicas of the model that are in this zone.
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
    """Return the candidate with the lowest score; ties go to the lower key."""
    return min(candidates, key=lambda c: (c.score, c.key), default=None)
