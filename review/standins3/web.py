"""A small HTTP/1.1 reader and writer on asyncio streams."""

import asyncio
from typing import NamedTuple

__all__ = ["Message", "Refused", "exchange", "read_message", "render"]

_LIMIT = 1 << 22


class Refused(Exception):
    """A connection ended before a whole message was read."""


class Message(NamedTuple):
    """The first line, the headers and the body of a request or an answer."""

    first: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    """Return the first line's words and the headers, names in lower case."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Refused(str(error)) from error
    first, *lines = text.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first.split(" ", 2), headers


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return one chunk of a body; empty at its end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Refused(str(error)) from error
    return data[:-2]


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, is_answer: bool
) -> bytes:
    """Return a whole body."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    try:
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read(-1) if is_answer else b""
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Refused(str(error)) from error


async def read_message(
    reader: asyncio.StreamReader, *, is_answer: bool = False
) -> Message:
    """Return a whole request or answer.

    Raises:
        Refused: If the connection ends before.
    """
    first, headers = await read_head(reader)
    body = await read_body(reader, headers, is_answer=is_answer)
    return Message(first, headers, body)


def render(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def exchange(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message:
    """Send one request on a connection of its own and return the whole answer.

    Raises:
        Refused: If no whole answer comes in time.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=_LIMIT
            )
            named = {"Host": address, "Connection": "close", **(headers or {})}
            writer.write(render(f"{method} {path} HTTP/1.1", named, body))
            return await read_message(reader, is_answer=True)
    except (OSError, TimeoutError) as error:
        raise Refused(repr(error)) from error
    finally:
        if writer is not None:
            writer.close()
