"""Each refusal over a workspace's rate, judged by what all entries had granted.

Read from the lines of entries (events 855, 840 and 890). The hosts' clocks are taken
as equal; grants are known to a tenth of a second.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Iterator
from statistics import median
from typing import Any, NamedTuple

from . import events

__all__ = [
    "RATE_EVENTS",
    "RateAccount",
    "RefusalCase",
    "RefusalSum",
    "UnlistedRefusals",
    "gather_refusals",
    "render_refusals",
]

RATE_EVENTS = frozenset(
    event.number
    for event in (events.RATE_REFUSED, events.RATE_USED, events.LINES_LEFT_OUT)
)
INSIDE_BURST = "inside rate and burst"
INSIDE_WINDOW = "inside the window only"
BEYOND = "beyond"
# Entries named with a refusal, those with the largest grants first.
_ENTRIES_SHOWN = 5
# Refusals that the text shows one by one.
_CASES_SHOWN = 40
_WINDOW_S = 8.0
_MS_PER_S = 1_000


class RefusalCase(NamedTuple):
    """One refusal; times in ms, tokens of the whole fleet.

    ``judged`` compares the request with what was granted: an ideal bucket of rate and
    burst that had served the same grants, and the sum over the rule's window.
    ``tokens_in_ms`` is when that bucket would have had the request's tokens.
    ``granted`` lists the entries with the largest grants in the window.
    """

    time: float
    request_id: str
    node: str
    workspace: str
    cost: float
    rate: float
    burst: float
    window_s: float
    cause: str
    judged: str
    granted_in_window: float
    level: float
    tokens_in_ms: int
    told_ms: int
    patience_ms: int
    granted: dict[str, int]


class RefusalSum(NamedTuple):
    """Refusals of one workspace, cause and judgement."""

    workspace: str
    cause: str
    judged: str
    refusals: int
    tokens: int
    median_tokens_in_ms: int
    longest_tokens_in_ms: int


class UnlistedRefusals(NamedTuple):
    """Refusals that were only counted, as the bound of log lines left them out."""

    workspace: str
    cause: str
    refusals: int


class RateAccount(NamedTuple):
    """The account; ``lines_left_out`` counts lost lines of summaries of grants."""

    sums: list[RefusalSum]
    unlisted: list[UnlistedRefusals]
    cases: list[RefusalCase]
    lines_left_out: int


class _Grants:
    """What all entries granted of one workspace, taken in order of time."""

    def __init__(self) -> None:
        self._window: deque[tuple[float, str, float]] = deque()
        self._level: float | None = None
        self._at = 0.0

    def add(self, at: float, node: str, tokens: float, rate: float, burst: float):
        level = self.refill(at, rate, burst)
        self._level = min(level - tokens, burst)
        self._window.append((at, node, tokens))

    def refill(self, at: float, rate: float, burst: float) -> float:
        if self._level is None:
            self._level = burst
        else:
            earned = max(at - self._at, 0.0) * rate
            self._level = min(self._level + earned, burst)
        self._at = at
        return self._level

    def sum_window(self, at: float, window_s: float) -> Counter[str]:
        while self._window and self._window[0][0] <= at - window_s:
            self._window.popleft()
        sums: Counter[str] = Counter()
        for _, node, tokens in self._window:
            sums[node] += tokens
        return sums


def gather_refusals(lines: Iterable[dict[str, Any]]) -> RateAccount:
    """Return the account of lines in any order."""
    used: list[dict[str, Any]] = []
    refused: list[dict[str, Any]] = []
    left_out = 0
    for line in lines:
        if line["event"] == events.RATE_USED.number:
            used.append(line)
        elif line["event"] == events.RATE_REFUSED.number:
            refused.append(line)
        elif line["event"] == events.LINES_LEFT_OUT.number:
            counts = line.get("counts", {})
            left_out += counts.get(str(events.RATE_USED.number), 0)
    cases = list(_judge(used, refused))
    return RateAccount(_sum_cases(cases), _find_unlisted(used, cases), cases, left_out)


def _judge(
    used: list[dict[str, Any]], refused: list[dict[str, Any]]
) -> Iterator[RefusalCase]:
    moments: list[tuple[float, int, dict[str, Any]]] = []
    for line in used:
        for name, use in line["workspaces"].items():
            for ago_ms, tokens in use["granted"]:
                grant = {"node": line["node"], "workspace": name, "tokens": tokens}
                grant |= {"rate": use["rate"], "burst": use["burst"]}
                moments.append((line["time"] - ago_ms / _MS_PER_S, 0, grant))
    moments += [(line["time"], 1, line) for line in refused]
    grants: dict[str, _Grants] = defaultdict(_Grants)
    for at, is_refusal, line in sorted(moments, key=lambda moment: moment[:2]):
        known = grants[line["workspace"]]
        if is_refusal:
            yield _judge_refusal(line, known)
        else:
            known.add(at, line["node"], line["tokens"], line["rate"], line["burst"])


def _judge_refusal(line: dict[str, Any], grants: _Grants) -> RefusalCase:
    rate, burst, cost = line["rate"], line.get("burst", 0.0), line["cost"]
    window_s = line.get("window_s", _WINDOW_S)
    level = grants.refill(line["time"], rate, burst)
    by_node = grants.sum_window(line["time"], window_s)
    granted = sum(by_node.values())
    if cost <= level:
        judged = INSIDE_BURST
    elif granted + cost <= rate * window_s + burst:
        judged = INSIDE_WINDOW
    else:
        judged = BEYOND
    lacking = max(cost - level, 0.0)
    return RefusalCase(
        line["time"],
        line.get("request_id", ""),
        line.get("node", ""),
        line["workspace"],
        cost,
        rate,
        burst,
        window_s,
        line.get("cause", "owner_silent" if line.get("is_owner_silent") else ""),
        judged,
        round(granted),
        round(level),
        round(lacking / rate * _MS_PER_S) if rate > 0 else -1,
        line.get("wait_ms", -1),
        line.get("patience_ms", -1),
        {node: round(tokens) for node, tokens in by_node.most_common(_ENTRIES_SHOWN)},
    )


def _sum_cases(cases: list[RefusalCase]) -> list[RefusalSum]:
    groups: dict[tuple[str, str, str], list[RefusalCase]] = defaultdict(list)
    for case in cases:
        groups[case.workspace, case.cause, case.judged].append(case)
    sums = [
        RefusalSum(
            *key,
            len(found),
            round(sum(case.cost for case in found)),
            round(median(case.tokens_in_ms for case in found)),
            max(case.tokens_in_ms for case in found),
        )
        for key, found in groups.items()
    ]
    return sorted(sums, key=lambda item: (-item.refusals, item))


def _find_unlisted(
    used: list[dict[str, Any]], cases: list[RefusalCase]
) -> list[UnlistedRefusals]:
    counted: Counter[tuple[str, str]] = Counter()
    for line in used:
        for name, use in line["workspaces"].items():
            for cause, (count, _) in use.get("refused", {}).items():
                counted[name, cause] += count
    counted.subtract(Counter((case.workspace, case.cause) for case in cases))
    return [
        UnlistedRefusals(*key, count)
        for key, count in sorted(counted.items())
        if count > 0
    ]


def render_refusals(account: RateAccount) -> str:
    """Return the account as text."""
    lines = [
        "refusals: workspace, cause, judged, number, tokens, "
        "tokens there after ms (median, longest)"
    ]
    lines += [
        f"  {s.workspace:16} {s.cause:14} {s.judged:24} {s.refusals:6} {s.tokens:9} "
        f"{s.median_tokens_in_ms:7} {s.longest_tokens_in_ms:7}"
        for s in account.sums
    ]
    for u in account.unlisted:
        lines.append(f"  {u.workspace:16} {u.cause:14} not listed {u.refusals:6}")
    if account.lines_left_out:
        lines.append(f"  {account.lines_left_out} lines of grants were left out")
    lines.append(
        "one by one: time, request, entry, workspace, cost, rate, burst, cause, judged,"
        " granted in window, after ms, told ms, patience ms, granted by"
    )
    lines += [_render_case(case) for case in account.cases[:_CASES_SHOWN]]
    if len(account.cases) > _CASES_SHOWN:
        lines.append(f"  and {len(account.cases) - _CASES_SHOWN} more")
    return "\n".join(lines)


def _render_case(case: RefusalCase) -> str:
    granted = " ".join(f"{node}:{tokens}" for node, tokens in case.granted.items())
    return (
        f"  {case.time:.3f} {case.request_id} {case.node} {case.workspace} "
        f"{case.cost:g} {case.rate:g} {case.burst:g} {case.cause} [{case.judged}] "
        f"{case.granted_in_window:g} {case.tokens_in_ms} {case.told_ms} "
        f"{case.patience_ms} {granted}"
    )
