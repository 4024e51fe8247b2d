"""Settings of the replicated log on one control host."""

from typing import NamedTuple

from ..defaults import (
    LOG_ELECTION_TIMEOUT_S,
    LOG_HEARTBEAT_S,
    LOG_SNAPSHOT_THRESHOLD_ENTRIES,
)

__all__ = ["CurveSettings", "LogSettings"]


class CurveSettings(NamedTuple):
    """Keys of the links between control hosts.

    Attributes:
        own_key: Path of the own key pair.
        peer_keys: Folder with the public key ``control-NAME.key`` of every control
            host; others are not admitted.
    """

    own_key: str
    peer_keys: str


class LogSettings(NamedTuple):
    """What the log service of one control host needs.

    Attributes:
        name: The host's name; must not contain a slash.
        folder: The data folder.
        address: Where the host listens for other control hosts, ``IP:PORT``.
        peers: Names and addresses of the other control hosts.
        groups: Names of the log groups. They are fixed when the cluster is founded.
        election_s: Shortest time without a leader before an election, in seconds.
        heartbeat_s: Time between heartbeats, in seconds.
        snapshot_entries: Number of applied entries after which a snapshot is taken.
        curve: Keys of the links, or None for links without authentication.
        may_found: Whether this host may found the cluster with its peers; else it
            waits until it is added.
    """

    name: str
    folder: str
    address: str
    peers: dict[str, str]
    groups: tuple[str, ...]
    election_s: float = LOG_ELECTION_TIMEOUT_S
    heartbeat_s: float = LOG_HEARTBEAT_S
    snapshot_entries: int = LOG_SNAPSHOT_THRESHOLD_ENTRIES
    curve: CurveSettings | None = None
    may_found: bool = True
