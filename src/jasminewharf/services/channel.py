"""ZeroMQ sockets on the event loop, and the payload format of links.

A payload is one frame with a sequence of messages, each encoded as a correlation
number (eight bytes), a length (four bytes) and the message. Messages share a frame
because each frame costs a call into the library. Correlation 0 marks a one-way
message; an answer carries the correlation of its request.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import zmq

from .. import defaults
from ..exceptions import MalformedMessage
from ..messages import encode
from ..messages.link import Hello

__all__ = [
    "ONE_WAY",
    "Channel",
    "Identity",
    "bound_queues",
    "pack",
    "pack_header",
    "unpack",
]

_CORRELATION_BYTES = 8
ONE_WAY = bytes(_CORRELATION_BYTES)
_LENGTH_BYTES = 4
_HEADER_BYTES = _CORRELATION_BYTES + _LENGTH_BYTES


class Identity(NamedTuple):
    """Identity of a process on its links."""

    node: str
    role: str
    zone: str
    incarnation: int

    def hello(self) -> Hello:
        """Return the message that introduces this process."""
        return Hello(self.node, self.role, self.zone, self.incarnation)


class Channel:
    """A ZeroMQ socket driven by the event loop.

    The socket's file descriptor is edge-triggered, so the receive side is polled
    again after each send.
    """

    def __init__(
        self,
        socket: zmq.Socket,
        receive: Callable[[list], None],
        *,
        copy: bool = True,
    ) -> None:
        self.socket = socket
        self._copy = copy
        self._receive = receive
        self._loop = asyncio.get_running_loop()
        self._descriptor = socket.getsockopt(zmq.FD)
        self._loop.add_reader(self._descriptor, self._read_all)
        self.is_closed = False
        self._is_read_scheduled = False
        self._schedule_read()

    def _schedule_read(self) -> None:
        if not self._is_read_scheduled:
            self._is_read_scheduled = True
            self._loop.call_soon(self._read_all)

    def send(self, frames: list[bytes]) -> bool:
        """Send without blocking; return False if the queue is full or has no peer."""
        try:
            self.socket.send_multipart(frames, zmq.DONTWAIT, copy=True)
        except zmq.Again:
            return False
        except zmq.ZMQError as error:
            if error.errno == zmq.EHOSTUNREACH:
                return False
            raise
        finally:
            self._schedule_read()
        return True

    def _read_all(self) -> None:
        self._is_read_scheduled = False
        while not self.is_closed:
            try:
                frames = self.socket.recv_multipart(zmq.DONTWAIT, copy=self._copy)
            except zmq.Again:
                return
            self._receive(frames)

    def close(self) -> None:
        """Close the socket; queued messages are sent within a short linger."""
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.remove_reader(self._descriptor)
        self.socket.close(linger=defaults.LINK_LINGER_MS)


def bound_queues(
    socket: zmq.Socket, message_bytes: int = defaults.LINK_MESSAGE_LIMIT_BYTES
) -> None:
    """Set the limits that every link's socket has."""
    socket.setsockopt(zmq.SNDHWM, defaults.LINK_SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, defaults.LINK_SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, message_bytes)
    socket.setsockopt(zmq.HEARTBEAT_IVL, defaults.LINK_HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, defaults.LINK_HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)


def pack_header(correlation: bytes, data: bytes) -> bytes:
    """Return the header of an encoded message in a payload."""
    return correlation + len(data).to_bytes(_LENGTH_BYTES, "big")


def pack(correlation: bytes, message: Any) -> bytes:
    """Return a payload with one message."""
    data = encode(message)
    return pack_header(correlation, data) + data


def unpack(payload: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield pairs of correlation and encoded message.

    Raises:
        MalformedMessage: If the payload does not divide into messages.
    """
    at = 0
    while at < len(payload):
        start = at + _HEADER_BYTES
        length = payload[at + _CORRELATION_BYTES : start]
        end = start + int.from_bytes(length, "big")
        if start > len(payload) or end > len(payload):
            raise MalformedMessage("a payload ends within a message")
        yield payload[at : at + _CORRELATION_BYTES], payload[start:end]
        at = end
