"""A node's directory of backend servers, and its ways to the agents beside them."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, ClassVar

from .. import defaults, events
from ..decisions.directory import Directory, Server
from ..decisions.enginereports import TAKEN, UNKNOWN
from ..decisions.homes import RegionMap
from ..decisions.listchanges import apply_changes
from ..dialects.fleet import ListedServer
from ..exceptions import PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.servers import (
    ControlHosts,
    EngineDigest,
    EngineLoad,
    EngineReport,
    FetchServers,
    FollowEngines,
    ServerChanges,
    ServerColdTimes,
    ServerListAge,
    Servers,
    WantReports,
)
from .agentlinks import AgentEndpoint, AgentLinks
from .link import LinkClient

__all__ = ["DirectoryService"]

_logger = logging.getLogger(__name__)


class DirectoryService(Service):
    """Keeps the directory current and finds the agents.

    Reports of engines come from the control host that feeds this node, and directly
    from the agents that this node follows: all of them where they are few, else those
    of which the control host brings nothing.

    Attributes:
        directory: What this node knows of backend servers.
        agents: Links to agents by the address of the server beside each.
    """

    name: ClassVar[str] = "directory"
    requires: ClassVar[tuple[str, ...]] = ("process", "controllers", "feed", "reports")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.directory = Directory(kernel.settings.policy.balancing)
        settings = kernel.settings
        if settings.fleet is not None:
            self.directory.regions = RegionMap(settings.fleet.regions, settings.region)
        self.agents = AgentLinks(self._connect_agent)
        # The control host whose list this is, and the list's number there.
        self._list_base = ("", 0)
        self._digest_at = float("-inf")
        self._heard_relay = False
        self._metrics = kernel.find("process").metrics
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
        controllers.handle(ServerChanges, self._take_changes)
        controllers.handle(ServerListAge, self._take_age)
        controllers.handle(ControlHosts, self._take_hosts)
        controllers.handle(EngineDigest, self._take_digest)
        self.kernel.find("reports").listen(self._find_agents)
        self.spawn(self._follow_forever(), essential=True)
        self.spawn(self._watch_agents(), essential=True)
        self._metrics.watch("agent_links", lambda: len(self.agents))

    async def stop(self) -> None:
        """Close the links to agents."""
        await super().stop()
        self.agents.close()

    def has_list(self) -> bool:
        """Return whether the list was read at all."""
        return self.directory.list_at > float("-inf")

    def is_settled(self) -> bool:
        """Return whether this node has had time to hear of all agents."""
        return _now() - self._started > defaults.AGENT_FRESH_S

    def hears_relay(self) -> bool:
        """Return whether a control host brings the reports of engines."""
        return _now() - self._digest_at <= defaults.RELAY_LATE_S

    def send_to_agent(self, server: Server, message: Any) -> bool:
        """Send a message to the agent beside a server; return whether it is known."""
        return self.agents.send(server.listed.address, message)

    def _take_list(self, host: str, message: Servers) -> None:
        if self._is_source(host):
            self._replace_list(host, message.servers, message.number, message.age_ms)

    def _take_changes(self, host: str, message: ServerChanges) -> None:
        if self._has_list(host, message.base):
            known = [server.listed for server in self.directory.servers.values()]
            servers = apply_changes(known, message.changed, message.gone)
            self._replace_list(host, servers, message.number, message.age_ms)

    def _take_age(self, host: str, message: ServerListAge) -> None:
        if self._has_list(host, message.number):
            read_at = _now() - message.age_ms / defaults.MS_PER_S
            self.directory.list_at = max(self.directory.list_at, read_at)

    def _is_source(self, host: str) -> bool:
        return self.kernel.find("feed").source in ("", host)

    def _has_list(self, host: str, number: int) -> bool:
        """Return whether this node has a control host's list; ask for it if not.

        Other control hosts may go on sending after this node has moved. Their lists
        are numbered in their own way.
        """
        if not self._is_source(host):
            return False
        if self._list_base == (host, number):
            return True
        self._send_to_relay(FetchServers())
        return False

    def _replace_list(
        self, host: str, servers: list[ListedServer], number: int, age_ms: int
    ) -> None:
        read_at = _now() - age_ms / defaults.MS_PER_S
        if read_at < self.directory.list_at:
            # It lacks what this node has already read of.
            self._list_base = ("", 0)
            return
        self._list_base = (host, number)
        change = self.directory.take_list(servers, read_at)
        for listed in change.found:
            events.emit(
                _logger,
                events.SERVER_FOUND,
                server=listed.server,
                service=listed.service,
                address=listed.address,
                age_ms=age_ms,
            )
        for listed in change.left:
            events.emit(
                _logger,
                events.SERVER_LEFT,
                server=listed.server,
                address=listed.address,
                is_leaving=listed.is_leaving,
                remaining_ms=listed.remaining_ms,
                age_ms=age_ms,
            )
        self.notify()

    def _take_hosts(self, host: str, message: ControlHosts) -> None:
        self.kernel.find("controllers").set_hosts(message.ips, host)

    def _find_agents(self) -> None:
        """Take from the nodes' reports where the agents listen."""
        own = self.kernel.settings.node
        self.agents.set_endpoints(
            {
                report.backends[0].backend: AgentEndpoint(report.node, report.address)
                for report in self.kernel.find("reports").digest.values()
                if report.role == "agent" and report.node != own and report.backends
            }
        )

    def _connect_agent(self, place: AgentEndpoint) -> LinkClient:
        return self.kernel.find("process").connect(
            "agent",
            place.node,
            place.address,
            {
                EngineReport: self._take_report,
                EngineLoad: self._take_load,
                ServerColdTimes: self._take_cold_times,
            },
        )

    def _take_report(self, report: EngineReport) -> None:
        if self.directory.take_report(report, _now()) == TAKEN:
            self.notify()

    def _take_cold_times(self, message: ServerColdTimes) -> None:
        self.kernel.find("cold-servers").take_times(message)

    def _take_load(self, load: EngineLoad) -> None:
        self.directory.take_load(load, _now())

    def _take_digest(self, host: str, digest: EngineDigest) -> None:
        now = self._digest_at = _now()
        is_news = False
        for age_ms, report in digest.reports:
            at = now - age_ms / defaults.MS_PER_S
            is_news |= self.directory.take_report(report, at) == TAKEN
        unknown = [
            load.address
            for age_ms, load in digest.loads
            if self.directory.take_load(load, now - age_ms / defaults.MS_PER_S)
            == UNKNOWN
        ]
        if unknown:
            self._send_to_relay(WantReports(unknown))
        if is_news:
            self.notify()

    def _send_to_relay(self, message: Any) -> None:
        link = self.kernel.find("controllers").links.get(
            self.kernel.find("feed").source
        )
        if link is None:
            return
        try:
            link.send(message)
        except PeerUnavailable:
            # The feed moves to another control host, and this goes there next.
            self._metrics.count("relay_sends_failed_total")

    async def _follow_forever(self) -> None:
        """Ask the control host that feeds this node for the reports of engines."""
        source = ""
        asked_at = float("-inf")
        while True:
            feed = self.kernel.find("feed")
            if feed.source and (
                feed.source != source or _now() - asked_at >= defaults.AGENT_WATCH_S
            ):
                source = feed.source
                asked_at = _now()
                self._send_to_relay(FollowEngines())
            await asyncio.sleep(defaults.FOLLOW_POLL_S)

    async def _watch_agents(self) -> None:
        """Link the agents that no report came of; close links that nobody needs."""
        while True:
            await asyncio.sleep(defaults.AGENT_WATCH_S)
            self._log_relay()
            for address in self._choose_followed():
                self.agents.send(address, FollowEngines())
            self.agents.close_idle()
            self.directory.board.remove_silent(_now() - defaults.RELAY_FORGET_S)

    def _log_relay(self) -> None:
        """Log that the relay was lost or heard again."""
        is_heard = self.hears_relay()
        if is_heard == self._heard_relay:
            return
        self._heard_relay = is_heard
        events.emit(
            _logger,
            events.RELAY_HEARD if is_heard else events.RELAY_SILENT,
            source=self.kernel.find("feed").source,
            late_engines=len(self._find_late()),
            known_engines=len(self.agents.endpoints),
        )

    def _choose_followed(self) -> list[str]:
        """Return the engines whose agents are followed directly.

        In a small fleet those are all: a relay would only add its delay there.
        """
        limit = defaults.DIRECT_FOLLOW_LIMIT
        if len(self.agents.endpoints) <= limit:
            return list(self.agents.endpoints)
        return self._find_late()[:limit]

    def _find_late(self) -> list[str]:
        """Return the engines of which no report came lately, linked ones first."""
        late = _now() - defaults.RELAY_LATE_S
        heard = {a: self.directory.board.find(a) for a in self.agents.endpoints}
        found = [a for a, posted in heard.items() if not posted or posted.at < late]
        return sorted(found, key=lambda address: not self.agents.is_linked(address))

    def notify(self) -> None:
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
