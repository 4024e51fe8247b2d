"""What may be tried again, and how often."""

from typing import NamedTuple

from .. import defaults

__all__ = [
    "BEGAN",
    "MAY_HAVE_BEGUN",
    "NOT_BEGUN",
    "Attempt",
    "RetryBudget",
    "may_retry",
]

NOT_BEGUN = "not_begun"
MAY_HAVE_BEGUN = "may_have_begun"
BEGAN = "began"


class Attempt(NamedTuple):
    """A failed attempt at a call.

    Attributes:
        progress: ``NOT_BEGUN`` only if no backend server can have begun the call:
            nothing was sent, or the agent answered ``not_run``.
        idempotent: Whether the call may run twice.
        answer_bytes: Bytes of the answer that the caller was already sent.
        number: Attempts made so far, counted from 1.
        left_s: Seconds until the deadline.
    """

    progress: str
    idempotent: bool
    answer_bytes: int
    number: int
    left_s: float


class RetryBudget:
    """Retries as a share of requests.

    Each request deposits ``share``, each retry withdraws one. The budget starts
    with ``floor`` so that a quiet entry can retry at all, and holds at most
    ``cap`` so that a quiet hour does not pay for a storm.
    """

    def __init__(
        self,
        share: float = defaults.RETRY_BUDGET_SHARE,
        floor: float = defaults.RETRY_BUDGET_FLOOR,
        cap: float = defaults.RETRY_BUDGET_CAP,
    ) -> None:
        self._share = share
        self._cap = cap
        self._level = floor

    def deposit(self) -> None:
        """Count a request's first attempt."""
        self._level = min(self._cap, self._level + self._share)

    def withdraw(self) -> bool:
        """Take one retry; return False if the budget is spent."""
        if self._level < 1:
            return False
        self._level -= 1
        return True


def may_retry(
    attempt: Attempt,
    budget: RetryBudget,
    attempts: int = defaults.RETRY_ATTEMPTS,
) -> bool:
    """Decide whether the call is tried again; takes from the budget if so.

    A call is safe to repeat if it did not begin, or if it is idempotent and the
    caller has been sent nothing of the first answer. Anything but ``NOT_BEGUN``
    counts as begun.
    """
    if attempt.answer_bytes > 0:
        return False
    if attempt.progress != NOT_BEGUN and not attempt.idempotent:
        return False
    if attempt.number >= attempts or attempt.left_s <= 0:
        return False
    return budget.withdraw()
