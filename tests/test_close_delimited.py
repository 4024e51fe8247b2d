"""Answers of backend servers whose end only the close of the connection tells."""

import asyncio
import signal
import sys
from typing import NamedTuple

import pytest

from fleets import open_fleet
from hostile import LoopThread
from jasminewharf.decisions.health import OutlierDetector
from jasminewharf.fakes import FakePlainService
from jasminewharf.interfaces.http import HttpServer
from jasminewharf.interfaces.local import LocalOptions, open_local_system
from jasminewharf.interfaces.refusals import render_refusal
from jasminewharf.settings import LimitSettings
from platformfakes import answer_raw, stream_body

ALL = stream_body()
FIRST = ALL[: ALL.index(b"id: 4")]
EVENTS = b"HTTP/1.1 200 OK\r\n%scontent-type: text/event-stream\r\n\r\n"
UNTYPED = b"HTTP/1.1 200 OK\r\n%s\r\n"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\n%scontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


class Received(NamedTuple):
    """What a caller read; ``is_reset`` tells how its connection ended."""

    head: bytes
    body: bytes
    is_reset: bool

    @property
    def states_end(self):
        """Whether the head says where the body ends."""
        head = self.head.lower()
        return b"content-length:" in head or b"transfer-encoding:" in head

    @property
    def is_whole(self):
        """Whether a caller takes it for a whole answer, the close being its end."""
        if b"transfer-encoding:" in self.head.lower():
            return self.body.endswith(b"0\r\n\r\n")
        return not self.is_reset


async def ask(address, target, headers, version="1.1"):
    """Send a request as a plain socket does and read until the connection ends."""
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    head = f"POST {target} HTTP/{version}\r\ncontent-length: 2\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    writer.write(head.encode() + b"\r\n{}")
    data, is_reset = b"", False
    try:
        async with asyncio.timeout(8):
            while piece := await reader.read(65_536):
                data += piece
    except ConnectionResetError:
        is_reset = True
    finally:
        writer.close()
    head, _, body = data.partition(b"\r\n\r\n")
    return Received(head, body, is_reset)


async def ask_fleet(fleet, target, version="1.1"):
    fields = [
        ("host", "a.example"),
        ("api-key", "key-1"),
        ("x-deadline-ms", "4000"),
        ("x-attempt-id", "id-1"),
        ("x-model", "m0"),
        ("x-token-counts", "100,20"),
        # The connection ends after any answer.
        ("connection", "close"),
    ]
    return await ask(fleet.entries[0], target, fields, version)


class SharedFleet:
    """A fleet that all tests of the file use; each begins without earlier failures."""

    def __init__(self, folder):
        self._thread = LoopThread()
        self._manager = open_fleet(folder)
        self._fleet = self._thread.run(self._manager.__aenter__())

    def ask(self, faults, target, version="1.1"):
        """Have the next servers answer with ``faults`` in this order; ask once."""
        return self._thread.run(self._ask(list(faults), target, version))

    async def _ask(self, faults, target, version):
        for server in (*self._fleet.engines, *self._fleet.desks):
            server.fails_next = faults
        for kernel in self._fleet.entry_kernels:
            kernel.find("server-chooser")._health = OutlierDetector()
            kernel.find("retry-budgets")._budgets.clear()
            for server in kernel.find("directory").directory.servers.values():
                server.avoided_until = float("-inf")
        received = await ask_fleet(self._fleet, target, version)
        assert not faults
        return received

    def close(self):
        self._thread.run(self._manager.__aexit__(None, None, None))
        self._thread.close()


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    fleet = SharedFleet(tmp_path_factory.mktemp("fleet"))
    yield fleet
    fleet.close()


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("body", [FIRST, ALL], ids=["cut between events", "whole"])
@pytest.mark.parametrize("target", ["/chat/x", "/plan/x"])
def test_stream_without_a_stated_end_gets_none(shared, target, body, version):
    """A stream that a crash ended between two events got a last chunk."""
    received = shared.ask([answer_raw(EVENTS, body)], target, version)
    assert not received.states_end
    assert received.body == body
    assert not received.is_reset


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("target", ["/orders/1", "/status/1", "/plan/x"])
def test_body_without_a_stated_end_gets_none(shared, target, version):
    """A body that a crash cut short got a length made from what had come."""
    head = b"HTTP/1.1 200 OK\r\n%scontent-type: application/json\r\n\r\n"
    received = shared.ask([answer_raw(head, b'{"short"')], target, version)
    assert not received.states_end
    assert received.body == b'{"short"'
    assert not received.is_reset


@pytest.mark.parametrize("head", [EVENTS, UNTYPED], ids=["typed", "untyped"])
@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_stream_that_ends_inside_an_event_is_reset(shared, head, ending, version):
    """Without a length or chunks a plain close would pass for the stream's end."""
    fault = answer_raw(head, FIRST, b"id: 4\nda", end=ending)
    received = shared.ask([fault], "/plan/x", version)
    assert not received.is_whole


def test_reset_of_a_stream_without_a_stated_end_is_passed_on(shared):
    """What the server cut with a reset must not end with a plain close."""
    received = shared.ask([answer_raw(EVENTS, FIRST, end="reset")], "/plan/x")
    assert not received.is_whole


def test_rest_without_a_stated_end_does_not_complete_a_stream_in_chunks(shared):
    """The head had promised chunks; the rest of another server states no end."""
    half = b"%x\r\n%s\r\n" % (len(FIRST), FIRST)
    rest = ALL[len(FIRST) :]
    faults = [answer_raw(CHUNKED, half, b"5\r\nid"), answer_raw(EVENTS, rest)]
    received = shared.ask(faults, "/chat/x")
    assert not received.is_whole


def test_stated_end_of_a_rest_completes_a_stream_without_one(shared):
    """The first server broke off inside an event, and the next stated the end."""
    rest = ALL[len(FIRST) :]
    chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(rest), rest)
    faults = [answer_raw(EVENTS, FIRST, b"id: 4"), answer_raw(CHUNKED, chunks)]
    received = shared.ask(faults, "/chat/x")
    assert not received.states_end
    assert received.body == ALL
    assert not received.is_reset


@pytest.mark.parametrize("order", ["", "order-1"], ids=["call", "order"])
def test_answer_that_an_agent_passes_on_keeps_its_framing(monkeypatch, order):
    """In a fleet with documents the entry made chunks of what the agent had read."""

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        is_load = head.startswith(b"GET /load")
        if not is_load:
            await reader.readexactly(2)
        body = b'{"running": 0}' if is_load else b"short"
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n" + body)
        await writer.drain()
        writer.close()

    monkeypatch.setattr(FakePlainService, "_serve", serve)

    async def scenario():
        async with open_local_system(LocalOptions(port=0)) as system:
            fields = [("host", "x"), ("authorization", f"Bearer {system.key}")]
            fields.append(("connection", "close"))
            if order:
                fields.append(("idempotency-key", order))
            target = "/services/orders/orders"
            first = await ask(system.address, target, fields)
            again = await ask(system.address, target, fields)
            return (first, again) if order else (first,)

    for received in asyncio.run(scenario()):
        assert b" 200 " in received.head.splitlines()[0] + b" "
        assert not received.states_end
        assert received.body == b"short"


# Answers without an end, and prints its address first.
_SERVER = """
import asyncio
from jasminewharf.interfaces.http import HttpServer
from jasminewharf.interfaces.refusals import render_refusal
from jasminewharf.settings import LimitSettings

async def handle(request, responder):
    responder.start(200, [], is_close_delimited=True)
    await responder.write(b"begun")
    await asyncio.sleep(30)

async def main():
    server = HttpServer(handle, render_refusal, LimitSettings())
    print(await server.listen("127.0.0.1", 0), flush=True)
    await asyncio.sleep(30)

asyncio.run(main())
"""


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_answer_without_a_stated_end_is_reset_when_its_entry_is_killed(version):
    """The kernel closed the connection, which to the caller ended a whole answer."""

    async def scenario():
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", _SERVER, stdout=asyncio.subprocess.PIPE
        )
        try:
            address = (await process.stdout.readline()).decode().strip()
            asking = asyncio.create_task(ask(address, "/", [("host", "x")], version))
            await asyncio.sleep(0.3)
            process.send_signal(signal.SIGKILL)
            received = await asking
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
        assert received.body == b"begun"
        assert received.is_reset

    asyncio.run(scenario())


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_answer_whose_rest_is_dropped_when_its_entry_stops_is_reset(version):
    """The close after a part of a large answer was in order, as after a whole one."""
    body = b"x" * 16 * 1024 * 1024

    async def handle(request, responder):
        responder.respond(200, [], body, is_close_delimited=True)

    async def scenario():
        server = HttpServer(handle, render_refusal, LimitSettings())
        ip, port = (await server.listen("127.0.0.1", 0)).split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(f"GET / HTTP/{version}\r\nhost: x\r\n\r\n".encode())
        assert await reader.read(1)
        await server.drain(0.3)
        await server.close()
        with pytest.raises(ConnectionResetError):
            while await reader.read(1_048_576):
                pass
        writer.close()

    asyncio.run(scenario())
