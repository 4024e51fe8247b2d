"""Storage must return exactly what it acknowledged, or refuse."""

import contextlib
import logging
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jasminewharf.bench.memory_files import MemoryFiles, SimulatedCrash
from jasminewharf.decisions.records import COMMAND, Entry, HardState, LogReset
from jasminewharf.exceptions import CorruptLog, StorageError, StorageFull
from jasminewharf.messages.log import MemberRecord
from jasminewharf.services.disk import Disk
from jasminewharf.services.files import DiskFiles
from jasminewharf.services.storage import GroupStorage

MEMBERS = (MemberRecord("a/1", "", True),)


def open_storage(files, segment_bytes=300, allocate_bytes=0):
    storage = GroupStorage(files, "g", 7, segment_bytes, allocate_bytes)
    return storage, storage.open()


def make_entry(index, term=1, data=b"data"):
    return Entry(index, term, COMMAND, data)


def write_entries(files, count, **options):
    storage, _ = open_storage(files, **options)
    for index in range(1, count + 1):
        storage.write([make_entry(index)])
    return storage


@contextlib.contextmanager
def fill_after_opening(files):
    """Fill the disk once the next file has been made."""
    make_file = files.open

    def open_and_fill(path):
        file = make_file(path)
        files.full = True
        return file

    files.open = open_and_fill
    yield
    files.open = make_file
    files.full = False


def segments(files):
    return [name for name in files.list_folder("g") if name.startswith("segment")]


class Model:
    """What the storage has acknowledged, and what it was writing at a crash."""

    def __init__(self, allocate_bytes):
        self.files = MemoryFiles()
        self.options = {"allocate_bytes": allocate_bytes}
        self.storage, _ = open_storage(self.files, **self.options)
        self.acknowledged = (HardState(0, ""), [])
        self.attempted = self.acknowledged

    def _append(self, source):
        hard_state, entries = self.acknowledged
        term = hard_state.term + source.randrange(2)
        kept = len(entries) - source.choice((0, 0, 0, min(len(entries), 3)))
        data = source.randbytes(source.randrange(60))
        added = [make_entry(kept + i, term, data) for i in (1, 2, 3)]
        state = HardState(term, source.choice("abc"))
        self.attempted = (state, entries[:kept] + added)
        self.storage.write([state, *added])
        self.acknowledged = self.attempted

    def act(self, action, source):
        try:
            if action == "crash":
                self.files.crash_after = source.randrange(1, 4)
            elif action in ("full", "space"):
                self.files.full = action == "full"
            self._append(source)
        except StorageFull:
            assert self.files.full
        except SimulatedCrash:
            self.files.full = False
            self.files.crash(source)
            self.reopen()

    def reopen(self):
        self.storage, restored = open_storage(self.files, **self.options)
        found = (restored.hard_state, restored.entries)
        assert found in (self.acknowledged, self.attempted)
        self.acknowledged = self.attempted = found


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.sampled_from(["write", "write", "crash", "full", "space"]), max_size=40
    ),
    st.integers(0, 2**32),
    st.sampled_from([0, 128, 4096]),
)
def test_acknowledged_records_survive_crashes_and_a_full_disk(
    actions, seed, allocate_bytes
):
    logging.disable(logging.CRITICAL)
    source = random.Random(seed)
    model = Model(allocate_bytes)
    for action in actions:
        model.act(action, source)
    logging.disable(logging.NOTSET)
    # Without a crash an unacknowledged write may be on the disk, torn or whole.
    model.files.crash(source)
    model.reopen()


@settings(derandomize=True)
@given(st.integers(0, 2**32), st.sampled_from([0, 128]))
def test_flipped_bit_is_refused_and_never_skipped(position, allocate_bytes):
    files = MemoryFiles()
    write_entries(files, 12, allocate_bytes=allocate_bytes)
    names = segments(files)
    assert len(names) > 1
    name = names[position % len(names)]
    # The zeros after the last frame hold no record.
    bits = 8 * len(files.read(f"g/{name}").rstrip(b"\0"))
    files.flip_bit(f"g/{name}", position // len(names) % bits)
    with pytest.raises(CorruptLog):
        open_storage(files)


@pytest.mark.parametrize("which", [0, 1, -1])
def test_missing_segment_is_refused(which):
    files = MemoryFiles()
    write_entries(files, 12)
    files.remove(f"g/{segments(files)[which]}")
    with pytest.raises(CorruptLog):
        open_storage(files)


def test_torn_tail_is_cut_and_the_log_continues():
    files = MemoryFiles()
    storage = write_entries(files, 3, segment_bytes=10_000)
    files.crash_after = 2
    with pytest.raises(SimulatedCrash):
        storage.write([make_entry(4, data=b"z" * 100)])
    path = f"g/{segments(files)[0]}"
    torn = len(files.read(path)) - 50
    files.open(path).truncate(torn)
    storage, restored = open_storage(files)
    assert [entry.index for entry in restored.entries] == [1, 2, 3]
    storage.write([make_entry(4)])
    assert open_storage(files)[1].entries[-1] == make_entry(4)


def test_overwritten_entries_whose_segment_was_removed_are_accepted():
    """Guards against the refusal that seed 1477 of the exploration found."""
    files = MemoryFiles()
    storage = write_entries(files, 8, segment_bytes=200)
    storage.write([make_entry(3, term=2)])
    for index in range(4, 12):
        storage.write([make_entry(index, term=2)])
    storage.snapshots.save(11, 2, MEMBERS, b"state")
    # The oldest segment ends before the entries that were overwritten later.
    storage._closed[0] = storage._closed[0]._replace(last_index=0)
    storage.drop_before(0)
    restored = open_storage(files, 200)[1]
    assert restored.entries[-1] == make_entry(11, term=2)


def test_crash_between_snapshot_and_log_reset_leaves_a_usable_log():
    files = MemoryFiles()
    storage = write_entries(files, 3)
    storage.snapshots.save(9, 2, MEMBERS, b"state")
    storage, restored = open_storage(files)
    assert (restored.base, restored.entries) == (LogReset(9, 2), [])
    storage.write([make_entry(10, term=2)])
    assert open_storage(files)[1].entries == [make_entry(10, term=2)]


def test_truncated_log_needs_its_snapshot():
    files = MemoryFiles()
    storage = write_entries(files, 12)
    storage.snapshots.save(10, 1, MEMBERS, b"state")
    storage.drop_before(10)
    assert segments(files)[0] != "segment-0000000000000001"
    restored = open_storage(files)[1]
    assert restored.snapshot.index == 10
    assert restored.entries[-1].index == 12
    files.remove("g/snapshot-0000000000000010")
    with pytest.raises(CorruptLog):
        open_storage(files)


@settings(derandomize=True)
@given(st.integers(0, 2**32))
def test_flipped_bit_in_a_snapshot_is_refused(position):
    files = MemoryFiles()
    storage = write_entries(files, 3)
    storage.snapshots.save(2, 1, MEMBERS, b"state" * 20)
    path = "g/snapshot-0000000000000002"
    files.flip_bit(path, position % (8 * len(files.read(path))))
    with pytest.raises(CorruptLog):
        open_storage(files)


def test_damaged_received_snapshot_is_refused_and_the_old_one_kept():
    files = MemoryFiles()
    storage = write_entries(files, 3)
    old = storage.snapshots.save(2, 1, MEMBERS, b"old")
    storage.snapshots.write_chunk(0, b"not a snapshot, but long enough")
    with pytest.raises(CorruptLog):
        storage.snapshots.install(old._replace(index=3))
    assert open_storage(files)[1].snapshot == old


def test_full_disk_refuses_the_write_and_keeps_reads():
    files = MemoryFiles()
    storage = write_entries(files, 3)
    storage.snapshots.save(2, 1, MEMBERS, b"state")
    files.full = True
    with pytest.raises(StorageFull):
        storage.write([make_entry(4)])
    with pytest.raises(StorageFull):
        storage.snapshots.save(3, 1, MEMBERS, b"newer")
    assert storage.snapshots.read_state() == b"state"
    files.full = False
    storage.write([make_entry(4)])
    assert open_storage(files)[1].entries[-1] == make_entry(4)


def test_snapshot_that_finds_no_space_leaves_nothing_behind():
    """Each try filled up the space that the log needed, until no change was taken."""
    files = MemoryFiles()
    storage = write_entries(files, 3)
    names = files.list_folder("g")
    for index in (1, 2, 3):
        with fill_after_opening(files), pytest.raises(StorageFull):
            storage.snapshots.save(index, 1, MEMBERS, b"state" * 100)
        assert files.list_folder("g") == names


def test_received_snapshot_that_finds_no_space_leaves_nothing_behind():
    """It kept the space, and an end without a beginning stopped the process."""
    files = MemoryFiles()
    storage = write_entries(files, 3)
    old = storage.snapshots.save(2, 1, MEMBERS, b"old")
    names = files.list_folder("g")
    files.full = True
    with pytest.raises(StorageFull):
        storage.snapshots.write_chunk(0, b"first")
    # The install was queued together with the last chunk.
    with pytest.raises(CorruptLog):
        storage.snapshots.install(old._replace(index=3))
    files.full = False
    storage.snapshots.write_chunk(0, b"first")
    files.full = True
    with pytest.raises(StorageFull):
        storage.snapshots.write_chunk(5, b"second")
    with pytest.raises(CorruptLog):
        storage.snapshots.install(old._replace(index=3))
    assert files.list_folder("g") == names
    files.full = False
    assert open_storage(files)[1].snapshot == old


def test_segments_are_removed_once_a_full_disk_has_space():
    """What could not be removed at once was kept until the next start."""
    files = MemoryFiles()
    storage = write_entries(files, 12)
    storage.snapshots.save(12, 1, MEMBERS, b"state")
    remove = files.remove

    def refuse(path):
        raise StorageFull(path)

    files.remove = refuse
    with pytest.raises(StorageFull):
        storage.drop_before(12)
    files.remove = remove
    storage.drop_before(12)
    assert len(segments(files)) == 1


def test_disk_identity_survives_and_logs_without_it_are_refused(tmp_path):
    folder = str(tmp_path / "data")
    disk = Disk(DiskFiles(), folder, "a", ("fleet",))
    disk.found("cluster", MEMBERS)
    again = Disk(DiskFiles(), folder, "a", ("fleet",))
    assert (again.identity, again.cluster) == (disk.identity, "cluster")
    assert len(again.storage("fleet").open().entries) == 1
    with pytest.raises(CorruptLog):
        Disk(DiskFiles(), folder, "b", ("fleet",))
    (tmp_path / "data" / "identity").unlink()
    with pytest.raises(CorruptLog):
        Disk(DiskFiles(), folder, "a", ("fleet",))


def test_replaced_disk_has_a_new_identity(tmp_path):
    first = Disk(DiskFiles(), str(tmp_path / "one"), "a", ("fleet",))
    second = Disk(DiskFiles(), str(tmp_path / "two"), "a", ("fleet",))
    assert first.identity != second.identity


def test_missing_file_is_a_storage_error(tmp_path):
    with pytest.raises(StorageError):
        DiskFiles().read(str(tmp_path / "none"))
