"""What entries ask an agent to load: for whom, since when and what it is worth."""

from collections.abc import Collection
from typing import NamedTuple

__all__ = ["ModelWants", "Want", "Wants"]

# An entry repeats what it wants well within this time.
_KEPT_S = 1.2
# How long callers of a model may be refused before it counts for more: longer than the
# longest patience of one caller, since late requests are no sign of it.
_STARVED_S = 10.0
# What such a model counts for beyond its callers: as much as some late requests.
_STARVED_WEIGHT = 0.5


class Want(NamedTuple):
    """What one entry asks for.

    ``since`` and ``at`` are when it first and last did, in monotonic seconds. ``age_s``
    is how long ago its first caller was refused, if none was served since.
    """

    requests: int
    urgency: float
    since: float
    at: float
    age_s: float


class ModelWants(NamedTuple):
    """What all entries together ask for; see :class:`Want`."""

    requests: int
    urgency: float
    since: float
    age_s: float

    @property
    def is_starved(self) -> bool:
        """Whether callers have been refused for long and nobody was served."""
        return self.age_s > _STARVED_S

    @property
    def weight(self) -> float:
        """The urgency, raised for a starved model."""
        return self.urgency + (_STARVED_WEIGHT if self.is_starved else 0.0)


class Wants:
    """The models that entries ask for, by model and entry."""

    def __init__(self) -> None:
        self._wants: dict[str, dict[str, Want]] = {}

    def __contains__(self, model: str) -> bool:
        return model in self._wants

    def note(
        self,
        peer: str,
        model: str,
        requests: int,
        urgency: float,
        age_s: float,
        now: float,
    ) -> bool:
        """Replace what an entry asks for; return whether it is new.

        Args:
            peer: The entry.
            model: What its requests wait for.
            requests: How many they are.
            urgency: What they are worth.
            age_s: How long ago its first caller was refused, if none was served since.
            now: Monotonic seconds.
        """
        wants = self._wants.setdefault(model, {})
        known = wants.get(peer)
        is_new = known is None or now - known.at > _KEPT_S
        since = now if known is None or is_new else known.since
        wants[peer] = Want(requests, urgency, since, now, age_s)
        return is_new

    def find(self, model: str) -> ModelWants:
        """Return what all entries ask for of a model that is asked for."""
        wants = self._wants[model].values()
        return ModelWants(
            sum(want.requests for want in wants),
            sum(want.urgency for want in wants),
            min(want.since for want in wants),
            max(want.age_s for want in wants),
        )

    def count_requests(self, model: str) -> int:
        """Return how many requests wait for a model."""
        return sum(want.requests for want in self._wants.get(model, {}).values())

    def list_missing(self, held: Collection[str], now: float) -> dict[str, ModelWants]:
        """Return the models asked for that are not held, without those given up."""
        for model, wants in list(self._wants.items()):
            for peer in [p for p, want in wants.items() if now - want.at > _KEPT_S]:
                del wants[peer]
            if not wants:
                del self._wants[model]
        return {model: self.find(model) for model in self._wants if model not in held}
