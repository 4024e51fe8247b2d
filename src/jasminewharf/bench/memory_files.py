"""Files in memory that lose unsynced data, fill up, and crash between operations."""

import random

from ..exceptions import StorageError, StorageFull

__all__ = ["MemoryFile", "MemoryFiles", "SimulatedCrash"]


class SimulatedCrash(Exception):
    """The host stopped in the middle of a file operation."""


class _Inode:
    def __init__(self):
        self.durable = b""
        self.current = bytearray()
        self.unsynced = []


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
        full: Whether writes fail, after a half of the data, for lack of space.
        ignore_sync: Whether syncs do nothing, as an injected fault.
        crash_after: Number of operations before a crash, or None.
    """

    def __init__(self):
        self.full = False
        self.ignore_sync = False
        self.crash_after = None
        self._names = {}
        self._durable_names = {}
        self._folders = set()

    def count_operation(self) -> None:
        """Crash if it is time to."""
        if self.crash_after is not None:
            self.crash_after -= 1
            if self.crash_after <= 0:
                self.crash_after = None
                raise SimulatedCrash

    def crash(self, source: random.Random) -> None:
        """Lose unsynced data: a random prefix of the writes survives, torn."""
        self.crash_after = None
        if source.random() < 0.5:
            self._names = dict(self._durable_names)
        self._durable_names = dict(self._names)
        for inode in dict.fromkeys(self._names.values()):
            content = bytearray(inode.durable)
            kept = source.randrange(len(inode.unsynced) + 1)
            for offset, data in inode.unsynced[:kept]:
                _apply_write(content, offset, data)
            if kept < len(inode.unsynced):
                offset, data = inode.unsynced[kept]
                torn = data and data[: source.randrange(len(data) + 1)]
                if torn:
                    _apply_write(content, offset, torn)
            inode.current, inode.durable = content, bytes(content)
            inode.unsynced.clear()

    def flip_bit(self, path: str, position: int) -> None:
        """Damage a file; ``position`` counts bits."""
        inode = self._names[path]
        inode.current[position // 8] ^= 1 << (position % 8)
        inode.durable = bytes(inode.current)

    def make_folder(self, folder: str) -> None:
        """Create a folder."""
        self._folders.add(folder)

    def list_folder(self, folder: str) -> list[str]:
        """Return the names of the files in a folder."""
        prefix = folder + "/"
        names = [n[len(prefix) :] for n in self._names if n.startswith(prefix)]
        return sorted(name for name in names if "/" not in name)

    def open(self, path: str) -> MemoryFile:
        """Open or create a file."""
        self.count_operation()
        return MemoryFile(self, self._names.setdefault(path, _Inode()))

    def read(self, path: str, offset: int = 0, length: int = -1) -> bytes:
        """Return bytes of a file."""
        if path not in self._names:
            raise StorageError(f"{path} does not exist")
        content = bytes(self._names[path].current)
        return content[offset:] if length < 0 else content[offset : offset + length]

    def exists(self, path: str) -> bool:
        """Return whether there is a file or folder."""
        return path in self._names or path in self._folders

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self.count_operation()
        self._names[new] = self._names.pop(old)

    def remove(self, path: str) -> None:
        """Remove a file."""
        self.count_operation()
        del self._names[path]

    def sync_folder(self, folder: str) -> None:
        """Make the names in a folder survive a crash."""
        self.count_operation()
        prefix = folder + "/"
        for name in [n for n in self._durable_names if n.startswith(prefix)]:
            del self._durable_names[name]
        inside = {n: i for n, i in self._names.items() if n.startswith(prefix)}
        self._durable_names.update(inside)
