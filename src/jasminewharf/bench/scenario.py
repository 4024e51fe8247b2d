"""Scenario files: sizes, traffic, cases and faults of a virtual-time run."""

from pathlib import Path
from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

import msgspec
from ruamel.yaml import YAML

from ..exceptions import ScenarioError

__all__ = [
    "Burst",
    "Case",
    "Fault",
    "ModelRange",
    "Pool",
    "RequestKind",
    "Scenario",
    "StoreLimits",
    "Surge",
    "WorkspaceShare",
    "load_scenario",
]


class Pool(NamedTuple):
    """Engine hosts of a pool; checkpoints are kept per host, oldest out first."""

    name: str
    hosts: int
    memory_mb: int
    disk_checkpoints: int
    memory_checkpoints: int


class StoreLimits(NamedTuple):
    """The weight store: starts per second, loads at once, time limit of a load."""

    loads_per_s: float
    concurrent: int
    timeout_s: float = 120.0


class ModelRange(NamedTuple):
    """The models; sizes are drawn between the two bounds.

    ``tokens_per_s`` is what a replica generates with a full batch of ``batch``.
    """

    count: int
    adapters: int
    weights_gb: tuple[float, float]
    cache_mb: int
    adapters_mb: int
    adapter_mb: int
    tokens_per_s: float
    batch: int
    max_replicas: int


class WorkspaceShare(NamedTuple):
    """A workspace: its share of the traffic and its rate in tokens."""

    name: str
    share: float
    rate_tokens_per_s: float
    burst_tokens: float


class RequestKind(NamedTuple):
    """A kind of request: generated tokens between bounds and a deadline."""

    name: str
    share: float
    tokens: tuple[int, int]
    deadline_s: float


class Burst(NamedTuple):
    """Requests for one idle model at every entry at once.

    ``kind`` names the kind of all its requests; without it they are mixed.
    """

    at_s: float
    requests: int
    over_s: float
    kind: str = ""


class Surge(NamedTuple):
    """One workspace sends ``factor`` times its traffic for a while."""

    workspace: str
    factor: float
    from_s: float
    to_s: float


class Case(NamedTuple):
    """Traffic of one run.

    ``requests_per_s`` is the mean at the peak. Calls of a model come in sessions of
    ``session_calls`` on average, ``call_gap_s`` apart. ``shape`` is flat or peak.
    Hosts begin with some checkpoints on disk unless ``cached`` is false.
    """

    duration_s: float
    requests_per_s: float
    session_calls: float
    call_gap_s: float
    kinds: list[str]
    shape: str = "flat"
    bursts: list[Burst] = []
    cached: bool = True
    surge: Surge | None = None


class Fault(NamedTuple):
    """Something that breaks at ``at_s`` for ``for_s`` seconds.

    ``kind``: agent-killed, store-slow, host-reclaimed, host-lost, entry-restarted.
    ``factor`` is the share of the store's capacity that is left.
    """

    kind: str
    at_s: float
    for_s: float = 0.0
    factor: float = 1.0


class Scenario(NamedTuple):
    """A deployment with its cases and faults."""

    name: str
    zones: list[str]
    entries: int
    pool: Pool
    store: StoreLimits
    models: ModelRange
    workspaces: list[WorkspaceShare]
    kinds: list[RequestKind]
    cases: dict[str, Case]
    faults: dict[str, list[Fault]]
    cold_start_weight: float
    idle_hour_weight: float


def _fill(value: Any, target: Any) -> Any:
    """Return plain data with every mapping for a NamedTuple as such a tuple.

    ``target`` is the annotated type of the value.
    """
    if hasattr(target, "_fields") and isinstance(value, dict):
        unknown = sorted(set(value) - set(target._fields))
        if unknown:
            known = ", ".join(target._fields)
            raise ScenarioError(f"{target.__name__}: {unknown} not among: {known}")
        types = get_type_hints(target)
        given = {name: _fill(value[name], types[name]) for name in value}
        try:
            return target(**given)
        except TypeError as error:
            raise ScenarioError(f"{target.__name__}: {error}") from error
    inner = get_args(target)
    if isinstance(value, list) and inner:
        return [_fill(item, inner[0]) for item in value]
    if isinstance(value, dict) and get_origin(target) is dict:
        return {key: _fill(item, inner[1]) for key, item in value.items()}
    if isinstance(value, dict) and inner:
        return _fill(value, inner[0])
    return value


def load_scenario(path: str | Path) -> Scenario:
    """Read a scenario file.

    Raises:
        ScenarioError: If a field is unknown, missing or has the wrong type.
    """
    filled = _fill(YAML(typ="safe").load(Path(path)), Scenario)
    try:
        return msgspec.convert(msgspec.to_builtins(filled), Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{path}: {error}") from error
