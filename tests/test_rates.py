"""Rate accounts: the tokens spent in any window never exceed burst + rate x window.

JASMINEWHARF_RATE_STEPS sets the number of steps of the random schedules.
"""

import os
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jasminewharf.bench import rates
from jasminewharf.bench.ideal import IdealBucket
from jasminewharf.bench.rate_checks import LimitsTimeline, Spending, find_overshoot
from jasminewharf.bench.rate_model import RateModel
from jasminewharf.bench.rate_schedule import run_schedule
from jasminewharf.decisions import balances, grants
from jasminewharf.decisions.accounts import AccountLog
from jasminewharf.decisions.buckets import RateLimits
from jasminewharf.decisions.grants import GrantAllocator, add_drift_margin
from jasminewharf.defaults import GRANT_LEASE_S, OWNER_LEASE_S
from jasminewharf.messages.accounts import (
    AccountBounds,
    CheckpointAccounts,
    TakeAccounts,
)
from jasminewharf.messages.codec import decode, encode
from jasminewharf.messages.control import GrantRequest

STEPS = int(os.environ.get("JASMINEWHARF_RATE_STEPS", "600"))
LIMITS = RateLimits(100.0, 500)


@pytest.mark.parametrize("seed", range(8))
def test_schedule_never_overshoots_and_recovers(seed):
    model = run_schedule(seed, STEPS)
    assert model.admitted > STEPS / 20
    assert model.find_overshoots() == {}
    model.heal(45)
    for account in model.accounts:
        before = model.admitted
        model.charge(model.entries[0], account, int(model.limits[account].burst * 0.9))
        model.heal(1)
        assert model.admitted == before + 1, "a healthy account still lacks tokens"


class RateMachine(RuleBasedStateMachine):
    """Runs the rate model with steps chosen by hypothesis."""

    def __init__(self):
        super().__init__()
        self.model = RateModel(random.Random(1))
        self.model.heal(0.5)

    @rule(
        step=st.sampled_from(
            sorted(name for name in dir(RateModel) if name.startswith("do_"))
        ),
        seconds=st.sampled_from((0.01, 0.2, 1.0, 2.9, 4.0)),
    )
    def step(self, step, seconds):
        arguments = (seconds,) if step == "do_wait" else ()
        getattr(self.model, step)(*arguments)

    @invariant()
    def has_no_overshoot(self):
        assert self.model.find_overshoots() == {}


RateMachine.TestCase.settings = settings(
    max_examples=15, stateful_step_count=30, deadline=None
)
TestRateMachine = RateMachine.TestCase


def find_any_overshoot(seeds, steps=2500):
    return any(run_schedule(seed, steps).find_overshoots() for seed in range(seeds))


def test_schedules_reject_an_owner_that_ignores_its_lease(monkeypatch):
    monkeypatch.setattr(GrantAllocator, "may_grant", lambda *_: True)
    assert find_any_overshoot(10)


def test_schedules_reject_grants_that_expire_at_the_owner_first(monkeypatch):
    monkeypatch.setattr(grants, "add_drift_margin", lambda lease_s: 0.2 * lease_s)
    assert find_any_overshoot(16, 1500)


def test_schedules_reject_a_holder_that_spends_after_its_lease(monkeypatch):
    monkeypatch.setattr(balances, "GRANT_LEASE_S", 4 * GRANT_LEASE_S)
    assert find_any_overshoot(16)


def test_checker_rejects_one_token_too_many_in_a_window():
    timeline = LimitsTimeline(LIMITS, 0.0)
    history = [Spending(0.0, 500), Spending(1.0, 100)]
    assert find_overshoot(history, timeline) is None
    assert find_overshoot([*history, Spending(1.0, 1)], timeline).tokens == 1


def test_checker_integrates_changed_limits():
    timeline = LimitsTimeline(LIMITS, 1.0)
    timeline.change(10.0, RateLimits(10.0, 50))
    late = [Spending(0.0, 500), Spending(10.5, 500), Spending(12.0, 15)]
    assert find_overshoot(late, timeline) is None
    assert find_overshoot([*late, Spending(12.0, 50)], timeline) is not None


def make_request(sequence, held=0, returned=0, needed=0, holder="e", account="a"):
    return GrantRequest(
        holder=holder,
        incarnation=1,
        sequence=sequence,
        account=account,
        held=held,
        unspent=0,
        returned=returned,
        needed=needed,
        least=needed,
        wanted=0,
    )


def ask(allocator, request, now, limits=LIMITS):
    """Answer a request and commit the checkpoints that it needs."""
    for _ in range(3):
        allocator.extend(now)
        answer = allocator.answer(request, limits, now)
        bounds = allocator.list_due_bounds(now)
        if bounds:
            allocator.end_checkpoint(bounds, allocator.begin_checkpoint(bounds, now))
        if answer is not None:
            return answer
    raise AssertionError("the grant needs more than three checkpoints")


def test_resent_request_is_answered_without_a_second_debit():
    allocator = GrantAllocator([], has_predecessor=False, now=0.0)
    first = ask(allocator, make_request(1, needed=300), 0.0)
    assert ask(allocator, make_request(1, needed=300), 0.0) == first
    assert ask(allocator, make_request(2, held=300, needed=200), 0.0).granted == 200
    assert ask(allocator, make_request(1, needed=300), 0.0).state == "stale"
    assert ask(allocator, make_request(3, held=500, needed=1), 0.0).granted == 0


def test_grant_below_the_floor_waits_for_a_checkpoint():
    allocator = GrantAllocator([], has_predecessor=False, now=0.0)
    allocator.extend(0.0)
    assert allocator.answer(make_request(1, needed=100), LIMITS, 0.0) is None
    bounds = allocator.list_due_bounds(0.0)
    number = allocator.begin_checkpoint(bounds, 0.0)
    assert allocator.answer(make_request(1, needed=100), LIMITS, 0.0) is None
    allocator.end_checkpoint(bounds, number)
    assert allocator.answer(make_request(1, needed=100), LIMITS, 0.0).granted == 100


def test_returned_tokens_are_credited_only_up_to_what_was_granted():
    allocator = GrantAllocator([], has_predecessor=False, now=0.0)
    ask(allocator, make_request(1, needed=500), 0.0)
    ask(allocator, make_request(2, held=100, returned=5000), 0.0)
    assert ask(allocator, make_request(3, held=100, needed=401), 0.0).granted == 0
    assert ask(allocator, make_request(4, held=100, needed=400), 0.0).granted == 400


def test_expired_grant_is_not_renewed_and_counts_as_spent():
    allocator = GrantAllocator([], has_predecessor=False, now=0.0)
    ask(allocator, make_request(1, needed=500), 0.0)
    late = add_drift_margin(GRANT_LEASE_S) + 0.5
    answer = ask(allocator, make_request(2, held=500, returned=0, needed=10), late)
    assert not answer.renewed
    assert ask(allocator, make_request(3, needed=100, holder="f"), late).granted == 0


def test_successor_waits_and_starts_from_the_floor():
    bounds = [AccountBounds("a", 40, 300)]
    allocator = GrantAllocator(bounds, has_predecessor=True, now=0.0)
    assert ask(allocator, make_request(1, needed=40), OWNER_LEASE_S).state == "starting"
    opened = allocator.opens_at
    answer = ask(allocator, make_request(1, held=200, needed=41), opened)
    assert (answer.renewed, answer.granted) == (True, 0)
    assert ask(allocator, make_request(2, held=200, needed=40), opened).granted == 40
    # The predecessor's 300 tokens count as outstanding until their leases expire.
    ended = allocator.inherited_until
    assert (
        ask(allocator, make_request(1, needed=170, holder="f"), ended - 0.01).granted
        == 0
    )
    later = ended + 0.2
    assert ask(allocator, make_request(2, needed=170, holder="f"), later).granted == 170


def test_changed_limits_apply_at_once_and_never_add_a_burst():
    allocator = GrantAllocator([], has_predecessor=False, now=0.0)
    ask(allocator, make_request(1, needed=500), 0.0)
    larger = RateLimits(100.0, 5000)
    assert ask(allocator, make_request(2, needed=100), 0.5, larger).granted == 0
    smaller = RateLimits(100.0, 50)
    assert ask(allocator, make_request(3, needed=51), 9.0, smaller).granted == 0
    assert ask(allocator, make_request(4, needed=49), 9.0, smaller).granted == 49


def test_idle_full_account_is_removed_from_memory():
    allocator = GrantAllocator([], has_predecessor=False, now=0.0)
    ask(allocator, make_request(1, needed=10), 0.0)
    assert allocator.list_idle_removals(5.0) == []
    removals = allocator.list_idle_removals(100.0)
    assert removals == [AccountBounds("a", AccountBounds.UNTOUCHED, 0)]
    allocator.end_checkpoint(removals, allocator.begin_checkpoint(removals, 100.0))
    assert allocator.find_ledger("a") is None


def test_log_accepts_only_the_latest_owner_and_checkpoint():
    log = AccountLog()
    taken = decode(log.apply(5, encode(TakeAccounts("c", 1))))
    assert (taken.fence, taken.predecessor, taken.bounds) == (5, 0, [])
    first, second = AccountBounds("a", 1, 2), AccountBounds("a", 3, 4)

    def checkpoint(index, fence, number, bounds):
        command = CheckpointAccounts(fence, number, [bounds])
        return decode(log.apply(index, encode(command))).accepted

    assert checkpoint(6, 5, 2, second)
    assert not checkpoint(7, 5, 1, first)
    copy = AccountLog()
    copy.restore(log.snapshot())
    taken = decode(copy.apply(8, encode(TakeAccounts("d", 2))))
    assert (taken.predecessor, taken.bounds) == (5, [second])
    log.apply(8, encode(TakeAccounts("d", 2)))
    assert not checkpoint(9, 5, 3, first)
    assert not decode(log.apply(10, b"\x00")).accepted


def test_ideal_bucket_trims_refunds_by_its_refill():
    bucket = IdealBucket(LIMITS, 0.0)
    long_call = bucket.charge(500, 0.0)
    other = bucket.charge(300, 3.0)
    bucket.end(long_call, 0, 5.0)
    bucket.end(other, 300, 5.0)
    assert not bucket.holds(501, 100.0) and bucket.holds(500, 100.0)


@pytest.mark.parametrize("scenario", ["burst", "owner-death"])
def test_grants_refuse_less_than_static_shares_without_overshoot(scenario):
    ours = rates.run_scenario(scenario, "grants", 1)
    static = rates.run_scenario(scenario, "static-shares", 1)
    assert ours["overshoot_tokens"] == 0
    assert ours["incorrect_refusals"] < static["incorrect_refusals"] / 2
    assert ours == rates.run_scenario(scenario, "grants", 1)
