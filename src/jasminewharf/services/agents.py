"""The links of an entry to the agents, and its calls in flight over them."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Any, ClassVar, NamedTuple

from .. import defaults, events, exceptions
from ..exceptions import OutcomeUnknown, Overloaded, PeerUnavailable, Refusal
from ..kernel import Kernel, Service
from ..messages.calls import (
    AgentLeaving,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    CacheEvents,
    CallRefused,
    CancelCall,
    ForwardCall,
    LeavingNoted,
    LoadState,
    ResumeCall,
)
from ..messages.feed import NodeReport
from ..messages.link import Welcome
from .answers import CallInFlight, CallPlan
from .link import LinkClient

__all__ = ["Agents", "FreshLoad"]

_logger = logging.getLogger(__name__)


class FreshLoad(NamedTuple):
    """A backend server's load as last reported to this entry by its agent.

    ``own`` is the number of this entry's calls at the server when the report arrived;
    ``at`` is that time in seconds of the event loop's clock.
    """

    load: LoadState
    own: int
    at: float


class Agents(Service):
    """Keeps one link per agent and the calls that were sent over it.

    Attributes:
        loads: The last reported load of each backend server.
        own: Number of this entry's calls in flight at each backend server.
    """

    name: ClassVar[str] = "agents"
    requires: ClassVar[tuple[str, ...]] = ("process", "reports", "traces")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.loads: dict[str, FreshLoad] = {}
        self.own: dict[str, int] = {}
        self._links: dict[str, LinkClient] = {}
        # The lives of agents that have said that they are about to stop.
        self._leaving: dict[str, int] = {}
        self._calls: dict[str, CallInFlight] = {}
        self._listeners: list[Callable[[], None]] = []
        self._cache_listeners: list[Callable[[CacheEvents], None]] = []
        self._metrics = kernel.find("process").metrics

    def listen(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when an agent connects or the reports change."""
        self._listeners.append(listener)

    def listen_cache(self, listener: Callable[[CacheEvents], None]) -> None:
        """Call ``listener`` with each message of cache events."""
        self._cache_listeners.append(listener)

    async def start(self) -> None:
        """Connect to each agent in the node reports."""
        self.kernel.find("reports").listen(self._follow_reports)
        self._metrics.watch("agent_links", lambda: len(self._links))

    async def stop(self) -> None:
        """Close the links."""
        await super().stop()
        for link in self._links.values():
            link.close()

    def can_take_calls(self, report: NodeReport) -> bool:
        """Return whether the agent is connected with the incarnation that reported.

        The models that a previous incarnation reported may not be known to a new one.
        """
        link = self._links.get(report.node)
        if link is None or link.welcome is None:
            return False
        if self._is_leaving(report.node, link.welcome):
            return False
        return link.welcome.incarnation == report.incarnation

    def _is_leaving(self, node: str, welcome: Welcome) -> bool:
        return self._leaving.get(node) == welcome.incarnation

    def forward(self, plan: CallPlan, node: str, backend: str) -> CallInFlight:
        """Send a call to an agent.

        Raises:
            Overloaded: If nothing was sent.
        """
        link = self._links.get(node)
        if link is None or link.welcome is None:
            raise Overloaded("the agent is not reachable", retry_after_ms=200)
        if self._is_leaving(node, link.welcome):
            raise Overloaded("the agent is about to stop", retry_after_ms=200)
        incarnation = link.welcome.incarnation
        call = CallInFlight(
            plan, node, incarnation, backend, lambda m: self._send_resume(node, m)
        )
        try:
            link.send(_build_forward(plan, incarnation, backend))
        except PeerUnavailable:
            raise Overloaded("the agent is not reachable", retry_after_ms=200) from None
        self._calls[plan.request_id] = call
        self.own[backend] = self.own.get(backend, 0) + 1
        return call

    def finish(self, call: CallInFlight) -> None:
        """Remove a call that has ended."""
        if self._calls.pop(call.plan.request_id, None) is not None:
            self.own[call.backend] -= 1

    def cancel(self, call: CallInFlight, reason: str) -> None:
        """Cancel a call at its agent and remove it."""
        if call.plan.request_id not in self._calls:
            return
        self.finish(call)
        try:
            self._links[call.agent].send(CancelCall(call.plan.request_id, reason))
        except (KeyError, PeerUnavailable):
            return

    def _send_resume(self, node: str, message: ResumeCall) -> None:
        try:
            self._links[node].send(message)
        except (KeyError, PeerUnavailable):
            return

    def _follow_reports(self) -> None:
        digest = self.kernel.find("reports").digest
        for report in digest.values():
            if report.role == "agent" and report.address:
                self._follow(report)
        busy = {call.agent for call in self._calls.values()}
        for node in [n for n in self._links if n not in digest and n not in busy]:
            self._links.pop(node).close()
            self._leaving.pop(node, None)
        self._notify()

    def _follow(self, report: NodeReport) -> None:
        link = self._links.get(report.node)
        if link is None or link.address != report.address:
            if link is not None:
                link.close()
                self._lose(report.node)
            self._links[report.node] = self._connect(report)

    def _connect(self, report: NodeReport) -> LinkClient:
        node = report.node
        link = self.kernel.find("process").connect(
            "agent",
            node,
            report.address,
            {
                AnswerHead: lambda message: self._take_head(node, message),
                AnswerChunk: lambda message: self._take_chunk(node, message),
                AnswerEnd: lambda message: self._take_end(node, message),
                CallRefused: lambda message: self._take_refusal(node, message),
                CacheEvents: self._take_cache_events,
                AgentLeaving: lambda message: self._note_leaving(node),
            },
        )
        link.on_lost = lambda: self._lose(node)
        link.on_welcome = lambda welcome: self._regain(node, welcome)
        return link

    def _note_leaving(self, node: str) -> None:
        link = self._links.get(node)
        if link is None or link.welcome is None:
            return
        self._leaving[node] = link.welcome.incarnation
        with contextlib.suppress(PeerUnavailable):
            link.send(LeavingNoted())
        self._notify()

    def _lose(self, node: str) -> None:
        for call in self._calls.values():
            if call.agent == node:
                call.lose_link()

    def _regain(self, node: str, welcome: Welcome) -> None:
        """Resume calls if the agent did not restart; fail them otherwise."""
        for call in list(self._calls.values()):
            if call.agent != node or not call.is_lost:
                continue
            if call.incarnation == welcome.incarnation:
                call.regain_link()
            else:
                call.fail(OutcomeUnknown("the agent restarted", not_run=False))
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def _find(self, node: str, request_id: str) -> CallInFlight | None:
        """Return the call that an agent answers; one tried elsewhere is not its own."""
        call = self._calls.get(request_id)
        if call is not None and call.agent != node:
            call = None
        if call is None:
            self._metrics.count("dropped_answers_total")
            events.emit(_logger, events.ANSWER_DROPPED, request_id=request_id)
        return call

    def _note_load(self, call: CallInFlight, load: LoadState) -> None:
        own = self.own.get(call.backend, 0)
        self.loads[call.backend] = FreshLoad(
            load, own, asyncio.get_running_loop().time()
        )

    def _take_head(self, node: str, head: AnswerHead) -> None:
        call = self._find(node, head.request_id)
        if call is not None:
            self._note_load(call, head.load)
            call.take_head(head)

    def _take_chunk(self, node: str, chunk: AnswerChunk) -> None:
        call = self._find(node, chunk.request_id)
        if call is not None:
            call.take_chunk(chunk)

    def _take_end(self, node: str, end: AnswerEnd) -> None:
        call = self._find(node, end.request_id)
        if call is None:
            return
        for span in end.spans:
            self.kernel.find("traces").sink.add(span)
        self._note_load(call, end.load)
        call.take_end(end)

    def _take_refusal(self, node: str, refused: CallRefused) -> None:
        call = self._find(node, refused.request_id)
        if call is not None:
            self._note_load(call, refused.load)
            call.fail(_restore_refusal(refused))

    def _take_cache_events(self, message: CacheEvents) -> None:
        for listener in self._cache_listeners:
            listener(message)


def _build_forward(plan: CallPlan, incarnation: int, backend: str) -> ForwardCall:
    left_s = plan.deadline - asyncio.get_running_loop().time()
    return ForwardCall(
        plan.request_id,
        incarnation,
        backend,
        plan.workspace,
        plan.model,
        plan.adapter,
        plan.method,
        plan.target,
        plan.headers,
        plan.body,
        max(int(left_s * defaults.MS_PER_S), 0),
        plan.cost_tokens,
        plan.priority,
        plan.idempotent,
        plan.stream,
        plan.traceparent,
    )


def _restore_refusal(refused: CallRefused) -> Refusal:
    kind: Any = getattr(exceptions, refused.error, None)
    if not isinstance(kind, type) or not issubclass(kind, Refusal):
        kind = Overloaded
    return kind(
        refused.text,
        not_run=refused.not_run,
        retry_after_ms=refused.retry_after_ms or None,
    )
