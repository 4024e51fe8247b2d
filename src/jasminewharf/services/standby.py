"""A second attempt at a request, prepared while the server of the first is silent."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from ..decisions.directory import Server
from ..decisions.eventstream import StreamEvent
from ..exceptions import BackendError, Refusal
from .permits import Permit
from .poisonguard import GuardedAttempt
from .silence import SilenceLimit
from .upstream import UpstreamAnswer

__all__ = ["Attempt", "Standby"]


class Attempt:
    """One attempt at a server that was admitted.

    Attributes:
        server: The server.
        permit: The permit to send the request there.
        guard: What the poison guard keeps of it.
        held: The permit, the guard, the place in the server's load and the answer.
        answer: The answer once its head has come.
        body: The body of an answer that is no stream, once it is whole.
        batches: The events of a stream, in batches.
        first: Events that were read before the attempt replaced another one.
        load: The server's requests per slot when the request was sent.
    """

    def __init__(
        self,
        server: Server,
        permit: Permit,
        guard: GuardedAttempt,
        held: contextlib.AsyncExitStack,
    ) -> None:
        self.server = server
        self.permit = permit
        self.guard = guard
        self.held = held
        self.answer: UpstreamAnswer | None = None
        self.body: bytes | None = None
        self.batches: AsyncIterator[list[StreamEvent]] | None = None
        self.first: list[StreamEvent] = []
        self.load = 0.0


class Standby:
    """Prepares the replacement of a silent attempt, which goes on until it answers.

    ``may_begin`` is asked at each limit of silence that passes without a replacement.
    """

    def __init__(
        self,
        may_begin: Callable[[Attempt], bool],
        prepare: Callable[[], Awaitable[Attempt]],
    ) -> None:
        self._may_begin = may_begin
        self._prepare = prepare
        self._task: asyncio.Task[Attempt] | None = None
        self._limit: SilenceLimit | None = None

    @property
    def is_active(self) -> bool:
        """Whether a replacement is ready or in preparation."""
        return self._task is not None

    def watch(self, attempt: Attempt, first_s: float, repeat_s: float) -> SilenceLimit:
        """Return the limit under which an attempt waits for its server.

        It raises ``TimeoutError`` once a replacement is ready.
        """

        def look() -> None:
            if self._task is None:
                if self._may_begin(attempt):
                    self._task = asyncio.ensure_future(self._prepare())
                    self._task.add_done_callback(self._note_done)
            elif self._task.done():
                limit.end()

        limit = self._limit = SilenceLimit(
            0.0 if self._task is not None else first_s, repeat_s, look
        )
        return limit

    def _note_done(self, task: "asyncio.Task[Attempt]") -> None:
        if task is not self._task:
            return
        if task.cancelled() or isinstance(task.exception(), BackendError | Refusal):
            self._task = None
        elif self._limit is not None:
            self._limit.end()

    async def wait(self) -> bool:
        """Wait for a replacement in preparation; return whether one is ready."""
        if self._task is not None:
            await asyncio.wait([self._task])
        task = self._task
        return task is not None and not task.cancelled() and task.exception() is None

    async def take(self) -> Attempt | None:
        """Return the replacement once it is ready; None if there is none."""
        task = self._task
        if task is None:
            return None
        # Until it is handed over, :meth:`drop` gives it back.
        await asyncio.wait([task])
        self._task = None
        try:
            return task.result()
        except (BackendError, Refusal):
            return None

    async def drop(self) -> bool:
        """Give the replacement up; return whether there was one."""
        task, self._task = self._task, None
        if task is None:
            return False
        task.cancel()
        try:
            await asyncio.wait([task])
        finally:
            if not task.done():
                task.add_done_callback(_give_back)
            else:
                await _close(task)
        return True


def _give_back(task: "asyncio.Task[Attempt]") -> None:
    """Give back what a task holds that was ready as it was cancelled."""
    if not task.cancelled() and task.exception() is None:
        closing = asyncio.ensure_future(_close(task))
        closing.add_done_callback(lambda done: done.cancelled() or done.exception())


async def _close(task: "asyncio.Task[Attempt]") -> None:
    if not task.cancelled() and task.exception() is None:
        await task.result().held.aclose()
