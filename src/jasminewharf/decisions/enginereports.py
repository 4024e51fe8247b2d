"""The newest report of each engine over all delivery paths.

A report reaches a node directly from the agent and through relays, in any order and
with any delay. Reports of one agent incarnation are ordered by their numbers, and
incarnations by the wall clock of the agent's host at their start. Since that clock may
be set back, an older incarnation is accepted once the newer one has been silent for a
while.
"""

from typing import NamedTuple

from .. import defaults
from ..messages.servers import EngineLoad, EngineReport

__all__ = [
    "STALE",
    "TAKEN",
    "UNKNOWN",
    "EngineReportTable",
    "TimedReport",
    "extract_load",
]

TAKEN = "taken"
STALE = "stale"
UNKNOWN = "unknown"  # The load belongs to a report that has not arrived.


class TimedReport(NamedTuple):
    """A report with its latest load and the time of that load.

    ``at`` is in seconds on this node's clock.
    """

    report: EngineReport
    at: float


class EngineReportTable:
    """The newest report of each engine by address."""

    def __init__(self) -> None:
        self._posted: dict[str, TimedReport] = {}
        self.version = 0

    def find(self, address: str) -> TimedReport | None:
        """Return the newest report of an engine."""
        return self._posted.get(address)

    def items(self) -> list[tuple[str, TimedReport]]:
        """Return all reports by address."""
        return list(self._posted.items())

    def update_report(self, report: EngineReport, at: float) -> str:
        """Store a full report made ``at``; return ``TAKEN`` or ``STALE``."""
        known = self._posted.get(report.address)
        if known is not None and _is_older(report, known, at):
            return STALE
        if known is not None and known.report.life_ms == report.life_ms:
            at = max(at, known.at)
        self._posted[report.address] = TimedReport(report, at)
        self.version += 1
        return TAKEN

    def update_load(self, load: EngineLoad, at: float) -> str:
        """Apply a load measured ``at``; return the outcome."""
        known = self._posted.get(load.address)
        if known is None:
            return UNKNOWN
        report = known.report
        if load.life_ms != report.life_ms:
            is_late = load.life_ms < report.life_ms and not _is_silent(known, at)
            return STALE if is_late else UNKNOWN
        if load.report_number > report.number:
            return UNKNOWN
        if load.number and load.number <= report.load_number:
            return STALE
        passed_ms = round((at - known.at) * defaults.MS_PER_S)
        fresh = report._replace(
            running=load.running,
            queued=load.queued,
            used_tokens=load.used_tokens,
            room_cost=load.room_cost,
            blocked_rate=load.blocked_rate,
            ready_ms=max(report.ready_ms - max(passed_ms, 0), 0),
            load_number=load.number,
            pace_percent=load.pace_percent,
        )
        self._posted[load.address] = TimedReport(fresh, max(at, known.at))
        return TAKEN

    def remove(self, address: str) -> None:
        """Remove an engine."""
        if self._posted.pop(address, None) is not None:
            self.version += 1

    def remove_silent(self, before: float) -> None:
        """Remove the engines without a report or load since ``before``."""
        for address, posted in self.items():
            if posted.at < before:
                self.remove(address)


def extract_load(report: EngineReport) -> EngineLoad:
    """Return the part of a report that changes with every request."""
    return EngineLoad(
        report.address,
        report.running,
        report.queued,
        report.used_tokens,
        report.room_cost,
        report.blocked_rate,
        report.life_ms,
        report.number,
        report.load_number,
        report.pace_percent,
    )


def _is_older(report: EngineReport, known: TimedReport, at: float) -> bool:
    if report.life_ms != known.report.life_ms:
        return report.life_ms < known.report.life_ms and not _is_silent(known, at)
    if report.number != known.report.number:
        return report.number < known.report.number
    return report.load_number <= known.report.load_number and bool(report.number)


def _is_silent(known: TimedReport, now: float) -> bool:
    return now - known.at > defaults.AGENT_FRESH_S
