"""A grant holder's leased balance of one rate account."""

import math
from collections.abc import Callable, Iterator
from typing import NamedTuple

from ..defaults import (
    DEMAND_TIME_CONSTANT_S,
    GRANT_ADVANCE_CALLS,
    GRANT_ASK_INTERVAL_S,
    GRANT_CALM_CHECK_INTERVAL_S,
    GRANT_CHECK_INTERVAL_S,
    GRANT_HORIZON_S,
    GRANT_IDLE_S,
    GRANT_LEASE_S,
    GRANT_LOW_WATER_S,
    GRANT_RECALL_INTERVAL_S,
    GRANT_RECALL_WAIT_S,
    GRANT_RENEW_SHARE,
    GRANT_RESEND_S,
    GRANT_RETRY_S,
    GRANT_SCARCE_S,
    OWNER_WAIT_S,
)
from ..messages.control import GrantAnswer, GrantRequest
from .buckets import DemandMeter

__all__ = ["Charged", "LeasedBalance", "Refused"]

_MS = 1000
_RETRY_OWNER_MS = 1000
_MEAN_COST_WEIGHT = 0.1


class Charged(NamedTuple):
    """The call's tokens have been charged and it may run."""

    charge_id: str


class Refused(NamedTuple):
    """The call is refused; ``reason`` is ``rate``, ``owner`` or ``account``.

    ``retry_after_ms`` is None if the call can never be admitted.
    """

    charge_id: str
    reason: str
    retry_after_ms: int | None


class _Charge(NamedTuple):
    """Tokens charged for a running call and the part that may be refunded."""

    tokens: int
    refundable: int


class _Call:
    """A call waiting for tokens.

    ``requested_by`` is the sequence number of the latest grant request that covers
    the call, or -1 if it is to be covered by the next one.
    """

    __slots__ = ("charge_id", "give_up_at", "recall_until", "requested_by", "tokens")

    def __init__(
        self, charge_id: str, tokens: int, give_up_at: float, recall_until: float
    ) -> None:
        self.charge_id = charge_id
        self.tokens = tokens
        self.give_up_at = give_up_at
        self.requested_by = -1
        self.recall_until = recall_until


class LeasedBalance:
    """Tokens, running charges and waiting calls of one account at a holder.

    Args:
        account: The account's name.
        now: Monotonic seconds.
    """

    def __init__(self, account: str, now: float) -> None:
        self._account = account
        self._unspent = 0
        self._charges: dict[str, _Charge] = {}
        self._charged = 0
        self._lease_from = -math.inf
        self._calls: dict[str, _Call] = {}
        self._demand = DemandMeter(DEMAND_TIME_CONSTANT_S)
        self._mean_cost = 0.0
        self._used_at = now
        self._pending: GrantRequest | None = None
        self._pending_since = -math.inf
        self._resend_at = math.inf
        self._requested_at = -math.inf
        self._advance_at = -math.inf
        self._scarce_until = -math.inf
        self._retry_at = -math.inf
        self._check_s = GRANT_CHECK_INTERVAL_S
        self._refusals: list[Refused] = []

    @property
    def held(self) -> int:
        """Number of unspent tokens plus refundable charges of running calls."""
        return self._unspent + self._charged

    def add_call(
        self, charge_id: str, tokens: int, deadline: float, now: float
    ) -> None:
        """Enqueue a call; :meth:`process_calls` charges it if tokens suffice."""
        self._used_at = now
        self._demand.add(tokens, now)
        if self._mean_cost == 0.0:
            self._mean_cost = float(tokens)
        self._mean_cost += (tokens - self._mean_cost) * _MEAN_COST_WEIGHT
        give_up_at = min(deadline, now + OWNER_WAIT_S)
        recall_until = now + GRANT_RECALL_WAIT_S
        self._calls[charge_id] = _Call(charge_id, tokens, give_up_at, recall_until)

    def end_call(self, charge_id: str, spent: int) -> None:
        """End a running call's charge or remove a waiting call."""
        self._calls.pop(charge_id, None)
        charge = self._charges.pop(charge_id, None)
        if charge is not None:
            self._charged -= charge.refundable
            self._unspent += max(0, min(charge.tokens - spent, charge.refundable))

    def process_calls(self, now: float) -> Iterator[Charged | Refused]:
        """Charge the calls that fit and refuse those that have waited too long."""
        self._end_lease(now)
        refusals, self._refusals = self._refusals, []
        yield from refusals
        may_spend = now < self._lease_from + GRANT_LEASE_S
        for call in list(self._calls.values()):
            if may_spend and call.tokens <= self._unspent:
                del self._calls[call.charge_id]
                self._unspent -= call.tokens
                self._charges[call.charge_id] = _Charge(call.tokens, call.tokens)
                self._charged += call.tokens
                yield Charged(call.charge_id)
            elif now >= call.give_up_at:
                del self._calls[call.charge_id]
                yield Refused(call.charge_id, "owner", _RETRY_OWNER_MS)

    def _end_lease(self, now: float) -> None:
        if now < self._lease_from + GRANT_LEASE_S:
            return
        if self._pending is not None:
            if now < self._pending_since + GRANT_LEASE_S:
                # The answer may renew the lease; nothing is spent until then.
                return
            self._pending = None
            for call in self._calls.values():
                call.requested_by = -1
        self._drop_holdings()

    def _trim_charges(self, tokens: int) -> None:
        """Reduce the refundable part of running calls, oldest first."""
        for charge_id, charge in self._charges.items():
            if tokens <= 0:
                return
            cut = min(tokens, charge.refundable)
            tokens -= cut
            self._charged -= cut
            self._charges[charge_id] = charge._replace(
                refundable=charge.refundable - cut
            )

    def _drop_holdings(self) -> None:
        self._unspent = 0
        self._charges.clear()
        self._charged = 0

    def apply_answer(self, answer: GrantAnswer, now: float) -> None:
        """Apply the owner's answer to the pending request; ignore a stale answer."""
        pending = self._pending
        if pending is None or answer.sequence != pending.sequence:
            return
        if answer.state == "starting":
            self._resend_at = now + answer.retry_after_ms / _MS
            return
        self._pending = None
        if now >= self._pending_since + GRANT_LEASE_S:
            self._drop_holdings()
            return
        if answer.state in ("granted", "handover"):
            self._lease_from = self._pending_since
            if not answer.renewed:
                self._drop_holdings()
            self._unspent += answer.granted
            self._trim_charges(answer.trim)
        self._check_s = (
            GRANT_CALM_CHECK_INTERVAL_S if answer.plenty else GRANT_CHECK_INTERVAL_S
        )
        if answer.scarce:
            self._scarce_until = now + GRANT_SCARCE_S
        self._advance_at = now + GRANT_LOW_WATER_S / 2
        self._refuse_uncovered_calls(answer, now)

    def _refuse_uncovered_calls(self, answer: GrantAnswer, now: float) -> None:
        """Refuse the calls that were part of the request and exceed the grant."""
        left = self._unspent
        for call in list(self._calls.values()):
            if call.tokens <= left:
                left -= call.tokens
            elif call.requested_by == answer.sequence:
                self._refuse_or_keep(call, answer, now)

    def _refuse_or_keep(self, call: _Call, answer: GrantAnswer, now: float) -> None:
        is_limited = answer.state == "handover" and answer.retry_after_ms >= 0
        if is_limited or (answer.recalled and now < call.recall_until):
            self._retry_at = now + GRANT_RECALL_INTERVAL_S
            call.requested_by = -1
            return
        wait_ms = answer.retry_after_ms
        del self._calls[call.charge_id]
        reason = "account" if answer.state == "unknown_account" else "rate"
        retry_after_ms = None if wait_ms < 0 else max(1, wait_ms)
        self._refusals.append(Refused(call.charge_id, reason, retry_after_ms))

    def schedule_resend(self, now: float) -> None:
        """Bring the resend of the pending request forward after a failure."""
        self._resend_at = min(self._resend_at, now + GRANT_RETRY_S)

    def take_due_request(
        self, now: float, draining: bool, make_request: Callable[..., GrantRequest]
    ) -> GrantRequest | None:
        """Return the request that is due for sending or resending, if any."""
        if self._pending is not None:
            return self._resend(now)
        if now < self._next_request_at(now, draining):
            return None
        self._pending = self._build_request(now, draining, make_request)
        self._pending_since = now
        self._requested_at = now
        self._resend_at = now + GRANT_RESEND_S
        return self._pending

    def _resend(self, now: float) -> GrantRequest | None:
        if now < self._resend_at:
            return None
        self._resend_at = now + GRANT_RESEND_S
        return self._pending

    def _build_request(
        self, now: float, draining: bool, make_request: Callable[..., GrantRequest]
    ) -> GrantRequest:
        returned = self._count_surplus(now, draining)
        self._unspent -= returned
        lacking = [max(0, c.tokens - self._unspent) for c in self._calls.values()]
        target = int(self._compute_target(now, draining))
        wanted = 0 if returned else max(0, target - self._unspent)
        waiting = sum(call.tokens for call in self._calls.values())
        request = make_request(
            account=self._account,
            held=self.held,
            unspent=self._unspent,
            returned=returned,
            needed=max(0, waiting - self._unspent),
            least=min(lacking, default=0),
            wanted=wanted,
        )
        for call in self._calls.values():
            call.requested_by = request.sequence
        return request

    def _compute_target(self, now: float, draining: bool) -> float:
        """Return the number of tokens to hold ahead of demand."""
        if draining or now < self._scarce_until or now >= self._used_at + GRANT_IDLE_S:
            return 0.0
        target = self._demand.rate(now) * GRANT_HORIZON_S
        return target if target >= GRANT_ADVANCE_CALLS * self._mean_cost else 0.0

    def _count_surplus(self, now: float, draining: bool) -> int:
        if self._calls:
            return 0
        keep = 2 * self._compute_target(now, draining)
        return max(0, self._unspent - int(keep))

    def _next_request_at(self, now: float, draining: bool) -> float:
        """Return when the next request is due in the current state."""
        times = [math.inf]
        if any(call.requested_by < 0 for call in self._calls.values()):
            times.append(max(self._retry_at, self._requested_at + GRANT_ASK_INTERVAL_S))
        if self._count_surplus(now, draining):
            is_scarce = now < self._scarce_until
            interval_s = GRANT_RECALL_INTERVAL_S if is_scarce else self._check_s
            times.append(self._requested_at + interval_s)
        if self._unspent:
            times.append(self._requested_at + self._check_s)
        if self.held:
            times.append(self._lease_from + GRANT_LEASE_S * GRANT_RENEW_SHARE)
        low = self._demand.rate(now) * GRANT_LOW_WATER_S
        if self._unspent < min(low, self._compute_target(now, draining)):
            times.append(
                max(self._advance_at, self._requested_at + GRANT_ASK_INTERVAL_S)
            )
        return min(times)

    def next_wakeup(self, now: float, draining: bool) -> float:
        """Return when :meth:`process_calls` or a request is next due."""
        if self._refusals:
            return now
        times = [call.give_up_at for call in self._calls.values()]
        if self._pending is not None:
            times.append(self._resend_at)
            times.append(self._pending_since + GRANT_LEASE_S)
        else:
            times.append(self._next_request_at(now, draining))
            if self.held:
                times.append(self._lease_from + GRANT_LEASE_S)
        if self._unspent or min(times) == math.inf:
            # Demand decays without events, so the surplus is checked periodically.
            times.append(max(self._used_at + GRANT_IDLE_S, now + GRANT_IDLE_S / 4))
        return min(times)

    def is_empty(self, now: float) -> bool:
        """Return whether the balance is settled and idle, so it can be removed."""
        return self.is_settled and now >= self._used_at + GRANT_IDLE_S

    @property
    def is_settled(self) -> bool:
        """Whether no token is held or being returned and no call is waiting."""
        if self._pending is not None or self._refusals:
            return False
        return not self.held and not self._calls
