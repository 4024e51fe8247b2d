"""Retries never repeat an unsafe call and stay within the budget."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jasminewharf.decisions.presence import Presence, RecentPeak
from jasminewharf.decisions.retries import (
    BEGAN,
    MAY_HAVE_BEGUN,
    NOT_BEGUN,
    Attempt,
    EntryRetryBudget,
    RetryBudget,
    divide_retries,
    may_retry,
)
from jasminewharf.settings import BoundSettings

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


_BOUNDS = BoundSettings(retry_share=0.2, retry_slack=56, retry_window_s=10)
_STEP_S = 0.05


class _Entry:
    """An entry that sends every retry that its budget allows."""

    def __init__(self, now):
        self.budget = EntryRetryBudget(now, is_first=now == 0.0)
        self.peak = RecentPeak(_BOUNDS.retry_window_s)

    def serve(self, now, requests):
        allowance = divide_retries(_BOUNDS, self.peak.read(now))
        for _ in range(requests):
            self.budget.deposit(allowance, now)
        retries = 0
        while self.budget.withdraw(allowance, now):
            retries += 1
        return retries


def play_restarts(seed, count, steps=1_200):
    """Return the retries and requests of each step, with restarts at any time."""
    source = random.Random(seed)
    entries = [_Entry(0.0) for _ in range(count)]
    started = [0] * count
    restart_at = source.randrange(200, steps - 200)
    sent, asked = [], []
    for step in range(steps):
        now = step * _STEP_S
        if step == restart_at or source.random() < 0.001:
            fallen = range(count) if step == restart_at else [source.randrange(count)]
            for number in fallen:
                entries[number] = _Entry(now)
                started[number] = step
        is_idle = restart_at - 100 < step < restart_at - 20
        sent.append(0)
        asked.append(0)
        for number, entry in enumerate(entries):
            # A control host tells the count once it has settled.
            if step - started[number] == int(1.0 / _STEP_S):
                entry.peak.note(count, now)
            requests = 0 if is_idle else int(source.random() < 0.3)
            asked[-1] += requests
            sent[-1] += entry.serve(now, requests) if not is_idle else 0
    return sent, asked


@pytest.mark.parametrize("count", [1, 4, 6, 23])
@pytest.mark.parametrize("seed", range(10))
def test_retries_of_all_entries_stay_within_the_bound_over_restarts(seed, count):
    """Each entry's start gave it a floor anew, as large as it counted few entries."""
    sent, asked = play_restarts(seed, count)
    window = int(_BOUNDS.retry_window_s / _STEP_S)
    for end in range(len(sent)):
        begin = max(end - window, 0)
        allowed = _BOUNDS.retry_share * sum(asked[begin : end + 1])
        assert sum(sent[begin : end + 1]) <= allowed + _BOUNDS.retry_slack


def test_entry_that_does_not_know_the_others_earns_by_its_requests_only():
    allowance = divide_retries(_BOUNDS, 0)
    budget = EntryRetryBudget(0.0)
    assert not budget.withdraw(allowance, 100.0)
    for _ in range(10):
        budget.deposit(allowance, 100.0)
    assert budget.withdraw(allowance, 100.0)


def test_number_that_falls_counts_after_a_window():
    """Of entries that left, the retries that they sent before still count."""
    peak = RecentPeak(10.0)
    peak.note(6, 0.0)
    peak.note(2, 1.0)
    assert peak.read(10.9) == 6
    assert peak.read(11.1) == 2


def test_entry_counts_while_it_may_have_spent_its_part():
    presence = Presence()
    assert presence.count(["a", "b"], 0.0, 10.0) == 2
    assert presence.count(["b", "c"], 9.0, 10.0) == 3
    assert presence.count(["b"], 11.0, 10.0) == 2
