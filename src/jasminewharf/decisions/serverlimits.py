"""Request rates that backend servers name, as a node believes them.

A server in need names in its answers how many requests a second it takes from all
hosts together, for as long as its answers say so. Each node merges what its own answers
say with what the other nodes have read. All of it belongs to one incarnation of a
server.
"""

import math
from collections.abc import Collection, Iterator
from typing import NamedTuple

from .. import defaults
from .backpressure import ServerIncarnation
from .coldservers import ColdServer

__all__ = ["LimitReading", "ServerLimit", "ServerLimitTable"]

_NEVER = float("-inf")
# An agent's calls to its own engine do not count while the engine is cold.
_EXEMPT_KINDS = frozenset({"order", "status"})


class LimitReading(NamedTuple):
    """What one answer of a server said of its limit.

    ``per_s`` is None if it named none. ``sent_at`` is when the request was sent and
    ``received_at`` when the head of its answer came, in monotonic seconds.
    ``observer`` names the incarnation of the node that read it, with its ``number``
    there.
    """

    per_s: float | None
    sent_at: float
    received_at: float
    observer: int
    number: int


class ServerLimit:
    """The limit of one incarnation of a server.

    Attributes:
        server: The server's incarnation.
        reading: The reading in force; None if the server never named a limit.
        sent_at: When the request of the newest answer was sent.
        received_at: When the newest answer came.
        is_reported_unreadable: Whether an unreadable limit was logged.
        cold: Its cold state; None where nobody needs to know it.
    """

    __slots__ = (
        "_numbers",
        "cold",
        "is_reported_unreadable",
        "reading",
        "received_at",
        "sent_at",
        "server",
    )

    def __init__(self, server: ServerIncarnation) -> None:
        self.server = server
        self.reading: LimitReading | None = None
        self.sent_at = _NEVER
        self.received_at = _NEVER
        self.is_reported_unreadable = False
        self.cold: ColdServer | None = None
        # The last reading of each observer that was in force: none comes back.
        self._numbers: dict[int, int] = {}

    @property
    def per_s(self) -> float | None:
        """The requests a second in force; None without a limit."""
        return self.reading.per_s if self.reading is not None else None

    @property
    def is_limited(self) -> bool:
        """Whether a limit that the server has named is in force."""
        return self.reading is not None and self.reading.per_s is not None

    @property
    def cold_per_s(self) -> float | None:
        """What the server tolerates while it is cold; None if it never is."""
        rule = self.cold.rule if self.cold is not None else None
        return rule.per_s if rule is not None else None

    @property
    def weight_per_s(self) -> float:
        """The requests a second by which limited servers share the work."""
        if self.is_limited:
            return self.per_s or 0.0
        return self.cold_per_s or 0.0

    def is_limited_at(self, now: float) -> bool:
        """Return whether requests should go to servers without a limit first."""
        is_cold = self.cold is not None and self.cold.is_limited(now)
        return is_cold or self.is_limited

    def needs_permit(self, kind: str) -> bool:
        """Return whether a request of this kind is sent only with a permit.

        A server that can turn cold needs them all the time: it is cold for a while
        before the first node knows.
        """
        if self.is_limited:
            return True
        return self.cold_per_s is not None and kind not in _EXEMPT_KINDS

    def note_answer(self, sent_at: float, received_at: float) -> None:
        """Record an answer without a limit of a server that has never named one."""
        if sent_at > self.sent_at:
            self.sent_at = sent_at
            self.received_at = received_at

    def apply(self, reading: LimitReading) -> bool:
        """Apply a reading unless a newer answer is known.

        Answers on different connections overtake each other, and a node may read one
        late. Of two whose requests and heads came in different orders, the lower limit
        counts. An earlier request's answer cannot limit a server that names no limit
        any more, and cannot confirm a limit, unless no newer answer has come for
        ``ANSWER_OVERTAKE_S``: a slow request may be answered long after a quick one.

        Returns:
            Whether the reading is in force now.
        """
        if reading.number <= self._numbers.get(reading.observer, -1):
            return False
        if self._is_outdated(reading):
            return False
        self._numbers[reading.observer] = reading.number
        self.sent_at = max(self.sent_at, reading.sent_at)
        self.received_at = max(self.received_at, reading.received_at)
        if self.reading is None and reading.per_s is None:
            return False
        self.reading = reading
        return True

    def _is_outdated(self, reading: LimitReading) -> bool:
        was_sent_earlier = reading.sent_at < self.sent_at
        came_earlier = reading.received_at < self.received_at
        before = self.per_s
        if before is not None:
            if reading.per_s is None or reading.per_s > before:
                return was_sent_earlier or came_earlier
            if reading.per_s < before:
                return was_sent_earlier and came_earlier
        if not was_sent_earlier:
            return False
        if reading.per_s is None:
            return True
        return reading.received_at - self.received_at < defaults.ANSWER_OVERTAKE_S

    def confirmed_s(self, now: float) -> float:
        """Return the age of the newest answer that the belief rests on, in seconds."""
        return now - self.reading.received_at if self.reading else math.inf


class ServerLimitTable:
    """The limits of all servers that a node knows, by incarnation."""

    def __init__(self) -> None:
        self._limits: dict[ServerIncarnation, ServerLimit] = {}
        # Those that named a limit once, with one that has ended among them.
        self._named: dict[ServerIncarnation, ServerLimit] = {}

    def __len__(self) -> int:
        """Return the number of servers with a limit in force."""
        return sum(limit.is_limited for limit in self._named.values())

    def find(self, server: ServerIncarnation) -> ServerLimit:
        """Return the limit of a server incarnation; create it if unknown."""
        limit = self._limits.get(server)
        if limit is None:
            limit = self._limits[server] = ServerLimit(server)
        return limit

    def apply(self, server: ServerIncarnation, reading: LimitReading) -> bool:
        """Apply a reading; see :meth:`ServerLimit.apply`."""
        limit = self.find(server)
        is_applied = limit.apply(reading)
        if is_applied:
            self._named[server] = limit
        return is_applied

    def find_rate(self, server: ServerIncarnation) -> float | None:
        """Return the requests a second in force at a server; None without a limit."""
        limit = self._limits.get(server)
        return limit.per_s if limit is not None else None

    def named(self) -> Iterator[ServerLimit]:
        """Iterate over the servers that have named a limit."""
        return iter(list(self._named.values()))

    def forget_unlisted(
        self, listed: Collection[ServerIncarnation], now: float
    ) -> None:
        """Drop the limits of servers that have long been gone.

        A server may be missing from the server list by mistake, so its limit is kept
        for ``BACKPRESSURE_RETENTION_S``.
        """
        oldest = now - defaults.BACKPRESSURE_RETENTION_S
        for server, limit in list(self._limits.items()):
            if server not in listed and limit.received_at < oldest:
                del self._limits[server]
                self._named.pop(server, None)

    def end_unconfirmed(self, now: float) -> list[ServerLimit]:
        """End limits that no answer has confirmed for ``LIMIT_UNCONFIRMED_S``.

        Ended limits are forgotten once no older answer can still arrive.

        Returns:
            The limits that have ended.
        """
        ended = []
        for server, limit in list(self._named.items()):
            age_s = limit.confirmed_s(now)
            if limit.is_limited and age_s > defaults.LIMIT_UNCONFIRMED_S:
                ended.append(limit)
                limit.reading = None
                del self._named[server]
            elif not limit.is_limited and age_s > defaults.LIMIT_ENDED_KEPT_S:
                limit.reading = None
                del self._named[server]
        return ended
