"""Demand that entries report to an agent for models that its engine does not hold."""

from collections.abc import Collection, Set
from typing import NamedTuple

from .urgency import weigh_refused_callers

__all__ = ["EntryDemand", "LoadDemand", "LoadDemandTable"]

# Entries repeat their demand more often than this.
_KEPT_S = 1.2
# Values beyond these limits are errors; they would claim all loads for one entry.
_CALLERS_LIMIT = 10_000
_AGE_LIMIT_S = 86_400.0
# Time without a served caller after which a model is starved. It exceeds the longest
# patience of one caller, since late requests alone do not show starvation.
_STARVED_S = 10.0
# Additional weight of a starved model, equal to that of a few late requests.
_STARVED_WEIGHT = 0.5


class EntryDemand(NamedTuple):
    """One entry's demand for a model.

    ``requests`` wait, with the total weight ``urgency``. ``age_s`` is the time since
    the first refusal after the last served caller. ``returning`` callers were refused
    recently and are expected to retry.
    """

    requests: int
    urgency: float
    age_s: float
    returning: int

    @property
    def is_none(self) -> bool:
        """Whether nobody waits, is expected back or was refused for long."""
        return not (self.requests or self.urgency or self.returning or self.age_s)

    def is_plausible(self) -> bool:
        """Return whether all values are in range; each request weighs at most 1."""
        counts = (self.requests, self.returning)
        return (
            all(0 <= count <= _CALLERS_LIMIT for count in counts)
            and 0 <= self.urgency <= max(self.requests, 1)
            and 0 <= self.age_s < _AGE_LIMIT_S
        )


_NOBODY = EntryDemand(0, 0.0, 0.0, 0)


class _Want(NamedTuple):
    """An entry's demand, first reported ``since`` and last ``at``."""

    callers: EntryDemand
    since: float
    at: float


class LoadDemand(NamedTuple):
    """Demand for a model over all entries; see :class:`EntryDemand`.

    It was first reported ``since`` and last ``reported_at``, in monotonic seconds.
    """

    requests: int
    urgency: float
    age_s: float
    returning: int
    since: float
    reported_at: float

    @property
    def is_starved(self) -> bool:
        """Whether callers have been refused for a long time and none was served."""
        return self.age_s > _STARVED_S

    @property
    def weight(self) -> float:
        """Total weight; refused callers are weighed over all entries together."""
        starved = _STARVED_WEIGHT if self.is_starved else 0.0
        return self.urgency + weigh_refused_callers(self.returning) + starved


class LoadDemandTable:
    """Demand by model and entry."""

    def __init__(self) -> None:
        self._wants: dict[str, dict[str, _Want]] = {}

    def note(self, peer: str, model: str, callers: EntryDemand, now: float) -> bool:
        """Replace an entry's demand for a model; return whether it is new."""
        wants = self._wants.setdefault(model, {})
        known = wants.get(peer)
        is_new = known is None or now - known.at > _KEPT_S
        since = now if known is None or is_new else known.since
        wants[peer] = _Want(callers, since, now)
        return is_new

    def discount(self, peer: str, model: str) -> None:
        """Keep an entry's demand for a model as before, but without its callers."""
        wants = self._wants.get(model, {})
        if peer in wants:
            wants[peer] = wants[peer]._replace(callers=_NOBODY)

    def remove(self, model: str) -> bool:
        """Remove the demand for a loaded model; return whether there was any."""
        return self._wants.pop(model, None) is not None

    def keep_only(self, models: Set[str]) -> None:
        """Remove the demand for all other models."""
        self._wants = {name: self._wants[name] for name in models & self._wants.keys()}

    def find(self, model: str) -> LoadDemand:
        """Return the demand of all entries for a demanded model."""
        wants = self._wants[model].values()
        return LoadDemand(
            sum(want.callers.requests for want in wants),
            sum(want.callers.urgency for want in wants),
            max(want.callers.age_s for want in wants),
            sum(want.callers.returning for want in wants),
            min(want.since for want in wants),
            max(want.at for want in wants),
        )

    def count_callers(self, model: str) -> int:
        """Return how many callers wait for a model or were refused recently."""
        if model not in self._wants:
            return 0
        wants = self.find(model)
        return wants.requests + wants.returning

    def list_missing(self, held: Collection[str], now: float) -> dict[str, LoadDemand]:
        """Drop expired demand and return the demand for models that are not held."""
        for model, wants in list(self._wants.items()):
            for peer in [p for p, want in wants.items() if now - want.at > _KEPT_S]:
                del wants[peer]
            if not wants:
                del self._wants[model]
        return {model: self.find(model) for model in self._wants if model not in held}
