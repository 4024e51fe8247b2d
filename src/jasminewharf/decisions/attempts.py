"""Attempts to run one request on backend servers."""

from .. import defaults
from .configurations import Route
from .lateness import StreamTiming

__all__ = ["Attempts", "choose_idle_timeout_s"]


class Attempts:
    """The attempts of one request and their outcomes.

    Attributes:
        sent: Number of times it was sent to a server.
        runs: Number of times a server may have run it.
        rejections: Number of times a server refused it without running it.
        avoided: Servers that are currently excluded from further attempts.
        route: The route's name; empty until the route is known.
        waited_s: Seconds that it has waited for its model or a permit.
        token_wait_s: Seconds that it has waited for tokens of its workspace's rate.
        is_suspect: Whether it may crash the server that it is sent to.
        contended: Servers at which another request is on trial.
        is_second: Whether a server is looked for beside one that is silent.
        timing: When the events of its stream came, and from where.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.runs = 0
        self.rejections = 0
        self.avoided: set[str] = set()
        self.route = ""
        self.waited_s = 0.0
        self.token_wait_s = 0.0
        self.is_suspect = False
        self.contended: set[str] = set()
        self.is_second = False
        self.timing = StreamTiming()
        self._ran_on: set[str] = set()
        # Servers of _ran_on whose attempt was given up although it had not failed.
        self._left: set[str] = set()
        # Servers that have the request while another one is silent.
        self._beside: list[str] = []
        self._is_open = False
        self._rounds = 0

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run the request, including a pending attempt."""
        return self.runs > 0 or self._is_open

    def has_run_on(self, server: str) -> bool:
        """Return whether an attempt at a server has been counted."""
        return server in self._ran_on

    def note_sent(self, server: str) -> None:
        """Count a send; until its outcome is known, the request may have run."""
        self.sent += 1
        self._is_open = True

    def note_unsent(self, server: str) -> None:
        """Take back a counted send of which no byte left this node."""
        self.sent -= 1
        self._is_open = False
        if server in self._ran_on:
            self._left.add(server)

    def add_wait(self, seconds: float) -> None:
        """Count time in which the request waited for a model or a permit."""
        self.waited_s += seconds

    def note_rejected(self, server: str) -> None:
        """Count a rejection by a server that has not run the request."""
        self._is_open = False
        self.rejections += 1
        self.avoided.add(server)
        if server in self._ran_on:
            self._left.add(server)

    def note_run(self, server: str) -> None:
        """Count an attempt at a server that may have run the request.

        A server is counted once: as soon as another one is asked in its place, or when
        its attempt has failed.
        """
        self._is_open = False
        self.runs += server not in self._ran_on
        self.avoided.add(server)
        self._ran_on.add(server)
        self._left.discard(server)

    def note_left(self, server: str) -> None:
        """Count an attempt that was given up although its server may be sound."""
        self.note_run(server)
        self._left.add(server)

    def note_beside(self, server: str) -> None:
        """Note that a server is sent the request while another one is silent."""
        self._beside.append(server)

    def note_beside_ended(self, server: str) -> None:
        """Note that an attempt beside a silent one has ended."""
        self._beside.remove(server)

    def note_beside_taken(self, server: str) -> None:
        """Note that a server takes a silent one's place; count the others."""
        self._beside.remove(server)
        self.note_beside_left()

    def note_beside_left(self) -> None:
        """Count the servers that have the request beside the one that goes on."""
        for server in self._beside:
            self.note_left(server)
        self._beside.clear()

    def may_ask(self, server: str, limit: int) -> bool:
        """Return whether a server may be sent the request now.

        Args:
            server: The server.
            limit: The largest number of servers that may run the request.
        """
        if server in self.avoided:
            return False
        return server in self._ran_on or self.runs < limit

    def may_ask_another(self, limit: int, current: str | None = None) -> bool:
        """Return whether a server may be asked in place of another one.

        One that was given up while it was silent may be asked again: it is counted.

        Args:
            limit: The largest number of servers that may run the request.
            current: The server that has the request, if one has it.
        """
        is_new = current is not None and current not in self._ran_on
        runs = self.runs + is_new
        return runs < limit or bool(self._left - {current})

    def begin_round(self) -> float:
        """Allow further attempts at servers that rejected the request or were left.

        Returns:
            Seconds to wait before the next attempt. They double with each round: a
            server that has no place now is not asked again and again for one.
        """
        self.avoided = self._ran_on - self._left
        pause_s = min(
            defaults.SERVER_FULL_PAUSE_S * 2**self._rounds,
            defaults.SERVER_FULL_PAUSE_MAX_S,
        )
        self._rounds += 1
        return pause_s


def choose_idle_timeout_s(
    route: Route,
    attempts: Attempts,
    left_s: float,
    server: str = "",
    pace: float = 1.0,
) -> float:
    """Return how long to wait for data from a server before trying another one.

    Args:
        route: The request's route.
        attempts: The request's attempts so far.
        left_s: Seconds until the deadline.
        server: The server that is waited for.
        pace: Its usual pace; a slow server is waited for longer, up to a limit.

    Returns:
        Seconds; more than the remaining time if no other server may be tried. The first
        server keeps its time: it may still answer before the other one does.
    """
    if not route.is_idempotent or not attempts.may_ask_another(route.attempts, server):
        return max(left_s, 0.0) + 1.0
    pace = min(max(pace, 1.0), defaults.PACE_SILENCE_MAX)
    if route.kind == "stream":
        return defaults.STREAM_SILENCE_S * pace
    share = left_s * defaults.SILENCE_PART
    return min(max(share, defaults.SILENCE_MIN_S * pace), defaults.STREAM_SILENCE_S)
