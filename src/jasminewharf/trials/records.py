"""What a trial records of each call."""

from typing import NamedTuple

__all__ = ["Record"]


class Record(NamedTuple):
    """One HTTP call as its caller saw it.

    Attributes:
        kind: chat, stream, order, read or open.
        entry: The entry that was called.
        workspace: The workspace whose key was sent.
        key_id: The key's identifier.
        name: Names the call; resends of an order share the name.
        started: Seconds of the event loop's clock.
        ended: Seconds of the event loop's clock.
        deadline_s: The deadline that was sent, in seconds.
        status: The HTTP status; 0 if the connection broke before one came.
        request_id: The system's identifier, if it was told.
        error: The ``type`` of a refusal, or what broke.
        not_run: What a refusal said; None without one.
        retry_after_ms: What a refusal said.
        whole: Whether the answer was whole and the expected one.
        tokens: The stated cost in tokens.
        first_byte_s: Seconds until the first byte of the body; -1 if none came.
    """

    kind: str
    entry: str
    workspace: str
    key_id: str
    name: str
    started: float
    ended: float
    deadline_s: float
    status: int
    request_id: str = ""
    error: str = ""
    not_run: bool | None = None
    retry_after_ms: int | None = None
    whole: bool = False
    tokens: int = 0
    first_byte_s: float = -1.0
