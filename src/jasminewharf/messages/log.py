"""Messages between the control hosts' log groups. Codes 110 to 139."""

from typing import NamedTuple

from .codec import message

__all__ = [
    "AppendAnswer",
    "AppendEntries",
    "BatchHeader",
    "DiskAnswer",
    "DiskProbe",
    "MemberRecord",
    "ReadIndex",
    "ReadIndexAnswer",
    "RequestVote",
    "SnapshotAnswer",
    "SnapshotChunk",
    "TimeoutNow",
    "VoteAnswer",
]


class MemberRecord(NamedTuple):
    """One member of a log group.

    ``identity`` is the host name, a slash and the random identity of its disk.
    A member without ``voter`` receives entries but does not count in a quorum.
    """

    identity: str
    address: str
    voter: bool


@message(110)
class BatchHeader(NamedTuple):
    """Opens a batch; the other frames are messages of any groups.

    A batch for another disk identity or another cluster is dropped. ``cluster``
    is empty for a disk that has joined none, ``receiver`` is empty in a probe.
    ``address`` is where the sender listens.
    """

    cluster: str
    sender: str
    receiver: str
    address: str


@message(111)
class RequestVote(NamedTuple):
    """Asks for a vote, or, with ``pre_vote``, whether a vote would be granted.

    ``transfer`` tells that the leader asked the candidate to take over.
    """

    group: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


@message(112)
class VoteAnswer(NamedTuple):
    """Answers :class:`RequestVote`."""

    group: str
    term: int
    granted: bool
    pre_vote: bool


@message(113)
class AppendEntries(NamedTuple):
    """Entries that follow ``prev_index``, or a heartbeat without entries.

    An entry is its term, its kind and its data. ``sequence`` is echoed in the
    answer and confirms reads.
    """

    group: str
    term: int
    prev_index: int
    prev_term: int
    commit: int
    sequence: int
    entries: list[tuple[int, int, bytes]]


@message(114)
class AppendAnswer(NamedTuple):
    """``match`` is the last index that is equal to the leader's and durable.

    If not ``accepted``, ``hint`` is an index at which the logs may agree.
    """

    group: str
    term: int
    accepted: bool
    match: int
    hint: int
    sequence: int


@message(115)
class SnapshotChunk(NamedTuple):
    """Bytes of the snapshot at ``index``; ``total`` is its size in bytes."""

    group: str
    term: int
    index: int
    last_term: int
    members: list[MemberRecord]
    offset: int
    total: int
    sequence: int
    data: bytes


@message(116)
class SnapshotAnswer(NamedTuple):
    """The receiver of the snapshot at ``index`` wants the bytes at ``offset``."""

    group: str
    term: int
    index: int
    offset: int
    sequence: int


@message(117)
class TimeoutNow(NamedTuple):
    """The leader asks the receiver to start an election at once."""

    group: str
    term: int


@message(118)
class ReadIndex(NamedTuple):
    """A follower asks the leader for a quorum-confirmed index."""

    group: str
    term: int
    token: int


@message(119)
class ReadIndexAnswer(NamedTuple):
    """The confirmed index, or -1 if the sender does not lead."""

    group: str
    term: int
    token: int
    index: int


@message(120)
class DiskProbe(NamedTuple):
    """Asks for the disk identity of the receiver and whether it has joined."""


@message(121)
class DiskAnswer(NamedTuple):
    """Answers :class:`DiskProbe`; the identity is in the batch header."""

    joined: bool
