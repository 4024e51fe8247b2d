"""Which waiting requests count most."""

from jasminewharf.decisions.urgency import Wait, weigh_waits


def test_request_in_time_outweighs_late_ones():
    """Pattern: a burst on cold models. What can still be in time goes first."""
    fresh = [Wait(10.0, 3.0, 21.0)]
    late = [Wait(5.0, 3.0, 16.0)] * 3
    assert weigh_waits(fresh, 1.3, 10.5) > weigh_waits(late, 1.3, 10.5)


def test_request_near_its_end_counts_in_full_again():
    """A stream of newer requests must not starve an old one until its caller leaves."""
    overdue = [Wait(0.0, 3.0, 11.0)]
    assert weigh_waits(overdue, 1.3, 8.0) == 1.0
