"""A control host's collection of node reports, shared with the other hosts."""

import asyncio
from collections.abc import Callable
from typing import ClassVar, NamedTuple

from .. import defaults
from ..exceptions import PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.feed import NodeReport, ReportDigest
from .link import Peer

__all__ = ["Gathering", "HeardReport"]


class HeardReport(NamedTuple):
    """A report and when it was made, in seconds of this host's clock."""

    at: float
    report: NodeReport


class Gathering(Service):
    """Holds the newest report of each node.

    Attributes:
        reports: By node name.
    """

    name: ClassVar[str] = "gathering"
    requires: ClassVar[tuple[str, ...]] = ("control", "controllers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.reports: dict[str, HeardReport] = {}
        self._changed_own: set[str] = set()
        self._changed_all: set[str] = set()
        self._wake = asyncio.Event()
        self._listeners: list[Callable[[NodeReport], None]] = []

    def listen(self, listener: Callable[[NodeReport], None]) -> None:
        """Call ``listener`` with each new report."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Take reports and exchange digests."""
        control = self.kernel.find("control")
        control.handle(NodeReport, self._take_report)
        control.handle(ReportDigest, self._take_digest)
        self.spawn(self._share_forever(), essential=True)

    def live(self, now: float) -> dict[str, NodeReport]:
        """Return the reports of nodes that are not suspected to be down."""
        limit = self.kernel.settings.timing.suspicion_s
        return {
            node: heard.report
            for node, heard in self.reports.items()
            if now - heard.at <= limit
        }

    def _take_report(self, peer: Peer, report: NodeReport) -> None:
        hello = peer.hello
        own = hello is not None and (hello.node, hello.role, hello.incarnation)
        if own != (report.node, report.role, report.incarnation):
            return
        self._accept(report, 0)
        self._changed_own.add(report.node)

    def _take_digest(self, peer: Peer, digest: ReportDigest) -> None:
        if peer.hello is None or peer.hello.role != "control":
            return
        for age_ms, report in digest.reports:
            self._accept(report, age_ms)

    def _accept(self, report: NodeReport, age_ms: int) -> None:
        at = asyncio.get_running_loop().time() - age_ms / defaults.MS_PER_S
        known = self.reports.get(report.node)
        if known is not None and not _is_newer(report, at, known):
            return
        self.reports[report.node] = HeardReport(at, report)
        self._changed_all.add(report.node)
        self._wake.set()
        for listener in self._listeners:
            listener(report)

    async def _share_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            self._share()
            await asyncio.sleep(defaults.DIGEST_INTERVAL_S)

    def _share(self) -> None:
        own = self._build(self._changed_own)
        everything = self._build(self._changed_all)
        self._changed_own = set()
        self._changed_all = set()
        if own.reports:
            for link in self.kernel.find("controllers").links.values():
                try:
                    link.send(own)
                except PeerUnavailable:
                    continue
        for peer in self.kernel.find("control").peers():
            if peer.hello is not None and peer.hello.role == "entry":
                peer.send(everything)

    def _build(self, nodes: set[str]) -> ReportDigest:
        now = asyncio.get_running_loop().time()
        return ReportDigest(
            [
                (int((now - heard.at) * defaults.MS_PER_S), heard.report)
                for heard in (self.reports[node] for node in nodes)
            ]
        )


def _is_newer(report: NodeReport, at: float, known: HeardReport) -> bool:
    if report.incarnation != known.report.incarnation:
        return at > known.at
    return report.sequence > known.report.sequence
