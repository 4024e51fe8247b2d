"""Full configurations: routes, services, workspaces and limits in one version.

A deployment is configured either by service documents or by one full configuration
that replaces the previous one. This module defines the validated form of the latter
and the rules for accepting it.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from ..exceptions import ConfigurationRefused
from ..registry import register
from .coldservers import ColdRule
from .identity import (
    HostIdentity,
    can_hold_host,
    can_match_prefix,
    identify_host,
    identify_key,
)

__all__ = [
    "ACCEPTANCE_RULES",
    "CONFIGURATION_FORMATS",
    "CallerLimits",
    "Configuration",
    "EngineSpec",
    "ModelSpec",
    "Route",
    "STORED_FORMATS",
    "ServiceSpec",
    "ServiceWeight",
    "WorkspaceSpec",
    "check_configuration",
]


# Messages and the log hold no other versions.
_VERSIONS = range(-(1 << 63), 1 << 64)
# A caller abandons a stream after the longest of: this many seconds, targets, pauses.
_PATIENCE_S = 2.0
_PATIENCE_TARGETS = 4.0
_PATIENCE_PAUSES = 8.0


class ServiceWeight(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Requests of one host and path prefix.

    ``kind`` is safe, unsafe or stream. ``priority`` 0 is the most urgent.
    ``attempts`` is the largest number of backend servers that may run a request.
    ``pause_s`` is the longest pause between the pieces of a stream that counts as in
    time. ``homes`` are the regions that its requests are confined to; see homes.py.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    target_s: float
    priority: int
    services: tuple[ServiceWeight, ...]
    attempts: int
    is_public: bool
    is_resumable: bool
    pause_s: float = 0.0
    homes: tuple[str, ...] = ()

    @property
    def patience_s(self) -> float:
        """Seconds that a caller waits for the next piece of a stream."""
        return max(
            _PATIENCE_S,
            _PATIENCE_TARGETS * self.target_s,
            _PATIENCE_PAUSES * self.pause_s,
        )

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "safe" or (self.kind == "stream" and self.is_resumable)


class ModelSpec(NamedTuple):
    """A model that an engine may hold; load times in seconds by source."""

    name: str
    weights_mb: float
    remote_s: float
    disk_s: float
    memory_s: float
    adapter_mb: float

    def load_s(self, in_memory: Collection[str], on_disk: Collection[str]) -> float:
        """Return how long an engine with these copies takes to load the model."""
        if self.name in in_memory:
            return self.memory_s
        return self.disk_s if self.name in on_disk else self.remote_s


class EngineSpec(NamedTuple):
    """What each engine of a service can hold and run at once.

    ``disk_mb`` is the room for copies of models on its disk, 0 if it is not known.
    """

    slots: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: tuple[ModelSpec, ...]
    disk_mb: float = 0.0


class ServiceSpec(NamedTuple):
    """A service; ``engine`` is None for a plain one.

    ``cold`` is None if its servers are never cold.
    ``homes`` are the regions to which one request's use of it is confined. None in a
    configuration.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None
    cold: ColdRule | None = None
    homes: frozenset[str] | None = None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class WorkspaceSpec(NamedTuple):
    """A workspace, its keys and its rate; a rate of 0 is no limit.

    ``default_tokens`` is the cost of a request that does not tell its tokens; 0 if
    the rate counts requests. ``homes`` are the regions that its requests are confined
    to.
    """

    name: str
    keys: tuple[str, ...]
    priority: int
    rate_per_s: float
    burst: float
    default_tokens: float
    homes: tuple[str, ...] = ()


class Configuration(NamedTuple):
    """A checked configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    workspaces: tuple[WorkspaceSpec, ...]
    limits: CallerLimits | None


AcceptanceRule = Callable[[int, int], bool]
ConfigurationReader = Callable[[bytes], Configuration]

ACCEPTANCE_RULES: dict[str, AcceptanceRule] = {}
# Readers of submitted configurations, which check them, and of accepted ones.
CONFIGURATION_FORMATS: dict[str, ConfigurationReader] = {}
STORED_FORMATS: dict[str, ConfigurationReader] = {}


@register(ACCEPTANCE_RULES, "highest")
def accept_highest(current: int, submitted: int) -> bool:
    """Return whether ``submitted`` replaces ``current``: the highest version wins."""
    return submitted > current


def check_configuration(configuration: Configuration) -> None:
    """Validate references and constraints between the parts of a configuration.

    Raises:
        ConfigurationRefused: Naming the first part that is not valid.
    """
    if configuration.version not in _VERSIONS:
        raise ConfigurationRefused(
            f"version {configuration.version} does not fit into 64 bits"
        )
    services = {service.name for service in configuration.services}
    places: dict[tuple[HostIdentity, str], str] = {}
    for route in configuration.routes:
        _check_route(route, services)
        place = (identify_host(route.host), route.prefix)
        if place in places:
            raise ConfigurationRefused(
                f"two routes at {route.host}{route.prefix}: "
                f"{places[place]} and {route.name}"
            )
        places[place] = route.name
    _check_keys(configuration.workspaces)


def _check_route(route: Route, services: set[str]) -> None:
    if not can_hold_host(route.host):
        raise ConfigurationRefused(
            f"route {route.name}: no request can name the host {route.host!r}"
        )
    if not can_match_prefix(route.prefix):
        raise ConfigurationRefused(
            f"route {route.name}: the prefix {route.prefix!r} must begin and end with "
            "a slash and hold only what the path of a request can hold"
        )
    for item in route.services:
        if item.service not in services:
            raise ConfigurationRefused(
                f"route {route.name}: no service {item.service!r}"
            )
    if sum(item.weight for item in route.services) <= 0:
        raise ConfigurationRefused(f"route {route.name}: weights add up to 0")
    if any(item.weight < 0 for item in route.services):
        raise ConfigurationRefused(f"route {route.name}: a weight is negative")
    if route.timeout_s <= 0:
        raise ConfigurationRefused(f"route {route.name}: the timeout must be above 0")


def _check_keys(workspaces: tuple[WorkspaceSpec, ...]) -> None:
    owners: dict[str, WorkspaceSpec] = {}
    for workspace in workspaces:
        keys = {identify_key(key) for key in workspace.keys}
        for key in keys & owners.keys():
            raise ConfigurationRefused(
                f"workspaces {owners[key].name} and {workspace.name} share a key"
            )
        owners.update(dict.fromkeys(keys, workspace))
