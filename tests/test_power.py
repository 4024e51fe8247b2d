"""Power fails after each file operation; nothing acknowledged or acted on is lost."""

import copy
import random

import pytest

from jasminewharf.bench.memory_files import MemoryFiles, SimulatedCrash
from jasminewharf.decisions.records import COMMAND, Entry, HardState, LogReset
from jasminewharf.messages.log import MemberRecord
from jasminewharf.services.disk import Disk
from jasminewharf.services.snapshotfiles import SnapshotFiles
from jasminewharf.services.storage import GroupStorage

MEMBERS = (MemberRecord("a/1", "", True),)
SEEDS = range(6)
_SEGMENT_BYTES = 150


class Member:
    """A member's work on its disk, and what it may have told others.

    Attributes:
        held: Cluster, vote and entries or snapshot that it has vouched for.
        attempted: What a write that a power loss cuts may leave too.
    """

    def __init__(self, files):
        self.files = files
        self.held = self.attempted = None

    def open(self):
        """Start on the disk as it is, and return what a started member acts on."""
        disk = Disk(self.files, "disk/data", "a", ("g",))
        if not disk.cluster:
            return (disk.identity, "", None, {})
        storage = disk.storage("g")
        self.storage = GroupStorage(
            self.files, "disk/data/groups/g", storage._seed, _SEGMENT_BYTES, 64
        )
        restored = self.storage.open()
        entries = {entry.index: entry.term for entry in restored.entries}
        covered = restored.snapshot.index if restored.snapshot else 0
        return (disk.identity, disk.cluster, restored.hard_state, entries, covered)

    def _write(self, records, entries, vote):
        identity, cluster, _, _, covered = self.held
        self.attempted = (identity, cluster, vote, entries, covered)
        self.storage.write(records)
        self.held = self.attempted

    def work(self):
        """Found or join, vote, append, replace, compact, and install a snapshot."""
        self.held = self.attempted = self.open()
        self.attempted = None
        disk = Disk(self.files, "disk/data", "a", ("g",))
        disk.found("cluster", MEMBERS)
        self.held = self.attempted = self.open()
        entries = dict(self.held[3])
        for index in range(2, 24):
            term = 1 + index // 8
            vote = HardState(term, f"v{index}")
            entries = {**entries, index: term}
            self._write([vote, Entry(index, term, COMMAND, b"d" * 40)], entries, vote)
        entries = {**{i: t for i, t in entries.items() if i < 20}, 20: 9}
        vote = HardState(9, "b")
        self._write([vote, Entry(20, 9, COMMAND, b"r")], entries, vote)
        self._compact(18)
        self._install(40)
        vote = HardState(10, "c")
        self._write([vote, Entry(41, 10, COMMAND, b"x")], {41: 10}, vote)

    def _compact(self, index):
        self.storage.snapshots.save(index, self.held[3][index], MEMBERS, b"state")
        self.held = (*self.held[:4], index)
        self.attempted = self.held
        self.storage.drop_before(index - 2)

    def _install(self, index):
        other = MemoryFiles()
        meta = SnapshotFiles(other, "o").save(index, 9, MEMBERS, b"newer")
        data = other.read(f"o/snapshot-{index:016d}")
        self.attempted = (*self.held[:3], {}, index)
        self.storage.snapshots.write_chunk(0, data)
        self.storage.snapshots.install(meta)
        self.storage.write([LogReset(index, 9)])
        self.held = self.attempted


def run_until_crash(operations):
    files = MemoryFiles()
    files.crash_after = operations
    member = Member(files)
    try:
        member.work()
    except SimulatedCrash:
        return member
    pytest.fail(f"the work has fewer than {operations} operations")


def count_operations():
    files = MemoryFiles()
    files.crash_after = 10_000
    Member(files).work()
    return 10_000 - files.crash_after


OPERATIONS = range(1, count_operations() + 1)


def check_held(member, found):
    """What others were told is there: the vote, the entries and the identity."""
    if member.held is None:
        return
    for held in (member.held, member.attempted or member.held):
        if covers(found, held):
            return
    assert member.attempted is None
    # The power failed while the member founded its cluster, of which nobody knows.
    assert found[1] in ("", "cluster")


def covers(found, held):
    identity, cluster, vote, entries, *covered = held
    if found[:3] != (identity, cluster, vote):
        return False
    if not cluster:
        return True
    # Entries that a snapshot covers may be gone.
    later = {i: t for i, t in entries.items() if i > found[4]}
    there = {i: t for i, t in found[3].items() if i > found[4]}
    return there == later and found[4] >= covered[0]


def list_crashes():
    """Yield a member after each operation and a source for what its disk keeps."""
    for operations in OPERATIONS:
        member = run_until_crash(operations)
        for seed in SEEDS:
            yield copy.deepcopy(member), random.Random(f"{seed}/{operations}")


def test_power_loss_after_any_file_operation_keeps_what_was_acknowledged():
    """Guards against logs that do not open after a power loss."""
    for member, source in list_crashes():
        member.files.crash(source)
        check_held(member, Member(member.files).open())


def test_what_a_restarted_member_acts_on_survives_a_power_loss():
    """Guards against votes and entries that a killed process wrote but did not sync."""
    for member, source in list_crashes():
        told = Member(member.files).open()
        member.files.crash(source)
        assert Member(member.files).open() == told
