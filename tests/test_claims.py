"""Order claims: one run per window at most, and correct answers to resends.

JASMINEWHARF_CLAIM_STEPS sets the number of steps of schedules over many windows.
"""

import os
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jasminewharf.bench.claim_model import (
    Execution,
    find_repeated_run,
    run_claim_schedule,
)
from jasminewharf.decisions.claims import ClaimLog, choose_partition
from jasminewharf.defaults import CLAIM_ANSWER_LIMIT_BYTES, CLAIM_WINDOW_MS
from jasminewharf.messages.claims import (
    EndEntry,
    MakeClaim,
    SettleClaim,
    WithdrawClaim,
)
from jasminewharf.messages.codec import decode, encode

STEPS = int(os.environ.get("JASMINEWHARF_CLAIM_STEPS", "3000"))
START_MS = 10**12
HOUR_MS = 3_600_000


class Partition:
    def __init__(self, limit_bytes=10**6):
        self.log = ClaimLog(limit_bytes)
        self.index = 0

    def apply(self, command):
        self.index += 1
        return decode(self.log.apply(self.index, encode(command)))

    def claim(
        self, request="r1", key="k", digest="d", entry_ms=START_MS, leader_ms=None
    ):
        leader_ms = entry_ms if leader_ms is None else leader_ms
        return self.apply(
            MakeClaim("w", key, digest, request, "e", 7, entry_ms, leader_ms)
        ).state

    def settle(self, request="r1", key="k", body=b"paid", outcome="done"):
        command = SettleClaim(
            "w", key, request, outcome, 200, [], body, START_MS, START_MS
        )
        return self.apply(command).state

    def release(self, request="r1", digest="d"):
        command = WithdrawClaim("w", "k", digest, request, START_MS, START_MS)
        return self.apply(command).state


@pytest.mark.parametrize("seed", range(12))
def test_schedule_of_one_window_is_linearizable_and_runs_once(seed):
    model = run_claim_schedule(seed, 400, long=False)
    assert model.executions
    assert find_repeated_run(model.executions) is None
    assert model.wrong_answers == []
    assert model.find_unlinearizable() is None


@pytest.mark.parametrize("seed", range(8))
def test_schedule_over_many_windows_never_reopens_inside_one(seed):
    model = run_claim_schedule(seed, STEPS, long=True)
    # More runs than keys show that windows ended and claims reopened.
    assert len(model.executions) > 6
    assert find_repeated_run(model.executions) is None
    assert model.wrong_answers == []


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 300))
def test_any_schedule_runs_an_order_at_most_once(seed, steps):
    model = run_claim_schedule(seed, steps, long=True)
    assert find_repeated_run(model.executions) is None
    assert model.wrong_answers == []


def test_checkers_reject_a_log_that_stores_no_claims(monkeypatch):
    """Checks that the checkers can fail."""
    monkeypatch.setattr(ClaimLog, "_store", lambda *_: None)
    models = [run_claim_schedule(seed, 400, long=False) for seed in range(5)]
    assert any(find_repeated_run(model.executions) for model in models)
    assert any(model.find_unlinearizable() for model in models)


def test_checkers_reject_a_window_that_trusts_the_leader_alone(monkeypatch):
    original = ClaimLog._advance_time
    monkeypatch.setattr(
        ClaimLog, "_advance_time", lambda log, _, leader: original(log, leader, leader)
    )
    models = [run_claim_schedule(seed, 3000, long=True) for seed in range(5)]
    assert any(find_repeated_run(model.executions) for model in models)


def test_checker_rejects_a_run_repeated_inside_the_window():
    inside = [Execution("k", 0, "a"), Execution("k", CLAIM_WINDOW_MS - 1, "b")]
    outside = [Execution("k", 0, "a"), Execution("k", CLAIM_WINDOW_MS, "b")]
    assert find_repeated_run(inside) == "k"
    assert find_repeated_run(outside) is None


def test_resend_waits_then_gets_the_recorded_answer():
    partition = Partition()
    assert partition.claim("r1") == "claimed"
    assert partition.claim("r1") == "claimed"
    assert partition.claim("r2") == "running"
    assert partition.settle("r1") == "done"
    assert partition.claim("r2") == "done"
    assert partition.claim("r3", digest="other") == "conflict"


def test_claim_of_an_ended_entry_is_unknown_until_its_answer_arrives():
    partition = Partition()
    partition.claim("r1")
    partition.apply(EndEntry(7))
    assert partition.claim("r2") == "unknown"
    assert partition.settle("r2") == "conflict"
    assert partition.settle("r1") == "done"
    assert partition.claim("r2") == "done"


def test_late_duplicate_of_a_released_claim_does_not_take_it_again():
    partition = Partition()
    assert partition.release("r1") == "released"
    assert partition.claim("r1") == "released"
    assert partition.claim("r2") == "claimed"
    assert partition.release("r1") == "running"
    assert partition.claim("r3") == "running"


@pytest.mark.parametrize("offset_hours", [-1000, -24, 24, 100_000])
def test_leader_clock_alone_does_not_reopen_a_claim(offset_hours):
    partition = Partition()
    wrong_ms = START_MS + offset_hours * HOUR_MS
    partition.claim("r1", leader_ms=wrong_ms)
    partition.settle("r1")
    later_ms = START_MS + CLAIM_WINDOW_MS - 1
    assert partition.claim("r2", entry_ms=later_ms, leader_ms=wrong_ms) == "done"
    assert partition.claim("r3", entry_ms=later_ms, leader_ms=later_ms) == "done"


def test_claim_expires_after_the_window_and_frees_its_memory():
    partition = Partition()
    partition.claim("r1")
    partition.claim("r2", key="other", entry_ms=START_MS + 25 * HOUR_MS)
    assert len(partition.log) == 1
    assert partition.claim("r3", entry_ms=START_MS + 25 * HOUR_MS) == "claimed"


def test_full_partition_refuses_new_claims_and_keeps_old_ones():
    partition = Partition(limit_bytes=20_000)
    states = [partition.claim(f"r{n}", key=f"k{n}") for n in range(200)]
    admitted = states.index("full")
    assert set(states[:admitted]) == {"claimed"} and set(states[admitted:]) == {"full"}
    assert partition.settle("r0", key="k0", body=b"x" * 100) == "done"
    assert partition.settle("r1", key="k1", body=b"x" * 30_000) == "unknown"
    assert partition.log.size_bytes < 20_000


def test_answer_above_the_limit_leaves_only_its_status():
    partition = Partition()
    partition.claim("r1")
    body = b"x" * (CLAIM_ANSWER_LIMIT_BYTES + 1)
    assert partition.settle("r1", body=body) == "unknown"
    answer = partition.apply(MakeClaim("w", "k", "d", "r2", "e", 7, START_MS, START_MS))
    assert (answer.state, answer.status, answer.body) == ("unknown", 200, b"")


def test_snapshot_restores_claims_and_their_expiry():
    partition = Partition()
    partition.claim("r1")
    partition.settle("r1")
    partition.claim("r2", key="running")
    copy = Partition()
    copy.log.restore(partition.log.snapshot())
    assert copy.log.snapshot() == partition.log.snapshot()
    assert copy.log.size_bytes == partition.log.size_bytes
    copy.apply(EndEntry(7))
    assert copy.claim("r3", key="running") == "unknown"
    copy.claim("r4", key="late", entry_ms=START_MS + 25 * HOUR_MS)
    assert len(copy.log) == 1


def test_foreign_command_changes_nothing():
    partition = Partition()
    before = partition.log.snapshot()
    assert decode(partition.log.apply(1, b"\x00")).state == "malformed"
    assert partition.log.snapshot() == before


def test_partitions_are_even_and_separate_workspaces():
    source = random.Random(1)
    counts = [0] * 4
    for _ in range(4000):
        counts[choose_partition("w", str(source.random()), 4)] += 1
    assert max(counts) < 1.2 * min(counts)
