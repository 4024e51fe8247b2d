"""The check of configurations finds breaches that are planted."""

import pytest

from jasminewharf.bench.configuration_checks import (
    CORE,
    LEFT,
    QUORUM,
    Call,
    Change,
    Read,
    Send,
    Span,
    find_breaches,
    find_unrecovered,
)

# Version 2 moves the route, version 3 removes it.
OUTCOMES = {1: "old", 2: "new", 3: "404"}


def build_change(version, sent_at, answered_at, status=200, **changes):
    sends = [Send(sent_at, "c", status, answered_at)]
    return Change(version, sends, lambda target: OUTCOMES[version], **changes)


CHANGES = [
    build_change(1, 0.0, 0.1),
    build_change(2, 10.0, 10.2),
    build_change(3, 20.0, 20.2),
]


def build_call(at, outcome, incarnation=1):
    return Call(at, at + 0.1, "e", incarnation, "/x", outcome)


def check(reads=(), calls=(), spans=(), changes=CHANGES):
    return find_breaches(changes, reads, calls, spans)


def test_sound_record_has_no_breach():
    calls = [(9, "old"), (10.1, "new"), (12.1, "new"), (21, "new"), (22.3, "404")]
    reads = [Read(11.0, "c", 1), Read(12.3, "c", 2), Read(22.3, "c", None)]
    assert check(reads, [build_call(*call) for call in calls]) == []


def test_older_version_two_seconds_after_the_acknowledgement_is_found():
    assert check(calls=[build_call(12.1, "old")]) == []
    found = check(calls=[build_call(12.3, "old")])
    assert len(found) == 1
    assert "by version 1 though 2 has to be in force" in found[0]


@pytest.mark.parametrize("subject", ["e", QUORUM])
def test_entry_out_of_touch_has_no_bound(subject):
    late = [build_call(18.0, "old")]
    assert check(calls=late, spans=[Span(subject, 9.0, 15.5)]) == []
    assert bool(check(calls=late, spans=[Span("e", 9.0, 14.5)]))


def test_unstable_core_adds_five_seconds_and_no_more():
    spans = [Span(CORE, 9.0, 19.0)]
    assert check(calls=[build_call(17.1, "old")], spans=spans) == []
    assert check(calls=[build_call(17.3, "old")], spans=spans) != []


def test_process_that_goes_back_is_found():
    spans = [Span("e", 0.0, 30.0)]
    back = [build_call(11.0, "new"), build_call(11.4, "old")]
    assert "went back to version 1 from 2" in check(calls=back, spans=spans)[0]
    within = [build_call(11.0, "new"), build_call(11.3, "old")]
    assert check(calls=within, spans=spans) == []
    restarted = [build_call(11.0, "new", 1), build_call(11.4, "old", 2)]
    assert check(calls=restarted, spans=spans) == []


def test_version_before_its_sending_is_found():
    found = check(calls=[build_call(9.0, "new")], spans=[Span("e", 0, 30)])
    assert "no version that was sent allows" in found[0]


def test_refused_version_in_force_is_found():
    invalid = build_change(2, 10.0, 10.2, 400, is_valid=False)
    found = check(calls=[build_call(12.3, "new")], changes=[CHANGES[0], invalid])
    assert "no version that was sent allows" in found[0]


def test_acknowledged_invalid_and_refused_valid_versions_are_found():
    invalid = build_change(2, 10.0, 10.2, 200, is_valid=False)
    assert "acknowledged the invalid version 2" in check(changes=[invalid])[0]
    refused = build_change(2, 10.0, 10.2, 400)
    assert any(
        "refused the valid version 2" in line for line in check(changes=[refused])
    )


def test_older_read_is_found_wherever_it_was():
    spans = [Span(CORE, 0.0, 30.0), Span(QUORUM, 0.0, 30.0), Span("c", 0.0, 30.0)]
    assert check([Read(12.3, "c", 1)], spans=spans) != []
    assert check([Read(12.1, "c", 1)], spans=spans) == []
    assert "not as it was sent" in check([Read(12.3, "c", 2, False)])[0]


def test_late_acknowledgement_counts_while_the_core_is_stable():
    late = build_change(2, 10.0, 14.1)
    assert "no acknowledgement within 4 s" in check(changes=[late])[0]
    assert check(changes=[late], spans=[Span(CORE, 7.1, 7.1)]) == []
    assert check(changes=[late], spans=[Span("c", 13.0, 13.5)]) == []
    assert check(changes=[late], spans=[Span("e", 13.0, 13.5)]) != []
    left = late._replace(sends=[Send(9.9, "c", LEFT, 9.91), *late.sends])
    assert check(changes=[left]) == []


def test_added_routes_that_are_hardly_served_are_found():
    added = Change(2, [Send(1.0, "c", 200, 1.1)], lambda target: "new")
    first = Change(1, [Send(0.0, "c", 200, 0.1)], lambda t: "404" if t == "/y" else "a")
    old = [Call(10.0 + n, 10.1 + n, "e", 1, "/x", "new") for n in range(30)]
    new = [call._replace(target="/y", outcome="") for call in old]
    found = check(calls=[*old, *new], changes=[first, added])
    assert found == [
        "0 of 30 requests on added routes are served, 30 of 30 on the first ones"
    ]
    some = [call._replace(outcome="new") for call in new[:8]]
    assert check(calls=[*old, *some, *new[8:]], changes=[first, added]) == []
    assert check(calls=[*old, *new[:19]], changes=[first, added]) == []
    spans = [Span("e", 0.0, 50.0)]
    assert check(calls=[*old, *new], changes=[first, added], spans=spans) == []


def test_too_few_served_after_the_return_are_found():
    served = [(float(at), at % 4 == 0) for at in range(100)]
    # Of those sent later than 12 s after 11.0: 24, 28, ... 96 of 24 to 99.
    assert find_unrecovered(served, 11.0) == []
    assert find_unrecovered([*served[:-4], (96.0, False)], 11.0) != []
    assert find_unrecovered([], 0.0) != []
