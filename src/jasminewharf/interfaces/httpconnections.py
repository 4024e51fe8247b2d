"""One connection of a caller: reading its requests and ending it."""

import asyncio
import contextlib
import logging
import math
import sys
from typing import TYPE_CHECKING, Any

import h11

from .. import defaults, events
from ..decisions.framing import is_final_status
from ..exceptions import (
    BackendFailed,
    BadRequest,
    CallerLeft,
    MemoryFull,
    Refusal,
    RequestTimeout,
    TooManyConnections,
)
from ..settings import LimitSettings
from .httpreader import TURN_ENDED, RequestReader
from .httprequests import Request, classify, read_length
from .httpresponses import Responder
from .httpsilence import SilenceWatch
from .httptimers import BODY_TIME, HEAD_TIME, IDLE_TIME, Timeout
from .sockets import (
    NO_LINGER,
    RESET,
    count_unread,
    count_unsent,
    is_broken,
    is_readable,
    set_linger,
)

if TYPE_CHECKING:
    from .http import HttpServer

__all__ = ["Connection"]

_logger = logging.getLogger(__name__)

_SERVER_NAME = b"jasminewharf"
_CONNECTION_RETRY_MS = 1_000
_LEFT = "the caller has closed its sending side"
_GIVEN_UP = "the request was given up"
_VERSION_WITHOUT_CHUNKS = b"1.0"


class _UnreadAnswer:
    """What a caller has not read of its answer yet."""

    def __init__(self, connection: "Connection") -> None:
        self._connection = connection

    def shed(self, reason: str) -> str:
        return self._connection.shed_answer()


class Connection(asyncio.BufferedProtocol):
    """One caller's connection, from its first byte to its close."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        # In force when the request, or the wait for it, began.
        self._limits = server.limits
        # The length of an incomplete head is checked by the limits in force.
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self._transport: asyncio.Transport | None = None
        self._peer = ""
        self._address = ""
        self._turn: asyncio.Handle | None = None
        # The body of the request that is served.
        self._served_bytes = 0
        self._unread_answer = _UnreadAnswer(self)
        self._reader = RequestReader(self._h11, lambda: self._allowed)
        # What arrives while a request is served waits here, unparsed.
        self._ahead = self._reader.ahead
        self._task: asyncio.Task[None] | None = None
        self._flush_timer: asyncio.TimerHandle | None = None
        self._timeout = Timeout(lambda: self._allowed, self._time_out)
        self._loop = asyncio.get_running_loop()
        self._writable = asyncio.Event()
        self._writable.set()
        self._closing = False
        self._held: list[bytes] | None = None
        self._is_paused = False
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
        self._silence = SilenceWatch(
            self._count_unsent, self._get_half_close_s, self._give_up_silent
        )
        self._made_at = self._loop.time()

    @property
    def is_half_closed(self) -> bool:
        """Whether the caller has ended its sending side."""
        return self._is_half_closed

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
    def _has_unread(self) -> bool:
        """Whether bytes have arrived that the loop or the parser has not read yet."""
        if self._ahead or self._h11.trailing_data[0]:
            return True
        if self._is_read_out:
            # The socket is readable for ever, of its end.
            return False
        connection = self._transport.get_extra_info("socket")
        return connection is not None and is_readable([connection])

    @property
    def _is_expecting(self) -> bool:
        """Whether a caller has just connected and is about to send its request."""
        age_s = self._loop.time() - self._made_at
        return not self._has_served and age_s < defaults.DRAIN_FRESH_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or tell its caller that there are too many."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        name = transport.get_extra_info("peername")
        self._peer = f"{name[0]}:{name[1]}" if name else ""
        self._address = name[0] if name else ""
        if not self._server.admit(self):
            if self._server.refused >= self._server.memory.refused:
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
        self._timeout.arm(HEAD_TIME)

    def connection_lost(self, error: Exception | None) -> None:
        """End what the connection began."""
        self._note_cut()
        self._report_unanswered()
        self._closing = True
        if self._is_reset_armed and self._has_ended and error is None:
            # All was written; the socket is closed after this call.
            self._set_linger(NO_LINGER)
        self._timeout.cancel()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._silence.stop()
        self._forget_bytes()
        self._server.memory.release(self._unread_answer)
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
        return kept + self._dropped_bytes + count_unread(self.descriptor)

    def pause_writing(self) -> None:
        """Have answers wait for a caller that reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let answers go on."""
        self._server.memory.release(self._unread_answer)
        self._writable.set()

    async def wait_writable(self) -> None:
        """Wait until the caller has read enough of its answer."""
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
        return self._ahead_limit - kept

    @property
    def _ahead_limit(self) -> int:
        if self._server.memory.is_short:
            return defaults.HTTP_AHEAD_SHORT_BYTES
        return defaults.HTTP_AHEAD_BYTES

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read to, no more than may be kept."""
        if self._closing:
            return self._server.chunk
        # The loop takes an empty buffer for a fault, or for the end.
        return self._server.chunk[: max(self._room_bytes, 1)]

    def buffer_updated(self, nbytes: int) -> None:
        """Take what has arrived."""
        if self._closing:
            # What arrives after a refusal is dropped, not kept in memory.
            self._dropped_bytes += nbytes
            return
        is_first = self._task is None and not self._is_inside_request
        self._ahead += self._server.chunk[:nbytes]
        if is_first:
            self._limits = self._server.limits
            self._timeout.arm(HEAD_TIME)
        if self._task is None and self._turn is None:
            self._read_events()
        self._note_bytes()
        if self._closing:
            return
        if self._room_bytes <= 0 and not self._is_paused:
            # Further requests wait in the socket's buffer, not in memory.
            self._transport.pause_reading()
            self._is_paused = True
            self._server.watch(self)

    @property
    def _is_inside_request(self) -> bool:
        if self._task is not None:
            return False
        return self._reader.head is not None or bool(self._h11.trailing_data[0])

    def eof_received(self) -> bool:
        """Note that the caller sends no more; return whether to keep the socket."""
        while self._turn is not None:
            # What has arrived before the end comes first; it has a bound.
            self._go_on()
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
        self._server.watch(self)
        self._silence.start()

    def _get_half_close_s(self) -> float:
        return self._server.half_close_s

    def _drop_if_reset(self) -> bool:
        """Drop a connection that the caller has reset; return whether it has.

        The event loop does not look at a connection that it has read to the end.
        """
        if self.descriptor < 0:
            return True
        if not is_broken(self.descriptor):
            return False
        self.drop()
        return True

    def give_up(self) -> None:
        """End the work for a caller that has closed its sending side.

        It may still read: each request that was read whole is refused.
        """
        if self._has_left:
            return
        self._has_left = True
        if self._is_handling:
            self._task.cancel()

    def _give_up_silent(self) -> None:
        if not self._closing:
            self.give_up()

    def _close_read_out(self) -> None:
        self._note_cut()
        self._is_close_told = True
        self.close()

    def _read_events(self) -> None:
        self._reader.begin_turn()
        try:
            while self._task is None and not self._closing:
                item = self._reader.read()
                if item is TURN_ENDED:
                    self._turn = self._loop.call_soon(self._go_on)
                    return
                if item is None:
                    if self._is_read_out:
                        self._close_read_out()
                    return
                self._take(item)
        except h11.RemoteProtocolError as error:
            self._reject(classify(error))
        except Refusal as refusal:
            self._reject(refusal)

    def _go_on(self) -> None:
        """Read on after other connections had their turn."""
        if self._turn is not None:
            self._turn.cancel()
            self._turn = None
        if self._task is None and not self._closing:
            self._read_events()
        self._note_bytes()
        if not self._closing:
            self._resume_reading()

    def _note_bytes(self) -> None:
        """Count what is held; this or another request may be refused for it."""
        if not self._closing:
            held = self._served_bytes + self._reader.held_bytes
            self._server.memory.hold(self, self._address, held)

    def _forget_bytes(self) -> None:
        if self._turn is not None:
            self._turn.cancel()
            self._turn = None
        self._reader.drop()
        self._server.memory.release(self)

    def shed(self, reason: str) -> str:
        """Refuse the request that is being read: its bytes have to be given up."""
        self._reject(
            MemoryFull(
                f"too much is held of requests that are not whole ({reason})",
                retry_after_ms=defaults.SHED_RETRY_MS,
            )
        )
        return self._peer

    def shed_answer(self) -> str:
        """Drop the caller of an answer that is left unread."""
        unsent = self._transport.get_write_buffer_size()
        events.emit(_logger, events.CALLER_NOT_READING, peer=self._peer, unsent=unsent)
        self._reset()
        return self._peer

    def _take(self, item: Any) -> None:
        if isinstance(item, h11.Request):
            self._timeout.arm(BODY_TIME)
            self._reader.check_head()
            self._name_workspace(item)
            if self._h11.they_are_waiting_for_100_continue:
                self.send_event(h11.InformationalResponse(status_code=100, headers=[]))
        elif isinstance(item, h11.EndOfMessage):
            self._timeout.disarm()
            request = self._reader.take_request(self._peer)
            memory = self._server.memory
            self._served_bytes = len(request.body)
            memory.complete(self)
            # What follows is another request.
            self._limits = self._server.limits
            self._task = asyncio.create_task(self._serve(request))
        elif isinstance(item, h11.ConnectionClosed):
            self.close()

    def _name_workspace(self, head: h11.Request) -> None:
        if self._server.find_workspace is None:
            return
        length = read_length(head)
        has_chunks = any(name == b"transfer-encoding" for name, _ in head.headers)
        if has_chunks or length > defaults.HTTP_JOINED_BYTES:
            workspace = self._server.find_workspace(head)
            self._server.memory.hold(self, self._address, self._reader.held_bytes)
            self._server.memory.name_workspace(self, workspace)

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
        self._timeout.disarm()
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._is_close_told = True
            headers, body = self._server.render_error(refusal)
            headers = [*headers, ("connection", "close")]
            Responder(self).respond(refusal.status, headers, body)
        self._timeout.cancel()
        self._linger()
        self._forget_bytes()

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
            self._set_linger(NO_LINGER)
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
        least = min(defaults.HTTP_AHEAD_ROOM_BYTES, self._ahead_limit // 2)
        if self._is_paused and self._room_bytes >= least:
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
        self._served_bytes = 0
        self._server.memory.release(self)
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
        self._reader.reset()
        if self._ahead or self._h11.trailing_data[0]:
            self._timeout.arm(HEAD_TIME)
        else:
            self._limits = self._server.limits
            self._unsent = 0
            self._timeout.arm(IDLE_TIME)
        self._read_events()
        self._note_bytes()
        self._resume_reading()

    def hold(self) -> None:
        """Keep what is sent until :meth:`release`, so that it leaves at once."""
        self._held = []

    def release(self) -> None:
        """Write what was kept."""
        held, self._held = self._held, None
        if held and sum(map(len, held)) <= defaults.HTTP_JOINED_BYTES:
            self._write(b"".join(held))
        else:
            for part in held or ():
                self._write(part)

    def _write(self, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_half_closed:
            self._silence.note_written(len(data))
        self._transport.write(data)
        unsent = self._transport.get_write_buffer_size()
        if unsent > defaults.HTTP_JOINED_BYTES:
            self._server.memory.hold(self._unread_answer, self._address, unsent)

    def send_head(
        self,
        status: int,
        headers: list[tuple[str, str]],
        is_close_delimited: bool = False,
    ) -> None:
        """Send the head of an answer; see :meth:`Responder.start`."""
        if not is_final_status(status):
            # An agent of an earlier release passes any on.
            raise BackendFailed(f"{status} is no status of an answer", not_run=False)
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
        self._set_linger(RESET)

    def note_end(self) -> None:
        """Note that the body has ended."""
        self._has_ended = True

    def send_event(self, event: Any) -> None:
        """Send a part of an answer, or keep it until :meth:`release`."""
        head = self._reader.head
        is_head = head is not None and head.method == b"HEAD"
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
        self._set_linger(RESET)
        self._abort_transport()

    def _set_linger(self, value: bytes) -> None:
        set_linger(self._transport.get_extra_info("socket"), value)

    def _time_out(self) -> None:
        if self._task is not None:
            return
        if self._is_inside_request:
            events.emit(_logger, events.REQUEST_TIMED_OUT, peer=self._peer)
            self._reject(RequestTimeout("the request did not arrive in time"))
        elif self._has_unread:
            # A request, or the caller's close, which the loop reads next.
            self._timeout.arm(HEAD_TIME)
        elif self._has_sent():
            self._timeout.arm(IDLE_TIME)
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
        held = count_unsent(self.descriptor)
        return self._transport.get_write_buffer_size() + held
