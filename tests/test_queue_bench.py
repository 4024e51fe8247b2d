"""The measurement is repeatable and can tell a worse policy from a better one."""

import pytest

from jasminewharf.bench.bursts import BURSTS, measure_coalescing, run_burst
from jasminewharf.bench.queues import compute_entitlement, run_queue, summarise
from jasminewharf.bench.routes import FLEETS, POLICIES, run_router
from jasminewharf.bench.workloads import SCENARIOS

SHORT = {name: item._replace(seconds=200.0) for name, item in SCENARIOS.items()}


def measure(name, queue, admit_all=False):
    return summarise(SHORT[name], run_queue(SHORT[name], queue, admit_all, 1))


def test_same_seed_gives_the_same_figures():
    assert measure("plans", "fair") == measure("plans", "fair")


def test_fair_queue_protects_the_other_workspaces_from_a_greedy_one():
    fair, fifo = measure("greedy", "fair"), measure("greedy", "fifo")
    assert fair["worst_workspace_share"] > 0.9 > fifo["worst_workspace_share"]


def test_overstated_costs_do_not_lower_a_share():
    assert measure("overstated", "fair")["worst_workspace_share"] > 0.8


def test_questions_beside_plans_wait_less_than_in_first_in_first_out():
    fair, fifo = measure("plans", "fair"), measure("plans", "fifo")
    assert fair["interactive_wait_p99_s"] < 0.5 * fifo["interactive_wait_p99_s"]


def test_admission_prevents_calls_that_run_and_are_late():
    assert measure("overload", "fair")["late_share"] < 0.05
    assert measure("overload", "fair", True)["late_share"] > 0.2


def test_nothing_is_refused_below_capacity():
    assert measure("steady", "fair")["refused_share"] == 0


def test_burst_admission_lies_between_its_baselines():
    burst = BURSTS["large burst"]
    estimated = run_burst(burst, "by estimate", 1, 20)
    everything = run_burst(burst, "admit all", 1, 20)
    assert estimated["late_share"] < 0.1 < everything["late_share"]
    assert estimated["done_share"] > 0.8 * everything["done_share"]


def test_choice_of_two_with_affinity_beats_random_routing():
    fleet = FLEETS["many entries"]._replace(seconds=20.0)
    chosen = run_router(fleet, POLICIES["two_choices"], 1)
    drawn = run_router(fleet, POLICIES["random"], 1)
    assert chosen["first_token_p99_s"] < drawn["first_token_p99_s"]
    assert chosen["cached_share"] > drawn["cached_share"]


def test_ejection_and_retries_hide_a_failing_server():
    fleet = FLEETS["one failing server"]
    fleet = fleet._replace(seconds=60.0, failing_between=(20.0, 50.0))
    with_both = run_router(fleet, POLICIES["two_choices"], 1)
    without = run_router(fleet, POLICIES["without both"], 1)
    assert with_both["failed_share"] < 0.01 < without["failed_share"]


@pytest.mark.parametrize("interval_ms", [12, 20, 30])
def test_coalescing_keeps_the_time_between_tokens(interval_ms):
    figures = measure_coalescing(1, 2, interval_ms / 1000)
    assert figures["token_gap_p95_ms"] < 39
    assert figures["messages_per_s"] < 150


def test_entitlement_is_the_weighted_max_min_share():
    entitled = compute_entitlement({"a": 10, "b": 90, "c": 90}, {"b": 2.0}, 100)
    assert entitled == {"a": 10, "b": pytest.approx(60), "c": pytest.approx(30)}
