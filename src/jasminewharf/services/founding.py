"""Decides whether a control host with an empty disk may found the cluster.

The host with the first name founds it, once every other host of the settings has
answered that its disk is empty too. A host that lost its disk therefore never
founds a second cluster beside the others: it waits until it is added.
"""

from typing import NamedTuple

from ..decisions.records import host_name
from ..defaults import LOG_PROBE_VALID_S
from ..messages.log import BatchHeader, MemberRecord

__all__ = ["Founding", "Seen"]


class Seen(NamedTuple):
    """What a host last told of its disk, at the time ``at``."""

    identity: str
    cluster: str
    address: str
    at: float


class Founding:
    """Collects the answers to probes.

    Args:
        host: The own host name.
        peers: Names of the other hosts in the settings.
    """

    def __init__(self, host: str, peers: set[str]) -> None:
        self._host = host
        self._peers = peers
        self._seen: dict[str, Seen] = {}

    def note(self, header: BatchHeader, now: float) -> None:
        """Note the answer in a batch with ``header``."""
        seen = Seen(header.sender, header.cluster, header.address, now)
        self._seen[host_name(header.sender)] = seen

    def forget(self, host: str) -> None:
        """Forget what ``host`` told, so that only a new answer counts."""
        self._seen.pop(host, None)

    def seen(self, host: str) -> Seen | None:
        """Return what ``host`` last told."""
        return self._seen.get(host)

    def may_found(self, now: float) -> bool:
        """Return whether this host founds the cluster."""
        if any(peer < self._host for peer in self._peers):
            return False
        return all(self._is_empty(peer, now) for peer in self._peers)

    def _is_empty(self, peer: str, now: float) -> bool:
        seen = self._seen.get(peer)
        if seen is None or seen.cluster:
            return False
        return now - seen.at <= LOG_PROBE_VALID_S

    def members(self) -> tuple[MemberRecord, ...]:
        """Return the other hosts as voters."""
        return tuple(
            MemberRecord(self._seen[peer].identity, self._seen[peer].address, True)
            for peer in sorted(self._peers)
        )
