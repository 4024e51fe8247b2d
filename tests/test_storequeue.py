"""Slots of the weight store: their order and the concurrency limit."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jasminewharf.decisions.storequeue import (
    DEFAULT_STORE_CONCURRENCY,
    StoreQueue,
    estimate_store_concurrency,
)
from jasminewharf.exceptions import ImplausibleDemand

ALONE_S = 6.0


@pytest.mark.parametrize(
    ("weight", "alone_s"),
    [(math.nan, 6.0), (math.inf, 6.0), (-1.0, 6.0), (1.0, -6.0), (1.0, math.nan)],
)
def test_wish_that_cannot_be_true_gets_no_turn(weight, alone_s):
    """One faulty agent must not claim all slots."""
    queue = StoreQueue(0.0, is_first=True)
    with pytest.raises(ImplausibleDemand):
        queue.request_slot("faulty", "m0", weight, alone_s, 0.0)
    assert queue.request_slot("a", "m0", 1.0, ALONE_S, 0.0).is_granted


def play_store(queue, at_once, engines, seconds, step_s=0.1):
    """Keep engines loading different models from a store that serves ``at_once``.

    Returns:
        The maximum number of concurrent loads in the second half.
    """
    left: dict[str, float] = {}
    models: dict[str, str] = {}
    most = 0
    for number in range(int(seconds / step_s)):
        now = number * step_s
        speed = min(at_once / max(len(left), 1), 1.0)
        left = {name: rest - speed * step_s for name, rest in left.items()}
        for name in [name for name, rest in left.items() if rest <= 0]:
            del left[name]
            queue.release(name, True, now)
        for engine in engines:
            if engine in left:
                queue.renew_slot(engine, models[engine], True, now)
                continue
            model = f"{engine}-{number}"
            if queue.request_slot(engine, model, 1.0, ALONE_S, now).is_granted:
                models[engine] = model
                left[engine] = ALONE_S
        if now > seconds / 2:
            most = max(most, len(left))
    return most


def test_models_with_more_callers_load_first():
    """Case: ten engines wait for the store when a slot becomes free."""
    queue = StoreQueue(0.0, is_first=True)
    queue.at_once = 1
    assert queue.request_slot("a", "m0", 1.0, ALONE_S, 0.0).is_granted
    assert not queue.request_slot("b", "m1", 1.0, ALONE_S, 0.1).is_granted
    assert not queue.request_slot("c", "m2", 5.0, ALONE_S, 0.1).is_granted
    queue.release("a", True, 0.5)
    assert not queue.request_slot("b", "m1", 1.0, ALONE_S, 0.6).is_granted
    assert queue.request_slot("c", "m2", 5.0, ALONE_S, 0.6).is_granted


def test_no_model_is_loaded_by_two_engines_at_once():
    """Case: the demand for one model reaches two engines."""
    queue = StoreQueue(0.0, is_first=True)
    assert queue.request_slot("a", "m0", 9.0, ALONE_S, 0.0).is_granted
    assert not queue.request_slot("b", "m0", 9.0, ALONE_S, 0.0).is_granted
    assert queue.request_slot("b", "m1", 1.0, ALONE_S, 0.1).is_granted


def test_models_that_nobody_asked_for_leave_slots_to_callers():
    """Guards against callers who wait for the end of loads that nobody needs.

    Case: an idle fleet starts, and all its agents see an idle store.
    """
    queue = StoreQueue(0.0, is_first=True)
    granted = [
        queue.request_slot(name, f"m-{name}", weight, ALONE_S, 0.0).is_granted
        for name, weight in (("a", 0.01), ("b", 0.0), ("c", 0.01), ("d", 0.2))
    ]
    assert granted == [True, True, False, True]
    queue.release("a", True, 0.5)
    assert not queue.request_slot("c", "m-c", 0.01, ALONE_S, 0.5).is_granted
    queue.release("d", True, 0.6)
    assert queue.request_slot("c", "m-c", 0.01, ALONE_S, 0.6).is_granted


def test_wish_that_is_not_repeated_keeps_nobody_waiting():
    """Case: a waiting agent is lost, or its callers leave."""
    queue = StoreQueue(0.0, is_first=True)
    queue.at_once = 1
    queue.request_slot("a", "m0", 1.0, ALONE_S, 0.0)
    queue.request_slot("b", "m1", 9.0, ALONE_S, 0.0)
    queue.release("a", True, 0.1)
    assert not queue.request_slot("c", "m2", 1.0, ALONE_S, 0.2).is_granted
    assert queue.request_slot("c", "m2", 1.0, ALONE_S, 1.5).is_granted


def test_request_of_an_engine_that_does_something_else_holds_up_nobody():
    """Guards against a store that is idle while engines wait for it.

    Case: an engine that asked for a slot begins a load from its disk, which takes as
    long as its request counts.
    """
    queue = StoreQueue(0.0, is_first=True)
    queue.at_once = 1
    queue.request_slot("a", "m0", 1.0, ALONE_S, 0.0)
    queue.request_slot("b", "m1", 9.0, ALONE_S, 0.0)
    queue.release("b", False, 0.1)
    queue.release("a", True, 0.1)
    assert queue.request_slot("c", "m2", 1.0, ALONE_S, 0.2).is_granted


def test_load_that_is_not_heard_of_frees_its_place():
    """Case: an engine is lost during a load and never releases its slot."""
    queue = StoreQueue(0.0, is_first=True)
    queue.at_once = 1
    queue.request_slot("a", "m0", 1.0, ALONE_S, 0.0)
    queue.renew_slot("a", "m0", True, 2.0)
    assert not queue.request_slot("b", "m1", 1.0, ALONE_S, 4.0).is_granted
    assert queue.request_slot("b", "m1", 1.0, ALONE_S, 5.5).is_granted


def test_engine_that_asks_again_loads_nothing():
    """The release of its last load was lost; it must not wait for its own slot."""
    queue = StoreQueue(0.0, is_first=True)
    assert queue.request_slot("a", "m0", 1.0, ALONE_S, 0.0).is_granted
    assert queue.request_slot("a", "m0", 1.0, ALONE_S, 0.5).is_granted


def test_owner_that_takes_over_hears_of_loads_first():
    """Case: the leader is lost while the store is busy."""
    queue = StoreQueue(10.0, is_first=False)
    assert not queue.request_slot("a", "m0", 1.0, ALONE_S, 10.1, 2).is_granted
    for engine in ("b", "c"):
        queue.renew_slot(engine, f"m-{engine}", True, 11.0, 2)
    assert not queue.request_slot("a", "m0", 1.0, ALONE_S, 11.6, 2).is_granted
    queue.release("b", True, 11.8)
    assert queue.request_slot("a", "m0", 1.0, ALONE_S, 11.9, 2).is_granted


def test_number_at_once_is_learned_from_slow_loads():
    """Case: the store serves fewer loads at full speed than the limit allows.

    All loads then slow down, and the first one ends no sooner than the last.
    """
    queue = StoreQueue(0.0, is_first=True)
    engines = [f"e{n}" for n in range(8)]
    play_store(queue, 1, engines, 40.0)
    assert queue.at_once == 1


def crash_and_load(queue, name, begin):
    """Have two engines crash 1 s after ``begin``, and one load slowly beside that."""
    lost = [f"{name}-{number}" for number in (1, 2)]
    for engine in lost:
        assert queue.request_slot(engine, f"m-{engine}", 9.0, ALONE_S, begin).is_granted
        queue.renew_slot(engine, f"m-{engine}", True, begin)
    for engine in lost:
        queue.release(engine, False, begin + 1.0)
    took_s = ALONE_S * 3 / 2
    assert queue.request_slot(name, f"m-{name}", 1.0, ALONE_S, begin + 1.0).is_granted
    for second in range(1, int(took_s) + 1):
        queue.renew_slot(name, f"m-{name}", True, begin + second)
    queue.release(name, True, begin + 1.0 + took_s)


def test_number_at_once_is_not_learned_beside_a_load_that_broke_off():
    """Guards against a store that serves one engine at a time after a crash.

    Case: two engines crash during their loads, which the store goes on to serve. The
    load that begins after that takes half as long again. Two slow loads are enough to
    learn from.
    """
    queue = StoreQueue(0.0, is_first=True)
    queue.at_once = 2
    for number in range(2):
        crash_and_load(queue, f"e{number}", 20.0 * number)
    assert queue.at_once == 2


def test_loads_of_lost_engines_count_while_the_store_serves_them():
    """Guards against loads that are slow from their begin on beside such loads.

    Case: one of three engines crashes during its load. A load that begins at once takes
    longer than one that waits until the other two have ended.
    """
    queue = StoreQueue(0.0, is_first=True)
    for name in "abc":
        assert queue.request_slot(name, f"m-{name}", 1.0, ALONE_S, 0.0).is_granted
        queue.renew_slot(name, f"m-{name}", True, 0.0)
    queue.release("c", False, 5.0)
    for name in "ab":
        queue.renew_slot(name, f"m-{name}", True, 5.0)
    assert not queue.request_slot("d", "m-d", 1.0, ALONE_S, 5.5).is_granted
    for name in "ab":
        queue.release(name, True, ALONE_S)
    assert queue.request_slot("d", "m-d", 1.0, ALONE_S, ALONE_S).is_granted


def test_one_load_at_a_time_goes_beyond_what_the_store_was_seen_to_serve():
    """Guards against a store whose loads are all slow until it is known to be slow.

    Case: the third load beside two shows whether the store serves three. Those that
    begin until it ends do so beside one other.
    """
    queue = StoreQueue(0.0, is_first=True)
    for name in "abc":
        assert queue.request_slot(name, f"m-{name}", 1.0, ALONE_S, 0.0).is_granted
        queue.renew_slot(name, f"m-{name}", True, 0.0)
    queue.release("a", True, 2.0)
    assert not queue.request_slot("d", "m-d", 1.0, ALONE_S, 2.0).is_granted
    queue.release("b", True, 2.1)
    assert queue.request_slot("d", "m-d", 1.0, ALONE_S, 2.1).is_granted


def test_slow_load_beyond_what_was_seen_shows_the_limit_by_itself():
    """Guards against more slow loads of a store that one has shown to be too slow."""
    queue = StoreQueue(0.0, is_first=True)
    for name in "abc":
        assert queue.request_slot(name, f"m-{name}", 1.0, ALONE_S, 0.0).is_granted
        queue.renew_slot(name, f"m-{name}", True, 0.0)
    for second in range(1, 9):
        for name in "abc":
            queue.renew_slot(name, f"m-{name}", True, float(second))
    queue.release("c", True, ALONE_S * 3 / 2)
    assert queue.at_once == 2
    assert not queue.request_slot("d", "m-d", 1.0, ALONE_S, ALONE_S * 3 / 2).is_granted


def test_engines_that_repeat_the_limit_do_not_prove_it():
    """Case: engines tell an owner the limit that it has told them itself."""
    queue = StoreQueue(0.0, is_first=True)
    for name in "abc":
        known = queue.request_slot(name, f"m-{name}", 1.0, ALONE_S, 0.0).at_once
        queue.renew_slot(name, f"m-{name}", True, 0.0, known)
    queue.release("a", True, 2.0)
    assert not queue.request_slot("d", "m-d", 1.0, ALONE_S, 2.0, known).is_granted


def test_number_at_once_is_learned_from_fast_loads():
    """Case: the store serves more loads at full speed than the limit allows."""
    queue = StoreQueue(0.0, is_first=True)
    engines = [f"e{n}" for n in range(8)]
    assert play_store(queue, 8, engines, 120.0) > DEFAULT_STORE_CONCURRENCY


@given(st.integers(1, 8), st.lists(st.tuples(st.integers(1, 8), st.floats(0.5, 4.0))))
def test_estimate_finds_the_number_that_explains_a_load(at_once, parts):
    seconds = {n: s for n, s in parts if n > at_once}
    if not seconds:
        return
    alone_s = sum(s * min(at_once / n, 1.0) for n, s in seconds.items())
    assert estimate_store_concurrency(seconds, 1, alone_s) == at_once


@given(st.integers(1, 6), st.integers(1, 8))
def test_estimate_finds_the_number_where_a_load_keeps_its_first_speed(at_once, beside):
    """Case: the number of loads at its start fixes the speed of a load."""
    took_s = ALONE_S * max(beside / at_once, 1.0)
    found = estimate_store_concurrency({1: took_s}, beside, ALONE_S)
    assert found == min(at_once, beside)


def test_load_that_began_alone_does_not_raise_the_number():
    """Case: the first of three loads keeps its full speed, the others are slow."""
    queue = StoreQueue(0.0, is_first=True)
    for name in "abc":
        assert queue.request_slot(name, f"m-{name}", 1.0, ALONE_S, 0.0).is_granted
    for now in (0.0, 2.0, 4.0):
        for name in "abc":
            queue.renew_slot(name, f"m-{name}", True, now)
    queue.release("a", True, ALONE_S)
    assert queue.at_once == DEFAULT_STORE_CONCURRENCY


def test_load_counts_from_when_it_begins():
    """Case: an engine evicts a model for 1.5 s before its load begins.

    Measured from the grant, the load seemed slow, and the limit fell to one.
    """
    queue = StoreQueue(0.0, is_first=True)
    for number in range(4):
        now = number * 10.0
        assert queue.request_slot("a", f"m{number}", 1.0, ALONE_S, now).is_granted
        queue.renew_slot("a", f"m{number}", False, now + 1.0)
        queue.renew_slot("a", f"m{number}", False, now + 2.0)
        for passed_s in (2.5, 4.5, 6.5):
            queue.renew_slot("a", f"m{number}", True, now + passed_s)
        queue.release("a", True, now + 2.5 + ALONE_S)
    assert queue.at_once == DEFAULT_STORE_CONCURRENCY
