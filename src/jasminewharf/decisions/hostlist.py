"""Draining of hosts that the platform lists as leaving.

The list lags and may be wrong, so it is one input among others: it can mark a host
as draining and clear only a mark that it has set itself. A host that is missing from
the list is not changed.
"""

from collections.abc import Iterable, Mapping

from ..dialects.hostlists import ListedHost
from ..messages.commands import SetDraining

__all__ = ["compare_host_list"]

PLATFORM = "platform"
_LEAVING = "leaving"


def compare_host_list(
    listed: Iterable[ListedHost],
    draining: Mapping[str, tuple[str, ...]],
    known: set[str],
    submission_id: str,
) -> list[SetDraining]:
    """Return the commands that align drain marks with the list.

    Args:
        listed: The platform's hosts.
        draining: The current drain marks, by host.
        known: Hosts that agents have reported from; others are ignored.
        submission_id: A new identifier for these commands.
    """
    commands = []
    for item in listed:
        leaving = item.state == _LEAVING
        marked = PLATFORM in draining.get(item.host, ())
        if leaving != marked and item.host in known:
            identifier = f"{submission_id}-{item.host}"
            commands.append(SetDraining(identifier, item.host, leaving, PLATFORM))
    return commands
