"""Queue disciplines for calls that wait for a backend server.

``QUEUES`` maps names to queue classes: ``fair`` and the baseline ``fifo``. A queue
orders calls, limits their number and total tokens, and returns expired calls.
"""

from collections import OrderedDict
from collections.abc import Mapping

from ..registry import register
from .boundedqueue import (
    BATCH,
    DEFAULT_LIMITS,
    INTERACTIVE,
    QUEUES,
    BoundedQueue,
    CallQueue,
    QueuedCall,
    QueueLimits,
)
from .heaps import KeyedHeap

__all__ = [
    "BATCH",
    "INTERACTIVE",
    "QUEUES",
    "CallQueue",
    "FairQueue",
    "FifoQueue",
    "QueueLimits",
    "QueuedCall",
]

_MIN_WEIGHT = 1e-6


@register(QUEUES, "fifo")
class FifoQueue(BoundedQueue):
    """A first-in, first-out queue; the baseline for comparison."""

    def push(self, call: QueuedCall) -> None:
        """Add a call.

        Raises:
            QueueFull: If the calls or tokens exceed the limits.
        """
        self._enter(call)

    def pop(self, now: float, allow_batch: bool = True) -> QueuedCall | None:
        """Remove and return the oldest call; priorities are ignored."""
        if not self._calls:
            return None
        return self.cancel(next(iter(self._calls)))

    def tokens_ahead(self, workspace: str, priority: str) -> float:
        """Return the tokens of all waiting calls."""
        return self.tokens

    def adjust_charge(self, workspace: str, tokens: int) -> None:
        """Do nothing; this queue does not account for usage."""


class _Flow:
    """The waiting calls of one workspace."""

    __slots__ = (
        "batch",
        "batch_credit",
        "interactive",
        "interactive_tokens",
        "start",
        "tokens",
        "weight",
    )

    def __init__(self, weight: float, start: float) -> None:
        self.weight = weight
        self.start = start
        self.interactive: OrderedDict[str, QueuedCall] = OrderedDict()
        self.batch: OrderedDict[str, QueuedCall] = OrderedDict()
        self.batch_credit = 0.0
        self.interactive_tokens = 0
        self.tokens = 0

    def calls_of(self, priority: str) -> OrderedDict[str, QueuedCall]:
        return self.batch if priority == BATCH else self.interactive


@register(QUEUES, "fair")
class FairQueue(BoundedQueue):
    """Start-time fair queueing per workspace, in tokens.

    Each workspace has a start tag in virtual tokens. Serving a call advances the tag
    by cost / weight, and the workspace with the lowest tag is served next. A
    workspace that was idle starts at the virtual time or its former tag, whichever
    is later, so that idle time earns no credit.

    Workspaces with an interactive call, or with a batch call that has waited for
    ``ageing_s``, are served before workspaces that have only younger batch calls. A
    workspace delayed by this rule gets no compensation: otherwise a long batch
    backlog would block interactive calls for as long as it had waited.
    """

    def __init__(
        self, weights: Mapping[str, float], limits: QueueLimits = DEFAULT_LIMITS
    ) -> None:
        super().__init__(weights, limits)
        self._flows: dict[str, _Flow] = {}
        # Start tags of idle workspaces that are still ahead of the virtual time.
        self._idle_heap: KeyedHeap[str] = KeyedHeap()
        self._idle_tags: dict[str, float] = {}
        self._interactive: KeyedHeap[str] = KeyedHeap()
        self._aged: KeyedHeap[str] = KeyedHeap()
        self._young_batch: KeyedHeap[str] = KeyedHeap()
        self._ageing: KeyedHeap[str] = KeyedHeap()
        self._virtual = 0.0

    def push(self, call: QueuedCall) -> None:
        """Add a call.

        Raises:
            QueueFull: If the calls or tokens exceed the limits.
        """
        self._enter(call)
        flow = self._flows.get(call.workspace)
        if flow is None:
            flow = self._open_flow(call.workspace)
        flow.calls_of(call.priority)[call.request_id] = call
        flow.tokens += call.cost_tokens
        if call.priority != BATCH:
            flow.interactive_tokens += call.cost_tokens
        self._place(call.workspace, flow)

    def pop(self, now: float, allow_batch: bool = True) -> QueuedCall | None:
        """Remove and return the next call to serve, or None if there is none."""
        self._promote_aged(now)
        lowest = self._find_next(allow_batch)
        if lowest is None:
            return None
        start, workspace = lowest
        self._virtual = max(self._virtual, start)
        flow = self._flows[workspace]
        call = self._choose_in_flow(flow, now, allow_batch)
        flow.start = start + call.cost_tokens / flow.weight
        self.cancel(call.request_id)
        self._drop_passed_idle_tags()
        return call

    def cancel(self, request_id: str) -> QueuedCall | None:
        """Remove a waiting call; its workspace is not charged for it."""
        call = super().cancel(request_id)
        if call is None:
            return None
        flow = self._flows[call.workspace]
        del flow.calls_of(call.priority)[request_id]
        flow.tokens -= call.cost_tokens
        if call.priority != BATCH:
            flow.interactive_tokens -= call.cost_tokens
        self._place(call.workspace, flow)
        return call

    def adjust_charge(self, workspace: str, tokens: int) -> None:
        """Correct the workspace's start tag by the unused tokens of a served call.

        The tag is not moved below the virtual time, so that an overstated cost earns
        no credit. A negative number of tokens advances the tag.
        """
        change = tokens / self._weight(workspace)
        flow = self._flows.get(workspace)
        if flow is None:
            tag = max(self._virtual, self._idle_tags.get(workspace, 0.0))
            self._keep_idle_tag(workspace, tag - change)
            return
        lowest = min(flow.start, self._virtual)
        flow.start = max(lowest, flow.start - change)
        for heap in (self._interactive, self._aged, self._young_batch):
            if workspace in heap:
                heap.set(workspace, flow.start)

    def tokens_ahead(self, workspace: str, priority: str) -> float:
        """Return the tokens that would be served before a call that arrives now.

        Takes O(n) for n workspaces with queued calls. Until the call is next, another
        workspace is served at most in proportion to its weight.
        """
        weight = self._weight(workspace)
        own = self._flows.get(workspace)
        own_ahead = 0
        if own is not None:
            own_ahead = own.tokens if priority == BATCH else own.interactive_tokens
            tag = own.start
        else:
            tag = max(self._virtual, self._idle_tags.get(workspace, 0.0))
        tag += own_ahead / weight
        ahead = float(own_ahead)
        for name, flow in self._flows.items():
            if name == workspace:
                continue
            share = max(0.0, tag - flow.start) * flow.weight
            if priority == BATCH:
                ahead += min(flow.tokens, max(share, flow.interactive_tokens))
            elif name in self._interactive or name in self._aged:
                ahead += min(flow.tokens, share)
        return ahead

    def _weight(self, workspace: str) -> float:
        return max(self._weights.get(workspace, 1.0), _MIN_WEIGHT)

    def _find_next(self, allow_batch: bool) -> tuple[float, str] | None:
        if not allow_batch:
            return self._interactive.peek()
        urgent = [
            lowest
            for lowest in (self._interactive.peek(), self._aged.peek())
            if lowest is not None
        ]
        return min(urgent) if urgent else self._young_batch.peek()

    def _open_flow(self, workspace: str) -> _Flow:
        tag = max(self._virtual, self._idle_tags.pop(workspace, 0.0))
        self._idle_heap.discard(workspace)
        flow = _Flow(self._weight(workspace), tag)
        self._flows[workspace] = flow
        return flow

    def _close_flow(self, workspace: str, flow: _Flow) -> None:
        for heap in (self._interactive, self._aged, self._young_batch, self._ageing):
            heap.discard(workspace)
        del self._flows[workspace]
        self._keep_idle_tag(workspace, flow.start)

    def _keep_idle_tag(self, workspace: str, tag: float) -> None:
        """Keep an idle workspace's tag while it is ahead of the virtual time."""
        if tag > self._virtual:
            self._idle_heap.set(workspace, tag)
            self._idle_tags[workspace] = tag
        else:
            self._idle_heap.discard(workspace)
            self._idle_tags.pop(workspace, None)

    def _drop_passed_idle_tags(self) -> None:
        while (lowest := self._idle_heap.peek()) and lowest[0] <= self._virtual:
            self._idle_heap.pop()
            del self._idle_tags[lowest[1]]

    def _place(self, workspace: str, flow: _Flow) -> None:
        """Update the heaps of a workspace for the priorities of its queued calls."""
        if not flow.interactive and not flow.batch:
            self._close_flow(workspace, flow)
            return
        if flow.batch:
            oldest = next(iter(flow.batch.values()))
            self._ageing.set(workspace, oldest.enqueued_at + self._limits.ageing_s)
        else:
            self._ageing.discard(workspace)
        self._aged.discard(workspace)
        if flow.interactive:
            self._young_batch.discard(workspace)
            self._make_urgent(self._interactive, workspace, flow)
        else:
            self._interactive.discard(workspace)
            self._young_batch.set(workspace, flow.start)

    def _make_urgent(self, heap: KeyedHeap[str], workspace: str, flow: _Flow) -> None:
        flow.start = max(flow.start, self._virtual)
        heap.set(workspace, flow.start)

    def _promote_aged(self, now: float) -> None:
        while (lowest := self._ageing.peek()) and lowest[0] <= now:
            workspace = lowest[1]
            self._ageing.pop()
            if workspace in self._young_batch:
                self._young_batch.discard(workspace)
                self._make_urgent(self._aged, workspace, self._flows[workspace])

    def _choose_in_flow(self, flow: _Flow, now: float, allow_batch: bool) -> QueuedCall:
        """Choose between the interactive and the batch calls of a workspace.

        An aged batch call is chosen only while the workspace's batch credit is not
        negative; interactive calls replenish the credit by ``aged_batch_share``.
        """
        if not flow.interactive:
            return next(iter(flow.batch.values()))
        first = next(iter(flow.interactive.values()))
        if flow.batch and allow_batch:
            oldest = next(iter(flow.batch.values()))
            aged = now - oldest.enqueued_at >= self._limits.ageing_s
            if aged and flow.batch_credit >= 0:
                flow.batch_credit -= oldest.cost_tokens
                return oldest
            share = self._limits.aged_batch_share
            flow.batch_credit = min(0.0, flow.batch_credit + first.cost_tokens * share)
        return first
