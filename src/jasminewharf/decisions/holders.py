"""The holder of rate grants: tokens that an entry spends without a round trip.

A holder charges a call's maximum cost in advance from its granted tokens, requests
further tokens ahead of demand, and refuses a call only after a request to the owner
that covered it. It spends no tokens after its lease has expired. The lease starts
when the request was first sent.
"""

from typing import NamedTuple

from ..messages.control import GrantAnswer, GrantRequest
from .balances import Charged, LeasedBalance, Refused

__all__ = ["SendRequest", "Charged", "GrantHolder", "Refused"]


class SendRequest(NamedTuple):
    """Send the request to the owner and pass its answer to ``handle_answer``."""

    request: GrantRequest


Action = SendRequest | Charged | Refused


class GrantHolder:
    """Grants held by one incarnation of an entry, for all accounts.

    Args:
        holder: The entry's node name.
        incarnation: The incarnation of its process.
    """

    def __init__(self, holder: str, incarnation: int) -> None:
        self._holder = holder
        self._incarnation = incarnation
        self._sequence = 0
        self._balances: dict[str, LeasedBalance] = {}
        self._draining = False

    def charge(
        self, account: str, charge_id: str, tokens: int, deadline: float, now: float
    ) -> list[Action]:
        """Charge a call, or enqueue it until the owner answers.

        Args:
            account: The account's name.
            charge_id: Identifies the charge; unique within this incarnation.
            tokens: The maximum cost of the call.
            deadline: Monotonic seconds after which the call is refused.
            now: Monotonic seconds.
        """
        balance = self._balances.get(account)
        if balance is None:
            balance = self._balances[account] = LeasedBalance(account, now)
        balance.add_call(charge_id, tokens, deadline, now)
        return self.poll(account, now)

    def refund(
        self, account: str, charge_id: str, spent: int, now: float
    ) -> list[Action]:
        """End a charge and make the tokens that the call did not spend available.

        A call that is still waiting is removed.
        """
        balance = self._balances.get(account)
        if balance is None:
            return []
        balance.end_call(charge_id, spent)
        return self.poll(account, now)

    def handle_answer(self, answer: GrantAnswer, now: float) -> list[Action]:
        """Apply an answer of the owner; a stale answer changes nothing."""
        balance = self._balances.get(answer.account)
        if balance is None:
            return []
        balance.apply_answer(answer, now)
        return self.poll(answer.account, now)

    def handle_failure(self, account: str, now: float) -> list[Action]:
        """Schedule a resend after a request of the account was not answered."""
        balance = self._balances.get(account)
        if balance is None:
            return []
        balance.schedule_resend(now)
        return self.poll(account, now)

    def poll(self, account: str, now: float) -> list[Action]:
        """Return the actions that are due for an account."""
        balance = self._balances.get(account)
        if balance is None:
            return []
        actions: list[Action] = list(balance.process_calls(now))
        request = balance.take_due_request(now, self._draining, self._make_request)
        if request is not None:
            actions.append(SendRequest(request))
        if balance.is_empty(now):
            del self._balances[account]
        return actions

    def drain(self, account: str, now: float) -> list[Action]:
        """Return all unspent tokens and stop holding tokens in advance."""
        self._draining = True
        return self.poll(account, now)

    def next_wakeup(self, account: str, now: float) -> float | None:
        """Return when to call :meth:`poll` next; None if no call is needed."""
        balance = self._balances.get(account)
        return None if balance is None else balance.next_wakeup(now, self._draining)

    def is_drained(self) -> bool:
        """Return whether no account has held tokens, waiting calls or requests."""
        return all(balance.is_settled for balance in self._balances.values())

    def accounts(self) -> list[str]:
        """Return the names of all accounts with tokens, calls or requests."""
        return list(self._balances)

    def held(self, account: str) -> int:
        """Return the tokens held of an account, including running charges."""
        balance = self._balances.get(account)
        return 0 if balance is None else balance.held

    def _make_request(self, **fields: int | str) -> GrantRequest:
        self._sequence += 1
        return GrantRequest(
            holder=self._holder,
            incarnation=self._incarnation,
            sequence=self._sequence,
            **fields,
        )
