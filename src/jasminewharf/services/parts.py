"""Payloads that are larger than a frame of a link may be, sent in parts.

ZeroMQ receives a frame whole before anything tells who sends it, so that servers take
small frames only. The parts of a payload arrive in order on their connection.
"""

import asyncio
from collections.abc import Iterator

from .. import defaults
from ..exceptions import MalformedMessage
from ..messages.link import Part

__all__ = ["PartAssembler", "needs_parts", "split_payload"]

_FEWEST_PARTS = 2


def needs_parts(payload: bytes) -> bool:
    """Return whether a payload is too large for one frame."""
    return len(payload) > defaults.LINK_PART_BYTES


def split_payload(payload: bytes, number: int) -> Iterator[Part]:
    """Yield the parts of a payload.

    Args:
        payload: The payload.
        number: What tells it from others of the same sender.
    """
    size = defaults.LINK_PART_BYTES
    count = -(-len(payload) // size)
    for index in range(count):
        yield Part(number, index, count, payload[index * size : (index + 1) * size])


class _Payload:
    """A payload of which some parts are missing."""

    def __init__(self, part: Part, began_at: float) -> None:
        self.number = part.number
        self.count = part.count
        self.began_at = began_at
        self.parts: list[bytes] = []
        self.size = 0

    def is_followed_by(self, part: Part) -> bool:
        """Return whether a part is the next one."""
        expected = (self.number, len(self.parts), self.count)
        return expected == (part.number, part.index, part.count)

    def add(self, part: Part) -> None:
        """Add the next part."""
        self.parts.append(part.data)
        self.size += len(part.data)


class PartAssembler:
    """Joins the parts that the connections of one socket send.

    All payloads in progress together hold as much as the largest message at most. The
    one that began first gives way: a sender that means it is done within a moment.
    """

    def __init__(self) -> None:
        self._payloads: dict[bytes, _Payload] = {}
        self._expiry: asyncio.TimerHandle | None = None

    @property
    def held_bytes(self) -> int:
        """The bytes of all payloads in progress."""
        return sum(payload.size for payload in self._payloads.values())

    def take(self, source: bytes, part: Part) -> bytes | None:
        """Add a part; return the payload if it is the last one.

        Parts of a payload that has given way are dropped.

        Args:
            source: Identifies the connection.
            part: The part.

        Raises:
            MalformedMessage: If no sender makes such a part.
        """
        _check(part)
        if part.index == 0:
            now = asyncio.get_running_loop().time()
            # The last one of the dictionary is the one that began last.
            self._payloads.pop(source, None)
            self._payloads[source] = _Payload(part, now)
            self._schedule_expiry()
        payload = self._payloads.get(source)
        if payload is None or not payload.is_followed_by(part):
            self.drop(source)
            return None
        payload.add(part)
        if len(payload.parts) == payload.count:
            del self._payloads[source]
            return b"".join(payload.parts)
        self._make_room()
        return None

    def drop(self, source: bytes) -> None:
        """Forget what a connection has sent."""
        self._payloads.pop(source, None)

    def close(self) -> None:
        """Forget everything."""
        self._payloads.clear()
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None

    def _make_room(self) -> None:
        while self.held_bytes > defaults.LINK_MESSAGE_LIMIT_BYTES:
            del self._payloads[next(iter(self._payloads))]

    def _schedule_expiry(self) -> None:
        if self._expiry is None:
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_later(defaults.LINK_PARTS_KEPT_S, self._expire)

    def _expire(self) -> None:
        # ZeroMQ does not report which connections have ended.
        self._expiry = None
        oldest = asyncio.get_running_loop().time() - defaults.LINK_PARTS_KEPT_S
        for source, payload in list(self._payloads.items()):
            if payload.began_at <= oldest:
                del self._payloads[source]
        if self._payloads:
            self._schedule_expiry()


def _check(part: Part) -> None:
    size = defaults.LINK_PART_BYTES
    most = defaults.LINK_MESSAGE_LIMIT_BYTES // size
    is_last = part.index == part.count - 1
    # A payload of one part would be a frame; nested ones would have no end.
    if part.count < _FEWEST_PARTS or not 0 <= part.index < part.count <= most:
        raise MalformedMessage("a part with an index out of range")
    if len(part.data) > size or not (part.data and (is_last or len(part.data) == size)):
        raise MalformedMessage("a part of a wrong size")
