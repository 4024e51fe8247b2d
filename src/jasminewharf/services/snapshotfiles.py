"""Snapshot files of one log group.

A snapshot file is a magic number, the header's length, a checksum of all that
follows, the header (index, term, members) and the state. It is sent to other
members as it is, so that they verify the same checksum.
"""

import struct
from typing import NamedTuple

import msgspec
import xxhash

from ..decisions.records import SnapshotMeta
from ..exceptions import CorruptLog, StorageFull
from ..messages.log import MemberRecord
from .files import Files, OpenFile, replace_file

__all__ = ["SnapshotFiles"]

_PREFIX = "snapshot-"
_INCOMING = "incoming.tmp"
_MAGIC = b"JwS1"
_PREAMBLE = struct.Struct(">4sIQ")


class _Header(NamedTuple):
    index: int
    term: int
    members: tuple[MemberRecord, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Header)


class SnapshotFiles:
    """The snapshot files in one folder.

    Args:
        files: Access to files.
        folder: The group's folder.
    """

    def __init__(self, files: Files, folder: str) -> None:
        self._files = files
        self._folder = folder
        self._incoming: OpenFile | None = None
        self.newest: SnapshotMeta | None = None

    def open(self) -> SnapshotMeta | None:
        """Verify the newest snapshot and remove all others.

        Raises:
            CorruptLog: If the newest snapshot is damaged.
        """
        names = self._files.list_folder(self._folder)
        snapshots = [
            n for n in names if n.startswith(_PREFIX) and not n.endswith(".tmp")
        ]
        for name in names:
            if name.endswith(".tmp"):
                self._files.remove(f"{self._folder}/{name}")
        if snapshots:
            path = f"{self._folder}/{snapshots[-1]}"
            self.newest, _ = _parse(self._files.read(path), path)
            self._remove_older()
        return self.newest

    def save(
        self, index: int, term: int, members: tuple[MemberRecord, ...], state: bytes
    ) -> SnapshotMeta:
        """Make a snapshot durable and return what it covers.

        Raises:
            StorageError: If it could not be stored; the previous one remains.
        """
        header = _encoder.encode(_Header(index, term, members))
        body = header + state
        checksum = xxhash.xxh3_64_intdigest(body)
        data = _PREAMBLE.pack(_MAGIC, len(header), checksum) + body
        replace_file(self._files, self._folder, _name(index), data)
        self.newest = SnapshotMeta(index, term, members, len(data))
        self._remove_older()
        return self.newest

    def _remove_older(self) -> None:
        keep = _name(self.newest.index)
        for name in self._files.list_folder(self._folder):
            if name.startswith(_PREFIX) and name != keep:
                self._files.remove(f"{self._folder}/{name}")

    def read_state(self) -> bytes:
        """Return the state in the newest snapshot.

        Raises:
            CorruptLog: If it is damaged.
        """
        path = f"{self._folder}/{_name(self.newest.index)}"
        return _parse(self._files.read(path), path)[1]

    def read_chunk(self, index: int, offset: int, length: int) -> bytes:
        """Return bytes of the snapshot file at ``index``.

        Raises:
            StorageError: If there is no such snapshot any more.
        """
        return self._files.read(f"{self._folder}/{_name(index)}", offset, length)

    def write_chunk(self, offset: int, data: bytes) -> None:
        """Store received bytes; offset 0 begins a new snapshot.

        Raises:
            StorageFull: If there is no space; what was received before is gone too.
        """
        try:
            if offset == 0 or self._incoming is None:
                self._close_incoming()
                self._incoming = self._files.open(f"{self._folder}/{_INCOMING}")
                self._incoming.truncate(0)
            self._incoming.write(offset, data)
        except StorageFull:
            self.discard_incoming()
            raise

    def discard_incoming(self) -> None:
        """Forget what was received so far, and free its space."""
        self._close_incoming()
        path = f"{self._folder}/{_INCOMING}"
        if self._files.exists(path):
            self._files.remove(path)

    def _close_incoming(self) -> None:
        if self._incoming is not None:
            self._incoming.close()
            self._incoming = None

    def install(self, meta: SnapshotMeta) -> bytes:
        """Verify the received snapshot, make it durable and return the state.

        Raises:
            CorruptLog: If it is damaged, incomplete or not the one that ``meta``
                describes.
            StorageError: If it could not be stored; the previous one remains.
        """
        if self._incoming is None:
            # Its chunks found no space.
            raise CorruptLog("no snapshot was received")
        path = f"{self._folder}/{_INCOMING}"
        try:
            self._incoming.sync()
            found, state = _parse(self._files.read(path), path)
            if found != meta:
                raise CorruptLog(f"{path}: snapshot is not the announced one")
        except (CorruptLog, StorageFull):
            self.discard_incoming()
            raise
        finally:
            self._close_incoming()
        self._files.rename(path, f"{self._folder}/{_name(meta.index)}")
        self._files.sync_folder(self._folder)
        self.newest = meta
        self._remove_older()
        return state


def _name(index: int) -> str:
    return f"{_PREFIX}{index:016d}"


def _parse(data: bytes, path: str) -> tuple[SnapshotMeta, bytes]:
    if len(data) < _PREAMBLE.size:
        raise CorruptLog(f"{path}: snapshot is too short")
    magic, length, checksum = _PREAMBLE.unpack_from(data)
    body = data[_PREAMBLE.size :]
    if magic != _MAGIC or xxhash.xxh3_64_intdigest(body) != checksum:
        raise CorruptLog(f"{path}: snapshot fails its checksum")
    try:
        header = _decoder.decode(body[:length])
    except msgspec.MsgspecError as error:
        raise CorruptLog(f"{path}: {error}") from error
    meta = SnapshotMeta(header.index, header.term, header.members, len(data))
    return meta, body[length:]
