"""The entry's way to the agents: waiting, choosing, forwarding, reassembling."""

import asyncio
import logging
from collections.abc import AsyncIterator
from typing import ClassVar, NamedTuple

from .. import defaults, events, exceptions
from ..exceptions import (
    DeadlineExceeded,
    ModelUnavailable,
    OutcomeUnknown,
    Overloaded,
    PeerUnavailable,
    QueueFull,
    Refusal,
    StreamInterrupted,
)
from ..kernel import Kernel, Service
from ..messages.calls import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    CallRefused,
    CancelCall,
    ForwardCall,
    LoadState,
)
from ..messages.feed import BackendReport, Demand, NodeReport
from .link import LinkClient

__all__ = ["Answer", "CallPlan", "Router"]

_logger = logging.getLogger(__name__)


class CallPlan(NamedTuple):
    """A checked request, ready to be forwarded.

    ``deadline`` is in seconds of the event loop's clock.
    """

    request_id: str
    workspace: str
    service: str
    pool: str
    model: str
    adapter: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline: float
    cost_tokens: int
    priority: str
    idempotent: bool
    stream: bool
    traceparent: str


class Target(NamedTuple):
    """A backend server that can take the call."""

    agent: NodeReport
    backend: BackendReport


class Answer:
    """An answer as it arrives.

    Attributes:
        status: The HTTP status.
        headers: The backend server's headers.
        tokens: The true cost in tokens once the answer has ended; -1 if unknown.
    """

    def __init__(self, head: AnswerHead, call: "_Call") -> None:
        self.status = head.status
        self.headers = head.headers
        self.tokens = -1
        self._call = call

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raises:
            StreamInterrupted: If the answer cannot be completed.
        """
        received = 0
        while True:
            event = await self._call.events.get()
            if isinstance(event, AnswerChunk):
                if event.offset != received:
                    raise StreamInterrupted("part of the answer is lost", not_run=False)
                received += len(event.data)
                yield event.data
            elif isinstance(event, AnswerEnd):
                if event.error or event.length != received:
                    text = event.error or "part of the answer is lost"
                    raise StreamInterrupted(text, not_run=False)
                self.tokens = event.tokens
                return
            elif isinstance(event, Refusal):
                raise event


class _Call:
    def __init__(self, plan: CallPlan, agent: str) -> None:
        self.plan = plan
        self.agent = agent
        self.events: asyncio.Queue = asyncio.Queue()
        self.has_head = False


class _Waiter(NamedTuple):
    plan: CallPlan
    ready: asyncio.Future


class Router(Service):
    """Forwards calls to agents and hands their answers back."""

    name: ClassVar[str] = "router"
    requires: ClassVar[tuple[str, ...]] = ("process", "feed", "reports", "traces")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._links: dict[str, LinkClient] = {}
        self._calls: dict[str, _Call] = {}
        self._waiters: list[_Waiter] = []
        self._loads: dict[str, LoadState] = {}
        self._last_call: dict[tuple[str, str, str], float] = {}
        self.stale_answer_count = 0

    async def start(self) -> None:
        """Follow the reports of agents."""
        reports = self.kernel.find("reports")
        reports.read_demands = self._read_demands
        reports.listen(self._follow_agents)
        self.kernel.find("feed").listen(lambda applied: self._wake_waiters())

    async def stop(self) -> None:
        """Close the links to agents."""
        await super().stop()
        for link in self._links.values():
            link.close()

    async def call(self, plan: CallPlan) -> Answer:
        """Forward a call and return its answer once its head has arrived.

        Raises:
            Refusal: Saying whether a backend server can have begun the call.
        """
        self._last_call[(plan.service, plan.model, plan.adapter)] = _now()
        attempts = 0
        while True:
            target = await self._wait_for_target(plan)
            try:
                return await self._forward(plan, target)
            except Refusal as refusal:
                attempts += 1
                if not refusal.not_run or attempts >= defaults.FORWARD_ATTEMPTS:
                    raise
                await asyncio.sleep(defaults.FORWARD_RETRY_S)

    def cancel(self, request_id: str, reason: str) -> None:
        """Tell the agent that the answer is no longer wanted."""
        call = self._calls.pop(request_id, None)
        if call is None:
            return
        try:
            self._links[call.agent].send(CancelCall(request_id, reason))
        except (KeyError, PeerUnavailable):
            return

    async def _wait_for_target(self, plan: CallPlan) -> Target:
        targets = self._find_targets(plan)
        if not targets:
            await self._wait_until_loaded(plan)
            targets = self._find_targets(plan)
        if not targets:
            raise ModelUnavailable("no backend server is ready", retry_after_ms=1000)
        return self._choose(targets)

    async def _wait_until_loaded(self, plan: CallPlan) -> None:
        if len(self._waiters) >= self.kernel.settings.limits.waiting_requests:
            raise QueueFull("too many requests wait", retry_after_ms=1000)
        waiter = _Waiter(plan, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        self.kernel.find("reports").report_now()
        try:
            async with asyncio.timeout_at(plan.deadline):
                await waiter.ready
        except TimeoutError:
            raise ModelUnavailable(
                "the model was not loaded in time", retry_after_ms=1000
            ) from None
        finally:
            self._waiters.remove(waiter)

    def _wake_waiters(self) -> None:
        for waiter in self._waiters:
            if not waiter.ready.done() and self._find_targets(waiter.plan):
                waiter.ready.set_result(None)

    def _find_targets(self, plan: CallPlan) -> list[Target]:
        state = self.kernel.find("feed").state
        loaded = {
            replica.backend
            for replica in state.replicas.values()
            if replica.model == plan.model and replica.phase == "loaded"
        }
        targets = []
        for agent in self.kernel.find("reports").digest.values():
            if agent.leaving or agent.host in state.draining:
                continue
            link = self._links.get(agent.node)
            if link is None or not link.is_connected:
                continue
            for backend in agent.backends:
                if backend.pool != plan.pool or not backend.reachable:
                    continue
                if not plan.model or backend.backend in loaded:
                    targets.append(Target(agent, backend))
        return targets

    def _choose(self, targets: list[Target]) -> Target:
        chosen = self.kernel.find("process").random.sample(
            targets, min(2, len(targets))
        )
        return min(chosen, key=self._load_of)

    def _load_of(self, target: Target) -> int:
        load = self._loads.get(target.backend.backend)
        return load.running + load.queued if load else target.backend.running

    async def _forward(self, plan: CallPlan, target: Target) -> Answer:
        link = self._links[target.agent.node]
        if link.welcome is None:
            raise Overloaded("the agent is not reachable", retry_after_ms=200)
        remaining_s = plan.deadline - _now()
        if remaining_s <= 0:
            raise DeadlineExceeded("the deadline has passed")
        call = _Call(plan, target.agent.node)
        self._calls[plan.request_id] = call
        try:
            link.send(_build_forward(plan, target, link, remaining_s))
            head = await self._wait_for_head(call)
        except PeerUnavailable:
            self._calls.pop(plan.request_id, None)
            raise Overloaded("the agent is not reachable", retry_after_ms=200) from None
        except BaseException:
            self.cancel(plan.request_id, "not wanted")
            raise
        return Answer(head, call)

    async def _wait_for_head(self, call: _Call) -> AnswerHead:
        try:
            async with asyncio.timeout_at(
                call.plan.deadline + defaults.DEADLINE_GRACE_S
            ):
                event = await call.events.get()
        except TimeoutError:
            raise DeadlineExceeded("no answer in time", not_run=False) from None
        if isinstance(event, Refusal):
            raise event
        return event

    def _follow_agents(self) -> None:
        for report in self.kernel.find("reports").digest.values():
            if report.role != "agent" or not report.address:
                continue
            link = self._links.get(report.node)
            if link is not None and link.address == report.address:
                continue
            if link is not None:
                link.close()
            self._links[report.node] = self._connect(report)
        self._wake_waiters()

    def _connect(self, report: NodeReport) -> LinkClient:
        link = self.kernel.find("process").connect(
            "agent",
            report.node,
            report.address,
            {
                AnswerHead: self._take_head,
                AnswerChunk: self._take_event,
                AnswerEnd: self._take_end,
                CallRefused: self._take_refusal,
            },
        )
        node = report.node
        link.on_lost = lambda: self._fail_calls(node)
        link.on_welcome = lambda welcome: self._wake_waiters()
        return link

    def _fail_calls(self, node: str) -> None:
        """End the calls of an agent that is lost; whether they ran is unknown."""
        for request_id, call in list(self._calls.items()):
            if call.agent == node:
                del self._calls[request_id]
                call.events.put_nowait(
                    StreamInterrupted("the agent was lost", not_run=False)
                    if call.has_head
                    else _lost_refusal(call.plan)
                )

    def _find_call(self, request_id: str) -> _Call | None:
        call = self._calls.get(request_id)
        if call is None:
            self.stale_answer_count += 1
            events.emit(_logger, events.ANSWER_DROPPED, request_id=request_id)
        return call

    def _take_head(self, head: AnswerHead) -> None:
        call = self._find_call(head.request_id)
        if call is not None and not call.has_head:
            call.has_head = True
            call.events.put_nowait(head)

    def _take_event(self, chunk: AnswerChunk) -> None:
        call = self._find_call(chunk.request_id)
        if call is not None:
            call.events.put_nowait(chunk)

    def _take_end(self, end: AnswerEnd) -> None:
        call = self._find_call(end.request_id)
        if call is None:
            return
        del self._calls[end.request_id]
        for span in end.spans:
            self.kernel.find("traces").sink.add(span)
        call.events.put_nowait(end)

    def _take_refusal(self, refused: CallRefused) -> None:
        call = self._find_call(refused.request_id)
        if call is None:
            return
        del self._calls[refused.request_id]
        kind = getattr(exceptions, refused.error, Overloaded)
        if not isinstance(kind, type) or not issubclass(kind, Refusal):
            kind = Overloaded
        retry_after_ms = refused.retry_after_ms or None
        call.events.put_nowait(
            kind(refused.text, not_run=refused.not_run, retry_after_ms=retry_after_ms)
        )

    def _read_demands(self) -> list[Demand]:
        grouped: dict[tuple[str, str, str], list[CallPlan]] = {}
        for waiter in self._waiters:
            plan = waiter.plan
            if plan.model:
                key = (plan.service, plan.model, plan.adapter)
                grouped.setdefault(key, []).append(plan)
        now = _now()
        demands = []
        for key, last in list(self._last_call.items()):
            if not key[1]:
                continue
            plans = grouped.get(key, [])
            deadline = min((plan.deadline for plan in plans), default=now)
            demands.append(
                Demand(
                    *key,
                    len(plans),
                    sum(plan.cost_tokens for plan in plans),
                    _to_ms(deadline - now),
                    _to_ms(now - last),
                )
            )
            if not plans and now - last > defaults.DEMAND_MEMORY_S:
                del self._last_call[key]
        return demands


def _build_forward(
    plan: CallPlan, target: Target, link: LinkClient, remaining_s: float
) -> ForwardCall:
    assert link.welcome is not None
    return ForwardCall(
        plan.request_id,
        link.welcome.incarnation,
        target.backend.backend,
        plan.workspace,
        plan.model,
        plan.adapter,
        plan.method,
        plan.target,
        plan.headers,
        plan.body,
        _to_ms(remaining_s),
        plan.cost_tokens,
        plan.priority,
        plan.idempotent,
        plan.stream,
        plan.traceparent,
    )


def _lost_refusal(plan: CallPlan) -> Refusal:
    if plan.idempotent:
        return StreamInterrupted("the agent was lost", not_run=False)
    return OutcomeUnknown("the agent was lost; the call may have run", not_run=False)


def _to_ms(seconds: float) -> int:
    return max(int(seconds * defaults.MS_PER_S), 0)


def _now() -> float:
    return asyncio.get_running_loop().time()
