"""Messages between entries and agents. Codes 20 to 39."""

from typing import NamedTuple

from .codec import message

__all__ = [
    "AgentLeaving",
    "AnswerChunk",
    "AnswerEnd",
    "AnswerHead",
    "CacheEvents",
    "CallRefused",
    "CancelCall",
    "ForwardCall",
    "LeavingNoted",
    "LoadState",
    "ResumeCall",
]


class LoadState(NamedTuple):
    """What a backend server is doing, as its agent counts it.

    ``running`` and ``queued`` are calls, ``queued_tokens`` the tokens they may
    cost, ``tokens_per_s`` the recent rate of generated tokens.
    """

    running: int
    queued: int
    queued_tokens: int
    tokens_per_s: float


@message(20)
class ForwardCall(NamedTuple):
    """A caller's request for one backend server.

    ``agent_incarnation`` is the life of the agent that the entry chose; an agent
    of another life refuses the call. ``deadline_ms`` is the time left when the
    message was sent. ``cost_tokens`` is the largest cost in tokens. ``headers``
    hold neither the key nor hop-by-hop fields.
    """

    request_id: str
    agent_incarnation: int
    backend: str
    workspace: str
    model: str
    adapter: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_ms: int
    cost_tokens: int
    priority: str
    idempotent: bool
    stream: bool
    traceparent: str


@message(21)
class AnswerHead(NamedTuple):
    """The backend server's status and headers."""

    request_id: str
    status: int
    headers: list[tuple[str, str]]
    load: LoadState


@message(22)
class AnswerChunk(NamedTuple):
    """Body bytes that begin at ``offset``."""

    request_id: str
    offset: int
    data: bytes


@message(23)
class AnswerEnd(NamedTuple):
    """The answer is complete at ``length`` bytes, or broken if ``error`` is set.

    ``tokens`` is the true cost in tokens, or -1 if the backend server did not say.
    ``spans`` are finished spans of the agent as JSON lines.
    """

    request_id: str
    length: int
    error: str
    tokens: int
    load: LoadState
    spans: list[str]


@message(24)
class CallRefused(NamedTuple):
    """The agent did not pass the call on, or cannot tell (``not_run`` false)."""

    request_id: str
    error: str
    text: str
    not_run: bool
    retry_after_ms: int
    load: LoadState


@message(25)
class CancelCall(NamedTuple):
    """The caller has gone or its time is up."""

    request_id: str
    reason: str


@message(26)
class ResumeCall(NamedTuple):
    """Asks for the answer's bytes again, from ``offset``."""

    request_id: str
    offset: int


@message(27)
class CacheEvents(NamedTuple):
    """Cache events of an engine, late and with gaps.

    Each is a sequence number, a kind and a block's hash. ``incarnation`` is the
    engine's; it counts its events anew after a restart.
    """

    backend: str
    incarnation: int
    events: list[tuple[int, str, int]]


@message(28)
class AgentLeaving(NamedTuple):
    """The agent is about to stop and refuses new calls."""


@message(29)
class LeavingNoted(NamedTuple):
    """The entry sends the leaving agent no further call.

    Messages of a link keep their order, so no call follows this one.
    """
