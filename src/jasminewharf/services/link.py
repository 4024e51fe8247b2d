"""Links between processes over ZeroMQ.

A server owns one ROUTER socket, a client one DEALER socket. A ZeroMQ message has
one frame of payload. It holds one message after the other, each as a correlation
number of eight bytes, a length of four bytes and the encoded message; messages
share a frame because every frame costs a call into the library. Correlation 0
marks a one-way message; an answer carries the number of its request.
"""

import asyncio
import inspect
import itertools
import logging
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, NamedTuple

import zmq

from .. import defaults, events
from ..exceptions import (
    JasminewharfError,
    LinkError,
    LinkTimeout,
    ListenFailed,
    MalformedMessage,
    PeerUnavailable,
)
from ..messages import decode, encode
from ..messages.link import Failure, Hello, Welcome
from .failures import describe_failure, restore_failure
from .security import LinkSecurity

__all__ = [
    "Identity",
    "LinkClient",
    "LinkServer",
    "Peer",
    "pack",
    "pack_header",
    "unpack",
]

_logger = logging.getLogger(__name__)

_CORRELATION_BYTES = 8
_ONE_WAY = bytes(_CORRELATION_BYTES)
_LENGTH_BYTES = 4
_HEADER_BYTES = _CORRELATION_BYTES + _LENGTH_BYTES
_FLUSH_BYTES = 256 * 1024

Handler = Callable[["Peer", Any], Any]


class Identity(NamedTuple):
    """Who a process is on its links."""

    node: str
    role: str
    zone: str
    incarnation: int

    def hello(self) -> Hello:
        """Return the message that introduces this process."""
        return Hello(self.node, self.role, self.zone, self.incarnation)


class _Channel:
    """A ZeroMQ socket driven by the event loop.

    The socket's file descriptor is edge-triggered, so that after each send the
    receive side is checked again.
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
        """Send without waiting; return False if the queue is full or absent."""
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
        """Close the socket; what is queued is sent within a short linger."""
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.remove_reader(self._descriptor)
        self.socket.close(linger=defaults.LINK_LINGER_MS)


def _bound_queues(socket: zmq.Socket) -> None:
    socket.setsockopt(zmq.SNDHWM, defaults.LINK_SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, defaults.LINK_SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, defaults.LINK_MESSAGE_LIMIT_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, defaults.LINK_HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, defaults.LINK_HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)


class Peer:
    """A client of a link server, known by its :class:`Hello`."""

    def __init__(self, server: "LinkServer", routing_id: bytes) -> None:
        self._server = server
        self.routing_id = routing_id
        self.hello: Hello | None = None
        self.public_key = ""
        self.is_revoked = False
        self.is_forgotten = False
        self.heard_at = 0.0
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def node(self) -> str:
        """The peer's node name; empty before it said hello."""
        return self.hello.node if self.hello else ""

    def send(self, message: Any, correlation: bytes = _ONE_WAY) -> None:
        """Queue a message; all of one event-loop turn leave together.

        Nothing is sent to a peer whose key is no longer trusted.
        """
        if self.is_revoked:
            return
        if not self._parts:
            self._server.schedule_flush(self)
        data = encode(message)
        self._parts.append(pack_header(correlation, data))
        self._parts.append(data)
        self._size += len(data)
        if self._size >= _FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Send what is queued."""
        if self._parts:
            payload = b"".join(self._parts)
            count = len(self._parts) // 2
            self._parts = []
            self._size = 0
            self._server.send_payload(self, payload, count)


class LinkServer:
    """Listens for other processes.

    Args:
        identity: Who this process is.
        context: The ZeroMQ context.
        handlers: A function per message type. It gets the peer and the message; a
            returned message, or one that an awaitable yields, is the answer.
        security: CURVE keys; None for a link without authentication.
        roles: Roles of the peers that are served; None for all.
    """

    def __init__(
        self,
        identity: Identity,
        context: zmq.Context,
        handlers: dict[type, Handler],
        security: LinkSecurity | None = None,
        roles: frozenset[str] | None = None,
    ) -> None:
        self._identity = identity
        self._handlers = handlers
        self._security = security
        self._roles = roles
        self._address = ""
        self.is_idle: Callable[[], bool] = lambda: True
        self._peers: dict[bytes, Peer] = {}
        self._pending_flush: list[Peer] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self.malformed_count = 0
        self.dropped_count = 0
        self.refused_count = 0
        self.unexpected_count = 0
        self.on_peer: Callable[[Peer], None] | None = None
        self._socket = context.socket(zmq.ROUTER, socket_class=zmq.Socket)
        self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        _bound_queues(self._socket)
        if security is not None:
            security.configure_server(self._socket)
            security.watch_link(self)
        self._public_key = security.public_key if security is not None else b""
        self._channel: _Channel | None = None

    def bind(self, address: str) -> str:
        """Listen on ``address`` and return the address with the real port.

        Raises:
            ListenFailed: If the address is in use or not of this host.
        """
        try:
            self._socket.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            raise ListenFailed(address, error.strerror) from error
        receive = self._receive if self._security is None else self._receive_secured
        self._channel = _Channel(self._socket, receive, copy=self._security is None)
        endpoint = self._socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self._address = endpoint.removeprefix("tcp://")
        return self._address

    def peers(self) -> list[Peer]:
        """Return the peers that have said hello."""
        return [peer for peer in self._peers.values() if peer.hello]

    def forget(self, peer: Peer) -> None:
        """Drop what is known of a peer; it has to say hello again."""
        peer.is_forgotten = True
        self._peers.pop(peer.routing_id, None)

    def schedule_flush(self, peer: Peer) -> None:
        """Send the peer's queued messages at the end of this event-loop turn."""
        if not self._pending_flush:
            asyncio.get_running_loop().call_soon(self._flush_all)
        self._pending_flush.append(peer)

    def _flush_all(self) -> None:
        peers = self._pending_flush
        self._pending_flush = []
        for peer in peers:
            peer.flush()

    def send_payload(self, peer: Peer, payload: bytes, count: int) -> None:
        """Send ``count`` messages to a peer; a lost or blocked peer is forgotten."""
        if self._channel is None:
            return
        if not self._channel.send([peer.routing_id, payload]):
            self.dropped_count += count
            self.forget(peer)
            events.emit(_logger, events.PEER_LOST, peer=peer.node)

    def take_new_keys(self) -> None:
        """Cut off peers that are no longer trusted, and listen with a new own key.

        ZeroMQ closes the accepted connections together with their listener, so
        that the own key changes only while ``is_idle``.
        """
        for peer in list(self._peers.values()):
            if peer.hello is not None and not self._is_trusted(peer):
                self._revoke(peer)
        if self._security.public_key != self._public_key:
            self._rebind()

    def _is_trusted(self, peer: Peer) -> bool:
        hello = peer.hello
        return self._security.trust.allows(peer.public_key, hello.role, hello.node)

    def _revoke(self, peer: Peer) -> None:
        events.emit(_logger, events.PEER_REFUSED, peer=peer.node)
        peer.send(Failure("HelloRequired", "the key is no longer trusted"))
        peer.flush()
        peer.is_revoked = True
        self.forget(peer)

    def _rebind(self) -> None:
        if self._channel is None or self._channel.is_closed:
            return
        if not self.is_idle():
            loop = asyncio.get_running_loop()
            loop.call_later(defaults.CURVE_REFRESH_S, self._rebind)
            return
        self._socket.unbind(f"tcp://{self._address}")
        self._security.configure_server(self._socket)
        self._public_key = self._security.public_key
        self._bind_again()

    def _bind_again(self) -> None:
        # The old listener is closed by ZeroMQ's own thread a moment later.
        if self._channel is None or self._channel.is_closed:
            return
        try:
            self._socket.bind(f"tcp://{self._address}")
        except zmq.ZMQError:
            loop = asyncio.get_running_loop()
            loop.call_later(defaults.LINK_CONNECT_POLL_S, self._bind_again)

    def _receive_secured(self, frames: list[zmq.Frame]) -> None:
        public_key = frames[-1].get("User-Id")
        contents = [frame.bytes for frame in frames]
        peer = self._peers.get(contents[0])
        # A routing id may be used again by another connection.
        if peer is not None and peer.public_key not in ("", public_key):
            self._revoke(peer)
            peer = None
        if peer is None:
            peer = self._add_peer(contents[0])
        peer.public_key = public_key
        self._receive(contents)

    def _receive(self, frames: list[bytes]) -> None:
        routing_id = frames[0]
        peer = self._peers.get(routing_id)
        if peer is None:
            peer = self._add_peer(routing_id)
        peer.heard_at = asyncio.get_running_loop().time()
        try:
            for correlation, data in unpack(frames[-1]):
                self._receive_one(peer, correlation, data)
        except MalformedMessage as error:
            self._count_malformed(peer, error)

    def _add_peer(self, routing_id: bytes) -> Peer:
        self._make_room()
        peer = self._peers[routing_id] = Peer(self, routing_id)
        return peer

    def _make_room(self) -> None:
        """Forget silent peers at the limit: ZeroMQ does not tell who has left."""
        if len(self._peers) < defaults.LINK_PEERS_LIMIT:
            return
        ordered = sorted(
            self._peers.values(),
            key=lambda peer: (peer.hello is not None, peer.heard_at),
        )
        for peer in ordered[: defaults.LINK_PEERS_LIMIT // 4]:
            self.forget(peer)

    def _count_malformed(self, peer: Peer, error: object) -> None:
        self.malformed_count += 1
        events.emit(_logger, events.MESSAGE_MALFORMED, peer=peer.node, error=error)

    def _receive_one(self, peer: Peer, correlation: bytes, data: bytes) -> None:
        try:
            message = decode(data)
        except MalformedMessage as error:
            self._count_malformed(peer, error)
            return
        if isinstance(message, Hello):
            self._welcome(peer, correlation, message)
            return
        if peer.hello is None:
            peer.send(Failure("HelloRequired", "say hello first"), correlation)
            return
        self._dispatch(peer, correlation, message)

    def _refuses(self, peer: Peer, hello: Hello) -> bool:
        if self._roles is not None and hello.role not in self._roles:
            return True
        if self._security is None:
            return False
        return not self._security.check(peer.public_key, hello.role, hello.node)

    def _welcome(self, peer: Peer, correlation: bytes, hello: Hello) -> None:
        if self._refuses(peer, hello):
            self.refused_count += 1
            events.emit(_logger, events.PEER_REFUSED, peer=hello.node, role=hello.role)
            peer.send(Failure("Forbidden", "role or node is refused"), correlation)
            peer.flush()
            self.forget(peer)
            return
        is_new = peer.hello != hello
        peer.hello = hello
        me = self._identity
        peer.send(Welcome(me.node, me.role, me.incarnation), correlation)
        if is_new:
            events.emit(_logger, events.PEER_CONNECTED, peer=hello.node)
            if self.on_peer is not None:
                self.on_peer(peer)

    def _dispatch(self, peer: Peer, correlation: bytes, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            self.unexpected_count += 1
            kind = type(message).__name__
            events.emit(
                _logger, events.MESSAGE_UNEXPECTED, peer=peer.node, message_type=kind
            )
            return
        try:
            answer = handler(peer, message)
        except JasminewharfError as error:
            answer = describe_failure(error)
        except Exception as error:
            events.emit(_logger, events.HANDLER_FAILED, peer=peer.node, error=error)
            answer = Failure("LinkError", "internal error")
        if inspect.isawaitable(answer):
            task = asyncio.ensure_future(self._answer_later(peer, correlation, answer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif answer is not None:
            peer.send(answer, correlation)

    async def _answer_later(
        self, peer: Peer, correlation: bytes, pending: Awaitable[Any]
    ) -> None:
        try:
            answer = await pending
        except JasminewharfError as error:
            answer = describe_failure(error)
        except Exception as error:
            events.emit(_logger, events.HANDLER_FAILED, peer=peer.node, error=error)
            answer = Failure("LinkError", "internal error")
        if answer is not None:
            peer.send(answer, correlation)

    def close(self) -> None:
        """Stop listening."""
        self._flush_all()
        for task in list(self._tasks):
            task.cancel()
        if self._channel is not None:
            self._channel.close()
        else:
            self._socket.close(linger=0)


class LinkClient:
    """A connection to one link server.

    Args:
        identity: Who this process is.
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
        self._pending: dict[bytes, asyncio.Future[Any]] = {}
        self.welcome: Welcome | None = None
        self.on_welcome: Callable[[Welcome], None] | None = None
        self.on_lost: Callable[[], None] | None = None
        self.malformed_count = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self._socket = context.socket(zmq.DEALER, socket_class=zmq.Socket)
        # Without this option a message waits for a server that may never come,
        # and an unsent request could not be told from a sent one.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.RECONNECT_IVL, defaults.LINK_RECONNECT_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, defaults.LINK_RECONNECT_MAX_MS)
        _bound_queues(self._socket)
        self._configure = configure
        if configure is not None:
            configure(self._socket)
        self._has_new_keys = False
        self._retry: asyncio.TimerHandle | None = None
        watched = zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
        monitor = self._socket.get_monitor_socket(watched)
        self._channel = _Channel(self._socket, self._receive)
        self._monitor = _Channel(monitor, self._observe)
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
        """Connect with the new keys, at once or when the connection ends.

        What the present connection carries is not interrupted.
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
        self._channel.send([pack(_ONE_WAY, self._identity.hello())])

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
        self._send(_ONE_WAY, message)

    def _send(self, correlation: bytes, message: Any) -> None:
        if self.welcome is None:
            raise PeerUnavailable(f"no link to {self.address}")
        payload = pack(correlation, message)
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
        elif correlation == _ONE_WAY:
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
        self._monitor.close()
        self._socket.disable_monitor()
        self._channel.close()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(LinkError("link closed"))


def pack_header(correlation: bytes, data: bytes) -> bytes:
    """Return what precedes an encoded message in a payload."""
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
