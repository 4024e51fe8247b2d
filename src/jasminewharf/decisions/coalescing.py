"""Batches stream frames from an agent to its entries.

One message per token would need 3,100 messages/s at the target size, while the
control overhead of a node allows about 150 messages/s. The frames of all streams to
an entry are therefore collected for a short time and sent together.
"""

from typing import Generic, NamedTuple, TypeVar

from .. import defaults

__all__ = ["Batch", "Coalescer", "choose_delay"]

_T = TypeVar("_T")


class Batch(NamedTuple, Generic[_T]):
    """Frames for one peer that are sent as one multipart message."""

    peer: str
    frames: list[_T]


class _Pending(Generic[_T]):
    __slots__ = ("due", "frames", "size")

    def __init__(self, due: float) -> None:
        self.due = due
        self.frames: list[_T] = []
        self.size = 0


def choose_delay(token_interval_s: float) -> float:
    """Return the maximum delay of frames, in seconds.

    The time between tokens at the caller is at most the engine's interval plus the
    delay, and this sum must stay below the target.

    Args:
        token_interval_s: Seconds between tokens of one stream at the engine.
    """
    spare = defaults.COALESCE_TOKEN_GAP_S - token_interval_s
    spare -= defaults.COALESCE_MARGIN_S
    return min(max(spare, defaults.COALESCE_MIN_DELAY_S), defaults.COALESCE_MAX_DELAY_S)


class Coalescer(Generic[_T]):
    """Collects frames per peer until they are due or large enough."""

    def __init__(
        self,
        delay_s: float = defaults.COALESCE_MAX_DELAY_S,
        limit_bytes: int = defaults.COALESCE_BYTES,
    ) -> None:
        self.delay_s = delay_s
        self._limit_bytes = limit_bytes
        self._pending: dict[str, _Pending[_T]] = {}

    def add(
        self, peer: str, frame: _T, size: int, now: float, *, urgent: bool = False
    ) -> Batch[_T] | None:
        """Add a frame of ``size`` bytes; return the batch if it must be sent now.

        ``urgent`` releases all pending frames of the peer at once, in order. It is
        used for the first chunk of an answer and the end of an unstreamed answer.
        """
        pending = self._pending.get(peer)
        if pending is None:
            pending = _Pending(now + self.delay_s)
            self._pending[peer] = pending
        pending.frames.append(frame)
        pending.size += size
        if urgent or pending.size >= self._limit_bytes or pending.due <= now:
            return self._release(peer)
        return None

    def next_due(self) -> float | None:
        """Return when to call :meth:`flush`; None if no frame is pending."""
        return min((pending.due for pending in self._pending.values()), default=None)

    def flush(self, now: float) -> list[Batch[_T]]:
        """Return the batches that are due."""
        due = [peer for peer, pending in self._pending.items() if pending.due <= now]
        return [self._release(peer) for peer in due]

    def flush_all(self) -> list[Batch[_T]]:
        """Return all batches, due or not, for a graceful shutdown."""
        return [self._release(peer) for peer in list(self._pending)]

    def forget(self, peer: str) -> None:
        """Drop the pending frames of a disconnected peer."""
        self._pending.pop(peer, None)

    def _release(self, peer: str) -> Batch[_T]:
        return Batch(peer, self._pending.pop(peer).frames)
