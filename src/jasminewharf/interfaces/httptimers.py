"""Time-outs of a connection."""

import asyncio
import math
from collections.abc import Callable
from operator import attrgetter

from ..settings import LimitSettings

__all__ = ["BODY_TIME", "HEAD_TIME", "IDLE_TIME", "TimeLimit", "Timeout"]

TimeLimit = Callable[[LimitSettings], float]
HEAD_TIME: TimeLimit = attrgetter("head_timeout_s")
BODY_TIME: TimeLimit = attrgetter("body_timeout_s")
IDLE_TIME: TimeLimit = attrgetter("idle_timeout_s")


class Timeout:
    """The time-out in force on one connection.

    Each request sets three, and nearly none of them passes: a timer that is due
    earlier looks at the time again.

    Args:
        read_limits: Returns the limits that bind what has begun.
        on_passed: Called when the time has passed.
    """

    def __init__(
        self, read_limits: Callable[[], LimitSettings], on_passed: Callable[[], None]
    ) -> None:
        self._read_limits = read_limits
        self._on_passed = on_passed
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._due = math.inf
        self._armed_at = 0.0
        self._time_limit = IDLE_TIME

    def arm(self, time_limit: TimeLimit) -> None:
        """Set the time-out."""
        self._armed_at = self._loop.time()
        self._time_limit = time_limit
        self._due = self._armed_at + time_limit(self._read_limits())
        if self._timer is None or self._timer.when() > self._due:
            self.cancel()
            self._timer = self._loop.call_at(self._due, self._check)

    def disarm(self) -> None:
        """Let no time pass until it is set again."""
        self._due = math.inf

    def cancel(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self._due == math.inf:
            return
        # The limit may have been raised meanwhile.
        limit_s = self._time_limit(self._read_limits())
        self._due = max(self._due, self._armed_at + limit_s)
        if self._due <= self._loop.time():
            self._on_passed()
        else:
            self._timer = self._loop.call_at(self._due, self._check)
