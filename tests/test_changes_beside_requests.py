"""No change of the configuration or of the settings ends a whole request."""

import asyncio
import json
import socket
from types import SimpleNamespace

import pytest

from fleets import build_body, build_route, run_with_fleet
from jasminewharf import defaults
from jasminewharf.exceptions import KeyWithdrawn, StreamInterrupted
from jasminewharf.interfaces.callers import Callers
from jasminewharf.interfaces.http import HttpServer
from jasminewharf.interfaces.local import LocalOptions, open_local_system
from jasminewharf.interfaces.orders import Claim, OrderRelay
from jasminewharf.interfaces.refusals import describe_refusal, render_refusal
from jasminewharf.messages.servers import WantModel
from jasminewharf.settings import LimitSettings
from platformfakes import FakeReplica, stream_body
from support import call, wait_until

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


def change_first(part, **fields):
    """Return the first configuration's part with fields changed in each item."""
    return [{**item, **fields} for item in json.loads(build_body())[part]]


OTHER_ROUTE = build_route("other", "safe", "desk")
BODIES = {
    "routes gone": {"routes": [OTHER_ROUTE]},
    "routes moved": {"routes": change_first("routes", service="desk")},
    "time-outs lowered": {"routes": change_first("routes", timeoutMs=100)},
    "attempts lowered": {
        "routes": change_first("routes", maxAttempts=1, resumable=False)
    },
    "hundreds of routes": {
        "routes": change_first("routes")
        + [build_route(f"more-{number}", "safe", "desk") for number in range(500)]
    },
    "service gone": {
        "services": [{"name": "other"}],
        "routes": [build_route("other", "safe", "other")],
    },
    "connections lowered": {"services": change_first("services", maxConns=1)},
    "models gone": {"services": [{"name": "llm"}, {"name": "desk"}]},
    "key gone": {"tenants": change_first("tenants", apiKeys=["key-x"])},
    "workspace gone": {"tenants": change_first("tenants", name="x", apiKeys=["x"])},
    "rate lowered": {"tenants": change_first("tenants", ratePerS=1, burst=1)},
    "limits lowered": {
        "limits": {
            "maxHeaderBytes": 512,
            "maxBodyBytes": 1,
            "headerTimeoutMs": 100,
            "idleTimeoutMs": 100,
        }
    },
}


async def change_servers(fleet, change, folder):
    """Carry out a change that is none of the configuration."""
    entry = fleet.entry_kernels[0]
    if change == "servers gone":
        fleet.list.replicas = []
        directory = entry.find("directory").directory
        await wait_until(lambda: not directory.servers)
        # Until connections to servers that are gone are closed.
        await asyncio.sleep(2 * defaults.CONNECTIONS_TIDY_S)
        return
    file = folder / "settings.yaml"
    text = fleet.settings_text(fleet.entry_ips[0], "entry")
    seeds = text.replace('seeds: ["127.0.0.2:', 'seeds: ["127.0.0.99:')
    file.write_text(seeds if change == "seeds replaced" else seeds[:-200])
    entry.settings_file = str(file)
    entry.find("reload").reload()
    await asyncio.sleep(0.2)


@pytest.mark.parametrize(
    "change", [*BODIES, "servers gone", "seeds replaced", "settings half written"]
)
def test_requests_in_progress_are_answered_whole_beside_a_change(
    change, tmp_path, monkeypatch
):
    """A change may end no request that was taken before it."""
    monkeypatch.setattr(defaults, "CONNECTIONS_TIDY_S", 0.1)

    async def scenario(fleet):
        for desk in fleet.desks:
            desk.answer_s = 1.2
        for engine in fleet.engines:
            engine.event_pause_s = 0.15
        model = ("x-model", "m0")
        asking = [
            asyncio.create_task(fleet.call(target, *fields, request_id=f"id-{number}"))
            for number, (target, *fields) in enumerate(
                (("/chat/x", model), ("/plan/x", model), ("/orders/1",), ("/status/1",))
            )
        ]
        servers = [*fleet.engines, *fleet.desks]
        await wait_until(lambda: sum(len(each.runs) for each in servers) == 4)
        if change in BODIES:
            view = fleet.entry_kernels[0].find("view")
            status, _ = await fleet.submit(build_body(2, **BODIES[change]))
            assert status == 200
            await wait_until(lambda: view.table.version == 2)
        else:
            await change_servers(fleet, change, tmp_path)
        assert not any(task.done() for task in asking)
        answers = await asyncio.gather(*asking)
        assert [status for status, _, _ in answers] == [200] * 4
        assert [body for _, _, body in answers[:2]] == [stream_body()] * 2
        assert all(
            body.endswith(b":id-%d" % n)
            for n, (_, _, body) in enumerate(answers)
            if n > 1
        )
        assert sum(len(each.runs) for each in servers) == 4

    run_with_fleet(scenario, tmp_path, entries=1)


# The changes after which no engine may load a model.
WITHOUT_MODELS = ("models gone", "service gone")


@pytest.mark.parametrize(
    "change", ["routes gone", *WITHOUT_MODELS, "key gone", "rate lowered"]
)
def test_request_that_waits_for_its_model_is_answered_beside_a_change(change, tmp_path):
    """What it waits for may never come; it is then to be refused in time."""

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.load_s = 0.8
        entry = fleet.entry_kernels[0]
        asking = asyncio.create_task(fleet.call("/chat/x", ("x-model", "m3")))
        await wait_until(lambda: entry.find("demand")._waiters)
        status, _ = await fleet.submit(build_body(2, **BODIES[change]))
        assert status == 200
        await wait_until(lambda: entry.find("view").table.version == 2)
        assert change in WITHOUT_MODELS or not asking.done()
        status, _, body = await asyncio.wait_for(asking, 2 * LONG_S)
        assert change not in WITHOUT_MODELS or status == 503
        if status != 200:
            assert status in (429, 503)
            assert json.loads(body)["error"]["not_run"]
            assert not any(engine.runs for engine in fleet.engines)

    run_with_fleet(scenario, tmp_path, entries=1)


def offer_models(*names):
    """Return the first configuration's services with these models only."""
    engine, desk = json.loads(build_body())["services"]
    kept = [model for model in engine["engine"]["models"] if model["name"] in names]
    return [{**engine, "engine": {**engine["engine"], "models": kept}}, desk]


WITHOUT_M2 = {
    "model gone": {"services": offer_models("m0", "m1", "m3")},
    "engine gone": BODIES["models gone"],
    "service gone": BODIES["service gone"],
}


@pytest.mark.parametrize("change", WITHOUT_M2)
def test_request_for_a_model_that_is_no_longer_offered_is_refused_at_once(
    change, tmp_path
):
    """It waited until its caller left for a load that no engine would begin."""
    engine = FakeReplica("127.0.0.1", "i-e1", "llm", ["m0"])
    engine.load_s = 1.0

    async def scenario(fleet):
        entry = fleet.entry_kernels[0]
        loading, waiting = (
            asyncio.create_task(
                fleet.call("/chat/x", ("x-model", model), request_id=model)
            )
            for model in ("m1", "m2")
        )
        await wait_until(lambda: engine.busy and len(entry.find("demand")._waiters) > 1)
        status, _ = await fleet.submit(build_body(2, **WITHOUT_M2[change]))
        assert status == 200
        status, _, body = await waiting
        assert (status, json.loads(body)["error"]["not_run"]) == (503, True)
        # A load that has begun still serves those who wait for it.
        assert not loading.done()
        assert (await loading)[0] == 200
        assert engine.runs == ["m1"]

    run_with_fleet(scenario, tmp_path, entries=1, engines=[engine])


@pytest.mark.parametrize("change", WITHOUT_MODELS)
def test_engine_of_a_service_without_models_gets_no_orders(change, tmp_path):
    """Its agent went on to load what the former configuration offered."""

    async def scenario(fleet):
        entry = fleet.entry_kernels[0]
        agents = fleet.kernels[-len(fleet.engines) :]
        status, _ = await fleet.submit(build_body(2, **BODIES[change]))
        assert status == 200
        for kernel in agents:
            view = kernel.find("view")
            await wait_until(lambda view=view: view.table.version == 2)
        orders = [len(engine.orders) for engine in fleet.engines]
        directory = entry.find("directory")
        # An entry that has not heard of the change still asks.
        for _ in range(5):
            for server in directory.directory.in_service("llm"):
                directory.send_to_agent(server, WantModel("m3", 3, 3.0, 0, 0))
            await asyncio.sleep(0.2)
        assert [len(engine.orders) for engine in fleet.engines] == orders

    run_with_fleet(scenario, tmp_path, entries=1)


def test_idle_time_begins_when_the_caller_has_been_sent_the_answer():
    """It began at the write: a caller that read for longer had its next request cut."""
    piece = 3_000_000

    async def handle(request, responder):
        responder.respond(200, [], LARGE)

    async def scenario():
        narrow = WIDE._replace(idle_timeout_s=SHORT_S)
        server, reader, writer = await open_server(handle, narrow)
        link = writer.get_extra_info("socket")
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 100_000)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        for _ in range(len(LARGE) // piece):
            await asyncio.sleep(SHORT_S)
            await reader.readexactly(piece)
        writer.write(REQUEST)
        head, body = await read_answer(reader)
        assert (head[:13], body) == (b"HTTP/1.1 200 ", LARGE)
        assert await asyncio.wait_for(reader.read(), LONG_S) == b""
        writer.close()
        await server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("has_length", [True, False])
def test_refusal_inside_an_answer_does_not_make_it_look_whole(has_length):
    """A withdrawn key ended it with an error event, which could fill its length."""
    refusal = KeyWithdrawn("the key was withdrawn", not_run=False)
    event = f"data: {json.dumps(describe_refusal(refusal, 'id-1'))}\n\n".encode()
    length = ("content-length", str(len(b"half" + event)))

    async def handle(request, responder):
        responder.start(200, [length] if has_length else [])
        await responder.write(b"half")
        await Callers._refuse(SimpleNamespace(), responder, refusal, "id-1")

    async def scenario():
        server, reader, writer = await open_server(handle)
        writer.write(REQUEST)
        received = await asyncio.wait_for(reader.read(), LONG_S)
        body = received.partition(b"\r\n\r\n")[2]
        if has_length:
            assert body == b"half"
        else:
            assert event in body
            assert not body.endswith(b"0\r\n\r\n")
        writer.close()
        await server.close()

    asyncio.run(scenario())
