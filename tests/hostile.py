"""Helpers of the tests of hostile input."""

import asyncio
import os
import socket
import threading

from hypothesis import HealthCheck, settings

EXAMPLES = int(os.environ.get("JASMINEWHARF_FUZZ_EXAMPLES", "0"))


def fuzz(examples):
    """Return hypothesis settings: seeded and bounded unless the variable is set."""
    return settings(
        max_examples=EXAMPLES or examples,
        derandomize=not EXAMPLES,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )


class LoopThread:
    """An event loop in a thread, so that a test may use blocking sockets."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine, timeout_s=60):
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(timeout_s)

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(10)


def exchange(address, data, *, half_close=False, timeout_s=5.0):
    """Send bytes on a new connection; return all that comes back."""
    host, _, port = address.partition(":")
    received = b""
    with socket.create_connection((host, int(port)), timeout_s) as link:
        try:
            link.sendall(data)
            if half_close:
                link.shutdown(socket.SHUT_WR)
            while chunk := link.recv(65536):
                received += chunk
        except (ConnectionError, TimeoutError):
            pass
    return received


def read_status(received):
    """Return the status of the first response; 0 if there is none."""
    if not received:
        return 0
    assert received.startswith(b"HTTP/1.1 "), received[:80]
    return int(received[9:12])
