"""Replicated log: the consensus state machine of one member of one log group.

The state machine performs no I/O and reads no clock. The caller passes each event with
the time, executes the returned effects, and reports what became durable. Votes and
entries are acknowledged only once they are durable.
"""

from collections.abc import Callable
from typing import Any

from ..messages import log as messages
from ..randomness import RandomSource
from . import elections, memberchanges, reads, records, replication, snapshots
from .group import LEADER, GroupState
from .records import Effects, Restored, SnapshotMeta, Timing

__all__ = ["Consensus"]

_Handler = Callable[[GroupState, Any, float], None]
_MessageHandler = Callable[[GroupState, str, Any, float], None]

_EVENTS: dict[type, _Handler] = {}
_MESSAGES: dict[type, _MessageHandler] = {}


def _handles(event_type: type) -> Callable[[_Handler], _Handler]:
    def enter(handler: _Handler) -> _Handler:
        _EVENTS[event_type] = handler
        return handler

    return enter


def _receives(message_type: type) -> Callable[[_MessageHandler], _MessageHandler]:
    def enter(handler: _MessageHandler) -> _MessageHandler:
        _MESSAGES[message_type] = handler
        return handler

    return enter


class Consensus:
    """One member of one log group.

    Args:
        group: The group's name.
        identity: The member's identity: host name, slash, disk identity.
        restored: State read from storage at startup.
        timing: Timeouts.
        random_source: Source of the election timeouts.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        group: str,
        identity: str,
        restored: Restored,
        timing: Timing,
        random_source: RandomSource,
        now: float,
    ) -> None:
        self._state = GroupState(group, identity, restored, timing, random_source, now)

    def step(self, event: Any, now: float) -> Effects:
        """Process an event and return the effects for the caller to execute.

        Args:
            event: One of the event types in ``records``.
            now: Monotonic seconds.
        """
        state = self._state
        _EVENTS[type(event)](state, event, now)
        self._deliver_own(now)
        memberchanges.step_down_if_removed(state, now)
        return state.take_effects()

    def _deliver_own(self, now: float) -> None:
        state = self._state
        own = [m for receiver, m in state.messages if receiver == state.identity]
        if own:
            state.messages = [m for m in state.messages if m[0] != state.identity]
            for message in own:
                _MESSAGES[type(message)](state, state.identity, message, now)

    @property
    def role(self) -> str:
        """The current role."""
        return self._state.role

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader of its term."""
        return self._state.role == LEADER

    @property
    def leader(self) -> str:
        """Identity of the known leader, or an empty string."""
        return self._state.leader

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def vote(self) -> str:
        """The member voted for in the current term, or an empty string."""
        return self._state.vote

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry known here."""
        return self._state.commit

    @property
    def durable_index(self) -> int:
        """Index of the last entry that is durable here."""
        return self._state.durable

    @property
    def base_index(self) -> int:
        """Index before the first entry held in memory."""
        return self._state.log.base_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._state.log.last_index

    @property
    def snapshot(self) -> SnapshotMeta | None:
        """The newest snapshot."""
        return self._state.snapshot

    @property
    def members(self) -> tuple[messages.MemberRecord, ...]:
        """The newest configuration in the log."""
        return self._state.members

    def members_at(self, index: int) -> tuple[messages.MemberRecord, ...]:
        """Return the configuration active at ``index``."""
        return self._state.members_at(index)

    def term_at(self, index: int) -> int:
        """Return the term of the entry at ``index``, or -1 if it is not held."""
        return self._state.log.term_at(index)

    def entries_between(self, first: int, last: int) -> list[records.Entry]:
        """Return the held entries from ``first`` to ``last``."""
        return self._state.log.between(first, last)

    def choose_successor(self, now: float) -> str:
        """Return the best target of a leadership transfer, or an empty string."""
        return elections.choose_successor(self._state, now)

    def silent_members(self, seconds: float, now: float) -> set[str]:
        """Return members that have not answered this leader for ``seconds``."""
        progress = self._state.progress
        return {
            name
            for name, item in progress.items()
            if now - item.last_answer_at >= seconds
        }

    def find_successors(self, now: float) -> set[str]:
        """Return learners that answer this leader and hold its log."""
        return memberchanges.find_successors(self._state, now)

    def is_transferring(self, now: float) -> bool:
        """Return whether a snapshot is being sent or installed."""
        return snapshots.is_transferring(self._state, now)


@_handles(records.Tick)
def _tick(state: GroupState, event: records.Tick, now: float) -> None:
    if state.role != LEADER:
        reads.expire_reads(state, now)
        if now >= state.election_deadline and not state.installing:
            elections.start_pre_vote(state, now)
        return
    elections.check_quorum(state, now)
    if state.role != LEADER:
        return
    memberchanges.promote_learners(state, now)
    if now >= state.heartbeat_due or state.commit_unannounced:
        replication.send_heartbeats(state, now)


@_handles(records.Received)
def _receive(state: GroupState, event: records.Received, now: float) -> None:
    handler = _MESSAGES.get(type(event.message))
    if handler is not None:
        handler(state, event.sender, event.message, now)


@_handles(records.Propose)
def _propose(state: GroupState, event: records.Propose, now: float) -> None:
    replication.propose(state, event.commands)


@_handles(records.Read)
def _read(state: GroupState, event: records.Read, now: float) -> None:
    reads.request_reads(state, event.tokens, now)


@_handles(records.Synced)
def _synced(state: GroupState, event: records.Synced, now: float) -> None:
    rose = state.mark_synced(event.token)
    if state.role == LEADER:
        replication.commit_durable(state)
        reads.confirm_reads(state, now)
    elif rose:
        replication.acknowledge_durable(state)


@_handles(records.Compacted)
def _compacted(state: GroupState, event: records.Compacted, now: float) -> None:
    snapshots.compact(state, event.meta)


@_handles(records.SnapshotInstalled)
def _installed(state: GroupState, event: records.SnapshotInstalled, now: float) -> None:
    snapshots.finish_install(state, event.meta)
    replication.acknowledge_durable(state)


@_handles(records.SnapshotFailed)
def _failed(state: GroupState, event: records.SnapshotFailed, now: float) -> None:
    snapshots.abandon_install(state)


@_handles(records.ChangeMembers)
def _change(state: GroupState, event: records.ChangeMembers, now: float) -> None:
    memberchanges.change_members(state, event, now)


@_handles(records.Transfer)
def _transfer(state: GroupState, event: records.Transfer, now: float) -> None:
    elections.start_transfer(state, event.target, now)


_receives(messages.RequestVote)(elections.handle_vote_request)
_receives(messages.VoteAnswer)(elections.count_vote)
_receives(messages.AppendEntries)(replication.store_append)
_receives(messages.TimeoutNow)(elections.handle_timeout_now)
_receives(messages.ReadIndex)(reads.answer_read)


@_receives(messages.AppendAnswer)
def _count_append(
    state: GroupState, sender: str, answer: messages.AppendAnswer, now: float
) -> None:
    if replication.handle_append_answer(state, sender, answer, now):
        reads.confirm_reads(state, now)
        if sender == state.transfer_target:
            elections.finish_transfer(state)


@_receives(messages.SnapshotChunk)
def _store_chunk(
    state: GroupState, sender: str, chunk: messages.SnapshotChunk, now: float
) -> None:
    if snapshots.store_chunk(state, sender, chunk, now):
        replication.acknowledge_durable(state)


@_receives(messages.SnapshotAnswer)
def _on_snapshot_answer(
    state: GroupState, sender: str, answer: messages.SnapshotAnswer, now: float
) -> None:
    if snapshots.count_chunk(state, sender, answer, now):
        reads.confirm_reads(state, now)


@_receives(messages.ReadIndexAnswer)
def _finish_read(
    state: GroupState, sender: str, answer: messages.ReadIndexAnswer, now: float
) -> None:
    reads.handle_read_index_answer(state, answer)
