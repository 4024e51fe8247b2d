"""Events, effects and log records of a log group's state machine."""

from typing import Any, NamedTuple

import msgspec

from ..messages.log import MemberRecord, SnapshotChunk

__all__ = [
    "COMMAND",
    "MEMBERS",
    "NOOP",
    "ChangeMembers",
    "Compacted",
    "Effects",
    "Entry",
    "HardState",
    "LogReset",
    "Propose",
    "Read",
    "Received",
    "Restored",
    "SnapshotFailed",
    "SnapshotInstalled",
    "SnapshotMeta",
    "Synced",
    "Tick",
    "Timing",
    "Transfer",
    "decode_members",
    "encode_members",
    "host_name",
]

COMMAND = 0
NOOP = 1
MEMBERS = 2

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[MemberRecord, ...])


def encode_members(members: tuple[MemberRecord, ...]) -> bytes:
    """Return the data of a MEMBERS entry."""
    return _encoder.encode(members)


def decode_members(data: bytes) -> tuple[MemberRecord, ...]:
    """Return the members in the data of a MEMBERS entry."""
    return _decoder.decode(data)


def host_name(identity: str) -> str:
    """Return the host name in a member's identity."""
    return identity.partition("/")[0]


class Entry(NamedTuple):
    """One entry of the log; ``kind`` is COMMAND, NOOP or MEMBERS."""

    index: int
    term: int
    kind: int
    data: bytes


class HardState(NamedTuple):
    """Current term and vote; must be durable before any message reveals them."""

    term: int
    vote: str


class LogReset(NamedTuple):
    """Restart of the log after ``index``; all earlier entries are dropped."""

    index: int
    term: int


class SnapshotMeta(NamedTuple):
    """Metadata of a snapshot; ``size`` is the state's length in bytes."""

    index: int
    term: int
    members: tuple[MemberRecord, ...]
    size: int


class Restored(NamedTuple):
    """State read from storage at startup.

    ``base`` is the position before the first of ``entries``.
    """

    hard_state: HardState
    snapshot: SnapshotMeta | None
    base: LogReset
    entries: list[Entry]


class Timing(NamedTuple):
    """Timeouts in seconds of the local clock."""

    election_s: float
    heartbeat_s: float


class Tick(NamedTuple):
    """Time has passed."""


class Received(NamedTuple):
    """A message arrived from the member ``sender``."""

    sender: str
    message: Any


class Propose(NamedTuple):
    """Commands to append, each with a token that its outcome carries."""

    commands: list[tuple[int, bytes]]


class Read(NamedTuple):
    """Tokens of reads that need a quorum-confirmed index."""

    tokens: list[int]


class Synced(NamedTuple):
    """Everything up to and including the effects with ``token`` is durable."""

    token: int


class Compacted(NamedTuple):
    """A snapshot of the local state is durable; older entries may be dropped."""

    meta: SnapshotMeta


class SnapshotInstalled(NamedTuple):
    """A snapshot received from the leader is durable and restored."""

    meta: SnapshotMeta


class SnapshotFailed(NamedTuple):
    """The received snapshot is damaged or could not be stored."""


class ChangeMembers(NamedTuple):
    """Adds a learner (``member`` given) or removes ``identity``."""

    token: int
    member: MemberRecord | None
    identity: str


class Transfer(NamedTuple):
    """Hands leadership to the member ``target``."""

    target: str


class Effects(NamedTuple):
    """Actions for the caller to execute after a step, in the order of the fields.

    Attributes:
        persist: Records to write; once they are durable the caller steps with
            ``Synced(sync_token)``.
        sync_token: Number of the newest record set, 0 if there is none to write.
        messages: Pairs of member identity and message.
        chunk_reads: Pairs of member identity and a chunk whose data the caller
            fills in from the snapshot before it sends it.
        chunk_writes: Received chunks to store.
        install: The received snapshot is complete; the caller makes it durable,
            restores the state and steps with ``SnapshotInstalled``.
        committed: Entries to apply.
        accepted: Triples of token, index and term of appended commands.
        refused: Tokens of commands or changes that were not appended.
        reads: Pairs of token and confirmed index, -1 if it was refused.
    """

    persist: list[Any]
    sync_token: int
    messages: list[tuple[str, Any]]
    chunk_reads: list[tuple[str, SnapshotChunk]]
    chunk_writes: list[SnapshotChunk]
    install: SnapshotMeta | None
    committed: list[Entry]
    accepted: list[tuple[int, int, int]]
    refused: list[int]
    reads: list[tuple[int, int]]
