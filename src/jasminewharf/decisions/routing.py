"""Routing policies that choose the backend server for a call.

``ROUTERS`` maps names to policies: ``two_choices`` and the baselines ``random`` and
``least_loaded``. A policy is a function that takes the candidates, the caller's zone
and a random source, and returns one candidate.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from .. import defaults
from ..randomness import RandomSource
from ..registry import register

__all__ = ["ROUTERS", "Candidate", "Router", "estimate_load"]


class Candidate(NamedTuple):
    """A loaded replica that may take the call.

    Attributes:
        backend: The backend server's name.
        zone: Its availability zone.
        slots: Number of calls that it can run concurrently.
        own: Calls of this entry in flight at the backend server.
        reported: Running and queued calls in the latest load report.
        own_at_report: Calls of this entry that the report includes.
        report_age_s: Age of the report; infinite if there is none.
        cached_share: Estimated share of the prompt in its prefix cache, between 0
            and 1.
    """

    backend: str
    zone: str
    slots: int = defaults.ADMISSION_SLOTS
    own: int = 0
    reported: int = 0
    own_at_report: int = 0
    report_age_s: float = float("inf")
    cached_share: float = 0.0


Router = Callable[[Sequence[Candidate], str, RandomSource], Candidate]

ROUTERS: dict[str, Router] = {}


def estimate_load(candidate: Candidate) -> float:
    """Return the expected number of calls per slot.

    The calls of this entry are known exactly. The reported calls of other entries are
    weighted by the age of the report, with a half-life of
    ``ROUTING_REPORT_HALF_LIFE_S``.
    """
    others = max(0, candidate.reported - candidate.own_at_report)
    weight = 0.5 ** (candidate.report_age_s / defaults.ROUTING_REPORT_HALF_LIFE_S)
    return (candidate.own + others * weight) / max(candidate.slots, 1)


def _score(candidate: Candidate) -> float:
    affinity = candidate.cached_share * defaults.ROUTING_AFFINITY_WEIGHT
    return estimate_load(candidate) - affinity


def _pick_two(candidates: Sequence[Candidate], random: RandomSource) -> Candidate:
    """Return the best of two random candidates and the one with most cached."""
    drawn = random.sample(candidates, min(2, len(candidates)))
    cached = max(candidates, key=lambda candidate: candidate.cached_share)
    if cached.cached_share > 0:
        drawn.append(cached)
    scores = [_score(candidate) for candidate in drawn]
    lowest = min(scores)
    # Equal scores are common in idle pools; choosing the first one would always
    # choose the same candidate.
    best = [item for item, score in zip(drawn, scores, strict=True) if score == lowest]
    return best[random.randrange(len(best))]


@register(ROUTERS, "two_choices")
def choose_of_two(
    candidates: Sequence[Candidate], zone: str, random: RandomSource
) -> Candidate:
    """Choose by power of two choices in the caller's zone.

    Candidates in other zones are considered when the caller's zone has no candidate
    or the one chosen there has a load of at least ``ROUTING_SPILL_LOAD``.
    """
    local = [candidate for candidate in candidates if candidate.zone == zone]
    if not local or len(local) == len(candidates):
        return _pick_two(candidates, random)
    best = _pick_two(local, random)
    if estimate_load(best) < defaults.ROUTING_SPILL_LOAD:
        return best
    others = [candidate for candidate in candidates if candidate.zone != zone]
    other = _pick_two(others, random)
    return other if _score(other) < _score(best) else best


@register(ROUTERS, "random")
def choose_at_random(
    candidates: Sequence[Candidate], zone: str, random: RandomSource
) -> Candidate:
    """Choose uniformly at random; a baseline."""
    return candidates[random.randrange(len(candidates))]


@register(ROUTERS, "least_loaded")
def choose_least_loaded(
    candidates: Sequence[Candidate], zone: str, random: RandomSource
) -> Candidate:
    """Choose the lowest estimated load over all zones; a baseline."""
    loads = [estimate_load(candidate) for candidate in candidates]
    lowest = min(loads)
    best = [
        item for item, load in zip(candidates, loads, strict=True) if load == lowest
    ]
    return best[random.randrange(len(best))]
