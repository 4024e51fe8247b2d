"""Pacing keeps to the store's rate and slows down for a slow or failing store."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jasminewharf.bench import pressure
from jasminewharf.decisions.pacing import PACING_RULES, create_pacing_rule
from jasminewharf.decisions.storebudget import StoreBudget
from jasminewharf.exceptions import UnknownRegistration

RATE = 2.0


def start_loads(rule, ends, seconds=60.0, host="h"):
    """Start as many loads as the rule allows and return their times."""
    started, now = [], 0.0
    while now < seconds:
        if rule.earliest(host, 0, now) <= now:
            rule.note_start(host, now)
            started.append(now)
            slowdown, failed = ends
            rule.note_end(host, slowdown, failed, now)
        now += 0.05
    return started


def is_within_rate(started, rate):
    """Return whether any window holds at most rate x window + 1 starts."""
    return all(
        count <= (later - first) * rate + 1 + 1e-6
        for index, first in enumerate(started)
        for count, later in enumerate(started[index:], start=1)
    )


@pytest.mark.parametrize("name", sorted(PACING_RULES))
@given(slowdown=st.floats(0.5, 10), failed=st.booleans())
def test_no_rule_exceeds_the_rate_on_one_host(name, slowdown, failed):
    rule = create_pacing_rule(name, RATE, 4)
    assert is_within_rate(start_loads(rule, (slowdown, failed), 10.0), RATE)


def test_rate_check_rejects_a_burst():
    assert not is_within_rate([1.0, 1.1, 1.2], RATE)


@pytest.mark.parametrize("name", ["aimd", "host-pressure"])
@pytest.mark.parametrize("ends", [(5.0, False), (1.0, True)])
def test_slow_and_failed_loads_lower_the_pace(name, ends):
    good = start_loads(create_pacing_rule(name, RATE, 4), (1.0, False))
    bad = start_loads(create_pacing_rule(name, RATE, 4), ends)
    assert len(bad) < 0.6 * len(good)


def test_aimd_lowers_concurrency_and_recovers():
    rule = create_pacing_rule("aimd", RATE, 4)
    rule.note_end("h", 9.0, False, 100.0)
    assert rule.earliest("h", 2, 200.0) == float("inf")
    for step in range(40):
        rule.note_end("h", 1.0, False, 201.0 + step)
    assert rule.earliest("h", 3, 300.0) == 300.0


@given(loads=st.integers(1, 400))
def test_host_pressure_is_capped_and_decays(loads):
    rule = pressure.HostPressureRule(RATE, 4)
    for _ in range(loads):
        rule.note_start("h", 0.0)
    spacing = rule.earliest("h", 0, 0.0)
    assert spacing == pytest.approx(min((1 / RATE) * (1 + loads / 10), 30.0))
    assert rule.pressure("h", 30.0) == pytest.approx(rule.pressure("h", 0.0) / 2)
    assert rule.earliest("other", 0, 0.0) <= 0.0


def test_unknown_rule_is_named_in_the_error():
    with pytest.raises(UnknownRegistration, match="aimd"):
        create_pacing_rule("none", RATE, 4)


def test_budget_frees_a_slot_once_and_measures_slowness():
    budget = StoreBudget(1, create_pacing_rule("token-bucket", RATE, 1))
    budget.begin("p", "h", 10.0, 0.0)
    budget.adopt("p", 7)
    assert budget.earliest("h", 5.0) == float("inf")
    budget.end(7, False, 40.0)
    budget.end(7, False, 40.0)
    assert budget.held == 0
    assert budget.slowdown > 1.5
    assert budget.earliest("h", 40.0) <= 40.0
