"""No change of the configuration or of the settings ends a whole request."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from jasminewharf.exceptions import StreamInterrupted
from jasminewharf.interfaces.http import HttpServer
from jasminewharf.interfaces.local import LocalOptions, open_local_system
from jasminewharf.interfaces.orders import Claim, OrderRelay
from jasminewharf.interfaces.refusals import render_refusal
from jasminewharf.settings import LimitSettings
from support import call

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
LONG_S = 5.0
SHORT_S = 0.3
WIDE = LimitSettings(idle_timeout_s=LONG_S)
LARGE = b"a" * 12_000_000


async def open_server(handle, limits=WIDE):
    """Return a server, and reader and writer of a connection to it."""
    server = HttpServer(handle, render_refusal, limits)
    ip, port = (await server.listen("127.0.0.1", 0)).split(":")
    streams = await asyncio.open_connection(ip, int(port), limit=10_000)
    return server, *streams


async def read_answer(reader):
    """Return head and body of an answer with a length."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), LONG_S)
    fields = dict(
        line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:] if line
    )
    return head, await reader.readexactly(int(fields[b"content-length"]))


def test_lowered_idle_limit_does_not_cut_an_answer_that_is_being_read():
    """A caller that paused for less than the former limit lost the rest."""

    async def handle(request, responder):
        responder.respond(200, [("connection", "close")], LARGE)

    async def scenario():
        server, reader, writer = await open_server(handle)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        server.limits = WIDE._replace(idle_timeout_s=SHORT_S)
        await asyncio.sleep(LONG_S / 2)
        received = bytearray()
        while piece := await reader.read(1_000_000):
            received += piece
        assert len(received) == len(LARGE)
        writer.close()
        await server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("is_close_delimited", [False, True])
@pytest.mark.parametrize(
    "field",
    [("x-note", "a\nb"), ("x note", "a"), ("content-length", "ten")],
    ids=["value", "name", "length"],
)
def test_answer_whose_head_cannot_be_sent_is_refused(field, is_close_delimited):
    """Its caller got a close without a byte of an answer."""

    async def handle(request, responder):
        if request.target == "/bad":
            responder.start(200, [field], is_close_delimited=is_close_delimited)
            await responder.write(b"whole")
            responder.finish()
        else:
            responder.respond(200, [], b"whole")

    async def scenario():
        server, reader, writer = await open_server(handle)
        writer.write(REQUEST.replace(b"/ ", b"/bad ", 1) + REQUEST)
        head, _ = await read_answer(reader)
        assert head.startswith(b"HTTP/1.1 502 ")
        head, body = await read_answer(reader)
        assert (head[:13], body) == (b"HTTP/1.1 200 ", b"whole")
        writer.close()
        await server.close()

    asyncio.run(scenario())


async def fail(*arguments):
    raise ValueError("planted")


def test_order_whose_work_fails_in_the_entry_is_refused(monkeypatch):
    """Its caller waited for ever, and so did a resend up to its deadline."""

    async def main():
        async with open_local_system(LocalOptions(port=0)) as system:
            entry = next(k for k in system._kernels if k.has("callers"))
            monkeypatch.setattr(entry.find("router"), "call", fail)
            field = [("idempotency-key", "order-1")]
            seen = []
            for _ in range(2):
                asking = call(
                    system.address,
                    "POST",
                    "/services/orders/orders",
                    system.key,
                    {"a": 1},
                    field,
                )
                status, _, content = await asyncio.wait_for(asking, LONG_S)
                error = json.loads(content)["error"]
                seen.append((status, error["type"], error["not_run"]))
            assert seen == [
                (500, "internal_error", False),
                (409, "outcome_unknown", False),
            ]

    asyncio.run(main())


class OneChunk:
    """The answer to an order, of which a chunk arrives."""

    status = 200
    headers = ()
    tokens = -1

    async def chunks(self):
        yield b"half"


def test_answer_to_an_order_that_is_not_recorded_ends_as_broken():
    """Its caller waited for ever for the end of the body."""

    async def scenario():
        claims = SimpleNamespace(record=fail)
        relay = OrderRelay(claims, Claim("guild", "order-1", "", "id-1"), OneChunk())
        running = asyncio.create_task(relay.run())
        received = []

        async def read():
            async for chunk in relay.chunks():
                received.append(chunk)

        with pytest.raises(StreamInterrupted):
            await asyncio.wait_for(read(), LONG_S)
        assert received == [b"half"]
        with pytest.raises(ValueError, match="planted"):
            await running

    asyncio.run(scenario())
