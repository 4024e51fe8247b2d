"""Durable storage of one log group: segments of checksummed frames.

Every write is one frame, and the next frame is written only after the previous one
is durable. So at most the last frame can be torn by a crash. A bad frame with a
good one after it, or one that is known to have been durable, is corruption. A
segment is allocated in advance and ends in zeros.
"""

import contextlib
import logging
import struct
from typing import Any, NamedTuple

import xxhash

from .. import events
from ..decisions.records import Entry, HardState, LogReset, Restored, SnapshotMeta
from ..defaults import LOG_ALLOCATE_BYTES, LOG_SEGMENT_BYTES
from ..exceptions import CorruptLog, StorageError, StorageFull
from .files import Files, OpenFile
from .frames import encode_frame, has_frame_after, read_frame, unpack_records
from .snapshotfiles import SnapshotFiles

__all__ = ["GroupStorage"]

_logger = logging.getLogger(__name__)
_PREFIX = "segment-"
_MARK = "synced"
_MARK_FORMAT = struct.Struct(">QQ")


class _Segment(NamedTuple):
    name: str
    last_index: int


class _Replay:
    """The state that reading the segments in order builds up."""

    def __init__(self) -> None:
        self.hard_state = HardState(0, "")
        self.base: LogReset | None = None
        self.entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry, 0 if there is none."""
        if self.entries:
            return self.entries[-1].index
        return self.base.index if self.base else 0

    def take(self, record: Any) -> None:
        """Add a record; an entry replaces all from its index on."""
        if isinstance(record, HardState):
            self.hard_state = record
        elif isinstance(record, LogReset):
            self.base = record
            self.entries.clear()
        else:
            self._take_entry(record)

    def _take_entry(self, entry: Entry) -> None:
        # An entry may replace some whose segment has been removed since.
        if self.entries:
            del self.entries[max(entry.index - self.entries[0].index, 0) :]
        follows = not self.entries or self.entries[-1].index == entry.index - 1
        after_base = self.base is None or entry.index > self.base.index
        if not follows or not after_base:
            raise CorruptLog(f"entry {entry.index} does not follow its predecessor")
        self.entries.append(entry)


class GroupStorage:
    """The files of one log group.

    Args:
        files: Access to files.
        folder: The group's folder; it is created if it does not exist.
        seed: Seed of the checksums, from the disk's identity.
        segment_bytes: Size after which a new segment is begun.
        allocate_bytes: Unit in which segments grow, filled with zeros.
    """

    def __init__(
        self,
        files: Files,
        folder: str,
        seed: int,
        segment_bytes: int = LOG_SEGMENT_BYTES,
        allocate_bytes: int = LOG_ALLOCATE_BYTES,
    ) -> None:
        self._files = files
        self._folder = folder
        self._seed = seed
        self._segment_bytes = segment_bytes
        self._allocate_bytes = allocate_bytes
        self.snapshots = SnapshotFiles(files, folder)
        self._closed: list[_Segment] = []
        self._name = ""
        self._file: OpenFile | None = None
        self._mark: OpenFile | None = None
        self._offset = 0
        self._allocated = 0
        self._dirty = False
        self._first_sequence = 1
        self._sequence = 0
        self._last_index = 0
        self._hard_state = HardState(0, "")
        self._unwritten_reset: list[LogReset] = []

    def open(self) -> Restored:
        """Read everything, cut a torn tail and return what is durable.

        Raises:
            CorruptLog: If anything else than the tail is damaged or missing.
        """
        self._files.make_folder(self._folder)
        # What a killed process had written but not synced is read here like the rest,
        # and votes and acknowledgements rest on it from now on.
        self._files.sync_folder(self._folder)
        snapshot = self.snapshots.open()
        replay = self._read_segments()
        self._check_mark()
        if snapshot is None and self._first_sequence > 1:
            raise CorruptLog(f"{self._folder}: the snapshot is missing")
        self._hard_state = replay.hard_state
        self._last_index = replay.last_index
        if not self._name:
            self._begin_segment()
        elif self._file is None:
            self._file = self._files.open(self._path(self._name))
            self._file.sync()
        self._open_mark()
        restored = _restore(replay, snapshot, self._folder)
        if replay.entries and not restored.entries:
            # The next entry does not follow those on the disk, so that the reset,
            # which a crash may have cut off, has to come before it.
            self._unwritten_reset = [restored.base]
        return restored

    def _path(self, name: str) -> str:
        return f"{self._folder}/{name}"

    def _read_segments(self) -> _Replay:
        names = self._files.list_folder(self._folder)
        segments = [name for name in names if name.startswith(_PREFIX)]
        replay = _Replay()
        if segments:
            self._first_sequence = _first_sequence(segments[0])
            self._sequence = self._first_sequence - 1
        for name in segments:
            if self._name:
                self._closed.append(_Segment(self._name, replay.last_index))
            if _first_sequence(name) != self._sequence + 1:
                raise CorruptLog(f"{self._folder}: segment before {name} is missing")
            self._read_segment(name, replay, is_last=name == segments[-1])
        return replay

    def _read_segment(self, name: str, replay: _Replay, *, is_last: bool) -> None:
        data = self._files.read(self._path(name))
        position = 0
        while True:
            frame = read_frame(data, position, self._seed)
            if frame is None or frame.sequence != self._sequence + 1:
                break
            for record in unpack_records(frame.payload):
                replay.take(record)
            self._sequence = frame.sequence
            position = frame.end
        self._name = name
        self._offset = position
        self._allocated = len(data)
        if data[position:].strip(b"\0"):
            if not is_last or has_frame_after(data, position, self._seed):
                raise CorruptLog(f"{self._path(name)}: bad frame at byte {position}")
            self._check_mark()
            self._cut_tail(position, len(data))

    def _cut_tail(self, position: int, size: int) -> None:
        path = self._path(self._name)
        events.emit(
            _logger, events.LOG_TAIL_CUT, file=path, position=position, size=size
        )
        self._file = self._files.open(path)
        self._file.truncate(position)
        self._file.sync()
        self._allocated = position

    def _check_mark(self) -> None:
        """Refuse a log that lacks a frame which was known to be durable."""
        path = self._path(_MARK)
        if not self._files.exists(path):
            return
        data = self._files.read(path)
        if len(data) != _MARK_FORMAT.size:
            return
        sequence, checksum = _MARK_FORMAT.unpack(data)
        # The mark itself is not synced, so a torn one carries no information.
        if checksum == self._mark_checksum(sequence) and sequence > self._sequence:
            raise CorruptLog(
                f"{self._folder}: durable frame {sequence} is missing or damaged; "
                f"last good frame is {self._sequence}"
            )

    def _mark_checksum(self, sequence: int) -> int:
        return xxhash.xxh3_64_intdigest(sequence.to_bytes(8, "big"), seed=self._seed)

    def _begin_segment(self) -> None:
        name = f"{_PREFIX}{self._sequence + 1:016d}"
        file = self._files.open(self._path(name))
        self._files.sync_folder(self._folder)
        if self._file is not None:
            self._file.close()
            self._closed.append(_Segment(self._name, self._last_index))
        self._name, self._file, self._offset, self._allocated = name, file, 0, 0

    def write(self, records: list[Any]) -> None:
        """Write records and make them durable.

        Raises:
            StorageFull: If there is no space; nothing was written and the same
                records may be given again.
            StorageError: On any other failure; the storage must not be used again,
                because a failed sync may have dropped data without a trace.
        """
        if self._dirty:
            self._file.truncate(self._offset)
            self._allocated = self._offset
            self._dirty = False
        if self._offset >= self._segment_bytes:
            self._begin_segment()
        written = [*self._unwritten_reset, *records]
        if self._offset == 0:
            written.insert(0, self._hard_state)
        frame = encode_frame(written, self._sequence + 1, self._seed)
        self._dirty = True
        self._allocate(self._offset + len(frame))
        self._file.write(self._offset, frame)
        self._file.sync()
        self._dirty = False
        self._offset += len(frame)
        self._sequence += 1
        self._unwritten_reset = []
        self._note_records(records)
        self._write_mark()

    def _allocate(self, end: int) -> None:
        # A sync that changes no file size writes no metadata, which measured twice
        # to three times as many writes per second and half the 99th percentile.
        if end <= self._allocated or self._allocate_bytes == 0:
            return
        units = -(-(end - self._allocated) // self._allocate_bytes)
        zeros = bytes(units * self._allocate_bytes)
        self._file.write(self._allocated, zeros)
        self._allocated += len(zeros)

    def _note_records(self, records: list[Any]) -> None:
        for record in records:
            if isinstance(record, HardState):
                self._hard_state = record
            else:
                self._last_index = record.index

    def _open_mark(self) -> None:
        """Open the mark, which only helps to detect damage; else without it."""
        with contextlib.suppress(StorageFull):
            self._mark = self._files.open(self._path(_MARK))

    def _write_mark(self) -> None:
        checksum = self._mark_checksum(self._sequence)
        if self._mark is None:
            self._open_mark()
        if self._mark is None:
            return
        try:
            self._mark.write(0, _MARK_FORMAT.pack(self._sequence, checksum))
        except StorageError:
            # The mark only helps to detect damage; an old one is still true.
            return

    def drop_before(self, index: int) -> None:
        """Remove segments that hold no entry after ``index``."""
        # The active segment must hold a hard state before older ones may go.
        if self._offset == 0:
            return
        while self._closed and self._closed[0].last_index <= index:
            path = self._path(self._closed[0].name)
            if self._files.exists(path):
                self._files.remove(path)
            # A power loss may take back the removal of an older segment and keep
            # that of a newer one, and a log with a gap does not open.
            self._files.sync_folder(self._folder)
            del self._closed[0]

    def close(self) -> None:
        """Close the files."""
        for file in (self._file, self._mark):
            if file is not None:
                file.close()
        self._file = self._mark = None


def _first_sequence(name: str) -> int:
    try:
        return int(name[len(_PREFIX) :])
    except ValueError:
        raise CorruptLog(f"{name} is not a segment's name") from None


def _restore(replay: _Replay, snapshot: SnapshotMeta | None, folder: str) -> Restored:
    covered = snapshot.index if snapshot else 0
    entries = replay.entries
    first = entries[0].index if entries else covered + 1
    reset_to = replay.base.index if replay.base else 0
    if max(first - 1, reset_to) > covered:
        raise CorruptLog(f"{folder}: the state before entry {first} is missing")
    if snapshot is None:
        return Restored(replay.hard_state, None, LogReset(0, 0), entries)
    position = snapshot.index - first
    base = LogReset(snapshot.index, snapshot.term)
    if position == -1:
        return Restored(replay.hard_state, snapshot, base, entries)
    if position < len(entries) and entries[position].term == snapshot.term:
        base = LogReset(first, entries[0].term)
        return Restored(replay.hard_state, snapshot, base, entries[1:])
    # The snapshot was installed and the crash came before the log was reset.
    return Restored(replay.hard_state, snapshot, base, [])
