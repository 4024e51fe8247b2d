"""Which requests an entry still takes while it stops."""

import math
from collections import deque

from .. import defaults
from .configurations import Route

__all__ = ["AnswerTimes", "can_end_in_time"]


class AnswerTimes:
    """How long the last answers on each route took, in seconds."""

    def __init__(self) -> None:
        self._times: dict[str, deque[float]] = {}

    def note(self, route: str, elapsed_s: float) -> None:
        """Record a whole answer, from the arrival of its request to its end."""
        times = self._times.get(route)
        if times is None:
            if len(self._times) >= defaults.STOP_ROUTES_LIMIT:
                return
            times = self._times[route] = deque(maxlen=defaults.STOP_ANSWERS_KEPT)
        times.append(elapsed_s)

    def find_longest_s(self, route: str) -> float:
        """Return how long nearly all answers on a route take; infinite if unknown."""
        times = sorted(self._times.get(route, ()))
        if len(times) < defaults.STOP_ANSWERS_LEAST:
            return math.inf
        rank = math.ceil(len(times) * defaults.STOP_ANSWERS_PART) - 1
        return times[rank] * defaults.STOP_MARGIN


def can_end_in_time(
    route: Route, times: AnswerTimes, patience_s: float, left_s: float
) -> bool:
    """Return whether a request that arrives during a stop can be answered in it.

    Args:
        route: The request's route.
        times: How long answers take.
        patience_s: Time after which the request is over in any case.
        left_s: Time until running requests are ended.
    """
    return min(times.find_longest_s(route.name), patience_s) <= left_s
