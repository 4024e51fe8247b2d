"""Clients of the entries, over connections that they keep or open anew."""

import asyncio
from typing import Any

from .fleet import Fleet
from .settings import HOST, KEY
from .web import Refused, read_chunk, read_head, render

__all__ = ["Client"]


class Client:
    """One connection of a client to an entry."""

    def __init__(self, fleet: Fleet, front: str) -> None:
        self.fleet = fleet
        self.front = front
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        host, _, port = self.fleet.address(self.front, "front").rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(
        self,
        path: str,
        method: str = "POST",
        deadline_ms: int = 3000,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> str:
        """Send a request and return its identifier."""
        if self.writer is None:
            await self.connect()
        name = self.fleet.name_attempt()
        head = {
            "Host": HOST,
            "X-Attempt-Id": name,
            "X-Deadline-Ms": str(deadline_ms),
            "Api-Key": KEY,
            **(headers or {}),
        }
        self.fleet.record.note("send", id=name, front=self.front, path=path)
        self.writer.write(render(f"{method} {path} HTTP/1.1", head, body))
        return name

    async def read(self, name: str, timeout_s: float) -> dict[str, Any]:
        """Read a whole answer; note and return what came."""
        outcome: dict[str, Any] = {"status": 0, "events": [], "whole": False}
        try:
            async with asyncio.timeout(timeout_s):
                await self._read(outcome)
        except TimeoutError:
            outcome["error"] = "no whole answer in time"
            self.close()
        except (Refused, ConnectionError) as error:
            outcome["error"] = repr(error)
            self.close()
        return self.fleet.record.note("answer", id=name, **outcome)

    async def _read(self, outcome: dict[str, Any]) -> None:
        first, headers = await read_head(self.reader)
        outcome["status"] = int(first[1])
        outcome["attempt"] = headers.get("x-attempt-id")
        outcome["signed"] = "x-response-signature" in headers
        if headers.get("transfer-encoding", "") == "chunked":
            text = b""
            while part := await read_chunk(self.reader):
                text += part
                outcome["events"] = [
                    int(line[4:])
                    for line in text.split(b"\n")
                    if line.startswith(b"id: ")
                ]
        else:
            size = int(headers.get("content-length", 0))
            body = await self.reader.readexactly(size)
            outcome["body"] = body.decode("latin-1")[:200]
        outcome["whole"] = True
        if headers.get("connection", "").lower() == "close":
            self.close()

    async def ask(
        self, path: str, timeout_s: float = 5.0, **settings: Any
    ) -> dict[str, Any]:
        """Send a request and read its answer."""
        try:
            name = await self.send(path, **settings)
        except OSError as error:
            self.close()
            return self.fleet.record.note("unsent", error=repr(error))
        return await self.read(name, timeout_s)
