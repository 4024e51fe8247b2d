"""The caller's side of an answer, whichever servers the events of it come from."""

import asyncio
import copy
from collections.abc import AsyncIterator
from typing import Protocol

from .. import defaults
from ..decisions.eventstream import StreamEvent, StreamPosition
from ..exceptions import AnswerBroken
from .upstream import UpstreamAnswer

__all__ = ["Sink", "StreamRelay"]


class Sink(Protocol):
    """Where an answer goes."""

    def start(
        self,
        status: int,
        headers: list[tuple[str, str]],
        *,
        is_close_delimited: bool = False,
    ) -> None:
        """Send the head; it states no end if only the close is to tell the end."""

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""

    def finish(self) -> None:
        """End the body."""

    def respond(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        is_close_delimited: bool = False,
    ) -> None:
        """Send a whole answer; see :meth:`start`."""


class StreamRelay:
    """Passes the events of one answer on, whichever servers they come from.

    Attributes:
        has_started: Whether the caller was sent anything.
        is_left_unread: Whether the server that answers had to wait for the caller.
    """

    def __init__(self, sink: Sink, last_event: int) -> None:
        self._sink = sink
        self._first: UpstreamAnswer | None = None
        self.position = StreamPosition(last_event)
        self.has_started = False
        self.is_left_unread = False

    @property
    def can_resume(self) -> bool:
        """Whether another server can go on with what the caller has."""
        return self.position.can_resume

    def check(self, answer: UpstreamAnswer) -> None:
        """Check that an answer can be the rest of the stream that has begun.

        Raises:
            AnswerBroken: If it cannot.
        """
        if self._first is None:
            return
        if answer.status != self._first.status:
            reason = f"status {answer.status} instead of the stream's rest"
            raise AnswerBroken(reason, began=True)
        if answer.media_type != self._first.media_type:
            reason = f"type {answer.media_type!r} instead of the stream's rest"
            raise AnswerBroken(reason, began=True)
        if answer.is_close_delimited and not self._first.is_close_delimited:
            raise AnswerBroken("the stream's rest states no end", began=True)

    def begin(self, answer: UpstreamAnswer) -> None:
        """Take the head of an answer.

        Raises:
            AnswerBroken: If it is not the rest of the stream that has begun.
        """
        self.is_left_unread = False
        self.check(answer)
        if self._first is not None:
            self.position.resume()

    async def read_first(
        self, answer: UpstreamAnswer, batches: AsyncIterator[list[StreamEvent]]
    ) -> list[StreamEvent]:
        """Read the events of another server up to the first that the caller lacks.

        Nothing is sent to the caller yet.

        Raises:
            AnswerBroken: If they do not follow those that the caller has, or if there
                is none.
        """
        self.check(answer)
        position = copy.copy(self.position)
        if self.has_started:
            position.resume()
        first: list[StreamEvent] = []
        async for batch in batches:
            first += batch
            if any(position.accept(event) and _has_data(event) for event in batch):
                return first
        raise AnswerBroken("no new event", began=True)

    async def forward(self, answer: UpstreamAnswer, batch: list[StreamEvent]) -> bool:
        """Send events that the caller does not have yet; return if any carries data.

        Raises:
            AnswerBroken: If the events do not follow those that the caller has.
        """
        pieces = []
        has_data = False
        try:
            for event in batch:
                if self.position.accept(event):
                    pieces.append(event.data)
                    has_data = has_data or _has_data(event)
        finally:
            if pieces:
                self._start(answer)
                await self._write(b"".join(pieces))
        return has_data

    async def _write(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        try:
            await self._sink.write(data)
        finally:
            if loop.time() - begun > defaults.STREAM_UNREAD_S:
                self.is_left_unread = True

    def _start(self, answer: UpstreamAnswer) -> None:
        if not self.has_started:
            self.has_started = True
            self._first = answer
            self._sink.start(
                answer.status,
                answer.headers,
                is_close_delimited=answer.is_close_delimited,
            )

    def finish(self, answer: UpstreamAnswer) -> None:
        """End the stream as complete.

        Raises:
            AnswerBroken: If the caller may lack events.
        """
        self.position.check_end()
        self._start(answer)
        self._sink.finish()

    def respond(self, answer: UpstreamAnswer, body: bytes) -> None:
        """Send a whole answer instead of a stream."""
        self.has_started = True
        self._sink.respond(
            answer.status,
            answer.headers,
            body,
            is_close_delimited=answer.is_close_delimited,
        )


def _has_data(event: StreamEvent) -> bool:
    return event.number >= 0 or not event.is_comment
