"""Snapshot transfer in chunks, and compaction of the log behind snapshots."""

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
    """Send the next snapshot chunk to a member whose next entry was compacted."""
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
    """Return the number of snapshot bytes that ``chunk`` carries."""
    return min(LOG_SNAPSHOT_CHUNK_BYTES, chunk.total - chunk.offset)


def count_chunk(
    state: GroupState, sender: str, answer: SnapshotAnswer, now: float
) -> bool:
    """Record the offset a member requests next; return whether the answer counts."""
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
    # A member with all bytes is still installing and then sends an append answer.
    if progress.snapshot_index == meta.index and answer.offset < meta.size:
        progress.snapshot_offset = answer.offset
        send_chunk(state, sender, progress, force=True)
    return True


def is_transferring(state: GroupState, now: float) -> bool:
    """Return whether a live member is receiving the current snapshot.

    No newer snapshot is taken meanwhile, since it would restart the transfer.
    """
    oldest = now - state.timing.election_s
    return state.installing or any(
        progress.snapshot_index and progress.last_answer_at >= oldest
        for progress in state.progress.values()
    )


def store_chunk(
    state: GroupState, sender: str, chunk: SnapshotChunk, now: float
) -> bool:
    """Store a chunk; return whether to send the leader an append answer instead."""
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
    """Adopt a received snapshot that is durable and restored.

    Entries after the snapshot are kept if the log matches it, since some of them may
    have been acknowledged.
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
    """Discard a received snapshot that is damaged or could not be stored."""
    state.installing = False
    state.incoming = None
    state.incoming_offset = 0


def compact(state: GroupState, meta: SnapshotMeta) -> None:
    """Remove log entries covered by this member's own durable snapshot."""
    if state.snapshot is None or meta.index > state.snapshot.index:
        state.trim(meta, LOG_RETAINED_ENTRIES)
