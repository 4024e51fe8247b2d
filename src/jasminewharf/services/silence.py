"""Time-outs for peers that fall silent, apart from the event loop's own lateness."""

import asyncio
from types import TracebackType

from .. import defaults

__all__ = ["SilenceLimit"]


class SilenceLimit:
    """Raises ``TimeoutError`` if the body takes longer while the event loop runs.

    A loop that was held up has not read what has arrived meanwhile, so that the time by
    which it is late is granted again, up to ``seconds`` in all.
    """

    def __init__(self, seconds: float) -> None:
        self._left_s = seconds
        self._loop = asyncio.get_running_loop()
        self._timeout = asyncio.timeout(None)
        self._timer = self._loop.call_later(seconds, self._check)

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._timer.cancel()
        await self._timeout.__aexit__(kind, error, trace)

    def _check(self) -> None:
        now = self._loop.time()
        late_s = min(now - self._timer.when(), self._left_s)
        if late_s < defaults.LOOP_LATE_S:
            # Ends the wait in the next turn, after what has been read in this one.
            self._timeout.reschedule(now)
            return
        self._left_s -= late_s
        self._timer = self._loop.call_later(late_s, self._check)
