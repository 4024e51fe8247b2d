"""The HTTP server that all stand-ins share, with faults on demand."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import h11
import msgspec

from .connection import Answer, Connection, Request, answer_json

__all__ = ["FakeServer", "Faults", "SeenRequest"]

_SEEN_LIMIT = 100_000
_STALL_POLL_S = 0.01
# Lets the answer to the kill request leave.
_KILL_DELAY_S = 0.02


class SeenRequest(NamedTuple):
    """What a checker may need of a request that arrived."""

    at: float
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong, apart from requests under ``/fake/``.

    Attributes:
        prefix: Paths that the faults apply to.
        stall: Requests hang after they were read, before anything runs; calls that
            an engine runs already make no progress.
        delay_s: Delay before a request runs.
        slow: Factor on the time that work takes.
        fail_next: Requests answered with 503 without running.
        fail_after_next: Requests that run and are then answered with 500.
        drop_next: Requests that run and whose connection is then closed.
        cut_after_bytes: Streams are cut after so many bytes; negative for never.
    """

    prefix: str = "/"
    stall: bool = False
    delay_s: float = 0.0
    slow: float = 1.0
    fail_next: int = 0
    fail_after_next: int = 0
    drop_next: int = 0
    cut_after_bytes: int = -1


Handler = Callable[[Request], Awaitable[Answer]]


class FakeServer:
    """Serves routes over HTTP/1.1 on loopback and records every request.

    Attributes:
        faults: What goes wrong now.
        seen: All requests apart from those under ``/fake/``.
        incarnation: Rises with each start, as a restarted process would differ.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.seen: list[SeenRequest] = []
        self.incarnation = 0
        self.host = "127.0.0.1"
        self.port = 0
        self.killed = asyncio.Event()
        self._routes: dict[tuple[str, str], Handler] = {}
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self._killing: asyncio.Task[None] | None = None
        self.route("GET", "/fake/requests", self._list_seen)
        self.route("GET", "/fake/faults", self._get_faults)
        self.route("POST", "/fake/faults", self._set_faults)
        self.route("POST", "/fake/kill", self._kill_on_request)

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self.host}:{self.port}"

    def route(self, method: str, path: str, handler: Handler) -> None:
        """Serve ``path``; one that ends in ``/`` covers all paths below it."""
        self._routes[method, path] = handler

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen; port 0 takes a free one, or the earlier one after a kill."""
        self.host = host
        self.incarnation += 1
        self.killed.clear()
        self._server = await asyncio.start_server(
            self._serve, host, port or self.port, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self.kill()

    async def kill(self) -> None:
        """Abort everything at once, as a crash would."""
        if self._server is not None:
            self._server.close()
            self._server = None
        tasks = list(self._connections)
        for task in tasks:
            self._connections[task].transport.abort()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.killed.set()

    def set_faults(self, **values: Any) -> None:
        """Replace the faults; what is not named is as without faults."""
        self.faults = msgspec.convert(values, Faults)

    def find_seen(self, text: str) -> list[SeenRequest]:
        """Return the requests that contain ``text`` anywhere, such as a key."""
        found = []
        for item in self.seen:
            head = f"{item.path}?{item.query} {item.headers}"
            if text in head or text.encode() in item.body:
                found.append(item)
        return found

    async def _get_faults(self, request: Request) -> Answer:
        return answer_json(200, msgspec.to_builtins(self.faults))

    async def _set_faults(self, request: Request) -> Answer:
        try:
            self.set_faults(**request.json())
        except (msgspec.ValidationError, TypeError) as error:
            return answer_json(400, {"error": str(error)})
        return await self._get_faults(request)

    async def _list_seen(self, request: Request) -> Answer:
        items = [
            {**item._asdict(), "body": item.body.decode("utf-8", "replace")}
            for item in self.seen
        ]
        return answer_json(200, {"requests": items})

    async def _kill_on_request(self, request: Request) -> Answer:
        # The kill cancels the task that runs this handler, so it needs its own.
        self._killing = asyncio.create_task(self._kill_soon())
        return answer_json(200, {})

    async def _kill_soon(self) -> None:
        await asyncio.sleep(_KILL_DELAY_S)
        await self.kill()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._connections[task] = writer
        connection = Connection(reader, writer)
        try:
            while (request := await connection.read_request()) is not None:
                await connection.run(self._answer(connection, request))
                if not connection.reuse():
                    break
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._connections.pop(task, None)
            writer.close()

    async def _answer(self, connection: "Connection", request: Request) -> None:
        if request.path.startswith("/fake/"):
            await connection.send(await self._dispatch(request), -1)
            return
        self._record(request)
        faults = self.faults
        if not request.path.startswith(faults.prefix):
            await connection.send(await self._dispatch(request), -1)
            return
        while self.faults.stall:
            await asyncio.sleep(_STALL_POLL_S)
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.fail_next > 0:
            faults.fail_next -= 1
            await connection.send(answer_json(503, {"error": "injected"}), -1)
            return
        answer = await self._dispatch(request)
        if faults.drop_next > 0:
            faults.drop_next -= 1
            raise ConnectionAbortedError
        if faults.fail_after_next > 0:
            faults.fail_after_next -= 1
            answer = answer_json(500, {"error": "injected after the call ran"})
        await connection.send(answer, faults.cut_after_bytes)

    async def _dispatch(self, request: Request) -> Answer:
        handler = self._routes.get((request.method, request.path))
        if handler is None:
            below = [
                path
                for method, path in self._routes
                if method in (request.method, "*")
                and path.endswith("/")
                and request.path.startswith(path)
            ]
            if not below:
                return answer_json(404, {"error": f"no route {request.path}"})
            path = max(below, key=len)
            handler = self._routes.get((request.method, path))
            handler = handler or self._routes["*", path]
        return await handler(request)

    def _record(self, request: Request) -> None:
        if len(self.seen) < _SEEN_LIMIT:
            query = "&".join(f"{name}={text}" for name, text in request.query.items())
            self.seen.append(
                SeenRequest(
                    time.monotonic(),
                    request.method,
                    request.path,
                    query,
                    request.headers,
                    request.body,
                )
            )
