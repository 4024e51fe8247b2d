"""Reports of replaced incarnations are ignored; missing reports lead to loss."""

from jasminewharf.decisions.membership import (
    LIVE,
    LOST,
    SUSPECTED,
    Membership,
    MembershipLimits,
)
from jasminewharf.messages.feed import NodeReport


def report(incarnation=1, sequence=1, node="agent-1", host="host-1", role="agent"):
    return NodeReport(
        node, role, host, "a", incarnation, sequence, 0, "", 0, False, [], []
    )


def observe(started_at=0.0):
    return Membership(MembershipLimits(suspect_s=5, lost_s=30), started_at)


def test_reports_of_a_replaced_incarnation_are_dropped():
    members = observe()
    assert members.record_report(report(1, 9), 1)
    assert members.record_report(report(2, 1), 2)
    assert not members.record_report(report(1, 10), 3)
    assert members.report("agent-1").incarnation == 2


def test_older_and_repeated_reports_are_ignored():
    members = observe()
    members.record_report(report(1, 5), 1)
    assert not members.record_report(report(1, 5), 2)
    assert not members.record_report(report(1, 4), 3)
    assert members.state("agent-1", 6.5) == SUSPECTED


def test_missing_reports_lead_to_suspicion_and_loss_until_several_arrive():
    members = observe()
    members.record_report(report(1, 1), 1)
    assert members.state("agent-1", 5) == LIVE
    assert members.state("agent-1", 7) == SUSPECTED
    assert members.state("agent-1", 32) == LOST
    members.record_report(report(1, 2), 33)
    assert members.state("agent-1", 33) == SUSPECTED
    for step in range(3, 8):
        members.record_report(report(1, step), 31 + step)
    assert members.state("agent-1", 38) == LIVE


def test_new_observer_declares_no_host_lost_before_the_timeout():
    members = observe(started_at=100.0)
    assert members.find_lost_hosts({"host-1"}, 129) == set()
    assert members.find_lost_hosts({"host-1"}, 131) == {"host-1"}


def test_incarnation_is_dead_when_replaced_or_without_reports():
    members = observe()
    members.record_report(report(1, 1), 50)
    assert not members.is_life_over(1, 51)
    assert members.is_life_over(1, 60)
    members.record_report(report(2, 1), 61)
    assert members.is_life_over(1, 61)
