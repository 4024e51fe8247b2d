"""Tokens that are queued for, sent late, exchanged, or spent without an owner."""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fleetparts import build_workspace
from jasminewharf.bench.lending_checks import find_worst_window
from jasminewharf.bench.lending_model import (
    DEFAULT_BOUNDS,
    POLICIES,
    Call,
    LendingFleet,
    Sent,
)
from jasminewharf.bench.virtual import run_virtual
from jasminewharf.decisions.entryrates import EntryRates
from jasminewharf.decisions.lending import OverrunLimits, TokenLender, TokenTicket
from jasminewharf.decisions.ratebuckets import LATE_SEND_S, RateBucket
from jasminewharf.services.lending import Charge, TokenPatience

EXACT = OverrunLimits(8.0, 0.0, 0.0)


def build_lender(rate=1_000.0, burst=1_000.0, limits=EXACT):
    spec = build_workspace(rate=rate, burst=burst)
    return spec, TokenLender(limits, 0.0, is_first=True)


def empty(spec, lender, now=0.0):
    assert lender.lend(spec, spec.burst, 0.0, now).is_lent


@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.4), st.floats(100, 2_000), st.floats(0, 1)),
        max_size=150,
    ),
    st.sampled_from([2_000.0, 10_000.0, 35_000.0]),
    st.sampled_from([0.0, 1.0, 8.0]),
)
@settings(deadline=None)
def test_tokens_that_are_sent_late_stay_within_the_window(requests, rate, carry_s):
    """All entries hold tokens, in advance too, for as long as they may, and send."""
    bounds = DEFAULT_BOUNDS
    limits = OverrunLimits(8.0, 0.1, bounds.rate_slack_tokens, carry_s)
    spec, lender = build_lender(rate, rate, limits)
    now, sent, asking = 0.0, [], []
    for number, (pause_s, tokens, late) in enumerate(requests, 1):
        now += pause_s
        asking.append(TokenTicket(f"e-{number % 30}", number, tokens, 0.25))
        for ticket in list(asking):
            loan = lender.ask(spec, ticket, now)
            if not loan.is_queued:
                asking.remove(ticket)
            if loan.is_lent:
                call = Call(now, 0, "guild", ticket.tokens + loan.advance)
                sent.append(Sent(now + late * LATE_SEND_S, call, 1))
    assert find_worst_window(sent, spec, bounds) <= 1.0


def test_lost_answer_does_not_cost_the_tokens_twice():
    spec, lender = build_lender()
    ticket = TokenTicket("e-1", 7, 800.0, 0.1)
    assert lender.ask(spec, ticket, 0.0).is_lent
    assert lender.ask(spec, ticket, 0.0).is_lent
    assert lender.read_level("guild") == 200.0


def test_queued_request_gets_its_tokens_when_it_was_told():
    spec, lender = build_lender()
    empty(spec, lender)
    ticket = TokenTicket("e-1", 1, 200.0, 0.25)
    loan = lender.ask(spec, ticket, 0.0)
    assert (loan.is_lent, loan.is_queued) == (False, True)
    assert loan.wait_s == pytest.approx(0.2)
    assert not lender.ask(spec, ticket, 0.1).is_lent
    assert lender.ask(spec, ticket, loan.wait_s + 0.001).is_lent


def test_request_that_cannot_be_served_in_time_is_refused_at_once():
    """Waiting for nothing would use up the caller's time."""
    spec, lender = build_lender()
    empty(spec, lender)
    for number in range(3):
        ticket = TokenTicket(f"e-{number}", 1, 100.0, 0.25)
        assert lender.ask(spec, ticket, 0.0).is_queued
    refused = lender.ask(spec, TokenTicket("e-3", 1, 100.0, 0.25), 0.0)
    assert not refused.is_queued
    assert refused.wait_s == pytest.approx(0.4)


def test_refused_requests_are_told_to_come_back_one_after_the_other():
    """All came back at the same moment, and all but one were refused again."""
    spec, lender = build_lender()
    empty(spec, lender)
    tickets = [TokenTicket("e-1", number, 100.0, 0.0) for number in range(1, 100)]
    waits = [lender.ask(spec, ticket, 0.0).wait_s for ticket in tickets]
    assert waits[:30] == sorted(waits[:30])
    assert waits[29] - waits[0] == pytest.approx(2.9)
    assert max(waits) <= 4.2


def test_tokens_of_a_request_that_does_not_ask_again_go_to_others():
    """An entry that ends must not keep its requests' places."""
    spec, lender = build_lender()
    empty(spec, lender)
    assert lender.ask(spec, TokenTicket("e-1", 1, 200.0, 0.25), 0.0).is_queued
    assert not lender.ask(spec, TokenTicket("e-2", 1, 900.0, 0.0), 0.5).is_lent
    assert lender.ask(spec, TokenTicket("e-2", 2, 1_000.0, 0.0), 1.0).is_lent


def test_request_that_has_waited_for_its_model_is_next():
    spec, lender = build_lender(rate=10_000.0)
    empty(spec, lender)
    first = [TokenTicket("e-1", number, 400.0, 1.0) for number in range(5)]
    assert all(lender.ask(spec, ticket, 0.0).is_queued for ticket in first)
    loaded = TokenTicket("e-2", 1, 400.0, 1.0, waited_s=2.0)
    assert lender.ask(spec, loaded, 0.0).wait_s <= 0.09


def test_lowered_rate_serves_what_it_allows_at_once():
    """Loans under the old rate left an empty bucket to the new one."""
    limits = OverrunLimits(8.0, 0.1, 7_400.0)
    spec, lender = build_lender(10_000.0, 10_000.0, limits)
    while lender.lend(spec, 1_000.0, 0.0, 0.0).is_lent:
        pass
    low = spec._replace(rate_per_s=2_000.0, burst=2_000.0)
    assert lender.lend(low, 2_000.0, 0.0, 0.01).is_lent


def test_raised_rate_counts_at_once():
    spec, lender = build_lender(1_000.0, 1_000.0)
    empty(spec, lender)
    high = spec._replace(rate_per_s=2_000.0, burst=5_000.0)
    assert lender.lend(high, 4_000.0, 0.0, 0.0).is_lent


def test_level_that_follows_from_reports_keeps_the_windows_and_no_more():
    """A new owner must neither forget nor count twice what was lent before."""
    source = random.Random(3)
    spec = build_workspace(rate=1_000.0, burst=4_000.0)
    first = RateBucket(spec, EXACT, 0.0, is_full=True)
    grants, now = [], 0.0
    for _ in range(200):
        now += source.uniform(0.05, 0.15)
        first.refill(now)
        tokens = min(source.uniform(50, 160), first.level)
        first.debit(tokens, now)
        grants.append((now, tokens))
    second = RateBucket(spec, EXACT, now, is_full=False)
    recent = [(at, tokens) for at, tokens in grants if at > now - EXACT.kept_s]
    second.replay(recent, now)
    assert second.level >= first.level - 1.0
    for begin, _ in recent:
        lent = sum(tokens for at, tokens in grants if at >= begin)
        assert lent + second.level <= 1_000.0 * (now - begin) + 4_000.0 + 1.0


def test_entry_reports_no_loan_to_the_owner_that_lent_it():
    """A new owner counted its own first loans twice, and refused others."""
    rates = EntryRates(8.0, 10, 0.0)
    rates.note_loan("guild", 100.0, 1, 5.0)
    rates.note_loan("guild", 200.0, 2, 5.1)
    ((workspace, items),) = rates.report(2, 5.2)
    assert (workspace, [tokens for _, tokens in items]) == ("guild", [100.0])


@pytest.mark.parametrize("entries", [6, 30])
def test_entries_without_an_owner_do_not_spend_a_request_each_at_once(entries):
    """30 entries spent 30 requests in the moment in which the owner was lost."""
    spec = build_workspace(rate=4_000.0, burst=4_000.0)
    sent = []
    for number in range(entries):
        rates = EntryRates(8.0, entries, 0.0)
        rates.note_entries(entries, number / entries)
        for step in range(800):
            now = step * 0.01
            if not rates.use_emergency(spec, 1_250.0, now, is_isolated=False):
                sent.append(Sent(now, Call(now, 0, "guild", 1_250.0), 1))
    first_second = sum(s.call.tokens for s in sent if s.at < 1.0)
    assert 0 < first_second <= 0.6 * 4_000 * 1.5 + 1_250 * 2
    assert find_worst_window(sent, spec, DEFAULT_BOUNDS) <= 0.6


def test_tokens_that_were_held_too_long_are_exchanged():
    """A request that waited for its adapter was sent with tokens of long before."""
    spec = build_workspace(rate=1_000.0, burst=1_000.0)

    async def scenario():
        fleet = LendingFleet(
            POLICIES["queue-0.5"],
            [spec],
            2,
            random.Random(1),
            DEFAULT_BOUNDS._replace(rate_overrun=0.0, rate_slack_tokens=0.0),
        )
        await fleet.start()
        charge = Charge(fleet.entries[0].borrower, spec, 900, "id-1")
        patience = TokenPatience(0.25, 1.0)
        await charge.take(patience)
        first = charge._lot
        await asyncio.sleep(0.3)
        await charge.renew(patience)
        assert charge._lot is first
        await asyncio.sleep(1.0)
        await charge.renew(patience)
        assert charge._lot.lent_at > first.lent_at + 1.0
        bucket = fleet.lenders["c-0"]._lender._buckets["guild"]
        bucket.refill(fleet.now())
        level = bucket.level
        await fleet.stop()
        return level

    # The first tokens came back, as far as the bucket had room for them.
    assert run_virtual(scenario) == pytest.approx(100.0, abs=20.0)
