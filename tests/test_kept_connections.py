"""Kept connections follow the limits in force, and lose no request to a change."""

import asyncio
import socket
import time

import pytest

from fleets import HOST, KEY, build_body, run_with_fleet
from jasminewharf.interfaces.http import HttpServer
from jasminewharf.interfaces.refusals import render_refusal
from jasminewharf.interfaces.roles import build_kernel
from jasminewharf.settings import LimitSettings
from platformfakes import send
from support import wait_until

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
ANSWER_S = 0.1
LONG_S = 5.0
SHORT_S = 0.3
# Between the two limits, with room for a busy machine.
PAUSE_S = 0.8
WIDE = LimitSettings(
    head_bytes=16_384,
    body_bytes=16_384,
    head_timeout_s=LONG_S,
    body_timeout_s=LONG_S,
    idle_timeout_s=LONG_S,
)
SIZE = 3_000
CHUNKED = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"


def chunk(size):
    return b"%x\r\n" % size + b"a" * size + b"\r\n"


# A request in three parts that is beyond the narrow limit and within the wide one.
HEAD_PARTS = (
    b"POST / HTTP/1.1\r\nhost: x\r\nx-padding: ",
    b"a" * SIZE,
    b"\r\ncontent-length: 2\r\n\r\nhi",
)
LENGTH_PARTS = (
    b"POST / HTTP/1.1\r\nhost: x\r\n",
    b"content-length: %d\r\n\r\n" % SIZE + b"a" * 500,
    b"a" * (SIZE - 500),
)
CHUNK_PARTS = (CHUNKED + chunk(500), chunk(SIZE), chunk(500) + b"0\r\n\r\n")
CASES = {
    "head time": ({"head_timeout_s": SHORT_S}, HEAD_PARTS, PAUSE_S, b"408"),
    "body time": ({"body_timeout_s": SHORT_S}, CHUNK_PARTS, PAUSE_S, b"408"),
    "head size": ({"head_bytes": 1_024}, HEAD_PARTS, 0.05, b"431"),
    "body size": ({"body_bytes": 1_024}, LENGTH_PARTS, 0.05, b"413"),
    "chunked body size": ({"body_bytes": 1_024}, CHUNK_PARTS, 0.05, b"413"),
}


def build_limits(**changes):
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 65_536,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    }
    return {**limits, **changes}


class KeptConnection:
    """A server whose limits change, and one connection to it."""

    def __init__(self, limits):
        self.server = HttpServer(self._answer, render_refusal, limits)
        self.seen = 0

    async def _answer(self, request, responder):
        self.seen += 1
        await asyncio.sleep(ANSWER_S)
        responder.respond(200, [], b"ok")

    async def __aenter__(self):
        ip, port = (await self.server.listen("127.0.0.1", 0)).split(":")
        self._reader, self._writer = await asyncio.open_connection(ip, int(port))
        return self

    async def __aexit__(self, *error):
        self._writer.close()
        await self.server.close()

    def send(self, data):
        self._writer.write(data)

    async def read_status(self):
        """Return the status of the next answer; empty if the connection ends first."""
        try:
            head = await asyncio.wait_for(self._reader.readuntil(b"\r\n\r\n"), 8)
            fields = head.lower().split(b"\r\n")
            length = next(f for f in fields if f.startswith(b"content-length:"))
            await self._reader.readexactly(int(length.partition(b":")[2]))
        except (asyncio.IncompleteReadError, ConnectionResetError):
            return b""
        return head.split(b" ")[1]

    async def call(self):
        self.send(REQUEST)
        return await self.read_status()

    async def measure_idle(self):
        """Return after how many seconds the server closes the connection."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        assert await asyncio.wait_for(self._reader.read(), 8) == b""
        return loop.time() - started


async def send_around_a_change(moment, before, after, parts, pauses_s):
    """Return the status of a request sent beside a change at ``moment``."""
    async with KeptConnection(before) as kept:
        assert await kept.call() == b"200"
        if moment == "in flight":
            kept.send(REQUEST)
            await wait_until(lambda: kept.seen == 2)
            kept.server.limits = after
            assert await kept.read_status() == b"200"
        if moment == "idle":
            kept.server.limits = after
        # A refusal may come before the last part.
        reading = asyncio.create_task(kept.read_status())
        for part, pause_s in zip(parts, (*pauses_s, 0), strict=True):
            kept.send(part)
            await asyncio.sleep(pause_s)
            if moment == "arriving":
                kept.server.limits = after
        return await reading


@pytest.mark.parametrize("moment", ["idle", "in flight", "arriving"])
@pytest.mark.parametrize("case", CASES)
def test_raised_limit_holds_on_kept_connections(case, moment):
    """Requests within the limits in force were refused by those of the connect."""
    change, parts, pause_s, _ = CASES[case]
    first_s = 0.05 if moment == "arriving" else pause_s
    narrow = WIDE._replace(**change)
    status = asyncio.run(
        send_around_a_change(moment, narrow, WIDE, parts, (first_s, pause_s))
    )
    assert status == b"200"


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize(
    ("moment", "is_answered"),
    [("idle", False), ("in flight", False), ("arriving", True)],
)
def test_lowered_limit_holds_for_requests_that_begin_after_it(
    case, moment, is_answered
):
    """Kept connections were never bound by it; what has begun must not be lost."""
    change, parts, pause_s, refusal = CASES[case]
    narrow = WIDE._replace(**change)
    status = asyncio.run(
        send_around_a_change(moment, WIDE, narrow, parts, (pause_s, pause_s))
    )
    assert status == (b"200" if is_answered else refusal)


@pytest.mark.parametrize("moment", ["idle", "in flight"])
def test_caller_may_reuse_a_connection_up_to_a_raised_limit(moment):
    """It was closed after the former limit without a byte of an answer."""

    async def scenario():
        narrow = WIDE._replace(idle_timeout_s=SHORT_S)
        async with KeptConnection(narrow) as kept:
            kept.send(REQUEST)
            await wait_until(lambda: kept.seen == 1)
            if moment == "in flight":
                kept.server.limits = WIDE
            assert await kept.read_status() == b"200"
            kept.server.limits = WIDE
            await asyncio.sleep(PAUSE_S)
            assert await kept.call() == b"200"

    asyncio.run(scenario())


def test_connection_is_closed_after_a_raised_limit():
    """A timer that is set again must still end the connection."""

    async def scenario():
        async with KeptConnection(WIDE._replace(idle_timeout_s=SHORT_S)) as kept:
            assert await kept.call() == b"200"
            kept.server.limits = WIDE._replace(idle_timeout_s=PAUSE_S)
            assert PAUSE_S * 0.9 < await kept.measure_idle() < LONG_S

    asyncio.run(scenario())


def test_lowered_idle_limit_binds_from_the_next_answer_on():
    """A caller may count on the former one until then; later it must be bound."""

    async def scenario():
        async with KeptConnection(WIDE) as kept:
            assert await kept.call() == b"200"
            kept.server.limits = WIDE._replace(idle_timeout_s=SHORT_S)
            await asyncio.sleep(PAUSE_S)
            assert await kept.call() == b"200"
            assert await kept.measure_idle() < LONG_S / 2

    asyncio.run(scenario())


def test_idle_limit_that_is_lowered_in_flight_binds_after_the_answer():
    """Connections stayed open for the limit of the moment at which they were made."""

    async def scenario():
        async with KeptConnection(WIDE) as kept:
            kept.send(REQUEST)
            await wait_until(lambda: kept.seen == 1)
            kept.server.limits = WIDE._replace(idle_timeout_s=SHORT_S)
            assert await kept.read_status() == b"200"
            assert await kept.measure_idle() < LONG_S / 2

    asyncio.run(scenario())


def test_request_sent_ahead_is_judged_by_the_limits_of_its_first_byte():
    """It waits behind another request while a limit is lowered."""

    async def scenario():
        async with KeptConnection(WIDE) as kept:
            kept.send(REQUEST)
            await wait_until(lambda: kept.seen == 1)
            kept.send(b"".join(LENGTH_PARTS))
            await asyncio.sleep(ANSWER_S / 2)
            kept.server.limits = WIDE._replace(body_bytes=1_024)
            assert await kept.read_status() == b"200"
            assert await kept.read_status() == b"200"
            kept.send(b"".join(LENGTH_PARTS))
            assert await kept.read_status() == b"413"

    asyncio.run(scenario())


def test_caller_that_does_not_read_is_kept_up_to_a_raised_limit():
    """It was dropped after the former limit, with the rest of its answer."""

    async def handle(request, responder):
        responder.respond(200, [("connection", "close")], b"a" * 8_000_000)

    async def scenario():
        narrow = WIDE._replace(idle_timeout_s=SHORT_S)
        server = HttpServer(handle, render_refusal, narrow)
        ip, port = (await server.listen("127.0.0.1", 0)).split(":")
        reader, writer = await asyncio.open_connection(ip, int(port), limit=10_000)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        server.limits = WIDE
        await asyncio.sleep(PAUSE_S)
        assert len(await reader.read()) == 8_000_000
        writer.close()
        await server.close()

    asyncio.run(scenario())


def test_entry_keeps_connections_by_the_configuration_in_force(tmp_path):
    """After a raise of the idle limit a whole request was closed unanswered."""
    request = b"GET /status/1 HTTP/1.1\r\n" + b"".join(
        name.encode() + b": " + value.encode() + b"\r\n"
        for name, value in (HOST, KEY, ("x-attempt-id", "id-%d"))
    )

    async def scenario(fleet):
        view = fleet.entry_kernels[0].find("view")
        await fleet.submit(build_body(2, limits=build_limits(idleTimeoutMs=1_000)))
        await wait_until(lambda: view.table.version == 2)
        ip, port = fleet.entries[0].split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        kept = KeptConnection(WIDE)
        kept._reader, kept._writer = reader, writer
        kept.send(request % 1 + b"\r\n")
        assert await kept.read_status() == b"200"
        await fleet.submit(build_body(3, limits=build_limits(idleTimeoutMs=15_000)))
        await wait_until(lambda: view.table.version == 3)
        await asyncio.sleep(1.5)
        kept.send(request % 2 + b"\r\n")
        assert await kept.read_status() == b"200"
        writer.close()

    run_with_fleet(scenario, tmp_path, entries=1)


def hold_up(until, act=lambda: None):
    """Keep the event loop from running until ``until``."""
    act()
    time.sleep(max(until - asyncio.get_running_loop().time(), 0))


@pytest.mark.parametrize("parts", [1, 2])
def test_request_that_arrives_in_the_turn_of_the_idle_timer_is_answered(parts):
    """The loop had not read it, and the close reset the connection."""

    async def scenario():
        loop = asyncio.get_running_loop()
        size = len(REQUEST) // parts
        async with KeptConnection(WIDE._replace(idle_timeout_s=SHORT_S)) as kept:
            assert await kept.call() == b"200"
            link = kept._writer.get_extra_info("socket").dup()
            due = loop.time() + SHORT_S
            # When the loop runs again, the second call is due as well as the timer.
            loop.call_at(due - 0.06, hold_up, due + 0.05)
            loop.call_at(
                due - 0.05, hold_up, due + 0.1, lambda: link.send(REQUEST[:size])
            )
            await asyncio.sleep(SHORT_S + 0.2)
            kept.send(REQUEST[size:])
            assert await kept.read_status() == b"200"
            link.close()

    asyncio.run(scenario())


async def ask_with_long_head(address):
    """Return the status of a request whose head is longer than a narrow limit."""
    head = [HOST, KEY, ("x-attempt-id", "id-1"), ("x-padding", "a" * SIZE)]
    status, _, _ = await send(address, "GET", "/status/1", head)
    return status


def test_configuration_without_limits_ends_those_of_the_one_before(tmp_path):
    """An entry kept them until its next start, and others had those of its settings."""

    async def scenario(fleet):
        view = fleet.entry_kernels[0].find("view")
        narrow = build_limits(maxHeaderBytes=1_024)
        await fleet.submit(build_body(2, limits=narrow))
        await wait_until(lambda: view.table.version == 2)
        assert await ask_with_long_head(fleet.entries[0]) == 431
        await fleet.submit(build_body(3, limits=None))
        await wait_until(lambda: view.table.version == 3)
        assert await ask_with_long_head(fleet.entries[0]) == 200

    run_with_fleet(scenario, tmp_path, entries=1)


def test_configuration_that_comes_while_the_entry_waits_for_its_address(tmp_path):
    """The entry served with the limits of its settings until the next change."""

    async def scenario(fleet):
        narrow = build_limits(maxHeaderBytes=1_024)
        await fleet.submit(build_body(2, limits=narrow))
        ip = "127.0.0.20"
        entry = f"{ip}:{fleet.base + 9}"
        ready = f"{ip}:{fleet.base + 7}"
        kernel = build_kernel(fleet.settings(ip, "entry", ready_listen=ready))
        fleet.kernels.append(kernel)
        with socket.socket() as holder:
            holder.bind((ip, fleet.base + 9))
            holder.listen()
            starting = asyncio.create_task(kernel.start())
            view = kernel.find("view")
            await wait_until(lambda: view.table is not None)
            assert not starting.done()
        await starting
        await wait_until(kernel.find("gateway").is_ready)
        assert await ask_with_long_head(entry) == 431

    run_with_fleet(scenario, tmp_path, entries=1)


def test_head_that_began_behind_a_request_has_the_time_of_a_head():
    """Its rest was awaited for the idle time, and it was refused as late."""

    async def scenario():
        limits = WIDE._replace(idle_timeout_s=SHORT_S)
        async with KeptConnection(limits) as kept:
            kept.send(REQUEST + REQUEST[:20])
            assert await kept.read_status() == b"200"
            await asyncio.sleep(PAUSE_S)
            kept.send(REQUEST[20:])
            assert await kept.read_status() == b"200"

    asyncio.run(scenario())


def test_head_that_began_behind_a_request_is_refused_in_time():
    """A slow head was held for the idle time, which may be far longer."""

    async def scenario():
        limits = WIDE._replace(head_timeout_s=SHORT_S)
        async with KeptConnection(limits) as kept:
            kept.send(REQUEST + REQUEST[:20])
            assert await kept.read_status() == b"200"
            started = asyncio.get_running_loop().time()
            assert await kept.read_status() == b"408"
            assert asyncio.get_running_loop().time() - started < LONG_S / 2

    asyncio.run(scenario())
