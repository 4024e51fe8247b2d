"""Reports of a node to its control host, and the digest that comes back."""

import asyncio
from collections.abc import Callable
from typing import ClassVar

from ..exceptions import PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.feed import BackendReport, Demand, NodeReport, ReportDigest

__all__ = ["Reporter"]


class Reporter(Service):
    """Sends a report at each interval, and at once when told to.

    Attributes:
        digest: The newest known report of each node, by node name.
    """

    name: ClassVar[str] = "reports"
    requires: ClassVar[tuple[str, ...]] = ("process", "controllers", "feed")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.digest: dict[str, NodeReport] = {}
        self.leaving = False
        self.address = ""
        self.read_backends: Callable[[], list[BackendReport]] = list
        self.read_demands: Callable[[], list[Demand]] = list
        self._listeners: list[Callable[[], None]] = []
        self._sequence = 0
        self._wake = asyncio.Event()

    def listen(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each digest."""
        self._listeners.append(listener)

    def report_now(self) -> None:
        """Send a report without waiting for the interval's end."""
        self._wake.set()

    async def start(self) -> None:
        """Start reporting."""
        self.kernel.find("controllers").handle(ReportDigest, self._take_digest)
        self.kernel.find("feed").listen(lambda applied: self.report_now())
        self.spawn(self._report_forever(), essential=True)

    async def drain(self) -> None:
        """Tell the control host that this node is leaving."""
        self.leaving = True
        self._send()

    async def _report_forever(self) -> None:
        interval_s = self.kernel.settings.timing.report_interval_s
        while True:
            self._send()
            try:
                async with asyncio.timeout(interval_s):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    def _send(self) -> None:
        source = self.kernel.find("feed").source
        link = self.kernel.find("controllers").links.get(source)
        if link is None:
            return
        try:
            link.send(self._build())
        except PeerUnavailable:
            return

    def _build(self) -> NodeReport:
        self._sequence += 1
        settings = self.kernel.settings
        identity = self.kernel.find("process").identity
        return NodeReport(
            identity.node,
            identity.role,
            settings.host_name,
            settings.zone,
            identity.incarnation,
            self._sequence,
            self.kernel.find("feed").state.version,
            self.address,
            settings.memory_mb,
            self.leaving,
            self.read_backends(),
            self.read_demands(),
        )

    def _take_digest(self, host: str, digest: ReportDigest) -> None:
        for _, report in digest.reports:
            known = self.digest.get(report.node)
            if known is None or _is_newer(report, known):
                self.digest[report.node] = report
        for listener in self._listeners:
            listener()


def _is_newer(report: NodeReport, known: NodeReport) -> bool:
    if report.incarnation != known.incarnation:
        return True
    return report.sequence > known.sequence
