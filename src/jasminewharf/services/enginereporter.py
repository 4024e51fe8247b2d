"""Publishes the reports of an agent's engine.

Entries that are linked to the agent get a report directly when the engine's models
change, and nodes that follow the agent get every report. All reports also go to the
control host that serves this agent's feed, which relays them to the other nodes.
"""

import asyncio
import math
import time
from collections.abc import Callable
from typing import Any

from .. import defaults
from ..decisions.enginereports import extract_load
from ..exceptions import PeerUnavailable
from ..kernel import Kernel
from ..messages.servers import EngineReport, FollowEngines, WantReports
from .link import Peer

__all__ = ["EngineReporter"]


class EngineReporter:
    """Numbers and sends the reports of one incarnation of an agent.

    Attributes:
        peers: Returns the nodes that are linked to this agent.
        must_report: Whether the next report is sent in full even if unchanged.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self.peers: Callable[[], list[Peer]] = list
        self.must_report = False
        self._report: EngineReport | None = None
        self._sent_at = 0.0
        self._life_ms = int(time.time() * defaults.MS_PER_S)
        self._number = 0
        self._load_number = 0
        # The report that was last sent to all linked nodes.
        self._told: EngineReport | None = None
        self._followers: dict[bytes, float] = {}
        self._relay = ""
        self._relayed_at = 0.0
        self._is_relayed = True

    def send_latest(self, peer: Peer) -> None:
        """Send the latest report to a peer."""
        if self._report is not None:
            peer.send(self._report)

    def add_follower(self, peer: Peer, message: FollowEngines) -> None:
        """Send every report to a node for ``RELAY_FOLLOW_S``, which it renews."""
        horizon = _now() - defaults.RELAY_FOLLOW_S
        kept = {key: at for key, at in self._followers.items() if at >= horizon}
        self._followers = {**kept, peer.routing_id: _now()}
        self.send_latest(peer)

    def send_again(self, host: str, wanted: WantReports) -> None:
        """Send the full report to a control host that has asked for it."""
        if self._report is not None:
            self._relay_report()

    def publish(self, report: EngineReport | None) -> None:
        """Send a report if it differs from the last one or a heartbeat is due.

        Args:
            report: The current report, None while the engine does not respond.
        """
        age_s = _now() - self._sent_at
        known = self._report
        if report is None:
            if known is not None and age_s >= defaults.ENGINE_HEARTBEAT_S:
                self._send_report(known)
            return
        if self.must_report or known is None or _strip(report) != _strip(known):
            self.must_report = False
            self._send_report(report)
            return
        is_due = age_s >= defaults.ENGINE_LOAD_INTERVAL_S and _has_moved(report, known)
        if is_due or age_s >= defaults.ENGINE_HEARTBEAT_S:
            self._send_load(report)
        if self._relay != self._kernel.find("feed").source:
            self._relay_report()
        elif not self._is_relayed:
            self._relay_load()

    def publish_unreachable(self) -> None:
        """Report at once that the engine is unreachable and serves no model."""
        if self._report is not None:
            self._send_report(
                self._report._replace(
                    is_reachable=False, models=[], changing="", wanted=[], ready_ms=0
                )
            )

    def _send_report(self, report: EngineReport) -> None:
        self._number += 1
        numbered = self._take(report)
        told = self._told
        is_changed = told is None or _strip_wants(report) != _strip_wants(told)
        self._told = report if is_changed else told
        for peer in self.peers():
            if is_changed or self._is_follower(peer):
                peer.send(numbered)
        self._relay_report()

    def _send_load(self, report: EngineReport) -> None:
        self._load_number += 1
        load = extract_load(self._take(report))
        for peer in self.peers():
            if self._is_follower(peer):
                peer.send(load)
        self._is_relayed = False
        self._relay_load()

    def _take(self, report: EngineReport) -> EngineReport:
        """Number a report, store it as the latest one and return it."""
        self._sent_at = _now()
        self._report = report._replace(
            life_ms=self._life_ms, number=self._number, load_number=self._load_number
        )
        return self._report

    def _is_follower(self, peer: Peer) -> bool:
        followed_at = self._followers.get(peer.routing_id, float("-inf"))
        return _now() - followed_at <= defaults.RELAY_FOLLOW_S

    def _relay_report(self) -> None:
        """Send the full report to the control host that serves this agent's feed."""
        self._relay = self._kernel.find("feed").source
        self._send_to_relay(self._report)

    def _relay_load(self) -> None:
        if _now() - self._relayed_at >= defaults.RELAY_LOAD_INTERVAL_S:
            self._send_to_relay(extract_load(self._report))

    def _send_to_relay(self, message: Any) -> None:
        link = self._kernel.find("controllers").links.get(self._relay)
        if link is None:
            return
        try:
            link.send(message)
        except PeerUnavailable:
            # The feed will switch to another control host, which gets a full report.
            self._kernel.find("process").metrics.count("relay_sends_failed_total")
            self._relay = ""
            return
        self._relayed_at = _now()
        self._is_relayed = True


def _has_moved(report: EngineReport, known: EngineReport) -> bool:
    """Return whether the load or the costs differ from those sent last."""
    if extract_load(known)[1:4] != extract_load(report)[1:4]:
        return True
    return (
        abs(known.room_cost - report.room_cost) > defaults.ROOM_COST_STEP_S
        or abs(known.blocked_rate - report.blocked_rate) > defaults.BLOCKED_STEP
        or abs(known.pace_percent - report.pace_percent) > defaults.PACE_STEP_PERCENT
    )


def _strip_wants(report: EngineReport) -> EngineReport:
    """Reset all fields but those that decide whether a request can be sent there."""
    return _strip(report)._replace(wanted=[], in_memory=[], on_disk=[])


def _strip(report: EngineReport) -> EngineReport:
    """Reset the fields whose changes alone do not require a full report.

    Weights are reduced to their binary exponents, so that only about a doubling counts
    as a change; they change a little with every message of an entry.
    """
    wanted = [(name, float(math.frexp(weight)[1])) for name, weight in report.wanted]
    return report._replace(
        wanted=sorted(wanted),
        ready_ms=0,
        running=0,
        queued=0,
        used_tokens=0,
        room_cost=0.0,
        blocked_rate=0.0,
        life_ms=0,
        number=0,
        load_number=0,
        pace_percent=0.0,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
