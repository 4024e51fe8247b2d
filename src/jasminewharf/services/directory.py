"""A node's directory of backend servers, and its links to the agents beside them."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, ClassVar

from .. import defaults, events
from ..decisions.directory import Directory, Server
from ..exceptions import PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.servers import (
    ControlHosts,
    EngineLoad,
    EngineReport,
    ServerListAge,
    Servers,
)
from .link import LinkClient

__all__ = ["DirectoryService"]

_logger = logging.getLogger(__name__)


class DirectoryService(Service):
    """Keeps the directory current and finds the agents.

    Attributes:
        directory: What this node knows of backend servers.
        agents: Links to agents by the address of the server beside each.
    """

    name: ClassVar[str] = "directory"
    requires: ClassVar[tuple[str, ...]] = ("process", "controllers", "reports")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.directory = Directory()
        self.agents: dict[str, LinkClient] = {}
        self._listeners: list[Callable[[], None]] = []
        self._is_scheduled = False
        self._started = _now()

    def listen(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after changes that can let a request go on."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Follow the control hosts."""
        controllers = self.kernel.find("controllers")
        controllers.handle(Servers, self._take_list)
        controllers.handle(ServerListAge, self._take_age)
        controllers.handle(ControlHosts, self._take_hosts)
        self.kernel.find("reports").listen(self._connect_agents)
        self.spawn(self._watch_agents(), essential=True)

    async def stop(self) -> None:
        """Close the links to agents."""
        await super().stop()
        for link in self.agents.values():
            link.close()

    def has_list(self) -> bool:
        """Return whether the list was read at all."""
        return self.directory.list_at > float("-inf")

    def is_settled(self) -> bool:
        """Return whether this node has had time to hear of all agents."""
        return _now() - self._started > defaults.AGENT_FRESH_S

    def send_to_agent(self, server: Server, message: Any) -> bool:
        """Send a message to the agent beside a server; return whether it left."""
        link = self.agents.get(server.listed.address)
        if link is None:
            return False
        try:
            link.send(message)
        except PeerUnavailable:
            return False
        return True

    def _take_list(self, host: str, message: Servers) -> None:
        read_at = _now() - message.age_ms / defaults.MS_PER_S
        change = self.directory.take_list(message.servers, read_at)
        for listed in change.found:
            events.emit(
                _logger,
                events.SERVER_FOUND,
                server=listed.server,
                service=listed.service,
                address=listed.address,
                age_ms=message.age_ms,
            )
        for listed in change.left:
            events.emit(
                _logger,
                events.SERVER_LEFT,
                server=listed.server,
                address=listed.address,
                is_leaving=listed.is_leaving,
                remaining_ms=listed.remaining_ms,
                age_ms=message.age_ms,
            )
        self._notify()

    def _take_age(self, host: str, message: ServerListAge) -> None:
        read_at = _now() - message.age_ms / defaults.MS_PER_S
        self.directory.list_at = max(self.directory.list_at, read_at)

    def _take_hosts(self, host: str, message: ControlHosts) -> None:
        self.kernel.find("controllers").set_hosts(message.ips)

    def _connect_agents(self) -> None:
        """Follow the agents that the reports name."""
        process = self.kernel.find("process")
        own = self.kernel.settings.node
        for report in self.kernel.find("reports").digest.values():
            if report.role != "agent" or report.node == own or not report.backends:
                continue
            address = report.backends[0].backend
            known = self.agents.get(address)
            if known is not None and known.address == report.address:
                continue
            if known is not None:
                known.close()
            self.agents[address] = process.connect(
                "agent",
                report.node,
                report.address,
                {EngineReport: self._take_report, EngineLoad: self._take_load},
            )

    def _take_report(self, report: EngineReport) -> None:
        self.directory.take_report(report, _now())
        self._notify()

    def _take_load(self, load: EngineLoad) -> None:
        self.directory.take_load(load, _now())

    async def _watch_agents(self) -> None:
        """Close links to agents whose reports are long gone."""
        while True:
            await asyncio.sleep(defaults.AGENT_WATCH_S)
            digest = self.kernel.find("reports").digest.values()
            live = {r.backends[0].backend for r in digest if r.backends}
            for address in [a for a in self.agents if a not in live]:
                self.agents.pop(address).close()
                self.directory.forget_agent(address)

    def _notify(self) -> None:
        """Tell the listeners once for all messages of an event-loop turn."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._tell_listeners)

    def _tell_listeners(self) -> None:
        self._is_scheduled = False
        for listener in self._listeners:
            listener()


def _now() -> float:
    return asyncio.get_running_loop().time()
