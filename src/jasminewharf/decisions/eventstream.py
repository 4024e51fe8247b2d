"""Server-sent events: splits a body into events and decides which are passed on."""

import re
from typing import NamedTuple

from .. import defaults
from ..exceptions import AnswerBroken, BackendError

__all__ = ["EventSplitter", "StreamEvent", "StreamPosition"]

# The end of a line and an empty line.
_END = re.compile(rb"\n\r?\n")
_LF_END = b"\n\n"
# A comment, or a field with or without a value.
_LINE = re.compile(rb":.*|[A-Za-z0-9_-]+(:.*)?", re.DOTALL)
_END_BYTES = 3
_ID = b"id:"
_COMMENT = b":"
# Python refuses to convert a number with thousands of digits.
_DIGITS = 18


class StreamEvent(NamedTuple):
    """A whole event as received; ``number`` is its ``id`` or -1 if it has none."""

    number: int
    data: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it holds nothing but comments."""
        lines = self.data.split(b"\n")
        return all(not line.strip() or line.startswith(_COMMENT) for line in lines)

    @property
    def is_valid(self) -> bool:
        """Whether all lines are comments or fields."""
        lines = self.data.split(b"\n")
        return all(not line.strip() or _LINE.fullmatch(line) for line in lines)


class EventSplitter:
    """Splits a stream of bytes into events.

    All events of a stream end like its first one, in LF or CRLF.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._end = b""

    @property
    def rest(self) -> bytes:
        """Bytes of the last event, which is incomplete."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that end in ``data``.

        Raises:
            BackendError: If an event exceeds the size limit or is none.
        """
        # The bytes that end an event may arrive in parts.
        searched = max(len(self._buffer) - _END_BYTES + 1, 0)
        self._buffer += data
        if not self._end:
            first = _END.search(self._buffer, searched)
            if first is not None:
                self._end = first.group()
        events = []
        start = 0
        while self._end and (end := self._buffer.find(self._end, searched)) >= 0:
            searched = end + len(self._end)
            piece = bytes(self._buffer[start:searched])
            if self._end != _LF_END and piece.count(b"\n") != piece.count(b"\r\n"):
                raise BackendError("the lines of an event end in different ways")
            events.append(StreamEvent(_read_number(piece), piece))
            start = searched
        if start:
            del self._buffer[:start]
        if len(self._buffer) > defaults.STREAM_EVENT_LIMIT_BYTES:
            raise BackendError("an event of the stream exceeds the size limit")
        return events


class StreamPosition:
    """What a caller has of a stream whose events may come from several servers.

    Attributes:
        last_event: Number of the last event that the caller has; -1 if none.
        dropped: Number of events that were not passed on.
    """

    def __init__(self, last_event: int) -> None:
        self.last_event = last_event
        self.dropped = 0
        self._is_resumed = False
        self._has_followed = False
        self._has_unnumbered = False
        # Whether each event so far had the number after that of the one before.
        self._is_counted = False
        self._has_skipped = False

    @property
    def can_resume(self) -> bool:
        """Whether another server can be told where the caller's events end."""
        return self.last_event >= 0 or not self._has_unnumbered

    def resume(self) -> None:
        """Note that further events come from another server."""
        self._is_resumed = True
        self._has_followed = False

    def accept(self, event: StreamEvent) -> bool:
        """Return whether an event is to be passed on.

        Raises:
            AnswerBroken: If another server's events do not follow the caller's.
        """
        if event.number < 0:
            return self._accept_unnumbered(event)
        if event.number <= self.last_event:
            self.dropped += 1
            return False
        is_next = event.number == max(self.last_event, 0) + 1
        if self._is_resumed and not self._has_followed:
            if self._is_counted and not is_next:
                reason = f"event {event.number} in place of {self.last_event + 1}"
                raise AnswerBroken(reason, began=True)
        elif not self._has_skipped:
            self._is_counted = is_next
            self._has_skipped = not is_next and self._has_followed
        self._has_followed = True
        self.last_event = event.number
        return True

    def check_end(self) -> None:
        """Check that the stream may end here.

        Raises:
            AnswerBroken: If a server that was to go on with it sent no new event, so
                that the caller may lack some.
        """
        if self._is_resumed and not self._has_followed:
            raise AnswerBroken("no new event", began=True)

    def _accept_unnumbered(self, event: StreamEvent) -> bool:
        if self.last_event >= 0 and not event.is_valid:
            raise AnswerBroken("lines that belong to no event", began=True)
        if not self._is_resumed or self._has_followed:
            self._has_unnumbered = self._has_unnumbered or not event.is_comment
            return True
        if not event.is_comment:
            raise AnswerBroken("an event without a number", began=True)
        self.dropped += 1
        return False


def _read_number(event: bytes) -> int:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            is_number = text.isdigit() and len(text) <= _DIGITS
            return int(text) if is_number else -1
    return -1
