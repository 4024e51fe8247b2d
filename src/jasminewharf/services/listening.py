"""Listening on an address that another process may still hold, or that is not up."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

from .. import defaults, events
from ..exceptions import ListenFailed

__all__ = ["listen_when_free"]

_logger = logging.getLogger(__name__)
_T = TypeVar("_T")


async def listen_when_free(attempt: Callable[[], Awaitable[_T]]) -> _T:
    """Return what ``attempt`` does, repeated while the address is not free.

    A cancellation ends the wait, but no attempt that succeeds: connections may have
    been accepted there.

    Raises:
        ListenFailed: If it never will be, or is not within ``LISTEN_PATIENCE_S``.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + defaults.LISTEN_PATIENCE_S
    is_told = False
    while True:
        try:
            return await _finish(asyncio.ensure_future(attempt()))
        except ListenFailed as error:
            if not error.is_passing or loop.time() > deadline:
                raise
            if not is_told:
                events.emit(_logger, events.LISTEN_DELAYED, error=error)
                is_told = True
        await asyncio.sleep(defaults.LISTEN_RETRY_S)


async def _finish(attempt: asyncio.Future[_T]) -> _T:
    try:
        return await asyncio.shield(attempt)
    except asyncio.CancelledError:
        await asyncio.wait((attempt,))
        if attempt.exception() is not None:
            raise
        return attempt.result()
