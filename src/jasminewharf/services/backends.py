"""Admits calls at an agent, runs them at backend servers and returns the answers."""

import asyncio
import logging
from collections import deque
from typing import Any, ClassVar

from .. import defaults, events
from ..decisions.coalescing import Batch, Coalescer, choose_delay
from ..decisions.queueing import QueuedCall
from ..dialects import HttpCall
from ..exceptions import (
    BackendError,
    BackendUnreachable,
    DeadlineExceeded,
    IncarnationMismatch,
    LeaseExpired,
    ModelUnavailable,
    NotFound,
    OutcomeUnknown,
    Overloaded,
    Refusal,
    ShuttingDown,
)
from ..kernel import Kernel, Service
from ..messages.calls import (
    AgentLeaving,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    CallRefused,
    CancelCall,
    ForwardCall,
    LeavingNoted,
    LoadState,
    ResumeCall,
)
from ..messages.feed import BackendReport
from ..tracing import Span
from .backend import AgentCall, Backend
from .link import LinkServer, Peer

__all__ = ["Backends"]


_logger = logging.getLogger(__name__)

_RETRY_MS = 500
_CALLING_ROLES = frozenset({"entry"})
_MS_PER_S = 1000
# Engines state the token count at the end of an answer; only this part is searched.
_TAIL_BYTES = 4096
# Engines send one server-sent event per token.
_EVENT_MARK = b"data:"


class Backends(Service):
    """Accepts calls from entries and runs them at this host's backend servers.

    Attributes:
        backends: The backend servers of this host by name.
    """

    name: ClassVar[str] = "backends"
    requires: ClassVar[tuple[str, ...]] = ("process", "feed", "reports")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings = kernel.settings
        self.backends = {
            item.name: Backend(item, settings.policy.queue)
            for item in settings.backends
        }
        self._calls: dict[str, AgentCall] = {}
        self._ended: deque[tuple[float, AgentCall]] = deque()
        self._coalescer: Coalescer[tuple[Peer, Any]] = Coalescer()
        self._flush_timer: asyncio.TimerHandle | None = None
        self._expiry_timers: dict[str, asyncio.TimerHandle] = {}
        self._leaving = False
        # Entries that may still send calls to this leaving agent.
        self._uninformed: dict[bytes, Peer] = {}
        self._server: LinkServer | None = None
        self._metrics = kernel.find("process").metrics
        for backend in self.backends.values():
            backend.client.metrics = self._metrics

    async def start(self) -> None:
        """Listen for entries."""
        process = self.kernel.find("process")
        self._server = LinkServer(
            process.identity,
            process.context,
            {
                ForwardCall: self._take_call,
                CancelCall: self._take_cancel,
                LeavingNoted: self._note_informed,
                ResumeCall: self._take_resume,
            },
            process.security,
            _CALLING_ROLES,
        )
        self._server.is_idle = lambda: not self._calls
        self._server.on_peer = self._announce_leaving
        reports = self.kernel.find("reports")
        reports.address = await self._server.listen(self.kernel.settings.listen)
        self.kernel.find("feed").listen(lambda applied: self._read_weights())
        self._metrics.watch("calls_in_flight", lambda: len(self._calls))
        self.spawn(self._end_unwanted_forever(), essential=True)

    async def _end_unwanted_forever(self) -> None:
        """Cancel idempotent calls whose entry has disconnected and not reconnected.

        A call is cancelled at the second check that finds it abandoned, so the entry
        has at least ``RESUME_WINDOW_S`` to resume it.
        """
        while True:
            await asyncio.sleep(defaults.RESUME_WINDOW_S)
            self._forget_ended()
            gone = [call for call in self._calls.values() if call.is_abandoned]
            for call in gone:
                if call.was_abandoned and call.task is not None:
                    call.task.cancel()
                call.was_abandoned = True

    async def drain(self) -> None:
        """Refuse new calls and wait for those in flight, up to the drain timeout.

        Calls may be on their way until each entry has answered that it knows; they
        would be lost with the link.
        """
        began_at = _now()
        self._leaving = True
        self.kernel.find("reports").leave()
        for peer in self.entries():
            self._announce_leaving(peer)
        informed_by = began_at + defaults.AGENT_LEAVE_S
        while self._list_uninformed() and _now() < informed_by:
            await asyncio.sleep(defaults.DRAIN_POLL_S)
        if uninformed := self._list_uninformed():
            events.emit(_logger, events.ENTRIES_UNINFORMED, entries=uninformed)
        ends_at = began_at + self.kernel.settings.timing.drain_timeout_s
        while self._unfinished() and _now() < ends_at:
            await asyncio.sleep(defaults.DRAIN_POLL_S)

    def _announce_leaving(self, peer: Peer) -> None:
        if self._leaving:
            self._uninformed[peer.routing_id] = peer
            peer.send(AgentLeaving())

    def _note_informed(self, peer: Peer, message: LeavingNoted) -> None:
        self._uninformed.pop(peer.routing_id, None)

    def _list_uninformed(self) -> list[str]:
        return [p.node for p in self._uninformed.values() if not p.is_forgotten]

    async def stop(self) -> None:
        """Flush batched messages and close all connections."""
        self._send_batches(self._coalescer.flush_all())
        await super().stop()
        if self._server is not None:
            self._server.close()
        for backend in self.backends.values():
            backend.client.close()

    def entries(self) -> list[Peer]:
        """Return the connected entries."""
        return self._server.peers() if self._server is not None else []

    def _unfinished(self) -> bool:
        return any(call.end is None for call in self._calls.values())

    def _read_weights(self) -> None:
        """Update the workspaces' weights from the documents."""
        for document in self.kernel.find("feed").state.all_documents():
            for backend in self.backends.values():
                if backend.settings.pool == document.pool:
                    for access in document.workspaces:
                        backend.weights[access.workspace] = float(access.weight)

    def _take_call(self, peer: Peer, call: ForwardCall) -> None:
        backend = self.backends.get(call.backend)
        now = _now()
        try:
            self._check(call, backend)
            assert backend is not None
            accepted = AgentCall(peer, call, backend)
            backend.admission.offer(
                QueuedCall(
                    call.request_id,
                    call.workspace,
                    call.priority,
                    call.cost_tokens,
                    now,
                    accepted.deadline,
                ),
                call.model,
                now,
            )
        except Refusal as refusal:
            self._refuse(peer, call.request_id, refusal, backend)
            return
        self._calls[call.request_id] = accepted
        backend.count_start(call.model)
        self._start_ready(backend)

    def _check(self, call: ForwardCall, backend: Backend | None) -> None:
        """Check that a call may run at this agent.

        Raises:
            Refusal: With ``not_run`` true, as nothing was sent to the backend server.
        """
        if call.agent_incarnation != self.kernel.find("process").identity.incarnation:
            # The previous incarnation of this agent may already have run the call.
            raise Overloaded(
                IncarnationMismatch.__doc__ or "", retry_after_ms=_RETRY_MS
            )
        if self._leaving or self._is_draining():
            raise ShuttingDown("this host takes no new work", retry_after_ms=_RETRY_MS)
        if not self.kernel.find("feed").is_fresh():
            raise LeaseExpired(
                "the agent's configuration is not confirmed", retry_after_ms=_RETRY_MS
            )
        if backend is None:
            raise NotFound(f"no backend server {call.backend!r} here")
        if call.request_id in self._calls:
            raise Overloaded("the request identifier is in use")
        if not backend.reachable:
            raise Overloaded(
                "the backend server is not reachable", retry_after_ms=_RETRY_MS
            )
        if call.model and call.model not in backend.loaded:
            raise ModelUnavailable(
                f"model {call.model!r} is not loaded here", retry_after_ms=_RETRY_MS
            )

    def _is_draining(self) -> bool:
        state = self.kernel.find("feed").state
        settings = self.kernel.settings
        is_evacuated = settings.zone in state.evacuations.evacuated
        return is_evacuated or settings.host_name in state.draining

    def _refuse(
        self, peer: Peer, request_id: str, refusal: Refusal, backend: Backend | None
    ) -> None:
        self._metrics.count("calls_refused_total", type=refusal.kind)
        load = backend.read_load(_now()) if backend else LoadState(0, 0, 0, 0.0)
        peer.send(
            CallRefused(
                request_id,
                type(refusal).__name__,
                refusal.message,
                refusal.not_run,
                refusal.retry_after_ms or 0,
                load,
            )
        )

    def _start_ready(self, backend: Backend) -> None:
        now = _now()
        while (queued := backend.admission.take(now)) is not None:
            call = self._calls[queued.request_id]
            call.spans.append(call.queue_span.end().to_json())
            self._metrics.observe("queue_seconds", now - call.arrived_at)
            call.task = self.spawn(self._run(call))
        self._refuse_expired(backend, now)
        self._arm_expiry(backend)

    def _arm_expiry(self, backend: Backend) -> None:
        name = backend.settings.name
        timer = self._expiry_timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        deadline = backend.admission.queue.next_deadline()
        if deadline is not None:
            loop = asyncio.get_running_loop()
            self._expiry_timers[name] = loop.call_at(deadline, self._expire, backend)

    def _expire(self, backend: Backend) -> None:
        self._expiry_timers.pop(backend.settings.name, None)
        self._start_ready(backend)

    def _refuse_expired(self, backend: Backend, now: float) -> None:
        """Refuse queued calls that can no longer be served before their deadline."""
        for queued in backend.admission.expire(now):
            call = self._calls.pop(queued.request_id)
            backend.count_end(call.call.model)
            refusal = Overloaded(
                "the call can no longer be served before its deadline",
                retry_after_ms=_RETRY_MS,
            )
            self._refuse(call.peer, queued.request_id, refusal, backend)

    async def _run(self, call: AgentCall) -> None:
        request = call.call
        span = Span("backend", call.span.traceparent, backend=request.backend)
        complete = False
        try:
            async with asyncio.timeout_at(call.deadline):
                await self._exchange_with_adapter(call, span)
            complete = True
        except Refusal as refusal:
            self._end_refused(call, span, refusal)
        except BackendUnreachable as error:
            self._note_unreachable(call.backend, error)
            refusal = Overloaded(
                "the backend server is not reachable", retry_after_ms=_RETRY_MS
            )
            self._end_refused(call, span, refusal)
        except BackendError as error:
            self._end_refused(call, span, _broken_refusal(request, error))
        except TimeoutError:
            self._cancel_at_engine(call)
            refusal = DeadlineExceeded("the deadline passed", not_run=False)
            self._end_refused(call, span, refusal)
        except asyncio.CancelledError:
            self._cancel_at_engine(call)
            self._forget(call)
            raise
        finally:
            call.backend.admission.finish(
                request.request_id, _now(), complete=complete, tokens=call.tokens
            )
            call.backend.count_end(request.model)
            self._start_ready(call.backend)

    async def _exchange_with_adapter(self, call: AgentCall, span: Span) -> None:
        request = call.call
        if not request.adapter:
            await self._exchange(call, span)
            return
        adapters = self.kernel.find("adapters")
        number = await adapters.acquire(
            call.backend, request.model, request.adapter, call.deadline
        )
        try:
            await self._exchange(call, span)
        finally:
            adapters.release(number, request.adapter)

    async def _exchange(self, call: AgentCall, span: Span) -> None:
        request = call.call
        headers = [*request.headers, ("traceparent", span.traceparent)]
        headers += call.backend.dialect.call_headers(
            request.request_id,
            request.model,
            request.adapter,
            request.priority,
            call.backend.token,
        )
        response = await call.backend.client.open(
            request.method,
            request.target,
            headers,
            request.body,
            repeatable=request.idempotent,
            # Not every server names the request in its answer.
            is_exclusive=True,
        )
        try:
            load = call.backend.read_load(_now())
            head = AnswerHead(
                request.request_id, response.status, response.headers, load
            )
            call.head = head
            self._send(call, head, 0, urgent=request.stream)
            async for chunk in response.chunks():
                self._send_chunk(call, chunk)
        finally:
            response.close()
        self._end_answered(call, span, response.status)

    def _send_chunk(self, call: AgentCall, data: bytes) -> None:
        is_first = call.replay.length == 0
        offset = call.replay.append(data)
        call.tail = (call.tail + data)[-_TAIL_BYTES:]
        if call.call.stream:
            self._note_stream(call, data)
        chunk = AnswerChunk(call.call.request_id, offset, data)
        self._send(call, chunk, len(data), urgent=call.call.stream and is_first)

    def _note_stream(self, call: AgentCall, data: bytes) -> None:
        now = _now()
        tokens = data.count(_EVENT_MARK)
        call.backend.rate.add(tokens, now)
        if call.chunk_at and tokens:
            call.backend.note_token_interval((now - call.chunk_at) / tokens)
            intervals = (item.token_interval_s for item in self.backends.values())
            self._coalescer.delay_s = choose_delay(max(intervals))
        call.chunk_at = now

    def _end_answered(self, call: AgentCall, span: Span, status: int) -> None:
        tokens = call.backend.dialect.read_tokens(call.tail)
        call.tokens = tokens
        if not call.call.stream and tokens > 0:
            call.backend.rate.add(tokens, _now())
        call.spans.append(span.end(status=status, tokens=tokens).to_json())
        self._send_end(call, "", tokens)

    def _end_refused(self, call: AgentCall, span: Span, refusal: Refusal) -> None:
        call.spans.append(span.end(refusal.kind).to_json())
        if call.replay.length or not refusal.not_run:
            self._send_end_or_refusal(call, refusal)
            return
        self._forget(call)
        self._refuse(call.peer, call.call.request_id, refusal, call.backend)

    def _send_end_or_refusal(self, call: AgentCall, refusal: Refusal) -> None:
        if call.replay.length:
            self._send_end(call, refusal.message, -1)
            return
        self._forget(call)
        self._send_batches(self._coalescer.flush_all())
        self._refuse(call.peer, call.call.request_id, refusal, call.backend)

    def _send_end(self, call: AgentCall, error: str, tokens: int) -> None:
        load = call.backend.read_load(_now())
        call.spans.append(call.span.end(error).to_json())
        end = AnswerEnd(
            call.call.request_id, call.replay.length, error, tokens, load, call.spans
        )
        call.end = end
        self._send(call, end, 0, urgent=True)
        self._ended.append((_now() + defaults.REPLAY_KEPT_S, call))
        self._forget_ended()

    def _forget_ended(self) -> None:
        """Evict finished answers that are past their retention time or in excess."""
        now = _now()
        while self._ended and (
            self._ended[0][0] <= now or len(self._ended) > defaults.REPLAY_KEPT_CALLS
        ):
            self._forget(self._ended.popleft()[1])

    def _send(self, call: AgentCall, message: Any, size: int, *, urgent: bool) -> None:
        peer = call.peer
        key = peer.routing_id.hex()
        batch = self._coalescer.add(key, (peer, message), size, _now(), urgent=urgent)
        if batch is not None:
            self._send_batches([batch])
        due = self._coalescer.next_due()
        if due is not None and self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_at(due, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        self._send_batches(self._coalescer.flush(_now()))
        due = self._coalescer.next_due()
        if due is not None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_at(due, self._flush)

    def _send_batches(self, batches: list[Batch[tuple[Peer, Any]]]) -> None:
        for batch in batches:
            for peer, message in batch.frames:
                peer.send(message)

    def _take_cancel(self, peer: Peer, message: CancelCall) -> None:
        call = self._calls.get(message.request_id)
        if call is None or call.end is not None:
            return
        if call.task is not None:
            call.task.cancel()
            return
        if call.backend.admission.cancel(message.request_id):
            self._forget(call)
            call.backend.count_end(call.call.model)
            self._arm_expiry(call.backend)

    def _take_resume(self, peer: Peer, message: ResumeCall) -> None:
        call = self._calls.get(message.request_id)
        if call is None:
            refusal = OutcomeUnknown("the answer is no longer kept", not_run=False)
            self._refuse(peer, message.request_id, refusal, None)
            return
        call.peer = peer
        call.was_abandoned = False
        try:
            chunks = call.replay.read(message.offset)
        except Refusal as refusal:
            self._refuse(peer, message.request_id, refusal, call.backend)
            return
        if message.offset == 0 and call.head is not None:
            peer.send(call.head)
        for offset, data in chunks:
            peer.send(AnswerChunk(message.request_id, offset, data))
        if call.end is not None:
            peer.send(call.end)

    def _cancel_at_engine(self, call: AgentCall) -> None:
        backend = call.backend
        if backend.dialect.has_models:
            order = backend.dialect.cancel_call(call.call.request_id, backend.token)
            self.spawn(self._send_cancel(backend, order))

    async def _send_cancel(self, backend: Backend, order: HttpCall) -> None:
        try:
            await backend.client.fetch(
                order.method, order.target, order.body, headers=list(order.headers)
            )
        except BackendError as error:
            events.emit(
                _logger,
                events.ORDER_FAILED,
                backend=backend.settings.name,
                error=error,
            )

    def _note_unreachable(self, backend: Backend, error: BackendError) -> None:
        if backend.reachable:
            backend.reachable = False
            events.emit(
                _logger,
                events.BACKEND_UNREACHABLE,
                backend=backend.settings.name,
                error=error,
            )
            self.kernel.find("reports").report_now()

    def _forget(self, call: AgentCall) -> None:
        self._calls.pop(call.call.request_id, None)

    def describe(self, backend: Backend, replicas: list, cached: list) -> BackendReport:
        """Build the report of one backend server."""
        load = backend.read_load(_now())
        return BackendReport(
            backend.settings.name,
            backend.settings.pool,
            backend.settings.dialect,
            backend.reachable,
            *load,
            replicas,
            cached,
        )


def _broken_refusal(request: ForwardCall, error: BackendError) -> Refusal:
    if request.idempotent:
        return Overloaded(f"the backend server failed: {error}", not_run=False)
    text = "the backend server failed; the call may have run"
    return OutcomeUnknown(text, not_run=False)


def _now() -> float:
    return asyncio.get_running_loop().time()
