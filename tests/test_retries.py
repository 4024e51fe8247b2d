"""Retries never repeat an unsafe call and stay within the budget."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jasminewharf.decisions.retries import (
    BEGAN,
    MAY_HAVE_BEGUN,
    NOT_BEGUN,
    Attempt,
    RetryBudget,
    may_retry,
)

_attempts = st.builds(
    Attempt,
    st.sampled_from([BEGAN, MAY_HAVE_BEGUN, NOT_BEGUN, "other"]),
    st.booleans(),
    st.integers(0, 3),
    st.integers(1, 5),
    st.floats(-1, 10),
)


def find_unsafe_retry(decide, attempt):
    """Return why a permitted retry is unsafe, or None."""
    if not decide(attempt):
        return None
    if attempt.answer_bytes:
        return "the caller has received part of the answer"
    if not attempt.idempotent and attempt.progress != NOT_BEGUN:
        return "a non-idempotent call may have started"
    return None


@given(_attempts)
def test_no_unsafe_retry(attempt):
    def decide(item):
        return may_retry(item, RetryBudget(floor=10))

    assert find_unsafe_retry(decide, attempt) is None


def test_unsafe_retry_check_rejects_a_rule_that_only_counts_attempts():
    attempt = Attempt(MAY_HAVE_BEGUN, False, 0, 1, 5.0)
    assert find_unsafe_retry(lambda item: item.number < 3, attempt) is not None


@pytest.mark.parametrize(
    "attempt",
    [Attempt(NOT_BEGUN, False, 0, 1, 5.0), Attempt(MAY_HAVE_BEGUN, True, 0, 1, 5.0)],
)
def test_safe_retries_are_permitted(attempt):
    assert may_retry(attempt, RetryBudget())


@pytest.mark.parametrize("number, left_s", [(3, 5.0), (1, 0.0)])
def test_attempts_and_deadline_end_retries(number, left_s):
    assert not may_retry(Attempt(NOT_BEGUN, True, 0, number, left_s), RetryBudget())


@given(st.integers(0, 2**32), st.integers(0, 500))
def test_retries_stay_within_the_share(seed, requests):
    source = random.Random(seed)
    budget = RetryBudget(share=0.2, floor=3, cap=50)
    retries = 0
    for _ in range(requests):
        budget.deposit()
        while source.random() < 0.7 and budget.withdraw():
            retries += 1
    assert retries <= 3 + 0.2 * requests + 1e-6
