"""Judges what a run of lent tokens sent and refused."""

from collections import deque
from collections.abc import Iterable, Iterator
from statistics import median
from typing import NamedTuple

from ..decisions.configurations import WorkspaceSpec
from ..settings import BoundSettings
from .lending_model import Outcome, Sent

__all__ = ["LendingReport", "count_inside", "find_worst_window", "measure"]

# Of the target: an answer takes a tenth of it as a rule.
_IN_TIME_PART = 0.75


class LendingReport(NamedTuple):
    """Shares of the calls of a workspace, and waits in seconds.

    ``served`` is a share of the calls, ``tokens`` of their tokens.
    ``in_time`` were sent within 0.75 of their target at their first try. ``refusals``
    are per call. ``inside_burst`` and ``inside_window`` count refusals (429) that an
    ideal bucket, or the rule's window alone, would have let pass. ``worst`` is the
    largest window as a share of what the rule allows.
    """

    calls: int
    served: float
    tokens: float
    in_time: float
    refusals: float
    unavailable: int
    inside_burst: int
    inside_window: int
    worst: float
    median_s: float
    longest_s: float


def find_worst_window(
    sent: Iterable[Sent], spec: WorkspaceSpec, bounds: BoundSettings
) -> float:
    """Return the largest sum over a window as a share of what the rule allows."""
    window: deque[tuple[float, float]] = deque()
    total = worst = 0.0
    for at, tokens in sorted((s.at, s.call.tokens) for s in sent):
        window.append((at, tokens))
        total += tokens
        while window[0][0] <= at - bounds.rate_window_s:
            total -= window.popleft()[1]
        worst = max(worst, total)
    owed = spec.rate_per_s * bounds.rate_window_s + spec.burst
    return worst / (owed * (1 + bounds.rate_overrun) + bounds.rate_slack_tokens)


def count_inside(
    outcome: Outcome, spec: WorkspaceSpec, window_s: float, since: float = 0.0
) -> tuple[int, int]:
    """Return refusals inside rate and burst, and those inside the window only.

    The bucket is full one window before ``since``, from when on refusals count.
    """
    by_bucket = by_window = 0
    begin = since - window_s
    level, at = spec.burst, begin
    window: deque[tuple[float, float]] = deque()
    for moment, tokens, is_refusal in _list_moments(outcome, spec.name):
        if moment < begin:
            continue
        level = min(level + (moment - at) * spec.rate_per_s, spec.burst)
        at = moment
        while window and window[0][0] <= moment - window_s:
            window.popleft()
        if not is_refusal:
            level -= tokens
            window.append((moment, tokens))
            continue
        if moment < since:
            continue
        used = sum(spent for _, spent in window)
        if tokens <= level:
            by_bucket += 1
        elif used + tokens <= spec.rate_per_s * window_s + spec.burst:
            by_window += 1
    return by_bucket, by_window


def _list_moments(outcome: Outcome, name: str) -> Iterator[tuple[float, float, bool]]:
    moments = [
        (s.at, s.call.tokens, False) for s in outcome.sent if s.call.workspace == name
    ]
    moments += [
        (t.at, t.call.tokens, True)
        for t in outcome.refused
        if t.call.workspace == name and t.status == 429
    ]
    yield from sorted(moments)


def measure(
    outcome: Outcome,
    spec: WorkspaceSpec,
    bounds: BoundSettings,
    kind: str | None = None,
    since: float = 0.0,
) -> LendingReport:
    """Return the report of a workspace, or of one kind of its calls.

    The rule is judged from ``since`` on.
    """
    sent = [s for s in outcome.sent if s.call.workspace == spec.name]
    judged = [s for s in sent if s.at >= since]
    worst = find_worst_window(judged, spec, bounds)
    sent = [s for s in sent if kind is None or s.call.kind == kind]
    refused = [
        t
        for t in outcome.refused
        if t.call.workspace == spec.name and (kind is None or t.call.kind == kind)
    ]
    tokens = sum(s.call.tokens for s in sent)
    tokens += sum(t.call.tokens for t in refused if t.is_last)
    calls = len(sent) + sum(t.is_last for t in refused)
    in_time = sum(
        s.tries == 1 and s.at - s.call.at <= s.call.target_s * _IN_TIME_PART
        for s in sent
    )
    by_bucket, by_window = count_inside(outcome, spec, bounds.rate_window_s, since)
    waits = [s.at - s.call.at for s in sent] or [0.0]
    share = 1 / max(calls, 1)
    return LendingReport(
        calls,
        len(sent) * share,
        sum(s.call.tokens for s in sent) / max(tokens, 1.0),
        in_time * share,
        len(refused) * share,
        sum(t.status == 503 for t in refused),
        by_bucket,
        by_window,
        worst,
        median(waits),
        max(waits),
    )
