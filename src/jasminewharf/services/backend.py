"""A backend server on an agent's host, and a call that runs at it."""

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
    """One backend server of this host with its queue, load and connections.

    Attributes:
        loaded: Replica numbers of the models that are ready for calls.
        reachable: Whether the engine's state was read since the last failure.
        incarnation: The engine's incarnation when its state was last read.
        token_interval_s: Moving average of the time between tokens of one stream.
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
        """Update the moving average of the time between tokens of a stream."""
        gain = defaults.TOKEN_INTERVAL_GAIN
        self.token_interval_s += gain * (seconds - self.token_interval_s)

    def read_load(self, now: float) -> LoadState:
        """Return the current load."""
        queue = self.admission.queue
        return LoadState(
            self.admission.running,
            len(queue),
            int(queue.tokens),
            round(self.rate.read(now), 1),
        )

    def count_start(self, model: str) -> None:
        """Count a call of ``model`` as in flight, whether queued or running."""
        self.in_flight[model] = self.in_flight.get(model, 0) + 1

    def count_end(self, model: str) -> None:
        """Remove a call of ``model`` from those in flight."""
        self.in_flight[model] -= 1


class AgentCall:
    """A call, kept from its arrival until its answer can no longer be resumed."""

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
        """Whether an idempotent call is unfinished and its entry has disconnected."""
        return self.peer.is_forgotten and self.end is None and self.call.idempotent


def _read_token(settings: BackendSettings) -> str:
    if not settings.token_file:
        return ""
    return read_secret(settings.token_file).decode("ascii", "replace")


def _now() -> float:
    return asyncio.get_running_loop().time()
