"""The linearizability checker must accept legal histories and no others."""

import random

import pytest

from jasminewharf.bench.histories import (
    ClaimState,
    DocumentState,
    Operation,
    apply_claim,
    apply_document,
    find_violation,
    is_linearizable,
)

NO_DOCUMENT = DocumentState(0, "")
NO_CLAIM = ClaimState("absent", "", "", "")


def submit(called, returned, expected, body, result):
    return Operation("d", called, returned, "submit", (expected, body), result)


def read(called, returned, result):
    return Operation("d", called, returned, "read", (), result)


def claim(called, returned, request_id, result, digest="x"):
    return Operation("c", called, returned, "claim", (digest, request_id), result)


def record_legal_history(source, clients, length):
    """Return a history of operations that each take effect at one point."""
    state, history = NO_DOCUMENT, []
    free_at = [0.0] * clients
    for step in range(length):
        client = source.randrange(clients)
        effect = max(free_at[client], float(step)) + source.random()
        history.append((effect, client, step, source.random(), source.random()))
        free_at[client] = effect + 1.0
    operations = []
    for effect, _, step, before, after in sorted(history):
        expected = state.version - source.choice((0, 0, 1))
        if expected == state.version:
            state = DocumentState(state.version + 1, f"body-{step}")
            result = ("accepted", state.version)
        else:
            result = ("conflict", state.version)
        lost = source.random() < 0.1
        operations.append(
            submit(
                effect - before / 2,
                effect + after / 2,
                expected,
                f"body-{step}",
                None if lost else result,
            )
        )
    return operations


@pytest.mark.parametrize("seed", range(10))
def test_legal_history_is_accepted_and_altered_version_rejected(seed):
    operations = record_legal_history(random.Random(seed), clients=4, length=60)
    assert is_linearizable(operations, NO_DOCUMENT, apply_document)
    at = max(
        n
        for n, operation in enumerate(operations)
        if operation.result and operation.result[0] == "accepted"
    )
    wrong = ("accepted", operations[at].result[1] + 1)
    operations[at] = operations[at]._replace(result=wrong)
    assert find_violation(operations, NO_DOCUMENT, apply_document) == "d"


@pytest.mark.parametrize(
    "history",
    [
        # Two submissions win against the same version.
        [submit(0, 1, 0, "a", ("accepted", 1)), submit(0, 1, 0, "b", ("accepted", 1))],
        # A read after an accepted submission returns the state before it.
        [submit(0, 1, 0, "a", ("accepted", 1)), read(2, 3, (0, ""))],
        # A version reverts between two reads.
        [
            submit(0, 9, 0, "a", ("accepted", 1)),
            read(1, 2, (1, "a")),
            read(3, 4, (0, "")),
        ],
    ],
)
def test_document_violations_are_rejected(history):
    assert not is_linearizable(history, NO_DOCUMENT, apply_document)


def test_lost_submission_may_take_effect_late_or_never():
    lost = submit(0, 1, 0, "a", None)
    late = [lost, read(2, 3, (0, "")), read(4, 5, (1, "a"))]
    never = [lost, submit(6, 7, 0, "b", ("accepted", 1))]
    assert is_linearizable(late, NO_DOCUMENT, apply_document)
    assert is_linearizable(never, NO_DOCUMENT, apply_document)


@pytest.mark.parametrize(
    "second",
    [
        # Two calls under one key both run.
        claim(2, 3, "r2", ("claimed",)),
        # A resend gets an answer that was never recorded.
        claim(2, 3, "r2", ("done", "other")),
        # Another body is not a conflict.
        claim(2, 3, "r2", ("running",), digest="y"),
    ],
)
def test_claim_violations_are_rejected(second):
    history = [claim(0, 1, "r1", ("claimed",)), second]
    assert not is_linearizable(history, NO_CLAIM, apply_claim)


def test_claim_history_with_release_and_record_is_accepted():
    history = [
        claim(0, 1, "r1", ("claimed",)),
        Operation("c", 1, 4, "release", ("r1", "x"), ()),
        claim(2, 3, "r2", ("claimed",)),
        Operation("c", 4, 5, "record", ("r2", "answer"), ()),
        claim(6, 7, "r3", ("done", "answer")),
    ]
    assert is_linearizable(history, NO_CLAIM, apply_claim)
