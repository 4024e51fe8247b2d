"""Evidence about parts of prompts on links: ages in place of times."""

import math

from .. import defaults
from ..decisions.backpressure import ServerIncarnation
from ..decisions.poison import PartEnd, PartEvidence, PartTable
from ..messages.poison import EndReport, PartReport

__all__ = ["build_part_report", "merge_reports"]

_UNKNOWN = -1


def build_part_report(evidence: PartEvidence, now: float) -> PartReport:
    """Return the message for what is known of a part."""
    is_answered = evidence.answered_at > -math.inf
    return PartReport(
        evidence.part,
        _age_ms(evidence.answered_at, now) if is_answered else _UNKNOWN,
        [
            EndReport(
                end.server.server,
                end.server.born_ms,
                _age_ms(end.at, now),
                end.is_trial,
            )
            for end in evidence.ends
        ],
    )


def merge_reports(table: PartTable, reports: list[PartReport], now: float) -> list[int]:
    """Add reports to a table; return the parts of which they brought news."""
    return [report.part for report in reports if table.merge(_read_report(report, now))]


def _read_report(report: PartReport, now: float) -> PartEvidence:
    """Return the evidence, with times on this node's clock; none is in the future."""
    answered_at = -math.inf
    if report.answered_age_ms >= 0:
        answered_at = now - report.answered_age_ms / defaults.MS_PER_S
    ends = report.ends[: defaults.POISON_ENDS_KEPT]
    return PartEvidence(
        report.part,
        answered_at,
        tuple(
            PartEnd(
                ServerIncarnation(end.server, end.born_ms),
                now - max(end.age_ms, 0) / defaults.MS_PER_S,
                end.is_trial,
            )
            for end in ends
        ),
    )


def _age_ms(at: float, now: float) -> int:
    return max(int((now - at) * defaults.MS_PER_S), 0)
