"""The event loop of a process, whose clock goes on while the machine is suspended."""

import asyncio
import time

__all__ = ["EventLoop", "read_clock"]

# The steady clock of Linux stands still while a machine is suspended. Leases would then
# last longer on its holder than on those who gave them.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class EventLoop(asyncio.SelectorEventLoop):
    """Counts all time that passes."""

    def time(self) -> float:
        """Return seconds that never go back."""
        return time.clock_gettime(_CLOCK)


def read_clock() -> float:
    """Return the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()
