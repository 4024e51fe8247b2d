"""A rate account at its owner: bucket level, leases by holder and logged bounds."""

import math
from typing import NamedTuple

from ..defaults import (
    ACCOUNT_IDLE_S,
    CHECKPOINT_BLOCK_SHARE,
    CHECKPOINT_RAISE_INTERVAL_S,
    GRANT_PLENTY_SHARE,
    GRANT_TRIM_HEADROOM_S,
)
from ..messages.accounts import AccountBounds
from ..messages.control import GrantAnswer
from .buckets import RateLimits, TokenBucket

__all__ = ["HolderLease", "Ledger", "ReconciledLease"]

_PENDING_LIMIT = 8


class HolderLease:
    """Tokens of one account granted to one incarnation of a holder.

    ``outstanding`` includes the ``adopted`` tokens, which a previous owner granted.
    """

    __slots__ = (
        "adopted",
        "answer",
        "expires_at",
        "outstanding",
        "requested_at",
        "running",
        "sequence",
        "trim",
        "unspent",
    )

    def __init__(self) -> None:
        self.sequence = -1
        self.outstanding = 0
        self.adopted = 0
        self.unspent = 0
        self.running = 0
        self.trim = 0
        self.requested_at = -math.inf
        self.expires_at = math.inf
        self.answer: GrantAnswer | None = None


class ReconciledLease(NamedTuple):
    """Amounts after applying a holder's reported tokens, before any new grant.

    ``held`` and ``adopted`` are the new amounts of the lease; ``level`` and
    ``total_outstanding`` are those of the account.
    """

    renewed: bool
    held: int
    adopted: int
    level: float
    total_outstanding: int


class Ledger:
    """An account's bucket and the grants made from it.

    Args:
        bucket: Level and limits.
        floor: The committed lower bound of the level; infinite if the account is
            not in the log.
        ceiling: The committed upper bound of the outstanding tokens.
        inherited: Tokens of a predecessor's grants that may still be valid.
        inherited_until: When the last of those grants has expired.
    """

    def __init__(
        self,
        bucket: TokenBucket,
        floor: float,
        ceiling: int,
        inherited: int,
        inherited_until: float,
    ) -> None:
        self.bucket = bucket
        self.leases: dict[tuple[str, int], HolderLease] = {}
        self.bounds_pending: dict[int, AccountBounds] = {}
        self.deferred = 0
        self.scarce_until = -math.inf
        self.touched_at = bucket.updated_at
        self._floor = floor
        self._ceiling = ceiling
        self._inherited = inherited
        self._inherited_until = inherited_until
        self._outstanding = 0
        self._adopted = 0
        self._bounds_set_at = -math.inf

    @classmethod
    def create(cls, limits: RateLimits, now: float) -> "Ledger":
        """Return the ledger of an account without grants or logged bounds."""
        bucket = TokenBucket(limits, limits.burst, now)
        return cls(bucket, math.inf, 0, 0, math.inf)

    @classmethod
    def inherit(
        cls,
        limits: RateLimits,
        bounds: AccountBounds,
        now: float,
        inherited_until: float,
    ) -> "Ledger":
        """Return a new owner's ledger, built from the bounds in the log."""
        level = min(bounds.floor, limits.burst)
        bucket = TokenBucket(limits, level, now)
        return cls(
            bucket, bounds.floor, bounds.ceiling, bounds.ceiling, inherited_until
        )

    @property
    def is_inheriting(self) -> bool:
        """Whether grants of a predecessor may still be valid."""
        return self._inherited > 0

    @property
    def total_outstanding(self) -> int:
        """Granted tokens that may still be spent or returned, including inherited."""
        return self._outstanding - self._adopted + self._inherited

    def adopt_limits(self, limits: RateLimits, now: float) -> None:
        """Refill the bucket and apply limits that may have changed since.

        The time of the change is unknown, so the lower rate applies to the whole
        interval.
        """
        known = self.bucket.limits
        if limits != known:
            rate = min(limits.rate, known.rate)
            self.bucket.limits = known._replace(rate=rate)
        self.advance(now)
        if limits != known:
            self.bucket.change_limits(limits, self.total_outstanding)

    def advance(self, now: float) -> None:
        """Refill the bucket and expire leases, each at its own expiry time."""
        while True:
            expiries = (h.expires_at for h in self.leases.values())
            ends_at = min(expiries, default=math.inf)
            step_to = min(ends_at, self._inherited_until, now)
            self.bucket.accrue(step_to, self.total_outstanding)
            if self._inherited_until <= step_to:
                self._expire_inherited()
            elif ends_at <= step_to:
                self._end_leases(ends_at)
            else:
                return

    def _expire_inherited(self) -> None:
        self._inherited = 0
        self._inherited_until = math.inf
        self._adopted = 0
        for lease in self.leases.values():
            lease.adopted = 0

    def _end_leases(self, ends_at: float) -> None:
        for key, lease in list(self.leases.items()):
            if lease.expires_at <= ends_at:
                self._outstanding -= lease.outstanding
                self._adopted -= lease.adopted
                del self.leases[key]

    def reconcile(
        self, lease: HolderLease, held: int, returned: int
    ) -> ReconciledLease:
        """Return the amounts that result from a holder's report of its tokens.

        Tokens granted by a predecessor may be kept but not returned: the predecessor
        may already have credited the same return.
        """
        shown = max(0, held - lease.outstanding)
        renewed = shown == 0 or self._adopted + shown <= self._inherited
        if held and self.total_outstanding > self.bucket.limits.burst:
            # The burst was lowered: earlier grants are not renewed.
            renewed = False
        if not renewed:
            held, returned, shown = lease.outstanding, 0, 0
        adopted = min(lease.adopted + shown, held)
        own_before = lease.outstanding - lease.adopted
        own_after = held - adopted
        total_outstanding = self.total_outstanding - own_before + own_after
        returned = max(0, min(returned, own_before - own_after))
        room = max(0.0, self.bucket.limits.burst - total_outstanding)
        level = min(self.bucket.level + returned, room)
        return ReconciledLease(renewed, held, adopted, level, total_outstanding)

    def grant(
        self, lease: HolderLease, reconciled: ReconciledLease, tokens: int
    ) -> None:
        """Apply reconciled amounts and grant ``tokens`` from the level."""
        self._outstanding += reconciled.held + tokens - lease.outstanding
        self._adopted += reconciled.adopted - lease.adopted
        self.bucket.level = reconciled.level - tokens
        lease.outstanding = reconciled.held + tokens
        lease.adopted = reconciled.adopted

    @property
    def is_plentiful(self) -> bool:
        """Whether the level is high enough for holders to return tokens less often."""
        return self.bucket.level > self.bucket.limits.burst * GRANT_PLENTY_SHARE

    def could_recall(self, lease: HolderLease, tokens: float) -> bool:
        """Return whether other holders last reported ``tokens`` unspent tokens."""
        others = sum(h.unspent for h in self.leases.values()) - lease.unspent
        return others >= tokens > 0

    def choose_trim(self, lease: HolderLease, now: float) -> int:
        """Return by how much a holder is to reduce the refunds of its running calls.

        Charges of running calls count as outstanding, so they would stop the refill
        of a bucket that would otherwise fill up to its burst.
        """
        if lease.running <= 0:
            return 0
        # The holder's next request may arrive after an equally long interval.
        interval_s = min(now - lease.requested_at, GRANT_TRIM_HEADROOM_S)
        headroom = self.bucket.limits.rate * interval_s
        pending = sum(h.trim for h in self.leases.values()) - lease.trim
        full = self.bucket.limits.burst + pending
        excess = self.bucket.level + self.total_outstanding + headroom - full
        if excess <= 0:
            return 0
        total = sum(h.running for h in self.leases.values())
        share = excess * lease.running / max(total, lease.running)
        return min(lease.running, math.ceil(share))

    def permits(self, reconciled: ReconciledLease, tokens: int) -> bool:
        """Return whether the logged and the proposed bounds allow a grant."""
        return tokens <= self._bounded_room(reconciled)

    def count_surplus(self, reconciled: ReconciledLease, need: int) -> float:
        """Return the tokens that may be granted in advance beyond ``need``."""
        return max(0.0, self._bounded_room(reconciled) - need)

    def _bounded_room(self, reconciled: ReconciledLease) -> float:
        above_floor = reconciled.level - self._effective_floor()
        return min(
            above_floor, self._effective_ceiling() - reconciled.total_outstanding
        )

    def _effective_floor(self) -> float:
        pending = self.bounds_pending.values()
        return max([self._floor, *(bounds.floor for bounds in pending)])

    def _effective_ceiling(self) -> int:
        pending = self.bounds_pending.values()
        return min([self._ceiling, *(bounds.ceiling for bounds in pending)])

    def choose_bounds(self, name: str, now: float) -> AccountBounds | None:
        """Return bounds to checkpoint, or None if those in the log suffice."""
        if self.bounds_pending and not self.deferred:
            return None
        burst = self.bucket.limits.burst
        block = max(1, int(burst * CHECKPOINT_BLOCK_SHARE), 2 * self.deferred)
        level = min(self.bucket.level, max(0.0, burst - self.total_outstanding))
        floor = max(0, int(level - block))
        ceiling = self.total_outstanding + block
        wanted = AccountBounds(name, floor, ceiling)
        if self.deferred or self._is_tight(floor, ceiling, block):
            return wanted
        is_loose = floor > self._floor + block or ceiling < self._ceiling - block
        is_due = now - self._bounds_set_at >= CHECKPOINT_RAISE_INTERVAL_S
        return wanted if is_loose and is_due else None

    def _is_tight(self, floor: int, ceiling: int, block: int) -> bool:
        near_floor = floor < self._floor and self.bucket.level - self._floor < block / 2
        near_ceiling = self._ceiling - self.total_outstanding < block / 2
        return near_floor or near_ceiling

    def is_idle(self, now: float) -> bool:
        """Return whether the account is full and idle, so it may leave the log."""
        if self.bounds_pending or now - self.touched_at < ACCOUNT_IDLE_S:
            return False
        self.advance(now)
        if self.leases:
            return False
        return (
            self.total_outstanding == 0
            and self.bucket.level >= self.bucket.limits.burst
        )

    def propose_bounds(self, number: int, bounds: AccountBounds, now: float) -> None:
        """Apply proposed bounds in addition to the committed and earlier ones.

        The proposal may or may not be committed, so the strictest bounds apply.
        """
        if bounds.floor == AccountBounds.UNTOUCHED:
            bounds = bounds._replace(floor=self.bucket.limits.burst)
        self.bounds_pending[number] = bounds
        self._bounds_set_at = now
        if len(self.bounds_pending) > _PENDING_LIMIT:
            self._merge_oldest_pending()

    def _merge_oldest_pending(self) -> None:
        """Merge two proposals to limit memory if their outcome remains unknown.

        The older proposal is decided no later than the newer one.
        """
        older, newer = sorted(self.bounds_pending)[:2]
        bounds = self.bounds_pending.pop(older)
        kept = self.bounds_pending[newer]
        self.bounds_pending[newer] = kept._replace(
            floor=max(kept.floor, bounds.floor),
            ceiling=min(kept.ceiling, bounds.ceiling),
        )

    def commit_bounds(self, number: int, bounds: AccountBounds) -> None:
        """Replace the committed bounds.

        Proposals with a lower number can no longer be accepted.
        """
        untouched = bounds.floor == AccountBounds.UNTOUCHED
        self._floor = math.inf if untouched else bounds.floor
        self._ceiling = bounds.ceiling
        self.deferred = 0
        for settled in [n for n in self.bounds_pending if n <= number]:
            del self.bounds_pending[settled]
