"""The entry's routes towards callers."""

import asyncio
import json
import logging
import ssl
import time
from typing import Any, ClassVar

import h11

from .. import events
from ..decisions.framing import is_close_delimited
from ..decisions.keys import match_key, parse_key_id
from ..exceptions import (
    BadRequest,
    Forbidden,
    KeyWithdrawn,
    LeaseExpired,
    NotFound,
    Refusal,
    StreamInterrupted,
    Unauthorized,
)
from ..identifiers import RequestIds
from ..kernel import Kernel, Service
from ..messages.commands import WithdrawKey
from ..services.requests import account_name
from ..services.router import Answer, CallPlan
from ..services.secretfiles import read_secret
from ..settings import split_address
from ..tracing import Span
from .http import HttpServer, Request, Responder
from .limits import WorkspaceLimits
from .orders import Claim, OrderRelay, digest_call
from .plans import (
    Caller,
    find_route,
    plan_model_call,
    plan_service_call,
    split_service_target,
)
from .refusals import describe_refusal, render_refusal
from .tls import CallerTls

__all__ = ["Callers"]

_logger = logging.getLogger(__name__)

_MODEL_ROUTES = frozenset({"/v1/chat/completions", "/v1/completions"})
_JSON = [("content-type", "application/json")]
_TEXT = [("content-type", "text/plain; version=0.0.4")]
_RETRY_FRESHNESS_MS = 500
_IDEMPOTENCY_KEY_LIMIT_BYTES = 255
_REPLAYED_HEADER = ("idempotency-replayed", "true")
# Headers of a backend server's answer that end at this hop.
_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "server", "trailer"}
)


class _Exchange:
    """One request in flight: what is needed to end it from outside."""

    def __init__(self, request_id: str, caller: Caller) -> None:
        self.request_id = request_id
        self.caller = caller
        self.task = asyncio.current_task()
        self.refusal: Refusal | None = None

    def end(self, refusal: Refusal) -> None:
        """Stop the request; its caller is told of ``refusal``."""
        if self.refusal is None and self.task is not None:
            self.refusal = refusal
            self.task.cancel()


class _Charge:
    """Tokens charged for a call, until its true cost is known."""

    def __init__(
        self, accounts: Any, account: str, charge_id: str, tokens: int
    ) -> None:
        self._accounts = accounts
        self._account = account
        self._charge_id = charge_id
        self._tokens = tokens

    def cancel(self) -> None:
        """Give everything back: the call did not run."""
        self._tokens = 0

    def end(self, tokens: int) -> None:
        """Give back what the call did not use; all is kept if that is unknown."""
        if self._accounts is None:
            return
        spent = self._tokens if tokens < 0 else tokens
        self._accounts.refund(self._account, self._charge_id, min(spent, self._tokens))


def _keep_end_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that do not end at this hop."""
    return [
        (name, value) for name, value in headers if name.lower() not in _HOP_HEADERS
    ]


class Callers(Service):
    """Serves callers over HTTP.

    Attributes:
        address: Where it listens.
    """

    name: ClassVar[str] = "callers"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "feed",
        "reports",
        "router",
        "traces",
        "accounts",
        "claims",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings = kernel.settings
        self.address = ""
        self._hash_secret = read_secret(settings.hash_secret_file)
        self._http = HttpServer(
            self._handle,
            render_refusal,
            settings.limits,
            self._count_rejection,
            memory=kernel.find("process").request_memory,
            find_workspace=self._find_workspace,
        )
        self._workspaces = WorkspaceLimits(settings.limits)
        self._http.on_close = self._workspaces.forget
        self._exchanges: dict[str, _Exchange] = {}
        self._charged: dict[str, dict[str, Any]] = {}
        process = kernel.find("process")
        self._ids = RequestIds(process.identity.incarnation)
        self._metrics = process.metrics

    async def start(self) -> None:
        """Listen for callers."""
        self.kernel.find("feed").listen(self._end_withdrawn)
        host, port = split_address(self.kernel.settings.listen)
        self.address = await self._http.listen(host, port, self._start_tls())
        self._metrics.watch("open_connections", lambda: self._http.connection_count)
        self._metrics.watch("requests_in_flight", lambda: len(self._exchanges))

    def _start_tls(self) -> ssl.SSLContext | None:
        settings = self.kernel.settings.tls
        if settings is None:
            return None
        tls = CallerTls(settings)
        self.spawn(tls.watch_files(), essential=True)
        return tls.context

    async def drain(self) -> None:
        """Finish the requests in flight and take no new connection."""
        await self._http.drain(self.kernel.settings.timing.drain_timeout_s)

    async def stop(self) -> None:
        """Close all connections."""
        await super().stop()
        await self._http.close()

    def _count_rejection(self, refusal: Refusal) -> None:
        self._metrics.count("rejected_heads_total", type=refusal.kind)

    def _end_withdrawn(self, applied: list[Any]) -> None:
        """End requests whose key was withdrawn, streams included."""
        keys = self.kernel.find("feed").state.keys
        is_replaced = not applied
        if not is_replaced and not any(isinstance(c, WithdrawKey) for c in applied):
            return
        for exchange in list(self._exchanges.values()):
            record = keys.get(exchange.caller.key_id)
            if exchange.caller.key_id and (record is None or record.withdrawn):
                exchange.end(KeyWithdrawn("the key was withdrawn", not_run=False))

    async def _handle(self, request: Request, responder: Responder) -> None:
        path = request.target.partition("?")[0]
        if path in ("/healthz", "/readyz", "/metrics"):
            self._answer_operations(path, responder)
            return
        request_id = self._ids.issue()
        span = Span(
            "entry",
            request.header("traceparent"),
            request_id=request_id,
            method=request.method,
            path=path,
        )
        started = asyncio.get_running_loop().time()
        error = ""
        try:
            await self._serve(request, responder, request_id, span)
        except Refusal as refusal:
            error = refusal.kind
            await self._refuse(responder, refusal, request_id)
        finally:
            elapsed_s = asyncio.get_running_loop().time() - started
            charged = self._charged.pop(request_id, {})
            self.kernel.find("traces").sink.add(span.end(error, **charged).to_json())
            self._record(request_id, error, elapsed_s)

    def _record(self, request_id: str, error: str, elapsed_s: float) -> None:
        self._metrics.count("requests_total", outcome=error or "answered")
        self._metrics.observe("request_seconds", elapsed_s)
        event = events.REQUEST_REFUSED if error else events.REQUEST_FINISHED
        events.emit(
            _logger,
            event,
            request_id=request_id,
            outcome=error or "answered",
            elapsed_ms=round(elapsed_s * 1000, 3),
        )

    def _answer_operations(self, path: str, responder: Responder) -> None:
        if path == "/healthz":
            responder.respond(200, _TEXT, b"ok\n")
        elif path == "/metrics":
            responder.respond(200, _TEXT, self._metrics.render().encode())
        elif self._http.draining or not self.kernel.find("feed").is_fresh():
            responder.respond(503, _TEXT, b"not ready\n")
        else:
            responder.respond(200, _TEXT, b"ready\n")

    async def _serve(
        self, request: Request, responder: Responder, request_id: str, span: Span
    ) -> None:
        if not self.kernel.find("feed").is_fresh():
            raise LeaseExpired(
                "the configuration cannot be confirmed",
                retry_after_ms=_RETRY_FRESHNESS_MS,
            )
        path = request.target.partition("?")[0]
        if path == "/v1/models" and request.method == "GET":
            self._list_models(request, responder)
        elif path in _MODEL_ROUTES and request.method == "POST":
            await self._serve_model(request, responder, request_id, span)
        elif path.startswith("/services/"):
            await self._serve_service(request, responder, request_id, span)
        else:
            raise NotFound("no such route")

    def _authenticate(self, request: Request) -> Caller:
        """Return the caller that the key stands for.

        Raises:
            Unauthorized: If there is no key or it is not granted.
        """
        scheme, _, key = (request.header("authorization") or "").partition(" ")
        key = key.strip()
        key_id = parse_key_id(key) if scheme.lower() == "bearer" else None
        if key_id is None:
            raise Unauthorized("a key is required")
        record = self.kernel.find("feed").state.keys.get(key_id)
        if record is None or not match_key(key, record, self._hash_secret):
            raise Unauthorized("the key is not valid")
        return Caller(record.workspace, key_id, key)

    def _find_workspace(self, head: h11.Request) -> str:
        """Return whose large request is about to be read; empty if that is unknown."""
        fields = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in head.headers]
        try:
            return self._authenticate(Request("", "", fields, b"", "")).workspace
        except Unauthorized:
            return ""

    def _list_models(self, request: Request, responder: Responder) -> None:
        caller = self._authenticate(request)
        names = sorted(
            (offer.adapter.name if offer.adapter else offer.model.name, offer.service)
            for offer in self.kernel.find("feed").state.offers_for(caller.workspace)
        )
        listing = {
            "object": "list",
            "data": [
                {"id": name, "object": "model", "created": 0, "owned_by": service}
                for name, service in names
            ],
        }
        responder.respond(200, _JSON, json.dumps(listing).encode())

    async def _serve_model(
        self, request: Request, responder: Responder, request_id: str, span: Span
    ) -> None:
        caller = self._authenticate(request)
        plan, _ = plan_model_call(
            request,
            caller,
            self.kernel.find("feed").state,
            request_id,
            asyncio.get_running_loop().time(),
            span.traceparent,
        )
        await self._run(plan, caller, request, responder)

    async def _serve_service(
        self, request: Request, responder: Responder, request_id: str, span: Span
    ) -> None:
        service, target = split_service_target(request.target)
        document = self.kernel.find("feed").state.document(service)
        if document is None or document.kind != "plain":
            raise NotFound(f"no service {service!r}")
        route = find_route(document, request.method, target.partition("?")[0])
        caller = Caller("", "", "") if route.open else self._authenticate(request)
        if not route.open and document.find_access(caller.workspace) is None:
            raise Forbidden(f"the workspace may not use {service!r}")
        plan = plan_service_call(
            request,
            caller,
            document,
            route,
            target,
            request_id,
            asyncio.get_running_loop().time(),
            span.traceparent,
        )
        await self._run(plan, caller, request, responder)

    async def _run(
        self, plan: CallPlan, caller: Caller, request: Request, responder: Responder
    ) -> None:
        exchange = _Exchange(plan.request_id, caller)
        self._exchanges[plan.request_id] = exchange
        idempotency_key = request.header("idempotency-key")
        try:
            with self._workspaces.admit(caller.workspace, request.peer):
                await self._dispatch(plan, idempotency_key, responder)
        except asyncio.CancelledError:
            if exchange.refusal is None:
                raise
            raise exchange.refusal from None
        finally:
            del self._exchanges[plan.request_id]

    async def _dispatch(
        self, plan: CallPlan, idempotency_key: str | None, responder: Responder
    ) -> None:
        if idempotency_key is None or plan.idempotent:
            await self._run_charged(plan, responder)
        else:
            await self._run_claimed(plan, idempotency_key, responder)

    async def _run_charged(self, plan: CallPlan, responder: Responder) -> None:
        """Run a call that nobody claims; it ends when its caller goes."""
        charge = await self._charge(plan)
        answer = None
        try:
            answer = await self.kernel.find("router").call(plan)
            await self._pass_on(answer, plan, responder)
        except asyncio.CancelledError:
            self.kernel.find("router").cancel(plan.request_id, "caller gone")
            raise
        except Refusal as refusal:
            if refusal.not_run:
                charge.cancel()
            raise
        finally:
            charge.end(answer.tokens if answer else -1)

    async def _charge(self, plan: CallPlan) -> "_Charge":
        """Charge the largest cost.

        Raises:
            Refusal: If the workspace's rate does not allow it.
        """
        if not plan.workspace:
            return _Charge(None, "", "", 0)
        accounts = self.kernel.find("accounts")
        account = account_name(plan.service, plan.workspace)
        charge_id = await accounts.charge(account, plan.cost_tokens, plan.deadline)
        self._charged[plan.request_id] = {
            "account": account,
            "charged_tokens": plan.cost_tokens,
            "charged_at_ns": time.time_ns(),
        }
        return _Charge(accounts, account, charge_id, plan.cost_tokens)

    async def _run_claimed(
        self, plan: CallPlan, idempotency_key: str, responder: Responder
    ) -> None:
        """Run an order at most once, or answer with what an earlier call got."""
        if not 0 < len(idempotency_key.encode()) <= _IDEMPOTENCY_KEY_LIMIT_BYTES:
            raise BadRequest(
                f"Idempotency-Key may have {_IDEMPOTENCY_KEY_LIMIT_BYTES} bytes"
            )
        claim = Claim(
            plan.workspace, idempotency_key, digest_call(plan), plan.request_id
        )
        claims = self.kernel.find("claims")
        recorded = await claims.claim(*claim, plan.deadline)
        if recorded is not None:
            headers = [*_keep_end_headers(recorded.headers), _REPLAYED_HEADER]
            headers.append(("x-request-id", plan.request_id))
            responder.respond(
                recorded.status,
                headers,
                recorded.body,
                is_close_delimited=is_close_delimited(
                    plan.method, recorded.status, recorded.headers
                ),
            )
            return
        # The caller may go while the order runs; its outcome is recorded all the same.
        started: asyncio.Future[OrderRelay] = asyncio.get_running_loop().create_future()
        self.spawn(self._carry_out(plan, claim, started))
        relay = await asyncio.shield(started)
        await self._pass_on(relay, plan, responder)

    async def _carry_out(
        self, plan: CallPlan, claim: Claim, started: "asyncio.Future[OrderRelay]"
    ) -> None:
        claims = self.kernel.find("claims")
        charge = _Charge(None, "", "", 0)
        tokens = -1
        failure = Refusal("internal error", not_run=False)
        try:
            charge = await self._charge(plan)
            answer = await self.kernel.find("router").call(plan)
            relay = OrderRelay(claims, claim, answer)
            started.set_result(relay)
            await relay.run()
            tokens = relay.tokens
        except Refusal as refusal:
            failure = refusal
            if refusal.not_run:
                charge.cancel()
                await claims.release(*claim)
            else:
                await claims.record_unknown(*claim[:2], claim.request_id)
        except Exception:
            await claims.record_unknown(*claim[:2], claim.request_id)
            raise
        finally:
            charge.end(tokens)
            if not started.done():
                started.set_exception(failure)
                # The exception counts as seen even if the caller has gone.
                started.exception()

    async def _pass_on(
        self, answer: Answer | OrderRelay, plan: CallPlan, responder: Responder
    ) -> None:
        headers = _keep_end_headers(answer.headers)
        headers.append(("x-request-id", plan.request_id))
        has_no_end = is_close_delimited(plan.method, answer.status, answer.headers)
        is_started = False
        async for chunk in answer.chunks():
            if not is_started:
                responder.start(answer.status, headers, is_close_delimited=has_no_end)
                is_started = True
            await responder.write(chunk)
        if not is_started:
            responder.start(answer.status, headers, is_close_delimited=has_no_end)
        responder.finish()

    async def _refuse(
        self, responder: Responder, refusal: Refusal, request_id: str
    ) -> None:
        if not responder.has_started:
            headers, body = render_refusal(refusal, request_id)
            responder.respond(refusal.status, headers, body)
            return
        if isinstance(refusal, StreamInterrupted | KeyWithdrawn):
            events.emit(
                _logger, events.STREAM_BROKEN, request_id=request_id, error=refusal
            )
        # An explicit error event tells a reader of server-sent events what broke;
        # the missing end of the body tells everybody else. It must not fill a length.
        if not responder.has_length:
            error = json.dumps(describe_refusal(refusal, request_id))
            await responder.write(f"data: {error}\n\n".encode())
        responder.cut()
