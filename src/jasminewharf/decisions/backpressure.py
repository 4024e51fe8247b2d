"""What backend servers have asked of this host in their answers.

A server that is about to stop wants no further requests, and one that is overloaded
may ask to be left alone for a while. Both hold for one life of a server, also while it
is missing from the server list, and for this host alone.
"""

import math
from collections.abc import Collection
from typing import NamedTuple

from .. import defaults

__all__ = ["BackpressureTable", "ServerBackpressure", "ServerIncarnation"]


class ServerIncarnation(NamedTuple):
    """One life of a server: a restart under the same name has another birth."""

    server: str
    born_ms: int


class ServerBackpressure:
    """What one life of a server has asked for.

    Attributes:
        is_leaving: Whether it has said that it is leaving.
        paused_until: Until when it wants no request, in monotonic seconds.
        changed_at: When it last asked for something, in monotonic seconds.
    """

    __slots__ = ("changed_at", "is_leaving", "paused_until")

    def __init__(self) -> None:
        self.is_leaving = False
        self.paused_until = float("-inf")
        self.changed_at = float("-inf")

    def note_leaving(self, now: float) -> bool:
        """Note that the server is leaving; return whether that is news."""
        is_news = not self.is_leaving
        self.is_leaving = True
        self.changed_at = now
        return is_news

    def note_pause(self, pause_s: float, now: float) -> float:
        """Note that the server wants no request for a while.

        Args:
            pause_s: How long, in seconds; not a number if it could not be read.
            now: Monotonic seconds.

        Returns:
            How long it is left alone from now on because of this answer, in seconds:
            0 if it asked for nothing that can be granted. An answer that asks for less
            than an earlier one shortens nothing.
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
        """Return the seconds until the server takes requests; infinite if never."""
        if self.is_leaving:
            return float("inf")
        return max(self.paused_until - now, 0.0)


class BackpressureTable:
    """The restraints of all servers that a host deals with."""

    def __init__(self) -> None:
        self._backpressures: dict[ServerIncarnation, ServerBackpressure] = {}

    def find(self, life: ServerIncarnation) -> ServerBackpressure:
        """Return the restraint of a life of a server, a new one if it is not known."""
        return self._backpressures.setdefault(life, ServerBackpressure())

    def forget_unlisted(
        self, listed: Collection[ServerIncarnation], now: float
    ) -> None:
        """Drop what servers asked for that are gone for good.

        The server list may lack a server for a while, and name it again later.
        """
        oldest = now - defaults.BACKPRESSURE_RETENTION_S
        for life, backpressure in list(self._backpressures.items()):
            if life not in listed and backpressure.changed_at < oldest:
                del self._backpressures[life]
