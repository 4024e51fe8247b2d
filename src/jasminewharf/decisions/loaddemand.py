"""What entries ask an agent to load: for whom, since when and what it is worth."""

from collections.abc import Collection
from typing import NamedTuple

from .urgency import weigh_refused_callers

__all__ = ["EntryDemand", "LoadDemand", "LoadDemandTable"]

# An entry repeats what it wants well within this time.
_KEPT_S = 1.2
# What an entry tells beyond these is an error: it would claim all loads for itself.
_CALLERS_LIMIT = 10_000
_AGE_LIMIT_S = 86_400.0
# How long callers of a model may be refused before it counts for more: longer than the
# longest patience of one caller, since late requests are no sign of it.
_STARVED_S = 10.0
# What such a model counts for beyond its callers: as much as some late requests.
_STARVED_WEIGHT = 0.5


class EntryDemand(NamedTuple):
    """An entry's callers of a model.

    ``requests`` of them wait, worth ``urgency`` together. ``age_s`` is how long ago the
    first one was refused, if none was served since. ``returning`` were refused lately.
    """

    requests: int
    urgency: float
    age_s: float
    returning: int

    def is_plausible(self) -> bool:
        """Return whether this can be true; no request counts for more than one."""
        counts = (self.requests, self.returning)
        return (
            all(0 <= count <= _CALLERS_LIMIT for count in counts)
            and 0 <= self.urgency <= max(self.requests, 1)
            and 0 <= self.age_s < _AGE_LIMIT_S
        )


class _Want(NamedTuple):
    """What one entry asks for, ``since`` when and last ``at``, in monotonic seconds."""

    callers: EntryDemand
    since: float
    at: float


class LoadDemand(NamedTuple):
    """The callers of a model at all entries; see :class:`EntryDemand`.

    They were first asked for ``since`` and last ``reported_at``, in monotonic seconds.
    """

    requests: int
    urgency: float
    age_s: float
    returning: int
    since: float
    reported_at: float

    @property
    def is_starved(self) -> bool:
        """Whether callers have been refused for long and nobody was served."""
        return self.age_s > _STARVED_S

    @property
    def weight(self) -> float:
        """What all of them are worth; refused ones count over all entries together."""
        starved = _STARVED_WEIGHT if self.is_starved else 0.0
        return self.urgency + weigh_refused_callers(self.returning) + starved


class LoadDemandTable:
    """The models that entries ask for, by model and entry."""

    def __init__(self) -> None:
        self._wants: dict[str, dict[str, _Want]] = {}

    def note(self, peer: str, model: str, callers: EntryDemand, now: float) -> bool:
        """Replace what an entry asks for; return whether it is new."""
        wants = self._wants.setdefault(model, {})
        known = wants.get(peer)
        is_new = known is None or now - known.at > _KEPT_S
        since = now if known is None or is_new else known.since
        wants[peer] = _Want(callers, since, now)
        return is_new

    def remove(self, model: str) -> bool:
        """Drop what is asked for of a model that is there; return whether it was."""
        return self._wants.pop(model, None) is not None

    def find(self, model: str) -> LoadDemand:
        """Return what all entries ask for of a model that is asked for."""
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
        """Return how many callers wait for a model or were refused lately."""
        if model not in self._wants:
            return 0
        wants = self.find(model)
        return wants.requests + wants.returning

    def list_missing(self, held: Collection[str], now: float) -> dict[str, LoadDemand]:
        """Return the models asked for that are not held, without those given up."""
        for model, wants in list(self._wants.items()):
            for peer in [p for p, want in wants.items() if now - want.at > _KEPT_S]:
                del wants[peer]
            if not wants:
                del self._wants[model]
        return {model: self.find(model) for model in self._wants if model not in held}
