"""Batching of stream frames from an agent to its entries.

One message per token would cost 3,100 messages/s at the target size, against
about 150 messages/s that the control overhead of a node allows. Frames for one
entry wait for each other for a short time instead, over all streams.
"""

from typing import Generic, NamedTuple, TypeVar

from .. import defaults

__all__ = ["Batch", "Coalescer", "choose_delay"]

_T = TypeVar("_T")


class Batch(NamedTuple, Generic[_T]):
    """Frames for one peer that are sent in one multipart message."""

    peer: str
    frames: list[_T]


class _Pending(Generic[_T]):
    __slots__ = ("due", "frames", "size")

    def __init__(self, due: float) -> None:
        self.due = due
        self.frames: list[_T] = []
        self.size = 0


def choose_delay(token_interval_s: float) -> float:
    """Return how long frames may wait, in seconds.

    The time between tokens at the caller is at most the engine's interval plus
    the delay, and the sum has to stay below the target.

    Args:
        token_interval_s: Time between tokens of one stream at the engine.
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
        """Add a frame of ``size`` bytes; return a batch that must go now.

        ``urgent`` sends what waits for the peer at once, in order: use it for
        the first chunk of an answer and for the end of one that is not streamed.
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
        """Return when to call :meth:`flush`, or None if nothing waits."""
        return min((pending.due for pending in self._pending.values()), default=None)

    def flush(self, now: float) -> list[Batch[_T]]:
        """Return the batches that are due."""
        due = [peer for peer, pending in self._pending.items() if pending.due <= now]
        return [self._release(peer) for peer in due]

    def flush_all(self) -> list[Batch[_T]]:
        """Return all batches, due or not; for a graceful stop."""
        return [self._release(peer) for peer in list(self._pending)]

    def forget(self, peer: str) -> None:
        """Drop the frames of a peer that is gone."""
        self._pending.pop(peer, None)

    def _release(self, peer: str) -> Batch[_T]:
        return Batch(peer, self._pending.pop(peer).frames)
