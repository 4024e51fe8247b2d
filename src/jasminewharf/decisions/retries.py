"""Rules and budget for retries of failed calls."""

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
        progress: ``NOT_BEGUN`` only if no backend server can have started the call:
            nothing was sent, or the agent answered ``not_run``.
        idempotent: Whether the call may run twice.
        answer_bytes: Bytes of the answer already sent to the caller.
        number: Attempts made so far, counted from 1.
        left_s: Seconds until the deadline.
    """

    progress: str
    idempotent: bool
    answer_bytes: int
    number: int
    left_s: float


class RetryBudget:
    """Limits retries to a share of requests.

    Each request adds ``share`` to the budget and each retry takes one. The budget
    starts at ``floor`` so that an entry with few requests can retry, and is limited to
    ``cap`` so that a long period without retries does not permit a retry storm.
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
        """Add the share of a request's first attempt."""
        self._level = min(self._cap, self._level + self._share)

    def withdraw(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        if self._level < 1:
            return False
        self._level -= 1
        return True


def may_retry(
    attempt: Attempt,
    budget: RetryBudget,
    attempts: int = defaults.RETRY_ATTEMPTS,
) -> bool:
    """Return whether to retry the call; take from the budget if so.

    A call is safe to repeat if the caller has received no part of an answer and the
    call has not started or is idempotent. Any progress other than ``NOT_BEGUN`` counts
    as started.
    """
    if attempt.answer_bytes > 0:
        return False
    if attempt.progress != NOT_BEGUN and not attempt.idempotent:
        return False
    if attempt.number >= attempts or attempt.left_s <= 0:
        return False
    return budget.withdraw()
