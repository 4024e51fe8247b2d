"""Transport of batches between control hosts."""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Callable, Iterator
from typing import Protocol

import msgspec
import zmq
import zmq.asyncio

from .. import events
from ..decisions.records import host_name
from ..defaults import (
    CURVE_RETRY_S,
    LINK_CONNECT_POLL_S,
    LINK_CONNECT_TIMEOUT_MS,
    LINK_FRAME_LIMIT_BYTES,
    LINK_HEARTBEAT_MS,
    LOG_PEER_FORGET_S,
    LOG_PEER_QUEUE_BATCHES,
    LOG_PEERS_LIMIT,
    LOG_RECONNECT_MAX_MS,
    LOG_RECONNECT_MS,
)
from ..exceptions import ListenFailed, MalformedMessage
from ..messages import codec
from ..messages.link import Part
from ..messages.log import BatchHeader
from ..metrics import Metrics
from .listening import listen_when_free
from .logsettings import CurveSettings
from .parts import PartAssembler, needs_parts, split_payload
from .security import LinkSecurity

__all__ = ["MemoryNetwork", "MemoryPeers", "PeerTransport", "ZmqPeers"]

_logger = logging.getLogger(__name__)

_PART_CODE = codec.encode(Part(0, 0, 1, b""))[: codec.CODE_BYTES]
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[bytes])

OnBatch = Callable[[list[bytes]], None]


def _read_sender(frames: list[bytes]) -> str:
    """Return the host that a batch names as its sender; empty if it names none."""
    try:
        header = codec.decode(frames[0])
    except (MalformedMessage, IndexError):
        return ""
    return host_name(header.sender) if isinstance(header, BatchHeader) else ""


def _read_part(frames: list[bytes]) -> Part | None:
    """Return the part that a batch consists of; None if it is none."""
    if len(frames) != 1 or not frames[0].startswith(_PART_CODE):
        return None
    try:
        return codec.decode(frames[0])
    except MalformedMessage:
        return None


class PeerTransport(Protocol):
    """Sends batches to other control hosts; a batch may be lost."""

    async def start(self, on_batch: OnBatch) -> None:
        """Open what is needed to send and receive."""

    async def receive(self) -> None:
        """Hand received batches over until cancelled."""

    async def stop(self) -> None:
        """Close everything."""

    def connect(self, host: str, address: str) -> None:
        """Set where ``host`` listens."""

    def send(self, host: str, frames: list[bytes]) -> bool:
        """Queue a batch; return False if it was dropped."""


class MemoryNetwork:
    """Connects :class:`MemoryPeers` in one process, for tests.

    Attributes:
        severed: Pairs of host names between which nothing passes.
    """

    def __init__(self) -> None:
        self.severed: set[tuple[str, str]] = set()
        self.receivers: dict[str, OnBatch] = {}


class MemoryPeers:
    """Delivers batches within one process.

    Args:
        network: What connects the hosts.
        host: The own host name.
        call_soon: Schedules a delivery.
    """

    def __init__(
        self, network: MemoryNetwork, host: str, call_soon: Callable[..., object]
    ) -> None:
        self._network = network
        self._host = host
        self._call_soon = call_soon

    async def start(self, on_batch: OnBatch) -> None:
        """Begin to receive."""
        self._network.receivers[self._host] = on_batch

    async def receive(self) -> None:
        """Wait: the senders deliver directly."""
        await asyncio.Event().wait()

    async def stop(self) -> None:
        """Stop receiving."""
        self._network.receivers.pop(self._host, None)

    def connect(self, host: str, address: str) -> None:
        """Do nothing: hosts are found by name."""

    def send(self, host: str, frames: list[bytes]) -> bool:
        """Queue a batch; return False if it was dropped."""
        if self._is_severed(host) or host not in self._network.receivers:
            return False
        self._call_soon(self._deliver, host, frames)
        return True

    def _is_severed(self, host: str) -> bool:
        severed = self._network.severed
        return (self._host, host) in severed or (host, self._host) in severed

    def _deliver(self, host: str, frames: list[bytes]) -> None:
        receiver = self._network.receivers.get(host)
        if receiver is not None and not self._is_severed(host):
            receiver(frames)


class ZmqPeers:
    """ZeroMQ links: one ROUTER that receives and one DEALER per host that sends.

    Args:
        address: Where to listen, ``IP:PORT``.
        curve: Keys, or None for links without authentication.
    """

    def __init__(self, address: str, curve: CurveSettings | None = None) -> None:
        self._address = address
        self._curve = curve
        self._context: zmq.Context | None = None
        self._receiver: zmq.asyncio.Socket | None = None
        self._security: LinkSecurity | None = None
        self._watcher: asyncio.Task[None] | None = None
        self._public_key = b""
        self._senders: dict[str, tuple[str, zmq.Socket]] = {}
        self._named_at: dict[str, float] = {}
        self._on_batch: OnBatch | None = None
        self._failing_since: dict[str, float] = {}
        self._parts = PartAssembler()
        self._part_numbers = itertools.count(1)

    async def start(self, on_batch: OnBatch) -> None:
        """Begin to receive; :meth:`receive` must run as a task."""
        self._on_batch = on_batch
        self._context = zmq.Context()
        shared = zmq.asyncio.Context(self._context)
        if self._curve is not None:
            self._start_security(self._curve)
        self._receiver = shared.socket(zmq.ROUTER)
        self._set_options(self._receiver)
        if self._security is not None:
            self._security.configure_server(self._receiver)
        await listen_when_free(self._bind)

    async def _bind(self) -> None:
        try:
            self._receiver.bind(f"tcp://{self._address}")
        except zmq.ZMQError as error:
            raise ListenFailed(self._address, error.strerror, error.errno) from error

    def _set_options(self, socket: zmq.Socket) -> None:
        socket.linger = 0
        socket.set_hwm(LOG_PEER_QUEUE_BATCHES)
        socket.maxmsgsize = LINK_FRAME_LIMIT_BYTES
        socket.setsockopt(zmq.HEARTBEAT_IVL, LINK_HEARTBEAT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, LINK_CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, LOG_RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, LOG_RECONNECT_MAX_MS)

    def _start_security(self, curve: CurveSettings) -> None:
        self._security = LinkSecurity(
            curve.own_key, curve.peer_keys, self._context, Metrics()
        )
        self._security.start()
        self._public_key = self._security.public_key
        self._security.watch_link(self)
        self._watcher = asyncio.ensure_future(self._security.watch_files())

    def take_new_keys(self) -> None:
        """Connect again with the changed keys; consensus repeats what is lost."""
        if self._security.public_key != self._public_key:
            self._rebind()
        addresses = {host: address for host, (address, _) in self._senders.items()}
        for host, address in addresses.items():
            self._senders.pop(host)[1].close()
            self.connect(host, address)

    def _rebind(self) -> None:
        endpoint = f"tcp://{self._address}"
        with contextlib.suppress(zmq.ZMQError):
            self._receiver.unbind(endpoint)
        self._public_key = self._security.public_key
        self._security.configure_server(self._receiver)
        self._bind_again()

    def _bind_again(self) -> None:
        # The old listener is closed by ZeroMQ's own thread a moment later.
        if self._receiver is None or self._receiver.closed:
            return
        try:
            self._receiver.bind(f"tcp://{self._address}")
        except zmq.ZMQError:
            loop = asyncio.get_running_loop()
            loop.call_later(LINK_CONNECT_POLL_S, self._bind_again)

    async def receive(self) -> None:
        """Hand received batches over until cancelled."""
        while True:
            if self._security is None:
                source, *frames = await self._receiver.recv_multipart()
                whole = self._join(source, frames)
                if whole is not None:
                    self._on_batch(whole)
            else:
                frames = await self._receiver.recv_multipart(copy=False)
                self._take_secured(frames)

    def _take_secured(self, frames: list[zmq.Frame]) -> None:
        """Hand a batch over if its sender's key is that of the control host named."""
        source, *received = [frame.bytes for frame in frames]
        contents = self._join(source, received)
        if contents is None:
            return
        host = _read_sender(contents)
        if not self._security.check(frames[-1].get("User-Id"), "control", host):
            events.emit(_logger, events.PEER_REFUSED, peer=host, role="control")
            return
        self._on_batch(contents)

    def _join(self, source: bytes, frames: list[bytes]) -> list[bytes] | None:
        """Return the frames of a batch; None if parts of it are missing."""
        part = _read_part(frames)
        if part is None:
            return frames
        try:
            payload = self._parts.take(source, part)
            return None if payload is None else _decoder.decode(payload)
        except (MalformedMessage, msgspec.MsgspecError) as error:
            events.emit(_logger, events.BATCH_MALFORMED, error=error)
            return None

    async def stop(self) -> None:
        """Close the sockets."""
        self._parts.close()
        for _, sender in self._senders.values():
            sender.close()
        self._senders.clear()
        if self._receiver is not None:
            self._receiver.close()
        if self._watcher is not None:
            self._watcher.cancel()
        if self._security is not None:
            self._security.stop()
        if self._context is not None:
            self._context.term()

    def connect(self, host: str, address: str) -> None:
        """Set where ``host`` listens."""
        known = self._senders.get(host)
        now = asyncio.get_running_loop().time()
        if known is not None:
            if known[0] == address:
                self._named_at[host] = now
                return
            known[1].close()
        elif len(self._senders) >= LOG_PEERS_LIMIT and not self._make_room(now):
            # Batches name their senders, so that strangers could add any number.
            return
        sender = self._context.socket(zmq.DEALER)
        self._set_options(sender)
        # Nothing is queued for a host that is not connected: consensus repeats
        # what was lost, and old batches would only delay new ones.
        sender.immediate = True
        if self._security is not None:
            self._security.client_configurer("control", host)(sender)
        try:
            sender.connect(f"tcp://{address}")
        except zmq.ZMQError as error:
            sender.close()
            events.emit(_logger, events.BATCH_MALFORMED, error=error)
            return
        self._senders[host] = (address, sender)
        # A link that is only made anew tells nothing of the host.
        if known is not None or host not in self._named_at:
            self._named_at[host] = now

    def _make_room(self, now: float) -> bool:
        """Forget the host that was named longest ago; return whether that is long ago.

        Members name themselves with each batch, hosts that were replaced no longer do.
        """
        oldest = min(self._senders, key=lambda host: self._named_at[host])
        if now - self._named_at[oldest] < LOG_PEER_FORGET_S:
            return False
        self._senders.pop(oldest)[1].close()
        del self._named_at[oldest]
        return True

    def send(self, host: str, frames: list[bytes]) -> bool:
        """Queue a batch; return False if it was dropped."""
        known = self._senders.get(host)
        if known is None:
            return False
        try:
            for batch in self._list_batches(frames):
                known[1].send_multipart(batch, zmq.NOBLOCK)
        except zmq.Again:
            if self._security is not None:
                self._retry_refused(host)
            return False
        self._failing_since.pop(host, None)
        return True

    def _list_batches(self, frames: list[bytes]) -> Iterator[list[bytes]]:
        """Yield what is sent: the frames, or parts if one of them is too large."""
        if not any(needs_parts(frame) for frame in frames):
            yield frames
            return
        payload = _encoder.encode(frames)
        for part in split_payload(payload, next(self._part_numbers)):
            yield [codec.encode(part)]

    def _retry_refused(self, host: str) -> None:
        now = asyncio.get_running_loop().time()
        since = self._failing_since.setdefault(host, now)
        if now - since > CURVE_RETRY_S:
            self._failing_since[host] = now
            address, sender = self._senders.pop(host)
            sender.close()
            self.connect(host, address)
