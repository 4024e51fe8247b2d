"""A node's knowledge of evacuated availability zones, from its feed."""

import logging
from math import inf
from typing import Any, ClassVar

from .. import defaults, events
from ..kernel import Kernel, Service

__all__ = ["EvacuationView"]

_logger = logging.getLogger(__name__)


class EvacuationView(Service):
    """Puts evacuations into force as the feed tells of them.

    The feed holds everything back until a quorum has confirmed it once: a node that
    starts has no configuration, and sends nothing, before it knows the evacuations.
    """

    name: ClassVar[str] = "evacuation-view"
    requires: ClassVar[tuple[str, ...]] = ("process", "feed", "directory")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._directory = kernel.find("directory").directory

    async def start(self) -> None:
        """Follow the feed."""
        metrics = self.kernel.find("process").metrics
        metrics.watch("evacuated_zones", lambda: len(self._directory.evacuated))
        metrics.watch("evacuated_servers", lambda: len(self._list_evacuated()))
        metrics.watch("requests_in_evacuated_zones", self._count_running)
        self.kernel.find("feed").listen(self._take)
        self._take([])

    def _take(self, applied: list[Any]) -> None:
        feed = self.kernel.find("feed")
        zones = feed.state.evacuations.evacuated
        known = self._directory.evacuated
        if zones == known:
            return
        self._directory.set_evacuated(zones)
        age_s = feed.unconfirmed_s()
        events.emit(
            _logger,
            events.EVACUATION_IN_FORCE,
            begun=sorted(zones - known),
            ended=sorted(known - zones),
            index=feed.state.version,
            source=feed.source,
            age_at_most_ms=int(age_s * defaults.MS_PER_S) if age_s < inf else None,
            running=self._count_running(),
        )
        self.kernel.find("directory").notify()

    def _list_evacuated(self) -> list[Any]:
        servers = self._directory.servers.values()
        return [server for server in servers if server.is_evacuated]

    def _count_running(self) -> int:
        """Return this node's requests that still run in evacuated zones."""
        return sum(server.own for server in self._list_evacuated())
