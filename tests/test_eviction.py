"""Eviction policies, memory accounting and adapter slots."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jasminewharf.decisions.adapters import (
    AdapterReservation,
    AdapterSlots,
    batch_adapters,
    choose_replica,
)
from jasminewharf.decisions.eviction import (
    EvictionWeights,
    IdleReplica,
    create_eviction_policy,
)
from jasminewharf.decisions.memory import MemoryLedger
from jasminewharf.exceptions import MemoryOvercommit

gaps = st.lists(st.floats(5, 5000), max_size=20)


def judge(policy="expected-cost", weights=EvictionWeights(), **fields):  # noqa: B008
    given_fields = {
        "idle_s": 10.0,
        "gaps": (),
        "pooled_gaps": (),
        "reload_s": 10.0,
        "accelerators": 1.0,
    } | fields
    return create_eviction_policy(policy, weights), IdleReplica(**given_fields)


def test_model_called_every_minute_is_kept_and_one_called_daily_is_not():
    policy, frequent = judge(gaps=[60.0] * 20)
    assert not policy.should_release(frequent)
    policy, rare = judge(gaps=[86400.0] * 20, pooled_gaps=[86400.0] * 20)
    assert policy.should_release(rare)


def test_periodic_model_is_released_after_its_call_is_overdue():
    fields = {"gaps": [60.0] * 20, "pooled_gaps": [60.0, 30000.0] * 20}
    policy, due = judge(idle_s=30.0, **fields)
    assert not policy.should_release(due)
    policy, overdue = judge(idle_s=120.0, **fields)
    assert policy.should_release(overdue)


@given(gaps=gaps, idle=st.floats(5, 3000), reload=st.floats(0.1, 60))
def test_dearer_cold_starts_never_make_a_kept_replica_released(gaps, idle, reload):
    fields = {"gaps": gaps, "idle_s": idle, "reload_s": reload}
    cheap, replica = judge(weights=EvictionWeights(cold_start=1.0), **fields)
    dear, _ = judge(weights=EvictionWeights(cold_start=5.0), **fields)
    if not cheap.should_release(replica):
        assert not dear.should_release(replica)


@given(gaps=gaps, idle=st.floats(5, 3000))
def test_value_of_keeping_is_finite_and_not_negative(gaps, idle):
    policy, replica = judge(gaps=gaps, idle_s=idle)
    assert 0 <= policy.retention_value(replica) < float("inf")


def test_baselines_follow_idle_time_only():
    lru, short = judge("least-recently-used", idle_s=10.0)
    _, long = judge("least-recently-used", idle_s=1e6)
    assert lru.retention_value(long) < lru.retention_value(short)
    assert not lru.should_release(long)
    ttl, _ = judge("time-to-live", EvictionWeights(ttl_s=300.0))
    assert not ttl.should_release(short._replace(idle_s=299.0))
    assert ttl.should_release(short._replace(idle_s=300.0))


def test_ledger_refuses_overcommit_and_reports_it():
    ledger = MemoryLedger()
    ledger.set_capacity("h", 100)
    ledger.reserve("h", 1, 60)
    ledger.reserve("h", 1, 60)
    with pytest.raises(MemoryOvercommit):
        ledger.reserve("h", 2, 41)
    assert ledger.find_overcommitted() == []
    ledger.restore("h", 3, 41)
    assert ledger.find_overcommitted() == ["h"]
    ledger.release("h", 3)
    ledger.release("h", 3)
    assert ledger.free_mb("h") == 40


@given(st.lists(st.tuples(st.integers(1, 40), st.floats(0, 3)), max_size=40))
def test_adapter_slots_never_exceed_the_limit(requests):
    slots = AdapterSlots(limit=30)
    now, held = 0.0, []
    for wanted, wait in requests:
        now += wait
        held = [grant for grant in held if grant.expires > now]
        grant = slots.request("agent", wanted, now)
        if grant is not None:
            held.append(grant)
        assert sum(grant.count for grant in held) <= 30


def test_new_owner_waits_for_the_grants_of_the_last_one():
    slots = AdapterSlots(limit=30, lease_s=2.0, margin_s=0.5)
    slots.start(10.0)
    assert slots.request("agent", 1, 12.4) is None
    assert slots.request("agent", 1, 12.5) is not None


def test_adapter_prefers_its_holder_and_agrees_between_entries():
    assert choose_replica("a", [1, 2, 3], {2: {"a"}}, {2: 9.0}) == 2
    first = choose_replica("a", [1, 2, 3], {}, {})
    assert first == choose_replica("a", [3, 1, 2], {}, {})
    assert choose_replica("a", [], {}, {}) is None
    assert choose_replica("a", [1, 2, 3], {}, {first: 9.0}) != first


def test_batch_holds_each_adapter_once_most_urgent_first():
    waiting = [("a", 5.0), ("b", 3.0), ("a", 1.0), ("c", 4.0)]
    assert batch_adapters(waiting, limit=2) == ["a", "b"]


@given(
    st.lists(
        st.tuples(st.sampled_from("abcdef"), st.integers(10, 60), st.booleans()),
        max_size=40,
    )
)
def test_adapters_stay_inside_the_reservation(steps):
    """Memory of an adapter whose unload is unconfirmed must not be reused."""
    reservation = AdapterReservation(100)
    leaving = []
    for name, size, confirm in steps:
        if not reservation.admit(name, size):
            leaving += reservation.evict_for(size, lambda other: other == "a")
        assert reservation.used_mb <= 100
        if confirm and leaving:
            reservation.confirm_unloaded(leaving.pop())
    assert "a" not in leaving
