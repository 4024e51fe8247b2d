"""Callers that have ended their sending side and may still read."""

import asyncio
from collections.abc import Callable

from .. import defaults

__all__ = ["SilenceWatch"]


class SilenceWatch:
    """Tells when such a caller takes nothing any more.

    Args:
        count_unsent: Returns the bytes that the caller's host has not acknowledged.
        read_patience_s: Returns how long a caller is worked for without a sign.
        on_silent: Called when it has shown none for so long.
    """

    def __init__(
        self,
        count_unsent: Callable[[], int],
        read_patience_s: Callable[[], float],
        on_silent: Callable[[], None],
    ) -> None:
        self._count_unsent = count_unsent
        self._read_patience_s = read_patience_s
        self._on_silent = on_silent
        self._loop = asyncio.get_running_loop()
        # Since the end of its sending side: when the caller was last known to be there;
        # the bytes written, and how many of them its host has taken, negative before
        # all earlier ones are; when the last was written, and the first that is not
        # known to be taken.
        self._seen_at = 0.0
        self._written = 0
        self._taken = 0
        self._written_at = 0.0
        self._waiting_since: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_overdue = False
        self._is_stopped = False

    def start(self) -> None:
        """Begin to look for signs of the caller."""
        self._seen_at = self._loop.time()
        self._taken = -self._count_unsent()
        self._check()

    def note_written(self, size: int) -> None:
        """Note that bytes are about to be written."""
        self._written += size
        self._written_at = self._loop.time()
        if self._waiting_since is None:
            self._waiting_since = self._written_at

    def stop(self) -> None:
        """Stop: the connection ends, or the caller counts as gone."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        """Give up for a caller that has ended its sending side and takes nothing."""
        self._timer = None
        if self._is_stopped:
            return
        now = self._loop.time()
        unsent = self._count_unsent()
        taken = self._written - unsent
        if taken > self._taken:
            self._taken = taken
            self._seen_at = now if unsent else max(self._seen_at, self._written_at)
            self._waiting_since = None
        due = self._seen_at + self._read_patience_s()
        if self._waiting_since is not None:
            due = max(due, self._waiting_since + defaults.HTTP_TAKEN_S)
        if now >= due and self._is_overdue:
            self._on_silent()
            return
        # After a late turn of the event loop, what it was to write comes first.
        self._is_overdue = now >= due
        look_at = max(due, now + defaults.HTTP_WATCH_S)
        self._timer = self._loop.call_at(look_at, self._check)
