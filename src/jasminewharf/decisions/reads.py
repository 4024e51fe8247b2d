"""Reads that a quorum confirms."""

from ..messages.log import ReadIndex, ReadIndexAnswer
from .group import LEADER, GroupState
from .replication import send_heartbeats

__all__ = ["answer_read", "confirm_reads", "finish_read", "request_reads"]


def request_reads(state: GroupState, tokens: list[int], now: float) -> None:
    """Ask for an index that covers everything committed before ``now``."""
    if state.role == LEADER:
        _add_reads(state, [("", token) for token in tokens], now)
        return
    for token in tokens:
        if state.leader:
            state.send(state.leader, ReadIndex(state.group, state.term, token))
        else:
            state.reads.append((token, -1))


def answer_read(state: GroupState, sender: str, request: ReadIndex, now: float) -> None:
    """Take a follower's read, or refuse it if this member does not lead."""
    if state.role == LEADER:
        _add_reads(state, [(sender, request.token)], now)
        return
    refusal = ReadIndexAnswer(state.group, state.term, request.token, -1)
    state.send(sender, refusal)


def finish_read(state: GroupState, answer: ReadIndexAnswer) -> None:
    """Pass the leader's answer on."""
    state.reads.append((answer.token, answer.index))


def _add_reads(state: GroupState, reads: list[tuple[str, int]], now: float) -> None:
    if not state.leads_with_commit():
        state.waiting_reads.extend(reads)
        return
    # Answers that echo this number or a later one were given after the request.
    state.sequence += 1
    for reader, token in reads:
        state.pending_reads.append((state.sequence, state.commit, reader, token))
    send_heartbeats(state, now)
    confirm_reads(state, now)


def confirm_reads(state: GroupState, now: float) -> None:
    """Complete the reads that a quorum has confirmed."""
    if state.waiting_reads and state.leads_with_commit():
        waiting, state.waiting_reads = state.waiting_reads, []
        _add_reads(state, waiting, now)
        return
    if not state.pending_reads:
        return
    confirmed = _confirmed_sequence(state)
    ready = [read for read in state.pending_reads if read[0] <= confirmed]
    state.pending_reads = [read for read in state.pending_reads if read[0] > confirmed]
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
