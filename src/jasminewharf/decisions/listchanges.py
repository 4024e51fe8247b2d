"""Differences between two lists of backend servers."""

from collections.abc import Sequence

from ..dialects.fleet import ListedServer

__all__ = ["apply_changes", "compare_lists"]


def compare_lists(
    old: Sequence[ListedServer], new: Sequence[ListedServer]
) -> tuple[list[ListedServer], list[str]]:
    """Return the entries of ``new`` that ``old`` lacks, and the servers that left."""
    before = {listed.server: listed for listed in old}
    after = {listed.server: listed for listed in new}
    changed = [item for name, item in after.items() if before.get(name) != item]
    return changed, [name for name in before if name not in after]


def apply_changes(
    old: Sequence[ListedServer],
    changed: Sequence[ListedServer],
    gone: Sequence[str],
) -> list[ListedServer]:
    """Return ``old`` with the changes applied."""
    servers = {listed.server: listed for listed in old}
    for name in gone:
        servers.pop(name, None)
    servers.update({listed.server: listed for listed in changed})
    return list(servers.values())
