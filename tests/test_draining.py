"""A planned stop answers the requests that have reached the machine."""

import asyncio
import socket
import time

import pytest

from jasminewharf.interfaces.http import HttpServer
from jasminewharf.interfaces.refusals import render_refusal
from jasminewharf.settings import LimitSettings
from support import wait_until

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
ANSWER_S = 0.05


async def answer(request, responder):
    responder.start(200, [("content-length", "2")])
    await asyncio.sleep(ANSWER_S)
    await responder.write(b"ok")
    responder.finish()


async def read_all(link):
    """Return what still comes on a blocking socket, without blocking the loop."""
    link.settimeout(5)

    def read():
        received = b""
        try:
            while data := link.recv(1000):
                received += data
        except OSError:
            received += b"reset"
        return received

    return await asyncio.to_thread(read)


async def drain_while(prepare, proceed):
    """Drain a server beside a caller; return what the caller receives meanwhile.

    The loop does not run between ``prepare`` and the begin of the drain.
    """
    server = HttpServer(answer, render_refusal, LimitSettings())
    ip, port = (await server.listen("127.0.0.1", 0)).split(":")
    with socket.socket() as link:
        link.settimeout(5)
        await prepare(link, (ip, int(port)))
        draining = asyncio.create_task(server.drain(2.0))
        # The caller's side never waits, so that it acts inside one turn of the loop.
        proceed(link, (ip, int(port)))
        reading = asyncio.create_task(read_all(link))
        await draining
        await server.close()
        return await reading


async def open_idle(link, address):
    link.connect(address)
    link.sendall(REQUEST)
    await asyncio.sleep(ANSWER_S * 3)
    assert link.recv(1000).endswith(b"ok")


async def open_fresh(link, address):
    link.connect(address)
    await asyncio.sleep(0.02)


async def open_with_part_of_a_head(link, address):
    link.connect(address)
    link.sendall(REQUEST[:20])
    await asyncio.sleep(0.02)


async def open_busy(link, address):
    link.connect(address)
    link.sendall(REQUEST * 2)
    await asyncio.sleep(0.02)


async def open_later(link, address):
    pass


def connect_and_send(link, address):
    link.connect(address)
    link.sendall(REQUEST)


@pytest.mark.parametrize(
    ("prepare", "proceed", "answers"),
    [
        (open_idle, lambda link, _: link.sendall(REQUEST), 1),
        (open_with_part_of_a_head, lambda link, _: link.sendall(REQUEST[20:]), 1),
        (open_later, connect_and_send, 1),
        (open_busy, lambda link, _: None, 2),
        (open_idle, lambda link, _: None, 0),
    ],
    ids=["kept", "part of a head", "not accepted", "sent ahead", "idle"],
)
def test_request_that_has_arrived_is_answered(prepare, proceed, answers):
    """Requests were cut off without an answer by a planned stop."""
    received = asyncio.run(drain_while(prepare, proceed))
    assert received.count(b"HTTP/1.1 200") == answers
    assert b"reset" not in received


def test_request_on_a_connection_just_accepted_is_answered():
    """Its caller was about to send when the connection was closed as idle."""

    def send_later(link, address):
        asyncio.get_running_loop().call_later(0.1, link.sendall, REQUEST)

    received = asyncio.run(drain_while(open_fresh, send_later))
    assert received.count(b"HTTP/1.1 200") == 1


def test_connection_without_a_request_does_not_hold_up_the_stop():
    """A caller may keep a connection that it never uses."""

    async def scenario():
        started = asyncio.get_running_loop().time()
        assert await drain_while(open_fresh, lambda link, _: None) == b""
        assert asyncio.get_running_loop().time() - started < 1.5

    asyncio.run(scenario())


@pytest.mark.parametrize("ending", ["idle", "cut"])
def test_caller_that_does_not_read_is_dropped_in_time(ending):
    """Its connection was kept, with the rest of its answer, until it closed."""

    async def handle(request, responder):
        responder.start(200, [])
        write = asyncio.create_task(responder.write(b"a" * 8_000_000))
        await asyncio.sleep(ANSWER_S)
        if ending == "cut":
            responder.cut()
            await write
        else:
            responder.finish()

    async def scenario():
        limits = LimitSettings()._replace(idle_timeout_s=0.2)
        server = HttpServer(handle, render_refusal, limits)
        ip, port = (await server.listen("127.0.0.1", 0)).split(":")
        with socket.socket() as link:
            link.connect((ip, int(port)))
            link.sendall(REQUEST)
            await wait_until(lambda: server.connection_count == 1)
            await wait_until(lambda: server.connection_count == 0, timeout_s=5)
        await server.close()

    asyncio.run(scenario())


def test_caller_that_reads_slowly_gets_its_whole_answer():
    """It must not be dropped as one that does not read."""

    async def handle(request, responder):
        responder.respond(200, [], b"a" * 6_000_000)

    async def scenario():
        limits = LimitSettings()._replace(idle_timeout_s=0.2)
        server = HttpServer(handle, render_refusal, limits)
        ip, port = (await server.listen("127.0.0.1", 0)).split(":")
        reader, writer = await asyncio.open_connection(ip, int(port), limit=10_000)
        writer.write(REQUEST)
        size = 0
        while data := await reader.read(100_000):
            size += len(data)
            await asyncio.sleep(0.01)
        assert size > 6_000_000
        writer.close()
        await server.close()

    asyncio.run(scenario())


def test_connections_that_arrive_while_the_listener_closes_are_answered():
    """They were reset with the listening socket, or before they had a transport."""

    async def scenario():
        loop = asyncio.get_running_loop()
        server = HttpServer(answer, render_refusal, LimitSettings())
        ip, port = (await server.listen("127.0.0.1", 0)).split(":")
        links = []

        def connect_each_turn(left):
            links.append(socket.create_connection((ip, int(port)), 5))
            links[-1].sendall(REQUEST)
            if left:
                loop.call_soon(connect_each_turn, left - 1)

        draining = asyncio.create_task(server.drain(2.0))
        connect_each_turn(20)
        await draining
        await server.close()
        for link in links:
            assert (await read_all(link)).startswith(b"HTTP/1.1 200")
            link.close()

    asyncio.run(scenario())


def test_answer_survives_what_the_caller_sends_behind_its_last_request():
    """The close of a connection with unread bytes reset it, and the answer was lost."""

    async def scenario():
        server = HttpServer(answer, render_refusal, LimitSettings())
        ip, port = (await server.listen("127.0.0.1", 0)).split(":")

        def call():
            with socket.create_connection((ip, int(port)), 5) as link:
                head = REQUEST.replace(b"host", b"connection: close\r\nhost")
                link.sendall(head + b"x" * 1_500_000)
                time.sleep(ANSWER_S * 4)
                received = b""
                while data := link.recv(1000):
                    received += data
                return received

        assert (await asyncio.to_thread(call)).endswith(b"ok")
        await server.close()

    asyncio.run(scenario())
