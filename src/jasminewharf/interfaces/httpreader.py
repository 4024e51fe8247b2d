"""Framing: from the bytes of a connection to whole requests."""

import re
from collections.abc import Callable
from typing import Any

import h11

from .. import defaults
from ..exceptions import BadRequest, BodyTooLarge, HeadTooLarge
from ..settings import LimitSettings
from .httpbodies import BodyBuffer
from .httpchunks import ChunkJoiner
from .httprequests import (
    Request,
    check_framing,
    measure_head,
    read_length,
    read_target,
)

__all__ = ["TURN_ENDED", "RequestReader"]

# More of what has arrived is to be read after other connections had their turn.
TURN_ENDED = object()
# Where the parser finds the end of a head.
_EMPTY_LINE = re.compile(rb"\n\r?\n")


class RequestReader:
    """Reads the requests of one connection, one at a time.

    Args:
        protocol: The connection's parser, which is also told of what is sent.
        read_limits: Returns the limits that bind what has begun.

    Attributes:
        ahead: Bytes that have arrived and were not parsed.
        head: The head of the request in progress.
    """

    def __init__(
        self, protocol: h11.Connection, read_limits: Callable[[], LimitSettings]
    ) -> None:
        self._h11 = protocol
        self._read_limits = read_limits
        self.ahead = bytearray()
        self.head: h11.Request | None = None
        self._body = BodyBuffer()
        self._chunks: ChunkJoiner | None = None
        # Of a body with a length, what the parser has not been given.
        self._length_left = 0
        # The last bytes that the parser was given, where an empty line may begin.
        self._tail = b""
        self._turn_left = 0

    @property
    def held_bytes(self) -> int:
        """The bytes that are kept of requests that were not taken."""
        return len(self.ahead) + len(self._h11.trailing_data[0]) + self._body.size

    def begin_turn(self) -> None:
        """Allow as much to be parsed as fits one turn of the event loop."""
        self._turn_left = defaults.HTTP_TURN_BYTES

    def read(self) -> Any:
        """Return the next head, end of a request or end of the connection.

        Returns:
            An event of the parser; None if more has to arrive first; or
            :data:`TURN_ENDED` if it is for others to go on.

        Raises:
            Refusal: If a limit is exceeded.
            h11.RemoteProtocolError: If the bytes are no request.
        """
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._check_incomplete()
                if self.ahead and self._turn_left <= 0:
                    return TURN_ENDED
                if not self._feed():
                    return None
            elif event is h11.PAUSED:
                return None
            elif isinstance(event, h11.Data):
                self._take_body(event.data)
            else:
                if isinstance(event, h11.Request):
                    self._begin_body(event)
                return event

    def _begin_body(self, head: h11.Request) -> None:
        self.head = head
        self._length_left = read_length(head)
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names:
            self._chunks = ChunkJoiner()

    def _feed(self) -> bool:
        """Give the parser what belongs to this request; return whether there was any.

        What follows is kept from it: it would parse small chunks one by one.
        """
        if not self.ahead:
            return False
        before = len(self.ahead)
        if self.head is None or (self._chunks is not None and self._chunks.has_ended):
            data = self._take_lines()
        elif self._chunks is not None:
            data = self._chunks.take(self.ahead, self._read_limits().head_bytes)
            if self._chunks.has_ended:
                self._tail = data[-1:]
        else:
            size = min(self._length_left, defaults.HTTP_PARSED_BYTES)
            data = bytes(self.ahead[:size])
            self._length_left -= len(data)
            del self.ahead[: len(data)]
        self._turn_left -= before - len(self.ahead)
        if data:
            self._h11.receive_data(data)
        return bool(data)

    def _take_lines(self) -> bytes:
        """Remove the lines up to an empty one, which ends a head or a trailer."""
        data = bytes(self.ahead[: defaults.HTTP_PARSED_BYTES])
        end = _EMPTY_LINE.search(self._tail + data)
        if end is not None:
            data = data[: end.end() - len(self._tail)]
            self._tail = b""
        else:
            self._tail = (self._tail + data)[-2:]
        del self.ahead[: len(data)]
        return data

    def _check_incomplete(self) -> None:
        """Refuse a head, or the head of a chunk, that is too large before its end."""
        if len(self._h11.trailing_data[0]) > self._read_limits().head_bytes:
            raise HeadTooLarge("the request head is too large")

    def check_head(self) -> None:
        """Refuse a head that was read and is not acceptable."""
        head = self.head
        if head.method == b"CONNECT":
            raise BadRequest("this is no proxy")
        # Heads that arrive whole are never incomplete.
        if measure_head(head) > self._read_limits().head_bytes:
            raise HeadTooLarge("the request head is too large")
        check_framing(head)
        self._check_body_size(read_length(head))

    def _take_body(self, data: bytes) -> None:
        self._check_body_size(self._body.size + len(data))
        self._body.extend(data)

    def _check_body_size(self, size: int) -> None:
        limit = self._read_limits().body_bytes
        if size > limit:
            raise BodyTooLarge(f"the body may have {limit} bytes")

    def take_request(self, peer: str) -> Request:
        """Return the request that was read whole."""
        head = self.head
        assert head is not None
        try:
            headers = [(k.decode("ascii"), v.decode("utf-8")) for k, v in head.headers]
            target = head.target.decode("ascii")
        except UnicodeDecodeError:
            raise BadRequest("header values must be UTF-8") from None
        target, headers = read_target(target, headers)
        body = self._body.take()
        return Request(head.method.decode(), target, headers, body, peer)

    def reset(self) -> None:
        """Forget the request that was answered."""
        self.head = None
        self._chunks = None
        self._tail = b""
        self._body.clear()

    def drop(self) -> None:
        """Keep no bytes of a request that is refused."""
        self.ahead.clear()
        self._body.clear()
