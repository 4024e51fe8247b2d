"""Forwards cache events of engines to the connected entries."""

import asyncio
from typing import ClassVar

from .. import defaults
from ..exceptions import BackendError
from ..kernel import Kernel, Service
from ..messages.calls import CacheEvents
from .backend import Backend

__all__ = ["CacheFeedReader"]


class CacheFeedReader(Service):
    """Polls the cache events of each engine.

    Events are not resent, since a lost one only makes a routing hint inaccurate.
    """

    name: ClassVar[str] = "cache_feed"
    requires: ClassVar[tuple[str, ...]] = ("backends",)

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._backends = kernel.find("backends")

    async def start(self) -> None:
        """Start to poll the engines that publish cache events."""
        for backend in self._backends.backends.values():
            if backend.dialect.fetch_cache_events(0, backend.token) is not None:
                self.spawn(self._read_forever(backend))

    async def _read_forever(self, backend: Backend) -> None:
        after = 0
        while True:
            await asyncio.sleep(defaults.CACHE_FEED_INTERVAL_S)
            if not backend.reachable or not self._backends.entries():
                continue
            try:
                after = await self._read(backend, after)
            except BackendError:
                after = 0

    async def _read(self, backend: Backend, after: int) -> int:
        call = backend.dialect.fetch_cache_events(after, backend.token)
        status, body = await backend.client.fetch(
            call.method,
            call.target,
            call.body,
            headers=list(call.headers),
            is_exclusive=True,
        )
        feed = backend.dialect.read_cache_events(status, body)
        if feed.events:
            events = [tuple(event) for event in feed.events]
            for peer in self._backends.entries():
                peer.send(
                    CacheEvents(backend.settings.name, backend.incarnation, events)
                )
        return feed.after
