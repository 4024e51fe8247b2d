"""Attempts to run one request on backend servers."""

from .. import defaults
from .configurations import Route

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
        is_suspect: Whether it may crash the server that it is sent to.
        contended: Servers at which another request is on trial.
        is_second: Whether a server is looked for beside one that is silent.
        second: The server that was sent the request beside it; empty if none.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.runs = 0
        self.rejections = 0
        self.avoided: set[str] = set()
        self.route = ""
        self.waited_s = 0.0
        self.is_suspect = False
        self.contended: set[str] = set()
        self.is_second = False
        self.second = ""
        self._ran_on: set[str] = set()
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

    def note_unsent(self) -> None:
        """Take back a counted send of which no byte left this node."""
        self.sent -= 1
        self._is_open = False

    def add_wait(self, seconds: float) -> None:
        """Count time in which the request waited for a model or a permit."""
        self.waited_s += seconds

    def note_rejected(self, server: str) -> None:
        """Count a rejection by a server that has not run the request."""
        self._is_open = False
        self.rejections += 1
        self.avoided.add(server)

    def note_run(self, server: str) -> None:
        """Count an attempt at a server that may have run the request.

        A server is counted once: as soon as another one is asked in its place, or when
        its attempt has failed.
        """
        self._is_open = False
        self.runs += server not in self._ran_on
        self.avoided.add(server)
        self._ran_on.add(server)

    def note_second_left(self) -> None:
        """Count the second server, which may have run the request, if it has it."""
        if self.second:
            self.note_run(self.second)
        self.second = ""

    def begin_round(self) -> float:
        """Allow further attempts at servers that only rejected the request.

        Returns:
            Seconds to wait before the next attempt. They double with each round: a
            server that has no place now is not asked again and again for one.
        """
        self.avoided = set(self._ran_on)
        pause_s = min(
            defaults.SERVER_FULL_PAUSE_S * 2**self._rounds,
            defaults.SERVER_FULL_PAUSE_MAX_S,
        )
        self._rounds += 1
        return pause_s


def choose_idle_timeout_s(route: Route, attempts: Attempts, left_s: float) -> float:
    """Return how long to wait for data from a server before trying another one.

    Args:
        route: The request's route.
        attempts: The request's attempts so far.
        left_s: Seconds until the deadline.

    Returns:
        Seconds; more than the remaining time if no other server may be tried. The first
        server keeps its time: it may still answer before the other one does.
    """
    if not route.is_idempotent or attempts.runs + 1 >= route.attempts:
        return max(left_s, 0.0) + 1.0
    if route.kind == "stream":
        return defaults.STREAM_SILENCE_S
    share = left_s * defaults.SILENCE_PART
    return min(max(share, defaults.SILENCE_MIN_S), defaults.STREAM_SILENCE_S)
