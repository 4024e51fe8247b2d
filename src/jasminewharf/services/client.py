"""An HTTP/1.1 client on h11 for backend servers and the platform."""

import array
import asyncio
import collections
import logging
import re
import select
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple, Protocol

import h11

from .. import defaults, events
from ..decisions.framing import is_close_delimited, is_final_status
from ..exceptions import BackendError, BackendSilent, BackendUnreachable
from ..metrics import Metrics
from ..settings import split_address

__all__ = [
    "ClientResponse",
    "FetchedAnswer",
    "HttpClient",
    "RequestIdentity",
    "SendPermit",
]


_logger = logging.getLogger(__name__)

# Of the longest time-out of a kept connection that is believed: eleven days.
_DIGITS = 6
_FIRST_FAILURE = 400
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d")
# Successes but for the one that has no body.
_WITH_BODY = frozenset({200, 201, 202, 203, 206})
# Linger of zero seconds: the socket is reset when it is closed.
_RESET = struct.pack("ii", 1, 0)
# The length of an answer to these depends on the request.
_FRAMED_OTHERWISE = frozenset({"HEAD", "CONNECT"})


class _Wire(asyncio.Protocol):
    """One connection; bytes that arrive between two requests belong to none.

    It carries each request identifier at most once, so that an answer with an
    identifier is the answer to the last send of that request.

    Args:
        on_unasked: Called with such bytes before the connection is closed.

    Attributes:
        is_kept: Whether another request may use it after this one.
        has_skipped: Whether an answer to another request was dropped.
        requests: Number of requests that it has carried.
    """

    def __init__(self, on_unasked: Callable[[bytes], None]) -> None:
        self._on_unasked = on_unasked
        self.h11 = h11.Connection(h11.CLIENT)
        self.is_kept = True
        self.has_skipped = False
        self.requests = 0
        self._carried = array.array("q")
        # No request is on its way before the first is sent.
        self.idle_since: float | None = asyncio.get_running_loop().time()
        self.keep_alive_s = float("inf")
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._is_lost = False
        self._error: Exception | None = None
        self._unread_bytes = 0
        self._is_paused = False
        self._events_in_turn = 0
        # Of the request's body, what the transport has not been given.
        self._unsent = memoryview(b"")
        self._is_full = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self.idle_since is not None:
            if self.is_open:
                self._on_unasked(data)
            self.close()
            return
        self.h11.receive_data(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > defaults.HTTP_UNREAD_BYTES and not self._is_paused:
            self._transport.pause_reading()
            self._is_paused = True
        self._wake()

    def eof_received(self) -> bool:
        if self.idle_since is None:
            self.h11.receive_data(b"")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._is_lost = True
        self._unsent = memoryview(b"")
        self._error = error
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def has_carried(self, request_id: str) -> bool:
        """Whether it may have carried this identifier: hashes are compared."""
        return hash(request_id) in self._carried

    def begin(self, identity: "RequestIdentity | None") -> None:
        """Note that a request is about to be sent."""
        self.idle_since = None
        self.requests += 1
        if identity is not None:
            self._carried.append(hash(identity.request_id))
            if len(self._carried) >= defaults.HTTP_CONNECTION_REQUESTS:
                self.is_kept = False

    async def read_head(self) -> h11.Response:
        """Return the next answer's head; interim ones are passed over.

        Raises:
            OSError: If the connection was lost or closed.
            h11.RemoteProtocolError: If what arrives is no answer.
        """
        for _ in range(defaults.HTTP_INTERIM_HEADS + 1):
            event = await self.next_event()
            if isinstance(event, h11.Response):
                if not is_final_status(event.status_code):
                    raise h11.RemoteProtocolError(
                        f"{event.status_code} is no status of an answer"
                    )
                if _is_ambiguous(event):
                    raise h11.RemoteProtocolError("a head that can be read twice")
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionResetError("the connection was closed")
        raise h11.RemoteProtocolError("too many interim heads")

    async def skip_answer(self) -> None:
        """Drop an answer whose head was read; the next one may follow it.

        Raises:
            OSError: If the connection was lost or closed.
            h11.RemoteProtocolError: If the answer is too large or is none.
        """
        self.is_kept = False
        self.has_skipped = True
        size = 0
        while not isinstance(event := await self.next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise ConnectionResetError("the connection was closed")
            size += len(event.data)
            if size > defaults.HTTP_EXTRA_ANSWER_BYTES:
                raise h11.RemoteProtocolError("another request's answer is too large")
        rest, is_ended = self.h11.trailing_data
        self.h11 = h11.Connection(h11.CLIENT)
        # Only how answers are framed follows from it; nothing of it is sent.
        self.h11.send(h11.Request(method="GET", target="/", headers=[("host", "")]))
        self.h11.send(h11.EndOfMessage())
        if rest:
            self.h11.receive_data(rest)
        if is_ended:
            self.h11.receive_data(b"")

    async def next_event(self) -> Any:
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                await self._yield_turn()
                return event
            if self._is_lost:
                raise self._error or ConnectionResetError("the connection was lost")
            await self._wait()

    async def _yield_turn(self) -> None:
        """Let other tasks run now and then, also if more events have arrived."""
        self._events_in_turn += 1
        if self._events_in_turn >= defaults.HTTP_EVENTS_IN_TURN:
            self._events_in_turn = 0
            await asyncio.sleep(0)

    async def _wait(self) -> None:
        self._events_in_turn = 0
        self._resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _resume_reading(self) -> None:
        self._unread_bytes = 0
        if self._is_paused:
            self._is_paused = False
            self._transport.resume_reading()

    def rest(self) -> None:
        """Note that no request is on its way; what arrives belongs to none."""
        self.idle_since = asyncio.get_running_loop().time()
        self._resume_reading()

    def send(self, request: h11.Request, body: bytes) -> None:
        """Send a request; most of a large body waits here, not in a copy.

        Raises:
            OSError: If the connection was lost.
        """
        if self._is_lost or self._transport.is_closing():
            raise ConnectionResetError("the connection was lost")
        head = self.h11.send(request)
        if body:
            # A body with a length is sent as it is.
            self.h11.send(h11.Data(data=body))
        self.h11.send(h11.EndOfMessage())
        first = defaults.HTTP_JOINED_BYTES
        self._unsent = memoryview(body)[first:]
        self._transport.write(head + body[:first])
        self._write_on()

    def pause_writing(self) -> None:
        self._is_full = True

    def resume_writing(self) -> None:
        self._is_full = False
        self._write_on()

    def _write_on(self) -> None:
        while self._unsent and not self._is_full and self.is_open:
            part = self._unsent[: defaults.HTTP_JOINED_BYTES]
            self._unsent = self._unsent[len(part) :]
            self._transport.write(part)

    @property
    def is_open(self) -> bool:
        return not self._is_lost and not self._transport.is_closing()

    @property
    def is_clean(self) -> bool:
        """Whether all was sent and nothing follows the answer."""
        has_unsent = self._unsent or self._transport.get_write_buffer_size() > 0
        return self.is_open and not has_unsent and not self.unread

    @property
    def unread(self) -> bytes:
        """Bytes that have arrived and are not read yet."""
        return self.h11.trailing_data[0]

    @property
    def has_unread(self) -> bool:
        """Whether bytes or the server's close wait for the event loop to read them."""
        connection = self._transport.get_extra_info("socket")
        if connection is None or connection.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(connection.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def retire(self) -> None:
        """Close after a whole answer; the server sees the usual end."""
        self.idle_since = asyncio.get_running_loop().time()
        self.close()

    def close(self) -> None:
        """Close at once, so that the server sees that nobody waits.

        The reset also takes back what has not reached a server that is frozen or cut
        off: it would run a request that nobody waits for.
        """
        if self._transport is None or self._is_lost:
            return
        connection = self._transport.get_extra_info("socket")
        if connection is not None and self.idle_since is None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._transport.abort()


class SendPermit(Protocol):
    """Decides about each send of a request, right before its first byte is written."""

    def spend(self) -> None:
        """Record a send; raises ``BackendUnreachable`` if it is not allowed."""


class RequestIdentity(NamedTuple):
    """How the answer to a request is told from other answers.

    ``read`` returns the identifier that an answer's headers bear, empty if none. A
    request whose identifier is empty has a connection of its own.
    """

    request_id: str
    read: Callable[[list[tuple[str, str]]], str]


class _Sending(NamedTuple):
    """A request as it is sent."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    permit: SendPermit | None
    identity: RequestIdentity | None


class FetchedAnswer(NamedTuple):
    """A whole answer; header names are in lower case."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ClientResponse:
    """A response whose body is read as it arrives.

    Attributes:
        status: The HTTP status.
        headers: Names in lower case and values.
        is_close_delimited: Whether only the end of the connection ends the body.
        is_first: Whether the connection has carried no other request.
    """

    def __init__(
        self, client: "HttpClient", wire: _Wire, head: h11.Response, method: str
    ) -> None:
        self._client = client
        self._wire = wire
        self._finished = False
        self._closed = False
        self._is_empty = True
        self.is_first = wire.requests == 1
        self.status = head.status_code
        self.headers = [
            (name.decode("latin-1"), _read_text(value)) for name, value in head.headers
        ]
        self.is_close_delimited = is_close_delimited(method, self.status, self.headers)

    @property
    def _needs_body(self) -> bool:
        """Whether a success promises a body whose end only the close tells."""
        return self.status in _WITH_BODY and self.is_close_delimited

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        An empty body without a length is not believed: a server that ends after the
        head closes in the same way.

        Raises:
            BackendError: If the body ends early.
        """
        try:
            while True:
                event = await self._wire.next_event()
                if isinstance(event, h11.Data):
                    self._is_empty = False
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    if self._is_empty and self._needs_body:
                        raise BackendError("the connection ended after the head")
                    self._finished = True
                    return
                else:
                    raise BackendError("the backend server closed the connection")
        except (OSError, h11.RemoteProtocolError) as error:
            raise BackendError(f"the answer broke off: {error}") from error
        finally:
            self.close()

    async def read(
        self,
        limit_bytes: int = defaults.HTTP_ANSWER_LIMIT_BYTES,
        on_read: Callable[[int], Awaitable[None]] | None = None,
    ) -> bytes:
        """Return the whole body.

        Args:
            limit_bytes: What it may have.
            on_read: Awaited with the bytes read so far before more are read.

        Raises:
            BackendError: If the body ends early or does not end within the limit; the
                connection is closed then.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > limit_bytes:
                self.close()
                raise BackendError(f"the answer is larger than {limit_bytes} bytes")
            if on_read is not None:
                await on_read(len(body))
        return bytes(body)

    def close(self) -> None:
        """Give the connection back if the body was read, else close it."""
        if self._closed:
            return
        self._closed = True
        if self._finished:
            self._client.give_back(self._wire)
        else:
            self._wire.close()


class HttpClient:
    """Connections to one HTTP server.

    Args:
        address: IP address and port.
        connect_timeout_s: Time to connect, in seconds.

    Attributes:
        connections_opened: Number of connections made so far.
        metrics: Where answers that belong to no request are counted, if anywhere.
    """

    def __init__(
        self, address: str, connect_timeout_s: float = defaults.HTTP_CONNECT_TIMEOUT_S
    ) -> None:
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle: collections.deque[_Wire] = collections.deque()
        self._idle_limit = defaults.HTTP_IDLE_CONNECTIONS
        self.connections_opened = 0
        self.metrics: Metrics | None = None

    @property
    def idle_limit(self) -> int:
        """Number of idle connections that are kept; a lower one closes the oldest."""
        return self._idle_limit

    @idle_limit.setter
    def idle_limit(self, limit: int) -> None:
        self._idle_limit = limit
        self._close_surplus()

    def _close_surplus(self) -> None:
        while len(self._idle) > self._idle_limit:
            self._idle.popleft().close()

    def note_unmatched(
        self, told: str, status: int = 0, named: str = "", request_id: str = ""
    ) -> None:
        """Log and count an answer that belongs to no request in progress.

        Args:
            told: How that was told: idle, trailing, another, none or old.
            status: Its HTTP status, 0 if it is not known.
            named: The identifier that it bears, if any.
            request_id: The identifier of the request in progress, if any.
        """
        if self.metrics is not None:
            self.metrics.count("foreign_answers_total", told=told)
        events.emit(
            _logger,
            events.ANSWER_UNMATCHED,
            server=self.address,
            status=status,
            told=told,
            named=named[: defaults.LOGGED_IDENTIFIER_CHARACTERS],
            request_id=request_id,
        )

    def _note_unasked(self, data: bytes) -> None:
        self.note_unmatched("idle", _read_status(data))

    async def open(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        repeatable: bool = False,
        may_repeat: Callable[[], bool] = lambda: True,
        kept_idle_s: float = 0.0,
        permit: SendPermit | None = None,
        identity: RequestIdentity | None = None,
        is_exclusive: bool = False,
    ) -> ClientResponse:
        """Send a request and return the response once its head has arrived.

        A kept connection may have been closed by the server just before the
        request is written, and then nobody knows whether the request was read.
        A request that may not be repeated therefore uses only a kept connection
        that has been idle for at most ``kept_idle_s`` seconds. One that is repeatable
        is sent once more if the connection breaks at once and ``may_repeat`` allows
        it; later, what its head says of its deadline would not hold any more.

        On a kept connection an answer that does not bear the request's identifier
        is dropped, and the request's own is waited for. Without an identity only a
        repeatable request uses a kept connection, and none if it ``is_exclusive``;
        its caller must bear an earlier answer on that connection.

        Raises:
            BackendUnreachable: If no connection was made, or ``permit`` allows no send;
                the call did not begin.
            BackendError: If a connection broke; the call may have begun.
        """
        sending = _Sending(method, target, headers, body, permit, identity)
        is_told_apart = identity.request_id != "" if identity else repeatable
        if is_exclusive or not is_told_apart or method in _FRAMED_OTHERWISE:
            wire = await self._connect()
            wire.is_kept = False
            return await self._exchange(wire, sending)
        wire = self._take_idle(float("inf") if repeatable else kept_idle_s, identity)
        if wire is not None:
            loop = asyncio.get_running_loop()
            repeated_until = loop.time() + defaults.KEPT_REPEAT_S
            try:
                return await self._exchange(wire, sending)
            except BackendUnreachable:
                raise
            except BackendError as error:
                # After an answer of another request, its caller decides on a repeat.
                if not repeatable or wire.has_skipped:
                    raise
                if loop.time() > repeated_until or not may_repeat():
                    raise
                return await self._repeat(error, sending)
        return await self._exchange(await self._connect(), sending)

    async def _repeat(self, first: BackendError, sending: _Sending) -> ClientResponse:
        """Send a request again that may have begun on a kept connection."""
        try:
            return await self._exchange(await self._connect(), sending)
        except BackendUnreachable as error:
            raise BackendError(f"{first}; {error}") from error

    async def fetch(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = defaults.HTTP_FETCH_TIMEOUT_S,
        headers: list[tuple[str, str]] | None = None,
        is_exclusive: bool = False,
    ) -> tuple[int, bytes]:
        """Send a request and return status and whole body; see :meth:`fetch_answer`."""
        answer = await self.fetch_answer(
            method, target, body, timeout_s, headers, is_exclusive=is_exclusive
        )
        return answer.status, answer.body

    async def fetch_answer(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = defaults.HTTP_FETCH_TIMEOUT_S,
        headers: list[tuple[str, str]] | None = None,
        permit: SendPermit | None = None,
        is_exclusive: bool = False,
    ) -> FetchedAnswer:
        """Send a request and return the whole answer; see :meth:`open`.

        Only a GET uses a kept connection.

        Raises:
            BackendUnreachable: If the call did not begin.
            BackendSilent: If no answer came in time.
            BackendError: If it may have begun.
        """
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.open(
                    method,
                    target,
                    headers or [],
                    body,
                    repeatable=method == "GET",
                    permit=permit,
                    is_exclusive=is_exclusive,
                )
                content = await response.read()
                return FetchedAnswer(response.status, response.headers, content)
        except TimeoutError:
            raise BackendSilent(f"no answer within {timeout_s:g} s") from None

    def _take_idle(
        self, idle_s: float, identity: RequestIdentity | None
    ) -> _Wire | None:
        """Return the connection last used that may carry the request, if any."""
        now = asyncio.get_running_loop().time()
        while self._idle and not _is_usable(self._idle[-1], now):
            self._idle.pop().close()
        for wire in reversed(self._idle):
            if now - (wire.idle_since or now) > idle_s:
                return None
            if not _is_usable(wire, now) or wire.has_unread:
                continue
            if identity is None or not wire.has_carried(identity.request_id):
                self._idle.remove(wire)
                return wire
        return None

    async def _connect(self) -> _Wire:
        host, port = split_address(self.address)
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                loop = asyncio.get_running_loop()
                _, wire = await loop.create_connection(
                    lambda: _Wire(self._note_unasked), host, port
                )
        except (OSError, TimeoutError) as error:
            raise BackendUnreachable(f"{self.address}: {error}") from error
        self.connections_opened += 1
        return wire

    async def _exchange(self, wire: _Wire, sending: _Sending) -> ClientResponse:
        if not wire.is_open:
            raise BackendUnreachable(f"{self.address} closed a new connection")
        if sending.permit is not None:
            try:
                sending.permit.spend()
            except BackendUnreachable:
                wire.close()
                raise
        head = list(sending.headers)
        if all(name != "host" for name, _ in head):
            head.insert(0, ("host", self.address))
        body = sending.body
        if body or sending.method in ("POST", "PUT", "PATCH"):
            head.append(("content-length", str(len(body))))
        # Text that a caller sent is UTF-8, which h11 does not encode.
        fields = [(name.encode(), value.encode()) for name, value in head]
        try:
            request = h11.Request(
                method=sending.method, target=sending.target, headers=fields
            )
            wire.begin(sending.identity)
            wire.send(request, body)
            return await self._read_response(wire, sending)
        except (OSError, h11.ProtocolError) as error:
            wire.close()
            reason = str(error) or "no answer of its own"
            raise BackendError(f"{self.address}: {reason}") from error
        except asyncio.CancelledError:
            wire.close()
            raise

    async def _read_response(self, wire: _Wire, sending: _Sending) -> ClientResponse:
        """Return the request's own response; drop others on a kept connection."""
        identity = sending.identity
        until: float | None = None
        for _ in range(defaults.HTTP_EXTRA_ANSWERS + 1):
            async with asyncio.timeout_at(until):
                head = await wire.read_head()
            response = ClientResponse(self, wire, head, sending.method)
            # The caller judges what a new connection brings.
            named = identity.read(response.headers) if identity is not None else ""
            if identity is None and head.status_code >= _FIRST_FAILURE:
                # Written once more, it would pass for the answer to the next request.
                wire.is_kept = False
            if identity is None or response.is_first or named == identity.request_id:
                _note_keep_alive(wire, head)
                return response
            told = "another" if named else "none"
            self.note_unmatched(told, head.status_code, named, identity.request_id)
            await wire.skip_answer()
            if not named:
                # It may have been the only one.
                now = asyncio.get_running_loop().time()
                until = now + defaults.HTTP_UNNAMED_WAIT_S
        raise h11.RemoteProtocolError("too many answers to other requests")

    def give_back(self, wire: _Wire) -> None:
        """Keep a connection for the next request, if it can be kept."""
        if not wire.is_clean:
            if wire.unread:
                self.note_unmatched("trailing", _read_status(wire.unread))
            wire.close()
            return
        try:
            wire.h11.start_next_cycle()
        except h11.ProtocolError:
            wire.close()
            return
        if not wire.is_kept:
            wire.retire()
            return
        wire.rest()
        self._idle.append(wire)
        self._close_surplus()

    def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            self._idle.pop().close()


def _is_usable(wire: _Wire, now: float) -> bool:
    """Return whether an idle connection is open, also by the server's time-out."""
    return wire.is_open and now - (wire.idle_since or now) < wire.keep_alive_s


def _read_text(value: bytes) -> str:
    """Return a header's value, which is UTF-8 as in requests, or else Latin-1."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def _is_ambiguous(head: h11.Response) -> bool:
    """Return whether another reader could find another body or answer in it.

    A server that stops inside a header and writes an error leaves one head in another.
    """
    names = [name for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        return True
    return any(_STATUS_LINE.search(value) for _, value in head.headers)


def _read_status(data: bytes) -> int:
    """Return the status of an answer that was not parsed, 0 if it has none."""
    digits = data[9:12] if data.startswith(b"HTTP/1.") else b""
    return int(digits) if digits.isdigit() else 0


def _note_keep_alive(wire: _Wire, head: h11.Response) -> None:
    """Stop using a kept connection before the server's own time-out ends it."""
    for name, value in head.headers:
        if name != b"keep-alive":
            continue
        for item in value.decode("latin-1").split(","):
            key, _, seconds = item.strip().partition("=")
            # The conversion of thousands of digits is refused with another error.
            is_number = seconds.isascii() and seconds.isdigit()
            if key.lower() == "timeout" and is_number and len(seconds) <= _DIGITS:
                wire.keep_alive_s = int(seconds) * defaults.HTTP_KEEP_ALIVE_SHARE
