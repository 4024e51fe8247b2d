"""Messages of dissemination and reports. Codes 60 to 79."""

from typing import NamedTuple

from .codec import message

__all__ = [
    "BackendReport",
    "ConfirmFreshness",
    "Demand",
    "FeedChanges",
    "FeedSnapshot",
    "FreshnessConfirmed",
    "LoadEstimate",
    "NodeReport",
    "ReplicaReport",
    "ReportDigest",
    "Subscribe",
]


@message(60)
class Subscribe(NamedTuple):
    """Asks for all committed commands after ``version``."""

    version: int


@message(61)
class FeedChanges(NamedTuple):
    """Committed commands in order.

    They lead from ``base_version`` to ``version``; ``commands`` are pairs of log
    index and encoded command.
    """

    base_version: int
    version: int
    commands: list[tuple[int, bytes]]


@message(62)
class FeedSnapshot(NamedTuple):
    """The whole state at ``version``."""

    version: int
    state: bytes


@message(63)
class ConfirmFreshness(NamedTuple):
    """Asks for a quorum-confirmed version, no older than this message."""

    nonce: int
    version: int


@message(64)
class FreshnessConfirmed(NamedTuple):
    """A quorum confirmed ``version`` after the ping ``nonce`` was received."""

    nonce: int
    version: int


class ReplicaReport(NamedTuple):
    """State of a replica as the engine reports it: loading, loaded, failed, gone."""

    replica: int
    model: str
    state: str
    reason: str


class BackendReport(NamedTuple):
    """One backend server, as its agent sees it.

    ``cached`` lists pairs of checkpoint and tier. Memory is in MB.
    """

    backend: str
    pool: str
    dialect: str
    reachable: bool
    running: int
    queued: int
    queued_tokens: int
    tokens_per_s: float
    replicas: list[ReplicaReport]
    cached: list[tuple[str, str]]


class Demand(NamedTuple):
    """Waiting work for a model at one entry.

    ``tokens`` is the cost in tokens, ``deadline_ms`` the time left of the most
    urgent request, ``last_call_ms`` the age of the last call.
    """

    service: str
    model: str
    adapter: str
    requests: int
    tokens: int
    deadline_ms: int
    last_call_ms: int


@message(65)
class NodeReport(NamedTuple):
    """Heartbeat, load, demand and version of one node.

    ``sequence`` rises by one with each report of a life of the process.
    ``address`` is where an agent listens for calls; empty for an entry.
    """

    node: str
    role: str
    host: str
    zone: str
    incarnation: int
    sequence: int
    version: int
    address: str
    memory_mb: int
    leaving: bool
    backends: list[BackendReport]
    demands: list[Demand]


class LoadEstimate(NamedTuple):
    """When a model is expected to serve, in milliseconds from the message.

    ``entries`` is the number of entries at which requests for it wait.
    """

    service: str
    model: str
    ready_ms: int
    entries: int = 1


@message(66)
class ReportDigest(NamedTuple):
    """The newest report of each node, with its age in milliseconds.

    ``estimates`` are for models that are wanted and not loaded. ``gone`` names
    nodes that have been lost for so long that they are forgotten.
    """

    reports: list[tuple[int, NodeReport]]
    estimates: list[LoadEstimate] = []
    gone: list[str] = []
