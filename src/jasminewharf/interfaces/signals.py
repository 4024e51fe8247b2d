"""Signals of a process that runs an event loop."""

import asyncio
import signal
import socket
from collections.abc import Callable, Mapping
from types import FrameType, TracebackType

__all__ = ["SignalHandlers"]

_RECEIVED_BYTES = 4096


class SignalHandlers:
    """Calls functions in the running event loop when signals arrive.

    The signals are ignored from the end of the ``with`` block to that of the process.
    Those of ``loop.add_signal_handler`` get their default action back when the loop
    closes, which ends the process.

    Args:
        handlers: What is called for each signal.
    """

    def __init__(self, handlers: Mapping[int, Callable[[], None]]) -> None:
        self._handlers = handlers
        self._loop = asyncio.get_running_loop()
        self._receiver, self._sender = socket.socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)

    def __enter__(self) -> "SignalHandlers":
        self._loop.add_reader(self._receiver, self._dispatch)
        # The interpreter writes there whichever thread the signal interrupts.
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        for number in self._handlers:
            signal.signal(number, _leave_to_loop)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for number in self._handlers:
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)
        self._loop.remove_reader(self._receiver)
        self._receiver.close()
        self._sender.close()

    def _dispatch(self) -> None:
        received = self._receiver.recv(_RECEIVED_BYTES)
        for number, handler in self._handlers.items():
            if number in received:
                handler()


def _leave_to_loop(number: int, frame: FrameType | None) -> None:
    """Do nothing: the interpreter has told the loop already."""
