"""The judge of refusals: one token bucket over the whole fleet."""

import itertools

from ..decisions.buckets import RateLimits

__all__ = ["IdealBucket"]


class IdealBucket:
    """A bucket that learns of every charge and every end of a call at once.

    It refunds what a call did not spend, less what the bucket would have refilled
    beyond its burst if the call had been charged its true cost from the start.
    """

    def __init__(self, limits: RateLimits, now: float) -> None:
        self._limits = limits
        self._level = float(limits.burst)
        self._updated_at = now
        self._ids = itertools.count()
        self._refundable: dict[int, tuple[int, float]] = {}
        self._reserved = 0.0

    def _accrue(self, now: float) -> None:
        refill = (now - self._updated_at) * self._limits.rate
        self._updated_at = now
        self._level = min(self._limits.burst, self._level + refill)
        excess = self._level + self._reserved - self._limits.burst
        for charge, (tokens, refundable) in self._refundable.items():
            if excess <= 0:
                return
            cut = min(excess, refundable)
            excess -= cut
            self._reserved -= cut
            self._refundable[charge] = (tokens, refundable - cut)

    def holds(self, tokens: int, now: float) -> bool:
        """Return whether a call of this cost is inside the rate."""
        self._accrue(now)
        return self._level >= tokens

    def charge(self, tokens: int, now: float) -> int:
        """Charge a call that the policy admitted."""
        self._accrue(now)
        self._level -= tokens
        charge = next(self._ids)
        self._refundable[charge] = (tokens, tokens)
        self._reserved += tokens
        return charge

    def end(self, charge: int, spent: int, now: float) -> None:
        """End a call and refund what it did not spend."""
        self._accrue(now)
        tokens, refundable = self._refundable.pop(charge)
        self._reserved -= refundable
        self._level += min(tokens - spent, refundable)
