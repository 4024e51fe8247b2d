"""Loads of workspaces in virtual time: who is refused, and what the rule says."""

import random

import pytest

from jasminewharf.bench.command_lending import PATTERNS, compare_policies
from jasminewharf.bench.lending_model import POLICIES, run_lending

SEEDS = [1, 2]


def play(pattern, policy):
    return list(compare_policies([pattern], [policy], SEEDS))


@pytest.mark.parametrize("policy", ["queue-0.12", "queue-0.5", "carry-1", "carry-8"])
@pytest.mark.parametrize("pattern", list(PATTERNS))
def test_no_window_exceeds_the_rule_and_nothing_inside_it_is_refused(pattern, policy):
    """Guards the guarantee of rate and burst under each load and fault."""
    for row in play(pattern, policy):
        assert row.report.worst <= 1.0, row
        assert row.report.inside_burst == 0, row


@pytest.mark.parametrize("pattern", ["neighbour", "burst", "over"])
def test_busy_neighbour_costs_a_workspace_inside_its_rate_nothing(pattern):
    (row, _) = [r for r in play(pattern, "queue-0.5") if r.workspace == "small"]
    assert (row.report.refusals, row.report.in_time) == (0, 1.0)


@pytest.mark.parametrize("policy", ["default", "queue-0.5"])
@pytest.mark.parametrize("pattern", ["owner-lost", "entry-restarted"])
def test_nobody_inside_the_rate_is_refused_for_a_lost_owner_or_entry(pattern, policy):
    for row in play(pattern, policy):
        assert row.report.inside_burst + row.report.unavailable == 0, row


def test_new_owner_without_the_entries_reports_refuses_what_the_rate_allows():
    """Shows that the pattern finds a new owner that has to assume a low level."""
    policy = POLICIES["queue-0.5"]._replace(has_reports=False)
    pattern = PATTERNS["owner-lost"](random.Random(2))
    workspaces = [pattern.large, pattern.large._replace(name="small")]
    outcome = run_lending(policy, workspaces, pattern.calls, pattern.faults, seed=2)
    assert any(told.status == 429 for told in outcome.refused)


def test_longer_waits_and_kept_rate_serve_more_of_a_burst_at_once():
    def count_refusals(policy):
        rows = [r for r in play("burst", policy) if r.workspace == "large"]
        return sum(row.report.refusals for row in rows)

    ahead, queued, carried = map(count_refusals, ["ahead-0.12", "queue-0.5", "carry-1"])
    assert carried < queued < ahead


@pytest.mark.parametrize(
    ("pattern", "weak", "strong"),
    [("sizes", "huge", "tiny"), ("mixed", "interactive", "batch")],
)
def test_each_kind_of_calls_has_its_part_of_a_rate_that_is_exceeded(
    pattern, weak, strong
):
    """Small calls passed large ones, and patient calls held all places."""

    def sum_in_time(policy, kind):
        rows = [row for row in play(pattern, policy) if row.kind == kind]
        return sum(row.report.in_time for row in rows) / len(rows)

    assert sum_in_time("queue-0.5", weak) > sum_in_time("ahead-0.12", weak)
    assert sum_in_time("queue-0.5", strong) >= 0.5
