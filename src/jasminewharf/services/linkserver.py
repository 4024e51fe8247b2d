"""Server side of links between processes, on one ROUTER socket."""

import asyncio
import inspect
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import zmq

from .. import defaults, events
from ..exceptions import (
    JasminewharfError,
    ListenFailed,
    MalformedMessage,
)
from ..messages import decode, encode
from ..messages.link import Failure, Hello, Part, Welcome
from .channel import ONE_WAY, Channel, Identity, bound_queues, pack_header, unpack
from .failures import describe_failure
from .listening import listen_when_free
from .parts import PartAssembler
from .security import LinkSecurity

__all__ = ["Handler", "LinkServer", "Peer", "Preencoded"]

_logger = logging.getLogger(__name__)

_FLUSH_BYTES = 256 * 1024

Handler = Callable[["Peer", Any], Any]


class Preencoded:
    """A message encoded once for sending to several peers."""

    def __init__(self, message: Any) -> None:
        self.data = encode(message)


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
        """The peer's node name; empty until its :class:`Hello` arrives."""
        return self.hello.node if self.hello else ""

    def send(self, message: Any, correlation: bytes = ONE_WAY) -> None:
        """Queue a message; those of one event-loop iteration are sent in one payload.

        Nothing is sent to a peer whose key is no longer trusted.
        """
        if self.is_revoked:
            return
        if not self._parts:
            self._server.schedule_flush(self)
        is_encoded = isinstance(message, Preencoded)
        data = message.data if is_encoded else encode(message)
        self._parts.append(pack_header(correlation, data))
        self._parts.append(data)
        self._size += len(data)
        if self._size >= _FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Send the queued messages."""
        if self._parts:
            payload = b"".join(self._parts)
            count = len(self._parts) // 2
            self._parts = []
            self._size = 0
            self._server.send_payload(self, payload, count)


class LinkServer:
    """Accepts links from other processes.

    Args:
        identity: Identity of this process.
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
        bound_queues(self._socket, defaults.LINK_FRAME_LIMIT_BYTES)
        self._parts = PartAssembler()
        if security is not None:
            security.configure_server(self._socket)
            security.watch_link(self)
        self._public_key = security.public_key if security is not None else b""
        self._channel: Channel | None = None

    def bind(self, address: str) -> str:
        """Listen on ``address`` and return the address with the real port.

        Raises:
            ListenFailed: If the address is in use or not of this host.
        """
        try:
            self._socket.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            raise ListenFailed(address, error.strerror, error.errno) from error
        receive = self._receive if self._security is None else self._receive_secured
        self._channel = Channel(self._socket, receive, copy=self._security is None)
        endpoint = self._socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self._address = endpoint.removeprefix("tcp://")
        return self._address

    async def listen(self, address: str) -> str:
        """Do as :meth:`bind`, as soon as the address is free.

        Raises:
            ListenFailed: If it is not in time.
        """

        async def attempt() -> str:
            return self.bind(address)

        return await listen_when_free(attempt)

    def peers(self) -> list[Peer]:
        """Return the peers that have sent a :class:`Hello`."""
        return [peer for peer in self._peers.values() if peer.hello]

    def forget(self, peer: Peer) -> None:
        """Remove a peer; it has to send its :class:`Hello` again."""
        peer.is_forgotten = True
        self._peers.pop(peer.routing_id, None)
        self._parts.drop(peer.routing_id)

    def schedule_flush(self, peer: Peer) -> None:
        """Schedule a flush of the peer at the end of this event-loop iteration."""
        if not self._pending_flush:
            asyncio.get_running_loop().call_soon(self._flush_all)
        self._pending_flush.append(peer)

    def _flush_all(self) -> None:
        peers = self._pending_flush
        self._pending_flush = []
        for peer in peers:
            peer.flush()

    def send_payload(self, peer: Peer, payload: bytes, count: int) -> None:
        """Send ``count`` messages to a peer; a lost or blocked peer is removed."""
        if self._channel is None:
            return
        if not self._channel.send([peer.routing_id, payload]):
            self.dropped_count += count
            self.forget(peer)
            events.emit(_logger, events.PEER_LOST, peer=peer.node)

    def take_new_keys(self) -> None:
        """Disconnect peers that are no longer trusted, and switch to a new server key.

        ZeroMQ closes accepted connections together with their listener, so the
        server key changes only while ``is_idle``.
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
        # ZeroMQ's I/O thread closes the old listener asynchronously.
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
        # A routing id may be reused by another connection.
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
        self._receive_payload(peer, frames[-1])

    def _receive_payload(self, peer: Peer, payload: bytes) -> None:
        try:
            for correlation, data in unpack(payload):
                self._receive_one(peer, correlation, data)
        except MalformedMessage as error:
            self._count_malformed(peer, error)

    def _add_peer(self, routing_id: bytes) -> Peer:
        self._make_room()
        peer = self._peers[routing_id] = Peer(self, routing_id)
        return peer

    def _make_room(self) -> None:
        """Evict the least recently active peers at the limit.

        ZeroMQ does not report which peers have disconnected.
        """
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
        if isinstance(message, Part):
            payload = self._parts.take(peer.routing_id, message)
            if payload is not None:
                self._receive_payload(peer, payload)
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
        peer.send(Welcome(me.node, me.role, me.incarnation, me.zone), correlation)
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
        self._parts.close()
        for task in list(self._tasks):
            task.cancel()
        if self._channel is not None:
            self._channel.close()
        else:
            self._socket.close(linger=0)
