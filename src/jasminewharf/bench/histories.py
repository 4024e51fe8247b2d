"""A linearizability checker for recorded histories of documents and claims.

The search is that of Wing and Gong with the memory of Lowe: operations are tried
in every order that respects real time, and a pair of state and remaining
operations is visited once. None of the installed libraries offers one.
"""

import math
from collections.abc import Callable, Hashable, Iterable, Sequence
from typing import Any, NamedTuple

__all__ = [
    "ClaimState",
    "DocumentState",
    "Operation",
    "apply_claim",
    "apply_document",
    "find_violation",
    "is_linearizable",
]


class Operation(NamedTuple):
    """One call of a client.

    ``key`` names the object, ``result`` is None if the answer was lost; such an
    operation may have taken effect at any time after ``called`` or never.
    Times are seconds of one clock.
    """

    key: str
    called: float
    returned: float
    name: str
    arguments: tuple[Any, ...]
    result: tuple[Any, ...] | None


Specification = Callable[[Any, Operation], list[Any]]


class DocumentState(NamedTuple):
    """A document's version and body; version 0 is no document."""

    version: int
    body: str


class ClaimState(NamedTuple):
    """A claim: absent, running, done, unknown or released, and who holds it."""

    state: str
    digest: str
    request_id: str
    answer: str


def apply_document(state: DocumentState, operation: Operation) -> list[DocumentState]:
    """Return the states that may follow a submission or a read.

    ``submit(expected_version, body)`` returns ("accepted", version) or
    ("conflict", current version); ``read()`` returns (version, body).
    """
    result = operation.result
    if operation.name == "read":
        return [state] if result is None or result == tuple(state) else []
    expected, body = operation.arguments
    if expected != state.version:
        outcome, following = ("conflict", state.version), state
    else:
        following = DocumentState(state.version + 1, body)
        outcome = ("accepted", following.version)
    return [following] if result is None or result == outcome else []


def apply_claim(state: ClaimState, operation: Operation) -> list[ClaimState]:
    """Return the states that may follow an operation on one claim.

    ``claim(digest, request_id)`` returns (state,) or ("done", answer);
    ``record(request_id, answer)``, ``release(request_id, digest)`` and
    ``end(request_id)`` return (). The answer ("released",) tells a call that it gave
    its own claim back; it changes nothing.
    """
    if operation.name == "claim":
        return _apply_claim_call(state, operation)
    return [_apply_settlement(state, operation)]


def _apply_claim_call(state: ClaimState, operation: Operation) -> list[ClaimState]:
    digest, request_id = operation.arguments
    following = state
    if operation.result == ("released",):
        return [state]
    if state.state == "absent" or (
        state.state == "released" and state.digest == digest
    ):
        following = ClaimState("running", digest, request_id, "")
        outcome: tuple[Any, ...] = ("claimed",)
    elif state.digest != digest:
        outcome = ("conflict",)
    elif state.state == "done":
        outcome = ("done", state.answer)
    elif state.state == "running" and state.request_id == request_id:
        outcome = ("claimed",)
    else:
        outcome = (state.state,)
    return [following] if operation.result in (None, outcome) else []


def _apply_settlement(state: ClaimState, operation: Operation) -> ClaimState:
    request_id = operation.arguments[0]
    if operation.name == "release" and state.state == "absent":
        return ClaimState("released", operation.arguments[1], request_id, "")
    if state.request_id != request_id or state.state not in ("running", "unknown"):
        return state
    if operation.name == "record":
        return state._replace(state="done", answer=operation.arguments[1])
    if operation.name == "release":
        return state._replace(state="released")
    return state._replace(state="unknown")


def is_linearizable(
    operations: Sequence[Operation], initial: Hashable, specification: Specification
) -> bool:
    """Return whether one object's operations have a legal sequential order."""
    ordered = sorted(operations, key=lambda operation: operation.called)
    ends = [
        math.inf if operation.result is None else operation.returned
        for operation in ordered
    ]
    everything = (1 << len(ordered)) - 1
    lost = sum(1 << n for n, o in enumerate(ordered) if o.result is None)
    seen = {(everything, initial)}
    stack = [(everything, initial)]
    while stack:
        remaining, state = stack.pop()
        if remaining & ~lost == 0:
            return True
        for index in _list_candidates(ordered, ends, remaining):
            for following in specification(state, ordered[index]):
                visit = (remaining & ~(1 << index), following)
                if visit not in seen:
                    seen.add(visit)
                    stack.append(visit)
    return False


def _list_candidates(
    ordered: Sequence[Operation], ends: Sequence[float], remaining: int
) -> list[int]:
    """Return the operations that may come first among the remaining ones."""
    earliest_end = math.inf
    candidates = []
    rest = remaining
    while rest:
        index = (rest & -rest).bit_length() - 1
        rest &= rest - 1
        if ordered[index].called > earliest_end:
            break
        candidates.append(index)
        earliest_end = min(earliest_end, ends[index])
    return candidates


def find_violation(
    operations: Iterable[Operation], initial: Hashable, specification: Specification
) -> str | None:
    """Return the key of an object whose history is not linearizable, or None."""
    by_key: dict[str, list[Operation]] = {}
    for operation in operations:
        by_key.setdefault(operation.key, []).append(operation)
    for key, history in by_key.items():
        if not is_linearizable(history, initial, specification):
            return key
    return None
