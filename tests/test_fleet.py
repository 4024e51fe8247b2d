"""Fleet state: document races have one winner and states never revert."""

from hypothesis import given
from hypothesis import strategies as st

from jasminewharf.decisions.fleet import FleetState
from jasminewharf.decisions.keys import compute_digest, format_key, match_key
from jasminewharf.documents import encode_document, parse_document
from jasminewharf.messages.commands import (
    AdvanceReplica,
    DecideReplica,
    GrantKey,
    SubmitDocument,
    WithdrawKey,
)

BODY = """\
service: desk
kind: plain
pool: order-desk
routes: [{path: /orders, methods: [POST], idempotent: false}]
workspaces: [{workspace: hanoi, rate_tokens_per_s: 10, burst_tokens: 10}]
"""
CHECKED = encode_document(parse_document(BODY, "desk.yaml"))


def submit(submission, expected, author):
    return SubmitDocument(submission, "desk", expected, BODY, author, CHECKED)


def test_equal_version_race_has_one_winner_and_names_it():
    state = FleetState()
    assert state.apply_message(1, submit("s1", 0, "an")).version == 1
    lost = state.apply_message(2, submit("s2", 0, "binh"))
    assert (lost.error, lost.winner, lost.version) == ("VersionConflict", "an", 1)


def test_resend_gets_the_first_verdict_even_after_later_changes():
    state = FleetState()
    first = state.apply_message(1, submit("s1", 0, "an"))
    state.apply_message(2, submit("s2", 1, "binh"))
    assert state.apply_message(3, submit("s1", 0, "an")) == first
    assert state.documents["desk"].version == 2


def test_withdrawn_key_stays_withdrawn():
    state = FleetState()
    key = format_key("a" * 8, "b" * 16)
    digest = compute_digest(key, b"secret")
    state.apply_message(1, GrantKey("g", "a" * 8, digest, "hanoi"))
    assert match_key(key, state.keys["a" * 8], b"secret")
    assert not match_key(key, state.keys["a" * 8], b"other")
    state.apply_message(2, WithdrawKey("w", "a" * 8))
    again = state.apply_message(3, GrantKey("g2", "a" * 8, digest, "hanoi"))
    assert again.error
    assert not match_key(key, state.keys["a" * 8], b"secret")


COMMANDS = st.one_of(
    st.builds(
        submit,
        st.sampled_from(["a", "b", "c"]),
        st.integers(0, 3),
        st.sampled_from(["an", "binh"]),
    ),
    st.builds(
        DecideReplica,
        st.just("menu"),
        st.sampled_from(["m1", "m2"]),
        st.sampled_from(["b1", "b2"]),
        st.just("h1"),
        st.just(10),
        st.just("disk"),
    ),
    st.builds(
        AdvanceReplica,
        st.integers(1, 20),
        st.sampled_from(["loaded", "failed", "unloading", "gone"]),
        st.just(""),
    ),
)


@given(st.lists(COMMANDS, max_size=20), st.integers(0, 20))
def test_snapshot_at_any_point_leads_to_the_same_state(commands, cut):
    direct, resumed = FleetState(), FleetState()
    versions = []
    for index, command in enumerate(commands, 1):
        if index == cut:
            resumed.restore(direct.snapshot())
        direct.apply_message(index, command)
        if index >= cut:
            resumed.apply_message(index, command)
        record = direct.documents.get("desk")
        versions.append(record.version if record else 0)
        for model in ("m1", "m2"):
            assert direct.loaded_backends("menu", model) == {
                (r.host, r.backend)
                for r in direct.replicas.values()
                if r.model == model and r.phase == "loaded"
            }
        placed = [(r.backend, r.model) for r in direct.replicas.values()]
        assert len(placed) == len(set(placed))
    if 0 < cut <= len(commands):
        assert resumed.snapshot() == direct.snapshot()
        for model in ("m1", "m2"):
            loaded = direct.loaded_backends("menu", model)
            assert resumed.loaded_backends("menu", model) == loaded
    assert versions == sorted(versions)
