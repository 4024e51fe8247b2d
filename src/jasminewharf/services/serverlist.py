"""The control hosts' reading of the platform's list of backend servers.

The leader reads and passes the list to the other control hosts, which send it to
the nodes that follow them. A control host that has not heard of the list for a
while reads it itself, so that a leaderless time does not leave nodes without it.
"""

import asyncio
import logging
from typing import Any, ClassVar

from .. import defaults, events
from ..decisions.listchanges import compare_lists
from ..decisions.records import host_name
from ..dialects.fleet import SERVER_LISTS, ListedServer
from ..exceptions import BackendError, PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.servers import (
    FetchServers,
    ServerChanges,
    ServerListAge,
    Servers,
)
from ..registry import lookup
from .client import HttpClient
from .control import FLEET_GROUP
from .link import Peer

__all__ = ["ServerListReader"]

_logger = logging.getLogger(__name__)


class ServerListReader(Service):
    """Reads, relays and publishes the list.

    Attributes:
        zones: The availability zones of all servers that were listed in this life.
    """

    name: ClassVar[str] = "server-list"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "log",
        "control",
        "controllers",
        "broadcast",
        "relay",
        "cold-relay",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        fleet = kernel.settings.fleet
        self._client = HttpClient(fleet.list_address)
        self._client.metrics = kernel.find("process").metrics
        self._list = lookup(SERVER_LISTS, fleet.dialect)
        self._servers: list[ListedServer] = []
        self._published: list[ListedServer] | None = None
        self._number = 0
        self._read_at = float("-inf")
        self._failures = 0
        # Kept after a zone has lost its last server.
        self.zones: set[str] = set()

    async def start(self) -> None:
        """Take lists that other control hosts read, and read at intervals."""
        control = self.kernel.find("control")
        control.handle(Servers, self._take)
        control.handle(FetchServers, self._send_all)
        self.spawn(self._read_forever(), essential=True)

    async def stop(self) -> None:
        """Close the connection."""
        await super().stop()
        self._client.close()

    async def _read_forever(self) -> None:
        while True:
            if self._is_reader():
                await self._read_once()
            await asyncio.sleep(defaults.SERVER_LIST_INTERVAL_S)

    def _is_reader(self) -> bool:
        if self.kernel.find("log").is_leader(FLEET_GROUP):
            return True
        return self._is_stale

    @property
    def is_current(self) -> bool:
        """Whether the list was read lately."""
        return not self._is_stale

    @property
    def _is_stale(self) -> bool:
        return _now() - self._read_at > defaults.SERVER_LIST_STALE_S

    async def _read_once(self) -> None:
        started = _now()
        try:
            servers = await self._read_pages()
        except BackendError as error:
            self._failures += 1
            self.kernel.find("process").metrics.count("server_list_failures_total")
            events.emit(
                _logger,
                events.SERVER_LIST_UNREADABLE,
                error=error,
                failures=self._failures,
            )
            return
        self._failures = 0
        self._accept(servers, started)
        self._relay()

    async def _read_pages(self) -> list[ListedServer]:
        servers: list[ListedServer] = []
        started = _now()
        page = ""
        for _ in range(defaults.SERVER_LIST_PAGES_LIMIT):
            call = self._list.fetch_page(page)
            status, body = await self._client.fetch(
                call.method,
                call.target,
                timeout_s=defaults.SERVER_LIST_TIMEOUT_S,
                # An earlier page must not pass for this one.
                is_exclusive=True,
            )
            answer = self._list.read_page(status, body)
            servers.extend(answer.servers)
            self.kernel.find("cold-relay").note_list(answer.cold, started)
            if answer.skipped:
                self.kernel.find("process").metrics.count(
                    "server_list_entries_skipped_total", answer.skipped
                )
            if not answer.following:
                return servers
            page = answer.following
        raise BackendError("the list does not end")

    def _accept(self, servers: list[ListedServer], read_at: float) -> None:
        if read_at < self._read_at:
            return
        self._read_at = read_at
        self._servers = servers
        self.zones.update(listed.zone for listed in servers)
        broadcast = self.kernel.find("broadcast")
        thin = [self._strip_models(listed) for listed in servers]
        if thin == self._published:
            broadcast.notify(ServerListAge(_age_ms(read_at), self._number))
            return
        changed, gone = compare_lists(self._published or [], thin)
        self._published = thin
        self._number += 1
        events.emit(
            _logger,
            events.SERVER_LIST_CHANGED,
            servers=len(servers),
            changed=len(changed),
            gone=len(gone),
        )
        change = ServerChanges(
            _age_ms(read_at), self._number - 1, self._number, changed, gone
        )
        broadcast.publish(Servers(_age_ms(read_at), thin, self._number), change)

    def _strip_models(self, listed: ListedServer) -> ListedServer:
        """Return an entry without models where nodes have them from an agent.

        They change with every load, and what agents tell of them is fresher.
        """
        if not listed.models or not self.kernel.find("relay").hears(listed.address):
            return listed
        return listed._replace(models=())

    def _send_all(self, peer: Peer, message: FetchServers) -> None:
        if self._published is not None:
            peer.send(Servers(_age_ms(self._read_at), self._published, self._number))

    def _relay(self) -> None:
        """Pass the list on to the other control hosts."""
        message: Any = Servers(_age_ms(self._read_at), self._servers)
        for link in self.kernel.find("controllers").links.values():
            try:
                link.send(message)
            except PeerUnavailable:
                continue

    def _take(self, peer: Peer, message: Servers) -> None:
        if peer.hello is None or peer.hello.role != "control":
            return
        if self._may_be_late(peer):
            return
        self._accept(message.servers, _now() - message.age_ms / defaults.MS_PER_S)

    def _may_be_late(self, peer: Peer) -> bool:
        """Return whether another host's list has to do.

        A list bears its age when it was sent, so that one of a former leader that was
        held on a link looks newer than it is.
        """
        leader = host_name(self.kernel.find("log").leader(FLEET_GROUP))
        return leader not in ("", peer.node) and not self._is_stale


def _age_ms(read_at: float) -> int:
    return int((_now() - read_at) * defaults.MS_PER_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
