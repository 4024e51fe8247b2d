"""Calls of a run, drawn once so that every policy meets the same traffic."""

import math
from random import Random
from typing import NamedTuple

from ..decisions.inventory import ModelSpec
from .scenario import Burst, Case, RequestKind, Scenario

__all__ = ["Call", "create_models", "draw_calls"]

_MB_PER_GB = 1024
# Calls around a burst that would make its model not cold.
_QUIET_S = 180.0


class Call(NamedTuple):
    """One call; ``within_rate`` is False if its workspace has spent its tokens."""

    at: float
    number: int
    workspace: str
    model: int
    adapter: str
    tokens: int
    deadline_s: float
    kind: str
    entry: int
    within_rate: bool


# Time, model and the kind of request or an empty string.
_Drawn = tuple[float, int, str]


def create_models(scenario: Scenario, random: Random) -> list[ModelSpec]:
    """Return the models of a scenario with sizes drawn from its bounds."""
    given = scenario.models
    return [
        ModelSpec(
            scenario.name,
            f"model-{index:03d}",
            scenario.pool.name,
            f"checkpoint-{index:03d}",
            int(random.uniform(*given.weights_gb) * _MB_PER_GB),
            given.adapters_mb,
            given.cache_mb,
            0,
            given.max_replicas,
            given.tokens_per_s,
        )
        for index in range(given.count)
    ]


def draw_calls(scenario: Scenario, case: Case, random: Random) -> list[Call]:
    """Return the calls of a case in order of time."""
    kinds = [kind for kind in scenario.kinds if kind.name in case.kinds]
    drawn: list[_Drawn] = []
    for model in range(scenario.models.count):
        drawn += _draw_model(scenario, case, model, random)
    drawn.sort()
    for burst in case.bursts:
        drawn += _draw_burst(scenario, drawn, burst, random)
    drawn.sort()
    calls = [_complete(scenario, kinds, found, random) for found in drawn]
    if case.surge is not None:
        calls = _add_surge(case, calls, random)
    return _mark_rates(scenario, calls)


def _intensity(case: Case, at: float) -> float:
    if case.shape == "flat":
        return 1.0
    return 0.2 + 0.8 * math.sin(math.pi * at / case.duration_s) ** 2


def _draw_model(
    scenario: Scenario, case: Case, model: int, random: Random
) -> list[_Drawn]:
    """Draw one model's sessions; every second model is called periodically."""
    ranks = range(1, scenario.models.count + 1)
    share = (1 / (model + 1)) / sum(1 / rank for rank in ranks)
    interval = case.session_calls / (case.requests_per_s * share)
    found = []
    at = random.uniform(0, interval)
    while at < case.duration_s:
        if random.random() < _intensity(case, at):
            found += _draw_session(case, model, at, random)
        if model % 2:
            at += interval * random.uniform(0.8, 1.2)
        else:
            at += random.expovariate(1 / interval)
    return found


def _draw_session(case: Case, model: int, at: float, random: Random) -> list[_Drawn]:
    calls = max(1, round(random.expovariate(1 / case.session_calls)))
    found = []
    for _ in range(calls):
        if at < case.duration_s:
            found.append((at, model, ""))
        at += random.expovariate(1 / case.call_gap_s)
    return found


def _draw_burst(
    scenario: Scenario, drawn: list[_Drawn], burst: Burst, random: Random
) -> list[_Drawn]:
    """Draw a burst on a model that nobody calls around that time."""
    near = {model for at, model, _ in drawn if abs(at - burst.at_s) < _QUIET_S}
    quiet = [m for m in range(scenario.models.count) if m not in near]
    model = random.choice(quiet or [scenario.models.count - 1])
    return [
        (burst.at_s + random.uniform(0, burst.over_s), model, burst.kind)
        for _ in range(burst.requests)
    ]


def _complete(
    scenario: Scenario,
    kinds: list[RequestKind],
    found: _Drawn,
    random: Random,
) -> Call:
    at, model, name = found
    workspaces = scenario.workspaces
    workspace = random.choices(workspaces, [w.share for w in workspaces])[0]
    named = [kind for kind in scenario.kinds if kind.name == name] or kinds
    kind = random.choices(named, [k.share for k in named])[0]
    per_model = scenario.models.adapters // scenario.models.count
    adapter = ""
    if per_model and random.random() < 0.5:
        adapter = f"adapter-{model:03d}-{random.randrange(per_model)}"
    tokens = random.randint(*kind.tokens)
    entry = random.randrange(scenario.entries)
    return Call(
        at,
        0,
        workspace.name,
        model,
        adapter,
        tokens,
        kind.deadline_s,
        kind.name,
        entry,
        True,
    )


def _add_surge(case: Case, calls: list[Call], random: Random) -> list[Call]:
    """Repeat a workspace's calls so that it sends several times its traffic."""
    surge = case.surge
    copies = [
        call._replace(at=call.at + random.uniform(0, 5))
        for call in calls
        if call.workspace == surge.workspace and surge.from_s <= call.at < surge.to_s
        for _ in range(int(surge.factor) - 1)
    ]
    return sorted(calls + copies)


def _mark_rates(scenario: Scenario, calls: list[Call]) -> list[Call]:
    """Debit each workspace's token bucket in order of time."""
    limits = {w.name: w for w in scenario.workspaces}
    levels = {w.name: (w.burst_tokens, 0.0) for w in scenario.workspaces}
    marked = []
    for number, call in enumerate(calls, start=1):
        limit = limits[call.workspace]
        level, at = levels[call.workspace]
        level = min(
            limit.burst_tokens, level + (call.at - at) * limit.rate_tokens_per_s
        )
        within = level >= call.tokens
        levels[call.workspace] = (level - call.tokens * within, call.at)
        marked.append(call._replace(number=number, within_rate=within))
    return marked
