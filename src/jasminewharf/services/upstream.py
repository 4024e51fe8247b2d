"""Sends one attempt of a request to a backend server and checks the answer."""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator, Callable
from typing import ClassVar, NamedTuple

from .. import defaults, events
from ..decisions.connections import count_idle_connections
from ..decisions.directory import Server
from ..decisions.eventstream import EventSplitter, StreamEvent
from ..dialects.fleet import CALLER_DIALECTS, AnswerHead, CallHead, ForwardedHead
from ..exceptions import (
    AnswerBroken,
    BackendError,
    BackendUnreachable,
    LimitReached,
    NotRunThere,
    ZoneEvacuated,
)
from ..kernel import Kernel, Service
from ..registry import lookup
from .client import ClientResponse, HttpClient, RequestIdentity
from .permits import Permit
from .requestmemory import AnswerMemory

__all__ = ["UpstreamRequest", "Upstream", "UpstreamAnswer"]

_logger = logging.getLogger(__name__)

_SUCCESS = range(200, 300)
_EVENT_STREAM = "text/event-stream"
_NOT_KEPT = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
        "trailer",
    }
)


class UpstreamRequest(NamedTuple):
    """A request as it is sent to one server.

    ``is_idempotent`` states whether the request may run more than once.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    call: CallHead
    is_idempotent: bool


class _ZonePermit:
    """A permit that allows no send once the server's zone is evacuated."""

    def __init__(self, permit: Permit, server: Server) -> None:
        self._permit = permit
        self._server = server

    def spend(self) -> None:
        """Record a send, right before its first byte is written.

        Raises:
            LimitReached: If it is not allowed any more.
        """
        if self._server.is_evacuated:
            raise ZoneEvacuated(self._server.name)
        self._permit.spend()


class UpstreamAnswer:
    """A server's answer after its head was checked.

    Attributes:
        status: The HTTP status.
        headers: The headers for the caller.
        is_close_delimited: Whether only the end of the connection ended the body.
        media_type: The body's type in lower case; empty if not told.
    """

    def __init__(self, response: ClientResponse, memory: AnswerMemory) -> None:
        self._response = response
        self._memory = memory
        self.status = response.status
        self.headers = [(k, v) for k, v in response.headers if k not in _NOT_KEPT]
        self.is_close_delimited = response.is_close_delimited
        content_type = dict(response.headers).get("content-type", "")
        self.media_type = content_type.partition(";")[0].strip().lower()

    @property
    def is_success(self) -> bool:
        """Whether the status is a 2xx one."""
        return self.status in _SUCCESS

    @property
    def may_be_events(self) -> bool:
        """Whether the body can be a stream of events."""
        return self.is_success and self.media_type in ("", _EVENT_STREAM)

    async def read(self) -> bytes:
        """Return the whole body.

        Raises:
            AnswerBroken: If it ended early.
        """
        try:
            return await self._response.read(on_read=self._memory.grow)
        except BackendError as error:
            raise AnswerBroken(str(error), began=True) from error
        finally:
            self._memory.end()

    async def events(self) -> AsyncIterator[list[StreamEvent]]:
        """Yield the stream's events as they arrive.

        Where neither the type nor numbers say that these are events, an incomplete rest
        follows.

        Raises:
            AnswerBroken: If the stream ended early or inside an event.
        """
        splitter = EventSplitter()
        is_event_stream = self.media_type == _EVENT_STREAM
        try:
            async for chunk in self._response.chunks():
                events = splitter.feed(chunk)
                if events:
                    is_event_stream |= any(event.number >= 0 for event in events)
                    yield events
        except BackendError as error:
            raise AnswerBroken(str(error), began=True) from error
        if splitter.rest:
            if splitter.rest.strip() and is_event_stream:
                raise AnswerBroken("the stream ended inside an event", began=True)
            yield [StreamEvent(-1, splitter.rest)]

    def close(self) -> None:
        """Close the answer; the connection of an incomplete one is closed as well."""
        self._response.close()


class Upstream(Service):
    """Pools connections to the backend servers and checks their answers."""

    name: ClassVar[str] = "upstream"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "directory",
        "rates",
        "server-limits",
        "view",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._limits = kernel.find("server-limits")
        self._dialect = lookup(CALLER_DIALECTS, kernel.settings.fleet.dialect)
        self._clients: dict[str, HttpClient] = {}
        self._metrics = kernel.find("process").metrics
        self._memory = kernel.find("process").request_memory

    async def start(self) -> None:
        """Start to close connections to servers that have left the list."""
        self.spawn(self._tidy_forever(), essential=True)

    async def stop(self) -> None:
        """Close all pooled connections."""
        await super().stop()
        for client in self._clients.values():
            client.close()

    async def open(
        self,
        server: Server,
        outgoing: UpstreamRequest,
        forwarded: ForwardedHead,
        permit: Permit,
        may_repeat: Callable[[], bool],
    ) -> UpstreamAnswer:
        """Send a request and return the answer once its head has been checked.

        ``may_repeat`` is asked before a second send to the same server.

        Raises:
            LimitReached: If the permit does not allow it any more; nothing was sent.
            NotRunThere: If the server cannot have run the request.
            AnswerBroken: If the server may have run it and the answer is unusable.
        """
        client = self._find_client(server)
        headers = self._dialect.forward_headers(outgoing.headers, forwarded)
        try:
            response = await client.open(
                outgoing.method,
                outgoing.target,
                headers,
                outgoing.body,
                repeatable=outgoing.is_idempotent,
                may_repeat=may_repeat,
                kept_idle_s=defaults.KEPT_IDLE_S,
                permit=_ZonePermit(permit, server),
                identity=RequestIdentity(
                    outgoing.call.request_id, self._dialect.read_answer_id
                ),
            )
        except LimitReached:
            raise
        except BackendUnreachable as error:
            raise NotRunThere(str(error), is_full=False) from error
        except BackendError as error:
            raise AnswerBroken(str(error)) from error
        try:
            await self._check(server, client, response, outgoing, permit.sent_at)
        except BaseException:
            response.close()
            raise
        if response.is_close_delimited:
            self._metrics.count("close_delimited_answers_total")
        return UpstreamAnswer(response, self._memory.begin_answer())

    async def _check(
        self,
        server: Server,
        client: HttpClient,
        response: ClientResponse,
        outgoing: UpstreamRequest,
        sent_at: float,
    ) -> None:
        server.heard_at = asyncio.get_running_loop().time()
        head = self._dialect.read_answer(response.status, response.headers)
        if not head.has_not_run or response.status != defaults.SERVER_ABSENT_STATUS:
            # Another instance at the address may say that this one is absent.
            server.proved_at = max(server.proved_at, sent_at)
        # On a connection that carried nothing else, a refusal is that of the request.
        is_refused = response.is_first and not head.request_id and head.has_not_run
        if head.request_id != outgoing.call.request_id and not is_refused:
            client.note_unmatched(
                "another" if head.request_id else "none",
                response.status,
                head.request_id,
                outgoing.call.request_id,
            )
            raise AnswerBroken("the answer is not that of the request")
        self._note_load(server, head)
        self._note_backpressure(server, head)
        self._limits.note_answer(
            server.limit,
            head.limit_per_s,
            sent_at,
            # A failing server may leave out what it says when it works.
            may_end=head.is_genuine and response.status in _SUCCESS,
            request_id=head.request_id,
        )
        if head.unknown_headers:
            self._limits.note_unknown_headers(head.unknown_headers, server.name)
        if head.has_not_run:
            if head.request_id:
                await _read_refusal(response)
            raise NotRunThere(
                f"status {response.status}",
                is_full=response.status in defaults.SERVER_FULL_STATUS,
                is_absent=response.status == defaults.SERVER_ABSENT_STATUS,
            )
        if response.status in defaults.PROMISE_STATUS and not outgoing.is_idempotent:
            raise AnswerBroken(
                f"status {response.status} of a server that may have run"
            )
        if head.is_encoded or not head.is_genuine:
            raise AnswerBroken(f"status {response.status} is not the server's own")

    def _note_load(self, server: Server, head: AnswerHead) -> None:
        now = asyncio.get_running_loop().time()
        if head.pace_percent > 0:
            server.pace.note_told(head.pace_percent, now)
        if head.running < 0 and head.waiting < 0:
            return
        running = server.running if head.running < 0 else head.running
        waiting = server.waiting if head.waiting < 0 else head.waiting
        server.note_load(running, waiting, now)

    def _note_backpressure(self, server: Server, head: AnswerHead) -> None:
        """Record a pause or drain that the server has signalled in its answer."""
        now = asyncio.get_running_loop().time()
        if head.is_leaving and server.backpressure.note_leaving(now):
            self._metrics.count("servers_saying_leaving_total")
            events.emit(
                _logger,
                events.SERVER_SAYS_LEAVING,
                request_id=head.request_id,
                server=server.name,
                is_listed_leaving=server.listed.is_leaving,
            )
        if head.pause_s == 0:
            return
        granted_s = server.backpressure.note_pause(head.pause_s, now)
        self._metrics.count("servers_paused_total")
        events.emit(
            _logger,
            events.SERVER_PAUSED,
            request_id=head.request_id,
            server=server.name,
            asked_s=head.pause_s,
            granted_s=granted_s,
        )

    def _find_client(self, server: Server) -> HttpClient:
        client = self._clients.get(server.name)
        if client is None or client.address != server.listed.address:
            client = HttpClient(server.listed.address, defaults.SERVER_CONNECT_S)
            client.idle_limit = self._count_idle(server)
            client.metrics = self._metrics
            self._clients[server.name] = client
        return client

    def _count_idle(self, server: Server) -> int:
        """Return how many idle connections to keep to a server."""
        table = self.kernel.find("view").table
        service = table.services.get(server.listed.service) if table else None
        if service is None:
            return defaults.HTTP_IDLE_CONNECTIONS
        entries = self.kernel.find("rates").entries
        return count_idle_connections(service.max_connections, entries)

    async def _tidy_forever(self) -> None:
        while True:
            await asyncio.sleep(defaults.CONNECTIONS_TIDY_S)
            servers = self.kernel.find("directory").directory.servers
            for name in [name for name in self._clients if name not in servers]:
                self._clients.pop(name).close()
            for name, client in self._clients.items():
                client.idle_limit = self._count_idle(servers[name])
            opened = sum(c.connections_opened for c in self._clients.values())
            self._metrics.watch("server_connections_opened", lambda n=opened: n)


async def _read_refusal(response: ClientResponse) -> None:
    """Read the body of a refusal, so that the connection can be reused.

    The head has said that the request has not run, whatever becomes of the body.
    """
    with contextlib.suppress(BackendError, TimeoutError):
        async with asyncio.timeout(defaults.REFUSAL_BODY_S):
            await response.read(defaults.REFUSAL_BODY_BYTES)
