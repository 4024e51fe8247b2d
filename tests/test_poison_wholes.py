"""Decisions about whole requests that crash backend servers."""

import math
from itertools import permutations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jasminewharf import defaults
from jasminewharf.bench.command_poison import SCENARIOS
from jasminewharf.bench.poison_model import run_poison
from jasminewharf.decisions.backpressure import ServerIncarnation
from jasminewharf.decisions.poison import (
    CLEAR,
    REFUSED,
    SUSPECT,
    PartEnd,
    PartEvidence,
    PartTable,
    count_trial_slots,
    find_late_identity,
    hash_parts,
    hash_request,
    hash_trial_slot,
    is_whole,
)
from jasminewharf.services.partreports import build_part_report, merge_reports

NEVER = -math.inf
SUBJECT, OTHER_SUBJECT = hash_parts("llm", ["subject", "other"])
REQUEST = hash_request("studio", "chat", "POST", "/chat/x", b"text")
SECOND = hash_request("studio", "chat", "POST", "/chat/x", b"another text")


def end(number, at, *, is_trial=False, life=1_000):
    return PartEnd(ServerIncarnation(f"i-{number}", life), at, is_trial)


def accuse(*ends, answered_at=NEVER, of=REQUEST):
    return PartEvidence(of, answered_at, ends)


def fill(*evidence):
    table = PartTable()
    for item in evidence:
        table.merge(item)
    return table


THREE = end(1, 10.0), end(2, 14.0, is_trial=True), end(3, 18.0, is_trial=True)


def test_identity_is_that_of_what_a_server_is_asked():
    """Repeats under other identifiers passed for other requests."""
    known = "studio", "chat", "POST", "/chat/x", b"text"
    assert hash_request(*known) == REQUEST
    for place, other in enumerate(("guild", "notes", "GET", "/chat/x?a", b"texts")):
        changed = list(known)
        changed[place] = other
        assert hash_request(*changed) != REQUEST
    # What one field lacks is not made up by the next.
    joined = hash_request("studio", "chat", "POST", "/chat/xt", b"ext")
    assert joined != REQUEST
    large = bytes(1_000_000)
    ids = {hash_request(*known[:4], large[:-1] + bytes([last])) for last in range(3)}
    assert len(ids) == 3


def test_requests_are_told_from_parts_and_slots():
    """A part with the number of a request would share its ends."""
    assert is_whole(REQUEST)
    assert not any(map(is_whole, (SUBJECT, hash_trial_slot("llm", 0))))


def test_request_is_on_trial_from_its_first_end_and_refused_after_three():
    """An answer to an earlier repeat put the trial off to the fourth end."""
    answered = accuse(answered_at=9.0)
    for count, standing in ((1, SUSPECT), (2, SUSPECT), (3, REFUSED)):
        table = fill(accuse(*THREE[:count]), answered)
        assert table.judge(REQUEST, 18.5).standing == standing


def test_late_ends_put_a_request_on_trial_from_the_second_on():
    """A long answer meets ends of servers that have other causes."""
    late = find_late_identity(REQUEST)
    for ends, standing in ((1, CLEAR), (2, SUSPECT), (3, REFUSED)):
        evidence = accuse(*(end(n, 10.0 * n) for n in range(1, ends + 1)), of=late)
        table = fill(evidence)
        assert table.judge(late, 30.5).standing == standing
        assert table.judge(REQUEST, 30.5).standing == CLEAR


def test_only_an_answer_to_the_request_itself_clears_it():
    """Answers to sound requests with the same subject cleared a bad one."""
    ends = [accuse(*THREE), accuse(*THREE, of=SUBJECT)]
    table = fill(*ends, accuse(answered_at=18.2, of=SUBJECT))
    assert table.judge(REQUEST, 18.5).standing == REFUSED
    assert table.judge(SUBJECT, 18.5).standing == CLEAR
    table.merge(accuse(answered_at=18.3))
    assert table.judge(REQUEST, 18.5).standing == CLEAR


def test_request_that_ends_servers_does_not_cost_its_subject():
    """Sound requests with the same subject were refused with it."""
    table = fill(accuse(*THREE), accuse(*THREE, of=SUBJECT))
    assert table.judge(REQUEST, 18.5).standing == REFUSED
    assert table.judge(SUBJECT, 18.5) == (SUSPECT, 1, 0.0)
    # An end of its own counts beside those.
    table.merge(accuse(end(4, 22.0), of=SUBJECT))
    assert table.judge(SUBJECT, 22.5) == (SUSPECT, 2, 0.0)


def test_several_bad_requests_accuse_the_part_that_they_share():
    """A part that crashes servers would be explained by each of its requests."""
    later = end(4, 30.0), end(5, 34.0, is_trial=True), end(6, 38.0, is_trial=True)
    table = fill(
        accuse(*THREE), accuse(*later, of=SECOND), accuse(*THREE, *later, of=SUBJECT)
    )
    assert table.judge(SUBJECT, 38.5).standing == REFUSED


def test_server_that_is_back_under_its_name_counts_again():
    """A service whose servers keep their names had no third end."""
    ends = [end(1, 10.0 + 3 * n, is_trial=True, life=1_000 + n) for n in range(3)]
    assert fill(accuse(*ends)).judge(REQUEST, 16.5).standing == REFUSED


def test_end_that_several_entries_have_seen_counts_once():
    """Each entry with a repeat at the server reports the same end, some late."""
    ends = [end(1, at, is_trial=True) for at in (10.0, 10.02, 13.0)]
    assert fill(accuse(*ends)).judge(REQUEST, 10.5) == (SUSPECT, 1, 0.0)


def test_report_that_comes_late_tells_of_the_same_end():
    """A frozen host reads it seconds later, as if it were new."""
    report = build_part_report(accuse(end(1, 10.0)), 10.0)
    table = PartTable()
    for heard in (10.0, 12.5, 15.0):
        merge_reports(table, [report], heard)
    assert table.judge(REQUEST, 15.1).ends == 1


def test_bad_part_is_refused_although_a_request_with_it_was():
    """Its later ends, at servers with the same names, were laid to that request."""
    later = [
        end(1 + n % 3, 22.0 + 4 * n, is_trial=True, life=1_001 + n) for n in range(5)
    ]
    table = fill(accuse(*THREE), accuse(*THREE, *later, of=SUBJECT))
    assert table.judge(SUBJECT, 42.5).standing == REFUSED


def test_request_that_comes_rarely_is_remembered():
    """A repeat every six minutes ended a server each time."""
    table = PartTable()
    for number in range(3):
        now = 10.0 + 360.0 * number
        table.forget_old(now)
        table.merge(accuse(end(number, now)))
    assert table.judge(REQUEST, now).standing == REFUSED


def test_refused_request_reaches_few_servers_later():
    """Trials each minute would end a server each minute."""
    ends = list(THREE)
    late = 0
    now = ends[-1].at
    while now < 12 * 3_600:
        left_s = fill(accuse(*ends)).judge(REQUEST, now).left_s
        if left_s <= 0:
            ends.append(end(len(ends) + 1, now, is_trial=True))
            late += 1
            continue
        now += left_s
    assert late <= 3


def test_evidence_of_more_ends_than_are_kept_is_no_news_again():
    """Nodes would tell each other the oldest ends for ever."""
    table = PartTable()
    ends = [end(n, 10.0 + 2 * n) for n in range(2 * defaults.POISON_ENDS_KEPT)]
    assert table.merge(accuse(*ends))
    assert not table.merge(accuse(*ends))


def test_refused_request_is_forgotten_in_time():
    """Memory would grow with each bad request."""
    table = fill(accuse(*THREE))
    table.forget_old(18.0 + defaults.POISON_WHOLE_REFUSED_S)
    assert table.judge(REQUEST, 20.0).standing == REFUSED
    table.forget_old(18.0 + 3 * defaults.POISON_WHOLE_REFUSED_LIMIT_S)
    assert table.is_empty


@pytest.mark.parametrize(("servers", "slots"), [(1, 1), (2, 1), (3, 1), (6, 4)])
def test_trials_leave_servers_for_the_other_callers(servers, slots):
    """Trials of several requests at once would end a whole service."""
    assert count_trial_slots(servers) == slots


evidence_lists = st.lists(
    st.builds(
        lambda of, answered, ends: accuse(*ends, answered_at=answered, of=of),
        st.sampled_from([REQUEST, SECOND, SUBJECT]),
        st.sampled_from([NEVER, 5.0, 13.0]),
        st.lists(
            st.builds(
                lambda n, is_trial: end(n, 10.0 + 2 * n, is_trial=is_trial),
                st.integers(0, 4),
                st.booleans(),
            ),
            min_size=1,
            max_size=4,
        ),
    ),
    min_size=1,
    max_size=4,
)


@given(evidence_lists)
def test_nodes_that_hear_the_same_in_any_order_judge_alike(evidence):
    """An entry that heard of a part before its request would refuse the part."""
    judgements = {
        tuple(fill(*order).judge(of, 25.0) for of in (REQUEST, SECOND, SUBJECT))
        for order in permutations(evidence)
    }
    assert len(judgements) == 1


@pytest.mark.parametrize(
    "name",
    [
        "one bad request",
        "two bad requests, polling",
        "a bad part and a request",
        "plain, three servers",
        "plain, two bad, polling",
    ],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_bad_requests_reach_no_servers_after_the_third_end(name, seed):
    """Pattern: some requests in a hundred are repeats of a few, at all entries."""
    outcome = run_poison(SCENARIOS[name]._replace(duration_s=40.0), seed)
    assert outcome.most_ends > 0
    assert outcome.late_arrivals <= 3


@pytest.mark.parametrize("name", ["no bad one, engines end", "plain, servers end"])
@pytest.mark.parametrize("seed", [1, 2])
def test_ends_without_a_bad_request_refuse_nobody_for_long(name, seed):
    """Pattern: polled and single requests while servers end of themselves."""
    outcome = run_poison(SCENARIOS[name]._replace(duration_s=40.0), seed)
    assert outcome.accused == 0
    assert outcome.refused <= outcome.sound * 0.02
