"""Lookup of the route, service and workspace of a request."""

import math
from typing import NamedTuple

import xxhash

from .configurations import Configuration, Route, ServiceSpec, WorkspaceSpec
from .identity import HostIdentity, identify_host, identify_key

__all__ = ["RouteTable"]

_HASH_RANGE = 1 << 64


class RouteTable:
    """A configuration indexed by host, path prefix and key.

    Args:
        configuration: A validated configuration.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services: dict[str, ServiceSpec] = {
            service.name: service for service in configuration.services
        }
        self._routes = _index_routes(configuration.routes)
        self._workspaces: dict[str, WorkspaceSpec] = {}
        for workspace in configuration.workspaces:
            for key in workspace.keys:
                self._workspaces[identify_key(key)] = workspace
        # A request without a key must not pass for the owner of an empty one.
        self._workspaces.pop("", None)

    @property
    def version(self) -> int:
        """The version of the configuration."""
        return self.configuration.version

    @property
    def has_workspaces(self) -> bool:
        """Whether requests must carry a key."""
        return bool(self.configuration.workspaces)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``.

        Routes without a port take requests to any port. Of two routes with the same
        prefix the one with the request's port is returned.

        Route prefixes begin and end with a slash, so only the prefixes of the path
        that end with a slash are looked up.
        """
        named = identify_host(host)
        routes = self._routes.get(named)
        if routes is None:
            routes = self._routes.get(HostIdentity(named.name))
        if routes is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None

    def find_workspace(self, key: str) -> WorkspaceSpec | None:
        """Return the workspace that owns ``key``."""
        return self._workspaces.get(identify_key(key))

    def split(self, route: Route, request_id: str) -> ServiceSpec:
        """Return the service for a request, by weight.

        The choice depends only on the route and the request identifier.
        """
        chosen = _choose(route, request_id)
        return self.services[chosen]


def _index_routes(
    routes: tuple[Route, ...],
) -> dict[HostIdentity, dict[str, Route]]:
    """Return the routes by host and prefix; hosts with a port have all that apply."""
    index: dict[HostIdentity, dict[str, Route]] = {}
    for route in routes:
        index.setdefault(identify_host(route.host), {})[route.prefix] = route
    for host, own in index.items():
        index[host] = {**index.get(HostIdentity(host.name), {}), **own}
    return index


class _Slice(NamedTuple):
    service: str
    end: float


def _choose(route: Route, request_id: str) -> str:
    if len(route.services) == 1:
        return route.services[0].service
    # The largest weight becomes about 1: sums of other ones may be infinite, and the
    # smallest ones cannot be divided. A power of two rounds nothing.
    _, exponent = math.frexp(max(item.weight for item in route.services))
    weights = [math.ldexp(item.weight, -exponent) for item in route.services]
    total = sum(weights)
    point = xxhash.xxh64_intdigest(request_id.encode()) / _HASH_RANGE * total
    slices: list[_Slice] = []
    end = 0.0
    for item, weight in zip(route.services, weights, strict=True):
        if item.weight > 0:
            end += weight
            slices.append(_Slice(item.service, end))
    return next((item.service for item in slices if point < item.end), slices[-1][0])
