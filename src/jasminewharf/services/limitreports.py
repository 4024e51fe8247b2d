"""Readings of servers' limits on links: ages in place of times."""

import math

from .. import defaults
from ..decisions.backpressure import ServerIncarnation
from ..decisions.serverlimits import LimitReading, ServerLimit
from ..messages.servers import ServerLimitReport

__all__ = ["build_report", "is_plausible", "read_report"]


def build_report(limit: ServerLimit, now: float) -> ServerLimitReport:
    """Return the message for a limit that has a reading."""
    reading = limit.reading
    assert reading is not None
    return ServerLimitReport(
        limit.server.server,
        limit.server.born_ms,
        reading.per_s,
        _age_ms(reading.sent_at, now),
        _age_ms(reading.received_at, now),
        reading.observer,
        reading.number,
    )


def read_report(
    report: ServerLimitReport, now: float
) -> tuple[ServerIncarnation, LimitReading]:
    """Return the server and the reading, with times on this node's clock."""
    reading = LimitReading(
        report.per_s,
        now - report.sent_age_ms / defaults.MS_PER_S,
        now - report.received_age_ms / defaults.MS_PER_S,
        report.observer,
        report.number,
    )
    return ServerIncarnation(report.server, report.born_ms), reading


def is_plausible(report: ServerLimitReport) -> bool:
    """Return whether a node can have read such a limit."""
    is_rate = report.per_s is None or (
        math.isfinite(report.per_s) and report.per_s >= 0
    )
    return is_rate and 0 <= report.received_age_ms <= report.sent_age_ms


def _age_ms(at: float, now: float) -> int:
    return max(int((now - at) * defaults.MS_PER_S), 0)
