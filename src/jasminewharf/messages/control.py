"""Requests to control hosts from entries, agents and the tool. Codes 80 to 109."""

from typing import NamedTuple

from .codec import message

__all__ = [
    "AdapterSlotAnswer",
    "AdapterSlotRelease",
    "AdapterSlotRequest",
    "ClaimAnswer",
    "ClaimOrder",
    "FetchStatus",
    "GrantAnswer",
    "GrantRequest",
    "Propose",
    "Proposed",
    "ReadState",
    "RecordOutcome",
    "ReleaseClaim",
    "StateAnswer",
    "StatusAnswer",
]


@message(102)
class AdapterSlotRequest(NamedTuple):
    """Asks for slots to load adapters from the weight store."""

    holder: str
    wanted: int


@message(103)
class AdapterSlotAnswer(NamedTuple):
    """Slots granted for ``lease_ms`` from the request; none if ``count`` is 0."""

    number: int
    count: int
    lease_ms: int


@message(104)
class AdapterSlotRelease(NamedTuple):
    """Gives a grant back after its loads have ended."""

    number: int


@message(80)
class Propose(NamedTuple):
    """An encoded command for a log group."""

    group: str
    command: bytes


@message(81)
class Proposed(NamedTuple):
    """The command was committed at ``index``; ``result`` is its encoded result."""

    index: int
    result: bytes


@message(82)
class ReadState(NamedTuple):
    """Asks for the state of a group after a quorum-confirmed read."""

    group: str


@message(83)
class StateAnswer(NamedTuple):
    """The state's snapshot at ``version``."""

    version: int
    state: bytes


@message(84)
class FetchStatus(NamedTuple):
    """Asks a control host what it knows of the fleet."""


@message(85)
class StatusAnswer(NamedTuple):
    """A JSON object; its fields are described in ``docs/operations.md``."""

    body: bytes


@message(90)
class ClaimOrder(NamedTuple):
    """Claims an order before it is forwarded."""

    workspace: str
    idempotency_key: str
    digest: str
    request_id: str


@message(91)
class ClaimAnswer(NamedTuple):
    """``state``: claimed, running, done, unknown or conflict.

    For done, ``status``, ``headers`` and ``body`` hold the recorded answer.
    """

    state: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes


@message(92)
class RecordOutcome(NamedTuple):
    """Records the answer to a claimed order.

    ``outcome`` is done or unknown.
    """

    workspace: str
    idempotency_key: str
    request_id: str
    outcome: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes


@message(93)
class ReleaseClaim(NamedTuple):
    """Gives a claim back: no backend server began the call."""

    workspace: str
    idempotency_key: str
    request_id: str


@message(100)
class GrantRequest(NamedTuple):
    """Asks the owner of rate accounts for tokens and returns unused ones.

    ``sequence`` rises with each request of a holder, so that a resend is answered
    without a second debit. ``wanted`` and ``returned`` are tokens.
    """

    holder: str
    incarnation: int
    sequence: int
    account: str
    wanted: int
    returned: int


@message(101)
class GrantAnswer(NamedTuple):
    """Tokens granted; the holder may spend them for ``lease_ms`` from its request.

    ``retry_after_ms`` tells when the account will hold what was wanted.
    """

    account: str
    granted: int
    lease_ms: int
    retry_after_ms: int
