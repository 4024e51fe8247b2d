"""Freshness lease of a node's view, counted from the sending of the ping."""

from .. import defaults

__all__ = ["FreshnessLease"]


class FreshnessLease:
    """Lease during which a node may act on its view.

    A confirmation proves that the view was current at some moment after the ping
    was sent. The lease therefore runs from the moment of sending on this node's
    own clock, shortened by the drift bound, and no clocks are compared.

    Args:
        length_s: Length of the lease in seconds.
    """

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s * (1 - defaults.CLOCK_DRIFT_BOUND)
        self._sent: dict[int, float] = {}
        self._nonce = 0
        self._until = float("-inf")

    def begin_ping(self, now: float) -> int:
        """Return the nonce of a ping sent at ``now``."""
        self._nonce += 1
        self._sent[self._nonce] = now
        for nonce in [n for n, at in self._sent.items() if now - at > self._length_s]:
            del self._sent[nonce]
        return self._nonce

    def confirm(self, nonce: int, version: int, applied: int) -> bool:
        """Process a confirmation of ``version``; return whether the lease was renewed.

        A confirmation of a version that this node has not yet applied does not
        count, since the node's view is behind it.
        """
        sent = self._sent.get(nonce)
        if sent is None or version > applied:
            return False
        del self._sent[nonce]
        self._until = max(self._until, sent + self._length_s)
        return True

    def is_valid(self, now: float) -> bool:
        """Return whether the view may be acted on at ``now``."""
        return now < self._until

    def unconfirmed_s(self, now: float) -> float:
        """Return the seconds since the view was known to hold all that is committed.

        Infinite if it never was.
        """
        return now - (self._until - self._length_s)

    def remaining_s(self, now: float) -> float:
        """Return the seconds left; negative if the lease has run out."""
        return self._until - now
