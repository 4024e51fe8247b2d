"""A control host's newest messages for all nodes that follow it."""

import asyncio
from typing import Any, ClassVar

from .. import defaults
from ..kernel import Kernel, Service
from .link import Peer

__all__ = ["Broadcast"]


class Broadcast(Service):
    """Keeps the newest message of each type and sends it to every subscriber once."""

    name: ClassVar[str] = "broadcast"
    requires: ClassVar[tuple[str, ...]] = ("control", "publisher")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._newest: dict[type, tuple[int, Any]] = {}
        self._sent: dict[tuple[bytes, type], int] = {}
        self._number = 0
        self._is_scheduled = False

    async def start(self) -> None:
        """Look for new subscribers at intervals."""
        self.kernel.find("publisher").on_subscribe = self._schedule
        self.spawn(self._send_forever(), essential=True)

    def publish(self, message: Any) -> None:
        """Replace the message of this type; subscribers get it if it changed."""
        known = self._newest.get(type(message))
        if known is not None and known[1] == message:
            return
        self._number += 1
        self._newest[type(message)] = (self._number, message)
        self._schedule()

    def notify(self, message: Any) -> None:
        """Send a message once to the present subscribers."""
        for peer in self.kernel.find("publisher").subscribers():
            peer.send(message)

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
        for kind, (number, message) in self._newest.items():
            key = (peer.routing_id, kind)
            if self._sent.get(key) != number:
                self._sent[key] = number
                peer.send(message)
