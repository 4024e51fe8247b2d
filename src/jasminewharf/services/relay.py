"""A control host's relay of what agents tell of their engines.

An agent tells the control host that feeds it; the hosts tell each other what their
own agents told; and each tells the nodes that follow it, all in one message an
interval. So a node gets a few messages a second, however many engines there are.
"""

import asyncio
from collections.abc import Callable
from typing import ClassVar

from .. import defaults
from ..decisions.enginereports import (
    TAKEN,
    UNKNOWN,
    EngineReportTable,
    TimedReport,
    extract_load,
)
from ..exceptions import PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.servers import (
    EngineDigest,
    EngineLoad,
    EngineReport,
    FollowEngines,
    WantReports,
)
from .link import LinkClient, Peer, Preencoded

__all__ = ["EngineRelay"]

_FOLLOWERS = frozenset({"entry", "agent"})


class EngineRelay(Service):
    """Keeps the newest report of each engine and passes on what changed."""

    name: ClassVar[str] = "relay"
    requires: ClassVar[tuple[str, ...]] = ("process", "control", "controllers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._board = EngineReportTable()
        self._followers: dict[bytes, tuple[Peer, float]] = {}
        self._listeners: list[Callable[[Peer], None]] = []
        # Addresses with whether the whole report is to be passed on.
        self._own: dict[str, bool] = {}
        self._all: dict[str, bool] = {}
        self._spread_at = 0.0
        self._metrics = kernel.find("process").metrics

    async def start(self) -> None:
        """Take reports and pass them on."""
        control = self.kernel.find("control")
        control.handle(EngineReport, self._take_report)
        control.handle(EngineLoad, self._take_load)
        control.handle(EngineDigest, self._take_digest)
        control.handle(FollowEngines, self._follow)
        control.handle(WantReports, self._send_wanted)
        self.kernel.find("controllers").handle(EngineDigest, self._take_answer)
        self.spawn(self._share_forever(), essential=True)
        self._metrics.watch("relay_followers", lambda: len(self._followers))

    def listen(self, listener: Callable[[Peer], None]) -> None:
        """Call ``listener`` with each node that begins to follow this host."""
        self._listeners.append(listener)

    def followers(self) -> list[Peer]:
        """Return the nodes that follow this host."""
        return [peer for peer, _ in self._followers.values()]

    def hears(self, address: str) -> bool:
        """Return whether an engine's agent was heard lately."""
        posted = self._board.find(address)
        return posted is not None and _now() - posted.at <= defaults.RELAY_LATE_S

    # What comes in.

    def _take_report(self, peer: Peer, report: EngineReport) -> None:
        if peer.hello is None or peer.hello.role != "agent":
            return
        if self._board.update_report(report, _now()) == TAKEN:
            self._own[report.address] = True
            self._all[report.address] = True

    def _take_load(self, peer: Peer, load: EngineLoad) -> None:
        if peer.hello is None or peer.hello.role != "agent":
            return
        outcome = self._board.update_load(load, _now())
        if outcome == TAKEN:
            self._own.setdefault(load.address, False)
            self._all.setdefault(load.address, False)
        elif outcome == UNKNOWN:
            peer.send(WantReports([load.address]))

    def _take_digest(self, peer: Peer, digest: EngineDigest) -> None:
        if peer.hello is not None and peer.hello.role == "control":
            self._merge(peer.node, digest)

    def _take_answer(self, host: str, digest: EngineDigest) -> None:
        self._merge(host, digest)

    def _merge(self, host: str, digest: EngineDigest) -> None:
        now = _now()
        for age_ms, report in digest.reports:
            if (
                self._board.update_report(report, now - age_ms / defaults.MS_PER_S)
                == TAKEN
            ):
                self._all[report.address] = True
        unknown = []
        for age_ms, load in digest.loads:
            outcome = self._board.update_load(load, now - age_ms / defaults.MS_PER_S)
            if outcome == TAKEN:
                self._all.setdefault(load.address, False)
            elif outcome == UNKNOWN:
                unknown.append(load.address)
        link = self.kernel.find("controllers").links.get(host)
        if unknown and link is not None:
            self._send(link, WantReports(unknown))

    # What goes out.

    def _follow(self, peer: Peer, message: FollowEngines) -> None:
        if peer.hello is None or peer.hello.role not in _FOLLOWERS:
            return
        is_new = peer.routing_id not in self._followers
        self._followers[peer.routing_id] = (peer, _now())
        if is_new:
            whole = {address: True for address, _ in self._board.items()}
            peer.send(self._build(whole))
            for listener in self._listeners:
                listener(peer)

    def _send_wanted(self, peer: Peer, wanted: WantReports) -> None:
        peer.send(self._build(dict.fromkeys(wanted.addresses, True)))

    async def _share_forever(self) -> None:
        while True:
            await asyncio.sleep(defaults.RELAY_INTERVAL_S)
            self._board.remove_silent(_now() - defaults.RELAY_FORGET_S)
            self._share()
            if _now() - self._spread_at >= defaults.RELAY_SPREAD_S:
                self._spread_at = _now()
                self._spread()

    def _share(self) -> None:
        """Tell the other control hosts what this host's agents told."""
        own, self._own = self._own, {}
        if own:
            digest = self._build(own)
            for link in self.kernel.find("controllers").links.values():
                self._send(link, digest)

    def _spread(self) -> None:
        """Tell the followers what is new of all engines."""
        changed, self._all = self._all, {}
        self._drop_silent_followers()
        if changed and self._followers:
            shared = Preencoded(self._build(changed))
            for peer, _ in self._followers.values():
                peer.send(shared)

    def _send(self, link: LinkClient, message: object) -> None:
        try:
            link.send(message)
        except PeerUnavailable:
            # What a host misses it asks for once it hears the next load.
            self._metrics.count("relay_sends_failed_total")

    def _drop_silent_followers(self) -> None:
        horizon = _now() - defaults.RELAY_FOLLOW_S
        gone = [
            key
            for key, (peer, heard_at) in self._followers.items()
            if heard_at < horizon or peer.is_forgotten
        ]
        for key in gone:
            del self._followers[key]

    def _build(self, addresses: dict[str, bool]) -> EngineDigest:
        digest = EngineDigest([], [])
        now = _now()
        for address, is_whole in addresses.items():
            posted = self._board.find(address)
            if posted is None:
                continue
            age_ms = _age_ms(posted, now)
            if is_whole:
                digest.reports.append((age_ms, posted.report))
            else:
                digest.loads.append((age_ms, extract_load(posted.report)))
        return digest


def _age_ms(posted: TimedReport, now: float) -> int:
    return max(int((now - posted.at) * defaults.MS_PER_S), 0)


def _now() -> float:
    return asyncio.get_running_loop().time()
