"""Cold servers: backend servers that tolerate few requests for a while after a start.

A server may also turn cold again at any time. What it says of itself, the platform's
list and the time since it was discovered tell a node how long that lasts.
"""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from .. import defaults
from .backpressure import ServerIncarnation

__all__ = ["ColdReading", "ColdRule", "ColdServer", "ColdServerTable", "read_cold_time"]

_NEVER = float("-inf")


class ColdRule(NamedTuple):
    """What the configuration says of a service's servers while they are cold.

    Attributes:
        per_s: Requests a second that a cold server tolerates; above 0.
        start_s: How long a server that has started is cold.
    """

    per_s: float
    start_s: float

    @property
    def longest_s(self) -> float:
        """The longest cold time that is believed."""
        if self.start_s <= 0:
            return defaults.COLD_LONGEST_S
        return self.start_s * defaults.COLD_LONGEST_FACTOR


class ColdReading(NamedTuple):
    """A cold time as far as it is believed.

    Attributes:
        left_s: Seconds that the server stays cold; None if nothing is known.
        is_plausible: Whether the text could be read and was within bounds.
    """

    left_s: float | None
    is_plausible: bool


def read_cold_time(cold_ms: float | None, rule: ColdRule) -> ColdReading:
    """Return how long a server stays cold, as far as what it says can be true.

    Args:
        cold_ms: What it says; None if nothing, NaN if that cannot be read.
        rule: The rule of its service.
    """
    if cold_ms is None:
        return ColdReading(None, True)
    if math.isnan(cold_ms) or cold_ms < 0:
        return ColdReading(None, False)
    left_s = cold_ms / defaults.MS_PER_S
    longest_s = rule.longest_s
    return ColdReading(min(left_s, longest_s), left_s <= longest_s)


class ColdServer:
    """How long one incarnation of a server stays cold, as a node believes it.

    Attributes:
        was_cold: Whether its cold state was logged and its end was not.
        is_reported_unreadable: Whether an implausible cold time was logged.
    """

    __slots__ = (
        "_direct_at",
        "_found_at",
        "_refused_until",
        "_rules",
        "_service",
        "_told_at",
        "_until",
        "is_reported_unreadable",
        "was_cold",
    )

    def __init__(
        self, rules: Mapping[str, ColdRule], service: str, found_at: float
    ) -> None:
        self._rules = rules
        self._service = service
        self._found_at = found_at
        self._told_at = _NEVER
        # When the server itself or its agent said it last.
        self._direct_at = _NEVER
        self._until = _NEVER
        self._refused_until = _NEVER
        self.is_reported_unreadable = False
        self.was_cold = False

    @property
    def rule(self) -> ColdRule | None:
        """The rule of its service; None if the service has no cold servers."""
        return self._rules.get(self._service)

    def note_told(self, left_s: float, at: float, *, is_direct: bool) -> None:
        """Record a cold time; the most recent source counts.

        The platform's list lags, so that it only lengthens what the server itself or
        its agent has said lately.

        Args:
            left_s: Seconds that the server stays cold from ``at`` on.
            at: When that was true, in monotonic seconds.
            is_direct: Whether the server itself or its agent said it.
        """
        if not is_direct and at - self._direct_at <= defaults.AGENT_FRESH_S:
            self._until = max(self._until, at + left_s)
            return
        if at < self._told_at:
            return
        self._told_at = at
        self._until = at + left_s
        if is_direct:
            self._direct_at = at

    def cold_s(self, now: float) -> float:
        """Return the seconds that the server stays cold; 0 if it is warm.

        One of which nothing was told is cold for the usual time after its discovery.
        """
        rule = self.rule
        if rule is None:
            return 0.0
        if max(self._told_at, self._direct_at) > _NEVER:
            return max(self._until - now, 0.0)
        return max(self._found_at + rule.start_s - now, 0.0)

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold."""
        return self.cold_s(now) > 0

    def is_known_warm(self, now: float) -> bool:
        """Return whether the server itself or its agent said so a moment ago."""
        is_fresh = now - self._direct_at <= defaults.COLD_FRESH_S
        return is_fresh and not self.is_cold(now)

    def note_refused(self, until: float) -> None:
        """Record that no permit for a send there is free before a time."""
        self._refused_until = until

    def is_limited(self, now: float) -> bool:
        """Return whether requests should go to other servers first."""
        if self.rule is None:
            return False
        return now < self._refused_until or self.is_cold(now)


class ColdServerTable:
    """The cold state of all servers that a node knows, by incarnation.

    Attributes:
        rules: The rules of the services that have cold servers.
    """

    def __init__(self) -> None:
        self.rules: dict[str, ColdRule] = {}
        self._servers: dict[ServerIncarnation, ColdServer] = {}

    def find(
        self, server: ServerIncarnation, service: str, found_at: float
    ) -> ColdServer:
        """Return the state of a server incarnation; create it if unknown."""
        known = self._servers.get(server)
        if known is None:
            known = ColdServer(self.rules, service, found_at)
            self._servers[server] = known
        return known

    def items(self) -> list[tuple[ServerIncarnation, ColdServer]]:
        """Return all known servers."""
        return list(self._servers.items())

    def set_rules(self, rules: Mapping[str, ColdRule]) -> None:
        """Replace the rules; states that are known stay."""
        self.rules.clear()
        self.rules.update(rules)

    def retain(self, listed: Collection[ServerIncarnation]) -> None:
        """Forget servers that are no longer listed; one that returns is unknown."""
        for server in [key for key in self._servers if key not in listed]:
            del self._servers[server]
