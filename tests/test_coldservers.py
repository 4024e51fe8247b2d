"""Servers that can turn cold: the bound on sends in any second, and who knows what."""

import math

import pytest

from jasminewharf import defaults
from jasminewharf.bench.cold_model import ColdScenario, find_fullest_second, run_cold
from jasminewharf.decisions.backpressure import ServerIncarnation
from jasminewharf.decisions.coldservers import (
    ColdRule,
    ColdServerTable,
    read_cold_time,
)
from jasminewharf.decisions.permits import PermitKey, PermitQueue, PermitRequest
from jasminewharf.decisions.sendbounds import (
    SendBound,
    SpacedShare,
    rank_entry,
    split_budget,
)

RULE = ColdRule(23.0, 3.0)
BOUND = 23.0 * 1.5 + 5
TURNS = tuple(float(at) for at in range(5, 28, 4))
LEADER_LOST = tuple((at - 0.8, "kill-leader") for at in TURNS[::2])


def build_server(found_at=0.0, rule=RULE):
    table = ColdServerTable()
    table.set_rules({"llm": rule} if rule else {})
    return table.find(ServerIncarnation("i-1", 1), "llm", found_at)


@pytest.mark.parametrize("nodes", [1, 4, 31, 60])
@pytest.mark.parametrize("seed", range(4))
def test_bound_holds_for_all_entries_under_faults(nodes, seed):
    """Warm traffic and bursts met a server that had just turned cold.

    Leaders and entries are killed, cut off and restarted, reports late or lost.
    """
    bursts = tuple((at + 0.05, 60) for at in TURNS)
    scenario = ColdScenario(
        nodes, requests_per_s=40.0, turns=TURNS, bursts=bursts, faults=8, loss=0.02
    )
    assert run_cold(scenario, seed).fullest <= BOUND


@pytest.mark.parametrize("per_s", [0.2, 2.0, 200.0])
def test_bound_holds_for_other_rates(per_s):
    scenario = ColdScenario(
        31, per_s, max(2 * per_s, 8.0), turns=TURNS, faults=4, loss=0.02
    )
    outcome = run_cold(scenario, 1)
    assert outcome.fullest <= per_s * 1.5 + 5
    assert outcome.served > 0


@pytest.mark.parametrize("seed", range(4))
def test_bound_holds_when_the_owner_is_lost_at_a_turn(seed):
    """The new owner issued a second's permits beside those of the one before it."""
    scenario = ColdScenario(
        31, requests_per_s=60.0, turns=TURNS, strikes=LEADER_LOST, loss=0.02
    )
    outcome = run_cold(scenario, seed)
    assert outcome.fullest <= BOUND
    assert outcome.served >= 200


def test_bound_holds_without_an_agent():
    """Nothing tells of a turn, so that the bound must not rest on it."""
    scenario = ColdScenario(
        31, requests_per_s=60.0, turns=TURNS, has_agent=False, faults=4
    )
    assert run_cold(scenario, 2).fullest <= BOUND


def test_usual_traffic_is_hardly_held():
    """A busy engine normally gets 5 to 15 requests a second."""
    outcome = run_cold(ColdScenario(31, requests_per_s=12.0, turns=TURNS), 1)
    assert outcome.waits_s[len(outcome.waits_s) * 9 // 10] <= 0.1
    assert outcome.refused <= 0.05 * outcome.served


def test_all_entries_learn_of_a_turn_within_a_second():
    outcome = run_cold(ColdScenario(31, turns=TURNS), 1)
    assert len(outcome.known_cold_s) == len(TURNS)
    assert max(outcome.known_cold_s) <= 1.0


def test_burst_at_an_idle_server_stays_within_the_permits():
    bound = SendBound(25, 0.0)
    queue = PermitQueue(None, 10.0, None, bound)
    waiting = {
        number: PermitRequest(PermitKey(1, number), "w", 1, 10.0, 20.0)
        for number in range(60)
    }
    issued = []
    for step in range(60):
        now = 10.0 + step * 0.05
        for request in waiting.values():
            queue.request(request, now)
        for verdict in queue.decide(now):
            del waiting[verdict.request.key.number]
            issued.append(now)
    assert issued.count(10.0) == 25
    assert find_fullest_second(issued) == 25
    assert len(issued) == 50


def test_permits_of_a_former_owner_count():
    """A new owner issued as if nobody had sent in the second before."""
    bound = SendBound(25, 5.0)
    assert bound.find_room(4.0) == pytest.approx(1.0)
    queue = PermitQueue(None, 4.0, None, bound)
    for number in range(60):
        request = PermitRequest(PermitKey(1, number), "w", 1, 4.0, 20.0)
        queue.request(request, 4.0)
    issued = [now / 20 for now in range(80, 120) for _ in queue.decide(now / 20)]
    assert min(issued) >= 5.0
    assert sum(at < 5.5 for at in issued) <= 9


def test_unused_permit_is_free_again():
    queue = PermitQueue(None, 10.0, None, SendBound(1, 0.0))
    first = PermitRequest(PermitKey(1, 1), "w", 1, 10.0, 20.0)
    second = PermitRequest(PermitKey(1, 2), "w", 1, 10.0, 20.0)
    queue.request(first, 10.0)
    assert len(queue.decide(10.0)) == 1
    queue.request(second, 10.1)
    assert queue.decide(10.1) == []
    queue.cancel(first.key, 10.2)
    assert len(queue.decide(10.2)) == 1


def test_named_limit_and_bound_hold_together():
    """A server can name a limit while it is cold."""
    queue = PermitQueue(2.0, 10.0, None, SendBound(25, 0.0))
    issued = 0
    for step in range(200):
        now = 10.0 + step * 0.05
        request = PermitRequest(PermitKey(1, step), "w", 1, now, now + 20.0)
        queue.request(request, now)
        issued += len(queue.decide(now))
    assert 16 <= issued <= 22
    queue.set_limit(None, 20.0)
    assert len(queue.decide(20.0)) >= 20


@pytest.mark.parametrize(
    ("per_s", "overrun", "slack"),
    [(23.0, 1.5, 5), (0.2, 1.0, 0), (1e9, 1_000, 1e6), (1.0, 0.0, 0.0)],
)
def test_parts_of_a_bound_sum_up_to_it(per_s, overrun, slack):
    budget = split_budget(per_s, overrun, slack)
    total = max(math.floor(per_s * overrun + slack), 1)
    assert budget.permits >= 1
    local = budget.warm_per_s * defaults.COLD_WARM_LAG_S
    assert budget.permits + budget.holders + local == pytest.approx(total)
    assert SendBound(min(budget.permits, 100), 0.0).per_s > 0


def test_few_entries_hold_a_place_at_each_server():
    """Each of 31 entries sent one request at once without asking."""
    entries = [f"e{n}" for n in range(31)]
    for server in ("i-1", "i-2"):
        places = sorted(rank_entry(server, entry, entries) for entry in entries)
        assert places == list(range(31))
    assert rank_entry("i-1", "e0", entries) != rank_entry("i-2", "e0", entries)


def test_entry_that_restarts_does_not_send_without_asking_at_once():
    """It may have sent right before."""
    share = SpacedShare(10.0 + defaults.COLD_SPACING_S)
    assert not share.take(10.9)
    assert share.take(11.2)
    share.give_back()
    assert share.take(11.2)
    share.note_spent(11.5)
    assert not share.take(12.5)
    assert share.take(12.7)


def test_server_that_nobody_told_of_is_cold_for_the_usual_time():
    server = build_server(found_at=10.0)
    assert server.is_cold(12.9)
    assert server.is_limited(12.9)
    assert not server.is_cold(13.1)
    assert not server.is_known_warm(13.1)


def test_server_of_a_service_without_cold_servers_is_never_cold():
    server = build_server(rule=None)
    server.note_told(3.0, 0.0, is_direct=True)
    assert not server.is_cold(1.0)
    assert not server.is_limited(1.0)


def test_most_recent_source_counts():
    server = build_server()
    server.note_told(0.0, 1.0, is_direct=True)
    assert server.is_known_warm(1.1)
    server.note_told(3.0, 5.0, is_direct=True)
    assert server.is_cold(7.9)
    # It was said before the turn and came late.
    server.note_told(0.0, 4.9, is_direct=True)
    assert server.is_cold(7.9)
    server.note_told(0.0, 6.0, is_direct=True)
    assert not server.is_cold(6.1)


def test_list_does_not_end_what_an_agent_has_said():
    """The list lags and still showed the server warm."""
    server = build_server()
    server.note_told(3.0, 5.0, is_direct=True)
    server.note_told(0.0, 5.5, is_direct=False)
    assert server.is_cold(7.9)
    server.note_told(3.0, 7.0, is_direct=False)
    assert server.is_cold(9.9)


def test_list_counts_where_the_agent_is_lost():
    server = build_server()
    server.note_told(0.0, 1.0, is_direct=True)
    server.note_told(2.0, 10.0, is_direct=False)
    assert server.is_cold(11.9)
    assert not server.is_cold(12.1)


def test_new_incarnation_is_cold_whatever_was_said_of_the_one_before():
    table = ColdServerTable()
    table.set_rules({"llm": RULE})
    first = table.find(ServerIncarnation("i-1", 1), "llm", 0.0)
    first.note_told(0.0, 50.0, is_direct=True)
    second = table.find(ServerIncarnation("i-1", 2), "llm", 50.0)
    assert second.is_cold(51.0)
    table.retain({ServerIncarnation("i-1", 2)})
    assert [server.born_ms for server, _ in table.items()] == [2]


@pytest.mark.parametrize(
    ("cold_ms", "rule", "left_s", "is_plausible"),
    [
        (None, RULE, None, True),
        (0.0, RULE, 0.0, True),
        (2_500.0, RULE, 2.5, True),
        (-1.0, RULE, None, False),
        (math.nan, RULE, None, False),
        (math.inf, RULE, 30.0, False),
        (3.2e10, RULE, 30.0, False),
        (3.2e10, ColdRule(23.0, 0.0), 60.0, False),
    ],
)
def test_cold_times_that_cannot_be_true_are_bounded(
    cold_ms, rule, left_s, is_plausible
):
    assert read_cold_time(cold_ms, rule) == (left_s, is_plausible)


def test_refused_server_counts_as_limited_until_a_permit_is_expected():
    """The same server was chosen again and again without a pause."""
    server = build_server()
    server.note_told(0.0, 1.0, is_direct=True)
    server.note_refused(2.0)
    assert server.is_limited(1.9)
    assert not server.is_cold(1.9)
    assert not server.is_limited(2.1)
