"""Writes one group's records and snapshots off the event loop's thread."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from concurrent.futures import Executor
from typing import Any

from .. import events
from ..defaults import LOG_FULL_DISK_RETRY_S
from ..exceptions import StorageFull
from .storage import GroupStorage

__all__ = ["LogWriter"]

_logger = logging.getLogger(__name__)


class LogWriter:
    """Writes in order; what arrives during a write shares the next one.

    Args:
        group: The group's name.
        storage: The group's opened storage; only this object writes to it.
        executor: Runs the blocking calls.
        on_synced: Called with the token of the newest durable records.
    """

    def __init__(
        self,
        group: str,
        storage: GroupStorage,
        executor: Executor,
        on_synced: Callable[[int], None],
    ) -> None:
        self.full = False
        self._group = group
        self._storage = storage
        self._executor = executor
        self._on_synced = on_synced
        self._records: list[Any] = []
        self._token = 0
        self._jobs: deque[Callable[[], Awaitable[None]]] = deque()
        self._wake = asyncio.Event()

    def add_records(self, records: list[Any], token: int) -> None:
        """Queue records; ``token`` is reported when they are durable."""
        self._records.extend(records)
        self._token = token
        self._wake.set()

    def add_job(self, job: Callable[[], Awaitable[None]]) -> None:
        """Queue other work on the files."""
        self._jobs.append(job)
        self._wake.set()

    async def call(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Run a blocking call in the executor."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, function, *arguments)

    async def run(self) -> None:
        """Write until cancelled.

        Raises:
            StorageError: If the disk failed in another way than being full. Its
                content is then unknown, and the process must stop.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._records or self._jobs:
                if self._records:
                    await self._write_records()
                if self._jobs:
                    await self._jobs.popleft()()

    async def _write_records(self) -> None:
        records, self._records = self._records, []
        token = self._token
        while True:
            try:
                await self.call(self._storage.write, records)
                break
            except StorageFull as error:
                self._note_full(error)
                await asyncio.sleep(LOG_FULL_DISK_RETRY_S)
        if self.full:
            self.full = False
            events.emit(_logger, events.DISK_RECOVERED, group=self._group)
        self._on_synced(token)

    def _note_full(self, error: StorageFull) -> None:
        if not self.full:
            self.full = True
            events.emit(_logger, events.DISK_FULL, group=self._group, error=error)
