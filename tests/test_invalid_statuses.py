"""A status that is none is a failure of its server and never reaches a caller."""

import asyncio
import json

import pytest

from fleets import run_with_fleet
from jasminewharf.exceptions import BackendError, OutcomeUnknown
from jasminewharf.messages.control import ClaimAnswer
from jasminewharf.services.claims import read_recorded
from jasminewharf.services.client import HttpClient
from platformfakes import FakeReplica, answer_raw, stream_body
from support import wait_until

INVALID = ["000", "099", "600", "999", "20", "2000"]
VALID = range(200, 600)
MODEL = (("x-model", "m0"), ("x-token-counts", "100,20"))


def answer_with(status, body=b"MARK"):
    head = f"HTTP/1.1 {status} None\r\n%s".encode()
    return answer_raw(head + b"content-length: %d\r\n\r\n" % len(body) + body)


async def serve_raw(data):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        writer.close()

    return await asyncio.start_server(answer, "127.0.0.1", 0)


@pytest.mark.parametrize("status", INVALID)
def test_client_takes_no_answer_with_such_a_status(status):
    """Engines' reports, orders and the server list are read with this client."""

    async def main():
        head = f"HTTP/1.1 {status} None\r\ncontent-length: 2\r\n\r\n{{}}"
        server = await serve_raw(head.encode())
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(BackendError):
            await HttpClient(f"127.0.0.1:{port}").fetch("GET", "/")
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize("status", INVALID)
def test_other_plain_server_answers(tmp_path, status):
    """The status of the first attempt reached the caller."""

    async def scenario(fleet):
        for desk in fleet.desks:
            desk.fails_next = [answer_with(status)]
        results = []
        for number in range(3):
            result = await fleet.call("/status/1", request_id=f"id-{number}")
            results.append(result)
        assert all(code in VALID for code, _, _ in results)
        assert not any(b"MARK" in body for _, _, body in results)
        # Both have failed once, and the second attempt may have been the other's.
        assert results[-1][0] == 200

    run_with_fleet(scenario, tmp_path)


@pytest.mark.parametrize("status", INVALID)
def test_order_is_not_repeated_and_gets_a_valid_status(tmp_path, status):
    async def scenario(fleet):
        for desk in fleet.desks:
            desk.fails_next = [answer_with(status)]
        code, _, body = await fleet.call("/orders/1")
        assert code == 502
        assert b"MARK" not in body
        assert fleet.runs("id-1") == 1

    run_with_fleet(scenario, tmp_path)


@pytest.mark.parametrize("status", INVALID)
@pytest.mark.parametrize("path", ["/chat/x", "/plan/x"])
def test_stream_of_an_engine_goes_on_elsewhere_or_fails(tmp_path, path, status):
    """Routes of both kinds: one may be asked again, the other may not."""

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.fails_next = [answer_with(status)]
        code, _, body = await fleet.call(path, *MODEL)
        assert code in VALID
        assert b"MARK" not in body
        for engine in fleet.engines:
            engine.fails_next = []
        code, _, body = await fleet.call("/chat/x", *MODEL, request_id="id-2")
        assert (code, body) == (200, stream_body())

    run_with_fleet(scenario, tmp_path)


class OddEngine(FakeReplica):
    """An engine that answers orders with a status that is none."""

    status = "600"

    async def answer(self, request, responder):
        if request.target != "/order":
            await super().answer(request, responder)
            return
        self.orders_refused += 1
        await answer_with(self.status)(responder, [])


@pytest.mark.parametrize("status", ["600", "999"])
def test_order_to_an_engine_is_not_taken_as_refused(tmp_path, status):
    """An answer that is none says nothing about the order: it may take effect."""

    async def scenario(fleet):
        fleet.engines[0].status = status
        call = asyncio.create_task(
            fleet.call("/chat/x", ("x-model", "m3"), ("x-token-counts", "100,20"))
        )
        await wait_until(lambda: fleet.engines[0].orders_refused > 0)
        metrics = fleet.kernels[-1].find("process").metrics
        await wait_until(
            lambda: metrics.counter_value("engine_orders_total", outcome="unknown")
        )
        assert not metrics.counter_value("engine_orders_total", outcome="refused")
        call.cancel()

    engine = OddEngine("127.0.0.1", "i-e1", "llm", ["m0"])
    run_with_fleet(scenario, tmp_path, engines=[engine])


@pytest.mark.parametrize("status", INVALID)
def test_server_list_with_such_a_status_changes_nothing(tmp_path, status):
    async def scenario(fleet):
        async def answer(request, responder):
            fleet.list.reads += 1
            body = json.dumps({"instances": [], "nextToken": None}).encode()
            await answer_with(status, body)(responder, [])

        fleet.list.answer = answer
        reads = fleet.list.reads
        await wait_until(lambda: fleet.list.reads > reads + 2)
        assert (await fleet.call("/status/1"))[0] == 200

    run_with_fleet(scenario, tmp_path)


@pytest.mark.parametrize("status", [0, 99, 199, 600, 999])
def test_recorded_answer_with_such_a_status_is_not_replayed(status):
    """A process of an earlier release may have recorded it."""
    answer = ClaimAnswer(state="done", status=status, headers=[], body=b"MARK")
    with pytest.raises(OutcomeUnknown):
        read_recorded(answer)
