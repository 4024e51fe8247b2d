"""Requests to control hosts from entries, agents and the tool. Codes 80 to 109."""

from typing import NamedTuple

from .codec import message

__all__ = [
    "AdapterSlotAnswer",
    "AdapterSlotRelease",
    "AdapterSlotRequest",
    "AddMember",
    "ClaimAnswer",
    "ClaimOrder",
    "FetchMembers",
    "FetchStatus",
    "GrantAnswer",
    "GrantRequest",
    "GroupMembers",
    "MemberChanged",
    "MembersAnswer",
    "Propose",
    "Proposed",
    "ReadState",
    "RecordOutcome",
    "ReleaseClaim",
    "RemoveMember",
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
    """A JSON object; its fields are described in ``docs/OPERATIONS.md``."""

    body: bytes


@message(90)
class ClaimOrder(NamedTuple):
    """Claims an order before it is forwarded.

    ``entry`` and ``incarnation`` name the life of the entry that will forward the
    order. ``entry_ms`` is that entry's wall clock in milliseconds since the epoch.
    """

    workspace: str
    idempotency_key: str
    digest: str
    request_id: str
    entry: str
    incarnation: int
    entry_ms: int


@message(91)
class ClaimAnswer(NamedTuple):
    """``state``: claimed, running, done, unknown, released, conflict or full.

    For done, ``status``, ``headers`` and ``body`` hold the recorded answer. For
    unknown, ``status`` is the backend server's status, or 0 if there was none.
    ``released`` answers a claim whose own request id gave it back earlier.
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
    entry_ms: int


@message(93)
class ReleaseClaim(NamedTuple):
    """Gives a claim back: no backend server began the call.

    It may overtake its own claim, so it carries the body's digest.
    """

    workspace: str
    idempotency_key: str
    digest: str
    request_id: str
    entry_ms: int


@message(100)
class GrantRequest(NamedTuple):
    """Asks the owner of rate accounts for tokens and returns unused ones.

    ``sequence`` rises with each request of a holder, so that a resend is answered
    without a second debit. All amounts are tokens. ``held`` is what the holder
    still holds after this request's return: ``unspent`` tokens and the charges of
    calls that run. ``needed`` is what the waiting calls lack, ``least`` what the
    smallest of them lacks, ``wanted`` what the holder would like in advance.
    """

    holder: str
    incarnation: int
    sequence: int
    account: str
    held: int
    unspent: int
    returned: int
    needed: int
    least: int
    wanted: int


@message(101)
class GrantAnswer(NamedTuple):
    """Answers the request ``sequence``; the lease runs from when it was first sent.

    ``state`` is granted, handover (granted, but grants of an earlier owner still
    limit the account), starting (the owner cannot grant yet; the request was not
    taken) or unknown_account. ``renewed`` tells whether the lease covers what was
    held; if not, only ``granted`` remains. ``scarce`` asks for the return of all
    tokens that no call waits for. ``recalled`` tells that other holders have what
    is missing and will be asked to return it. ``plenty`` lets holders check and
    return less often. ``trim`` is by how much the refunds of
    running calls are to be cut, since the bucket has refilled meanwhile.
    ``retry_after_ms`` tells when the account will hold ``least``; -1 if never.
    """

    account: str
    sequence: int
    state: str
    granted: int
    renewed: bool
    scarce: bool
    recalled: bool
    plenty: bool
    trim: int
    lease_ms: int
    retry_after_ms: int


@message(105)
class FetchMembers(NamedTuple):
    """Asks a control host for the members of every log group."""


class GroupMembers(NamedTuple):
    """Members of a log group: identity, address and whether it votes."""

    group: str
    leader: str
    members: list[tuple[str, str, bool]]


@message(106)
class MembersAnswer(NamedTuple):
    """The members as the answering control host knows them."""

    groups: list[GroupMembers]


@message(107)
class AddMember(NamedTuple):
    """Adds a control host to a group; only its leader can do so.

    Repeating the message changes nothing.
    """

    group: str
    host: str
    address: str


@message(108)
class RemoveMember(NamedTuple):
    """Removes all identities of a control host from a group."""

    group: str
    host: str


@message(109)
class MemberChanged(NamedTuple):
    """Answers :class:`AddMember` and :class:`RemoveMember`.

    ``identities`` are those added or removed; empty if there was nothing to do.
    """

    group: str
    identities: list[str]
