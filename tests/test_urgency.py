"""Weights of waiting and refused requests."""

from jasminewharf.decisions.urgency import (
    WaitingRequest,
    is_expected_too_late,
    weigh_refused_callers,
    weigh_waiting_requests,
)


def test_request_in_time_outweighs_late_ones():
    """Case: a burst on cold models. Requests that can be in time go first."""
    fresh = [WaitingRequest(10.0, 3.0, 21.0)]
    late = [WaitingRequest(5.0, 3.0, 16.0)] * 3
    assert weigh_waiting_requests(fresh, 1.3, 10.5) > weigh_waiting_requests(
        late, 1.3, 10.5
    )


def test_request_near_its_end_counts_in_full_again():
    """A stream of newer requests must not starve an old one."""
    overdue = [WaitingRequest(0.0, 3.0, 11.0)]
    assert weigh_waiting_requests(overdue, 1.3, 8.0) == 1.0


def test_request_behind_a_long_queue_is_hopeless():
    """Case: a burst on more rare models than the engines can load in time.

    Newer requests overtake a waiting one, whose caller then gives up.
    """
    wait = WaitingRequest(10.0, 3.0, 20.8)
    assert not is_expected_too_late(wait, 4.0, 1.2, 10.0)
    assert is_expected_too_late(wait, 8.0, 1.2, 10.0)


def test_long_load_without_a_queue_is_waited_for():
    """Case: the store has the only copy, and the caller waits long enough."""
    assert not is_expected_too_late(WaitingRequest(10.0, 3.0, 20.8), 6.0, 6.0, 10.0)
    assert is_expected_too_late(WaitingRequest(10.0, 0.5, 11.8), 6.0, 6.0, 10.0)


def test_single_caller_told_to_come_back_does_not_pass_those_in_time():
    fresh = [WaitingRequest(10.0, 3.0, 21.0)]
    assert 0.0 < weigh_refused_callers(1) < weigh_waiting_requests(fresh, 1.3, 10.5)
    assert weigh_refused_callers(0) == 0.0


def test_refused_callers_of_a_hot_model_count():
    """Case: demand moves to a model that no engine holds, beside a queue of rare ones.

    Its callers cannot wait for the queue and are refused at once. If only waiting
    requests counted, the model would stay behind the rare ones.
    """
    rare = [WaitingRequest(10.0, 3.0, 21.0)] * 2
    assert weigh_refused_callers(4) > weigh_waiting_requests(rare, 1.3, 10.5)
