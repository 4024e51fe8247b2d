"""The holder of rate grants: what an entry may spend without asking.

A holder charges a call's maximum cost in advance from the tokens it holds, asks
the owner ahead of need, and refuses a call only after the owner was asked for it.
It never spends after its lease, which runs from when its request was first sent.
"""

from typing import NamedTuple

from ..messages.control import GrantAnswer, GrantRequest
from .balances import Charged, LeasedBalance, Refused

__all__ = ["SendRequest", "Charged", "GrantHolder", "Refused"]


class SendRequest(NamedTuple):
    """Send a request to the owner and pass the answer to :meth:`handle_answer`."""

    request: GrantRequest


Action = SendRequest | Charged | Refused


class GrantHolder:
    """All accounts that one life of an entry holds grants of.

    Args:
        holder: The entry's node name.
        incarnation: Its process life.
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
        """Charge a call, or let it wait for an answer of the owner.

        Args:
            account: The account's name.
            charge_id: Identifies the charge; unique within this life.
            tokens: The largest cost of the call.
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
        """End a charge; what the call did not spend may be spent by others.

        Also withdraws a call that still waits.
        """
        balance = self._balances.get(account)
        if balance is None:
            return []
        balance.end_call(charge_id, spent)
        return self.poll(account, now)

    def handle_answer(self, answer: GrantAnswer, now: float) -> list[Action]:
        """Take an answer of the owner; a stale one changes nothing."""
        balance = self._balances.get(answer.account)
        if balance is None:
            return []
        balance.apply_answer(answer, now)
        return self.poll(answer.account, now)

    def handle_failure(self, account: str, now: float) -> list[Action]:
        """Note that a request of the account was not answered."""
        balance = self._balances.get(account)
        if balance is None:
            return []
        balance.schedule_resend(now)
        return self.poll(account, now)

    def poll(self, account: str, now: float) -> list[Action]:
        """Return what is due for an account."""
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
        """Return all tokens that no running call needs; from now on hold none."""
        self._draining = True
        return self.poll(account, now)

    def next_wakeup(self, account: str, now: float) -> float | None:
        """Return when :meth:`poll` is next needed; None if there is no need."""
        balance = self._balances.get(account)
        return None if balance is None else balance.next_wakeup(now, self._draining)

    def is_drained(self) -> bool:
        """Return whether nothing is held, waits or is being returned."""
        return all(balance.is_settled for balance in self._balances.values())

    def accounts(self) -> list[str]:
        """Return the names of all accounts with tokens, calls or requests."""
        return list(self._balances)

    def held(self, account: str) -> int:
        """Return the tokens held of an account, running charges included."""
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
