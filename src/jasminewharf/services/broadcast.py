"""A control host's newest messages for all nodes that follow it."""

import asyncio
from typing import Any, ClassVar

from .. import defaults
from ..kernel import Kernel, Service
from .link import Peer, Preencoded

__all__ = ["Broadcast"]


class _Published:
    """A message, its number, and the change from the one numbered ``base``."""

    def __init__(self, number: int, message: Any, base: int, change: Any) -> None:
        self.number = number
        self.message = message
        self.base = base
        self.change = change
        self._encoded: dict[bool, Preencoded] = {}

    def encode(self, is_change: bool) -> Preencoded:
        """Return the message or the change, encoded once for all peers."""
        if is_change not in self._encoded:
            chosen = self.change if is_change else self.message
            self._encoded[is_change] = Preencoded(chosen)
        return self._encoded[is_change]


class Broadcast(Service):
    """Keeps the newest message of each type and sends it to every subscriber once."""

    name: ClassVar[str] = "broadcast"
    requires: ClassVar[tuple[str, ...]] = ("control", "publisher")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._newest: dict[type, _Published] = {}
        self._sent: dict[tuple[bytes, type], int] = {}
        self._number = 0
        self._is_scheduled = False

    async def start(self) -> None:
        """Look for new subscribers at intervals."""
        self.kernel.find("publisher").on_subscribe = self._schedule
        self.spawn(self._send_forever(), essential=True)

    def publish(self, message: Any, change: Any = None) -> None:
        """Replace the message of this type; subscribers get it if it changed.

        Args:
            message: The new message.
            change: What leads to it from the message before; those who have that one
                get only this.
        """
        known = self._newest.get(type(message))
        if known is not None and known.message == message:
            return
        self._number += 1
        base = known.number if known is not None else 0
        self._newest[type(message)] = _Published(self._number, message, base, change)
        self._schedule()

    def notify(self, message: Any) -> None:
        """Send a message once to the present subscribers."""
        shared = Preencoded(message)
        for peer in self.kernel.find("publisher").subscribers():
            peer.send(shared)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_all)

    async def _send_forever(self) -> None:
        while True:
            await asyncio.sleep(defaults.BROADCAST_INTERVAL_S)
            self._send_all()

    def _send_all(self) -> None:
        self._is_scheduled = False
        peers = self.kernel.find("publisher").subscribers()
        live = {peer.routing_id for peer in peers}
        for key in [key for key in self._sent if key[0] not in live]:
            del self._sent[key]
        for peer in peers:
            self._send_new(peer)

    def _send_new(self, peer: Peer) -> None:
        for kind, newest in self._newest.items():
            key = (peer.routing_id, kind)
            sent = self._sent.get(key)
            if sent == newest.number:
                continue
            self._sent[key] = newest.number
            has_base = sent is not None and sent == newest.base
            is_change = has_base and newest.change is not None
            peer.send(newest.encode(is_change))
