"""What a process may hold for its callers: bytes of requests and connections."""

import asyncio
import logging
import os
import resource
from collections import Counter
from typing import Protocol

from .. import defaults, events
from ..decisions.requestbudget import RequestBudget, compute_budget
from ..metrics import Metrics
from ..settings import Settings, ToolSettings

__all__ = ["AnswerMemory", "RequestMemory", "read_memory_bytes"]

_logger = logging.getLogger(__name__)
_MEGABYTE = 1024 * 1024
# Roles whose setting memory_mb is that of the process.
_OWN_MEMORY = ("entry", "control")


class Holder(Protocol):
    """What holds bytes for a caller and can give them up."""

    def shed(self, reason: str) -> str:
        """Give up all bytes at once; return the caller's address for the log."""


def read_memory_bytes(settings: Settings | ToolSettings | None = None) -> int:
    """Return the memory of this process: of the machine, or less if settings say so.

    ``memory_mb`` of an agent is that of its engines, so that it does not count there.
    """
    machine = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    if settings is None or settings.role not in _OWN_MEMORY or not settings.memory_mb:
        return machine
    return min(machine, settings.memory_mb * _MEGABYTE)


class RequestMemory:
    """Bounds what all HTTP servers of one process hold together.

    Args:
        memory_bytes: Memory of the process.
        metrics: Where refusals are counted, if anywhere.

    Attributes:
        connections: How many connections of callers the descriptors allow.
        refused: How many beyond those are told that there are too many.
        lingering: How many answered ones may wait for their close.
    """

    def __init__(self, memory_bytes: int, metrics: Metrics | None = None) -> None:
        self._budget = RequestBudget(compute_budget(memory_bytes))
        self._metrics = metrics
        self._shed: Counter[str] = Counter()
        self._large_answer = asyncio.Lock()
        self._told_at = -defaults.SHED_LOG_INTERVAL_S
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors == resource.RLIM_INFINITY:
            descriptors = defaults.HTTP_DESCRIPTORS_MAX
        self.connections = descriptors // defaults.HTTP_CONNECTIONS_PART
        self.refused = min(
            defaults.HTTP_REFUSED_CONNECTIONS,
            descriptors // defaults.HTTP_REFUSED_PART,
        )
        self.lingering = min(
            defaults.HTTP_LINGERING_CONNECTIONS,
            descriptors // defaults.HTTP_LINGERING_PART,
        )
        if metrics is not None:
            metrics.watch("request_bytes_held", lambda: self._budget.held_bytes)
            metrics.watch("request_bytes_limit", lambda: self._budget.total_bytes)

    @property
    def is_short(self) -> bool:
        """Whether little is left beside the room for ordinary requests."""
        return self._budget.is_short

    def hold(
        self, holder: Holder, address: str, size: int, is_whole: bool = False
    ) -> None:
        """Note how many bytes are held; some holders may have to give theirs up."""
        now = asyncio.get_running_loop().time()
        for surplus in self._budget.hold(holder, address, size, now, is_whole):
            self._budget.release(surplus.holder, now)
            self._note_shed(surplus.holder.shed(surplus.reason), surplus.reason, now)

    def name_workspace(self, holder: Holder, workspace: str) -> None:
        """Note which workspace a request is for; empty for an unknown one."""
        self._budget.name_workspace(holder, workspace)

    def complete(self, holder: Holder) -> None:
        """Note that a request was read whole, and is served."""
        self._budget.complete(holder)

    def release(self, holder: Holder) -> None:
        """Note that nothing is held any more."""
        self._budget.release(holder, asyncio.get_running_loop().time())

    def begin_answer(self) -> "AnswerMemory":
        """Return the count of an answer that is about to be read into memory."""
        return AnswerMemory(self, self._large_answer)

    def _note_shed(self, peer: str, reason: str, now: float) -> None:
        if self._metrics is not None:
            self._metrics.count("requests_shed_total", reason=reason)
        self._shed[reason] += 1
        if now - self._told_at < defaults.SHED_LOG_INTERVAL_S:
            return
        self._told_at = now
        events.emit(
            _logger,
            events.REQUESTS_SHED,
            peer=peer,
            reason=reason,
            shed=dict(self._shed),
            held=self._budget.held_bytes,
            limit=self._budget.total_bytes,
        )
        self._shed.clear()


class AnswerMemory:
    """What one answer of a backend server takes while it is read whole.

    It is never given up. While memory is short, large answers are read one at a time,
    so that each gets to its end; the others wait in their sockets.
    """

    def __init__(self, memory: RequestMemory, large_answer: asyncio.Lock) -> None:
        self._memory = memory
        self._lock = large_answer
        self._has_lock = False

    async def grow(self, size: int) -> None:
        """Note the bytes that were read so far; may wait before more are."""
        if size <= defaults.HTTP_JOINED_BYTES:
            return
        self._memory.hold(self, "", size, is_whole=True)
        if self._memory.is_short and not self._has_lock:
            await self._lock.acquire()
            self._has_lock = True

    def end(self) -> None:
        """Note that the answer is kept no longer, or by its caller's connection."""
        self._memory.release(self)
        if self._has_lock:
            self._has_lock = False
            self._lock.release()

    def shed(self, reason: str) -> str:
        """Answers that are being read do not give way."""
        raise AssertionError(reason)
