"""What the kernel says of sockets, and how they are closed."""

import contextlib
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Iterable
from typing import Any

__all__ = ["NO_LINGER", "RESET", "count_unread", "count_unsent", "is_broken"]
__all__ += ["is_readable", "set_linger"]

# Linger of zero seconds: the socket is reset when it is closed.
RESET = struct.pack("ii", 1, 0)
NO_LINGER = struct.pack("ii", 0, 0)
_INT = struct.Struct("i")


def set_linger(connection: socket.socket | None, value: bytes) -> None:
    """Set what happens to unsent bytes at the close, :data:`RESET` or not."""
    # The socket may be closed already.
    with contextlib.suppress(OSError):
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


def is_readable(sockets: Iterable[Any]) -> bool:
    """Return whether bytes or connections have arrived that were not taken yet."""
    poll = select.poll()
    for each in sockets:
        if each.fileno() >= 0:
            poll.register(each.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def is_broken(descriptor: int) -> bool:
    """Return whether the peer has reset the connection."""
    poll = select.poll()
    # Broken connections are told of without having been asked for.
    poll.register(descriptor, 0)
    return bool(poll.poll(0))


def count_unsent(descriptor: int) -> int:
    """Return the bytes in the kernel that the peer's host has not acknowledged."""
    # Linux tells them under this name (SIOCOUTQ).
    return _count_waiting(descriptor, termios.TIOCOUTQ)


def count_unread(descriptor: int) -> int:
    """Return the bytes in the kernel that have arrived and were not read."""
    return _count_waiting(descriptor, termios.FIONREAD)


def _count_waiting(descriptor: int, direction: int) -> int:
    if descriptor < 0:
        return 0
    # The socket may be broken already.
    with contextlib.suppress(OSError):
        held = fcntl.ioctl(descriptor, direction, bytes(_INT.size))
        return _INT.unpack(held)[0]
    return 0
