"""Homes: the regions to which the requests of a route or a workspace are confined."""

from collections.abc import Mapping
from typing import NamedTuple

from .configurations import Route, WorkspaceSpec

__all__ = ["RegionMap", "find_homes"]


class RegionMap(NamedTuple):
    """The region of each availability zone.

    A deployment that names no zones has only one region, ``own``. In others, a zone
    that is not named is in no region, so that nothing confined is sent there.
    """

    regions: Mapping[str, str]
    own: str

    def is_home(self, homes: frozenset[str] | None, zone: str) -> bool:
        """Return whether servers in ``zone`` may get requests with these homes."""
        if homes is None:
            return True
        return (self.regions.get(zone, "") if self.regions else self.own) in homes


def find_homes(route: Route, workspace: WorkspaceSpec | None) -> frozenset[str] | None:
    """Return the regions that a request is confined to; None if it is not.

    Where the route and the workspace have homes, only those of both are left, which
    may be none.
    """
    named = [route.homes, workspace.homes if workspace is not None else ()]
    confined = [frozenset(homes) for homes in named if homes]
    return frozenset.intersection(*confined) if confined else None
