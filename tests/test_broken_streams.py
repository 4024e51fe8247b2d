"""Callers' streams beside servers that break off or answer with something else."""

import asyncio
import ssl
import time
from typing import NamedTuple

import h11
import pytest

from certificates import write_certificate
from fleets import open_fleet
from hostile import LoopThread
from jasminewharf.decisions.health import OutlierDetector
from jasminewharf.interfaces.http import HttpServer
from jasminewharf.interfaces.refusals import render_refusal
from jasminewharf.settings import LimitSettings
from platformfakes import answer_raw, stream_body

MODEL = [("x-model", "m0"), ("x-token-counts", "100,20")]
ALL = stream_body()
# What the caller has when the first engine breaks off in its fourth event.
FIRST = ALL[: ALL.index(b"id: 4")]


class _SharedFleet:
    """A fleet that all tests of the file use; each begins without earlier failures."""

    def __init__(self, folder):
        self._thread = LoopThread()
        self._manager = open_fleet(folder)
        self._fleet = self._thread.run(self._manager.__aenter__())
        self._fleet.set_faults = self._set_faults

    def __call__(self, scenario):
        self._set_faults([])
        self._thread.run(self._run(scenario))

    async def _run(self, scenario):
        for engine in self._fleet.engines:
            engine.event_pause_s = 0.005
        for kernel in self._fleet.entry_kernels:
            kernel.find("server-chooser")._health = OutlierDetector()
            kernel.find("retry-budgets")._budgets.clear()
            for server in kernel.find("directory").directory.servers.values():
                server.avoided_until = float("-inf")
        await scenario(self._fleet)

    def _set_faults(self, faults):
        """Have the next requests to any server fail in this order."""
        for server in (*self._fleet.engines, *self._fleet.desks):
            server.fails_next = faults

    def close(self):
        self._thread.run(self._manager.__aexit__(None, None, None))
        self._thread.close()


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    fleet = _SharedFleet(tmp_path_factory.mktemp("fleet"))
    yield fleet
    fleet.close()


class Received(NamedTuple):
    """What a caller got; ``is_whole`` tells whether it looks complete to it."""

    status: int
    body: bytes
    is_whole: bool


async def ask(fleet, target="/chat/x", *, version="1.1", headers=(), limit_s=8):
    """Send a request as a plain socket does and read until the connection ends."""
    ip, port = fleet.entries[0].split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    fields = [
        ("host", "a.example"),
        ("api-key", "key-1"),
        ("x-deadline-ms", "4000"),
        ("content-length", "2"),
        *MODEL,
        *headers,
    ]
    if "x-attempt-id" not in dict(headers):
        fields.append(("x-attempt-id", "id-1"))
    head = f"POST {target} HTTP/{version}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    writer.write(head.encode() + b"\r\n{}")
    caller = h11.Connection(h11.CLIENT)
    caller.send(h11.Request(method="POST", target="/", headers=[("host", "x")]))
    caller.send(h11.EndOfMessage())
    status, body = 0, b""
    try:
        async with asyncio.timeout(limit_s):
            while True:
                event = caller.next_event()
                if event is h11.NEED_DATA:
                    caller.receive_data(await reader.read(65_536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += event.data
                else:
                    whole = isinstance(event, h11.EndOfMessage)
                    return Received(status, body, whole)
    except (ConnectionError, h11.RemoteProtocolError):
        return Received(status, body, False)
    finally:
        writer.close()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number, data=""):
    return f"id: {number}\ndata: {data or f'x{number}'}\n\n".encode()


STREAM = (
    b"HTTP/1.1 200 OK\r\n%scontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
JSON_CHUNKS = (
    b"%scontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n"
    + chunk(b'{"error":')
    + chunk(b'"MARK"}\n\n')
    + b"0\r\n\r\n"
)


def error_answer(status, *lines):
    head = b"HTTP/1.1 %d Error\r\n%%s" % status
    lines = b"".join(line + b"\r\n" for line in lines)
    return answer_raw(head + lines + b"content-length: 11\r\n\r\nMARK: error")


def whole_answer(head, body):
    return answer_raw(head + b"content-length: %d\r\n\r\n" % len(body) + body)


UNUSABLE = {
    "421": error_answer(421),
    "429": error_answer(429),
    "400": error_answer(400),
    "404": error_answer(404),
    "500 in chunks": answer_raw(b"HTTP/1.1 500 Error\r\n" + JSON_CHUNKS),
    "503": error_answer(503),
    "503 not run": error_answer(503, b"x-not-executed: 1"),
    "503 not run, cut": answer_raw(
        b"HTTP/1.1 503 Error\r\n%sx-not-executed: 1\r\ncontent-length: 99\r\n\r\nMARK"
    ),
    "503 in two pieces": answer_raw(
        b"HTTP/1.1 5", b"03 Error\r\n%scontent-length: 4\r\n\r\nMARK"
    ),
    "500 that never ends": answer_raw(
        b"HTTP/1.1 500 Error\r\n%scontent-length: 99\r\n\r\nMARK", end="keep"
    ),
    "302": error_answer(302, b"location: /MARK"),
    "204": answer_raw(b"HTTP/1.1 204 No Content\r\n%s\r\n"),
    "206": whole_answer(
        b"HTTP/1.1 206 Partial\r\n%scontent-type: text/event-stream\r\n", b"MARK\n\n"
    ),
    "200 with JSON": answer_raw(b"HTTP/1.1 200 OK\r\n" + JSON_CHUNKS),
    "200 with HTML": whole_answer(
        b"HTTP/1.1 200 OK\r\n%scontent-type: text/html\r\n", b"<p>MARK</p>"
    ),
    "200 without a type": whole_answer(b"HTTP/1.1 200 OK\r\n%s", b"MARK"),
    "event without a number": answer_raw(
        STREAM + chunk(b"event: error\ndata: MARK\n\n") + b"0\r\n\r\n"
    ),
    "no event": answer_raw(STREAM + b"0\r\n\r\n"),
    "older events only": answer_raw(STREAM + chunk(FIRST) + b"0\r\n\r\n"),
    "gap": answer_raw(STREAM + chunk(event(7, "MARK") + event(8)) + b"0\r\n\r\n"),
    "half an event": answer_raw(STREAM + chunk(b"id: 4\ndata: MARK") + b"0\r\n\r\n"),
    "half an event with a length": whole_answer(
        b"HTTP/1.1 200 OK\r\n%scontent-type: text/event-stream\r\n", b"id: 4\nMARK"
    ),
    "half an event, then closed": answer_raw(
        b"HTTP/1.1 200 OK\r\n%scontent-type: text/event-stream\r\n\r\nid: 4\nMARK"
    ),
    "head cut": answer_raw(b"HTTP/1.1 200 OK\r\n%scontent-type: text/event"),
    "head only": answer_raw(
        b"HTTP/1.1 200 OK\r\n%scontent-type: text/event-stream\r\n\r\n"
    ),
    "error in place of a chunk": answer_raw(
        STREAM + b"HTTP/1.1 500 Error\r\n\r\nMARK: error"
    ),
}


@pytest.mark.parametrize("kind", UNUSABLE)
def test_unusable_answer_is_not_mixed_into_a_stream_that_has_begun(shared, kind):
    """Callers found another answer's bytes in a stream, or took it for complete."""

    async def scenario(fleet):
        faults = ["break", *[UNUSABLE[kind]] * 9]
        fleet.set_faults(faults)
        received = await ask(fleet)
        assert len(faults) < 9
        # A refusal as not run may be followed by a third engine's answer.
        assert received in (Received(200, FIRST, False), Received(200, ALL, True))

    shared(scenario)


REST = event(4) + event(5) + event(6) + event(7) + event(8)
USABLE = {
    "older events first": STREAM + chunk(ALL) + b"0\r\n\r\n",
    "the last event once more": STREAM + chunk(event(3) + REST) + b"0\r\n\r\n",
    "numbers twice": STREAM + chunk(event(4) + REST + event(5)) + b"0\r\n\r\n",
    "trailers": STREAM + chunk(REST) + b"0\r\nx-error: MARK\r\n\r\n",
    "comments": STREAM + chunk(b": here\n\n" + REST) + b"0\r\n\r\n",
    "interim heads": b"HTTP/1.1 103 Early\r\nlink: MARK\r\n\r\n"
    + STREAM
    + chunk(REST)
    + b"0\r\n\r\n",
    "a length": b"HTTP/1.1 200 OK\r\n%scontent-type: text/event-stream\r\n"
    + b"content-length: %d\r\n\r\n" % len(REST)
    + REST,
    "an error after the end": STREAM
    + chunk(REST)
    + b"0\r\n\r\nHTTP/1.1 500 MARK\r\ncontent-length: 4\r\n\r\nMARK",
    "type in capitals": STREAM.replace(b"text/event-stream", b"Text/Event-Stream; a=b")
    + chunk(REST)
    + b"0\r\n\r\n",
}


@pytest.mark.parametrize("kind", USABLE)
def test_resumed_stream_has_each_event_once(shared, kind):
    """Callers found events twice or bytes around them where a stream was resumed."""

    async def scenario(fleet):
        faults = ["break", answer_raw(USABLE[kind])]
        fleet.set_faults(faults)
        assert await ask(fleet) == Received(200, ALL, True)
        assert not faults
        # The connection's next answer is that of the next request.
        status, _, body = await fleet.call("/chat/x", *MODEL, request_id="id-2")
        assert (status, body) == (200, ALL)

    shared(scenario)


SHORT = {
    "head only": answer_raw(b"HTTP/1.1 200 OK\r\n%s\r\n"),
    "head only, reset": answer_raw(b"HTTP/1.1 200 OK\r\n%s\r\n", end="reset"),
    "part of the head": answer_raw(b"HTTP/1.1 200 OK\r\n%s"),
    "part of the head, reset": answer_raw(b"HTTP/1.1 200 OK\r\n%s", end="reset"),
    "interim head": answer_raw(b"HTTP/1.1 100 Continue\r\n\r\n"),
    "half a body, reset": answer_raw(b"HTTP/1.1 200 OK\r\n%s\r\nMARK", end="reset"),
    "stream's head only": answer_raw(STREAM),
    "stream's head only, without a length": answer_raw(
        STREAM.replace(b"transfer-encoding: chunked\r\n", b"")
    ),
}


@pytest.mark.parametrize("target", ["/orders/1", "/plan/x", "/chat/x"])
@pytest.mark.parametrize("kind", SHORT)
def test_answer_that_ends_with_its_head_is_no_success(shared, kind, target):
    """Callers got a 200 with an empty or short body, framed as whole."""

    async def scenario(fleet):
        faults = [SHORT[kind]]
        fleet.set_faults(faults)
        received = await ask(fleet, target)
        assert not faults
        if target == "/chat/x":
            assert received == Received(200, ALL, True)
        else:
            assert received.status == 502 or not received.is_whole

    shared(scenario)


REFUSALS = {
    "cut": UNUSABLE["503 not run, cut"],
    "endless": answer_raw(
        b"HTTP/1.1 421 Error\r\n%scontent-length: 99\r\n\r\nMARK", end="keep"
    ),
    "too large": answer_raw(
        b"HTTP/1.1 503 Error\r\n%sx-not-executed: 1\r\n\r\n" + b"a" * 20_000_000
    ),
}


@pytest.mark.parametrize("kind", REFUSALS)
@pytest.mark.parametrize("target", ["/orders/1", "/plan/x"])
def test_refusal_whose_body_is_broken_is_still_a_refusal(shared, kind, target):
    """Callers got an internal error for requests that no server had run."""

    async def scenario(fleet):
        fleet.set_faults([REFUSALS[kind]])
        received = await ask(fleet, target)
        assert (received.status, received.is_whole) == (200, True)

    shared(scenario)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("target", ["/chat/x", "/plan/x"])
def test_cut_stream_does_not_look_complete(shared, version, target):
    """To a caller that reads until the close, a stream that was cut looked whole."""

    async def scenario(fleet):
        fleet.set_faults(["break", "break"])
        received = await ask(
            fleet, target, version=version, headers=[("connection", "close")]
        )
        assert not received.is_whole

    shared(scenario)


@pytest.mark.parametrize("tls", [False, True])
@pytest.mark.parametrize("ending", ["cut", "error", "stop"])
def test_answer_that_ends_with_its_connection_is_reset_when_cut(tmp_path, tls, ending):
    """A caller that reads until the close took each of these for whole answers."""

    async def handle(request, responder):
        responder.start(200, [])
        await responder.write(b"begun")
        if ending == "cut":
            responder.cut()
        elif ending == "error":
            raise ValueError("a handler that fails")
        else:
            await asyncio.sleep(30)

    async def scenario():
        server = HttpServer(handle, render_refusal, LimitSettings())
        address = await server.listen("127.0.0.1", 0, server_context if tls else None)
        ip, port = address.split(":")
        reader, writer = await asyncio.open_connection(
            ip, int(port), ssl=caller_context if tls else None
        )
        writer.write(b"GET / HTTP/1.0\r\nhost: x\r\n\r\n")
        await reader.readuntil(b"begun")
        if ending == "stop":
            await server.close()
        is_whole = True
        try:
            await reader.read()
        except ConnectionError:
            is_whole = False
        writer.close()
        await server.close()
        assert not is_whole

    if tls:
        write_certificate(tmp_path, "localhost")
        server_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        server_context.load_cert_chain(tmp_path / "tls.crt", tmp_path / "tls.key")
        caller_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        caller_context.check_hostname = False
        caller_context.verify_mode = ssl.CERT_NONE
    asyncio.run(scenario())


def test_late_event_loop_is_not_a_silent_server(shared):
    """Slow but sound streams were cut, and their engines ejected, by a busy entry."""

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.event_pause_s = 0.3
        metrics = fleet.entry_kernels[0].find("process").metrics
        ejected = metrics.counter_value("servers_ejected_total")
        runs = fleet.runs("id-1")
        call = asyncio.create_task(ask(fleet))
        await asyncio.sleep(0.7)
        # Longer than a server may be silent.
        time.sleep(1.3)
        assert await call == Received(200, ALL, True)
        assert fleet.runs("id-1") == runs + 1
        assert metrics.counter_value("servers_ejected_total") == ejected

    shared(scenario)


STALLED = {
    "bytes of no event": [STREAM + chunk(event(1)), *[chunk(b"x")] * 300],
    "comments": [STREAM + chunk(event(1)), *[chunk(b": on\n\n")] * 300],
    "the same event": [STREAM, *[chunk(event(1))] * 300],
    "a failure's body": [
        b"HTTP/1.1 500 Error\r\n%scontent-length: 9999\r\n\r\n",
        *[b"x"] * 300,
    ],
}


@pytest.mark.parametrize("kind", STALLED)
def test_stream_without_progress_goes_on_elsewhere(shared, kind):
    """Stalled streams that sent a byte now and then never ended."""

    async def scenario(fleet):
        faults = [answer_raw(*STALLED[kind], end="keep")]
        fleet.set_faults(faults)
        received = await ask(fleet)
        assert received.is_whole
        assert received.status == 200
        assert received.body.replace(b": on\n\n", b"") == ALL

    shared(scenario)


def test_header_of_a_caller_may_hold_any_text(shared):
    """Callers got an internal error for a header with other letters than ASCII."""

    async def scenario(fleet):
        text = "Đà Nẵng é"
        answer = b"HTTP/1.1 200 OK\r\n%sx-note: " + text.encode()
        fleet.set_faults([answer_raw(answer + b"\r\ncontent-length: 2\r\n\r\nok")])
        headers = [("x-note", text), ("x-attempt-id", "id-é")]
        received = await ask(fleet, "/orders/1", headers=headers)
        assert received == Received(200, b"ok", True)
        heads = [head for desk in fleet.desks for head in desk.heads]
        assert ("id-é", text) in [(h["x-attempt-id"], h.get("x-note")) for h in heads]

    shared(scenario)
