"""Transport of batches between control hosts."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import zmq
import zmq.asyncio
import zmq.auth
from zmq.auth.asyncio import AsyncioAuthenticator

from ..defaults import (
    LINK_HEARTBEAT_MS,
    LINK_MESSAGE_LIMIT_BYTES,
    LOG_PEER_QUEUE_BATCHES,
    LOG_RECONNECT_MAX_MS,
    LOG_RECONNECT_MS,
)
from .logsettings import CurveSettings

__all__ = ["MemoryNetwork", "MemoryPeers", "PeerTransport", "ZmqPeers"]

OnBatch = Callable[[list[bytes]], None]


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
        self._authenticator: AsyncioAuthenticator | None = None
        self._senders: dict[str, tuple[str, zmq.Socket]] = {}
        self._on_batch: OnBatch | None = None

    async def start(self, on_batch: OnBatch) -> None:
        """Begin to receive; :meth:`receive` must run as a task."""
        self._on_batch = on_batch
        self._context = zmq.Context()
        shared = zmq.asyncio.Context(self._context)
        if self._curve is not None:
            self._authenticator = AsyncioAuthenticator(shared)
            self._authenticator.start()
            self._authenticator.configure_curve(
                domain="*", location=self._curve.peer_keys
            )
        self._receiver = shared.socket(zmq.ROUTER)
        self._set_options(self._receiver)
        if self._curve is not None:
            self._set_own_key(self._receiver)
            self._receiver.curve_server = True
        self._receiver.bind(f"tcp://{self._address}")

    def _set_options(self, socket: zmq.Socket) -> None:
        socket.linger = 0
        socket.set_hwm(LOG_PEER_QUEUE_BATCHES)
        socket.maxmsgsize = LINK_MESSAGE_LIMIT_BYTES
        socket.setsockopt(zmq.HEARTBEAT_IVL, LINK_HEARTBEAT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, LOG_RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, LOG_RECONNECT_MAX_MS)

    def _set_own_key(self, socket: zmq.Socket) -> None:
        public, secret = zmq.auth.load_certificate(self._curve.own_key)
        socket.curve_publickey, socket.curve_secretkey = public, secret

    async def receive(self) -> None:
        """Hand received batches over until cancelled."""
        while True:
            frames = await self._receiver.recv_multipart()
            self._on_batch(frames[1:])

    async def stop(self) -> None:
        """Close the sockets."""
        for _, sender in self._senders.values():
            sender.close()
        self._senders.clear()
        if self._receiver is not None:
            self._receiver.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        if self._context is not None:
            self._context.term()

    def connect(self, host: str, address: str) -> None:
        """Set where ``host`` listens."""
        known = self._senders.get(host)
        if known is not None:
            if known[0] == address:
                return
            known[1].close()
        sender = self._context.socket(zmq.DEALER)
        self._set_options(sender)
        # Nothing is queued for a host that is not connected: consensus repeats
        # what was lost, and old batches would only delay new ones.
        sender.immediate = True
        if self._curve is not None:
            self._set_own_key(sender)
            path = Path(self._curve.peer_keys) / f"{host}.key"
            sender.curve_serverkey = zmq.auth.load_certificate(path)[0]
        sender.connect(f"tcp://{address}")
        self._senders[host] = (address, sender)

    def send(self, host: str, frames: list[bytes]) -> bool:
        """Queue a batch; return False if it was dropped."""
        known = self._senders.get(host)
        if known is None:
            return False
        try:
            known[1].send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True
