"""Seeded arrivals for the experiments on queues and routing."""

import random
from typing import NamedTuple

from ..decisions.queueing import BATCH, INTERACTIVE
from .queue_simulation import Arrival

__all__ = ["SCENARIOS", "Scenario", "Stream", "draw_arrivals"]


class Stream(NamedTuple):
    """Calls of one workspace.

    ``rate`` is calls a second; ``cost`` bounds the largest cost in tokens, of
    which calls use a share between the bounds of ``used``. With ``burst_every_s``
    the calls of that time arrive together.
    """

    workspace: str
    rate: float
    cost: tuple[int, int]
    deadline_s: float
    priority: str = INTERACTIVE
    burst_every_s: float = 0.0
    used: tuple[float, float] = (0.5, 1.0)


class Scenario(NamedTuple):
    """A workload for one backend server of 16 slots, about 870 tokens/s."""

    streams: tuple[Stream, ...]
    weights: dict[str, float]
    seconds: float = 900.0
    slow_between: tuple[float, float] = (0.0, 0.0)
    slow_factor: float = 1.0


def _spread(names: str, rate: float, **fields: object) -> tuple[Stream, ...]:
    return tuple(Stream(name, rate, **fields) for name in names)


_SHORT = {"cost": (40, 200), "deadline_s": 8.0}
_MEDIUM = {"cost": (100, 500), "deadline_s": 20.0}
_DRAFT = {"cost": (400, 800), "deadline_s": 300.0, "priority": BATCH}
_PLAN = {"cost": (1500, 4000), "deadline_s": 300.0, "priority": BATCH}

SCENARIOS: dict[str, Scenario] = {
    # One workspace at five times the rate of the others; capacity is exceeded.
    "greedy": Scenario(
        (Stream("a", 3.0, **_MEDIUM), *_spread("bcde", 0.6, **_MEDIUM)), {"b": 2.0}
    ),
    # Long season plans beside short questions, capacity nearly used up.
    "plans": Scenario(
        (
            *_spread("ab", 0.16, **_PLAN),
            *_spread("cde", 0.6, **_SHORT),
            Stream("a", 0.3, **_SHORT),
        ),
        {},
    ),
    # As before, with the plans of each two minutes arriving at once.
    "plans_burst": Scenario(
        (
            *_spread("ab", 0.12, burst_every_s=120.0, **_PLAN),
            *_spread("cde", 0.6, **_SHORT),
        ),
        {},
    ),
    # More plans than can be served, and nothing else.
    "plans_only": Scenario(_spread("abc", 0.2, **_PLAN), {}),
    # A workspace that sends batch calls only, beside too many interactive calls.
    "batch_in_overload": Scenario(
        (Stream("a", 0.35, **_DRAFT), *_spread("bcde", 1.1, **_MEDIUM)), {}
    ),
    # A workspace whose own interactive calls would use all of its share.
    "own_batch": Scenario(
        (
            Stream("a", 0.35, **_DRAFT),
            Stream("a", 2.0, **_MEDIUM),
            Stream("b", 1.5, **_MEDIUM),
            Stream("c", 0.5, **_MEDIUM),
        ),
        {},
    ),
    # Workspace a asks for far larger answers than it gets; capacity is exceeded.
    "overstated": Scenario(
        (
            Stream("a", 1.2, (800, 2000), 40.0, used=(0.1, 0.3)),
            *_spread("bcd", 1.2, cost=(200, 500), deadline_s=40.0),
        ),
        {},
    ),
    # Nothing should be refused here.
    "steady": Scenario(_spread("abcde", 0.5, **_MEDIUM), {}),
    # Half as much again as can be served.
    "overload": Scenario(_spread("abcde", 1.15, **_MEDIUM), {}),
    # The engine is three times slower for a while.
    "slowdown": Scenario(
        _spread("abcde", 0.5, **_MEDIUM), {}, 900.0, (300.0, 500.0), 3.0
    ),
}


def draw_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return the calls of a scenario in order of time."""
    source = random.Random(seed)
    drawn = []
    for stream in scenario.streams:
        at = 0.0
        while (at := at + source.expovariate(stream.rate)) < scenario.seconds:
            cost = source.randint(*stream.cost)
            tokens = int(cost * source.uniform(*stream.used))
            every = stream.burst_every_s
            when = at - at % every if every else at
            drawn.append((when, stream, tokens, cost))
    drawn.sort(key=lambda item: item[0])
    return [
        Arrival(
            when, number, item.workspace, item.priority, tokens, cost, item.deadline_s
        )
        for number, (when, item, tokens, cost) in enumerate(drawn)
    ]
