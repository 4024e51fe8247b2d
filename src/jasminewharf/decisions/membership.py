"""Failure detection: node liveness derived from periodic reports.

Each process start has an incarnation. Incarnations are random and unordered, so
replaced ones are remembered and their late reports are dropped. A node is suspected
after a time without reports, and is live again only after several consecutive reports,
so that a flapping node is not used. A host is lost after a longer time; models loaded
there no longer count.
"""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from .. import defaults
from ..messages.feed import NodeReport
from .health import FailureDetector

__all__ = ["LIVE", "LOST", "SUSPECTED", "Membership", "MembershipLimits"]

LIVE = "live"
SUSPECTED = "suspected"
LOST = "lost"


class MembershipLimits(NamedTuple):
    """Seconds without a report after which a node is suspected, and lost."""

    suspect_s: float = defaults.SUSPECT_AFTER_S
    lost_s: float = defaults.LOST_AFTER_S


class _Member:
    def __init__(self, report: NodeReport, at: float) -> None:
        self.report = report
        self.last_report_at = at
        self.retired: deque[int] = deque(maxlen=defaults.RETIRED_INCARNATIONS)


class Membership:
    """The newest report and the liveness state of each node.

    Args:
        limits: Times after which a node is suspected and lost.
        started_at: When this observer started; no node is lost until it has observed
            for ``lost_s``.
    """

    def __init__(self, limits: MembershipLimits, started_at: float) -> None:
        self._limits = limits
        self._started_at = started_at
        self._members: dict[str, _Member] = {}
        self._failure_detector = FailureDetector(limits.suspect_s)

    def record_report(self, report: NodeReport, at: float) -> bool:
        """Record a report made at ``at``; return whether it was accepted.

        Reports of a replaced incarnation and out-of-order reports are not.
        """
        member = self._members.get(report.node)
        if member is None:
            self._members[report.node] = _Member(report, at)
            self._failure_detector.record_report(report.node, at)
            return True
        if report.incarnation in member.retired:
            return False
        if report.incarnation == member.report.incarnation:
            if report.sequence <= member.report.sequence:
                return False
        else:
            member.retired.append(member.report.incarnation)
        member.report = report
        member.last_report_at = max(member.last_report_at, at)
        self._failure_detector.record_report(report.node, member.last_report_at)
        return True

    def state(self, node: str, now: float) -> str:
        """Return ``LIVE``, ``SUSPECTED`` or ``LOST``; an unknown node is lost."""
        member = self._members.get(node)
        if member is None:
            return LOST
        silent_s = now - member.last_report_at
        listening_s = now - self._started_at
        if silent_s > self._limits.lost_s and listening_s > self._limits.lost_s:
            return LOST
        return SUSPECTED if self._failure_detector.is_suspected(node, now) else LIVE

    def report(self, node: str) -> NodeReport | None:
        """Return the newest report of a node."""
        member = self._members.get(node)
        return member.report if member else None

    def age_s(self, node: str, now: float) -> float:
        """Return the age of a known node's newest report in seconds."""
        return now - self._members[node].last_report_at

    def nodes(self) -> Iterator[str]:
        """Yield the names of all tracked nodes."""
        yield from self._members

    def live(self, now: float) -> dict[str, NodeReport]:
        """Return the newest reports of all live nodes."""
        return {
            node: member.report
            for node, member in self._members.items()
            if self.state(node, now) == LIVE
        }

    def find_lost_hosts(self, hosts: set[str], now: float) -> set[str]:
        """Return those of ``hosts`` without an agent report for the lost timeout."""
        if now - self._started_at <= self._limits.lost_s:
            return set()
        heard = {
            member.report.host
            for node, member in self._members.items()
            if member.report.role == "agent" and self.state(node, now) != LOST
        }
        return hosts - heard

    def forget_lost(self, now: float) -> list[str]:
        """Remove nodes that have been lost for long; return their names."""
        horizon = now - defaults.FORGET_AFTER_S
        old = [
            n for n, member in self._members.items() if member.last_report_at < horizon
        ]
        for node in old:
            del self._members[node]
            self._failure_detector.forget(node)
        return old

    def is_life_over(self, incarnation: int, now: float) -> bool:
        """Return whether an incarnation is known to have ended or to be partitioned."""
        for node, member in self._members.items():
            if member.report.incarnation == incarnation:
                return self.state(node, now) != LIVE
        return now - self._started_at > self._limits.lost_s
