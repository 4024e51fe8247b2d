"""Tokens at an entry: lent in advance, or its own share while there is no owner."""

from collections import deque
from typing import NamedTuple

from .configurations import WorkspaceSpec
from .ratebuckets import LATE_SEND_S

__all__ = ["ISOLATED_PART", "Advance", "EmergencyBucket", "TokenLot"]

# Fraction of a rate that all emergency buckets share while nobody lends.
_EMERGENCY_PART = 0.6
# The same of entries that may be cut off from an owner that still lends to the others:
# a third of the entries then stays within the overrun of a workspace at its rate.
ISOLATED_PART = 0.25
# Capacity of an emergency bucket, in seconds of its rate.
_EMERGENCY_BURST_S = 0.5
_TINY = 1e-9


class TokenLot(NamedTuple):
    """Tokens of one loan; an ``owner`` of 0 is the entry itself."""

    tokens: float
    owner: int
    lent_at: float


class Advance:
    """Tokens of one workspace that an entry holds without a request.

    Each loan expires by itself: tokens that later ones kept alive could all be spent
    in one window long after they were lent.

    Attributes:
        owner: The owner of the tokens that were added last.
    """

    def __init__(self) -> None:
        self._lots: deque[TokenLot] = deque()
        self.owner = 0

    def add(self, tokens: float, owner: int, lent_at: float, now: float) -> None:
        """Add tokens that were lent at ``lent_at``."""
        self.owner = owner
        if tokens > 0:
            self._lots.append(TokenLot(tokens, owner, lent_at))

    def take(self, tokens: float, now: float) -> bool:
        """Spend ``tokens`` if that many are held and have not expired."""
        return self.spend(tokens, now) is not None

    def spend(self, tokens: float, now: float) -> TokenLot | None:
        """Spend ``tokens``; return them with the time of the oldest of their loans.

        Tokens of different owners do not mix, as each takes back only its own.
        """
        valid = [lot for lot in self._lots if now - lot.lent_at < LATE_SEND_S]
        usable = [lot for lot in valid if lot.owner == self.owner]
        if sum(lot.tokens for lot in usable) < tokens:
            return None
        lacking, oldest = tokens, now
        for lot in sorted(usable, key=lambda lot: lot.lent_at):
            if lacking <= _TINY:
                break
            part = min(lot.tokens, lacking)
            lacking -= part
            oldest = min(oldest, lot.lent_at)
            self._lots.remove(lot)
            if lot.tokens - part > _TINY:
                self._lots.append(lot._replace(tokens=lot.tokens - part))
        return TokenLot(tokens, self.owner, oldest)

    def expire(self, now: float) -> tuple[float, float]:
        """Remove expired tokens; return their number and the earliest loan time.

        Tokens of owners before the last are dropped: nobody takes them back.
        """
        expired = [lot for lot in self._lots if now - lot.lent_at >= LATE_SEND_S]
        for lot in expired:
            self._lots.remove(lot)
        own = [lot for lot in expired if lot.owner == self.owner]
        if not own:
            return 0.0, now
        return sum(lot.tokens for lot in own), min(lot.lent_at for lot in own)

    def drain(self) -> tuple[float, float]:
        """Remove all tokens of the last owner; see :meth:`expire`."""
        own = [lot for lot in self._lots if lot.owner == self.owner]
        self._lots.clear()
        if not own:
            return 0.0, 0.0
        return sum(lot.tokens for lot in own), min(lot.lent_at for lot in own)


class EmergencyBucket:
    """An entry's local share of a workspace's rate while the owner is unavailable.

    Args:
        place: The entry's place among all, from 0 to below 1. Since each may spend a
            request beyond its share, they begin to one after the other.
    """

    def __init__(self, place: float = 0.0) -> None:
        self._place = place
        self._level = 0.0
        self._at: float | None = None

    def take(
        self,
        spec: WorkspaceSpec,
        entries: int,
        tokens: float,
        now: float,
        part: float = _EMERGENCY_PART,
    ) -> float:
        """Spend ``tokens`` and return 0, or return the seconds to wait.

        The level may become negative by one request, as the bucket of a low rate may
        never hold the tokens of a whole request.
        """
        rate = spec.rate_per_s * part / max(entries, 1)
        if self._at is None:
            self._level = rate * _EMERGENCY_BURST_S - self._place * tokens
        else:
            earned = max(now - self._at, 0.0) * rate
            self._level = min(self._level + earned, rate * _EMERGENCY_BURST_S)
        self._at = now
        if self._level <= 0:
            return -self._level / max(rate, _TINY) + _TINY
        self._level -= tokens
        return 0.0
