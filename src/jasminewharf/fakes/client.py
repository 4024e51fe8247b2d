"""A minimal HTTP client for the stand-ins, tests and benchmarks."""

import asyncio
import json
from typing import Any
from urllib.parse import urlsplit

import h11

__all__ = ["fetch"]

_READ_BYTES = 65536


async def fetch(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Make one request on its own connection; return the status and the body.

    Args:
        method: The HTTP method.
        url: An ``http://host:port/target``.
        body: Bytes, or a value that is sent as JSON.
        headers: Further header fields.

    Raises:
        OSError: If the connection fails.
        h11.RemoteProtocolError: If the answer is cut.
    """
    parts = urlsplit(url)
    reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
    http = h11.Connection(h11.CLIENT)
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    data = b"" if body is None else data
    target = parts.path or "/"
    if parts.query:
        target += f"?{parts.query}"
    fields = {
        "host": parts.netloc,
        "content-length": str(len(data)),
        "connection": "close",
        **(headers or {}),
    }
    try:
        head = h11.Request(method=method, target=target, headers=list(fields.items()))
        writer.write(http.send(head))
        if data:
            writer.write(http.send(h11.Data(data=data)))
        writer.write(http.send(h11.EndOfMessage()))
        await writer.drain()
        return await _read_answer(http, reader)
    finally:
        writer.close()


async def _read_answer(
    http: h11.Connection, reader: asyncio.StreamReader
) -> tuple[int, bytes]:
    status = 0
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return status, bytes(body)
        else:
            raise ConnectionAbortedError("the answer was cut")
