"""Policies that decide which idle replicas to unload."""

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from .. import defaults
from ..registry import lookup, register

__all__ = [
    "EVICTION_POLICIES",
    "EvictionPolicy",
    "EvictionWeights",
    "IdleReplica",
    "create_eviction_policy",
]

_S_PER_HOUR = 3600.0


class EvictionWeights(NamedTuple):
    """Costs of a second of cold start and of an idle accelerator hour.

    ``ttl_s`` is the idle limit of the time-to-live policy.
    """

    cold_start: float = defaults.COLD_START_WEIGHT
    idle_hour: float = defaults.IDLE_HOUR_WEIGHT
    ttl_s: float = defaults.EVICTION_TTL_S


class IdleReplica(NamedTuple):
    """An idle replica.

    ``gaps`` are the model's own inter-call times in seconds, ``pooled_gaps`` those
    of all models, ``reload_s`` the load time from where the checkpoint would be
    cached, ``accelerators`` what the replica holds, ``callers`` how many callers a
    cold start of the model makes wait for all of it.
    """

    idle_s: float
    gaps: Sequence[float]
    pooled_gaps: Sequence[float]
    reload_s: float
    accelerators: float
    callers: float = 1.0


class EvictionPolicy(Protocol):
    """Decides whether idle replicas stay loaded."""

    def should_release(self, replica: IdleReplica) -> bool:
        """Return whether to unload the replica even if its memory is not needed."""

    def retention_value(self, replica: IdleReplica) -> float:
        """Return the cost of unloading in seconds; the lowest is unloaded first."""


EVICTION_POLICIES: dict[str, Callable[[EvictionWeights], EvictionPolicy]] = {}


def create_eviction_policy(name: str, weights: EvictionWeights) -> EvictionPolicy:
    """Return the policy called ``name``.

    Raises:
        UnknownRegistration: If there is no such policy.
    """
    return lookup(EVICTION_POLICIES, name)(weights)


@register(EVICTION_POLICIES, "least-recently-used")
class LeastRecentlyUsed:
    """Baseline that unloads only to free memory, the longest idle first."""

    def __init__(self, weights: EvictionWeights) -> None:
        del weights

    def should_release(self, replica: IdleReplica) -> bool:
        """Return False; idle replicas stay until their memory is needed."""
        return False

    def retention_value(self, replica: IdleReplica) -> float:
        """Return a value that decreases with the idle time."""
        return 1 / (1 + replica.idle_s)


@register(EVICTION_POLICIES, "time-to-live")
class TimeToLive(LeastRecentlyUsed):
    """Baseline that unloads after a fixed idle time."""

    def __init__(self, weights: EvictionWeights) -> None:
        self._ttl_s = weights.ttl_s

    def should_release(self, replica: IdleReplica) -> bool:
        """Return whether the idle time has passed the limit."""
        return replica.idle_s >= self._ttl_s


@register(EVICTION_POLICIES, "expected-cost")
class ExpectedCost:
    """Weighs the next cold start against the idle time until the next call.

    The next call is taken from the model's own inter-call times that are longer
    than the present idle time. Keeping until time T costs the idle time up to the
    call or T, and a cold start if the call comes after T. A replica is released
    when no T costs less than releasing it now.
    """

    def __init__(self, weights: EvictionWeights) -> None:
        self._weights = weights

    def should_release(self, replica: IdleReplica) -> bool:
        """Return whether releasing now is the cheapest choice."""
        return self._best_keep_gain(replica) <= 0

    def retention_value(self, replica: IdleReplica) -> float:
        """Return the gain of keeping, as seconds of cold start."""
        gain = self._best_keep_gain(replica)
        return max(0.0, gain) / max(self._weights.cold_start, 1e-9)

    def _best_keep_gain(self, replica: IdleReplica) -> float:
        """Return the largest saving over releasing now, in weighted seconds."""
        waits = self._remaining_waits(replica)
        idle_rate = self._weights.idle_hour / _S_PER_HOUR * replica.accelerators
        cold = self._weights.cold_start * replica.reload_s * replica.callers
        cold += idle_rate * (replica.reload_s + defaults.UNLOAD_S)
        best = 0.0
        waited = 0.0
        count = len(waits)
        for called, wait in enumerate(waits, start=1):
            waited += wait
            idle = idle_rate * (waited + wait * (count - called))
            best = max(best, cold * called - idle)
        return best / count

    def _remaining_waits(self, replica: IdleReplica) -> list[float]:
        """Return equally likely waits until the next call, shortest first.

        A few samples of a prior are mixed in, so that a model with little history
        is neither kept for ever nor released at once: quantiles of the gaps of all
        models, or, without such gaps, gaps that double from one to the next.
        """
        idle = replica.idle_s
        waits = [gap - idle for gap in replica.gaps if gap > idle]
        return sorted(waits + _prior_waits(replica))


def _prior_waits(replica: IdleReplica) -> list[float]:
    idle = replica.idle_s
    count = defaults.EVICTION_PRIOR_GAPS
    pooled = sorted(gap - idle for gap in replica.pooled_gaps if gap > idle)
    if len(pooled) >= count:
        return [pooled[(2 * i + 1) * len(pooled) // (2 * count)] for i in range(count)]
    scale = max(idle, defaults.EVICTION_PRIOR_GAP_S / 4)
    return [scale * 2.0**step for step in range(count)]
