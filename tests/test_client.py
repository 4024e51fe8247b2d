"""The HTTP client must never call a request "not begun" that may have begun."""

import asyncio
import contextlib
import socket
import time

import pytest

from jasminewharf import defaults
from jasminewharf.events import ANSWER_UNMATCHED
from jasminewharf.exceptions import BackendError, BackendUnreachable
from jasminewharf.metrics import Metrics
from jasminewharf.services.client import HttpClient, RequestIdentity
from platformfakes import reset
from support import wait_until


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


def open_server(handle):
    return asyncio.start_server(handle, "127.0.0.1", 0)


def address_of(server):
    return "{}:{}".format(*server.sockets[0].getsockname())


def test_bytes_after_a_whole_answer_end_the_connection():
    """They belong to no request; the next one would take them for its answer."""
    heads = []

    async def handle(reader, writer):
        while head := await reader.readuntil(b"\r\n\r\n"):
            heads.append((head, writer))
            answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
            writer.write(answer + (answer if len(heads) == 1 else b""))

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        for _ in range(2):
            status, body = await client.fetch("GET", "/")
            assert (status, body) == (200, b"ok")
        assert heads[0][1] is not heads[1][1]
        assert client.connections_opened == 2
        client.close()
        server.close()

    asyncio.run(scenario())


def test_late_bytes_on_a_kept_connection_end_it():
    """An extra answer may come while the connection is idle."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        writer.write(answer)
        await asyncio.sleep(0.02)
        writer.write(answer)

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        await client.fetch("GET", "/")
        await asyncio.sleep(0.06)
        await client.fetch("GET", "/")
        assert client.connections_opened == 2
        client.close()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(("pause_s", "told"), [(0.0, "trailing"), (0.02, "idle")])
def test_answer_of_no_request_is_logged_and_counted(caplog, pause_s, told):
    """Nothing told which server writes an answer once more."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        writer.write(answer if pause_s else answer * 2)
        await asyncio.sleep(pause_s)
        writer.write(answer if pause_s else b"")

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        client.metrics = Metrics()
        await client.fetch("GET", "/")
        await asyncio.sleep(0.06)
        assert client.metrics.counter_value("foreign_answers_total", told=told) == 1
        lines = [r.fields for r in caplog.records if r.event is ANSWER_UNMATCHED]
        assert [(f["server"], f["status"], f["told"]) for f in lines] == [
            (client.address, 200, told)
        ]
        server.close()

    asyncio.run(scenario())


def identify(request_id):
    return RequestIdentity(request_id, lambda headers: dict(headers).get("x-id", ""))


async def post(client, request_id, kept_idle_s=5.0):
    """Send a request that may not be repeated; return status and body."""
    response = await client.open(
        "POST",
        "/",
        [("x-id", request_id)],
        b"",
        kept_idle_s=kept_idle_s,
        identity=identify(request_id),
    )
    return response.status, await response.read()


def render(request_id, body=b"ok", status=200):
    named = b"x-id: %b\r\n" % request_id.encode() if request_id else b""
    head = b"HTTP/1.1 %d X\r\n%bcontent-length: %d\r\n\r\n"
    return head % (status, named, len(body)) + body


async def read_id(reader):
    """Return the identifier of the next request, which has no body."""
    head = await reader.readuntil(b"\r\n\r\n")
    return head.partition(b"x-id: ")[2].partition(b"\r")[0].decode()


def test_request_that_may_not_repeat_avoids_an_old_connection():
    """The server may have closed it; nobody would know whether the request ran."""

    async def handle(reader, writer):
        while request_id := await read_id(reader):
            writer.write(render(request_id))

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        await post(client, "1")
        await post(client, "2")
        assert client.connections_opened == 1
        await asyncio.sleep(0.05)
        await post(client, "3", kept_idle_s=0.01)
        assert client.connections_opened == 2
        client.close()
        server.close()

    asyncio.run(scenario())


def test_connection_carries_an_identifier_once():
    """An old answer with the identifier would pass for the one to a later send."""

    async def handle(reader, writer):
        while True:
            writer.write(render(await read_id(reader)))

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        for request_id in ("1", "2", "1", "3", "2", ""):
            await post(client, request_id)
        # "1" and "2" are sent twice; a request without one has a connection of its own.
        assert client.connections_opened == 3
        for number in range(defaults.HTTP_CONNECTION_REQUESTS):
            await post(client, f"r{number}")
        assert client.connections_opened <= 4
        for number in range(2 * defaults.HTTP_CONNECTION_REQUESTS):
            await post(client, f"s{number}")
        assert client.connections_opened >= 5
        client.close()
        server.close()

    asyncio.run(scenario())


def test_last_request_of_a_connection_is_repeated_like_others(monkeypatch):
    """A request that may be repeated failed where its connection was to be replaced."""
    monkeypatch.setattr(defaults, "HTTP_CONNECTION_REQUESTS", 2)

    async def handle(reader, writer):
        writer.write(render(await read_id(reader)))
        await read_id(reader)
        writer.close()

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        await post(client, "1")
        response = await client.open(
            "POST",
            "/",
            [("x-id", "2")],
            b"",
            repeatable=True,
            identity=identify("2"),
        )
        assert await response.read() == b"ok"
        assert client.connections_opened == 2
        client.close()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("pause_s, is_allowed", [(0.0, False), (0.6, True)])
def test_break_of_a_kept_connection_is_not_repeated_freely(pause_s, is_allowed):
    """Repeats took nothing from the budget, and late ones bore the first deadline."""
    asked = []

    async def handle(reader, writer):
        writer.write(render(await read_id(reader)))
        await read_id(reader)
        await asyncio.sleep(pause_s)
        writer.close()

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        await post(client, "1")
        with pytest.raises(BackendError):
            await client.open(
                "POST",
                "/",
                [("x-id", "2")],
                b"",
                repeatable=True,
                may_repeat=lambda: bool(asked.append(1)) or is_allowed,
                identity=identify("2"),
            )
        assert client.connections_opened == 1
        assert len(asked) == (not is_allowed)
        client.close()
        server.close()

    asyncio.run(scenario())


EXTRA = {
    "another": render("0", b"old"),
    "unnamed": render("", b"old"),
    "several": render("0", b"", 204) * defaults.HTTP_EXTRA_ANSWERS,
    "chunked": b"HTTP/1.1 503 X\r\nx-id: 0\r\ntransfer-encoding: chunked\r\n\r\n"
    b"3\r\nold\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("kind", EXTRA)
@pytest.mark.parametrize("pause_s", [0.0, 0.02])
def test_answer_of_another_request_is_dropped(kind, pause_s):
    """An order that had run ended in a failure, though its answer followed."""

    async def handle(reader, writer):
        writer.write(render(await read_id(reader)))
        while request_id := await read_id(reader):
            writer.write(EXTRA[kind])
            await asyncio.sleep(pause_s)
            writer.write(render(request_id, b"own"))

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        await post(client, "0")
        assert await post(client, "1") == (200, b"own")
        # What follows on such a connection cannot be foreseen.
        await post(client, "2")
        assert client.connections_opened == 2
        client.close()
        server.close()

    asyncio.run(scenario())


REPEATED = {
    "whole": render("0"),
    "large": render("0", b"x" * 65_536),
    "interim": b"HTTP/1.1 102 X\r\n\r\n",
    "other protocol": b"HTTP/1.1 101 X\r\n\r\n",
    "without a length": render("0").replace(b"content-length: 2", b"x: y"),
    "without an identifier": render(""),
}


@pytest.mark.parametrize("kind", REPEATED)
def test_answers_of_other_requests_are_given_up_in_the_end(kind):
    """They must use up neither memory nor the time of other requests."""

    async def handle(reader, writer):
        writer.write(render(await read_id(reader)))
        await read_id(reader)
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(REPEATED[kind] * 100)
                await writer.drain()
                await asyncio.sleep(0)

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        await post(client, "0")
        with pytest.raises(BackendError) as caught:
            async with asyncio.timeout(20):
                await post(client, "1")
        assert not isinstance(caught.value, BackendUnreachable)
        server.close()

    asyncio.run(scenario())


def test_answer_without_an_identifier_is_not_waited_past_for_long():
    """It may be the only one; the caller must not wait for its whole time."""

    async def handle(reader, writer):
        writer.write(render(await read_id(reader)))
        await read_id(reader)
        writer.write(render("", status=503))
        await asyncio.sleep(30)

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        await post(client, "0")
        with pytest.raises(BackendError):
            async with asyncio.timeout(defaults.HTTP_UNNAMED_WAIT_S + 10):
                await post(client, "1")
        server.close()

    asyncio.run(scenario())


def test_answer_before_the_request_ends_the_connection_unsent():
    """A server may turn a connection away before it has read a request."""
    requests = []

    async def handle(reader, writer):
        writer.write(render("", status=503))
        requests.append(await reader.read(100))

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        wire = await client._connect()
        await asyncio.sleep(0.02)
        assert not wire.is_open
        client._connect = lambda: asyncio.sleep(0, wire)
        with pytest.raises(BackendUnreachable):
            await post(client, "1")
        assert requests == [b""]
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("is_own", [True, False])
def test_answer_before_the_whole_request_does_not_change_its_rest(is_own):
    """The server reads on, and would take what follows for the rest of the body."""
    body = b"x" * 8_000_000
    bodies = []

    async def handle(reader, writer):
        writer.write(render(await read_id(reader)))
        request_id = await read_id(reader)
        writer.write(render(request_id if is_own else "0", b"early"))
        await asyncio.sleep(0.05)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            bodies.append(await reader.readexactly(len(body)))
            writer.write(render(request_id, b"own"))
        bodies.append(b"")

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        await post(client, "0")
        response = await client.open(
            "POST", "/", [("x-id", "1")], body, kept_idle_s=5.0, identity=identify("1")
        )
        assert await response.read() == (b"early" if is_own else b"own")
        await wait_until(lambda: b"" in bodies)
        # An own answer may end the connection before the rest of the body.
        assert bodies == [body, b""] or (is_own and bodies == [b""])
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", 200), ("GET", 204), ("GET", 304)]
)
def test_body_where_none_is_allowed_is_no_answer(method, status):
    """Its bytes were read as the head of the answer to the next request."""

    async def handle(reader, writer):
        while await read_id(reader):
            writer.write(render("1", render("2", b"body"), status))

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        for request_id in ("1", "2"):
            response = await client.open(
                method,
                "/",
                [("x-id", request_id)],
                b"",
                repeatable=True,
                identity=identify(request_id),
            )
            assert (response.status, await response.read()) == (status, b"")
        assert client.connections_opened == 2
        client.close()
        server.close()

    asyncio.run(scenario())


def test_answer_without_a_length_that_is_reset_is_not_whole():
    """A clean end completes it, a reset does not."""

    async def handle(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf")
        await writer.drain()
        await asyncio.sleep(0.02)
        if b"/reset" in head:
            writer.transport.abort()
        else:
            writer.close()

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        assert await client.fetch("GET", "/whole") == (200, b"half")
        server.close()

    asyncio.run(scenario())


def test_call_that_nobody_waits_for_is_reset():
    """A frozen server would run what it finds in its buffers when it wakes."""
    ended = []

    async def handle(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(1)
            await reader.read(10)
            ended.append("closed")
        except ConnectionResetError:
            ended.append("reset")

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        call = asyncio.create_task(client.open("POST", "/", [], b"x"))
        await asyncio.sleep(0.05)
        call.cancel()
        await asyncio.sleep(0.05)
        assert ended == ["reset"]
        server.close()

    asyncio.run(scenario())


async def _send_without_end(writer, head, piece):
    """Send until the caller closes; return the bytes that it took."""
    sent = 0
    writer.write(head)
    with contextlib.suppress(ConnectionError):
        while not writer.is_closing():
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
    return sent


def test_answer_in_chunks_of_a_byte_leaves_the_event_loop_to_others():
    """One server's answer without end kept all other requests from being answered."""

    async def flood(reader, writer):
        await reader.read(100)
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        await _send_without_end(writer, head, b"1\r\na\r\n" * 10_000)
        writer.close()

    async def read(client):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                response = await client.open("GET", "/", [], b"")
                await response.read()

    async def scenario():
        server = await open_server(flood)
        client = HttpClient(address_of(server))
        reading = asyncio.gather(*(read(client) for _ in range(3)))
        longest_s = 0.0
        while not reading.done():
            began_at = time.perf_counter()
            await asyncio.sleep(0)
            longest_s = max(longest_s, time.perf_counter() - began_at)
        assert longest_s < 0.2
        client.close()
        server.close()

    asyncio.run(scenario())


ENDLESS = {
    "head": (b"HTTP/1.1 200 OK\r\nx-pad: ", b"a" * 65_536),
    "head of many lines": (b"HTTP/1.1 200 OK\r\n", b"x-pad: a\r\n" * 6_000),
    "no answer at all": (b"", b"\x00\xff" * 32_768),
    "body without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 65_536),
    "chunks": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"a" * 65_536 + b"\r\n",
    ),
    "chunk size": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"0" * 65_536,
    ),
    "promised length": (
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
        b"a" * 65_536,
    ),
}


@pytest.mark.parametrize("kind", ENDLESS)
def test_answer_without_end_is_given_up(kind):
    """A server in trouble sends until the caller closes; memory must stay flat."""
    taken = []

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        taken.append(await _send_without_end(writer, *ENDLESS[kind]))
        writer.close()

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        with pytest.raises(BackendError):
            async with asyncio.timeout(20):
                response = await client.open("GET", "/", [], b"")
                await response.read()
        await wait_until(lambda: taken)
        server.close()
        # What the sockets and buffers between the two hold comes on top.
        assert taken[0] <= defaults.HTTP_ANSWER_LIMIT_BYTES + 8 * 1024 * 1024

    asyncio.run(scenario())


def test_time_out_of_thousands_of_digits_is_passed_over():
    """It could not be converted, and the error ended the agent that read a report."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout="
        writer.write(head + b"9" * 5_000 + b"\r\n\r\nok")

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        assert await client.fetch("GET", "/") == (200, b"ok")
        client.close()
        server.close()

    asyncio.run(scenario())


HEAD = b"HTTP/1.1 200 OK\r\nx-signature: 1\r\n"
WHOLE = {
    "length": HEAD + b"content-length: 2\r\n\r\nok",
    "length first": b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-signature: 1\r\n\r\nok",
    "chunks": HEAD + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "interim heads": b"HTTP/1.1 100 Continue\r\n\r\n"
    + b"HTTP/1.1 103 Early\r\nlink: a\r\n\r\n"
    + HEAD
    + b"content-length: 2\r\n\r\nok",
}


async def _fetch_all(answers, ending):
    """Return what the client makes of each answer: its body, or None if broken."""
    left = list(answers)

    async def handle(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(left.pop(0))
            await writer.drain()
            if ending == "reset":
                # Once the bytes have left.
                await asyncio.sleep(0.002)
                reset(writer.transport)
            elif ending == "half-close":
                writer.write_eof()
                await reader.read()
        writer.close()

    server = await open_server(handle)
    results = []
    for _ in answers:
        client = HttpClient(address_of(server))
        try:
            results.append((await client.fetch("POST", "/", timeout_s=5))[1])
        except BackendError:
            results.append(None)
        client.close()
    server.close()
    await asyncio.sleep(0.05)
    return results


@pytest.mark.parametrize("ending", ["close", "half-close", "reset"])
@pytest.mark.parametrize("kind", WHOLE)
def test_answer_cut_at_any_byte_is_broken(kind, ending):
    """Callers got an empty or short body, framed as whole."""
    answer = WHOLE[kind]
    cuts = [answer[:end] for end in range(len(answer))]
    assert asyncio.run(_fetch_all(cuts, ending)) == [None] * len(cuts)


UNFRAMED = {
    # Whoever dies after the head closes as one does whose body is empty.
    "no body": (HEAD + b"\r\n", None),
    "no body in HTTP/1.0": (HEAD.replace(b"1.1", b"1.0") + b"\r\n", None),
    "a body": (HEAD + b"\r\nok", b"ok"),
    "no content": (HEAD.replace(b"200", b"204") + b"\r\n", b""),
    "a failure": (HEAD.replace(b"200", b"500") + b"\r\n", b""),
    "an empty body": (HEAD + b"content-length: 0\r\n\r\n", b""),
    "two lengths": (
        HEAD + b"content-length: 2\r\ncontent-length: 3\r\n\r\nokk",
        None,
    ),
    "a larger length": (HEAD + b"content-length: 3\r\n\r\nok", None),
    "a length that is no number": (HEAD + b"content-length: 2x\r\n\r\nok", None),
    "an unknown coding": (HEAD + b"transfer-encoding: gzip\r\n\r\nok", None),
    "a chunk's size that is none": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n",
        None,
    ),
    "a chunk that is longer": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
        None,
    ),
    "a length and chunks": (
        HEAD
        + b"content-length: 9\r\ntransfer-encoding: chunked\r\n\r\n"
        + b"2\r\nok\r\n0\r\n\r\n",
        None,
    ),
    "another head inside the head": (
        HEAD[:-2] + b"HTTP/1.1 500 Error\r\ncontent-length: 2\r\n\r\nno",
        None,
    ),
    "a switch of protocols": (b"HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\n", None),
    "an empty line": (b"\r\n" + HEAD + b"content-length: 2\r\n\r\nok", None),
    "a folded line": (HEAD + b" b\r\ncontent-length: 2\r\n\r\nok", b"ok"),
    "a bad status": (b"HTTP/1.1 2x0 OK\r\ncontent-length: 2\r\n\r\nok", None),
}


@pytest.mark.parametrize("kind", UNFRAMED)
def test_answer_is_whole_only_as_its_framing_says(kind):
    """Callers got an empty or short body, framed as whole."""
    answer, body = UNFRAMED[kind]
    assert asyncio.run(_fetch_all([answer], "close")) == [body]


def test_answer_to_a_head_request_has_no_body():
    """It looks like the head of an answer whose server has died."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"\r\n")
        writer.close()

    async def scenario():
        server = await open_server(handle)
        assert await HttpClient(address_of(server)).fetch("HEAD", "/") == (200, b"")
        server.close()

    asyncio.run(scenario())


def test_interim_heads_without_end_are_given_up():
    """A server in trouble kept a request for as long as it sent interim heads."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        interim = b"HTTP/1.1 102 Processing\r\n\r\n"
        await _send_without_end(writer, b"", interim)
        writer.close()

    async def scenario():
        server = await open_server(handle)
        with pytest.raises(BackendError):
            async with asyncio.timeout(5):
                await HttpClient(address_of(server)).open("GET", "/", [], b"")
        server.close()

    asyncio.run(scenario())


def test_failure_without_an_identity_is_not_taken_for_the_next_answer():
    """A refused status read that came once more paused the orders to an engine."""
    refusal = b"HTTP/1.1 503 X\r\nretry-after: 9\r\ncontent-length: 0\r\n\r\n"

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(refusal if client.connections_opened == 1 else render("", b"new"))
        await reader.readuntil(b"\r\n\r\n")
        writer.write(refusal)

    async def scenario():
        nonlocal client
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        assert (await client.fetch("GET", "/"))[0] == 503
        assert await client.fetch("GET", "/") == (200, b"new")
        client.close()
        server.close()

    client = None
    asyncio.run(scenario())


def test_idle_connections_beyond_a_lowered_limit_are_closed():
    """They took places at a server that has fewer now, until the next answer."""
    served = []
    ended = []

    async def handle(reader, writer):
        served.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError):
            while request_id := await read_id(reader):
                await wait_until(lambda: len(served) == 3)
                writer.write(render(request_id))
        ended.append(writer)
        writer.close()

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        await asyncio.gather(*(post(client, name) for name in "123"))
        assert client.connections_opened == 3
        client.idle_limit = 1
        await wait_until(lambda: len(ended) == 2, timeout_s=1)
        assert await post(client, "4") == (200, b"ok")
        assert client.connections_opened == 3
        client.close()
        server.close()

    asyncio.run(scenario())


def test_connection_that_the_server_has_closed_is_not_used():
    """A loop that was held up had not read the close; the request was lost."""
    served = []

    async def handle(reader, writer):
        served.append(writer.get_extra_info("socket").dup())
        with contextlib.suppress(asyncio.IncompleteReadError):
            while request_id := await read_id(reader):
                writer.write(render(request_id))
        writer.close()

    async def scenario():
        server = await open_server(handle)
        client = HttpClient(address_of(server))
        assert await post(client, "1") == (200, b"ok")
        # The loop does not run between the close and the next request.
        served[0].shutdown(socket.SHUT_RDWR)
        assert await post(client, "2") == (200, b"ok")
        assert client.connections_opened == 2
        client.close()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("ending", ["close", "bytes"])
def test_kept_connection_is_read_after_a_large_answer(ending):
    """Reading stayed paused, and the next request went to a closed connection."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        size = defaults.HTTP_UNREAD_BYTES
        head = b"HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: %d\r\n\r\n" % size
        writer.write(head + b"x" * size)
        await asyncio.sleep(0.3)
        if ending == "bytes":
            writer.write(b"HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 0\r\n\r\n")
            await asyncio.sleep(0.3)
        writer.close()

    async def scenario():
        server = await open_server(serve)
        client = HttpClient(address_of(server))
        for name in ("a", "b"):
            identity = RequestIdentity(name, lambda headers: dict(headers)["x-id"])
            response = await client.open(
                "POST", "/", [], b"", kept_idle_s=5.0, identity=identity
            )
            # The answer arrives before it is read.
            await asyncio.sleep(0.1)
            assert len(await response.read()) == defaults.HTTP_UNREAD_BYTES
            await asyncio.sleep(0.3)
        assert client.connections_opened == 2
        client.close()
        server.close()

    asyncio.run(scenario())
