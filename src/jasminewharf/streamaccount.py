"""Each late stream: its server, the load known there, and what else ran there.

Read from the lines of entries (events 850, 893 and 894). What ran at a server is put
together from the ends of all requests that are in the files.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from statistics import median
from typing import Any, NamedTuple

from . import events

__all__ = [
    "STREAM_EVENTS",
    "LateServer",
    "LateStream",
    "LateSum",
    "StreamAccount",
    "gather_late_streams",
    "render_late_streams",
]

STREAM_EVENTS = frozenset(
    event.number
    for event in (events.REQUEST_ENDED, events.STREAM_LATE, events.STREAMS_ENDED)
)
# Shares of the target that make a wait the cause, and a pace that makes the server it.
_WAIT_SHARE = 0.5
_SLOW_PACE = 1.5
_SERVERS_SHOWN = 12
_CASES_SHOWN = 40
_MS_PER_S = 1_000


class LateStream(NamedTuple):
    """One late stream; ``others`` counts by route what ran at its server beside it.

    ``load``, ``slots`` and ``pace`` are what the entry knew when it sent the request;
    a pace of 0 is not known. ``own_models`` are the entry's own requests there.
    """

    time: float
    request_id: str
    node: str
    route: str
    model: str
    cause: str
    server: str
    first_ms: int
    target_ms: int
    pause_ms: int
    waited_ms: int
    token_wait_ms: int
    load: int
    slots: int
    load_age_ms: int
    pace: float
    own_models: dict[str, int]
    others: dict[str, int]


class LateSum(NamedTuple):
    """Late streams of a route by cause; ``median_ms`` is that of the first event."""

    route: str
    cause: str
    late: int
    median_ms: int


class LateServer(NamedTuple):
    """A server with late streams, and all requests that ended there."""

    server: str
    late: int
    requests: int
    median_load: float
    slots: int
    median_pace: float


class StreamAccount(NamedTuple):
    """The account; ``routes`` holds all streams and late ones by route."""

    routes: dict[str, tuple[int, int]]
    sums: list[LateSum]
    servers: list[LateServer]
    cases: list[LateStream]


class _Run(NamedTuple):
    begun: float
    ended: float
    request_id: str
    route: str


def gather_late_streams(lines: Iterable[dict[str, Any]]) -> StreamAccount:
    """Return the account of lines in any order."""
    runs: dict[str, list[_Run]] = defaultdict(list)
    late: list[dict[str, Any]] = []
    routes: dict[str, list[int]] = defaultdict(lambda: [0, 0])
    for line in lines:
        if line["event"] == events.STREAM_LATE.number:
            late.append(line)
        elif line["event"] == events.STREAMS_ENDED.number:
            for route, (streams, late_streams) in line["routes"].items():
                routes[route][0] += streams
                routes[route][1] += late_streams
        elif line.get("server"):
            runs[line["server"]].append(_read_run(line))
    cases = [
        _describe(line, runs) for line in sorted(late, key=lambda line: line["time"])
    ]
    totals = {name: (counts[0], counts[1]) for name, counts in sorted(routes.items())}
    return StreamAccount(totals, _sum_cases(cases), _sum_servers(cases, runs), cases)


def _read_run(line: dict[str, Any]) -> _Run:
    elapsed_s = line.get("elapsed_ms", 0) / _MS_PER_S
    waited_s = line.get("waited_ms", 0) / _MS_PER_S
    begun = line["time"] - elapsed_s + waited_s
    return _Run(begun, line["time"], line.get("request_id", ""), line.get("route", ""))


def _describe(line: dict[str, Any], runs: dict[str, list[_Run]]) -> LateStream:
    servers = line.get("servers") or [{}]
    last = servers[-1]
    request_id = line.get("request_id", "")
    others: Counter[str] = Counter()
    beside = runs.get(last.get("server", ""), [])
    own = next((run for run in beside if run.request_id == request_id), None)
    if own is not None:
        first_at = own.ended
        if line.get("pause_ms", 0) <= line.get("pause_limit_ms", 0):
            first_at = min(own.begun + line["first_ms"] / _MS_PER_S, own.ended)
        for run in beside:
            if run is not own and run.begun < first_at and run.ended > own.begun:
                others[run.route] += 1
    return LateStream(
        line["time"],
        request_id,
        line.get("node", ""),
        line["route"],
        line.get("model", ""),
        _find_cause(line, servers),
        last.get("server", ""),
        line["first_ms"],
        line["target_ms"],
        line["pause_ms"],
        line.get("waited_ms", 0),
        line.get("token_wait_ms", 0),
        last.get("load", 0),
        last.get("slots", 0),
        last.get("load_age_ms", -1),
        last.get("pace", 0.0),
        last.get("models", {}),
        dict(others.most_common()),
    )


def _find_cause(line: dict[str, Any], servers: list[dict[str, Any]]) -> str:
    target_ms, last = line["target_ms"], servers[-1]
    if line["first_ms"] <= target_ms:
        return "pause"
    if line.get("token_wait_ms", 0) > target_ms * _WAIT_SHARE:
        return "waited for tokens"
    if line.get("waited_ms", 0) > target_ms * _WAIT_SHARE:
        return "waited for model"
    if len(servers) > 1:
        return "second attempt"
    if last.get("load", 0) > last.get("slots", 0):
        return "full server"
    if last.get("pace", 0.0) >= _SLOW_PACE:
        return "slow server"
    return "server with room"


def _sum_cases(cases: list[LateStream]) -> list[LateSum]:
    groups: dict[tuple[str, str], list[int]] = defaultdict(list)
    for case in cases:
        groups[case.route, case.cause].append(case.first_ms)
    sums = [
        LateSum(*key, len(found), round(median(found))) for key, found in groups.items()
    ]
    return sorted(sums, key=lambda item: (item.route, -item.late, item.cause))


def _sum_servers(
    cases: list[LateStream], runs: dict[str, list[_Run]]
) -> list[LateServer]:
    groups: dict[str, list[LateStream]] = defaultdict(list)
    for case in cases:
        groups[case.server].append(case)
    servers = [
        LateServer(
            server,
            len(found),
            len(runs.get(server, [])),
            median(case.load for case in found),
            found[-1].slots,
            median(case.pace for case in found),
        )
        for server, found in groups.items()
    ]
    return sorted(servers, key=lambda item: (-item.late, item.server))


def render_late_streams(account: StreamAccount) -> str:
    """Return the account as text."""
    lines = ["streams by route: answered, late"]
    lines += [
        f"  {route:16} {streams:7} {late:7}"
        for route, (streams, late) in account.routes.items()
    ]
    lines.append("late by cause: route, cause, number, median of the first event ms")
    lines += [
        f"  {s.route:16} {s.cause:18} {s.late:6} {s.median_ms:7}" for s in account.sums
    ]
    lines.append("servers: late, requests, median load, slots, median pace")
    lines += [
        f"  {s.server:24} {s.late:6} {s.requests:6} {s.median_load:7.1f} {s.slots:5} "
        f"{s.median_pace:5.2f}"
        for s in account.servers[:_SERVERS_SHOWN]
    ]
    if len(account.servers) > _SERVERS_SHOWN:
        lines.append(f"  and {len(account.servers) - _SERVERS_SHOWN} more")
    lines.append(
        "one by one: time, request, entry, route, model, cause, server, first/target "
        "ms, pause ms, waits ms (tokens, model), load/slots, pace, ran beside it"
    )
    lines += [_render_case(case) for case in account.cases[:_CASES_SHOWN]]
    if len(account.cases) > _CASES_SHOWN:
        lines.append(f"  and {len(account.cases) - _CASES_SHOWN} more")
    return "\n".join(lines)


def _render_case(case: LateStream) -> str:
    others = " ".join(f"{route}:{count}" for route, count in case.others.items())
    return (
        f"  {case.time:.3f} {case.request_id} {case.node} {case.route} {case.model} "
        f"[{case.cause}] {case.server} {case.first_ms}/{case.target_ms} "
        f"{case.pause_ms} {case.token_wait_ms},{case.waited_ms} "
        f"{case.load}/{case.slots} {case.pace:.2f} {others}"
    )
