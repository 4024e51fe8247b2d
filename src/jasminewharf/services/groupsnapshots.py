"""Saving, sending and installing the snapshots of one log group."""

import asyncio
import logging
from typing import Any

from .. import events
from ..decisions.records import (
    Compacted,
    SnapshotFailed,
    SnapshotInstalled,
    SnapshotMeta,
)
from ..decisions.snapshots import chunk_length
from ..defaults import LOG_SNAPSHOT_THRESHOLD_BYTES
from ..exceptions import CorruptLog, StorageError, StorageFull
from ..messages.log import MemberRecord, SnapshotChunk
from .logwriter import LogWriter
from .statemachine import StateMachine
from .storage import GroupStorage

__all__ = ["GroupSnapshots"]

_logger = logging.getLogger(__name__)


class GroupSnapshots:
    """The snapshots of one group.

    Args:
        runner: The group's runner.
        storage: The group's opened storage.
        writer: Orders the work on the files.
        threshold_entries: Number of entries after which a snapshot is taken.
    """

    def __init__(
        self,
        runner: Any,
        storage: GroupStorage,
        writer: LogWriter,
        threshold_entries: int,
    ) -> None:
        self._runner = runner
        self._storage = storage
        self._writer = writer
        self._threshold_entries = threshold_entries
        self._saving = False
        self._bytes = 0

    def note_applied(self, size: int) -> None:
        """Count an applied entry of ``size`` bytes."""
        self._bytes += size

    def save_if_due(self, machine: StateMachine) -> None:
        """Begin a snapshot if enough was applied since the last one."""
        if not self._is_due() or self._saving or self._writer.full:
            return
        consensus = self._runner.consensus
        if consensus.is_transferring(asyncio.get_running_loop().time()):
            return
        self._saving = True
        self._bytes = 0
        index = self._runner.applied
        term = consensus.term_at(index)
        members = consensus.members_at(index)
        state = machine.snapshot()
        self._writer.add_job(lambda: self._save(index, term, members, state))

    def _is_due(self) -> bool:
        newest = self._storage.snapshots.newest
        covered = newest.index if newest else 0
        if self._runner.applied - covered >= self._threshold_entries:
            return True
        # A snapshot is not taken before as many bytes were logged as it holds, so
        # that snapshots at most double what is written.
        size = newest.size if newest else 0
        return self._bytes >= max(LOG_SNAPSHOT_THRESHOLD_BYTES, size)

    async def _save(
        self, index: int, term: int, members: tuple[MemberRecord, ...], state: bytes
    ) -> None:
        save = self._storage.snapshots.save
        group = self._runner.group
        try:
            meta = await self._writer.call(save, index, term, members, state)
        except StorageFull as error:
            events.emit(_logger, events.DISK_FULL, group=group, error=error)
            return
        finally:
            self._saving = False
        self._runner.submit(Compacted(meta))
        events.emit(
            _logger, events.SNAPSHOT_SAVED, group=group, index=index, size=meta.size
        )
        base_index = self._runner.consensus.base_index
        try:
            await self._writer.call(self._storage.drop_before, base_index)
        except StorageFull as error:
            # They go with the next snapshot.
            events.emit(_logger, events.DISK_FULL, group=group, error=error)

    def send_chunk(self, receiver: str, chunk: SnapshotChunk) -> None:
        """Fill a chunk with its bytes and send it."""
        try:
            data = self._storage.snapshots.read_chunk(
                chunk.index, chunk.offset, chunk_length(chunk)
            )
        except StorageError:
            # A newer snapshot has replaced this one; the next heartbeat starts it.
            return
        self._runner.send(receiver, chunk._replace(data=data))

    def store_chunk(self, chunk: SnapshotChunk) -> None:
        """Queue a received chunk for writing."""
        self._writer.add_job(lambda: self._store_chunk(chunk))

    async def _store_chunk(self, chunk: SnapshotChunk) -> None:
        write = self._storage.snapshots.write_chunk
        try:
            await self._writer.call(write, chunk.offset, chunk.data)
        except StorageFull as error:
            self._refuse(error)

    def install(self, meta: SnapshotMeta) -> None:
        """Queue the installation of a completely received snapshot."""
        self._writer.add_job(lambda: self._install(meta))

    async def _install(self, meta: SnapshotMeta) -> None:
        try:
            state = await self._writer.call(self._storage.snapshots.install, meta)
        except (CorruptLog, StorageFull) as error:
            self._refuse(error)
            return
        self._bytes = 0
        self._runner.replace_state(meta.index, state)
        self._runner.submit(SnapshotInstalled(meta))
        events.emit(
            _logger,
            events.SNAPSHOT_RECEIVED,
            group=self._runner.group,
            index=meta.index,
        )
        self._runner.announce_restore(meta.index)

    def _refuse(self, error: Exception) -> None:
        events.emit(
            _logger, events.SNAPSHOT_REFUSED, group=self._runner.group, error=error
        )
        self._runner.submit(SnapshotFailed())
