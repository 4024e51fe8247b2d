"""A control host's relay of which backend servers are cold.

Agents tell the control host that feeds them, and the leader reads the platform's list.
The hosts tell each other and the nodes that follow them.
"""

import asyncio
import math
from collections.abc import Sequence
from typing import ClassVar, NamedTuple

from .. import defaults
from ..dialects.fleet import ListedColdTime
from ..exceptions import Forbidden, PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.servers import ServerColdTime, ServerColdTimes
from .link import Peer, Preencoded

__all__ = ["ColdRelay"]

_TELLERS = frozenset({"agent", "entry", "control"})


class _Told(NamedTuple):
    """A cold time and when it was true, on this host's clock."""

    time: ServerColdTime
    at: float


class ColdRelay(Service):
    """Keeps the newest cold time of each server and passes it on."""

    name: ClassVar[str] = "cold-relay"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "control",
        "controllers",
        "relay",
        "view-on-control",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        # By address and whether the server itself said so.
        self._known: dict[tuple[str, bool], _Told] = {}
        # What is to be passed on, and whether to other control hosts too.
        self._news: dict[tuple[str, bool], bool] = {}
        self._has_news = asyncio.Event()
        self._metrics = kernel.find("process").metrics

    async def start(self) -> None:
        """Take what nodes tell and pass it on."""
        self.kernel.find("control").handle(ServerColdTimes, self._take)
        self.kernel.find("relay").listen(self._greet)
        self.spawn(self._share_forever(), essential=True)

    def note_list(self, times: Sequence[ListedColdTime], read_at: float) -> None:
        """Take what the platform's list says of the servers that are cold.

        What it says of others is old beside the word of their agents.

        Args:
            times: The cold times of a page.
            read_at: When the page was asked for.
        """
        if not self._is_wanted():
            return
        for listed in times:
            if not 0 <= listed.cold_ms < math.inf:
                self._metrics.count("cold_times_implausible_total")
                continue
            known = self._known.get((listed.address, False))
            if listed.cold_ms <= 0 and known is not None and not known.time.cold_ms:
                continue
            time = ServerColdTime(
                listed.address, listed.born_ms, listed.cold_ms, 0, False
            )
            self._note(time, read_at, is_shared=True)

    def _is_wanted(self) -> bool:
        table = self.kernel.find("view-on-control").table
        if table is None:
            return False
        return any(service.cold is not None for service in table.services.values())

    def _take(self, peer: Peer, message: ServerColdTimes) -> None:
        if peer.hello is None or peer.hello.role not in _TELLERS:
            raise Forbidden("only a node of the fleet may tell cold times")
        is_shared = peer.hello.role != "control"
        now = _now()
        for time in message.times:
            if math.isnan(time.cold_ms) or time.age_ms < 0:
                self._metrics.count("cold_times_implausible_total")
                continue
            at = now - time.age_ms / defaults.MS_PER_S
            self._note(time, at, is_shared=is_shared)

    def _note(self, time: ServerColdTime, at: float, *, is_shared: bool) -> None:
        key = (time.address, time.is_direct)
        known = self._known.get(key)
        if known is not None and at < known.at:
            return
        self._known[key] = _Told(time, at)
        self._news[key] = self._news.get(key, False) or is_shared
        self._has_news.set()

    def _greet(self, peer: Peer) -> None:
        """Tell a node that begins to follow this host of all servers."""
        self._forget()
        if self._known:
            peer.send(self._build(list(self._known)))

    def _forget(self) -> None:
        horizon = _now() - defaults.RELAY_FORGET_S
        self._known = {k: told for k, told in self._known.items() if told.at > horizon}

    async def _share_forever(self) -> None:
        while True:
            await self._has_news.wait()
            await asyncio.sleep(defaults.COLD_SHARE_S)
            self._has_news.clear()
            news, self._news = self._news, {}
            if own := [key for key, is_shared in news.items() if is_shared]:
                self._tell_hosts(self._build(own))
            shared = Preencoded(self._build(list(news)))
            for peer in self.kernel.find("relay").followers():
                peer.send(shared)

    def _tell_hosts(self, message: ServerColdTimes) -> None:
        for link in self.kernel.find("controllers").links.values():
            try:
                link.send(message)
            except PeerUnavailable:
                # Agents repeat what they know.
                self._metrics.count("cold_times_unsent_total")

    def _build(self, keys: Sequence[tuple[str, bool]]) -> ServerColdTimes:
        now = _now()
        told = [self._known[key] for key in keys if key in self._known]
        return ServerColdTimes(
            [
                time._replace(age_ms=max(int((now - at) * defaults.MS_PER_S), 0))
                for time, at in told
            ]
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
