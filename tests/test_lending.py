"""Fleet-wide rate limits of workspaces."""

from hypothesis import given
from hypothesis import strategies as st

from fleetparts import build_workspace
from jasminewharf.decisions.lending import (
    Advance,
    EmergencyBucket,
    OverrunLimits,
    TokenLender,
)

LIMITS = OverrunLimits(8.0, 0.1, 7_500.0)


def allowed(spec, window_s=8.0):
    owed = spec.rate_per_s * window_s + spec.burst
    return owed * 1.1 + 7_500.0


def spend(lender, spec, requests):
    """Return pairs of time and lent tokens, including advances."""
    lent = []
    now = 0.0
    for pause, tokens in requests:
        now += pause
        loan = lender.lend(spec, tokens, 0.0, now)
        if loan.is_lent:
            lent.append((now, tokens + loan.advance))
    return lent


def worst_window(lent, window_s=8.0):
    return max(
        (
            sum(t for at, t in lent if start <= at < start + window_s)
            for start, _ in lent
        ),
        default=0.0,
    )


@given(
    st.lists(st.tuples(st.floats(0.0, 0.5), st.floats(100, 3_000)), max_size=120),
    st.sampled_from([1_900.0, 10_000.0, 35_000.0]),
)
def test_no_window_exceeds_what_is_allowed(requests, rate):
    """One workspace sends many times its rate at every entry."""
    spec = build_workspace(rate=rate, burst=rate)
    lender = TokenLender(LIMITS, 0.0, is_first=True)
    assert worst_window(spend(lender, spec, requests)) <= allowed(spec)


def test_takeover_in_the_middle_of_an_overload_stays_within_the_window():
    """The owner fails while a workspace is using its whole rate and burst."""
    spec = build_workspace(rate=20_000.0, burst=20_000.0)
    requests = [(0.01, 1_000.0)] * 400
    lent = spend(TokenLender(LIMITS, 0.0, is_first=True), spec, requests)
    second = TokenLender(LIMITS, 4.0, is_first=False)
    now = 4.0
    for pause, tokens in requests:
        now += pause
        loan = second.lend(spec, tokens, 0.0, now)
        if loan.is_lent:
            lent.append((now, tokens + loan.advance))
    assert worst_window(lent) <= allowed(spec)


def test_lowered_rate_binds_the_next_loan():
    lender = TokenLender(LIMITS, 0.0, is_first=True)
    spec = build_workspace(rate=50_000.0, burst=50_000.0)
    assert lender.lend(spec, 1_000.0, 0.0, 0.0).is_lent
    low = spec._replace(rate_per_s=100.0, burst=100.0)
    total = sum(
        1_000.0 for n in range(100) if lender.lend(low, 1_000.0, 0.0, n * 0.08).is_lent
    )
    assert total <= allowed(low)


def test_workspace_below_its_rate_is_not_refused():
    """A workspace at half of its rate must never be refused."""
    spec = build_workspace(rate=10_000.0, burst=10_000.0)
    lender = TokenLender(LIMITS, 0.0, is_first=False)
    requests = [(0.2, 1_000.0)] * 100
    assert len(spend(lender, spec, requests)) == 100


def test_short_wait_is_lent_ahead_and_a_long_one_refused():
    spec = build_workspace(rate=1_000.0, burst=1_000.0)
    lender = TokenLender(OverrunLimits(8.0, 0.0, 0.0), 0.0, is_first=True)
    assert lender.lend(spec, 1_000.0, 0.0, 0.0) == (True, 0.0, 0.0, False)
    loan = lender.lend(spec, 50.0, 0.06, 0.0)
    assert loan.is_lent
    assert loan.wait_s == 0.05
    refused = lender.lend(spec, 500.0, 0.06, 0.0)
    assert not refused.is_lent
    assert refused.wait_s > 0.5


def test_advance_expires():
    """Advances that never expire would add up to a second burst."""
    advance = Advance()
    advance.add(500.0, 1, 0.0, 0.0)
    assert advance.take(200.0, 0.5)
    assert not advance.take(200.0, 1.5)


def test_emergency_buckets_together_stay_under_the_rate():
    """The owner is unreachable for all entries at the same time."""
    spec = build_workspace(rate=10_000.0, burst=10_000.0)
    entries = [EmergencyBucket() for _ in range(6)]
    lent = []
    for step in range(1_600):
        now = step * 0.01
        for bucket in entries:
            if not bucket.take(spec, len(entries), 1_000.0, now):
                lent.append((now, 1_000.0))
    assert worst_window(lent) <= allowed(spec)


@given(st.sampled_from([4_000.0, 16_329.0, 35_000.0]), st.sampled_from([4, 6]))
def test_lost_owner_and_its_successor_stay_within_the_window(rate, count):
    """The owner freezes while one workspace sends many times its rate.

    The first owner has lent the whole burst, every entry spends its emergency bucket,
    and the second owner starts with a fraction of the burst.
    """
    spec = build_workspace(rate=rate, burst=rate)
    first = TokenLender(LIMITS, 0.0, is_first=True)
    second = TokenLender(LIMITS, 3.4, is_first=False)
    entries = [EmergencyBucket() for _ in range(count)]
    lent = []
    for step in range(1_200):
        now = step * 0.01
        if 2.5 <= now < 3.4:
            taken = [not e.take(spec, count, 1_250.0, now) for e in entries]
            lent += [(now, 1_250.0)] * sum(taken)
            continue
        lender = first if now < 2.5 else second
        loan = lender.lend(spec, 1_250.0, 0.06, now)
        if loan.is_lent:
            lent.append((now, 1_250.0 + loan.advance))
    assert worst_window(lent) <= allowed(spec)


def test_tokens_of_requests_that_did_not_run_are_credited():
    """Many entries receive long requests for rare models and refuse most of them.

    Entries kept the tokens of refused requests until they expired, so the workspace
    was refused although it had spent little.
    """
    spec = build_workspace(rate=1_000.0, burst=10_000.0)
    lender = TokenLender(OverrunLimits(8.0, 0.0, 0.0), 0.0, is_first=True)
    for step in range(100):
        now = step * 0.1
        assert lender.lend(spec, 1_000.0, 0.0, now).is_lent, f"refused at {now}"
        advance = Advance()
        advance.add(1_000.0, 1, now, now)
        assert advance.expire(now + 0.5) == (0.0, now + 0.5)
        tokens, lent_at = advance.expire(now + 1.0)
        lender.take_back(spec, tokens, lent_at, now + 0.05)


def test_tokens_that_would_have_overflowed_are_not_credited():
    """Tokens returned to a full bucket must not add to rate and burst."""
    spec = build_workspace(rate=1_000.0, burst=1_000.0)
    lender = TokenLender(OverrunLimits(8.0, 0.0, 0.0), 0.0, is_first=True)
    assert lender.lend(spec, 1_000.0, 0.0, 0.0).is_lent
    assert lender.take_back(spec, 1_000.0, 0.0, 1.5) == 0.0
    assert lender.lend(spec, 1_000.0, 0.0, 1.5).is_lent
    assert not lender.lend(spec, 1_000.0, 0.0, 1.6).is_lent


@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.5), st.floats(50.0, 3_000.0), st.floats(0.0, 5.0)),
        max_size=120,
    ),
    st.integers(0, 3),
)
def test_returns_keep_every_window_within_the_rate(requests, spent_of_four):
    """Tokens are lent and later spent or returned in any order."""
    spec = build_workspace(rate=1_000.0, burst=4_000.0)
    limits = OverrunLimits(8.0, 0.0, 0.0)
    lender = TokenLender(limits, 0.0, is_first=True)
    now, spent, pending = 0.0, [], []
    for number, (pause_s, tokens, kept_s) in enumerate(requests):
        now += pause_s
        for due in sorted(item for item in pending if item[0] <= now):
            pending.remove(due)
            lender.take_back(spec, due[2], due[1], due[0])
        loan = lender.lend(spec, tokens, 0.0, now)
        if not loan.is_lent:
            continue
        if number % 4 < spent_of_four:
            spent.append((now, tokens))
        else:
            pending.append((now + kept_s, now, tokens))
        pending.append((now + 1.0, now, loan.advance))
    for start, _ in spent:
        window = sum(t for at, t in spent if start <= at < start + 8.0)
        assert window <= 1_000.0 * 8.0 + 4_000.0 + 1e-6
