"""Backpressure that backend servers signal to this host in their answers.

A server that is shutting down accepts no further requests, and an overloaded server
may ask for a pause. Both apply to one incarnation of a server, even while it is missing
from the server list, and only to this host.
"""

import math
from collections.abc import Collection
from typing import NamedTuple

from .. import defaults

__all__ = ["BackpressureTable", "ServerBackpressure", "ServerIncarnation"]


class ServerIncarnation(NamedTuple):
    """A server incarnation; a restart under the same name changes ``born_ms``."""

    server: str
    born_ms: int


class ServerBackpressure:
    """The backpressure signalled by one incarnation of a server.

    Attributes:
        is_leaving: Whether the server has announced that it is leaving.
        paused_until: End of the requested pause, in monotonic seconds.
        changed_at: Time of the last signal, in monotonic seconds.
    """

    __slots__ = ("changed_at", "is_leaving", "paused_until")

    def __init__(self) -> None:
        self.is_leaving = False
        self.paused_until = float("-inf")
        self.changed_at = float("-inf")

    def note_leaving(self, now: float) -> bool:
        """Record that the server is leaving; return whether this was unknown."""
        was_unknown = not self.is_leaving
        self.is_leaving = True
        self.changed_at = now
        return was_unknown

    def note_pause(self, pause_s: float, now: float) -> float:
        """Record that the server asks for a pause.

        A shorter pause does not shorten an earlier one.

        Args:
            pause_s: Requested pause in seconds; NaN if it could not be parsed.
            now: Current time in monotonic seconds.

        Returns:
            The granted pause in seconds, at most ``SERVER_PAUSE_LIMIT_S``; 0 if the
            request is not a positive number.
        """
        if math.isnan(pause_s) or pause_s <= 0:
            return 0.0
        granted_s = min(pause_s, defaults.SERVER_PAUSE_LIMIT_S)
        self.paused_until = max(self.paused_until, now + granted_s)
        self.changed_at = now
        return granted_s

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent to the server."""
        return not self.is_leaving and now >= self.paused_until

    def pause_s(self, now: float) -> float:
        """Return the seconds until the server accepts requests; infinite if leaving."""
        if self.is_leaving:
            return float("inf")
        return max(self.paused_until - now, 0.0)


class BackpressureTable:
    """The backpressure of all servers that a host uses, by incarnation."""

    def __init__(self) -> None:
        self._backpressures: dict[ServerIncarnation, ServerBackpressure] = {}

    def find(self, incarnation: ServerIncarnation) -> ServerBackpressure:
        """Return the backpressure of a server incarnation; create it if unknown."""
        return self._backpressures.setdefault(incarnation, ServerBackpressure())

    def forget_unlisted(
        self, listed: Collection[ServerIncarnation], now: float
    ) -> None:
        """Drop the backpressure of servers that have long been gone.

        A server may be missing from the server list for a while and come back, so it
        is kept for ``BACKPRESSURE_RETENTION_S``.
        """
        oldest = now - defaults.BACKPRESSURE_RETENTION_S
        for incarnation, backpressure in list(self._backpressures.items()):
            if incarnation not in listed and backpressure.changed_at < oldest:
                del self._backpressures[incarnation]
