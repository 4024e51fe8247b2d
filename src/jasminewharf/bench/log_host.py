"""A control host in virtual time: its disk, and while it is up a member on it."""

from typing import Any

import msgspec

from ..decisions import records
from ..decisions.consensus import Consensus
from ..decisions.snapshots import chunk_length
from ..exceptions import StorageError, StorageFull
from ..messages.log import AppendAnswer, MemberRecord, VoteAnswer
from ..services.storage import GroupStorage
from .log_checks import InvariantViolation
from .memory_files import MemoryFiles, SimulatedCrash

__all__ = ["TIMING", "Host"]

TIMING = records.Timing(0.5, 0.1)
TICK_S = 0.025


class Host:
    """One control host: a disk, and while it is up a member on it."""

    def __init__(
        self,
        simulation: Any,
        name: str,
        first_members: tuple[MemberRecord, ...] = (),
    ) -> None:
        self.simulation = simulation
        self.name = name
        self.disks = 0
        self.rate = simulation.random.uniform(*simulation.clock_rates)
        self.offset = simulation.random.uniform(0, 1000)
        self.up = False
        self.life = 0
        self.replace_disk()
        if first_members:
            storage = self._storage()
            storage.open()
            data = records.encode_members(first_members)
            first = records.Entry(1, 1, records.MEMBERS, data)
            storage.write([records.HardState(1, ""), first])

    def replace_disk(self) -> None:
        """Lose everything; the host gets a new identity."""
        self.disks += 1
        self.identity = f"{self.name}/{self.disks}"
        self.files = MemoryFiles()
        self.files.ignore_sync = self.simulation.ignore_sync

    def _storage(self):
        allocate_bytes = self.simulation.allocate_bytes
        return GroupStorage(self.files, "g", 7, 2000, allocate_bytes)

    def now(self) -> float:
        """Return the host's own clock."""
        return self.offset + self.simulation.time * self.rate

    def start(self) -> None:
        """Start a member from what the disk holds."""
        self.up = True
        self.life += 1
        self.storage = self._storage()
        restored = self.storage.open()
        self.state = {}
        self.applied = 0
        self.pending = []
        self.jobs = []
        self.writing = False
        self.tokens = {}
        self.reads = {}
        self.durable_index = max(
            [restored.base.index, *(entry.index for entry in restored.entries)]
        )
        if restored.snapshot:
            self._restore(restored.snapshot.index)
        self.consensus = Consensus(
            "g", self.identity, restored, TIMING, self.simulation.random, self.now()
        )
        self.simulation.after(TICK_S, self.tick, self.life)

    def _restore(self, index):
        decoded = msgspec.msgpack.decode(self.storage.snapshots.read_state())
        self.state = dict(decoded)
        self.applied = index

    def crash(self, *, has_power: bool = False) -> None:
        """Lose the process and, without power, unsynced data; restart later."""
        self.up = False
        self.life += 1
        self.files.crash_after = None
        if not has_power:
            self.files.crash(self.simulation.random)
        down_s = self.simulation.random.choice((0.01, 0.3, 2.0))
        self.simulation.after(down_s, self.restart, self.life)

    def restart(self, life: int) -> None:
        """Start again, unless something else happened meanwhile."""
        if not self.up and life == self.life:
            self.start()

    def tick(self, life: int) -> None:
        """Let time pass for the member."""
        if self.up and life == self.life:
            self.submit(records.Tick())
            self.simulation.after(TICK_S / self.rate, self.tick, life)

    def submit(self, event: Any) -> None:
        """Step with an event, check and carry out the effects."""
        was_leader = self.consensus.is_leader
        effects = self.consensus.step(event, self.now())
        consensus, checks = self.consensus, self.simulation.checks
        for record in effects.persist:
            if isinstance(record, records.Entry):
                previous = consensus.term_at(record.index - 1)
                if consensus.term_at(record.index) == record.term and previous >= 0:
                    checks.appended(record, previous)
        for entry in effects.committed:
            checks.commit(entry)
        if consensus.is_leader and not was_leader:
            checks.leader(
                consensus.term, self.identity, consensus.term_at, consensus.base_index
            )
            self.simulation.crash_soon(self)
        if effects.persist:
            self.pending.append((effects.persist, effects.sync_token))
        for receiver, message in effects.messages:
            self._check_message(receiver, message)
            self.simulation.send(self, receiver, message)
        for receiver, chunk in effects.chunk_reads:
            self._send_chunk(receiver, chunk)
        self.jobs.extend((self._store_chunk, chunk) for chunk in effects.chunk_writes)
        if effects.install:
            self.jobs.append((self._install, effects.install))
        for token, index, term in effects.accepted:
            self.tokens[index] = (term, token)
        self._apply()
        for token, index in effects.reads:
            floor = self.reads.pop(token, None)
            if index >= 0 and floor is not None:
                checks.read(index, floor)
        self._schedule_write()

    def _check_message(self, receiver, message):
        checks = self.simulation.checks
        if isinstance(message, AppendAnswer) and message.accepted:
            checks.durable(self.identity, message.match, self.durable_index)
        if isinstance(message, VoteAnswer) and message.granted and not message.pre_vote:
            checks.vote(self.identity, message.term, receiver)
            self.simulation.crash_soon(self)

    def _send_chunk(self, receiver, chunk):
        data = self.storage.snapshots.read_chunk(
            chunk.index, chunk.offset, chunk_length(chunk)
        )
        self.simulation.send(self, receiver, chunk._replace(data=data))

    def _apply(self):
        consensus = self.consensus
        for entry in consensus.entries_between(
            self.applied + 1, consensus.commit_index
        ):
            if entry.index != self.applied + 1:
                raise InvariantViolation(f"{self.identity} skipped an entry")
            self.applied = entry.index
            if entry.kind == records.COMMAND:
                self.state[entry.index] = entry.data
            term, _ = self.tokens.pop(entry.index, (0, 0))
            if term == entry.term and entry.kind == records.COMMAND:
                self.simulation.checks.acknowledge(entry.index, entry.data)

    def _schedule_write(self):
        if (self.pending or self.jobs) and not self.writing:
            self.writing = True
            delay = self.simulation.random.choice((0.0002, 0.001, 0.005, 0.05))
            self.simulation.after(delay, self._write, self.life)

    def _write(self, life):
        if not self.up or life != self.life:
            return
        self.writing = False
        try:
            self._write_pending()
            jobs, self.jobs = self.jobs, []
            for job, argument in jobs:
                job(argument)
        except StorageFull:
            self._schedule_write()
        except SimulatedCrash:
            self.crash()

    def _write_pending(self):
        if not self.pending:
            return
        written = [record for records_, _ in self.pending for record in records_]
        token = self.pending[-1][1]
        self.storage.write(written)
        self.pending.clear()
        for record in written:
            if not isinstance(record, records.HardState):
                self.durable_index = record.index
        self.submit(records.Synced(token))

    def _store_chunk(self, chunk):
        try:
            self.storage.snapshots.write_chunk(chunk.offset, chunk.data)
        except StorageFull:
            self.submit(records.SnapshotFailed())

    def _install(self, meta):
        try:
            self.storage.snapshots.install(meta)
        except (StorageError, StorageFull):
            self.submit(records.SnapshotFailed())
            return
        self._restore(meta.index)
        self.durable_index = max(self.durable_index, meta.index)
        self.submit(records.SnapshotInstalled(meta))
        self.simulation.installs += 1

    def compact(self) -> None:
        """Queue a snapshot of the applied state."""
        consensus = self.consensus
        if consensus.is_transferring(self.now()):
            return
        covered = consensus.snapshot.index if consensus.snapshot else 0
        if self.applied > covered:
            self.jobs.append((self._save, self.applied))
            self._schedule_write()

    def _save(self, index):
        consensus = self.consensus
        newest = self.storage.snapshots.newest
        if consensus.term_at(index) < 0 or (newest and newest.index >= index):
            return
        state = {i: c for i, c in self.state.items() if i <= index}
        meta = self.storage.snapshots.save(
            index,
            consensus.term_at(index),
            consensus.members_at(index),
            msgspec.msgpack.encode(list(state.items())),
        )
        self.submit(records.Compacted(meta))
        self.storage.drop_before(consensus.base_index)
