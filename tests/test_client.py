"""The HTTP client must never call a request "not begun" that may have begun."""

import asyncio

import pytest

from jasminewharf.exceptions import BackendError, BackendUnreachable
from jasminewharf.services.client import HttpClient


async def serve_once(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
    await reader.read(100)
    writer.close()


def test_loss_of_a_kept_connection_is_not_reported_as_unreachable():
    """The request may have run on the kept connection before the server died."""

    async def scenario():
        server = await asyncio.start_server(serve_once, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        client = HttpClient(address)
        response = await client.open("GET", "/", [], b"", repeatable=True)
        assert await response.read() == b"ok"
        server.close()
        with pytest.raises(BackendError) as caught:
            await client.open("GET", "/", [], b"", repeatable=True)
        assert not isinstance(caught.value, BackendUnreachable)
        with pytest.raises(BackendUnreachable):
            await client.open("GET", "/", [], b"", repeatable=True)

    asyncio.run(scenario())


def test_body_that_ends_early_is_an_error():
    async def short(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok")
        writer.close()

    async def scenario():
        server = await asyncio.start_server(short, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        response = await HttpClient(address).open("GET", "/", [], b"")
        with pytest.raises(BackendError):
            await response.read()
        server.close()

    asyncio.run(scenario())
