"""A node's knowledge of which backend servers are cold."""

import asyncio
import logging
from typing import ClassVar

from .. import defaults, events
from ..decisions.coldservers import ColdServer, read_cold_time
from ..decisions.directory import Server
from ..decisions.routes import RouteTable
from ..exceptions import PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.servers import ServerColdTime, ServerColdTimes

__all__ = ["ColdServers"]

_logger = logging.getLogger(__name__)


class ColdServers(Service):
    """Keeps the cold state of all servers, from each source that tells of it."""

    name: ClassVar[str] = "cold-servers"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "controllers",
        "directory",
        "feed",
        "view",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._directory = kernel.find("directory").directory
        self._table = self._directory.cold
        self._metrics = kernel.find("process").metrics
        self._sources: dict[ColdServer, str] = {}

    async def start(self) -> None:
        """Follow the configuration and what control hosts tell."""
        self.kernel.find("view").listen(self._take_configuration)
        self.kernel.find("controllers").handle(
            ServerColdTimes, lambda host, message: self.take_times(message)
        )
        self.spawn(self._watch_forever(), essential=True)
        self._metrics.watch("cold_servers", self._count_cold)

    def _take_configuration(self, table: RouteTable) -> None:
        services = table.services.items()
        self._table.set_rules(
            {name: spec.cold for name, spec in services if spec.cold is not None}
        )

    def note_answer(self, server: Server, cold_ms: float, sent_at: float) -> None:
        """Record what the head of an answer says, and tell others of a change.

        Args:
            server: The server.
            cold_ms: What it says; NaN if that cannot be read.
            sent_at: When the request was sent.
        """
        if cold_ms > 0:
            # It may have been said right now.
            cold_ms += (_now() - sent_at) * defaults.MS_PER_S
        was_cold = server.limit.cold is not None and server.limit.cold.was_cold
        self._note(server, cold_ms, sent_at, is_direct=True, source="answer")
        if (
            server.limit.cold is not None
            and server.limit.cold.was_cold
            and not was_cold
        ):
            listed = server.listed
            age_ms = int((_now() - sent_at) * defaults.MS_PER_S)
            self.tell(
                ServerColdTime(listed.address, listed.born_ms, cold_ms, age_ms, True)
            )

    def take_times(self, message: ServerColdTimes) -> None:
        """Record what agents or control hosts tell."""
        now = _now()
        for told in message.times:
            server = self._directory.at_address(told.address)
            if server is None or told.age_ms < 0:
                continue
            born_ms = server.listed.born_ms
            if told.born_ms and born_ms and told.born_ms < born_ms:
                # It is about an earlier life. A later one counts for this one too: the
                # list does not yet show that the server has started again.
                continue
            at = now - told.age_ms / defaults.MS_PER_S
            source = "report" if told.is_direct else "list"
            self._note(
                server, told.cold_ms, at, is_direct=told.is_direct, source=source
            )

    def tell(self, time: ServerColdTime) -> None:
        """Tell the control host that feeds this node, which tells all others."""
        source = self.kernel.find("feed").source
        link = self.kernel.find("controllers").links.get(source)
        try:
            if link is not None:
                link.send(ServerColdTimes([time]))
        except PeerUnavailable:
            # It is told again, and the bound on sends does not rest on it.
            self._metrics.count("cold_times_unsent_total")

    def _note(
        self,
        server: Server,
        cold_ms: float,
        at: float,
        *,
        is_direct: bool,
        source: str,
    ) -> None:
        cold = server.limit.cold
        if cold is None or cold.rule is None:
            return
        reading = read_cold_time(cold_ms, cold.rule)
        if not reading.is_plausible:
            self._note_implausible(server, cold, cold_ms)
        if reading.left_s is None:
            return
        cold.note_told(reading.left_s, at, is_direct=is_direct)
        self._sources[cold] = source
        self._log_change(server, cold)

    def _note_implausible(
        self, server: Server, cold: ColdServer, cold_ms: float
    ) -> None:
        self._metrics.count("cold_times_implausible_total")
        if cold.is_reported_unreadable:
            return
        cold.is_reported_unreadable = True
        events.emit(
            _logger,
            events.COLD_TIME_IMPLAUSIBLE,
            server=server.name,
            cold_ms=str(cold_ms),
        )

    def _log_change(self, server: Server, cold: ColdServer) -> None:
        cold_s = cold.cold_s(_now())
        if (cold_s > 0) == cold.was_cold:
            return
        cold.was_cold = cold_s > 0
        if cold.was_cold:
            self._metrics.count("cold_turns_total")
        events.emit(
            _logger,
            events.SERVER_COLD if cold.was_cold else events.SERVER_WARM,
            server=server.name,
            left_ms=int(cold_s * defaults.MS_PER_S),
            source=self._sources.get(cold, "discovery"),
        )

    def _count_cold(self) -> int:
        now = _now()
        return sum(cold.is_cold(now) for _, cold in self._table.items())

    async def _watch_forever(self) -> None:
        """Log servers that are found cold and those whose cold time has passed."""
        while True:
            await asyncio.sleep(defaults.COLD_REPEAT_S)
            servers = self._directory.servers.values()
            known = {server.limit.cold for server in servers}
            for cold in [cold for cold in self._sources if cold not in known]:
                del self._sources[cold]
            for server in servers:
                if server.limit.cold is not None:
                    self._log_change(server, server.limit.cold)


def _now() -> float:
    return asyncio.get_running_loop().time()
