"""Runs one log group on one control host: files, decisions and waiting callers."""

import asyncio
import heapq
import logging
from collections.abc import Callable
from concurrent.futures import Executor
from typing import Any

from .. import events
from ..decisions import records
from ..decisions.consensus import Consensus
from ..defaults import (
    LOG_COMMAND_LIMIT_BYTES,
    LOG_FULL_HANDOVER_S,
    LOG_LEADERLESS_REPEAT_S,
    LOG_LEADERLESS_S,
    LOG_PENDING_LIMIT_COMMANDS,
    LOG_PROPOSE_TIMEOUT_S,
    LOG_READ_TIMEOUT_S,
)
from ..exceptions import (
    MemberChangeRefused,
    NotLeader,
    ProposalRejected,
    QuorumLost,
    StorageFull,
)
from ..messages.log import MemberRecord
from .groupsnapshots import GroupSnapshots
from .logwriter import LogWriter
from .statemachine import StateMachine
from .storage import GroupStorage
from .waiters import Waiters

__all__ = ["GroupRunner"]

_logger = logging.getLogger(__name__)


class GroupRunner:
    """One group on one host.

    Args:
        group: The group's name.
        consensus: The group's decisions.
        storage: The group's opened storage.
        snapshot_entries: Number of entries after which a snapshot is taken.
        send: Sends a message to a member.
        executor: Runs blocking file operations.
        first_token: A random number from which proposals and reads are counted, so
            that answers to an earlier life of the process match none of them.
    """

    def __init__(
        self,
        group: str,
        consensus: Consensus,
        storage: GroupStorage,
        snapshot_entries: int,
        send: Callable[[str, Any], None],
        executor: Executor,
        first_token: int,
    ) -> None:
        self.group = group
        self.consensus = consensus
        self.applied = 0
        self._storage = storage
        self.send = send
        self._loop = asyncio.get_running_loop()
        self._writer = LogWriter(group, storage, executor, self._note_synced)
        self._snapshots = GroupSnapshots(self, storage, self._writer, snapshot_entries)
        self._proposals = Waiters(group, LOG_PROPOSE_TIMEOUT_S, first_token)
        self._reads = Waiters(group, LOG_READ_TIMEOUT_S, first_token)
        self._machine: StateMachine | None = None
        self._subscribers: list[
            tuple[Callable[[int, bytes], None], Callable[[int], None] | None]
        ] = []
        self._new_commands: list[tuple[int, bytes]] = []
        self._new_reads: list[int] = []
        self._flush_scheduled = False
        self._at_index: dict[int, tuple[int, int]] = {}
        self._confirmed_reads: list[tuple[int, int]] = []
        self._known_leader = ""
        self._leaderless_since: float | None = self._loop.time()
        self._next_missing_at = self._loop.time() + LOG_LEADERLESS_S
        self._known_members: tuple[MemberRecord, ...] = ()
        self._changes: set[int] = set()
        self._next_hand_over = float("-inf")

    # Requests of other services.

    def set_machine(self, machine: StateMachine) -> None:
        """Restore ``machine`` and apply to it what is committed."""
        self._machine = machine
        snapshot = self._storage.snapshots.newest
        if snapshot is not None:
            machine.restore(self._storage.snapshots.read_state())
            self.applied = snapshot.index
        self._apply_committed()

    def subscribe(
        self,
        callback: Callable[[int, bytes], None],
        on_restore: Callable[[int], None] | None,
    ) -> None:
        """Call ``callback`` with every command that is applied from now on."""
        self._subscribers.append((callback, on_restore))

    def propose(self, command: bytes) -> asyncio.Future[tuple[int, bytes]]:
        """Queue a command; the future ends with its index and result.

        Raises:
            NotLeader: If this member does not lead.
            StorageFull: If the disk is full.
            ProposalRejected: If the command is too long or too many are in flight.
        """
        if not self.consensus.is_leader:
            raise NotLeader(self.group, self.consensus.leader)
        if self._writer.full:
            raise StorageFull(f"the disk of group {self.group} is full")
        if len(command) > LOG_COMMAND_LIMIT_BYTES:
            raise ProposalRejected(f"a command of {len(command)} bytes is too long")
        if len(self._proposals) >= LOG_PENDING_LIMIT_COMMANDS:
            raise ProposalRejected(f"too many commands in flight in {self.group}")
        token, future = self._proposals.add()
        self._new_commands.append((token, command))
        self._schedule_flush()
        return future

    def read(self) -> asyncio.Future[int]:
        """Start a quorum-confirmed read; the future ends with its index."""
        token, future = self._reads.add()
        self._new_reads.append(token)
        self._schedule_flush()
        return future

    def change_members(
        self, member: MemberRecord | None, identity: str
    ) -> asyncio.Future[tuple[int, bytes]]:
        """Add ``member`` as a learner, or remove ``identity``.

        Raises:
            NotLeader: If this member does not lead.
        """
        if not self.consensus.is_leader:
            raise NotLeader(self.group, self.consensus.leader)
        token, future = self._proposals.add()
        self._changes.add(token)
        self.submit(records.ChangeMembers(token, member, identity))
        self._changes.discard(token)
        return future

    def hand_over(self) -> bool:
        """Hand leadership to another member; return whether there is one."""
        successor = ""
        if self.consensus.is_leader:
            successor = self.consensus.choose_successor(self._loop.time())
        if successor:
            self.submit(records.Transfer(successor))
        return bool(successor)

    def take_member_change(self) -> bool:
        """Return whether the configuration changed since the last call."""
        changed = self.consensus.members != self._known_members
        self._known_members = self.consensus.members
        return changed

    def _schedule_flush(self) -> None:
        # Everything that is asked for in one turn of the event loop is one step.
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        if self._new_commands:
            commands, self._new_commands = self._new_commands, []
            self.submit(records.Propose(commands))
        if self._new_reads:
            reads, self._new_reads = self._new_reads, []
            self.submit(records.Read(reads))

    # Running.

    async def run(self) -> None:
        """Write to the files until cancelled; raises :class:`StorageError`."""
        await self._writer.run()

    def tick(self) -> None:
        """Let time pass and give up on callers whose time is over."""
        self.submit(records.Tick())
        now = self._loop.time()
        if self._writer.full and now >= self._next_hand_over:
            self._leave_to_hosts_with_space(now)
        self._proposals.expire(now)
        self._reads.expire(now)
        if self._leaderless_since is not None and now >= self._next_missing_at:
            self._report_missing_leader(now)

    def leaderless_s(self) -> float:
        """Return the seconds for which no leader is known here; 0 if one is."""
        if self._leaderless_since is None:
            return 0.0
        return self._loop.time() - self._leaderless_since

    def _report_missing_leader(self, now: float) -> None:
        self._next_missing_at = now + LOG_LEADERLESS_REPEAT_S
        events.emit(
            _logger,
            events.LEADER_MISSING,
            group=self.group,
            term=self.consensus.term,
            for_s=round(self.leaderless_s(), 1),
            voters=[m.identity for m in self.consensus.members if m.voter],
        )

    def _leave_to_hosts_with_space(self, now: float) -> None:
        """Hand leadership over if a quorum of others has stored what this host cannot.

        A leader whose disk is full refuses all commands.
        """
        consensus = self.consensus
        if not consensus.is_leader or consensus.commit_index <= consensus.durable_index:
            return
        self._next_hand_over = now + LOG_FULL_HANDOVER_S
        if self.hand_over():
            events.emit(_logger, events.LEADERSHIP_LEFT, group=self.group)

    def stop(self) -> None:
        """Fail the waiting callers and close the files."""
        error = QuorumLost(f"the log group {self.group} is stopping")
        self._proposals.fail_all(error)
        self._reads.fail_all(error)
        self._storage.close()

    # Steps and their effects.

    def submit(self, event: Any) -> None:
        """Step with an event and carry out the effects."""
        effects = self.consensus.step(event, self._loop.time())
        if effects.persist:
            self._writer.add_records(effects.persist, effects.sync_token)
        for receiver, message in effects.messages:
            self.send(receiver, message)
        for receiver, chunk in effects.chunk_reads:
            self._snapshots.send_chunk(receiver, chunk)
        for chunk in effects.chunk_writes:
            self._snapshots.store_chunk(chunk)
        if effects.install is not None:
            self._snapshots.install(effects.install)
        self._note_outcomes(effects)
        if effects.committed:
            self._apply_committed()
        self._note_leader()

    def _note_synced(self, token: int) -> None:
        self.submit(records.Synced(token))

    def _note_outcomes(self, effects: records.Effects) -> None:
        for token, index, term in effects.accepted:
            if index <= self.applied:
                self._proposals.finish(token, (index, b""))
            else:
                self._at_index[index] = (term, token)
        for token in effects.refused:
            self._proposals.fail(token, self._refusal(token))
        for token, index in effects.reads:
            if index < 0:
                self._reads.fail(token, NotLeader(self.group, self.consensus.leader))
            else:
                heapq.heappush(self._confirmed_reads, (index, token))
        self._finish_reads()

    def _refusal(self, token: int) -> Exception:
        if not self.consensus.is_leader:
            return NotLeader(self.group, self.consensus.leader)
        if token in self._changes:
            return MemberChangeRefused(f"{self.group}: a change is in progress")
        # Leadership is being handed over.
        return NotLeader(self.group, "")

    def _finish_reads(self) -> None:
        reads = self._confirmed_reads
        while reads and reads[0][0] <= self.applied:
            index, token = heapq.heappop(reads)
            self._reads.finish(token, index)

    def _note_leader(self) -> None:
        leader = self.consensus.leader
        if leader != self._known_leader:
            self._known_leader = leader
            now = self._loop.time()
            self._leaderless_since = None if leader else now
            self._next_missing_at = now + LOG_LEADERLESS_S
            events.emit(
                _logger,
                events.LEADER_CHANGED,
                group=self.group,
                leader=leader,
                term=self.consensus.term,
            )

    # Applying.

    def _apply_committed(self) -> None:
        if self._machine is None:
            return
        first, last = self.applied + 1, self.consensus.commit_index
        for entry in self.consensus.entries_between(first, last):
            self._apply_entry(entry)
        self._finish_reads()
        self._snapshots.save_if_due(self._machine)

    def _apply_entry(self, entry: records.Entry) -> None:
        result = b""
        error: Exception | None = None
        if entry.kind == records.COMMAND:
            try:
                result = self._machine.apply(entry.index, entry.data)
            except ProposalRejected as rejection:
                error = rejection
        self.applied = entry.index
        self._snapshots.note_applied(len(entry.data))
        self._tell_proposer(entry, result, error)
        if entry.kind == records.COMMAND:
            for callback, _ in self._subscribers:
                callback(entry.index, entry.data)

    def _tell_proposer(
        self, entry: records.Entry, result: bytes, error: Exception | None
    ) -> None:
        proposed = self._at_index.pop(entry.index, None)
        if proposed is None:
            return
        term, token = proposed
        if term != entry.term:
            # Another leader's entry took the place, so this one never commits.
            error = NotLeader(self.group, self.consensus.leader)
        if error is not None:
            self._proposals.fail(token, error)
        else:
            self._proposals.finish(token, (entry.index, result))

    def replace_state(self, index: int, state: bytes) -> None:
        """Restore the machine from a snapshot that covers ``index``."""
        if self._machine is not None:
            self._machine.restore(state)
            self.applied = index
        for at in [at for at in self._at_index if at <= index]:
            _, token = self._at_index.pop(at)
            text = f"{self.group}: the outcome is covered by a snapshot"
            self._proposals.fail(token, QuorumLost(text))

    def announce_restore(self, index: int) -> None:
        """Tell subscribers that commands up to ``index`` were skipped."""
        for _, on_restore in self._subscribers:
            if on_restore is not None:
                on_restore(index)
        self._finish_reads()
