"""Bodies that arrive in pieces."""

from .. import defaults

__all__ = ["BodyBuffer"]


class BodyBuffer:
    """Keeps a body in blocks of one size.

    Kept as it arrived, in pieces of many sizes, a body took 1.4 times its size: what
    the allocator got back of one did not fit the next.
    """

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        self.size = 0

    def extend(self, data: bytes | bytearray) -> None:
        """Append bytes."""
        self.size += len(data)
        position = 0
        while position < len(data):
            if not self._blocks or len(self._blocks[-1]) >= _BLOCK:
                self._blocks.append(bytearray())
            room = _BLOCK - len(self._blocks[-1])
            self._blocks[-1] += data[position : position + room]
            position += room

    def take(self) -> bytes:
        """Return the whole body and keep none of it."""
        body = b"".join(self._blocks)
        self.clear()
        return body

    def clear(self) -> None:
        """Keep nothing."""
        self._blocks.clear()
        self.size = 0


_BLOCK = defaults.HTTP_BODY_BLOCK_BYTES
