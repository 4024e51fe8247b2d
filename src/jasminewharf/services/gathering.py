"""A control host's collection of node reports, shared with the other hosts."""

import asyncio
from collections.abc import Callable
from typing import ClassVar

from .. import defaults
from ..decisions.membership import Membership, MembershipLimits
from ..exceptions import PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.feed import LoadEstimate, NodeReport, ReportDigest
from .link import Peer

__all__ = ["Gathering"]


class Gathering(Service):
    """Collects reports and passes them on.

    The reports of this host's own nodes go to the other control hosts, the changed
    reports of all agents to this host's entries.

    Attributes:
        membership: What is believed of each node.
    """

    name: ClassVar[str] = "gathering"
    requires: ClassVar[tuple[str, ...]] = ("control", "controllers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        timing = kernel.settings.timing
        self.membership = Membership(
            MembershipLimits(timing.suspicion_s, timing.host_lost_s), _now()
        )
        # Agents that find each other compare what their engines hold.
        is_fleet = kernel.settings.fleet is not None
        self._followers = {"entry", "agent"} if is_fleet else {"entry"}
        self._changed_own: set[str] = set()
        self._changed_agents: set[str] = set()
        self._estimates: list[LoadEstimate] = []
        self._relayed: list[LoadEstimate] = []
        self._told: set[bytes] = set()
        self._told_at: dict[str, float] = {}
        self._wake = asyncio.Event()
        self._listeners: list[Callable[[NodeReport], None]] = []

    def listen(self, listener: Callable[[NodeReport], None]) -> None:
        """Call ``listener`` with each new report."""
        self._listeners.append(listener)

    def live(self) -> dict[str, NodeReport]:
        """Return the newest reports of all live nodes."""
        return self.membership.live(_now())

    def set_estimates(self, estimates: list[LoadEstimate]) -> None:
        """Tell all entries when models that they wait for are expected to serve."""
        self._estimates = estimates
        self._wake.set()

    async def start(self) -> None:
        """Take reports and exchange digests."""
        control = self.kernel.find("control")
        control.handle(NodeReport, self._take_report)
        control.handle(ReportDigest, self._take_digest)
        self.spawn(self._share_forever(), essential=True)

    def _take_report(self, peer: Peer, report: NodeReport) -> None:
        hello = peer.hello
        own = hello is not None and (hello.node, hello.role, hello.incarnation)
        if own != (report.node, report.role, report.incarnation):
            return
        if self._accept(report, 0):
            self._changed_own.add(report.node)
        if report.role in self._followers and peer.routing_id not in self._told:
            self._told.add(peer.routing_id)
            self._tell_everything(peer)

    def _tell_everything(self, peer: Peer) -> None:
        """Send a new entry all agents' reports, since digests hold only changes."""
        agents = [
            node for node, report in self.live().items() if report.role == "agent"
        ]
        peer.send(self._build(set(agents)))

    def _take_digest(self, peer: Peer, digest: ReportDigest) -> None:
        if peer.hello is None or peer.hello.role != "control":
            return
        for age_ms, report in digest.reports:
            self._accept(report, age_ms)
        if digest.estimates:
            self._relayed = digest.estimates
            self._wake.set()

    def _accept(self, report: NodeReport, age_ms: int) -> bool:
        before = self.membership.report(report.node)
        if not self.membership.record_report(
            report, _now() - age_ms / defaults.MS_PER_S
        ):
            return False
        if report.role == "agent" and self._is_news(before, report):
            self._changed_agents.add(report.node)
            self._told_at[report.node] = _now()
        self._wake.set()
        for listener in self._listeners:
            listener(report)
        return True

    def _is_news(self, before: NodeReport | None, report: NodeReport) -> bool:
        """Return whether entries need to hear of the report now.

        An answer carries the load of its backend server, so that entries need load
        from digests only seldom. With 307 agents and 583 bytes a report, one update a
        second would cost each entry 179 kB/s.
        """
        if before is None or _strip_load(before) != _strip_load(report):
            return True
        if _strip_counters(before) == _strip_counters(report):
            return False
        told_at = self._told_at.get(report.node, float("-inf"))
        return _now() - told_at >= defaults.DIGEST_LOAD_INTERVAL_S

    async def _share_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            self._share()
            await asyncio.sleep(defaults.DIGEST_INTERVAL_S)

    def _share(self) -> None:
        own = self._build(self._changed_own)
        own = own._replace(estimates=self._estimates)
        digest = self._build(self._changed_agents)
        digest = digest._replace(
            estimates=self._estimates + self._relayed,
            gone=self.membership.forget_lost(_now()),
        )
        self._changed_own = set()
        self._changed_agents = set()
        self._estimates = []
        self._relayed = []
        if own.reports or own.estimates:
            self._send_to_controls(own)
        if any(digest):
            self._send_to_entries(digest)

    def _send_to_controls(self, digest: ReportDigest) -> None:
        for link in self.kernel.find("controllers").links.values():
            try:
                link.send(digest)
            except PeerUnavailable:
                continue

    def _send_to_entries(self, digest: ReportDigest) -> None:
        live = set()
        for peer in self.kernel.find("control").peers():
            if peer.hello is not None and peer.hello.role in self._followers:
                live.add(peer.routing_id)
                peer.send(digest)
        self._told &= live

    def _build(self, nodes: set[str]) -> ReportDigest:
        now = _now()
        reports = []
        for node in nodes:
            report = self.membership.report(node)
            if report is not None:
                age_ms = int(self.membership.age_s(node, now) * defaults.MS_PER_S)
                reports.append((age_ms, report))
        return ReportDigest(reports)


def _strip_counters(report: NodeReport) -> NodeReport:
    """Return a report without what changes with every heartbeat."""
    return report._replace(sequence=0, version=0)


def _strip_load(report: NodeReport) -> NodeReport:
    """Return a report without what changes with every call."""
    backends = [
        item._replace(running=0, queued=0, queued_tokens=0, tokens_per_s=0.0)
        for item in report.backends
    ]
    return _strip_counters(report)._replace(backends=backends)


def _now() -> float:
    return asyncio.get_running_loop().time()
