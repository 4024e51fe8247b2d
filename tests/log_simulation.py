"""Seeded exploration of one log group in virtual time, on the real storage code.

Run ``python tests/log_simulation.py --schedules 1000 --steps 4000`` for a long
exploration; a failing schedule is reported with its seed.
"""

import argparse
import heapq
import random
import time
from unittest import mock

import msgspec

from jasminewharf.decisions import records, snapshots
from jasminewharf.decisions.consensus import Consensus
from jasminewharf.decisions.snapshots import chunk_length
from jasminewharf.exceptions import StorageError, StorageFull
from jasminewharf.messages.log import AppendAnswer, MemberRecord, VoteAnswer
from jasminewharf.services.storage import GroupStorage
from log_checks import Checks, InvariantViolation
from memory_files import MemoryFiles, SimulatedCrash

TIMING = records.Timing(0.5, 0.1)
TICK_S = 0.025


class Host:
    """One control host: a disk, and while it is up a member on it."""

    def __init__(self, simulation, name, first_members=None):
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

    def replace_disk(self):
        self.disks += 1
        self.identity = f"{self.name}/{self.disks}"
        self.files = MemoryFiles()
        self.files.ignore_sync = self.simulation.ignore_sync

    def _storage(self):
        allocate_bytes = self.simulation.allocate_bytes
        return GroupStorage(self.files, "g", 7, 2000, allocate_bytes)

    def now(self):
        return self.offset + self.simulation.time * self.rate

    def start(self):
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

    def crash(self):
        self.up = False
        self.life += 1
        self.files.crash(self.simulation.random)
        down_s = self.simulation.random.choice((0.01, 0.3, 2.0))
        self.simulation.after(down_s, self._restart, self.life)

    def _restart(self, life):
        if not self.up and life == self.life:
            self.start()

    def tick(self, life):
        if self.up and life == self.life:
            self.submit(records.Tick())
            self.simulation.after(TICK_S / self.rate, self.tick, life)

    def submit(self, event):
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
        if isinstance(message, VoteAnswer) and message.granted and not message.trial:
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

    def compact(self):
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


class Simulation:
    """A group on a few hosts, with faults drawn from one seed."""

    def __init__(self, seed, *, hosts=3, ignore_sync=False, calm=False):
        self.random = random.Random(seed)
        self.ignore_sync = ignore_sync
        self.time = 0.0
        self.checks = Checks()
        self.installs = 0
        self.faults = False
        self.loss = self.random.choice((0.0, 0.02, 0.2))
        self.delay = self.random.choice((0.001, 0.02, 0.2))
        # Safety must not depend on clocks, so half of the schedules have wild ones.
        self.clock_rates = self.random.choice(((0.9, 1.1), (0.2, 4.0)))
        self.allocate_bytes = self.random.choice((0, 1000))
        if calm:
            self.loss, self.delay, self.clock_rates = 0.02, 0.02, (0.9, 1.1)
        self.fault_rate = self.random.choice((0.02, 0.1, 0.5))
        self.severed = set()
        self._events = []
        self._count = 0
        self._token = 0
        names = [f"h{i}" for i in range(hosts)]
        members = tuple(MemberRecord(f"{name}/1", "", True) for name in names)
        self.hosts = {
            name: Host(self, name, members if name == "h0" else None) for name in names
        }
        for host in self.hosts.values():
            host.start()

    def after(self, delay, function, *arguments):
        self._count += 1
        event = (self.time + delay, self._count, function, arguments)
        heapq.heappush(self._events, event)

    def send(self, sender, receiver, message):
        if self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.loss else 1
        for _ in range(copies):
            delay = self.random.random() * self.delay
            self.after(
                delay, self._deliver, sender.name, sender.identity, receiver, message
            )

    def _deliver(self, sender_name, sender, receiver, message):
        host = self.hosts.get(receiver.partition("/")[0])
        if host is None or not host.up or host.identity != receiver:
            return
        if (sender_name, host.name) not in self.severed:
            host.submit(records.Received(sender, message))

    def leaders(self):
        hosts = [h for h in self.hosts.values() if h.up and h.consensus.is_leader]
        return sorted(hosts, key=lambda host: -host.consensus.term)

    def run(self, steps, faults=True):
        self.faults = faults
        for step in range(steps):
            if step % 10 == 0:
                self.act(faults)
            self.time, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    def act(self, faults):
        """Do what callers, operators and, if ``faults``, misfortune do."""
        host = self.random.choice(list(self.hosts.values()))
        chance = self.random.random()
        if host.up and chance < 0.6:
            self._call(host, chance)
        elif host.up and chance < 0.64:
            host.compact()
        elif chance < 0.70:
            self._change_members(host)
        elif faults and self.random.random() < self.fault_rate:
            self._break(host, chance)

    def _call(self, host, chance):
        self._token += 1
        leaders = self.leaders()
        if chance < 0.35:
            if leaders:
                host = self.random.choice(leaders)
            first = self._token
            self._token += self.random.choice((1, 1, 10))
            commands = [(t, b"%d" % t) for t in range(first, self._token + 1)]
            host.submit(records.Propose(commands))
            return
        if leaders and chance < 0.55:
            host = self.random.choice(leaders)
        host.reads[self._token] = max(self.checks.acknowledged, default=0)
        host.submit(records.Read([self._token]))

    def _change_members(self, host):
        if not host.up or not host.consensus.is_leader:
            return
        known = {m.identity for m in host.consensus.members}
        current = {h.identity for h in self.hosts.values()}
        missing, gone = sorted(current - known), sorted(known - current)
        self._token += 1
        if missing:
            member = MemberRecord(missing[0], "", False)
            host.submit(records.ChangeMembers(self._token, member, ""))
        elif gone:
            host.submit(records.ChangeMembers(self._token, None, gone[0]))
        elif len(known) < 5 and self.random.random() < 0.2:
            name = f"n{self._token}"
            self.hosts[name] = Host(self, name)
            self.hosts[name].start()
        elif len(known) > 3 and self.random.random() < 0.3:
            target = self.random.choice(sorted(known))
            host.submit(records.ChangeMembers(self._token, None, target))
            self._retire(target)
        else:
            host.submit(records.Transfer(self.random.choice(sorted(known))))

    def _retire(self, identity):
        # A removed host stays up for a while and may disturb the others.
        name = identity.partition("/")[0]
        self.after(3.0, self._stop_retired, name, identity)

    def _stop_retired(self, name, identity):
        members = records.decode_members(self.checks.newest_members[1])
        host = self.hosts.get(name)
        if host and host.identity not in {m.identity for m in members}:
            host.up = False
            del self.hosts[name]

    def _break(self, host, chance):
        if chance < 0.74:
            self._crash(host)
        elif chance < 0.76:
            self._lose_disk(host)
        elif chance < 0.78:
            self._jump_clocks()
        elif chance < 0.81:
            leaders = self.leaders()
            if leaders and self.random.random() < 0.7:
                host = leaders[0]
            others = [h for h in self.hosts if h != host.name]
            self.severed = {(host.name, o) for o in others}
            if self.random.random() < 0.7:
                self.severed |= {(o, host.name) for o in others}
        elif chance < 0.85:
            self.severed = set()
        elif chance < 0.87:
            host.files.full = True
        elif chance < 0.90:
            for each in self.hosts.values():
                each.files.full = False

    def _jump_clocks(self):
        # Followers that skip ahead elect a leader while the old one still leads.
        leader_names = {host.name for host in self.leaders()}
        for host in self.hosts.values():
            if host.name not in leader_names:
                host.offset += 5.0
        if self.random.random() < 0.5:
            self.severed = {(a, b) for a in leader_names for b in self.hosts}

    def crash_soon(self, host):
        # Votes and first entries of a term are what a crash can break most.
        if self.faults and self.random.random() < self.fault_rate / 2:
            self.after(self.random.random() * 0.1, self._crash_life, host, host.life)

    def _crash_life(self, host, life):
        if host.up and host.life == life:
            host.crash()

    def _crash(self, host):
        if not host.up:
            return
        if self.random.random() < 0.5:
            host.crash()
        else:
            host.files.crash_after = self.random.randrange(1, 8)

    def _lose_disk(self, host):
        if not self.may_lose(host):
            return
        host.up = False
        host.life += 1
        host.replace_disk()
        self.after(0.1, host._restart, host.life)

    def may_lose(self, host):
        """Return whether a quorum of every configuration keeps its disks."""
        index, data = self.checks.newest_members
        configurations = [records.decode_members(data)]
        # Any later configuration may be on the disk of a host that is down.
        for (at, _), (kind, later, _) in self.checks.entries.items():
            if kind == records.MEMBERS and at > index:
                configurations.append(records.decode_members(later))
        # Before the first commit the founder's disk holds the only configuration.
        if not self.checks.committed:
            return False
        intact = {h.identity for h in self.hosts.values()} - {host.identity}
        for members in configurations:
            voters = {m.identity for m in members if m.voter}
            if len(voters & intact) * 2 <= len(voters):
                return False
        return True

    def settle(self, seconds=30.0):
        """End all faults; the group must then elect, commit and converge."""
        self.loss, self.delay, self.severed = 0.0, 0.002, set()
        self.faults = False
        for host in self.hosts.values():
            host.offset, host.rate = host.now(), 1.0
            host.offset -= self.time
            host.files.full = False
            host.files.crash_after = None
            if not host.up:
                host.start()
        end = self.time + seconds
        proposed = 0
        while self.time < end:
            if self.time > end - seconds / 2 and not proposed and self.leaders():
                self._token += 1
                proposed = self._token
                command = b"last %d" % proposed
                self.leaders()[0].submit(records.Propose([(proposed, command)]))
            self.time, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self._check_settled(proposed)

    def _check_settled(self, proposed):
        if b"last %d" % proposed not in self.checks.acknowledged.values():
            raise InvariantViolation("no commit after all faults had ended")
        leader = self.leaders()[0]
        for member in leader.consensus.members:
            host = self.hosts.get(member.identity.partition("/")[0])
            if host and host.identity == member.identity:
                self.checks.final_state(host.identity, host.state)


def explore(seed, steps, **options):
    """Run one schedule; return the simulation."""
    # Small limits let short schedules reach transfers in several chunks.
    limits = {"LOG_RETAINED_ENTRIES": 5, "LOG_SNAPSHOT_CHUNK_BYTES": 300}
    with mock.patch.multiple(snapshots, **limits):
        simulation = Simulation(seed, **options)
        simulation.run(steps)
        simulation.settle()
    return simulation


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--schedules", type=int, default=100)
    parser.add_argument("--steps", type=int, default=4000)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=1e9)
    options = parser.parse_args()
    began = time.monotonic()
    failed, commands, installs, ran = [], 0, 0, 0
    for seed in range(options.first_seed, options.first_seed + options.schedules):
        if time.monotonic() - began > options.seconds:
            break
        ran += 1
        try:
            simulation = explore(seed, options.steps, hosts=3 + 2 * (seed % 2))
        except Exception as error:
            failed.append(seed)
            print(f"seed {seed}: {type(error).__name__}: {error}", flush=True)
            continue
        commands += len(simulation.checks.acknowledged)
        installs += simulation.installs
    print(
        f"{ran} schedules, {ran * options.steps} steps, {commands} acknowledged "
        f"commands, {installs} installed snapshots, {len(failed)} failed, "
        f"{time.monotonic() - began:.1f} s"
    )


if __name__ == "__main__":
    main()
