"""Which streams were late, and what was known of their servers when they were sent."""

from typing import Any, NamedTuple

from .. import defaults
from .configurations import Route
from .directory import Server

__all__ = ["ServerSnapshot", "StreamCounts", "StreamTiming", "describe_server"]

# Models in a snapshot, those with the most requests of this entry first.
_MODELS_SHOWN = 8


class ServerSnapshot(NamedTuple):
    """What an entry knew of a server when it sent a request there.

    ``own`` counts the entry's requests there, with the one that was sent; ``models``
    are the models of those requests with their number. ``load_age_ms`` is the age of
    the reported load, -1 if none was reported. ``pace`` is 1.0 for a usual server, 2.0
    for one that takes twice as long.
    """

    server: str
    slots: int
    own: int
    load: int
    running: int
    waiting: int
    load_age_ms: int
    pace: float
    models: dict[str, int]


def describe_server(server: Server, now: float) -> ServerSnapshot:
    """Return what is known of a server's load now."""
    age_s = now - server.load_at
    is_reported = age_s < defaults.AGE_LIMIT_S
    models = sorted(
        ((count, name) for name, count in server.in_flight_by_model.items()),
        reverse=True,
    )
    return ServerSnapshot(
        server.name,
        server.listed.slots,
        server.own,
        server.load,
        server.running,
        server.waiting,
        int(age_s * defaults.MS_PER_S) if is_reported else -1,
        round(server.pace.factor(now), 2),
        {name: count for count, name in models[:_MODELS_SHOWN] if "/" not in name},
    )


class StreamTiming:
    """When the pieces of one stream's answer came, and from which server.

    Attributes:
        first_s: Time of the first event, on the clock of ``begun_s``; None before it.
        pause_s: The longest pause between two events.
        servers: Snapshots of the servers that were sent the request, in order.
    """

    def __init__(self) -> None:
        self.first_s: float | None = None
        self.pause_s = 0.0
        self.servers: list[ServerSnapshot] = []
        self._last_s = 0.0

    @property
    def last_server(self) -> str:
        """The server that was sent the request last; empty if none was."""
        return self.servers[-1].server if self.servers else ""

    def note_sent(self, snapshot: ServerSnapshot) -> None:
        """Record a send to a server."""
        self.servers.append(snapshot)

    def note_data(self, now: float) -> None:
        """Record that data went on to the caller."""
        if self.first_s is None:
            self.first_s = now
        else:
            self.pause_s = max(self.pause_s, now - self._last_s)
        self._last_s = now

    def is_late(self, route: Route, begun_s: float) -> bool:
        """Return whether the first event or a later one came too late."""
        if self.first_s is None:
            return False
        is_paused = 0 < route.pause_s < self.pause_s
        return self.first_s - begun_s > route.target_s or is_paused

    def describe(self, begun_s: float) -> dict[str, Any]:
        """Return the fields of a log line about the stream."""
        first_s = -0.001 if self.first_s is None else self.first_s - begun_s
        return {
            "first_ms": int(first_s * defaults.MS_PER_S),
            "pause_ms": int(self.pause_s * defaults.MS_PER_S),
            "servers": [snapshot._asdict() for snapshot in self.servers],
        }


class StreamCounts:
    """Streams by route since the last look, and how many of them were late."""

    def __init__(self) -> None:
        self._counts: dict[str, list[int]] = {}

    def note(self, route: str, *, is_late: bool) -> None:
        """Count a stream that has begun to be answered and ended."""
        counts = self._counts.setdefault(route, [0, 0])
        counts[0] += 1
        counts[1] += is_late

    def take(self) -> dict[str, list[int]]:
        """Return the counts and begin anew."""
        counts, self._counts = self._counts, {}
        return counts
