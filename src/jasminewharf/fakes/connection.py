"""HTTP/1.1 connections of the stand-ins, on the server's side."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import h11

__all__ = ["Answer", "Connection", "Request", "answer_json"]

_READ_BYTES = 65536


class Request(NamedTuple):
    """A parsed request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded JSON body; an empty object if it is not JSON."""
        try:
            return json.loads(self.body or b"{}")
        except ValueError:
            return {}


class Answer(NamedTuple):
    """An answer; ``stream`` replaces ``body`` if it is given."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    stream: AsyncIterator[bytes] | None = None
    headers: tuple[tuple[str, str], ...] = ()


def answer_json(status: int, value: Any, **headers: str) -> Answer:
    """Return an answer with a JSON body."""
    pairs = tuple((name.replace("_", "-"), text) for name, text in headers.items())
    return Answer(status, json.dumps(value).encode(), headers=pairs)


class Connection:
    """One connection: reads requests, runs a handler, notices a hang-up."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=65536)
        self._head_only = False

    async def read_request(self) -> Request | None:
        """Return the next request, or None if the client has closed."""
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._reader.read(_READ_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._head_only = head.method == b"HEAD"
                return _build_request(head, bytes(body))
            else:
                return None

    async def run(self, work: Awaitable[None]) -> None:
        """Run a handler; cancel it when the client closes the connection."""
        task = asyncio.ensure_future(work)
        watch = asyncio.ensure_future(self._wait_for_hang_up())
        try:
            await asyncio.wait({task, watch}, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                task.cancel()
            await task
        finally:
            task.cancel()
            watch.cancel()
            await asyncio.gather(task, watch, return_exceptions=True)

    async def _wait_for_hang_up(self) -> None:
        while True:
            data = await self._reader.read(_READ_BYTES)
            self._http.receive_data(data)
            if not data:
                return

    async def send(self, answer: Answer, cut_after_bytes: int) -> None:
        """Send an answer; cut a stream after so many bytes unless negative."""
        headers = [("content-type", answer.content_type), *answer.headers]
        if answer.stream is None:
            headers.append(("content-length", str(len(answer.body))))
        self._write(h11.Response(status_code=answer.status, headers=headers))
        if self._head_only:
            pass
        elif answer.stream is None:
            self._write(h11.Data(data=answer.body))
        else:
            await self._send_stream(answer.stream, cut_after_bytes)
        self._write(h11.EndOfMessage())
        await self._writer.drain()

    async def _send_stream(
        self, stream: AsyncIterator[bytes], cut_after_bytes: int
    ) -> None:
        sent = 0
        async for data in stream:
            if 0 <= cut_after_bytes < sent + len(data):
                self._write(h11.Data(data=data[: cut_after_bytes - sent]))
                await self._writer.drain()
                raise ConnectionAbortedError
            self._write(h11.Data(data=data))
            sent += len(data)
            await self._writer.drain()

    def _write(self, event: Any) -> None:
        self._writer.write(self._http.send(event))

    def reuse(self) -> bool:
        """Prepare for the next request; return False if there can be none."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True


def _build_request(head: h11.Request, body: bytes) -> Request:
    parts = urlsplit(head.target.decode("ascii"))
    query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
    headers = {
        name.decode("ascii").lower(): text.decode("latin-1")
        for name, text in head.headers
    }
    return Request(head.method.decode("ascii"), parts.path, query, headers, body)
