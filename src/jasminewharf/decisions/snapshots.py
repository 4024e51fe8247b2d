"""Transfer of snapshots in chunks, and truncation of the log behind them."""

from ..defaults import LOG_RETAINED_ENTRIES, LOG_SNAPSHOT_CHUNK_BYTES
from ..messages.log import SnapshotAnswer, SnapshotChunk
from .group import LEADER, GroupState
from .progress import Progress
from .records import SnapshotMeta

__all__ = [
    "abandon_install",
    "compact",
    "count_chunk",
    "finish_install",
    "is_transferring",
    "send_chunk",
    "store_chunk",
]


def send_chunk(
    state: GroupState, peer: str, progress: Progress, *, force: bool
) -> None:
    """Send the next chunk of the snapshot to a member that is far behind."""
    meta = state.snapshot
    if meta is None or (progress.paused and not force):
        return
    if progress.snapshot_index != meta.index:
        progress.snapshot_index = meta.index
        progress.snapshot_offset = 0
    progress.paused = True
    chunk = SnapshotChunk(
        state.group,
        state.term,
        meta.index,
        meta.term,
        list(meta.members),
        progress.snapshot_offset,
        meta.size,
        state.sequence,
        b"",
    )
    state.chunk_reads.append((peer, chunk))


def chunk_length(chunk: SnapshotChunk) -> int:
    """Return how many bytes of the snapshot belong into ``chunk``."""
    return min(LOG_SNAPSHOT_CHUNK_BYTES, chunk.total - chunk.offset)


def count_chunk(
    state: GroupState, sender: str, answer: SnapshotAnswer, now: float
) -> bool:
    """Note which chunk a member wants next; return whether it is ours to serve."""
    if answer.term > state.term:
        state.become_follower(answer.term, "", now)
        return False
    progress = state.progress.get(sender)
    if state.role != LEADER or answer.term < state.term or progress is None:
        return False
    progress.last_answer_at = now
    progress.sequence = max(progress.sequence, answer.sequence)
    meta = state.snapshot
    if meta is None or answer.index != meta.index:
        return True
    # A member that holds all bytes is still installing; its append answer follows.
    if progress.snapshot_index == meta.index and answer.offset < meta.size:
        progress.snapshot_offset = answer.offset
        send_chunk(state, sender, progress, force=True)
    return True


def is_transferring(state: GroupState, now: float) -> bool:
    """Return whether a live member is receiving the current snapshot.

    A newer snapshot would restart the transfer, so none is taken meanwhile.
    """
    oldest = now - state.timing.election_s
    return state.installing or any(
        progress.snapshot_index and progress.last_answer_at >= oldest
        for progress in state.progress.values()
    )


def store_chunk(
    state: GroupState, sender: str, chunk: SnapshotChunk, now: float
) -> bool:
    """Take a chunk; return whether the leader should get an append answer."""
    if chunk.term < state.term:
        _answer(state, sender, chunk, 0)
        return False
    state.follow(chunk.term, sender, now)
    state.echoed_sequence = max(state.echoed_sequence, chunk.sequence)
    if state.installing:
        _answer(state, sender, chunk, chunk.total)
        return False
    if chunk.index <= state.commit:
        state.matched_index = max(state.matched_index, state.commit)
        return True
    _take_chunk(state, sender, chunk)
    return False


def _take_chunk(state: GroupState, sender: str, chunk: SnapshotChunk) -> None:
    meta = SnapshotMeta(chunk.index, chunk.last_term, tuple(chunk.members), chunk.total)
    if state.incoming != meta or state.incoming_term != state.term:
        state.incoming = meta
        state.incoming_term = state.term
        state.incoming_offset = 0
    if chunk.offset == state.incoming_offset:
        state.chunk_writes.append(chunk)
        state.incoming_offset += len(chunk.data)
    if state.incoming_offset >= chunk.total:
        state.installing = True
        state.install = meta
    _answer(state, sender, chunk, state.incoming_offset)


def _answer(
    state: GroupState, receiver: str, chunk: SnapshotChunk, offset: int
) -> None:
    answer = SnapshotAnswer(
        state.group, state.term, chunk.index, offset, state.echoed_sequence
    )
    state.send(receiver, answer)


def finish_install(state: GroupState, meta: SnapshotMeta) -> None:
    """Continue after a durable, restored snapshot.

    Entries that follow the snapshot stay if the log agrees with it: some of them
    may have been acknowledged.
    """
    state.installing = False
    state.incoming = None
    if meta.index <= state.commit:
        return
    if state.log.term_at(meta.index) == meta.term:
        state.trim(meta, LOG_RETAINED_ENTRIES)
    else:
        state.snapshot = meta
        state.reset_log(meta)
    state.commit = state.delivered = meta.index
    if state.term == state.incoming_term:
        state.matched_index = max(state.matched_index, meta.index)


def abandon_install(state: GroupState) -> None:
    """Forget a received snapshot that could not be stored or is damaged."""
    state.installing = False
    state.incoming = None
    state.incoming_offset = 0


def compact(state: GroupState, meta: SnapshotMeta) -> None:
    """Drop entries that the own durable snapshot covers."""
    if state.snapshot is None or meta.index > state.snapshot.index:
        state.trim(meta, LOG_RETAINED_ENTRIES)
