"""Callers' requests under a whole configuration: route, key, rate, deadline."""

import asyncio
import logging
import math
from typing import ClassVar, NamedTuple

import h11

from .. import defaults, events
from ..decisions.attempts import Attempts
from ..decisions.configurations import CallerLimits, Route, WorkspaceSpec
from ..decisions.homes import find_homes
from ..decisions.lateness import StreamCounts
from ..decisions.routes import RouteTable
from ..decisions.stopping import AnswerTimes, can_end_in_time
from ..dialects.fleet import CALLER_DIALECTS, CallHead
from ..exceptions import (
    BackendFailed,
    CallerLeft,
    DeadlineExceeded,
    LeaseExpired,
    ModelUnavailable,
    NotFound,
    Refusal,
    ShuttingDown,
    Unauthorized,
)
from ..kernel import Kernel, Service
from ..registry import lookup
from ..services.jobs import Job
from ..services.lending import Charge, TokenPatience, find_token_patience
from ..services.upstream import UpstreamRequest
from ..settings import LimitSettings, split_address
from .http import HttpServer, Request, Responder
from .refusals import render_refusal

__all__ = ["Gateway"]

_logger = logging.getLogger(__name__)
_UNCONFIRMED_RETRY_MS = 500


class _Exchange:
    """A request that this entry has read and not answered yet."""

    def __init__(self, attempts: Attempts, configuration: int) -> None:
        self.attempts = attempts
        # The version under which it was read; the answer may end under another one.
        self.configuration = configuration
        self.refusal: Refusal | None = None
        self._task = asyncio.current_task()

    def end(self, refusal: Refusal) -> None:
        """Answer with a refusal at once."""
        if self.refusal is None and self._task is not None:
            self.refusal = refusal
            self._task.cancel()


class _Admitted(NamedTuple):
    """A request that the configuration allows."""

    route: Route
    workspace: WorkspaceSpec | None


class Gateway(Service):
    """Serves callers over HTTP.

    Attributes:
        is_draining: Whether the process takes no new connections.
    """

    name: ClassVar[str] = "gateway"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "feed",
        "view",
        "rates",
        "forwarder",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._dialect = lookup(CALLER_DIALECTS, kernel.settings.fleet.dialect)
        self._http = HttpServer(
            self._handle,
            self._render,
            kernel.settings.limits,
            memory=kernel.find("process").request_memory,
            find_workspace=self._find_workspace,
        )
        self._metrics = kernel.find("process").metrics
        self.is_draining = False
        self._answer_times = AnswerTimes()
        # When running requests are ended, on the event loop's clock.
        self._ends_at = math.inf
        self._exchanges: set[_Exchange] = set()
        self._streams = StreamCounts()

    async def start(self) -> None:
        """Listen for callers."""
        view = self.kernel.find("view")
        view.listen(self._take_configuration)
        if view.table is not None:
            self._take_configuration(view.table)
        host, port = split_address(self.kernel.settings.listen)
        await self._http.listen(host, port)
        self._metrics.watch("open_connections", lambda: self._http.connection_count)
        self.spawn(self._log_streams_forever(), essential=True)

    async def _log_streams_forever(self) -> None:
        """Tell how many streams ended; lines of single ones may be left out."""
        while True:
            await asyncio.sleep(defaults.ACCOUNT_LOG_S)
            counts = self._streams.take()
            if counts:
                events.emit(_logger, events.STREAMS_ENDED, routes=counts)

    async def drain(self) -> None:
        """Finish the requests in flight, and answer all before the process ends.

        The balancer learns of it at its next questions; until then connections are
        still taken, and closed after their answer. A request that is not likely to
        end in time is sent elsewhere at once.
        """
        grace_s = self.kernel.settings.fleet.bounds.grace_s
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        self._ends_at = begun_at + grace_s * defaults.DRAIN_RUNNING_PART
        self.is_draining = True
        self._http.draining = True
        self._metrics.count("drains_total")
        loop.call_later(grace_s * defaults.DRAIN_WAITING_PART, self._refuse_waiting)
        loop.call_later(grace_s * defaults.DRAIN_RUNNING_PART, self._end_running)
        notice_s = min(defaults.DRAIN_NOTICE_S, grace_s * defaults.DRAIN_NOTICE_PART)
        await asyncio.sleep(notice_s)
        left_s = grace_s * defaults.GRACE_PART - notice_s
        await self._http.drain(max(left_s, 0.0))
        await self._wait_answered(begun_at + grace_s * defaults.DRAIN_ANSWERED_PART)

    def _refuse_waiting(self) -> None:
        """Send callers elsewhere whose requests no server has been sent."""
        for exchange in list(self._exchanges):
            if not exchange.attempts.may_have_run:
                exchange.end(
                    ShuttingDown(
                        "the entry stops", retry_after_ms=defaults.SERVER_BUSY_RETRY_MS
                    )
                )

    def _end_running(self) -> None:
        self._refuse_waiting()
        for exchange in list(self._exchanges):
            exchange.end(BackendFailed("the entry stops", not_run=False))

    async def _wait_answered(self, until: float) -> None:
        """Wait for the answers of requests that were ended.

        The ends of many take the event loop longer than is left of the drain then, and
        each takes some of its turns.
        """
        turns = 0
        while self._exchanges and (turns < defaults.DRAIN_END_TURNS or _now() < until):
            turns += 1
            await asyncio.sleep(0)

    async def stop(self) -> None:
        """Close all connections."""
        await super().stop()
        await self._http.close()

    def is_ready(self) -> bool:
        """Return whether this entry can serve requests."""
        has_parts = self.kernel.find("view").table is not None
        has_servers = self.kernel.find("directory").has_list()
        return has_parts and has_servers and not self.is_draining

    def _take_configuration(self, table: RouteTable) -> None:
        self._http.limits = _merge_limits(
            self.kernel.settings.limits, table.configuration.limits
        )

    def _find_workspace(self, head: h11.Request) -> str:
        """Return whose large request is about to be read; empty if that is unknown."""
        table = self.kernel.find("view").table
        if table is None:
            return ""
        fields = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in head.headers]
        try:
            call = self._dialect.read_call(
                head.method.decode("latin-1"), head.target.decode("latin-1"), fields
            )
        except Refusal:
            return ""
        workspace = table.find_workspace(call.key)
        return workspace.name if workspace else ""

    def _render(self, refusal: Refusal) -> tuple[list[tuple[str, str]], bytes]:
        return render_refusal(refusal, is_fractional=True)

    async def _handle(self, request: Request, responder: Responder) -> None:
        started = _now()
        attempts = Attempts()
        call: CallHead | None = None
        refusal: Refusal | None = None
        was_answered = False
        table = self.kernel.find("view").table
        exchange = _Exchange(attempts, table.version if table else 0)
        self._exchanges.add(exchange)
        try:
            call = self._dialect.read_call(
                request.method, request.target, request.headers
            )
            await self._serve(request, call, responder, attempts, started)
        except Refusal as error:
            refusal = _check_promise(error, attempts)
            was_answered = responder.is_finished
            self._refuse(responder, refusal, call)
        except asyncio.CancelledError:
            if exchange.refusal is None:
                # One that closed only its sending side may read this.
                self._refuse(responder, _describe_leaving(attempts), call)
                self._record(call, exchange, "caller_left", started)
                raise
            refusal = exchange.refusal
            was_answered = responder.is_finished
            self._refuse(responder, refusal, call)
        finally:
            self._exchanges.discard(exchange)
        outcome = "answered"
        reason = ""
        if refusal is not None and not was_answered:
            outcome = refusal.kind
            reason = str(refusal)
        self._record(call, exchange, outcome, started, reason)

    def _record(
        self,
        call: CallHead | None,
        exchange: _Exchange,
        outcome: str,
        started: float,
        reason: str = "",
    ) -> None:
        attempts = exchange.attempts
        table = self.kernel.find("view").table
        workspace = table.find_workspace(call.key) if table and call else None
        elapsed_s = _now() - started
        if outcome == "answered" and attempts.route:
            self._answer_times.note(attempts.route, elapsed_s)
        self._metrics.count("requests_total", outcome=outcome)
        self._metrics.observe("request_seconds", elapsed_s, outcome=outcome)
        events.emit(
            _logger,
            events.REQUEST_ENDED,
            request_id=call.request_id if call else "",
            outcome=outcome,
            route=attempts.route,
            model=call.model if call else "",
            adapter=call.adapter if call else "",
            workspace=workspace.name if workspace else "",
            tokens=call.prompt_tokens + call.output_tokens if call else 0,
            sent=attempts.sent,
            runs=attempts.runs,
            server=attempts.timing.last_server,
            token_wait_ms=int(attempts.token_wait_s * defaults.MS_PER_S),
            waited_ms=int(attempts.waited_s * defaults.MS_PER_S),
            elapsed_ms=int(elapsed_s * defaults.MS_PER_S),
            configuration=table.version if table else 0,
            read_under=exchange.configuration,
            reason=reason,
        )
        if call is not None and attempts.timing.first_s is not None:
            self._record_stream(table, call, attempts, started)

    def _record_stream(
        self, table: RouteTable | None, call: CallHead, attempts: Attempts, begun: float
    ) -> None:
        """Count a stream that was answered; log it if it was late."""
        route = table.find_route(call.host, call.path) if table else None
        if route is None:
            return
        is_late = attempts.timing.is_late(route, begun)
        self._streams.note(route.name, is_late=is_late)
        if not is_late:
            return
        self._metrics.count("streams_late_total", route=route.name)
        events.emit(
            _logger,
            events.STREAM_LATE,
            request_id=call.request_id,
            route=route.name,
            priority=route.priority,
            model=call.model,
            target_ms=int(route.target_s * defaults.MS_PER_S),
            pause_limit_ms=int(route.pause_s * defaults.MS_PER_S),
            token_wait_ms=int(attempts.token_wait_s * defaults.MS_PER_S),
            waited_ms=int(attempts.waited_s * defaults.MS_PER_S),
            **attempts.timing.describe(begun),
        )

    def _refuse(
        self, responder: Responder, refusal: Refusal, call: CallHead | None
    ) -> None:
        if responder.is_finished:
            # What has passed is only the time for what follows a whole answer.
            return
        if responder.has_started:
            # The missing end of the body tells the caller that the answer broke.
            responder.cut()
            return
        headers, body = self._render(refusal)
        if call is not None:
            headers = [*headers, *self._dialect.refusal_headers(call.request_id)]
        responder.respond(refusal.status, headers, body)

    async def _serve(
        self,
        request: Request,
        call: CallHead,
        responder: Responder,
        attempts: Attempts,
        started: float,
    ) -> None:
        table = self.kernel.find("view").table
        if table is None:
            raise LeaseExpired(
                "there is no configuration yet", retry_after_ms=_UNCONFIRMED_RETRY_MS
            )
        admitted = self._admit(table, call)
        deadline = started + admitted.route.timeout_s
        if call.time_left_s > 0:
            deadline = min(deadline, started + call.time_left_s)
        self._check_stop(admitted.route, deadline - started)
        try:
            async with asyncio.timeout_at(deadline):
                await self._run(
                    request, call, admitted, responder, attempts, started, deadline
                )
        except TimeoutError:
            raise _conclude_timeout(attempts) from None

    def _check_stop(self, route: Route, patience_s: float) -> None:
        """Refuse a request that would be cut at the end of a stop.

        Raises:
            ShuttingDown: If it is not likely to end in time.
        """
        left_s = self._ends_at - _now()
        if not can_end_in_time(route, self._answer_times, patience_s, left_s):
            raise ShuttingDown(
                "the entry stops", retry_after_ms=defaults.SERVER_BUSY_RETRY_MS
            )

    def _admit(self, table: RouteTable, call: CallHead) -> _Admitted:
        """Return route and workspace of a request.

        Raises:
            NotFound: If there is no such route.
            Unauthorized: If its key is not known.
            LeaseExpired: If the configuration may have changed meanwhile.
        """
        route = table.find_route(call.host, call.path)
        if route is None:
            self._check_fresh()
            raise NotFound("no such route")
        if not table.has_workspaces or route.is_public:
            return _Admitted(route, None)
        workspace = table.find_workspace(call.key)
        if workspace is None:
            self._check_fresh()
            raise Unauthorized("the key is not known")
        return _Admitted(route, workspace)

    def _check_fresh(self) -> None:
        """Refuse as not run what a newer configuration might allow."""
        if not self.kernel.find("feed").is_fresh():
            raise LeaseExpired(
                "the configuration cannot be confirmed",
                retry_after_ms=_UNCONFIRMED_RETRY_MS,
            )

    async def _run(
        self,
        request: Request,
        call: CallHead,
        admitted: _Admitted,
        responder: Responder,
        attempts: Attempts,
        started: float,
        deadline: float,
    ) -> None:
        table = self.kernel.find("view").table
        route, workspace = admitted
        attempts.route = route.name
        tokens = call.prompt_tokens + call.output_tokens
        charge = Charge(
            self.kernel.find("rates"),
            workspace,
            tokens,
            call.request_id,
            route.priority,
        )
        try:
            await charge.take(self._find_token_patience(route, deadline - started))
        finally:
            attempts.token_wait_s = charge.waited_s
        outgoing = UpstreamRequest(
            request.method,
            request.target,
            request.headers,
            request.body,
            call,
            route.is_idempotent,
        )
        service = table.split(route, call.request_id)
        homes = find_homes(route, workspace)
        if homes is not None:
            service = service._replace(homes=homes)
        job = Job(call, route, service, workspace, outgoing, charge, started, deadline)
        try:
            await self.kernel.find("forwarder").run(job, responder, attempts)
        except BaseException:
            if not attempts.may_have_run:
                charge.release()
            raise
        finally:
            attempts.token_wait_s = charge.waited_s

    def _find_token_patience(self, route: Route, left_s: float) -> TokenPatience:
        """Return how long a request waits for tokens before it is sent."""
        if route.kind == "stream":
            left_s = min(left_s, route.patience_s)
        bounds = self.kernel.settings.fleet.bounds
        return find_token_patience(bounds, route.target_s, left_s)


def _check_promise(refusal: Refusal, attempts: Attempts) -> Refusal:
    """Return a refusal that does not say "not run" of a request that may have run.

    Such a request is refused as any other when no server is left for its next attempt.
    """
    if not refusal.not_run or not attempts.may_have_run:
        return refusal
    return BackendFailed(f"a backend server failed; {refusal.message}", not_run=False)


def _describe_leaving(attempts: Attempts) -> Refusal:
    message = "the caller has closed its sending side"
    if attempts.may_have_run:
        return BackendFailed(message, not_run=False)
    return CallerLeft(message)


def _conclude_timeout(attempts: Attempts) -> Refusal:
    if attempts.may_have_run:
        return DeadlineExceeded("no whole answer in time", not_run=False)
    return ModelUnavailable(
        "no backend server was ready in time",
        retry_after_ms=defaults.MODEL_RETRY_MS,
    )


def _merge_limits(
    settings: LimitSettings, limits: CallerLimits | None
) -> LimitSettings:
    if limits is None:
        return settings
    return settings._replace(
        head_bytes=limits.head_bytes,
        body_bytes=limits.body_bytes,
        head_timeout_s=limits.head_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
