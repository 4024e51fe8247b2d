"""Size limits, deadlines and lookup shared by all call queues."""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from .. import defaults
from ..exceptions import QueueFull
from .heaps import KeyedHeap

__all__ = [
    "BATCH",
    "DEFAULT_LIMITS",
    "INTERACTIVE",
    "QUEUES",
    "BoundedQueue",
    "CallQueue",
    "QueueLimits",
    "QueuedCall",
]

INTERACTIVE = "interactive"
BATCH = "batch"


class QueuedCall(NamedTuple):
    """A queued call.

    ``cost_tokens`` is charged to its workspace; ``enqueued_at`` and
    ``deadline`` are monotonic seconds of this process.
    """

    request_id: str
    workspace: str
    priority: str
    cost_tokens: int
    enqueued_at: float
    deadline: float


class QueueLimits(NamedTuple):
    """Size limits of a queue and the parameters of its discipline."""

    calls: int = defaults.QUEUE_LIMIT_CALLS
    tokens: int = defaults.QUEUE_LIMIT_TOKENS
    ageing_s: float = defaults.QUEUE_AGEING_S
    aged_batch_share: float = defaults.QUEUE_AGED_BATCH_SHARE


DEFAULT_LIMITS = QueueLimits()


class CallQueue(Protocol):
    """The queue interface that admission and the agent use."""

    tokens: int

    def __len__(self) -> int:
        """Return the number of queued calls."""

    def push(self, call: QueuedCall) -> None:
        """Add a call; raise ``QueueFull`` if it exceeds the limits."""

    def pop(self, now: float, allow_batch: bool = True) -> QueuedCall | None:
        """Remove and return the next call to run, or None if there is none.

        Without ``allow_batch`` only interactive calls are returned.
        """

    def cancel(self, request_id: str) -> QueuedCall | None:
        """Remove and return a queued call, or None if it is not queued."""

    def expire(self, now: float) -> list[QueuedCall]:
        """Remove and return all calls whose deadline has passed."""

    def next_deadline(self) -> float | None:
        """Return the earliest deadline, or None if empty."""

    def tokens_ahead(self, workspace: str, priority: str) -> float:
        """Return the tokens that would be served before a call that arrives now."""

    def adjust_charge(self, workspace: str, tokens: int) -> None:
        """Refund ``tokens`` that a served call was charged but did not use.

        A negative number is an additional charge.
        """


QUEUES: dict[str, Callable[[Mapping[str, float], QueueLimits], CallQueue]] = {}


class BoundedQueue:
    """A base class with size limits, deadlines and lookup by request id."""

    def __init__(
        self, weights: Mapping[str, float], limits: QueueLimits = DEFAULT_LIMITS
    ) -> None:
        self._weights = weights
        self._limits = limits
        self._calls: OrderedDict[str, QueuedCall] = OrderedDict()
        self._deadlines: KeyedHeap[str] = KeyedHeap()
        self.tokens = 0

    def __len__(self) -> int:
        return len(self._calls)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline, or None if empty."""
        lowest = self._deadlines.peek()
        return None if lowest is None else lowest[0]

    def expire(self, now: float) -> list[QueuedCall]:
        """Remove and return all calls whose deadline has passed."""
        expired = []
        while (lowest := self._deadlines.peek()) and lowest[0] <= now:
            call = self.cancel(lowest[1])
            if call is not None:
                expired.append(call)
        return expired

    def cancel(self, request_id: str) -> QueuedCall | None:
        """Remove and return a queued call, or None if it is not queued."""
        call = self._calls.pop(request_id, None)
        if call is not None:
            self._deadlines.discard(request_id)
            self.tokens -= call.cost_tokens
        return call

    def _enter(self, call: QueuedCall) -> None:
        if len(self._calls) >= self._limits.calls:
            raise QueueFull("the queue has reached its limit of calls")
        if self._calls and self.tokens + call.cost_tokens > self._limits.tokens:
            raise QueueFull("the queue has reached its limit of tokens")
        self._calls[call.request_id] = call
        self._deadlines.set(call.request_id, call.deadline)
        self.tokens += call.cost_tokens
