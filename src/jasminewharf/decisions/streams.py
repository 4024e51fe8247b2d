"""Answers in chunks with offsets: reassembly, replay and resumption.

The agent numbers an answer's bytes and keeps the last ones in a
:class:`ReplayBuffer`. The entry puts them in order in a :class:`Reassembly`,
which ends either complete or broken and is never short without saying so.
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
    """Bytes from ``offset`` are missing and must be asked for again."""

    offset: int


class Reassembly:
    """Puts the chunks of one answer in order.

    Attributes:
        delivered: Number of bytes handed out; the offset of the next one.
        status: ``OPEN``, ``COMPLETE`` or ``BROKEN``; the latter two are final.
        error: Why the answer is broken.
        duplicates: Chunks dropped because their bytes were delivered already.
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
        """Take a chunk; return the bytes that can be delivered now, in order.

        Bytes beyond the limit that arrive ahead of a gap are not kept; the gap's
        resume fetches them again.
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
        """Take the end of the answer: its length, or why it is broken."""
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
        """End an open answer whose agent is gone for good."""
        if self.status == OPEN:
            self._break(reason)

    def check(self, now: float) -> ResumeNeeded | None:
        """Return what to ask for again; call it at :meth:`next_check`.

        A gap is asked for a limited number of times, after which the answer is
        broken. An answer of which nothing was heard is asked for as well, since
        its end may be lost; that is not limited, as a slow backend server is no
        failure. Use :meth:`abort` when the agent is known to be gone.
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
    """The last bytes of an answer, for resumption.

    Attributes:
        length: Number of bytes appended; the offset of the next one.
        start: Offset of the oldest byte that is kept.
    """

    def __init__(self, limit_bytes: int = defaults.STREAM_REPLAY_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._chunks: deque[bytes] = deque()
        self.length = 0
        self.start = 0

    def append(self, data: bytes) -> int:
        """Keep a chunk and return its offset."""
        offset = self.length
        self._chunks.append(data)
        self.length += len(data)
        while self.length - self.start > self._limit_bytes and len(self._chunks) > 1:
            self.start += len(self._chunks.popleft())
        return offset

    def read(self, offset: int) -> list[tuple[int, bytes]]:
        """Return chunks with their offsets from ``offset`` to the end.

        Raises:
            StreamInterrupted: If bytes from there on are no longer kept.
        """
        if not self.start <= offset <= self.length:
            raise StreamInterrupted(
                f"bytes from {offset} are not kept; kept are "
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
