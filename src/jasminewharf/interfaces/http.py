"""An HTTP/1.1 server on h11 that bounds what a caller may send."""

import asyncio
import errno
import os
import select
import socket
import ssl
from collections.abc import Awaitable, Callable

import h11

from .. import defaults
from ..exceptions import ListenFailed, Refusal
from ..services.listening import listen_when_free
from ..services.requestmemory import RequestMemory, read_memory_bytes
from ..settings import LimitSettings
from .httpconnections import Connection
from .httprequests import Request
from .httpresponses import Responder
from .sockets import is_readable

__all__ = ["HttpServer", "Request", "Responder"]

Handler = Callable[[Request, Responder], Awaitable[None]]
WorkspaceFinder = Callable[[h11.Request], str]
ErrorRenderer = Callable[[Refusal], tuple[list[tuple[str, str]], bytes]]


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
        memory: What the process may hold for callers; of its own if it is None.
        find_workspace: Returns the workspace of a request by its head, empty if it
            has none; asked for requests that may have large bodies.

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
        memory: RequestMemory | None = None,
        find_workspace: WorkspaceFinder | None = None,
    ) -> None:
        self.handler = handler
        self.render_error = render_error
        self.limits = limits
        self.count_rejection = count_rejection
        self.half_close_s = half_close_s
        self.memory = memory or RequestMemory(read_memory_bytes())
        self.find_workspace = find_workspace
        self.draining = False
        self.refused = 0
        self.chunk = memoryview(bytearray(defaults.HTTP_AHEAD_BYTES))
        self.on_close: Callable[[str], None] = lambda peer: None
        self._connections: set[Connection] = set()
        self._lingering: set[Connection] = set()
        # Connections that are not read for now, or have been read to their end.
        self._watched: set[Connection] = set()
        self._watch_timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def admit(self, connection: "Connection") -> bool:
        """Return whether one more connection is allowed, and note it."""
        lingering = len(self._lingering & self._connections)
        limit = min(self.limits.connections, self.memory.connections)
        if len(self._connections) - lingering >= limit:
            return False
        self._connections.add(connection)
        return True

    def discard(self, connection: "Connection") -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)
        self._lingering.discard(connection)

    def admit_lingering(self, connection: "Connection") -> bool:
        """Return whether an answered connection may stay open for a while.

        It takes no place of those that callers may have.
        """
        if len(self._lingering) >= self.memory.lingering:
            return False
        self._lingering.add(connection)
        return True

    def watch(self, connection: "Connection") -> None:
        """Look for the close of a connection that the event loop does not read."""
        self._watched.add(connection)
        if self._watch_timer is None:
            self._set_watch_timer()

    def unwatch(self, connection: "Connection") -> None:
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
                lambda: Connection(self),
                host,
                port,
                ssl=tls,
                backlog=defaults.HTTP_ACCEPTED_IN_TURN,
                reuse_address=True,
                # A handshake counts as part of the head: slow ones end in time.
                ssl_handshake_timeout=self.limits.head_timeout_s if tls else None,
            )
        except OSError as error:
            reason = os.strerror(error.errno) if error.errno else str(error)
            # asyncio leaves the number out where it skips an address that is not up.
            number = error.errno or errno.EADDRNOTAVAIL
            raise ListenFailed(f"{host}:{port}", reason, number) from error
        for each in self._server.sockets:
            # asyncio accepts as many in one turn as may wait to be accepted.
            with socket.socket(fileno=os.dup(each.fileno())) as listener:
                listener.listen(defaults.HTTP_BACKLOG)
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
            is_quiet = not is_readable(self._server.sockets)
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
