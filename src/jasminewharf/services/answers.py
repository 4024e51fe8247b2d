"""A call in flight at an entry, and its answer as it arrives."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from .. import defaults
from ..decisions.streams import BROKEN, COMPLETE, Reassembly
from ..exceptions import DeadlineExceeded, Refusal, StreamInterrupted
from ..messages.calls import AnswerChunk, AnswerEnd, AnswerHead, ResumeCall

__all__ = ["Answer", "CallInFlight", "CallPlan"]


class CallPlan(NamedTuple):
    """A checked request, ready to be forwarded.

    ``deadline`` is in seconds of the event loop's clock. ``prefix_hashes`` name the
    prompt's prefixes, for affinity.
    """

    request_id: str
    workspace: str
    service: str
    pool: str
    model: str
    adapter: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline: float
    cost_tokens: int
    priority: str
    idempotent: bool
    stream: bool
    traceparent: str
    prefix_hashes: tuple[int, ...] = ()


class CallInFlight:
    """A call that was forwarded to one agent life.

    Attributes:
        agent: The agent's node name.
        incarnation: The agent's life; an answer of another life is not taken.
        backend: The backend server's name.
        head: The answer's head, once it has arrived.
        tokens: The true cost in tokens; -1 until it is known.
        started_at: When the call was forwarded, on the event loop's clock.
    """

    def __init__(
        self,
        plan: CallPlan,
        agent: str,
        incarnation: int,
        backend: str,
        resume: Callable[[ResumeCall], None],
    ) -> None:
        self.plan = plan
        self.agent = agent
        self.incarnation = incarnation
        self.backend = backend
        self.head: AnswerHead | None = None
        self.tokens = -1
        self.failure: Refusal | None = None
        self._resume = resume
        self.started_at = _now()
        self._reassembly = Reassembly(_now())
        self._ready: list[bytes] = []
        self._changed = asyncio.Event()
        self._lost_at: float | None = None

    @property
    def is_lost(self) -> bool:
        """Whether the link to the agent is down."""
        return self._lost_at is not None

    def take_head(self, head: AnswerHead) -> None:
        """Take the head; one that comes again is dropped."""
        if self.head is None:
            self.head = head
            self._changed.set()

    def take_chunk(self, chunk: AnswerChunk) -> None:
        """Take body bytes, in any order."""
        self._ready += self._reassembly.accept(chunk.offset, chunk.data, _now())
        self._changed.set()

    def take_end(self, end: AnswerEnd) -> None:
        """Take the end of the answer."""
        self._reassembly.end(end.length, end.error, _now())
        self.tokens = end.tokens
        self._changed.set()

    def fail(self, refusal: Refusal) -> None:
        """End the call; what has arrived whole stays valid."""
        if self.failure is None:
            self.failure = refusal
            self._reassembly.abort(refusal.message)
            self._changed.set()

    def lose_link(self) -> None:
        """Note that the link is down; the agent may still finish the call."""
        if self._lost_at is None:
            self._lost_at = _now()
            self._changed.set()

    def regain_link(self) -> None:
        """Ask the same agent life for what was missed."""
        self._lost_at = None
        self._resume(ResumeCall(self.plan.request_id, self._reassembly.delivered))
        self._changed.set()

    async def wait_head(self) -> AnswerHead:
        """Return the head.

        Raises:
            Refusal: If the agent refused or was lost.
        """
        while self.head is None:
            if self.failure is not None:
                raise self.failure
            await self._wait_change()
        return self.head

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes, or None at the end of a whole answer.

        Raises:
            StreamInterrupted: If the answer cannot be completed.
        """
        while not self._ready:
            if self._reassembly.status == COMPLETE:
                return None
            if self._reassembly.status == BROKEN:
                raise self._describe_break()
            await self._wait_change()
        data = b"".join(self._ready)
        self._ready = []
        return data

    def _describe_break(self) -> Refusal:
        if self.failure is not None:
            return self.failure
        return StreamInterrupted(self._reassembly.error, not_run=False)

    async def _wait_change(self) -> None:
        """Wait for news, or until something is due to be asked for or given up."""
        self._changed.clear()
        due = self._next_due()
        try:
            async with asyncio.timeout_at(due):
                await self._changed.wait()
        except TimeoutError:
            self._act_on_time(_now())

    def _next_due(self) -> float:
        due = self.plan.deadline + defaults.DEADLINE_GRACE_S
        if self._lost_at is not None:
            return min(due, self._lost_at + defaults.RESUME_WINDOW_S)
        check = self._reassembly.next_check() if self.head is not None else None
        return due if check is None else min(due, check)

    def _act_on_time(self, now: float) -> None:
        if now >= self.plan.deadline + defaults.DEADLINE_GRACE_S:
            self.fail(DeadlineExceeded("no whole answer in time", not_run=False))
        elif self._lost_at is not None:
            if now >= self._lost_at + defaults.RESUME_WINDOW_S:
                self.fail(StreamInterrupted("the agent was lost", not_run=False))
        elif self.head is not None:
            needed = self._reassembly.check(now)
            if needed is not None:
                self._resume(ResumeCall(self.plan.request_id, needed.offset))


class Answer:
    """An answer whose head has arrived.

    Attributes:
        status: The HTTP status.
        headers: The backend server's headers.
    """

    def __init__(self, call: CallInFlight, on_end: Callable[[bool], None]) -> None:
        assert call.head is not None
        self.status = call.head.status
        self.headers = call.head.headers
        self._call = call
        self._on_end = on_end

    @property
    def tokens(self) -> int:
        """The true cost in tokens once the answer has ended; -1 if unknown."""
        return self._call.tokens

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raises:
            StreamInterrupted: If the answer cannot be completed.
        """
        complete = False
        try:
            while (data := await self._call.read_chunk()) is not None:
                yield data
            complete = True
        finally:
            self._on_end(complete)


def _now() -> float:
    return asyncio.get_running_loop().time()
