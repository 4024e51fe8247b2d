"""Spreads requests over equivalent servers by their pace.

All entries see the same loads, some of them late, and choose at the same time. So none
of these choices takes the best server outright: the preferred one is passed over with a
probability that grows with its load, and otherwise the better of two drawn servers is
taken.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from .directory import Server

__all__ = [
    "FULL_SHARE",
    "Spread",
    "draw_better",
    "pick_preferred",
    "project_load",
]

# Relative load up to which requests for a model stay on its preferred engine, and from
# which on none does; first events on a usual engine begin to be late above the latter.
_PACKED_SHARE = 0.3
FULL_SHARE = 0.65
# Share of the slots beyond which first events are late and memory runs out, and how
# much more a request in it counts than one in another slot.
_CROWDED_SHARE = 0.75
_CROWDED_WEIGHT = 8.0
# Servers that are drawn to take the best of.
_DRAWN = 2


class Spread(NamedTuple):
    """What a choice between servers of a service depends on besides the servers.

    ``now`` is in seconds, ``draw`` returns random numbers in [0, 1). ``arrivals`` is
    how many requests all entries together send to the service in the time in which
    they do not see what the others have sent.
    """

    now: float
    draw: Callable[[], float]
    arrivals: float = 0.0


def project_load(server: Server, now: float) -> float:
    """Return the relative load of a server with one more request."""
    return (server.load + 1) / server.capacity(now)


def pick_preferred(preferred: Sequence[Server], spread: Spread) -> Server | None:
    """Return the first server that has room, mostly; None if none is picked.

    Args:
        preferred: The servers, the most preferred first.
        spread: What the choice depends on.
    """
    for server in preferred:
        chance = _rate_room(server, spread)
        if chance >= 1.0 or (chance > 0.0 and spread.draw() < chance):
            return server
    return None


def _rate_room(server: Server, spread: Spread) -> float:
    """Return the probability that a request is sent to a preferred server."""
    load = project_load(server, spread.now)
    chance = (FULL_SHARE - load) / (FULL_SHARE - _PACKED_SHARE)
    if spread.arrivals <= 0 or server.pace.window(spread.now) >= 1.0:
        return chance
    # Others find it as free as this node does: together they fill its room once.
    room = (FULL_SHARE - load) * server.capacity(spread.now) + 1.0
    return min(chance, room / spread.arrivals)


def draw_better(servers: Sequence[Server], spread: Spread, floor: float) -> Server:
    """Return the better of two servers drawn in proportion to their capacity.

    Args:
        servers: The servers.
        spread: What the choice depends on.
        floor: Load per slot up to which only the pace counts.
    """
    if len(servers) == 1:
        return servers[0]
    weights = [server.capacity(spread.now) for server in servers]
    drawn = []
    for _ in range(min(_DRAWN, len(servers))):
        index = _draw_index(weights, spread.draw())
        weights[index] = 0.0
        drawn.append(servers[index])
    return min(drawn, key=lambda server: _rate_wait(server, spread.now, floor))


def _rate_wait(server: Server, now: float, floor: float) -> float:
    slots = max(server.listed.slots, 1) * server.pace.window(now)
    share = (server.load + 1) / slots
    crowded = max(share - _CROWDED_SHARE, 0.0) * _CROWDED_WEIGHT
    return (max(share, floor) + crowded) * server.pace.factor(now)


def _draw_index(weights: Sequence[float], point: float) -> int:
    """Return the index that a number in [0, 1) selects by weight."""
    left = point * sum(weights)
    last = 0
    for index, weight in enumerate(weights):
        if weight <= 0.0:
            continue
        last = index
        left -= weight
        if left < 0:
            return index
    return last
