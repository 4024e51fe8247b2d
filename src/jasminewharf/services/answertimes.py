"""Measures how long backend servers take to answer."""

import asyncio

from .. import defaults
from ..decisions.configurations import Route
from ..decisions.directory import Server
from ..decisions.pace import AnswerSample

__all__ = ["AnswerTimer", "measure_load"]


def measure_load(server: Server) -> float:
    """Return the requests per slot that a server has."""
    return server.load / max(server.listed.slots, 1)


class AnswerTimer:
    """Tells a server's pace of one answer that it begins.

    Args:
        server: The server.
        route: The request's route; its answers are compared with each other.
        load: The server's requests per slot when the request was sent.
        sent_at: When it was sent, on the event loop's clock; None if the first
            events came before this was made.
    """

    __slots__ = (
        "_count",
        "_first_at",
        "_last_at",
        "_load",
        "_route",
        "_sent_at",
        "_server",
    )

    def __init__(
        self, server: Server, route: Route, load: float, sent_at: float | None
    ) -> None:
        self._server = server
        self._route = route
        self._load = load
        self._sent_at = sent_at
        self._first_at = 0.0
        self._last_at = 0.0
        self._count = 0

    def note_events(self, count: int) -> None:
        """Count events with data that have just come."""
        now = self._last_at = _now()
        if self._count == 0:
            self._first_at = now
            self._note_since_sent("first")
        self._count += count

    def end_stream(self) -> None:
        """Learn from the gaps between the events of a stream that has ended."""
        gaps = self._count - 1
        if gaps >= defaults.PACE_GAPS_LEAST:
            self._note("gap", (self._last_at - self._first_at) / gaps, is_due=False)

    def end_whole(self) -> None:
        """Learn from an answer that came as a whole."""
        self._note_since_sent("whole")

    def _note_since_sent(self, kind: str) -> None:
        if self._sent_at is not None:
            kind = f"{kind} {self._route.name}"
            self._note(kind, _now() - self._sent_at, is_due=True)

    def _note(self, kind: str, seconds: float, *, is_due: bool) -> None:
        target_s = self._route.target_s if is_due else 0.0
        sample = AnswerSample(kind, seconds, self._load, target_s)
        self._server.pace.note_answer(sample, _now())


def _now() -> float:
    return asyncio.get_running_loop().time()
