"""Commands of the log groups ``claims-N``. Codes 160 to 179.

Times are milliseconds since the epoch. ``entry_ms`` is the wall clock of the entry
that sent the request, ``leader_ms`` that of the control host that proposed it.
"""

from typing import NamedTuple

from .codec import message

__all__ = [
    "ClaimRecord",
    "ClaimsSnapshot",
    "EndEntry",
    "MakeClaim",
    "SettleClaim",
    "WithdrawClaim",
]


@message(160)
class MakeClaim(NamedTuple):
    """Claims an order for the life ``incarnation`` of an entry."""

    workspace: str
    idempotency_key: str
    digest: str
    request_id: str
    entry: str
    incarnation: int
    entry_ms: int
    leader_ms: int


@message(161)
class SettleClaim(NamedTuple):
    """Records an outcome, done or unknown."""

    workspace: str
    idempotency_key: str
    request_id: str
    outcome: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    entry_ms: int
    leader_ms: int


@message(162)
class WithdrawClaim(NamedTuple):
    """Releases a claim whose call did not begin."""

    workspace: str
    idempotency_key: str
    digest: str
    request_id: str
    entry_ms: int
    leader_ms: int


@message(163)
class EndEntry(NamedTuple):
    """An entry's life is over: what it was running has an unknown outcome."""

    incarnation: int


@message(164)
class ClaimRecord(NamedTuple):
    """A claim as the state machine keeps it.

    ``state`` is running, done, unknown or released. ``released_ids`` are request
    ids that gave the claim back, the newest last.
    """

    state: str
    digest: str
    request_id: str
    incarnation: int
    stamp_ms: int
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    released_ids: list[str]


@message(165)
class ClaimsSnapshot(NamedTuple):
    """The state of a group; each record is an encoded :class:`ClaimRecord`."""

    time_ms: int
    records: list[tuple[bytes, bytes]]
