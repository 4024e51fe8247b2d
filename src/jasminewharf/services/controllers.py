"""Requests to the control hosts: finds the leader and follows its changes."""

import asyncio
from typing import Any, ClassVar

from .. import defaults
from ..exceptions import (
    JasminewharfError,
    LinkError,
    LinkTimeout,
    NotLeader,
    PeerUnavailable,
    QuorumLost,
)
from ..kernel import Kernel, Service
from ..settings import ControlHost
from .link import LinkClient

__all__ = ["Controllers"]

# In place of a source's name: the last leader that had no link.
_NAMED_LEADER = "leader"


class Controllers(Service):
    """Links to all other control hosts.

    Attributes:
        links: Links by control host name, without this process's own host.
    """

    name: ClassVar[str] = "controllers"
    requires: ClassVar[tuple[str, ...]] = ("process",)

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.links: dict[str, LinkClient] = {}
        self._leaders: dict[str, str] = {}
        self._named: dict[str, set[str]] = {}
        self._leaderless_at: dict[str, float] = {}
        self._unresponsive_until: dict[str, float] = {}
        self._handlers: dict[type, Any] = {}

    def handle(self, kind: type, handler: Any) -> None:
        """Register ``handler(host, message)`` for one-way messages of ``kind``."""
        self._handlers[kind] = handler

    async def start(self) -> None:
        """Connect to every control host."""
        for host in self.kernel.settings.control:
            self._connect(host)

    def _connect(self, host: ControlHost) -> None:
        if host.name == self.kernel.settings.node or host.name in self.links:
            return
        self.links[host.name] = self.kernel.find("process").connect(
            "control",
            host.name,
            host.address,
            _HostHandlers(host.name, self._handlers),
        )

    def set_hosts(self, ips: list[str], source: str = "") -> None:
        """Update the links after ``source`` named control hosts.

        A host that no source names any more loses its link, but not while it is
        connected: lists may be outdated, and a link costs little.

        Args:
            ips: The IP addresses, which replace those that this source named before.
            source: A control host, or empty for the settings.
        """
        fleet = self.kernel.settings.fleet
        self._named[source] = set(ips)
        for ip in ips:
            self._connect(fleet.control_host(ip))
        known = {host.name for host in self.kernel.settings.control}
        known |= set().union(*self._named.values())
        for name in [name for name in self.links if name not in known]:
            if not self.links[name].is_connected:
                self.links.pop(name).close()
                self._named.pop(name, None)

    def find_leader(self, group: str) -> LinkClient | None:
        """Return the link to the last known leader of ``group``; None if unknown."""
        return self.links.get(self._leaders.get(group, ""))

    def leaderless_at(self, group: str) -> float:
        """Return when a control host last said that it knows no leader."""
        return self._leaderless_at.get(group, float("-inf"))

    async def stop(self) -> None:
        """Close the links."""
        await super().stop()
        for link in self.links.values():
            link.close()

    async def request(
        self,
        group: str,
        message: Any,
        timeout_s: float = defaults.LINK_REQUEST_TIMEOUT_S,
    ) -> Any:
        """Send a request to the leader of ``group`` and return its answer.

        A request that was not accepted is sent again to another control host. A
        request that may have been executed is not repeated.

        Raises:
            QuorumLost: If no leader accepted the request; it was not executed.
            LinkTimeout: If the outcome is unknown.
            JasminewharfError: The error that the leader returned.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while (remaining := deadline - loop.time()) > 0:
            name = self._choose(group)
            if not name:
                # This is the only control host, and it is not the leader.
                break
            try:
                answer = await self.links[name].request(message, remaining)
                # One-way messages are sent to the leader recorded here.
                self._leaders[group] = name
                return answer
            except NotLeader as error:
                if not error.leader:
                    self._leaderless_at[group] = loop.time()
                self._note_leader(group, error.leader, name)
            except PeerUnavailable:
                self._note_leader(group, "", name)
            except LinkTimeout:
                # A frozen host keeps its connection, so other hosts are preferred.
                self._note_leader(group, "", name)
                self._unresponsive_until[name] = loop.time() + defaults.CONTROL_SILENT_S
                raise
            await asyncio.sleep(defaults.CONTROL_RETRY_S)
        raise QuorumLost(f"no leader of {group} answered within {timeout_s:g} s")

    async def request_repeatable(
        self,
        group: str,
        message: Any,
        timeout_s: float = defaults.LINK_REQUEST_TIMEOUT_S,
        attempt_s: float = defaults.CONTROL_ATTEMPT_S,
    ) -> Any:
        """Send an idempotent request, repeating it until it is answered.

        Raises:
            QuorumLost: If no answer came within ``timeout_s``.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while (remaining := deadline - loop.time()) > 0:
            try:
                return await self.request(group, message, min(remaining, attempt_s))
            except (LinkTimeout, QuorumLost):
                self._leaders.pop(group, None)
                await asyncio.sleep(defaults.CONTROL_RETRY_S)
        raise QuorumLost(f"no leader of {group} answered within {timeout_s:g} s")

    def _choose(self, group: str) -> str:
        """Return the control host to ask; an empty name if there is none."""
        leader = self.find_leader(group)
        if leader is not None and leader.is_connected:
            return self._leaders[group]
        connected = [name for name, link in self.links.items() if link.is_connected]
        now = asyncio.get_running_loop().time()
        responsive = [
            n for n in connected if self._unresponsive_until.get(n, now) <= now
        ]
        connected = responsive or connected
        if not self.links:
            return ""
        return self.kernel.find("process").random.choice(connected or list(self.links))

    def _note_leader(self, group: str, leader: str, asked: str) -> None:
        # A member's identity is its host name, a slash and its disk's identity.
        host = leader.partition("/")[0]
        if host and host not in self.links:
            self._connect_leader(host)
        if host in self.links:
            self._leaders[group] = host
        elif self._leaders.get(group) == asked:
            del self._leaders[group]

    def _connect_leader(self, host: str) -> None:
        """Link to a leader that only another control host knows.

        The settings of a fleet that is found name some control hosts at most. Those of
        other fleets, and of the operators' tool, name all.
        """
        if getattr(self.kernel.settings, "fleet", None) is not None:
            self.set_hosts([host], _NAMED_LEADER)


class _HostHandlers(dict):
    """Handlers of one link, which also receive the control host's name."""

    def __init__(self, host: str, shared: dict[type, Any]) -> None:
        super().__init__()
        self._host = host
        self._shared = shared

    def get(self, kind: type, default: Any = None) -> Any:
        """Return the handler of ``kind`` bound to the control host."""
        handler = self._shared.get(kind)
        if handler is None:
            return default
        return lambda message: handler(self._host, message)


def is_outcome_unknown(error: JasminewharfError) -> bool:
    """Return whether the failed request may have been executed."""
    return isinstance(error, LinkError) and not isinstance(error, PeerUnavailable)
