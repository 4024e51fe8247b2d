"""Access to files, behind an interface so that tests can inject faults."""

import errno
import os
from typing import Protocol

from ..exceptions import StorageError, StorageFull

__all__ = ["DiskFile", "DiskFiles", "Files", "OpenFile", "replace_file"]

_FULL = (errno.ENOSPC, errno.EDQUOT)


def _storage_error(error: OSError) -> StorageError:
    kind = StorageFull if error.errno in _FULL else StorageError
    return kind(str(error))


class OpenFile(Protocol):
    """A file that is open for writing."""

    def write(self, offset: int, data: bytes) -> None:
        """Write all of ``data`` at ``offset``.

        Raises:
            StorageFull: If there is no space; a part may have been written.
            StorageError: On any other failure.
        """

    def sync(self) -> None:
        """Make the content durable; raises like :meth:`write`."""

    def truncate(self, size: int) -> None:
        """Cut the file to ``size`` bytes; raises like :meth:`write`."""

    def close(self) -> None:
        """Close the file."""


class Files(Protocol):
    """The file operations that storage uses. Paths are strings.

    Every operation raises :class:`StorageError`, and :class:`StorageFull` if
    there is no space.
    """

    def make_folder(self, folder: str) -> None:
        """Create a folder, and its parents, if it does not exist."""

    def list_folder(self, folder: str) -> list[str]:
        """Return the sorted names in a folder."""

    def open(self, path: str) -> OpenFile:
        """Open a file for writing; create it if it does not exist."""

    def read(self, path: str, offset: int = 0, length: int = -1) -> bytes:
        """Return ``length`` bytes from ``offset`` on, or all if it is negative."""

    def exists(self, path: str) -> bool:
        """Return whether there is a file or folder."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, over an existing one."""

    def remove(self, path: str) -> None:
        """Remove a file."""

    def sync_folder(self, folder: str) -> None:
        """Make creations, renames and removals in a folder durable."""


class DiskFile:
    """A file on a disk."""

    def __init__(self, path: str) -> None:
        try:
            self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise _storage_error(error) from error

    def write(self, offset: int, data: bytes) -> None:
        """Write all of ``data`` at ``offset``."""
        view = memoryview(data)
        try:
            while view:
                written = os.pwrite(self._descriptor, view, offset)
                view = view[written:]
                offset += written
        except OSError as error:
            raise _storage_error(error) from error

    def sync(self) -> None:
        """Make the content durable."""
        try:
            os.fdatasync(self._descriptor)
        except OSError as error:
            raise _storage_error(error) from error

    def truncate(self, size: int) -> None:
        """Cut the file to ``size`` bytes."""
        try:
            os.ftruncate(self._descriptor, size)
        except OSError as error:
            raise _storage_error(error) from error

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


class DiskFiles:
    """Files on a disk."""

    def make_folder(self, folder: str) -> None:
        """Create a folder, and its parents, if it does not exist."""
        try:
            os.makedirs(folder, mode=0o700, exist_ok=True)
        except OSError as error:
            raise _storage_error(error) from error

    def list_folder(self, folder: str) -> list[str]:
        """Return the sorted names in a folder."""
        return sorted(os.listdir(folder))

    def open(self, path: str) -> OpenFile:
        """Open a file for writing; create it if it does not exist."""
        return DiskFile(path)

    def read(self, path: str, offset: int = 0, length: int = -1) -> bytes:
        """Return ``length`` bytes from ``offset`` on, or all if it is negative."""
        try:
            with open(path, "rb") as file:
                file.seek(offset)
                return file.read(length)
        except OSError as error:
            raise _storage_error(error) from error

    def exists(self, path: str) -> bool:
        """Return whether there is a file or folder."""
        return os.path.exists(path)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, over an existing one."""
        try:
            os.replace(old, new)
        except OSError as error:
            raise _storage_error(error) from error

    def remove(self, path: str) -> None:
        """Remove a file."""
        try:
            os.remove(path)
        except OSError as error:
            raise _storage_error(error) from error

    def sync_folder(self, folder: str) -> None:
        """Make creations, renames and removals in a folder durable."""
        try:
            descriptor = os.open(folder, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        except OSError as error:
            raise _storage_error(error) from error


def replace_file(files: Files, folder: str, name: str, data: bytes) -> None:
    """Write a file so that a crash leaves the old or the new content.

    Raises:
        StorageError: If it could not be made durable; the old file remains.
    """
    temporary = f"{folder}/{name}.tmp"
    file = files.open(temporary)
    try:
        file.truncate(0)
        file.write(0, data)
        file.sync()
    except StorageFull:
        # What was written takes the space that others need.
        files.remove(temporary)
        raise
    finally:
        file.close()
    files.rename(temporary, f"{folder}/{name}")
    files.sync_folder(folder)
