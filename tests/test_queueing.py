"""Queue disciplines: weighted shares, no starvation, limits and deadlines."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jasminewharf.decisions.queueing import (
    BATCH,
    INTERACTIVE,
    QUEUES,
    FairQueue,
    FifoQueue,
    QueuedCall,
    QueueLimits,
)
from jasminewharf.exceptions import QueueFull

MAX_COST = 500


def make_call(number, workspace, cost, priority=INTERACTIVE, at=0.0, deadline=1e9):
    return QueuedCall(f"r-{number}", workspace, priority, cost, at, deadline)


def serve_backlog(queue, costs, steps, priority=INTERACTIVE):
    """Keep every workspace backlogged and return the tokens each was served."""
    number = 0
    served = dict.fromkeys(costs, 0)
    for workspace, pattern in costs.items():
        for cost in pattern:
            queue.push(make_call(number, workspace, cost, priority))
            number += 1
    for _ in range(steps):
        call = queue.pop(0.0)
        served[call.workspace] += call.cost_tokens
        number += 1
        queue.push(make_call(number, call.workspace, call.cost_tokens, priority))
    return served


def find_unfair_share(served, weights):
    """Return the largest difference of weighted service between workspaces."""
    shares = [served[name] / weights[name] for name in served]
    return max(shares) - min(shares)


_workspaces = st.dictionaries(
    st.sampled_from("abcdef"),
    st.tuples(
        st.sampled_from([0.5, 1.0, 2.0, 5.0]),
        st.lists(st.integers(1, MAX_COST), min_size=1, max_size=4),
    ),
    min_size=2,
)


@settings(deadline=None)
@given(_workspaces, st.sampled_from([INTERACTIVE, BATCH]), st.integers(1, 400))
def test_backlogged_workspaces_share_tokens_by_weight(workspaces, priority, steps):
    weights = {name: weight for name, (weight, _) in workspaces.items()}
    costs = {name: pattern for name, (_, pattern) in workspaces.items()}
    served = serve_backlog(FairQueue(weights), costs, steps, priority)
    bound = 2 * MAX_COST / min(weights.values())
    assert find_unfair_share(served, weights) <= bound


def test_share_check_rejects_first_in_first_out():
    weights = {"large": 1.0, "small": 1.0}
    costs = {"large": [MAX_COST] * 40, "small": [1]}
    served = serve_backlog(FifoQueue(weights), costs, 300)
    assert find_unfair_share(served, weights) > 2 * MAX_COST


@settings(deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 20))
def test_old_batch_call_is_served_beside_endless_interactive_calls(seed, others):
    source = random.Random(seed)
    queue = FairQueue({})
    queue.push(make_call(0, "plans", MAX_COST, BATCH))
    for number in range(1, others + 1):
        queue.push(make_call(number, f"w{number}", source.randint(1, MAX_COST)))
    now = QueueLimits().ageing_s
    for number in range(1000, 1000 + 100 * others):
        call = queue.pop(now)
        if call.workspace == "plans":
            return
        cost = source.randint(MAX_COST // 2, MAX_COST)
        queue.push(make_call(number, call.workspace, cost, at=now))
    pytest.fail("the batch call was starved")


def test_own_batch_call_is_served_beside_own_endless_interactive_calls():
    queue = FairQueue({})
    for number in range(10):
        queue.push(make_call(number, "w", 100, BATCH))
    batch = 0
    for number in range(100, 200):
        queue.push(make_call(number, "w", 100, at=10.0))
        batch += queue.pop(10.0).priority == BATCH
    assert batch == 10


def test_interactive_goes_before_young_batch():
    queue = FairQueue({})
    queue.push(make_call(1, "a", 10, BATCH))
    queue.push(make_call(2, "b", 400))
    queue.push(make_call(3, "a", 400))
    order = [queue.pop(1.0).request_id for _ in range(3)]
    assert order[-1] == "r-1"


def test_aged_batch_call_waits_while_batch_is_not_allowed():
    queue = FairQueue({})
    queue.push(make_call(1, "a", 10, BATCH))
    queue.push(make_call(2, "b", 400))
    assert queue.pop(60.0, allow_batch=False).request_id == "r-2"
    assert queue.pop(60.0, allow_batch=False) is None
    assert queue.pop(60.0).request_id == "r-1"


def test_long_batch_backlog_that_aged_delays_an_interactive_call_by_two_calls():
    """An aged batch backlog must not be compensated for all the time it waited."""
    queue = FairQueue({})
    for number in range(200):
        queue.push(make_call(number, "plans", MAX_COST, BATCH))
    for number in range(1000, 1100):
        queue.push(make_call(number, "short", 50, at=0.0))
        queue.pop(1.0)
    queue.push(make_call(2000, "short", 50, at=60.0))
    before = 0
    while (call := queue.pop(60.0)).request_id != "r-2000":
        before += call.cost_tokens
    assert before <= 2 * MAX_COST


@pytest.mark.parametrize("kind", sorted(QUEUES))
@given(data=st.data())
def test_bounds_counts_and_deadlines_hold_under_any_sequence(kind, data):
    limits = QueueLimits(calls=8, tokens=1500)
    queue = QUEUES[kind]({"a": 3.0}, limits)
    waiting = {}
    steps = st.sampled_from(["push", "push", "pop", "cancel", "expire"])
    for number, step in enumerate(data.draw(st.lists(steps, max_size=60))):
        now = float(number)
        if step == "push":
            call = make_call(
                number,
                data.draw(st.sampled_from("abc")),
                data.draw(st.integers(1, MAX_COST)),
                data.draw(st.sampled_from([INTERACTIVE, BATCH])),
                now,
                now + data.draw(st.integers(1, 30)),
            )
            total = sum(item.cost_tokens for item in waiting.values())
            full = len(waiting) == 8 or (waiting and total + call.cost_tokens > 1500)
            if full:
                with pytest.raises(QueueFull):
                    queue.push(call)
            else:
                queue.push(call)
                waiting[call.request_id] = call
        elif step == "pop":
            call = queue.pop(now)
            assert (call is None) == (not waiting)
            if call is not None:
                assert waiting.pop(call.request_id) == call
        elif step == "cancel" and waiting:
            chosen = data.draw(st.sampled_from(sorted(waiting)))
            assert queue.cancel(chosen) == waiting.pop(chosen)
            assert queue.cancel(chosen) is None
        elif step == "expire":
            late = {key for key, item in waiting.items() if item.deadline <= now}
            assert {call.request_id for call in queue.expire(now)} == late
            for key in late:
                del waiting[key]
        assert len(queue) == len(waiting)
        assert queue.tokens == sum(item.cost_tokens for item in waiting.values())
        first = min((item.deadline for item in waiting.values()), default=None)
        assert queue.next_deadline() == first


def test_idle_workspace_saves_up_no_share():
    queue = FairQueue({})
    for number in range(100):
        queue.push(make_call(number, "busy", 100))
        queue.pop(0.0)
    for number in range(200, 220):
        queue.push(make_call(number, "busy", 100))
        queue.push(make_call(number + 100, "new", 100))
    first_ten = [queue.pop(0.0).workspace for _ in range(10)]
    assert 4 <= first_ten.count("busy") <= 6


def test_leaving_and_returning_does_not_reset_a_workspaces_tag():
    """A workspace that often empties its queue must not exceed its share."""
    queue = FairQueue({})
    for number in range(50):
        queue.push(make_call(number, "steady", 100))
    served = {"steady": 0, "hopping": 0}
    for number in range(100, 140):
        queue.push(make_call(number, "hopping", 100))
        call = queue.pop(0.0)
        served[call.workspace] += 1
        if call.workspace != "hopping":
            queue.cancel(f"r-{number}")
    assert abs(served["steady"] - served["hopping"]) <= 2


@settings(max_examples=20, deadline=None)
@given(st.integers(0, 2**32), st.sampled_from([0.1, 0.5, 1.0, 3.0]))
def test_share_follows_what_calls_used_and_not_what_they_were_charged(seed, used):
    """Overstated costs must not lower a workspace's share, nor understated raise it."""
    source = random.Random(seed)
    queue = FairQueue({})
    served = {"misstated": 0, "exact": 0}
    for number in range(2000):
        for name in served:
            queue.push(make_call(f"{number}{name}", name, source.randint(50, 100)))
        call = queue.pop(0.0)
        factor = used if call.workspace == "misstated" else 1.0
        tokens = int(call.cost_tokens * factor)
        queue.adjust_charge(call.workspace, call.cost_tokens - tokens)
        served[call.workspace] += tokens
        # Keep both workspaces backlogged without filling the queue.
        if number > 300:
            for name in served:
                queue.cancel(f"r-{number}{name}")
    assert abs(served["misstated"] - served["exact"]) <= 0.02 * sum(served.values())


@pytest.mark.parametrize("priority", [INTERACTIVE, BATCH])
def test_settling_a_waiting_workspace_keeps_its_tag_at_the_virtual_time(priority):
    """With an earlier tag it would be served exclusively until it caught up."""
    queue = FairQueue({})
    for number in range(10, 40):
        queue.push(make_call(number, "a", 100, priority))
        queue.push(make_call(number + 100, "b", 100, priority))
    queue.adjust_charge("a", 10_000)
    first_ten = [queue.pop(0.0).workspace for _ in range(10)]
    assert 4 <= first_ten.count("a") <= 6


def test_settling_an_idle_workspace_keeps_its_tag_at_the_virtual_time():
    """With an earlier tag it could earn credit by overstating its costs."""
    queue = FairQueue({})
    queue.push(make_call(1, "a", 500))
    queue.pop(0.0)
    queue.adjust_charge("a", 10_000)
    for number in range(10, 30):
        queue.push(make_call(number, "a", 100))
        queue.push(make_call(number + 100, "b", 100))
    first_ten = [queue.pop(0.0).workspace for _ in range(10)]
    assert 4 <= first_ten.count("a") <= 6


def test_memory_stays_bounded_under_push_and_cancel():
    queue = FairQueue({})
    for number in range(20_000):
        queue.push(make_call(number, f"w{number % 7}", 1))
        queue.cancel(f"r-{number}")
    heaps = (
        queue._interactive,
        queue._aged,
        queue._young_batch,
        queue._ageing,
        queue._deadlines,
    )
    assert sum(len(heap._heap) for heap in heaps) < 1000
    assert not queue._flows
