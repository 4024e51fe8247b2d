"""Tells where a request would go now, and why, without sending it."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

from .. import defaults
from ..decisions.configurations import Route, ServiceSpec, WorkspaceSpec
from ..decisions.directory import Server
from ..decisions.routes import RouteTable
from ..decisions.serverselection import (
    RequestTarget,
    choose_engine,
    choose_least_loaded_server,
    split_by_limit,
)
from ..decisions.spreading import Spread
from ..kernel import Kernel

__all__ = ["PreviewQuestion", "preview_request"]

# Choices that are drawn to tell with which probability each server is taken.
_DRAWS = 200


class PreviewQuestion(NamedTuple):
    """A request that might be sent; ``tokens`` are those of prompt and output.

    ``request_id`` decides between services where a route has several.
    """

    host: str
    path: str
    model: str = ""
    adapter: str = ""
    workspace: str = ""
    tokens: int = 0
    request_id: str = ""


def preview_request(kernel: Kernel, question: PreviewQuestion) -> dict[str, Any]:
    """Return route, workspace, rate, servers and choice for a request.

    ``refusals`` lists for what it would be refused, or might be, as far as this entry
    can tell alone.
    """
    refusals: list[str] = []
    result: dict[str, Any] = {"question": question._asdict(), "refusals": refusals}
    table = kernel.find("view").table
    if table is None:
        refusals.append("there is no configuration yet")
        return result
    result["configuration"] = table.version
    route = table.find_route(question.host, question.path)
    if not kernel.find("feed").is_fresh():
        refusals.append("the configuration is not confirmed: what it lacks is refused")
    if route is None:
        refusals.append("no such route")
        return result
    result["route"] = _describe_route(route)
    _describe_workspace(kernel, question, route, result)
    service = table.split(route, question.request_id)
    result["service"] = service.name
    _describe_choice(kernel, question, route, service, result)
    return result


def _describe_route(route: Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "kind": route.kind,
        "target_ms": _to_ms(route.target_s),
        "timeout_ms": _to_ms(route.timeout_s),
        "attempts": route.attempts,
        "services": [tuple(item) for item in route.services],
    }


def _describe_workspace(
    kernel: Kernel, question: PreviewQuestion, route: Route, result: dict[str, Any]
) -> None:
    table = kernel.find("view").table
    if not table.has_workspaces or route.is_public:
        return
    spec = _find_workspace(table, question.workspace)
    if spec is None:
        result["refusals"].append("the workspace is not known: name one")
        return
    rates = kernel.find("rates")
    cost = rates.cost(spec, question.tokens)
    result["workspace"] = {
        "name": spec.name,
        "priority": spec.priority,
        "rate_per_s": spec.rate_per_s,
        "burst": spec.burst,
        "cost": cost,
        "entries": rates.entries,
    }
    if spec.rate_per_s > 0 and spec.burst < cost:
        result["refusals"].append("the request costs more than the workspace's burst")


def _find_workspace(table: RouteTable, name: str) -> WorkspaceSpec | None:
    workspaces = table.configuration.workspaces
    return next((item for item in workspaces if item.name == name), None)


def _describe_choice(
    kernel: Kernel,
    question: PreviewQuestion,
    route: Route,
    service: ServiceSpec,
    result: dict[str, Any],
) -> None:
    now = _now()
    chooser = kernel.find("server-chooser")
    servers = kernel.find("directory").directory.in_service(service.name)
    needs_model = service.engine is not None and bool(question.model)
    usable = []
    result["servers"] = []
    for server in servers:
        reason = chooser.describe_closed(server)
        if not reason and needs_model and not _holds(server, question, now):
            reason = "does not hold the model"
        if not reason:
            usable.append(server)
        result["servers"].append(_describe_server(server, reason, now))
    spread = chooser.build_spread(service.name)
    result["balancing"] = "load" if spread is None else "pace"
    free, limited = split_by_limit(usable)
    if free:
        result["choice"] = _draw(kernel, free, question, spread, needs_model)
    elif limited:
        result["refusals"].append("each server names a limit: a permit is needed")
    elif needs_model:
        _describe_load(kernel, question, route, service, result)
    else:
        result["refusals"].append("no server takes requests: it waits for one")


def _holds(server: Server, question: PreviewQuestion, now: float) -> bool:
    return server.holds(question.model, now, defaults.AGENT_FRESH_S)


def _describe_server(server: Server, reason: str, now: float) -> dict[str, Any]:
    return {
        "name": server.name,
        "zone": server.listed.zone,
        "excluded": reason,
        "load": server.load,
        "own": server.own,
        "slots": server.listed.slots,
        "load_age_ms": _age_ms(server.load_at, now),
        "report_age_ms": _age_ms(server.report_at, now),
        "pace": round(server.pace.factor(now), 2),
        "usual_pace": round(server.pace.usual_factor(now), 2),
        "window": round(server.pace.window(now), 2),
        "relative_load": round(server.relative_load(now), 2),
        "limit_per_s": server.limit.per_s,
    }


def _draw(
    kernel: Kernel,
    servers: Sequence[Server],
    question: PreviewQuestion,
    spread: Spread | None,
    needs_model: bool,
) -> dict[str, float]:
    """Return the share of choices that fall on each server, the largest first."""
    source = random.Random(0)
    own = spread._replace(draw=source.random) if spread is not None else None
    wanted = RequestTarget(question.model, question.adapter)
    zone = kernel.settings.zone
    counts: Counter[str] = Counter()
    for _ in range(_DRAWS):
        if needs_model:
            chosen = choose_engine(servers, wanted, own)
        else:
            chosen = choose_least_loaded_server(servers, zone, source.random(), own)
        counts[chosen.name] += 1
    return {name: count / _DRAWS for name, count in counts.most_common()}


def _describe_load(
    kernel: Kernel,
    question: PreviewQuestion,
    route: Route,
    service: ServiceSpec,
    result: dict[str, Any],
) -> None:
    place = kernel.find("demand").find_place(service, question.model)
    if place is None:
        result["refusals"].append("no engine holds the model, or is known to load it")
        return
    result["load"] = {
        "server": place.server.name,
        "ready_ms": _to_ms(place.ready_s),
        "load_ms": _to_ms(place.load_s),
        "cost": round(place.cost, 2),
    }
    patience_s = min(route.timeout_s, route.patience_s)
    if route.kind != "stream":
        patience_s = route.timeout_s
    if place.ready_s > patience_s:
        result["refusals"].append("the model is ready after the caller has left")


def _to_ms(seconds: float) -> int:
    return int(seconds * defaults.MS_PER_S)


def _age_ms(at: float, now: float) -> int:
    age_s = now - at
    return _to_ms(age_s) if age_s < defaults.AGE_LIMIT_S else -1


def _now() -> float:
    return asyncio.get_running_loop().time()
