"""The identity of a control host's disk.

A member's identity is its host name and a random number that is created with the
data folder. A replaced disk is therefore a new member, and a member that lost its
votes and entries cannot act under the identity that gave them.
"""

import contextlib
import hashlib
import os
from typing import NamedTuple

import msgspec
import xxhash

from ..decisions.records import MEMBERS, Entry, HardState, encode_members
from ..exceptions import CorruptLog, StorageError
from ..identifiers import new_token
from ..messages.log import MemberRecord
from .files import Files, replace_file
from .storage import GroupStorage

__all__ = ["Disk", "DiskIdentity"]

_FILE = "identity"
_GROUPS = "groups"
_CHECKSUM_BYTES = 8

_encoder = msgspec.msgpack.Encoder()


class DiskIdentity(NamedTuple):
    """The content of the identity file.

    ``cluster`` is empty and ``groups`` too until the disk has joined a cluster.
    """

    host: str
    disk: str
    cluster: str
    groups: tuple[str, ...]


_decoder = msgspec.msgpack.Decoder(DiskIdentity)


class Disk:
    """The data folder of one control host.

    Args:
        files: Access to files.
        folder: The data folder.
        host: The host's name.
        groups: Names of the log groups in the settings.

    Raises:
        CorruptLog: If the folder holds logs but no valid identity, or is that of
            another host.
    """

    def __init__(
        self, files: Files, folder: str, host: str, groups: tuple[str, ...]
    ) -> None:
        self._files = files
        self._folder = folder
        self._groups = groups
        self._make_folder()
        self._identity = self._load(host)
        if not self.cluster:
            self._clear_groups()

    @property
    def identity(self) -> str:
        """The member's identity."""
        return f"{self._identity.host}/{self._identity.disk}"

    @property
    def cluster(self) -> str:
        """The cluster that the disk has joined, or an empty string."""
        return self._identity.cluster

    def _make_folder(self) -> None:
        """Create the data folder so that it survives a power loss."""
        missing = []
        path = self._folder.rstrip("/")
        while path not in ("", "/") and not self._files.exists(path):
            missing.append(path)
            path = os.path.dirname(path)
        self._files.make_folder(self._folder)
        for path in reversed(missing):
            self._files.sync_folder(os.path.dirname(path) or ".")
        if not missing and not self._files.exists(f"{self._folder}/{_FILE}"):
            # A process may have been killed between the two. The parent of a folder
            # that an operator created need not be readable.
            with contextlib.suppress(StorageError):
                self._files.sync_folder(os.path.dirname(path) or ".")

    def _load(self, host: str) -> DiskIdentity:
        path = f"{self._folder}/{_FILE}"
        if not self._files.exists(path):
            if self._files.exists(f"{self._folder}/{_GROUPS}"):
                raise CorruptLog(f"{path} is missing beside existing logs")
            identity = DiskIdentity(host, new_token(8), "", ())
            self._save(identity)
            return identity
        # A process may have been killed before it synced the file's new name.
        self._files.sync_folder(self._folder)
        identity = _parse_identity(self._files.read(path), path)
        if identity.host != host:
            raise CorruptLog(f"{path} belongs to host {identity.host!r}, not {host!r}")
        if identity.cluster and set(identity.groups) != set(self._groups):
            raise CorruptLog(f"{path} holds the groups {sorted(identity.groups)}")
        return identity

    def _save(self, identity: DiskIdentity) -> None:
        body = _encoder.encode(identity)
        checksum = xxhash.xxh3_64_digest(body)
        replace_file(self._files, self._folder, _FILE, checksum + body)
        self._identity = identity

    def _clear_groups(self) -> None:
        # Without a cluster in the identity file, nothing in the folders was ever
        # acknowledged: they are left from a founding or joining that a crash cut.
        for group in self._groups:
            folder = self._group_folder(group)
            if self._files.exists(folder):
                for name in self._files.list_folder(folder):
                    self._files.remove(f"{folder}/{name}")

    def _group_folder(self, group: str) -> str:
        return f"{self._folder}/{_GROUPS}/{group}"

    def storage(self, group: str) -> GroupStorage:
        """Return the storage of a group.

        Raises:
            CorruptLog: If the disk has joined a cluster and the folder is missing.
        """
        folder = self._group_folder(group)
        if self.cluster and not self._files.exists(folder):
            raise CorruptLog(f"{folder} is missing")
        seed = f"{self._identity.disk}/{group}".encode()
        digest = hashlib.blake2b(seed, digest_size=8).digest()
        return GroupStorage(self._files, folder, int.from_bytes(digest, "big"))

    def join(self, cluster: str) -> None:
        """Join a cluster with empty logs."""
        self._create(cluster, [])

    def found(self, cluster: str, members: tuple[MemberRecord, ...]) -> None:
        """Found a cluster: every log begins with the first members."""
        first = Entry(1, 1, MEMBERS, encode_members(members))
        self._create(cluster, [HardState(1, ""), first])

    def _create(self, cluster: str, records: list[Entry | HardState]) -> None:
        for group in self._groups:
            storage = self.storage(group)
            storage.open()
            if records:
                storage.write(records)
            storage.close()
        self._files.sync_folder(f"{self._folder}/{_GROUPS}")
        self._files.sync_folder(self._folder)
        joined = self._identity._replace(cluster=cluster, groups=self._groups)
        self._save(joined)


def _parse_identity(data: bytes, path: str) -> DiskIdentity:
    checksum, body = data[:_CHECKSUM_BYTES], data[_CHECKSUM_BYTES:]
    if xxhash.xxh3_64_digest(body) != checksum:
        raise CorruptLog(f"{path} fails its checksum")
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise CorruptLog(f"{path}: {error}") from error
