"""Linearizable reads: the read index is confirmed by a quorum."""

from ..messages.log import ReadIndex, ReadIndexAnswer
from .group import LEADER, GroupState
from .replication import send_heartbeats

__all__ = [
    "answer_read",
    "confirm_reads",
    "expire_reads",
    "handle_read_index_answer",
    "request_reads",
]


def request_reads(state: GroupState, tokens: list[int], now: float) -> None:
    """Request a read index that covers everything committed before ``now``."""
    if state.role == LEADER:
        _add_reads(state, [("", token) for token in tokens], now)
    elif state.leader:
        # One forwarded request covers all reads of this step.
        state.forwarded_reads[tokens[0]] = (now, tokens)
        state.send(state.leader, ReadIndex(state.group, state.term, tokens[0]))
    else:
        state.reads.extend((token, -1) for token in tokens)


def answer_read(state: GroupState, sender: str, request: ReadIndex, now: float) -> None:
    """Accept a follower's read, or reject it if this member does not lead."""
    if state.role == LEADER:
        _add_reads(state, [(sender, request.token)], now)
        return
    refusal = ReadIndexAnswer(state.group, state.term, request.token, -1)
    state.send(sender, refusal)


def handle_read_index_answer(state: GroupState, answer: ReadIndexAnswer) -> None:
    """Complete forwarded reads with the leader's answer."""
    _, tokens = state.forwarded_reads.pop(answer.token, (0.0, []))
    state.reads.extend((token, answer.index) for token in tokens)


def expire_reads(state: GroupState, now: float) -> None:
    """Reject forwarded reads that time out because a message was lost."""
    oldest = now - 2 * state.timing.election_s
    while state.forwarded_reads:
        first = next(iter(state.forwarded_reads))
        asked, tokens = state.forwarded_reads[first]
        if asked > oldest:
            return
        del state.forwarded_reads[first]
        state.reads.extend((token, -1) for token in tokens)


def _add_reads(state: GroupState, reads: list[tuple[str, int]], now: float) -> None:
    state.waiting_reads.extend(reads)
    confirm_reads(state, now)


def _begin_round(state: GroupState, now: float) -> None:
    # An answer that echoes this sequence or a later one was sent after the requests.
    state.sequence += 1
    for reader, token in state.waiting_reads:
        state.pending_reads.append((state.sequence, state.commit, reader, token))
    state.waiting_reads = []
    send_heartbeats(state, now)


def confirm_reads(state: GroupState, now: float) -> None:
    """Complete reads confirmed by a quorum and start the next confirmation round.

    One round is in flight at a time; reads that arrive meanwhile share the next.
    """
    _finish_round(state)
    may_begin = state.waiting_reads and not state.pending_reads
    if may_begin and state.leads_with_commit():
        _begin_round(state, now)
        _finish_round(state)


def _finish_round(state: GroupState) -> None:
    if not state.pending_reads:
        return
    if state.pending_reads[0][0] > _confirmed_sequence(state):
        return
    ready, state.pending_reads = state.pending_reads, []
    for _, index, reader, token in ready:
        if reader:
            answer = ReadIndexAnswer(state.group, state.term, token, index)
            state.send(reader, answer)
        else:
            state.reads.append((token, index))


def _confirmed_sequence(state: GroupState) -> int:
    sequences = []
    for voter in state.voters():
        progress = state.progress.get(voter)
        if voter == state.identity:
            sequences.append(state.sequence)
        else:
            sequences.append(progress.sequence if progress else 0)
    sequences.sort(reverse=True)
    return sequences[len(sequences) // 2] if sequences else 0
