"""The caller's side of an answer, whichever servers the events of it come from."""

from typing import Protocol

from ..decisions.eventstream import StreamEvent
from .upstream import UpstreamAnswer

__all__ = ["Sink", "StreamRelay"]


class Sink(Protocol):
    """Where an answer goes."""

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head."""

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""

    def finish(self) -> None:
        """End the body."""

    def respond(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        """Send a whole answer."""


class StreamRelay:
    """Passes the events of one answer on, whichever servers they come from."""

    def __init__(self, sink: Sink, last_event: int) -> None:
        self._sink = sink
        self.last_event = last_event
        self.has_started = False

    async def forward(self, answer: UpstreamAnswer, batch: list[StreamEvent]) -> None:
        """Send events that the caller does not have yet."""
        data = b"".join(event.data for event in batch if self._is_new(event))
        self._start(answer)
        if data:
            await self._sink.write(data)

    def _is_new(self, event: StreamEvent) -> bool:
        if event.number < 0:
            return True
        if event.number <= self.last_event:
            return False
        self.last_event = event.number
        return True

    def _start(self, answer: UpstreamAnswer) -> None:
        if not self.has_started:
            self.has_started = True
            self._sink.start(answer.status, answer.headers)

    def finish(self, answer: UpstreamAnswer) -> None:
        """End the stream as complete."""
        self._start(answer)
        self._sink.finish()

    def respond(self, answer: UpstreamAnswer, body: bytes) -> None:
        """Send a whole answer instead of a stream."""
        self.has_started = True
        self._sink.respond(answer.status, answer.headers, body)
