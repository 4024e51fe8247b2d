"""Reports of a node to its control host, and the digest that comes back."""

import asyncio
from collections.abc import Callable
from typing import ClassVar, NamedTuple

from .. import defaults
from ..decisions.membership import Membership, MembershipLimits
from ..exceptions import PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.feed import BackendReport, Demand, NodeReport, ReportDigest

__all__ = ["ReadyEstimate", "Reporter"]


class ReadyEstimate(NamedTuple):
    """When a model is expected to serve, on the event loop's clock.

    ``entries`` is the number of entries at which requests for it wait.
    """

    at: float
    entries: int


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
        self._membership = Membership(
            MembershipLimits(), asyncio.get_running_loop().time()
        )
        self._pools: dict[str, list[NodeReport]] = {}
        self._estimates: dict[tuple[str, str], ReadyEstimate] = {}
        self._wake = asyncio.Event()

    def listen(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each digest."""
        self._listeners.append(listener)

    def agents_of(self, pool: str) -> list[NodeReport]:
        """Return the reports of agents with a backend server in ``pool``."""
        return self._pools.get(pool, [])

    def find_estimate(self, service: str, model: str) -> ReadyEstimate | None:
        """Return when a model is expected to serve; None if nobody has told."""
        return self._estimates.get((service, model))

    def report_now(self) -> None:
        """Send a report without waiting for the interval's end."""
        self._wake.set()

    async def start(self) -> None:
        """Start reporting."""
        self.kernel.find("controllers").handle(ReportDigest, self._take_digest)
        self.kernel.find("feed").listen(lambda applied: self.report_now())
        self.spawn(self._report_forever(), essential=True)

    def leave(self) -> None:
        """Tell the control host at once that this node takes no new work."""
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
        for age_ms, report in digest.reports:
            at = asyncio.get_running_loop().time() - age_ms / defaults.MS_PER_S
            if self._membership.record_report(report, at):
                self.digest[report.node] = report
        for node in digest.gone:
            self.digest.pop(node, None)
        self._index_pools()
        self._take_estimates(digest)
        for listener in self._listeners:
            listener()

    def _index_pools(self) -> None:
        self._pools = {}
        for report in self.digest.values():
            for pool in {backend.pool for backend in report.backends}:
                self._pools.setdefault(pool, []).append(report)

    def _take_estimates(self, digest: ReportDigest) -> None:
        now = asyncio.get_running_loop().time()
        for estimate in digest.estimates:
            ready_at = now + estimate.ready_ms / defaults.MS_PER_S
            self._estimates[(estimate.service, estimate.model)] = ReadyEstimate(
                ready_at, estimate.entries
            )
        stale = now - defaults.ESTIMATE_KEPT_S
        for key in [key for key, item in self._estimates.items() if item.at < stale]:
            del self._estimates[key]
