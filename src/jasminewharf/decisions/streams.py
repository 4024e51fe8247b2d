"""Chunked answers with byte offsets: reassembly, replay and resumption.

The agent assigns offsets to an answer's bytes and keeps the latest ones in a
:class:`ReplayBuffer`. The entry orders them in a :class:`Reassembly`, which ends as
either complete or broken, so a truncated answer is never reported as complete.
"""

import heapq
from collections import deque
from typing import NamedTuple

from .. import defaults
from ..exceptions import StreamInterrupted

__all__ = [
    "BROKEN",
    "COMPLETE",
    "OPEN",
    "Reassembly",
    "ReplayBuffer",
    "ResumeNeeded",
]

OPEN = "open"
COMPLETE = "complete"
BROKEN = "broken"


class ResumeNeeded(NamedTuple):
    """Bytes from ``offset`` are missing and must be requested again."""

    offset: int


class Reassembly:
    """Puts the chunks of one answer in order.

    Attributes:
        delivered: Number of bytes delivered in order; the offset of the next one.
        status: ``OPEN``, ``COMPLETE`` or ``BROKEN``; the latter two are final.
        error: The reason why the answer is broken.
        duplicates: Number of chunks dropped because their bytes were known.
    """

    def __init__(
        self, now: float, limit_bytes: int = defaults.STREAM_REORDER_BYTES
    ) -> None:
        self._limit_bytes = limit_bytes
        self._last_received_at = now
        self._ahead: dict[int, bytes] = {}
        self._ahead_offsets: list[int] = []
        self._ahead_bytes = 0
        self._length: int | None = None
        self._gap_since: float | None = None
        self._resumes_at_offset = 0
        self._resume_offset = -1
        self.delivered = 0
        self.status = OPEN
        self.error = ""
        self.duplicates = 0

    def accept(self, offset: int, data: bytes, now: float) -> list[bytes]:
        """Accept a chunk; return the bytes that can be delivered now, in order.

        Bytes after a gap are dropped if they exceed the buffer limit. The resume that
        closes the gap fetches them again.
        """
        if self.status != OPEN:
            return []
        self._last_received_at = now
        if offset < 0:
            self._break("a chunk has a negative offset")
            return []
        if self._length is not None and offset + len(data) > self._length:
            self._break("the answer is longer than its stated length")
            return []
        if offset + len(data) <= self.delivered:
            self.duplicates += 1
            return []
        if offset > self.delivered:
            self._hold(offset, data)
            self._note_gap(now)
            return []
        ready = [data[self.delivered - offset :]]
        self.delivered = offset + len(data)
        self._release(ready)
        self._note_gap(now)
        self._check_end()
        return ready

    def end(self, length: int, error: str, now: float) -> None:
        """Accept the end of the answer: its length or the reason of its failure."""
        if self.status != OPEN:
            return
        self._last_received_at = now
        if error:
            self._break(error)
        elif self._length is not None and self._length != length:
            self._break("two ends state different lengths")
        elif length < self._highest():
            self._break("the answer is longer than its stated length")
        else:
            self._length = length
            self._note_gap(now)
            self._check_end()

    def abort(self, reason: str) -> None:
        """End an open answer as broken; its agent will not return."""
        if self.status == OPEN:
            self._break(reason)

    def check(self, now: float) -> ResumeNeeded | None:
        """Return the resume request that is due; call it at :meth:`next_check`.

        A gap is requested again a limited number of times, after which the answer is
        broken. An idle answer is requested again too, since its end may have been
        lost. That is not limited, as a slow backend server is no failure. Use
        :meth:`abort` when the agent is known to be gone.
        """
        due = self.next_check()
        if due is None or now < due:
            return None
        self._last_received_at = now
        if self._gap_since is None:
            return ResumeNeeded(self.delivered)
        if self._resume_offset != self.delivered:
            self._resume_offset = self.delivered
            self._resumes_at_offset = 0
        self._resumes_at_offset += 1
        if self._resumes_at_offset > defaults.STREAM_RESUME_ATTEMPTS:
            self._break("missing bytes could not be fetched again")
            return None
        self._gap_since = now
        return ResumeNeeded(self.delivered)

    def next_check(self) -> float | None:
        """Return when to call :meth:`check`; None if the answer has ended."""
        if self.status != OPEN:
            return None
        if self._gap_since is not None:
            return self._gap_since + defaults.STREAM_GAP_S
        return self._last_received_at + defaults.STREAM_IDLE_S

    def _highest(self) -> int:
        ends = (offset + len(data) for offset, data in self._ahead.items())
        return max(ends, default=self.delivered)

    def _hold(self, offset: int, data: bytes) -> None:
        known = self._ahead.get(offset)
        if known is not None and len(known) >= len(data):
            self.duplicates += 1
            return
        added = len(data) - len(known or b"")
        if self._ahead_bytes + added > self._limit_bytes:
            return
        if known is None:
            heapq.heappush(self._ahead_offsets, offset)
        self._ahead[offset] = data
        self._ahead_bytes += added

    def _release(self, ready: list[bytes]) -> None:
        while self._ahead_offsets and self._ahead_offsets[0] <= self.delivered:
            offset = heapq.heappop(self._ahead_offsets)
            data = self._ahead.pop(offset)
            self._ahead_bytes -= len(data)
            if offset + len(data) <= self.delivered:
                self.duplicates += 1
                continue
            ready.append(data[self.delivered - offset :])
            self.delivered = offset + len(data)

    def _note_gap(self, now: float) -> None:
        missing = bool(self._ahead) or (
            self._length is not None and self.delivered < self._length
        )
        if not missing:
            self._gap_since = None
        elif self._gap_since is None:
            self._gap_since = now

    def _check_end(self) -> None:
        if self._length is not None and self.delivered == self._length:
            self.status = COMPLETE

    def _break(self, reason: str) -> None:
        self.status = BROKEN
        self.error = reason
        self._ahead.clear()
        self._ahead_offsets.clear()
        self._ahead_bytes = 0


class ReplayBuffer:
    """The latest bytes of an answer, kept for resumption.

    Attributes:
        length: Number of bytes appended; the offset of the next one.
        start: Offset of the oldest byte kept.
    """

    def __init__(self, limit_bytes: int = defaults.STREAM_REPLAY_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._chunks: deque[bytes] = deque()
        self.length = 0
        self.start = 0

    def append(self, data: bytes) -> int:
        """Append a chunk, evict old chunks above the limit and return its offset."""
        offset = self.length
        self._chunks.append(data)
        self.length += len(data)
        while self.length - self.start > self._limit_bytes and len(self._chunks) > 1:
            self.start += len(self._chunks.popleft())
        return offset

    def read(self, offset: int) -> list[tuple[int, bytes]]:
        """Return the chunks from ``offset`` to the end, each with its offset.

        Raises:
            StreamInterrupted: If the bytes at ``offset`` are not in the buffer.
        """
        if not self.start <= offset <= self.length:
            raise StreamInterrupted(
                f"cannot resume from byte {offset}; the replay buffer holds "
                f"{self.start} to {self.length}",
                not_run=False,
            )
        chunks = []
        at = self.start
        for data in self._chunks:
            end = at + len(data)
            if end > offset:
                skip = max(0, offset - at)
                chunks.append((at + skip, data[skip:]))
            at = end
        return chunks
