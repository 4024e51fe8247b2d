"""A control host's count of the entries that share what the fleet may send."""

import asyncio
from typing import ClassVar

from .. import defaults
from ..decisions.presence import Presence
from ..kernel import Kernel, Service
from ..messages.servers import EntryCount
from .link import Peer

__all__ = ["EntryCounter"]


class EntryCounter(Service):
    """Tells entries how many of them were linked to this host lately.

    An entry that has left counts for one more window of retries, since it may have
    spent its part of them.
    """

    name: ClassVar[str] = "entry-counter"
    requires: ClassVar[tuple[str, ...]] = ("control",)

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._told: dict[bytes, EntryCount] = {}

    async def start(self) -> None:
        """Start to count."""
        self.spawn(self._count_forever(), essential=True)

    async def _count_forever(self) -> None:
        loop = asyncio.get_running_loop()
        presence = Presence()
        window_s = self.kernel.settings.fleet.bounds.retry_window_s
        known = 0
        risen_at = loop.time()
        while True:
            await asyncio.sleep(defaults.ENTRY_COUNT_INTERVAL_S)
            now = loop.time()
            linked = [
                peer
                for peer in self.kernel.find("control").peers()
                if peer.hello is not None and peer.hello.role == "entry"
            ]
            entries = presence.count((peer.node for peer in linked), now, window_s)
            if entries > known:
                risen_at = now
            known = entries
            # A count that still rises would give each entry too large a part.
            if now - risen_at >= defaults.ENTRY_COUNT_SETTLED_S:
                self._tell(linked, EntryCount(known))

    def _tell(self, linked: list[Peer], count: EntryCount) -> None:
        told = {peer.routing_id: count for peer in linked}
        for peer in linked:
            if self._told.get(peer.routing_id) != count:
                peer.send(count)
        self._told = told
