"""Files in memory that lose unsynced data, fill up, and crash between operations."""

import random
from typing import NamedTuple

from ..exceptions import StorageError, StorageFull

__all__ = ["MemoryFile", "MemoryFiles", "SimulatedCrash"]


class SimulatedCrash(Exception):
    """The host stopped in the middle of a file operation."""


class _Inode:
    def __init__(self):
        self.durable = b""
        self.current = bytearray()
        self.unsynced = []

    def lose_power(self, source, share):
        """Keep a share of the unsynced writes, and tear some of the others."""
        content = bytearray(self.durable)
        for offset, data in self.unsynced:
            if source.random() < share:
                _apply_write(content, offset, data)
            elif data and source.random() < share:
                _apply_write(content, offset, data[: source.randrange(len(data))])
        self.current, self.durable = content, bytes(content)
        self.unsynced.clear()


class _NameChange(NamedTuple):
    """A creation without an old path, a rename, or a removal without a new path."""

    old: str
    new: str
    inode: _Inode | None

    @property
    def folder(self):
        return (self.new or self.old).rpartition("/")[0]

    def apply(self, names):
        # The creation of a file that is renamed may have been lost.
        if self.old and names.pop(self.old, self) is self:
            return
        if self.new:
            names[self.new] = self.inode


def _parents(path):
    """Return the folders above a path but for the topmost, which always exists."""
    parts = path.split("/")
    return {"/".join(parts[:n]) for n in range(2, len(parts))}


def _apply_write(content, offset, data):
    if data is None:
        del content[offset:]
        return
    content.extend(b"\0" * (offset - len(content)))
    content[offset : offset + len(data)] = data


class MemoryFile:
    """A file of :class:`MemoryFiles`."""

    def __init__(self, files, inode):
        self._files = files
        self._inode = inode

    def write(self, offset: int, data: bytes) -> None:
        """Write; on a full disk only a half of the data, and raise."""
        self._files.count_operation()
        if self._files.full:
            kept = data[: len(data) // 2]
            self._write(offset, kept)
            raise StorageFull("no space")
        self._write(offset, data)

    def _write(self, offset, data):
        self._inode.unsynced.append((offset, data))
        _apply_write(self._inode.current, offset, data)

    def truncate(self, size: int) -> None:
        """Cut the file."""
        self._files.count_operation()
        self._write(size, None)

    def sync(self) -> None:
        """Make the content survive a crash."""
        self._files.count_operation()
        if self._files.ignore_sync:
            return
        self._inode.durable = bytes(self._inode.current)
        self._inode.unsynced.clear()

    def close(self) -> None:
        """Do nothing."""


class MemoryFiles:
    """Implements ``services.files.Files``.

    Attributes:
        full: Whether writes fail, after a half of the data, for lack of space; no file
            can be made then.
        ignore_sync: Whether syncs of files do nothing, as an injected fault.
        crash_after: Number of operations before a crash, or None.
    """

    def __init__(self):
        self.full = False
        self.ignore_sync = False
        self.crash_after = None
        # Paths of files and, with None, of folders.
        self._names = {}
        self._durable_names = {}
        self._name_changes = []

    def count_operation(self) -> None:
        """Crash if it is time to."""
        if self.crash_after is not None:
            self.crash_after -= 1
            if self.crash_after <= 0:
                self.crash_after = None
                raise SimulatedCrash

    def crash(self, source: random.Random) -> None:
        """Lose power: each change since the last sync is kept, torn or lost.

        Half of the times nothing unsynced is kept.
        """
        self.crash_after = None
        share = source.choice((0.0, 0.0, 0.5, 1.0))
        for change in self._name_changes:
            if source.random() < share:
                change.apply(self._durable_names)
        self._name_changes.clear()
        self._names = {
            path: inode
            for path, inode in self._durable_names.items()
            if _parents(path) <= self._durable_names.keys()
        }
        self._durable_names = dict(self._names)
        for inode in self._names.values():
            if inode is not None:
                inode.lose_power(source, share)

    def flip_bit(self, path: str, position: int) -> None:
        """Damage a file; ``position`` counts bits."""
        inode = self._names[path]
        inode.current[position // 8] ^= 1 << (position % 8)
        inode.durable = bytes(inode.current)

    def make_folder(self, folder: str) -> None:
        """Create a folder and its parents."""
        for path in sorted(_parents(f"{folder}/")):
            if path not in self._names:
                self._change(_NameChange("", path, None))

    def list_folder(self, folder: str) -> list[str]:
        """Return the names of the files in a folder."""
        return sorted(
            path.rpartition("/")[2]
            for path, inode in self._names.items()
            if inode is not None and path.rpartition("/")[0] == folder
        )

    def open(self, path: str) -> MemoryFile:
        """Open or create a file."""
        self.count_operation()
        if path not in self._names:
            if self.full:
                raise StorageFull(f"{path}: no space left")
            self._change(_NameChange("", path, _Inode()))
        return MemoryFile(self, self._names[path])

    def read(self, path: str, offset: int = 0, length: int = -1) -> bytes:
        """Return bytes of a file."""
        if path not in self._names:
            raise StorageError(f"{path} does not exist")
        content = bytes(self._names[path].current)
        return content[offset:] if length < 0 else content[offset : offset + length]

    def exists(self, path: str) -> bool:
        """Return whether there is a file or folder."""
        return path in self._names

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self.count_operation()
        self._change(_NameChange(old, new, self._names[old]))

    def remove(self, path: str) -> None:
        """Remove a file."""
        self.count_operation()
        self._change(_NameChange(path, "", self._names[path]))

    def _change(self, change):
        change.apply(self._names)
        self._name_changes.append(change)

    def sync_folder(self, folder: str) -> None:
        """Make the names in a folder survive a crash."""
        self.count_operation()
        pending, self._name_changes = self._name_changes, []
        for change in pending:
            if change.folder == folder:
                change.apply(self._durable_names)
            else:
                self._name_changes.append(change)
