"""A backend server of an agent's host, and a call that it was given."""

import asyncio

from .. import defaults
from ..decisions.admission import Admission, AdmissionLimits, TokenRate
from ..decisions.queueing import QUEUES, QueueLimits
from ..decisions.streams import ReplayBuffer
from ..dialects import DIALECTS, Dialect
from ..messages.calls import (
    AnswerEnd,
    AnswerHead,
    ForwardCall,
    LoadState,
)
from ..registry import lookup
from ..settings import BackendSettings
from ..tracing import Span
from .client import HttpClient
from .link import Peer
from .secretfiles import read_secret

__all__ = ["AgentCall", "Backend"]

_MS_PER_S = 1000


class Backend:
    """One backend server of this host and what the agent counts for it.

    Attributes:
        loaded: Models that are ready for calls, with their replica's number.
        reachable: Whether the engine's state has been read since it was last lost.
        incarnation: The engine's life, as it was last read.
        token_interval_s: Recent time between the tokens of one stream.
    """

    def __init__(self, settings: BackendSettings, queue_name: str) -> None:
        self.settings = settings
        self.dialect: Dialect = lookup(DIALECTS, settings.dialect)
        self.token = _read_token(settings)
        self.client = HttpClient(settings.address)
        self.weights: dict[str, float] = {}
        queue = lookup(QUEUES, queue_name)(self.weights, QueueLimits())
        self.admission = Admission(queue, AdmissionLimits(slots=settings.concurrency))
        self.rate = TokenRate()
        self.loaded: dict[str, int] = {}
        self.in_flight: dict[str, int] = {}
        self.reachable = False
        self.incarnation = 0
        self.token_interval_s = 0.0

    def note_token_interval(self, seconds: float) -> None:
        """Learn the time between the tokens of a stream at the engine."""
        gain = defaults.TOKEN_INTERVAL_GAIN
        self.token_interval_s += gain * (seconds - self.token_interval_s)

    def read_load(self, now: float) -> LoadState:
        """Return the load as it is at this moment."""
        queue = self.admission.queue
        return LoadState(
            self.admission.running,
            len(queue),
            int(queue.tokens),
            round(self.rate.read(now), 1),
        )

    def count_start(self, model: str) -> None:
        """Note a call of ``model``, waiting or running."""
        self.in_flight[model] = self.in_flight.get(model, 0) + 1

    def count_end(self, model: str) -> None:
        """Note the end of a call."""
        self.in_flight[model] -= 1


class AgentCall:
    """A call from its arrival until nobody can ask for its answer any more."""

    def __init__(self, peer: Peer, call: ForwardCall, backend: Backend) -> None:
        now = _now()
        self.peer = peer
        self.call = call
        self.backend = backend
        self.arrived_at = now
        self.deadline = now + call.deadline_ms / _MS_PER_S
        self.task: asyncio.Task[None] | None = None
        self.replay = ReplayBuffer()
        self.tail = b""
        self.tokens = -1
        self.chunk_at = 0.0
        self.head: AnswerHead | None = None
        self.end: AnswerEnd | None = None
        self.span = Span("agent", call.traceparent, backend=call.backend)
        self.queue_span = Span("queue", self.span.traceparent)
        self.spans: list[str] = []
        self.was_abandoned = False

    @property
    def is_abandoned(self) -> bool:
        """Whether nobody waits for the answer and it need not be recorded."""
        return self.peer.is_forgotten and self.end is None and self.call.idempotent


def _read_token(settings: BackendSettings) -> str:
    if not settings.token_file:
        return ""
    return read_secret(settings.token_file).decode("ascii", "replace")


def _now() -> float:
    return asyncio.get_running_loop().time()
