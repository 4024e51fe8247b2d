"""Rules and budget for retries of failed calls."""

from typing import NamedTuple

from .. import defaults
from ..settings import BoundSettings

__all__ = [
    "BEGAN",
    "MAY_HAVE_BEGUN",
    "NOT_BEGUN",
    "Attempt",
    "EntryRetryBudget",
    "RetryAllowance",
    "RetryBudget",
    "divide_retries",
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


class RetryAllowance(NamedTuple):
    """One entry's part of the retries that a fleet may send to a service.

    Attributes:
        share: Retries that each request adds.
        per_s: Retries a second beyond those.
        stock: Number of retries that may be kept for later.
    """

    share: float
    per_s: float
    stock: float


def divide_retries(bounds: BoundSettings, entries: int) -> RetryAllowance:
    """Return the part of one of ``entries`` entries; 0 if their number is unknown."""
    share = bounds.retry_share * defaults.RETRY_SHARE_PART
    if entries < 1:
        return RetryAllowance(share, 0.0, 1.0)
    slack = bounds.retry_slack / entries
    return RetryAllowance(
        share,
        slack * defaults.RETRY_GROWTH_PART / bounds.retry_window_s,
        max(slack * defaults.RETRY_STOCK_PART, 1.0),
    )


class EntryRetryBudget:
    """One entry's retries for a service, earned by requests and by time.

    It starts empty: a former life of the entry may have spent its part just before.
    In any window all entries together then stay within the bound, whichever of them
    start again.

    Args:
        now: When the budget is made, in seconds.
        is_first: Whether there was no former life, so that the budget starts full.
    """

    def __init__(self, now: float, *, is_first: bool = False) -> None:
        self._level = 0.0
        self._at = now
        self._is_unfilled = is_first

    def deposit(self, allowance: RetryAllowance, now: float) -> None:
        """Add the share of a request's first attempt."""
        self._earn(allowance, now)
        self._level = min(self._level + allowance.share, allowance.stock)

    def withdraw(self, allowance: RetryAllowance, now: float) -> bool:
        """Take one retry; return False if there is none."""
        self._earn(allowance, now)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def _earn(self, allowance: RetryAllowance, now: float) -> None:
        earned = allowance.per_s * (now - self._at)
        if self._is_unfilled and allowance.per_s:
            self._is_unfilled = False
            earned = allowance.stock
        self._at = now
        self._level = min(self._level + earned, allowance.stock)


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
