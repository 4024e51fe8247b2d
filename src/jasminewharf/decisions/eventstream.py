"""Server-sent events: splits a body into whole events and reads their numbers."""

from typing import NamedTuple

from .. import defaults
from ..exceptions import BackendError

__all__ = ["EventSplitter", "StreamEvent"]

_END = b"\n\n"
_ID = b"id:"
# Python refuses to convert a number with thousands of digits.
_DIGITS = 18


class StreamEvent(NamedTuple):
    """A whole event as received; ``number`` is its ``id`` or -1 if it has none."""

    number: int
    data: bytes


class EventSplitter:
    """Splits a stream of bytes into events.

    Attributes:
        rest: Bytes of the last event, which is incomplete.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that end in ``data``.

        Raises:
            BackendError: If an event exceeds the size limit.
        """
        buffer = self.rest + data
        events = []
        start = 0
        while (end := buffer.find(_END, start)) >= 0:
            end += len(_END)
            piece = buffer[start:end]
            events.append(StreamEvent(_read_number(piece), piece))
            start = end
        self.rest = buffer[start:]
        if len(self.rest) > defaults.STREAM_EVENT_LIMIT_BYTES:
            raise BackendError("an event of the stream exceeds the size limit")
        return events


def _read_number(event: bytes) -> int:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            is_number = text.isdigit() and len(text) <= _DIGITS
            return int(text) if is_number else -1
    return -1
