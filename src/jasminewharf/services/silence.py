"""Waits for peers that fall silent, apart from the event loop's own lateness."""

import asyncio
from collections.abc import Callable
from types import TracebackType

from .. import defaults

__all__ = ["SilenceLimit"]


class SilenceLimit:
    """Calls back while the body waits for longer than a limit.

    A loop that was held up has not read what has arrived meanwhile, so that the time by
    which it is late is granted again, up to the limit in all.
    """

    def __init__(
        self, first_s: float, repeat_s: float, on_silent: Callable[[], None]
    ) -> None:
        self._left_s = first_s
        self._repeat_s = repeat_s
        self._on_silent = on_silent
        self._loop = asyncio.get_running_loop()
        self._timeout = asyncio.timeout(None)
        self._is_waiting = False
        self._timer = self._loop.call_later(first_s, self._check)

    async def __aenter__(self) -> None:
        self._is_waiting = True
        await self._timeout.__aenter__()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._is_waiting = False
        self._timer.cancel()
        await self._timeout.__aexit__(kind, error, trace)

    def end(self) -> None:
        """End the body with ``TimeoutError``, after what has been read in this turn."""
        if self._is_waiting and not self._timeout.expired():
            self._timeout.reschedule(self._loop.time())

    def _check(self) -> None:
        now = self._loop.time()
        late_s = min(now - self._timer.when(), self._left_s)
        if late_s >= defaults.LOOP_LATE_S:
            self._left_s -= late_s
            self._timer = self._loop.call_later(late_s, self._check)
            return
        self._left_s = self._repeat_s
        self._timer = self._loop.call_later(self._repeat_s, self._check)
        self._on_silent()
