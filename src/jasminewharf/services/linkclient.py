"""Client side of links between processes, on one DEALER socket."""

import asyncio
import itertools
import logging
from collections.abc import Callable
from typing import Any

import zmq

from .. import defaults, events
from ..exceptions import (
    LinkError,
    LinkTimeout,
    MalformedMessage,
    PeerUnavailable,
)
from ..messages import decode
from ..messages.link import Failure, Welcome
from .channel import ONE_WAY, Channel, Identity, bound_queues, pack, unpack
from .failures import restore_failure
from .parts import needs_parts, split_payload

__all__ = ["LinkClient"]

_logger = logging.getLogger(__name__)

_CORRELATION_BYTES = len(ONE_WAY)


class LinkClient:
    """A connection to one link server.

    Args:
        identity: Identity of this process.
        context: The ZeroMQ context.
        address: IP address and port of the server.
        handlers: A function per one-way message type that the server may send.
        configure: Called with the socket before it connects, for CURVE keys.

    Attributes:
        on_welcome: Called with the server's :class:`Welcome` when the link is
            new or the server has restarted.
        on_lost: Called when the server has stopped answering.
        bytes_sent: Payload bytes sent.
        bytes_received: Payload bytes received.
    """

    def __init__(
        self,
        identity: Identity,
        context: zmq.Context,
        address: str,
        handlers: dict[type, Callable[[Any], Any]] | None = None,
        configure: Callable[[zmq.Socket], None] | None = None,
    ) -> None:
        self._identity = identity
        self.address = address
        self._handlers = {} if handlers is None else handlers
        self._numbers = itertools.count(1)
        self._part_numbers = itertools.count(1)
        self._pending: dict[bytes, asyncio.Future[Any]] = {}
        self.welcome: Welcome | None = None
        self.on_welcome: Callable[[Welcome], None] | None = None
        self.on_lost: Callable[[], None] | None = None
        self.malformed_count = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self._socket = context.socket(zmq.DEALER, socket_class=zmq.Socket)
        # Without this option messages are queued for a server that may never connect,
        # and unsent requests could not be distinguished from sent ones.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.CONNECT_TIMEOUT, defaults.LINK_CONNECT_TIMEOUT_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL, defaults.LINK_RECONNECT_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, defaults.LINK_RECONNECT_MAX_MS)
        bound_queues(self._socket)
        self._configure = configure
        if configure is not None:
            configure(self._socket)
        self._has_new_keys = False
        self._retry: asyncio.TimerHandle | None = None
        watched = zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
        monitor = self._socket.get_monitor_socket(watched)
        self._channel = Channel(self._socket, self._receive)
        self._monitor = Channel(monitor, self._observe)
        self._socket.connect(f"tcp://{address}")
        if configure is not None:
            self._schedule_retry()

    @property
    def is_connected(self) -> bool:
        """Whether the server has answered since the last disconnection."""
        return self.welcome is not None

    def _observe(self, frames: list[bytes]) -> None:
        event = int.from_bytes(frames[0][:2], "little")
        if event == zmq.EVENT_HANDSHAKE_SUCCEEDED:
            self._say_hello()
        elif event == zmq.EVENT_DISCONNECTED:
            self._lose_server()

    def take_new_keys(self) -> None:
        """Connect with the new keys, now or after the current connection ends.

        Traffic on the current connection is not interrupted.
        """
        self._has_new_keys = True
        if self.welcome is None:
            self._reconnect()

    def _schedule_retry(self) -> None:
        loop = asyncio.get_running_loop()
        self._retry = loop.call_later(defaults.CURVE_RETRY_S, self._retry_refused)

    def _retry_refused(self) -> None:
        if self.welcome is None:
            self._has_new_keys = True
            self._reconnect()
        self._schedule_retry()

    def _reconnect(self) -> None:
        if not self._has_new_keys or self._configure is None or self._channel.is_closed:
            return
        self._has_new_keys = False
        endpoint = f"tcp://{self.address}"
        self._socket.disconnect(endpoint)
        self._configure(self._socket)
        self._socket.connect(endpoint)

    def _say_hello(self) -> None:
        self._channel.send([pack(ONE_WAY, self._identity.hello())])

    def _lose_server(self) -> None:
        was_connected = self.welcome is not None
        self.welcome = None
        pending = list(self._pending.values())
        self._pending.clear()
        for future in pending:
            if not future.done():
                future.set_exception(LinkTimeout(f"link to {self.address} was lost"))
        if was_connected and self.on_lost is not None:
            self.on_lost()
        self._reconnect()

    def send(self, message: Any) -> None:
        """Send a one-way message.

        Raises:
            PeerUnavailable: If nothing was sent.
        """
        self._send(ONE_WAY, message)

    def _send(self, correlation: bytes, message: Any) -> None:
        if self.welcome is None:
            raise PeerUnavailable(f"no link to {self.address}")
        payload = pack(correlation, message)
        if not needs_parts(payload):
            self._send_frame(payload)
            return
        # The server does nothing before it has all parts.
        for part in split_payload(payload, next(self._part_numbers)):
            self._send_frame(pack(ONE_WAY, part))

    def _send_frame(self, payload: bytes) -> None:
        if not self._channel.send([payload]):
            raise PeerUnavailable(f"no link to {self.address}")
        self.bytes_sent += len(payload)

    async def request(
        self, message: Any, timeout_s: float = defaults.LINK_REQUEST_TIMEOUT_S
    ) -> Any:
        """Send a request and return the answer.

        Raises:
            PeerUnavailable: If nothing was sent.
            LinkTimeout: If no answer came; the request may have been carried out.
            JasminewharfError: The error that the server answered with.
        """
        correlation = next(self._numbers).to_bytes(_CORRELATION_BYTES, "big")
        self._send(correlation, message)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[correlation] = future
        try:
            async with asyncio.timeout(timeout_s):
                answer = await future
        except TimeoutError:
            raise LinkTimeout(f"no answer from {self.address}") from None
        finally:
            self._pending.pop(correlation, None)
        if isinstance(answer, Failure):
            raise restore_failure(answer)
        return answer

    async def wait_connected(self, timeout_s: float) -> None:
        """Wait until the server has answered.

        Raises:
            PeerUnavailable: If it has not within ``timeout_s``.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        while self.welcome is None:
            if asyncio.get_running_loop().time() > deadline:
                raise PeerUnavailable(f"no link to {self.address}")
            await asyncio.sleep(defaults.LINK_CONNECT_POLL_S)

    def _receive(self, frames: list[bytes]) -> None:
        self.bytes_received += len(frames[-1])
        try:
            for correlation, data in unpack(frames[-1]):
                self._receive_one(correlation, decode(data))
        except MalformedMessage as error:
            self.malformed_count += 1
            events.emit(
                _logger, events.MESSAGE_MALFORMED, peer=self.address, error=error
            )

    def _receive_one(self, correlation: bytes, message: Any) -> None:
        if isinstance(message, Welcome):
            self._accept_welcome(message)
            return
        if isinstance(message, Failure) and message.error == "HelloRequired":
            self._lose_server()
            self._say_hello()
            return
        future = self._pending.get(correlation)
        if future is not None:
            if not future.done():
                future.set_result(message)
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            self._run_handler(handler, message)
        elif correlation == ONE_WAY:
            kind = type(message).__name__
            events.emit(
                _logger,
                events.MESSAGE_UNEXPECTED,
                peer=self.address,
                message_type=kind,
            )

    def _run_handler(self, handler: Callable[[Any], Any], message: Any) -> None:
        try:
            handler(message)
        except Exception as error:
            events.emit(_logger, events.HANDLER_FAILED, peer=self.address, error=error)

    def _accept_welcome(self, welcome: Welcome) -> None:
        is_new = self.welcome != welcome
        self.welcome = welcome
        if is_new and self.on_welcome is not None:
            self.on_welcome(welcome)

    def close(self) -> None:
        """Close the link; requests in flight fail."""
        if self._retry is not None:
            self._retry.cancel()
        # The monitor is disabled before its reader is closed: ZeroMQ waits for the
        # reader under a lock that disabling the monitor needs too.
        self._socket.disable_monitor()
        self._monitor.close()
        self._channel.close()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(LinkError("link closed"))
