"""Futures of callers that wait for an outcome, with a time limit."""

import asyncio
from typing import Any, NamedTuple

from ..exceptions import QuorumLost

__all__ = ["Waiters"]


class _Waiting(NamedTuple):
    future: asyncio.Future[Any]
    deadline: float


class Waiters:
    """Pending futures by token, all with the same timeout.

    Args:
        group: The log group's name, for the error.
        timeout_s: Seconds after which a caller gets :class:`QuorumLost`.
        first_token: Number after which tokens are assigned.
    """

    def __init__(self, group: str, timeout_s: float, first_token: int) -> None:
        self._group = group
        self._timeout_s = timeout_s
        self._token = first_token
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[int, _Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self) -> tuple[int, asyncio.Future[Any]]:
        """Return a new token and its future."""
        self._token += 1
        future = self._loop.create_future()
        deadline = self._loop.time() + self._timeout_s
        self._waiting[self._token] = _Waiting(future, deadline)
        return self._token, future

    def finish(self, token: int, result: Any) -> None:
        """Set the result of a future that is still pending."""
        waiting = self._waiting.pop(token, None)
        if waiting is not None and not waiting.future.done():
            waiting.future.set_result(result)

    def fail(self, token: int, error: Exception) -> None:
        """Set an error on a future that is still pending."""
        waiting = self._waiting.pop(token, None)
        if waiting is not None and not waiting.future.done():
            waiting.future.set_exception(error)

    def expire(self, now: float) -> None:
        """Fail the futures whose deadline has passed."""
        # All timeouts are equal, so tokens are in the order of their deadlines.
        while self._waiting:
            token = next(iter(self._waiting))
            if self._waiting[token].deadline > now:
                return
            text = f"no quorum of {self._group} answered in time"
            self.fail(token, QuorumLost(text))

    def fail_all(self, error: Exception) -> None:
        """Fail all pending futures."""
        for token in list(self._waiting):
            self.fail(token, error)
