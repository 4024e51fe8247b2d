"""The owner of rate accounts: token buckets, leased grants and checkpoints.

For every account, the sum of the level, the outstanding grants and the grants of a
predecessor that may still be valid never exceeds the burst, and only the refill
increases that sum. The tokens spent in any window are therefore at most
burst + rate x window.

The log holds two bounds per account: a floor of the level and a ceiling of the
outstanding grants. The owner stays within the stricter of the committed bounds and
the proposed ones that may still be committed. A successor starts with the floor as
its level, since those tokens were never granted, and counts the ceiling as
outstanding until all leases of its predecessor have expired.
"""

import math
from collections.abc import Callable, Iterable

from ..defaults import (
    CLOCK_DRIFT_BOUND,
    GRANT_ADVANCE_SHARE,
    GRANT_LEASE_MARGIN_S,
    GRANT_LEASE_S,
    GRANT_SCARCE_S,
    OWNER_LEASE_S,
    OWNER_RETRY_MS,
)
from ..messages.accounts import AccountBounds
from ..messages.control import GrantAnswer, GrantRequest
from .buckets import RateLimits
from .ledgers import HolderLease, Ledger

__all__ = ["GrantAllocator", "add_drift_margin", "build_starting_answer"]

_NEVER_MS = -1
_MS = 1000


def add_drift_margin(lease_s: float) -> float:
    """Return a local duration that exceeds ``lease_s`` on any other host's clock."""
    drift = (1 + CLOCK_DRIFT_BOUND) / (1 - CLOCK_DRIFT_BOUND)
    return lease_s * drift + GRANT_LEASE_MARGIN_S


class GrantAllocator:
    """Grants from all accounts during one term of ownership.

    Args:
        bounds: Bounds found in the log; an account without bounds is full.
        has_predecessor: Whether grants of an earlier owner may still be valid.
        now: Monotonic seconds, read after the ownership was committed.
    """

    def __init__(
        self, bounds: Iterable[AccountBounds], *, has_predecessor: bool, now: float
    ) -> None:
        self._ledgers: dict[str, Ledger] = {}
        self._inherited_bounds = {entry.account: entry for entry in bounds}
        self._touched: set[str] = set()
        self._grants_until = -math.inf
        self._next_number = 1
        self.opens_at = (
            now + add_drift_margin(OWNER_LEASE_S) if has_predecessor else now
        )
        self.inherited_until = self.opens_at + add_drift_margin(GRANT_LEASE_S)

    def extend(self, confirmed_at: float) -> None:
        """Extend the ownership by a quorum read started at ``confirmed_at``."""
        until = confirmed_at + OWNER_LEASE_S
        self._grants_until = max(self._grants_until, until)

    def may_grant(self, now: float) -> bool:
        """Return whether this is the only owner that can grant at ``now``."""
        return self.opens_at <= now < self._grants_until

    def answer(
        self, request: GrantRequest, limits: RateLimits | None, now: float
    ) -> GrantAnswer | None:
        """Answer a holder's request.

        Args:
            request: The holder's request.
            limits: The account's limits in force; None if there is no such account.
            now: Monotonic seconds.

        Returns:
            The answer, or None if a checkpoint must be committed first. In that case
            the request has changed nothing and must be passed in again.
        """
        if limits is None:
            return _build_empty_answer(request, "unknown_account", _NEVER_MS)
        if not self.may_grant(now):
            return build_starting_answer(request)
        ledger = self._open_ledger(request.account, limits, now)
        lease = ledger.leases.get((request.holder, request.incarnation))
        if lease is not None and request.sequence <= lease.sequence:
            return _repeat_answer(request, lease)
        return _process_request(ledger, lease or HolderLease(), request, now)

    def _open_ledger(self, name: str, limits: RateLimits, now: float) -> Ledger:
        refill = _reduce_for_drift(limits)
        ledger = self._ledgers.get(name)
        if ledger is None:
            ledger = self._create_ledger(name, refill)
            self._ledgers[name] = ledger
        ledger.adopt_limits(refill, now)
        ledger.touched_at = now
        self._touched.add(name)
        return ledger

    def _create_ledger(self, name: str, limits: RateLimits) -> Ledger:
        bounds = self._inherited_bounds.pop(name, None)
        if bounds is None:
            return Ledger.create(limits, self.opens_at)
        return Ledger.inherit(limits, bounds, self.opens_at, self.inherited_until)

    def refresh_limits(
        self, limits: Callable[[str], RateLimits | None], now: float
    ) -> None:
        """Apply changed limits to all accounts, including those without requests."""
        for name, ledger in self._ledgers.items():
            found = limits(name)
            if found is not None:
                ledger.adopt_limits(_reduce_for_drift(found), now)

    def list_due_bounds(self, now: float) -> list[AccountBounds]:
        """Return the bounds to checkpoint of accounts used since the last call."""
        wanted = []
        for name in self._touched:
            bounds = self._ledgers[name].choose_bounds(name, now)
            if bounds is not None:
                wanted.append(bounds)
        self._touched.clear()
        return wanted

    def list_idle_removals(self, now: float) -> list[AccountBounds]:
        """Return bounds that remove full, idle accounts from the log."""
        removals = []
        for name, ledger in self._ledgers.items():
            if ledger.is_idle(now):
                removals.append(AccountBounds(name, AccountBounds.UNTOUCHED, 0))
        return removals

    def begin_checkpoint(self, entries: Iterable[AccountBounds], now: float) -> int:
        """Register proposed bounds and return the checkpoint's number.

        Until a checkpoint of this or a later number is committed, the proposed
        bounds apply in addition to the committed ones.
        """
        number = self._next_number
        self._next_number += 1
        for entry in entries:
            self._ledgers[entry.account].propose_bounds(number, entry, now)
        return number

    def end_checkpoint(self, entries: Iterable[AccountBounds], number: int) -> None:
        """Apply the bounds of checkpoint ``number``, which was accepted."""
        for entry in entries:
            ledger = self._ledgers[entry.account]
            ledger.commit_bounds(number, entry)
            removed = entry.floor == AccountBounds.UNTOUCHED
            if removed and not ledger.bounds_pending:
                del self._ledgers[entry.account]
                self._touched.discard(entry.account)

    def list_over_rate(self, now: float, within_s: float) -> list[tuple[str, int]]:
        """Return accounts that lacked tokens within the last ``within_s``.

        Each item is the account's name and its level in tokens.
        """
        since = now - within_s + GRANT_SCARCE_S
        return [
            (name, int(ledger.bucket.level))
            for name, ledger in sorted(self._ledgers.items())
            if ledger.scarce_until > since
        ]

    def find_ledger(self, name: str) -> Ledger | None:
        """Return an account's ledger, for inspection."""
        return self._ledgers.get(name)


def _reduce_for_drift(limits: RateLimits) -> RateLimits:
    """Return limits that a clock running fast does not exceed in real time."""
    return limits._replace(rate=limits.rate * (1 - CLOCK_DRIFT_BOUND))


def _process_request(
    ledger: Ledger, lease: HolderLease, request: GrantRequest, now: float
) -> GrantAnswer | None:
    reconciled = ledger.reconcile(lease, request.held, request.returned)
    need = _choose_needed_grant(request, reconciled.level)
    if need and not ledger.permits(reconciled, need):
        ledger.deferred = max(ledger.deferred, need)
        return None
    if need < request.needed:
        ledger.scarce_until = now + GRANT_SCARCE_S
    scarce = now < ledger.scarce_until
    granted = need
    if not scarce:
        surplus = ledger.count_surplus(reconciled, need)
        granted += min(request.wanted, int(surplus * GRANT_ADVANCE_SHARE))
    recalled = need < request.needed and ledger.could_recall(
        lease, request.least - reconciled.level
    )
    ledger.grant(lease, reconciled, granted)
    lease.unspent = request.unspent + granted - need
    lease.running = max(0, reconciled.held - request.unspent)
    lease.trim = ledger.choose_trim(lease, now)
    lease.requested_at = now
    lease.sequence = request.sequence
    lease.expires_at = now + add_drift_margin(GRANT_LEASE_S)
    lease.answer = GrantAnswer(
        account=request.account,
        sequence=request.sequence,
        state="handover" if ledger.is_inheriting else "granted",
        granted=granted,
        renewed=reconciled.renewed,
        scarce=scarce,
        recalled=recalled,
        plenty=ledger.is_plentiful,
        trim=lease.trim,
        lease_ms=int(GRANT_LEASE_S * _MS),
        retry_after_ms=_estimate_retry(ledger, request, need),
    )
    ledger.leases[(request.holder, request.incarnation)] = lease
    return lease.answer


def _choose_needed_grant(request: GrantRequest, level: float) -> int:
    if request.needed <= level:
        return request.needed
    return int(level) if request.least <= level else 0


def _estimate_retry(ledger: Ledger, request: GrantRequest, granted: int) -> int:
    if granted >= request.needed:
        return 0
    wait_s = ledger.bucket.seconds_until(request.least)
    return _NEVER_MS if math.isinf(wait_s) else math.ceil(wait_s * _MS)


def build_starting_answer(request: GrantRequest) -> GrantAnswer:
    """Return the answer of an owner that cannot grant tokens yet."""
    return _build_empty_answer(request, "starting", OWNER_RETRY_MS)


def _build_empty_answer(
    request: GrantRequest, state: str, retry_ms: int
) -> GrantAnswer:
    return GrantAnswer(
        account=request.account,
        sequence=request.sequence,
        state=state,
        granted=0,
        renewed=False,
        scarce=False,
        recalled=False,
        plenty=False,
        trim=0,
        lease_ms=0,
        retry_after_ms=retry_ms,
    )


def _repeat_answer(request: GrantRequest, lease: HolderLease) -> GrantAnswer:
    if request.sequence == lease.sequence and lease.answer is not None:
        return lease.answer
    return _build_empty_answer(request, "stale", _NEVER_MS)
