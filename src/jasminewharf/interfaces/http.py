"""An HTTP/1.1 server on h11 that bounds what a caller may send."""

import asyncio
import contextlib
import errno
import fcntl
import logging
import math
import os
import re
import select
import socket
import ssl
import struct
import sys
import termios
from collections.abc import Awaitable, Callable, Iterable
from operator import attrgetter
from typing import Any, NamedTuple

import h11

from .. import defaults, events
from ..exceptions import (
    BackendFailed,
    BadRequest,
    BodyTooLarge,
    CallerLeft,
    HeadTooLarge,
    ListenFailed,
    Refusal,
    RequestTimeout,
    TooManyConnections,
)
from ..services.listening import listen_when_free
from ..settings import LimitSettings

__all__ = ["HttpServer", "Request", "Responder"]

_logger = logging.getLogger(__name__)

_SERVER_NAME = b"jasminewharf"
_CONNECTION_RETRY_MS = 1_000
_LEFT = "the caller has closed its sending side"
_GIVEN_UP = "the request was given up"
# Colon, space and line end of a header field.
_FIELD_BYTES = 4
_VERSION_WITHOUT_CHUNKS = b"1.0"
# Linger of zero seconds: the socket is reset when it is closed.
_RESET = struct.pack("ii", 1, 0)
_NO_LINGER = struct.pack("ii", 0, 0)
_INT = struct.Struct("i")
_HEAD_TIME = attrgetter("head_timeout_s")
_BODY_TIME = attrgetter("body_timeout_s")
_IDLE_TIME = attrgetter("idle_timeout_s")
# A whole URL as request target: its authority, and path with query.
_ABSOLUTE_TARGET = re.compile(r"https?://([^/?#]*)(.*)", re.IGNORECASE)


class Request(NamedTuple):
    """A whole request. Header names are lower-case."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    peer: str

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Responder:
    """Writes one response.

    Attributes:
        has_started: Whether its head was sent.
        has_length: Whether the head states the length of the body.
        is_finished: Whether its body has ended.
    """

    def __init__(self, connection: "_Connection") -> None:
        self._connection = connection
        self.has_started = False
        self.has_length = False
        self.is_finished = False

    @property
    def may_be_unread(self) -> bool:
        """Whether the caller has ended its sending side, as one does that has left."""
        return self._connection.is_half_closed

    def start(
        self,
        status: int,
        headers: list[tuple[str, str]],
        *,
        is_close_delimited: bool = False,
    ) -> None:
        """Send status and headers.

        Without a ``content-length`` the body is sent in chunks, or, if it
        ``is_close_delimited``, ends with the connection.

        Raises:
            BackendFailed: If the head cannot be sent; another one still can.
        """
        # The head waits for the first bytes of the body: one write, one packet.
        self._connection.hold()
        self._connection.send_head(status, headers, is_close_delimited)
        self.has_started = True
        self.has_length = any(name == "content-length" for name, _ in headers)

    async def write(self, data: bytes) -> None:
        """Send body bytes; waits while the caller reads slowly."""
        self._connection.send_event(h11.Data(data=data))
        self._connection.release()
        await self._connection.wait_writable()

    def finish(self) -> None:
        """End the body."""
        self._connection.send_event(h11.EndOfMessage())
        self._connection.release()
        self._connection.note_end()
        self.is_finished = True

    def respond(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        is_close_delimited: bool = False,
    ) -> None:
        """Send a whole response; see :meth:`start`."""
        if not is_close_delimited:
            headers = [*headers, ("content-length", str(len(body)))]
        self.start(status, headers, is_close_delimited=is_close_delimited)
        if body:
            self._connection.send_event(h11.Data(data=body))
        self.finish()

    def cut(self) -> None:
        """Close without the end of the body, so that it is not taken for whole."""
        self._connection.cut()


Handler = Callable[[Request, Responder], Awaitable[None]]
ErrorRenderer = Callable[[Refusal], tuple[list[tuple[str, str]], bytes]]
_TimeLimit = Callable[[LimitSettings], float]


class _Connection(asyncio.BufferedProtocol):
    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        # In force when the request, or the wait for it, began.
        self._limits = server.limits
        # The length of an incomplete head is checked by the limits in force.
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self._transport: asyncio.Transport | None = None
        self._peer = ""
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._flush_timer: asyncio.TimerHandle | None = None
        self._due = math.inf
        self._armed_at = 0.0
        self._time_limit: _TimeLimit = _IDLE_TIME
        self._loop = asyncio.get_running_loop()
        self._writable = asyncio.Event()
        self._writable.set()
        self._closing = False
        self._held: list[bytes] | None = None
        self._is_paused = False
        # What arrives while a request is served waits here, unparsed.
        self._ahead = bytearray()
        self._is_surplus = False
        self._has_served = False
        # Whether the socket is reset when the process ends or closes it.
        self._is_reset_armed = False
        self._has_ended = False
        self._is_handling = False
        self._is_closed = False
        self._linger_timer: asyncio.TimerHandle | None = None
        self._ahead_until: float | None = None
        # Of the last answer, when an idle time last passed.
        self._unsent = 0
        # Whether all is read that precedes the end of the caller's sending side.
        self._is_read_out = False
        # For the log, if this side closes the connection before it has answered all.
        self._unfinished: str | None = None
        self._is_close_told = False
        self._dropped_bytes = 0
        self._aborted_bytes = 0
        # Whether the caller has ended its sending side, and whether it counts as gone.
        self._is_half_closed = False
        self._has_left = False
        # Since that end: when the caller was last known to be there; the bytes written,
        # and how many of them its host has taken, negative before all earlier ones are;
        # when the last was written, and the first that is not known to be taken.
        self._seen_at = 0.0
        self._written = 0
        self._taken = 0
        self._written_at = 0.0
        self._waiting_since: float | None = None
        self._silence_timer: asyncio.TimerHandle | None = None
        self._is_overdue = False
        self._made_at = self._loop.time()

    @property
    def _allowed(self) -> LimitSettings:
        """The limits for what has begun: of its begin or in force, the looser ones.

        A caller may have sent its request under the former limits.
        """
        in_force = self._server.limits
        if self._limits is in_force:
            return in_force
        return LimitSettings(*map(max, self._limits, in_force))

    @property
    def _is_idle(self) -> bool:
        return self._task is None and not self._is_inside_request

    @property
    def is_half_closed(self) -> bool:
        """Whether the caller has ended its sending side."""
        return self._is_half_closed

    @property
    def _has_unread(self) -> bool:
        """Whether bytes have arrived that the loop or the parser has not read yet."""
        if self._ahead or self._h11.trailing_data[0]:
            return True
        if self._is_read_out:
            # The socket is readable for ever, of its end.
            return False
        connection = self._transport.get_extra_info("socket")
        return connection is not None and _is_readable([connection])

    @property
    def _is_expecting(self) -> bool:
        """Whether a caller has just connected and is about to send its request."""
        age_s = self._loop.time() - self._made_at
        return not self._has_served and age_s < defaults.DRAIN_FRESH_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        name = transport.get_extra_info("peername")
        self._peer = f"{name[0]}:{name[1]}" if name else ""
        if not self._server.admit(self):
            if self._server.refused >= defaults.HTTP_REFUSED_CONNECTIONS:
                self._note_closing()
                transport.abort()
                return
            self._server.refused += 1
            self._is_surplus = True
            self._reject(
                TooManyConnections(
                    "too many connections", retry_after_ms=_CONNECTION_RETRY_MS
                )
            )
            return
        self._arm(_HEAD_TIME)

    def connection_lost(self, error: Exception | None) -> None:
        self._note_cut()
        self._report_unanswered()
        self._closing = True
        if self._is_reset_armed and self._has_ended and error is None:
            # All was written; the socket is closed after this call.
            self._set_linger(_NO_LINGER)
        self._cancel_timer()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._writable.set()
        self._server.unwatch(self)
        self._server.discard(self)
        if self._is_surplus:
            self._server.refused -= 1
        self._server.on_close(self._peer)
        # A handler that was told already is about to end.
        if self._task is not None and not self._has_left:
            self._task.cancel()

    def _note_cut(self) -> None:
        if self._is_inside_request and not self._closing:
            events.emit(_logger, events.REQUEST_CUT, peer=self._peer)
            self._server.count_rejection(BadRequest("the request was cut"))

    def _note_closing(self) -> None:
        """Note what a close by this side, which begins, leaves unfinished."""
        if self._unfinished is None:
            self._unfinished = self._describe_request()

    def _describe_request(self) -> str:
        """Return how far the request in progress has come; empty if there is none."""
        state = self._h11.our_state
        if state is h11.SEND_BODY:
            return "answered in part"
        if state not in (h11.IDLE, h11.SEND_RESPONSE):
            return ""
        if self._task is not None or self._h11.their_state is h11.DONE:
            return "served"
        return "read in part" if self._is_inside_request else ""

    def _report_unanswered(self) -> None:
        """Log that this side has closed the connection before it had answered all.

        The socket is closed after this, and resets the connection if bytes are unread.
        """
        if self._unfinished is None or self._has_left or self._is_close_told:
            return
        unread = self._count_unread()
        if not self._unfinished and not unread:
            return
        events.emit(
            _logger,
            events.CONNECTION_UNANSWERED,
            peer=self._peer,
            request=self._unfinished or "unread",
            unread=unread,
            unsent=self._aborted_bytes or self._count_unsent(),
            draining=self._server.draining,
        )

    def _count_unread(self) -> int:
        """Return the bytes that have arrived and belong to no request that was read."""
        kept = len(self._ahead) + len(self._h11.trailing_data[0])
        return kept + self._dropped_bytes + self._count_waiting(termios.FIONREAD)

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    async def wait_writable(self) -> None:
        if not self._writable.is_set():
            await self._writable.wait()

    @property
    def _room_bytes(self) -> int:
        """How much more may be kept of what the caller sends.

        Without a request that is served, what has been parsed is the begin of a head,
        which has a limit of its own.
        """
        kept = len(self._ahead)
        if self._task is not None:
            kept += len(self._h11.trailing_data[0])
        return defaults.HTTP_AHEAD_BYTES - kept

    def get_buffer(self, sizehint: int) -> memoryview:
        if self._closing:
            return self._server.chunk
        # The loop takes an empty buffer for a fault, or for the end.
        return self._server.chunk[: max(self._room_bytes, 1)]

    def buffer_updated(self, nbytes: int) -> None:
        if self._closing:
            # What arrives after a refusal is dropped, not kept in memory.
            self._dropped_bytes += nbytes
            return
        is_first = self._task is None and not self._is_inside_request
        self._ahead += self._server.chunk[:nbytes]
        if is_first:
            self._limits = self._server.limits
            self._arm(_HEAD_TIME)
        if self._task is None:
            self._read_events()
        if self._room_bytes <= 0 and not self._is_paused:
            # Further requests wait in the socket's buffer, not in memory.
            self._transport.pause_reading()
            self._is_paused = True
            self._server.watch(self)

    @property
    def _is_inside_request(self) -> bool:
        if self._task is not None:
            return False
        return self._head is not None or bool(self._h11.trailing_data[0])

    def eof_received(self) -> bool:
        self._is_read_out = True
        if self._task is None or self._closing:
            self._close_read_out()
            return False
        self.note_half_close()
        self._drop_if_reset()
        return not self._is_tls

    def note_half_close(self) -> None:
        """Note that the caller has ended its sending side; it may still read.

        A close of the whole connection looks the same until something is written:
        the caller then answers with a reset, or takes what was written.
        """
        if self._is_half_closed or self._has_left:
            return
        # TLS knows no connection that is closed on one side.
        if self._is_tls or self._server.half_close_s <= 0.0:
            self.give_up()
            return
        self._is_half_closed = True
        self._seen_at = self._loop.time()
        self._taken = -self._count_unsent()
        self._server.watch(self)
        self._check_silence()

    def _drop_if_reset(self) -> bool:
        """Drop a connection that the caller has reset; return whether it has.

        The event loop does not look at a connection that it has read to the end.
        """
        if self.descriptor < 0:
            return True
        poll = select.poll()
        # Broken connections are told of without having been asked for.
        poll.register(self.descriptor, 0)
        if not poll.poll(0):
            return False
        self.drop()
        return True

    def _check_silence(self) -> None:
        """Give up for a caller that has ended its sending side and takes nothing."""
        self._silence_timer = None
        if self._has_left or self._closing:
            return
        now = self._loop.time()
        unsent = self._count_unsent()
        taken = self._written - unsent
        if taken > self._taken:
            self._taken = taken
            self._seen_at = now if unsent else max(self._seen_at, self._written_at)
            self._waiting_since = None
        due = self._seen_at + self._server.half_close_s
        if self._waiting_since is not None:
            due = max(due, self._waiting_since + defaults.HTTP_TAKEN_S)
        if now >= due and self._is_overdue:
            self.give_up()
            return
        # After a late turn of the event loop, what it was to write comes first.
        self._is_overdue = now >= due
        look_at = max(due, now + defaults.HTTP_WATCH_S)
        self._silence_timer = self._loop.call_at(look_at, self._check_silence)

    def give_up(self) -> None:
        """End the work for a caller that has closed its sending side.

        It may still read: each request that was read whole is refused.
        """
        if self._has_left:
            return
        self._has_left = True
        if self._is_handling:
            self._task.cancel()

    def _close_read_out(self) -> None:
        self._note_cut()
        self._is_close_told = True
        self.close()

    def _read_events(self) -> None:
        try:
            while self._task is None and not self._closing:
                event = self._h11.next_event()
                if event is h11.NEED_DATA:
                    self._check_incomplete()
                if event is h11.NEED_DATA and self._ahead:
                    self._h11.receive_data(self._ahead[: defaults.HTTP_PARSED_BYTES])
                    del self._ahead[: defaults.HTTP_PARSED_BYTES]
                elif event is h11.NEED_DATA or event is h11.PAUSED:
                    if self._is_read_out:
                        self._close_read_out()
                    return
                else:
                    self._take_event(event)
        except h11.RemoteProtocolError as error:
            self._reject(_classify(error))
        except Refusal as refusal:
            self._reject(refusal)

    def _check_incomplete(self) -> None:
        """Refuse a head, or the head of a chunk, that is too large before its end."""
        if len(self._h11.trailing_data[0]) > self._allowed.head_bytes:
            raise HeadTooLarge("the request head is too large")

    def _take_event(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            self._take_body(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._disarm()
            request = self._take_request()
            # What follows is another request.
            self._limits = self._server.limits
            self._task = asyncio.create_task(self._serve(request))
        elif isinstance(event, h11.ConnectionClosed):
            self.close()

    def _take_head(self, head: h11.Request) -> None:
        self._head = head
        self._arm(_BODY_TIME)
        if head.method == b"CONNECT":
            raise BadRequest("this is no proxy")
        # Heads that arrive whole are never incomplete.
        if _measure_head(head) > self._allowed.head_bytes:
            raise HeadTooLarge("the request head is too large")
        _check_framing(head)
        length = _content_length(head)
        self._check_body_size(length)
        if self._h11.they_are_waiting_for_100_continue:
            self.send_event(h11.InformationalResponse(status_code=100, headers=[]))

    def _take_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        self._check_body_size(self._body_bytes)
        self._body.append(bytes(data))

    def _check_body_size(self, size: int) -> None:
        limit = self._allowed.body_bytes
        if size > limit:
            raise BodyTooLarge(f"the body may have {limit} bytes")

    async def _serve(self, request: Request) -> None:
        responder = Responder(self)
        try:
            await self._handle(request, responder)
        except asyncio.CancelledError:
            if self._transport is None or self._transport.is_closing():
                raise
            reason = _LEFT if self._has_left else _GIVEN_UP
            self._refuse(responder, BackendFailed(reason, not_run=False))
        except Refusal as refusal:
            self._refuse(responder, refusal)
        except Exception as error:
            events.emit(_logger, events.HANDLER_FAILED, peer=self._peer, error=error)
            failure = Refusal("internal error", not_run=False)
            self._refuse(responder, failure)
        self._end_cycle(responder)

    async def _handle(self, request: Request, responder: Responder) -> None:
        if self._is_half_closed and self._drop_if_reset():
            return
        if self._has_left:
            refusal = CallerLeft(_LEFT)
            self._server.count_rejection(refusal)
            raise refusal
        self._is_handling = True
        try:
            await self._server.handler(request, responder)
        finally:
            self._is_handling = False

    def _take_request(self) -> Request:
        head = self._head
        assert head is not None
        try:
            headers = [(k.decode("ascii"), v.decode("utf-8")) for k, v in head.headers]
            target = head.target.decode("ascii")
        except UnicodeDecodeError:
            raise BadRequest("header values must be UTF-8") from None
        target, headers = _read_target(target, headers)
        body = b"".join(self._body)
        return Request(head.method.decode(), target, headers, body, self._peer)

    def _refuse(self, responder: Responder, refusal: Refusal) -> None:
        if responder.has_started:
            if not responder.is_finished:
                self.cut()
            return
        headers, body = self._server.render_error(refusal)
        responder.respond(refusal.status, headers, body)

    def _reject(self, refusal: Refusal) -> None:
        """Answer a request that could not be read, and close."""
        events.emit(_logger, events.CONNECTION_REJECTED, peer=self._peer, error=refusal)
        self._server.count_rejection(refusal)
        self._closing = True
        self._disarm()
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._is_close_told = True
            headers, body = self._server.render_error(refusal)
            headers = [*headers, ("connection", "close")]
            Responder(self).respond(refusal.status, headers, body)
        self._cancel_timer()
        self._linger()

    def _linger(self) -> None:
        """Close after a while in which what the caller still sends is dropped.

        A close with unread data resets the connection, and the caller might not see
        the answer.
        """
        if self._linger_timer is not None:
            return
        if not self._server.admit_lingering(self):
            self.close()
            return
        self._note_closing()
        self._closing = True
        self._dropped_bytes += len(self._ahead)
        self._ahead.clear()
        self._resume_reading()
        # Closed on both sides, it would look as if the caller had reset it.
        self._server.unwatch(self)
        # The caller may have reset the connection already.
        with contextlib.suppress(OSError):
            if self._transport.can_write_eof():
                self._transport.write_eof()
        if self._is_reset_armed and self._has_ended and self._is_flushed:
            self._set_linger(_NO_LINGER)
        self._set_linger_timer()

    def _set_linger_timer(self) -> None:
        unsent = self._transport.get_write_buffer_size()
        self._linger_timer = self._loop.call_later(
            defaults.HTTP_LINGER_S, self._end_linger, unsent
        )

    def _end_linger(self, unsent_before: int) -> None:
        """Close, unless the caller is still reading the answer."""
        if self._transport.get_write_buffer_size() < unsent_before:
            self._set_linger_timer()
        else:
            self.close()

    @property
    def _is_flushed(self) -> bool:
        return not self._transport.get_write_buffer_size()

    def _resume_reading(self) -> None:
        if self._is_paused and self._room_bytes >= defaults.HTTP_AHEAD_ROOM_BYTES:
            self._is_paused = False
            if not self._is_half_closed:
                self._server.unwatch(self)
            self._transport.resume_reading()

    @property
    def _is_tls(self) -> bool:
        return self._transport.get_extra_info("ssl_object") is not None

    @property
    def descriptor(self) -> int:
        """The file descriptor of the socket, negative if that is closed."""
        connection = self._transport.get_extra_info("socket")
        return connection.fileno() if connection is not None else -1

    def _end_cycle(self, responder: Responder) -> None:
        self._task = None
        self._has_served = True
        if self._transport is None or self._transport.is_closing():
            return
        if not responder.is_finished:
            self.cut()
            return
        if self._h11.our_state is not h11.DONE:
            # The caller may send before it reads that the connection ends.
            if self._is_read_out:
                self.close()
            else:
                self._linger()
            return
        if self._server.draining and not self._has_unread:
            self.close()
            return
        try:
            self._h11.start_next_cycle()
        except h11.ProtocolError:
            self.close()
            return
        self._head = None
        self._body = []
        self._body_bytes = 0
        if self._ahead or self._h11.trailing_data[0]:
            self._arm(_HEAD_TIME)
        else:
            self._limits = self._server.limits
            self._unsent = 0
            self._arm(_IDLE_TIME)
        self._read_events()
        self._resume_reading()

    def hold(self) -> None:
        """Keep what is sent until :meth:`release`, so that it leaves at once."""
        self._held = []

    def release(self) -> None:
        """Write what was kept."""
        held, self._held = self._held, None
        if held:
            self._write(b"".join(held))

    def _write(self, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_half_closed:
            self._written += len(data)
            self._written_at = self._loop.time()
            if self._waiting_since is None:
                self._waiting_since = self._written_at
        self._transport.write(data)

    def send_head(
        self,
        status: int,
        headers: list[tuple[str, str]],
        is_close_delimited: bool = False,
    ) -> None:
        encoded = [(k.encode(), v.encode()) for k, v in headers]
        encoded.append((b"server", _SERVER_NAME))
        if self._server.draining and not self._goes_on():
            encoded.append((b"connection", b"close"))
        try:
            # Checked before the parser's state changes, so that a refusal can follow.
            head = h11.Response(status_code=status, headers=encoded)
        except h11.LocalProtocolError as error:
            reason = f"the answer's head cannot be sent: {error}"
            raise BackendFailed(reason, not_run=False) from error
        if is_close_delimited:
            # h11 frames the body by the version: without chunks, and with a close.
            self._h11.their_http_version = _VERSION_WITHOUT_CHUNKS
        self.send_event(head)
        self._arm_reset(headers)

    def _goes_on(self) -> bool:
        """Return whether a request sent ahead is to be answered in a drain.

        A caller that sends without end is told of the close after a while.
        """
        if self._ahead_until is None:
            self._ahead_until = self._loop.time() + defaults.DRAIN_AHEAD_S
        return self._has_unread and self._loop.time() < self._ahead_until

    def _arm_reset(self, headers: list[tuple[str, str]]) -> None:
        """Have the connection reset if the process ends inside the answer.

        Where only the close ends the body, it would look whole to the caller.
        """
        if self._h11.their_http_version != _VERSION_WITHOUT_CHUNKS:
            return
        if self._is_tls or any(name == "content-length" for name, _ in headers):
            return
        self._is_reset_armed = True
        self._set_linger(_RESET)

    def note_end(self) -> None:
        """Note that the body has ended."""
        self._has_ended = True

    def send_event(self, event: Any) -> None:
        is_head = self._head is not None and self._head.method == b"HEAD"
        if is_head and isinstance(event, h11.Data):
            # The answer has the head of one with a body, but no body.
            return
        data = self._h11.send(event)
        if not data:
            return
        if self._held is not None:
            self._held.append(data)
        else:
            self._write(data)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is there or about to arrive."""
        if self._is_idle and not self._has_unread and not self._is_expecting:
            self.close()

    def close(self) -> None:
        """Close once what was written has left; drop a caller that does not read."""
        self._note_closing()
        self._closing = True
        # A TLS transport can be closed once only.
        if self._transport is None or self._is_closed:
            return
        self._is_closed = True
        self._transport.close()
        if self._flush_timer is None:
            self._check_flush(math.inf, self._loop.time())

    def _check_flush(self, unsent_before: float, since: float) -> None:
        unsent = self._transport.get_write_buffer_size()
        if not unsent:
            return
        now = self._loop.time()
        if unsent < unsent_before:
            unsent_before, since = unsent, now
        left_s = since + self._allowed.idle_timeout_s - now
        if left_s <= 0:
            events.emit(
                _logger, events.CALLER_NOT_READING, peer=self._peer, unsent=unsent
            )
            self.abort()
            return
        self._flush_timer = self._loop.call_later(
            left_s, self._check_flush, unsent_before, since
        )

    def cut(self) -> None:
        """Close such that an answer in progress does not look complete.

        To a caller that knows no chunks, the close is the end of the body; it gets a
        reset instead.
        """
        if self._linger_timer is not None:
            return
        if self._h11.their_http_version == _VERSION_WITHOUT_CHUNKS:
            self._reset()
        elif self._has_unread and not self._is_read_out:
            self._linger()
        else:
            self.close()

    def abort(self) -> None:
        """Drop the connection; one with an answer in progress is reset.

        So is one whose answer has not left whole, where only the close ends it.
        """
        if self._task is not None or (self._is_reset_armed and self._has_unsent):
            self._reset()
            return
        self._note_closing()
        self._closing = True
        if self._transport is not None:
            self._abort_transport()

    def _abort_transport(self) -> None:
        self._aborted_bytes = self._count_unsent()
        self._transport.abort()

    def drop(self) -> None:
        """Drop a connection that its caller has broken off."""
        self._is_close_told = True
        self.abort()

    @property
    def _has_unsent(self) -> bool:
        return self._transport.get_write_buffer_size() > 0

    def _reset(self) -> None:
        self._note_closing()
        self._closing = True
        self._has_ended = False
        if self._transport is None:
            return
        self._set_linger(_RESET)
        self._abort_transport()

    def _set_linger(self, value: bytes) -> None:
        connection = self._transport.get_extra_info("socket")
        # The socket may be closed already.
        with contextlib.suppress(OSError):
            if connection is not None:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def _arm(self, time_limit: _TimeLimit) -> None:
        """Set the time-out; a timer that is due earlier looks at it again.

        Each request sets three time-outs, and nearly none of them passes.
        """
        self._armed_at = self._loop.time()
        self._time_limit = time_limit
        self._due = self._armed_at + time_limit(self._allowed)
        if self._timer is None or self._timer.when() > self._due:
            self._cancel_timer()
            self._timer = self._loop.call_at(self._due, self._check_time)

    def _disarm(self) -> None:
        self._due = math.inf

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check_time(self) -> None:
        self._timer = None
        if self._due == math.inf:
            return
        # The limit may have been raised meanwhile.
        self._due = max(self._due, self._armed_at + self._time_limit(self._allowed))
        if self._due <= self._loop.time():
            self._time_out()
        else:
            self._timer = self._loop.call_at(self._due, self._check_time)

    def _time_out(self) -> None:
        if self._task is not None:
            return
        if self._is_inside_request:
            events.emit(_logger, events.REQUEST_TIMED_OUT, peer=self._peer)
            self._reject(RequestTimeout("the request did not arrive in time"))
        elif self._has_unread:
            # A request, or the caller's close, which the loop reads next.
            self._arm(_HEAD_TIME)
        elif self._has_sent():
            self._arm(_IDLE_TIME)
        else:
            self.close()

    def _has_sent(self) -> bool:
        """Return whether the answer was on its way since this was asked last.

        Its caller is idle only once it has been sent the whole of it.
        """
        before, self._unsent = self._unsent, self._count_unsent()
        return self._unsent != before

    def _count_unsent(self) -> int:
        """Return the bytes that the caller's host has not acknowledged."""
        # The kernel's part, which Linux tells under this name (SIOCOUTQ).
        held = self._count_waiting(termios.TIOCOUTQ)
        return self._transport.get_write_buffer_size() + held

    def _count_waiting(self, direction: int) -> int:
        """Return how many bytes wait in the socket's buffer for one direction."""
        if self.descriptor < 0:
            return 0
        # The socket may be broken already.
        with contextlib.suppress(OSError):
            held = fcntl.ioctl(self.descriptor, direction, bytes(_INT.size))
            return _INT.unpack(held)[0]
        return 0


class HttpServer:
    """Accepts callers' connections.

    Args:
        handler: Called once a whole request has been read.
        render_error: Turns a refusal into headers and body.
        limits: Limits on heads, bodies, connections and times. Changed ones bind
            from the next request or wait on; before that the looser ones do.
        count_rejection: Called for each request that could not be read.
        half_close_s: How long a caller that has ended its sending side is worked for
            without a sign that it still reads.

    Attributes:
        refused: Connections beyond the limit that are being told so.
        chunk: What a connection reads, until it has copied it, in the same turn.
        on_close: Called with the address of each connection that has ended.
    """

    def __init__(
        self,
        handler: Handler,
        render_error: ErrorRenderer,
        limits: LimitSettings,
        count_rejection: Callable[[Refusal], None] = lambda refusal: None,
        half_close_s: float = defaults.HTTP_HALF_CLOSE_S,
    ) -> None:
        self.handler = handler
        self.render_error = render_error
        self.limits = limits
        self.count_rejection = count_rejection
        self.half_close_s = half_close_s
        self.draining = False
        self.refused = 0
        self.chunk = memoryview(bytearray(defaults.HTTP_AHEAD_BYTES))
        self.on_close: Callable[[str], None] = lambda peer: None
        self._connections: set[_Connection] = set()
        self._lingering: set[_Connection] = set()
        # Connections that are not read for now, or have been read to their end.
        self._watched: set[_Connection] = set()
        self._watch_timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def admit(self, connection: "_Connection") -> bool:
        """Return whether one more connection is allowed, and note it."""
        lingering = len(self._lingering & self._connections)
        if len(self._connections) - lingering >= self.limits.connections:
            return False
        self._connections.add(connection)
        return True

    def discard(self, connection: "_Connection") -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)
        self._lingering.discard(connection)

    def admit_lingering(self, connection: "_Connection") -> bool:
        """Return whether an answered connection may stay open for a while.

        It takes no place of those that callers may have.
        """
        if len(self._lingering) >= defaults.HTTP_LINGERING_CONNECTIONS:
            return False
        self._lingering.add(connection)
        return True

    def watch(self, connection: "_Connection") -> None:
        """Look for the close of a connection that the event loop does not read."""
        self._watched.add(connection)
        if self._watch_timer is None:
            self._set_watch_timer()

    def unwatch(self, connection: "_Connection") -> None:
        """Leave the close of a connection to its reader again."""
        self._watched.discard(connection)

    def _set_watch_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._watch_timer = loop.call_later(
            defaults.HTTP_WATCH_S, self._close_abandoned
        )

    def _close_abandoned(self) -> None:
        self._watch_timer = None
        by_descriptor = {each.descriptor: each for each in self._watched}
        poll = select.poll()
        for descriptor in by_descriptor:
            if descriptor >= 0:
                poll.register(descriptor, select.POLLRDHUP)
        # Broken connections are told of without having been asked for.
        for descriptor, seen in poll.poll(0):
            connection = by_descriptor[descriptor]
            if seen & (select.POLLERR | select.POLLHUP):
                connection.drop()
            else:
                connection.note_half_close()
        if self._watched:
            self._set_watch_timer()

    async def listen(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> str:
        """Start listening, as soon as the address is free.

        Returns:
            The address with the real port.

        Raises:
            ListenFailed: If the address stays in use or is not of this host.
        """
        return await listen_when_free(lambda: self._listen(host, port, tls))

    async def _listen(self, host: str, port: int, tls: ssl.SSLContext | None) -> str:
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: _Connection(self),
                host,
                port,
                ssl=tls,
                backlog=defaults.HTTP_BACKLOG,
                reuse_address=True,
                # A handshake counts as part of the head: slow ones end in time.
                ssl_handshake_timeout=self.limits.head_timeout_s if tls else None,
            )
        except OSError as error:
            reason = os.strerror(error.errno) if error.errno else str(error)
            # asyncio leaves the number out where it skips an address that is not up.
            number = error.errno or errno.EADDRNOTAVAIL
            raise ListenFailed(f"{host}:{port}", reason, number) from error
        name = self._server.sockets[0].getsockname()
        return f"{name[0]}:{name[1]}"

    async def drain(self, timeout_s: float) -> None:
        """Accept no new connection and wait until all requests have ended.

        Requests that have arrived are read and answered, also those on connections that
        wait to be accepted.
        """
        self.draining = True
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        await self._stop_accepting()
        while self._connections and loop.time() < deadline:
            for connection in list(self._connections):
                connection.close_if_idle()
            await asyncio.sleep(defaults.DRAIN_POLL_S)

    async def _stop_accepting(self) -> None:
        """Close the listening sockets once the loop has accepted what has arrived.

        A connection that waits to be accepted, or whose transport is not made yet, is
        lost with the listening socket.
        """
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        deadline = loop.time() + defaults.DRAIN_ACCEPT_S
        quiet_turns = 0
        while loop.time() < deadline:
            is_quiet = not _is_readable(self._server.sockets)
            quiet_turns = quiet_turns + 1 if is_quiet else 0
            if quiet_turns == defaults.DRAIN_QUIET_TURNS:
                break
            await asyncio.sleep(0)
        self._server.close()

    async def close(self) -> None:
        """Cut what is left."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()


def _is_readable(sockets: Iterable[Any]) -> bool:
    """Return whether bytes or connections have arrived that were not taken yet."""
    poll = select.poll()
    for each in sockets:
        if each.fileno() >= 0:
            poll.register(each.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _classify(error: h11.RemoteProtocolError) -> Refusal:
    if error.error_status_hint == HeadTooLarge.status:
        return HeadTooLarge("the request head is too large")
    return BadRequest(f"not a valid request: {error}")


def _measure_head(head: h11.Request) -> int:
    """Return the length of a head in bytes, but for white space."""
    fields = sum(len(name) + len(value) + _FIELD_BYTES for name, value in head.headers)
    return len(head.method) + len(head.target) + fields


def _check_framing(head: h11.Request) -> None:
    """Refuse heads whose body length another server could read differently."""
    names = [name for name, _ in head.headers]
    has_length = b"content-length" in names
    if has_length and b"transfer-encoding" in names:
        raise BadRequest("a request may not have both a length and chunks")
    if names.count(b"content-length") > 1:
        raise BadRequest("a request may not have two lengths")
    if names.count(b"authorization") > 1:
        raise BadRequest("a request may not have two authorization headers")


def _read_target(
    target: str, headers: list[tuple[str, str]]
) -> tuple[str, list[tuple[str, str]]]:
    """Return path with query, and headers with the host that the target names.

    A target that is a whole URL replaces the Host header (RFC 9112, 3.2.2).
    """
    absolute = _ABSOLUTE_TARGET.fullmatch(target)
    if absolute is None:
        return target, headers
    host, path = absolute.groups()
    if not host or "@" in host:
        raise BadRequest("the request's URL must name a host and no user")
    others = [(name, value) for name, value in headers if name != "host"]
    target = path if path.startswith("/") else f"/{path}"
    return target, [("host", host), *others]


def _content_length(head: h11.Request) -> int:
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0
