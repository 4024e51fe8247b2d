"""Replication of entries from the leader to the other members."""

from ..defaults import (
    LOG_APPEND_LIMIT_BYTES,
    LOG_APPEND_LIMIT_ENTRIES,
    LOG_WINDOW_BYTES,
    LOG_WINDOW_ENTRIES,
)
from ..exceptions import LogDivergence
from ..messages.log import AppendAnswer, AppendEntries
from .group import LEADER, GroupState
from .progress import Progress
from .records import COMMAND, NOOP, Entry
from .snapshots import send_chunk

__all__ = [
    "acknowledge_durable",
    "broadcast",
    "commit_durable",
    "handle_append_answer",
    "propose",
    "replicate",
    "send_heartbeats",
    "start_leading",
    "store_append",
]


def start_leading(state: GroupState, now: float) -> None:
    """Become the leader and append a no-op entry of the new term."""
    state.role = LEADER
    state.has_seen_leader = True
    state.leader = state.identity
    state.votes = set()
    next_index = state.log.last_index + 1
    state.progress = {peer: Progress(next_index, now) for peer in state.peers()}
    state.append(Entry(next_index, state.term, NOOP, b""))
    send_heartbeats(state, now)


def propose(state: GroupState, commands: list[tuple[int, bytes]]) -> None:
    """Append commands, or reject them if this member cannot accept proposals."""
    if state.role != LEADER or state.transfer_target:
        state.refused.extend(token for token, _ in commands)
        return
    for token, data in commands:
        entry = Entry(state.log.last_index + 1, state.term, COMMAND, data)
        state.append(entry)
        state.accepted.append((token, entry.index, entry.term))
    broadcast(state)


def send_heartbeats(state: GroupState, now: float) -> None:
    """Send a message to every member even if there are no new entries."""
    # Aligned to multiples of the interval, so that all groups of a host share a batch.
    interval = state.timing.heartbeat_s
    state.heartbeat_due = (now // interval + 1) * interval
    state.commit_unannounced = False
    for peer in state.peers():
        replicate(state, peer, force=True)


def broadcast(state: GroupState) -> None:
    """Send new entries to every member whose in-flight window has room."""
    for peer in state.peers():
        replicate(state, peer, force=False)


def replicate(state: GroupState, peer: str, *, force: bool) -> None:
    """Send one member the entries it is missing.

    Args:
        state: The leader's state.
        peer: The member.
        force: Whether to send a message even if there are no new entries.
    """
    progress = state.progress.get(peer)
    if progress is None:
        return
    if progress.next <= state.log.base_index:
        send_chunk(state, peer, progress, force=force)
        return
    if progress.probing:
        if force or not progress.paused:
            progress.paused = True
            _send_append(state, peer, progress)
        return
    sent = False
    while _has_room(state, progress):
        progress.next += _send_append(state, peer, progress)
        sent = True
    if force and not sent:
        _send_heartbeat(state, peer, progress)


def _has_room(state: GroupState, progress: Progress) -> bool:
    if progress.next > state.log.last_index:
        return False
    entries = progress.next - 1 - progress.match
    return entries < LOG_WINDOW_ENTRIES and progress.in_flight_bytes < LOG_WINDOW_BYTES


def _send_append(state: GroupState, peer: str, progress: Progress) -> int:
    batch = state.log.batch(
        progress.next, LOG_APPEND_LIMIT_ENTRIES, LOG_APPEND_LIMIT_BYTES
    )
    _send_entries(state, peer, progress.next - 1, batch)
    if not progress.probing:
        size = sum(len(entry.data) for entry in batch)
        progress.in_flight.append((progress.next - 1 + len(batch), size))
        progress.in_flight_bytes += size
    return len(batch)


def _send_heartbeat(state: GroupState, peer: str, progress: Progress) -> None:
    _send_entries(state, peer, progress.next - 1, [])


def _send_entries(
    state: GroupState, peer: str, prev_index: int, batch: list[Entry]
) -> None:
    message = AppendEntries(
        state.group,
        state.term,
        prev_index,
        state.log.term_at(prev_index),
        state.commit,
        state.sequence,
        [(entry.term, entry.kind, entry.data) for entry in batch],
    )
    state.send(peer, message)


def store_append(
    state: GroupState, sender: str, message: AppendEntries, now: float
) -> None:
    """Store entries from the leader; they are acknowledged once durable."""
    if message.term < state.term:
        _answer(state, sender, accepted=False, match=0, hint=0)
        return
    state.follow(message.term, sender, now)
    if state.installing:
        return
    state.echoed_sequence = max(state.echoed_sequence, message.sequence)
    hint = _find_disagreement(state, message)
    if hint >= 0:
        _answer(state, sender, accepted=False, match=0, hint=hint)
        return
    stored = _store_entries(state, message)
    end = message.prev_index + len(message.entries)
    state.matched_index = max(state.matched_index, end)
    state.advance_commit(min(message.commit, end))
    if not stored:
        acknowledge_durable(state)


def _find_disagreement(state: GroupState, message: AppendEntries) -> int:
    """Return an index at which the logs may match, or -1 if ``prev_index`` matches."""
    log = state.log
    prev = message.prev_index
    if prev > log.last_index:
        return log.last_index
    if prev < log.base_index or log.term_at(prev) == message.prev_term:
        return -1
    return max(log.first_of_term(prev) - 1, state.commit)


def _store_entries(state: GroupState, message: AppendEntries) -> bool:
    stored = False
    index = message.prev_index
    for term, kind, data in message.entries:
        index += 1
        if index <= state.log.base_index or state.log.term_at(index) == term:
            continue
        if index <= state.commit:
            raise LogDivergence(state.group, index)
        if index <= state.log.last_index:
            state.truncate(index)
        state.append(Entry(index, term, kind, data))
        stored = True
    return stored


def acknowledge_durable(state: GroupState) -> None:
    """Acknowledge to the leader the entries that match its log and are durable."""
    if state.role == LEADER or not state.leader:
        return
    match = min(state.matched_index, state.durable)
    _answer(state, state.leader, accepted=True, match=match, hint=0)


def _answer(
    state: GroupState, receiver: str, *, accepted: bool, match: int, hint: int
) -> None:
    answer = AppendAnswer(
        state.group, state.term, accepted, match, hint, state.echoed_sequence
    )
    state.send(receiver, answer)


def handle_append_answer(
    state: GroupState, sender: str, answer: AppendAnswer, now: float
) -> bool:
    """Record an append answer; return whether it is for this member as leader."""
    if answer.term > state.term:
        state.become_follower(answer.term, "", now)
        return False
    progress = state.progress.get(sender)
    if state.role != LEADER or answer.term < state.term or progress is None:
        return False
    progress.last_answer_at = now
    progress.sequence = max(progress.sequence, answer.sequence)
    if answer.accepted:
        _advance_progress(progress, answer.match)
    else:
        _rewind_progress(progress, answer.hint)
    commit_durable(state)
    replicate(state, sender, force=False)
    return True


def _advance_progress(progress: Progress, match: int) -> None:
    progress.match = max(progress.match, match)
    while progress.in_flight and progress.in_flight[0][0] <= progress.match:
        progress.in_flight_bytes -= progress.in_flight.popleft()[1]
    progress.next = max(progress.next, progress.match + 1)
    progress.probing = False
    progress.paused = False
    progress.snapshot_index = 0


def _rewind_progress(progress: Progress, hint: int) -> None:
    progress.next = max(progress.match + 1, min(progress.next, hint + 1))
    progress.in_flight.clear()
    progress.in_flight_bytes = 0
    progress.probing = True
    progress.paused = False


def commit_durable(state: GroupState) -> None:
    """Commit what is durable on a quorum, if it is of the current term."""
    index = quorum_match(state)
    if index > state.commit and state.log.term_at(index) == state.term:
        state.advance_commit(index)
        state.commit_unannounced = True


def quorum_match(state: GroupState) -> int:
    """Return the highest index that is durable on a majority of the voters."""
    matches = []
    for voter in state.voters():
        if voter == state.identity:
            matches.append(state.durable)
        else:
            progress = state.progress.get(voter)
            matches.append(progress.match if progress else 0)
    if not matches:
        return 0
    matches.sort(reverse=True)
    return matches[len(matches) // 2]
