"""Framing: from the bytes of a connection to whole requests."""

from collections.abc import Callable
from typing import Any

import h11

from .. import defaults
from ..exceptions import BadRequest, BodyTooLarge, HeadTooLarge
from ..settings import LimitSettings
from .httprequests import (
    Request,
    check_framing,
    measure_head,
    read_length,
    read_target,
)

__all__ = ["RequestReader"]


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
        self._body: list[bytes] = []
        self._body_bytes = 0

    def read(self) -> Any:
        """Return the next head, end of a request or end of the connection.

        Returns:
            An event of the parser, or None if more has to arrive first.

        Raises:
            Refusal: If a limit is exceeded.
            h11.RemoteProtocolError: If the bytes are no request.
        """
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._check_incomplete()
            if event is h11.NEED_DATA and self.ahead:
                self._h11.receive_data(self.ahead[: defaults.HTTP_PARSED_BYTES])
                del self.ahead[: defaults.HTTP_PARSED_BYTES]
            elif event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            elif isinstance(event, h11.Data):
                self._take_body(event.data)
            else:
                if isinstance(event, h11.Request):
                    self.head = event
                return event

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
        self._body_bytes += len(data)
        self._check_body_size(self._body_bytes)
        self._body.append(bytes(data))

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
        body = b"".join(self._body)
        return Request(head.method.decode(), target, headers, body, peer)

    def reset(self) -> None:
        """Forget the request that was answered."""
        self.head = None
        self._body = []
        self._body_bytes = 0
