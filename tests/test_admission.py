"""Admission refuses calls that would miss their deadline, with a retry time."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jasminewharf.decisions.admission import (
    Admission,
    AdmissionLimits,
    ColdLoad,
    admit_on_cold_model,
)
from jasminewharf.decisions.queueing import (
    BATCH,
    INTERACTIVE,
    FairQueue,
    FifoQueue,
    QueuedCall,
)
from jasminewharf.exceptions import ModelUnavailable, Overloaded

LIMITS = AdmissionLimits(slots=2, seconds_per_token=0.01)


def make_call(number, now, budget_s, cost=100):
    return QueuedCall(f"r-{number}", "w", INTERACTIVE, cost, now, now + budget_s)


def test_calls_run_up_to_the_slots_and_the_rest_wait():
    admission = Admission(FifoQueue({}), LIMITS)
    for number in range(3):
        admission.offer(make_call(number, 0.0, 60.0), "m", 0.0)
    taken = [admission.take(0.0) for _ in range(3)]
    assert [call and call.request_id for call in taken] == ["r-0", "r-1", None]
    admission.finish("r-0", 1.0)
    assert admission.take(1.0).request_id == "r-2"


def fill(admission, calls, now=0.0):
    for number in range(calls):
        admission.offer(make_call(f"f{number}", now, 1000.0), "m", now)
        admission.take(now)


def test_refusal_gives_the_time_at_which_the_call_is_admitted():
    """A retry time that is too early causes retries that are refused again."""
    admission = Admission(FifoQueue({}), LIMITS)
    fill(admission, 10)
    with pytest.raises(Overloaded) as caught:
        admission.offer(make_call("x", 0.0, 3.0), "m", 0.0)
    assert caught.value.not_run
    now = 0.0
    retry_at = caught.value.retry_after_ms / 1000
    running = [f"r-f{number}" for number in range(2)]
    while now + 1.0 <= retry_at:
        now += 1.0
        for request_id in running:
            admission.finish(request_id, now)
        taken = [admission.take(now) for _ in running]
        running = [call.request_id for call in taken if call is not None]
    assert retry_at <= 5.0 + 0.001
    admission.offer(make_call("y", retry_at, 3.0), "m", retry_at)


def test_call_that_need_not_wait_is_tried_whatever_its_largest_cost():
    """The largest cost is often far above the actual one."""
    admission = Admission(FifoQueue({}), LIMITS)
    admission.offer(make_call(0, 0.0, 1.0, cost=100_000), "m", 0.0)
    assert admission.take(0.0) is not None


def run_constant_service(admission, service_s, rounds):
    """Serve rounds of six calls each with a constant service time.

    Returns pairs of estimated and actual waits.
    """
    pairs = []
    now = 0.0
    for turn in range(rounds):
        estimates = {}
        running = []
        for number in range(6):
            call = make_call(f"{turn}-{number}", now, 1e6)
            estimates[call.request_id] = admission.offer(call, "m", now).wait_s
            start = admission.take(now)
            if start is not None:
                running.append(start.request_id)
        begun = now
        while running:
            now += service_s
            for request_id in running:
                admission.finish(request_id, now)
            running = []
            while (call := admission.take(now)) is not None:
                pairs.append((estimates[call.request_id], now - begun))
                running.append(call.request_id)
    return pairs


@settings(deadline=None)
@given(st.floats(0.05, 20.0))
def test_estimate_converges_to_the_waits_that_follow(service_s):
    admission = Admission(FifoQueue({}), LIMITS)
    pairs = run_constant_service(admission, service_s, 60)
    late = pairs[-40:]
    error = sum(abs(estimate - actual) for estimate, actual in late)
    assert error <= 0.5 * sum(actual for _, actual in late)


def test_interrupted_calls_do_not_count_as_fast():
    admission = Admission(FifoQueue({}), LIMITS)
    before = admission.estimate(make_call(0, 0.0, 1.0), "m", 0.0).service_s
    admission.offer(make_call(1, 0.0, 10.0), "m", 0.0)
    admission.take(0.0)
    admission.finish("r-1", 0.001, complete=False)
    assert admission.estimate(make_call(0, 0.0, 1.0), "m", 0.0).service_s == before
    assert admission.running == 0


def test_expired_and_cancelled_calls_leave_nothing_behind():
    admission = Admission(FifoQueue({}), LIMITS)
    fill(admission, 2)
    admission.offer(make_call("a", 0.0, 50.0), "m", 0.0)
    admission.offer(make_call("b", 0.0, 60.0), "m", 0.0)
    assert admission.cancel("r-b")
    assert not admission.cancel("r-b")
    assert [call.request_id for call in admission.expire(50.0)] == ["r-a"]
    assert len(admission.queue) == 0 and not admission._waiting


@settings(deadline=None)
@given(st.floats(0.0, 20.0), st.floats(0.5, 30.0), st.integers(1, 200))
def test_burst_on_a_cold_model_is_admitted_up_to_what_can_be_served(ready, budget, n):
    waiting = 0
    for _ in range(n):
        load = ColdLoad(ready, 1, waiting, slots=4, seconds_per_token=0.01)
        try:
            admit_on_cold_model(load, 100, budget)
        except ModelUnavailable as refusal:
            assert refusal.not_run and refusal.retry_after_ms >= ready * 1000
            break
        waiting += 100
    assert ready + waiting * 0.01 / 4 <= budget or waiting == 0


def test_call_that_waited_too_long_is_handed_out_before_its_deadline_and_not_run():
    """If it were started, it would be interrupted at its deadline."""
    admission = Admission(FifoQueue({}), LIMITS)
    fill(admission, 2)
    admission.offer(make_call("a", 0.0, 4.0), "m", 0.0)
    assert admission.expire(2.0) == []
    due = admission.queue.next_deadline()
    assert 2.0 < due < 4.0
    admission.finish("r-f0", due)
    assert admission.take(due) is None
    assert [call.request_id for call in admission.expire(due)] == ["r-a"]


def offer_batch(admission, number, now):
    call = make_call(number, now, 1e6)._replace(priority=BATCH)
    admission.offer(call, "m", now)


def test_batch_calls_leave_slots_to_recent_interactive_calls_only():
    """Without a reserve interactive calls wait for long batch calls.

    A reserve that outlasts the interactive demand would leave slots idle.
    """
    limits = LIMITS._replace(slots=4, reserve_share=0.5)
    admission = Admission(FairQueue({}), limits)
    for number in range(8):
        offer_batch(admission, number, 0.0)
    assert [admission.take(0.0) is not None for _ in range(5)] == [True] * 4 + [False]
    for number in range(20):
        admission.offer(make_call(f"q{number}", 1.0, 1e6, cost=2000), "m", 1.0)
    for number in range(4):
        admission.finish(f"r-{number}", 1.0)
    taken = [admission.take(100.0).priority for _ in range(4)]
    assert taken.count(BATCH) <= 2
    for number in range(20):
        admission.cancel(f"r-q{number}")
    assert admission.take(1e4) is None


def test_wait_is_expected_when_the_tokens_and_not_the_slots_are_used_up():
    admission = Admission(FifoQueue({}), LIMITS._replace(slots=8, tokens=150))
    fill(admission, 2)
    assert admission.take(0.0) is None
    estimate = admission.estimate(make_call("x", 0.0, 60.0), "m", 0.0)
    assert estimate.wait_s > 0
