"""Answers of backend servers that belong to no request in progress.

A server may write an answer once more, late, where the answer to the next request on
the connection is expected. The stand-ins here do so on every connection.
"""

import asyncio
import contextlib
import json

import pytest

from fleets import run_with_fleet
from jasminewharf.interfaces.roles import build_kernel
from jasminewharf.messages.calls import AnswerChunk, ForwardCall
from jasminewharf.services.backend import AgentCall
from jasminewharf.settings import parse_settings
from jasminewharf.tracing import Span
from platformfakes import FakeHttp, FakeList, FakeReplica, stream_body
from support import wait_until

# Tell callers that their request has not run and never will.
PROMISES = (408, 421, 429, 503)
MARK = b"X-Not-Executed: 1\r\n"


async def read_request(reader):
    """Return first line, headers and body of the next request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return head[0], fields, body


class RepeatingServer(FakeReplica):
    """Refuses the first request of each connection, and says so once more at the next.

    The next request runs, and its own answer follows 30 ms after the repeated one.

    Attributes:
        status: The status of the refusal.
        mark: Its header line that states that the request has not run.
        named: Whose identifier the refusal bears: own, another or none.
        repeats: Whether the refusal is written again.
    """

    def __init__(self, name):
        super().__init__("127.0.0.1", name, "desk")
        self.status, self.mark, self.named, self.repeats = 503, MARK, "own", True
        self.taken = []
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve_link, self.ip, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def stop(self):
        self.close_links()
        self._server.close()

    def close_links(self):
        for writer in self._writers:
            writer.close()

    async def _serve_link(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await self._answer_all(reader, writer)
        writer.close()
        self._writers.discard(writer)

    async def _answer_all(self, reader, writer):
        refusal = b""
        while True:
            _, fields, _ = await read_request(reader)
            request_id = fields["x-attempt-id"]
            self.taken.append(request_id)
            if not refusal:
                refusal = self._render_refusal(request_id)
                writer.write(refusal)
                continue
            self.runs.append(request_id)
            writer.write(refusal if self.repeats else b"")
            await asyncio.sleep(0.03)
            body = f"{self.name}:{request_id}".encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s\r\n"
                b"Content-Length: %d\r\n\r\n%b" % (request_id.encode(), len(body), body)
            )

    def _render_refusal(self, request_id):
        named = {"own": request_id, "another": "id-of-another", "none": ""}[self.named]
        identifier = f"X-Attempt-Id: {named}\r\n".encode() if named else b""
        head = b"HTTP/1.1 %d Refused\r\n%b%b" % (self.status, identifier, self.mark)
        return head + b"Content-Length: 0\r\n\r\n"


class Repeating:
    """A fake whose answers come once more where the next one on a connection is due."""

    async def start(self):
        await super().start()
        self._inner = self.address.split(":")
        self._front = await asyncio.start_server(self._pass_on, self.ip, 0)
        self.address = "{}:{}".format(*self._front.sockets[0].getsockname())

    async def stop(self):
        self._front.close()
        await super().stop()

    async def _pass_on(self, reader, writer):
        previous = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await read_request(reader)
                writer.write(previous)
                answer = await self._ask(*request)
                await asyncio.sleep(0.03 if previous else 0)
                previous = answer
                writer.write(answer)
        writer.close()

    async def _ask(self, line, fields, body):
        head = {**fields, "connection": "close"}.items()
        lines = [line, *(f"{name}: {value}" for name, value in head), "", ""]
        reader, writer = await asyncio.open_connection(*self._inner)
        writer.write("\r\n".join(lines).encode() + body)
        answer = await reader.read(-1)
        writer.close()
        return answer.replace(b"Connection: close\r\n", b"", 1)


class RepeatingEngine(Repeating, FakeReplica):
    """An engine that repeats its answers."""


class RepeatingList(Repeating, FakeList):
    """A list of servers, one on each page, that repeats its answers.

    Attributes:
        pages: The numbers of the pages that were asked for.
    """

    def __init__(self, ip):
        super().__init__(ip)
        self.pages = []

    async def answer(self, request, responder):
        page = int(request.target.partition("pageToken=")[2] or 0)
        self.pages.append(page)
        following = str(page + 1) if page + 1 < len(self.replicas) else None
        entries = [replica.describe() for replica in self.replicas[page : page + 1]]
        body = json.dumps({"instances": entries, "nextToken": following}).encode()
        responder.respond(200, [], body)


class RepeatingService(Repeating, FakeHttp):
    """A plain service that answers with what it was asked for."""

    async def answer(self, request, responder):
        responder.respond(200, [], request.target.encode())


class CollectingPeer:
    """An entry that keeps the messages that it is sent."""

    routing_id = b"entry"

    def __init__(self):
        self.messages = []

    def send(self, message):
        self.messages.append(message)


def run_with_desks(scenario, tmp_path):
    """Run a scenario with a fleet whose plain service has two repeating servers."""
    desks = [RepeatingServer(f"i-r{number}") for number in (1, 2)]
    run_with_fleet(lambda fleet: scenario(fleet, desks), tmp_path, desks=desks)


async def call_and_check(fleet, desks, target, request_id):
    """Send a request; return the status after what holds for each was checked."""
    status, _, body = await fleet.call(target, request_id=request_id)
    runs = sum(desk.runs.count(request_id) for desk in desks)
    if target.startswith("/orders"):
        assert runs <= 1, f"{target} {request_id} ran {runs} times"
    assert status not in PROMISES or runs == 0, f"{request_id}: {status} but it ran"
    assert status != 200 or body.endswith(f":{request_id}".encode())
    return status


@pytest.mark.parametrize("named", ["own", "another", "none"])
def test_repeated_refusal_is_not_taken_for_the_answer_to_a_later_send(tmp_path, named):
    """An order ran twelve times and its caller was told that it had not run."""

    async def scenario(fleet, desks):
        number = 0
        for status in PROMISES:
            for mark in (MARK, b""):
                for desk in desks:
                    desk.status, desk.mark, desk.named = status, mark, named
                    desk.close_links()
                for target in ("/orders/1", "/orders/2", "/status/1", "/status/2"):
                    number += 1
                    await call_and_check(fleet, desks, target, f"{named}-{number}")

    run_with_desks(scenario, tmp_path)


@pytest.mark.parametrize("target", ["/orders/1", "/status/1"])
def test_request_whose_answer_follows_a_repeated_refusal_gets_it(tmp_path, target):
    """A request that had run ended in 502 though its answer came 30 ms later."""

    async def scenario(fleet, desks):
        await call_and_check(fleet, desks, target, "id-1")
        taken = [len(desk.taken) for desk in desks]
        assert await call_and_check(fleet, desks, target, "id-2") == 200
        # The connections on which the first was refused are used for the second.
        assert [len(desk.taken) for desk in desks] != taken

    run_with_desks(scenario, tmp_path)


def test_refusal_without_an_identifier_is_tried_elsewhere(tmp_path):
    """Callers got 502 where a server had turned them away and another had room."""
    refusing = RepeatingServer("i-r1")
    refusing.named = "none"
    desks = [refusing, FakeReplica("127.0.0.1", "i-d2", "desk")]

    async def scenario(fleet):
        # Which server is asked first is drawn for each request.
        for number in range(60):
            request_id = f"id-{number}"
            assert await call_and_check(fleet, desks, "/orders/1", request_id) == 200
            if number >= 5 and refusing.taken:
                break
        assert refusing.taken
        # A repeated one has no place where another request's answer is expected.
        assert not refusing.runs

    run_with_fleet(scenario, tmp_path, desks=desks)


@pytest.mark.parametrize("status", PROMISES)
def test_order_that_ran_is_not_said_to_have_not_run(tmp_path, status):
    """Without its word that it has not run the order, a server may have run it."""
    desks = [RepeatingServer(f"i-r{number}") for number in (1, 2)]
    signature = b"X-Response-Signature: s\r\n"

    async def scenario(fleet):
        for desk in desks:
            desk.status, desk.mark = status, signature
        answer, headers, _ = await fleet.call("/orders/1")
        taken = sum(len(desk.taken) for desk in desks)
        if status == 421:
            # Another server than the one meant does not run the request.
            assert (answer, taken > 1) == (503, True)
        else:
            assert (answer, taken) == (502, 1)
        assert "x-response-signature" not in headers

    run_with_fleet(scenario, tmp_path, desks=desks)


def test_old_answer_is_not_taken_for_the_answer_to_an_order_to_an_engine(tmp_path):
    """Orders went over the connection of the reports, and bear no identifier."""
    told, taken = count_orders(tmp_path)
    assert taken
    assert (told["accepted"], told["done"]) == (taken, 0)


def test_report_of_before_an_order_is_not_taken_for_a_new_one(tmp_path):
    """The order after it was refused, since it named an old count of orders."""
    told, _ = count_orders(tmp_path)
    assert told["conflict"] == 0


def count_orders(tmp_path):
    """Have models loaded; return orders by outcome, and those that engines took."""
    engines = [RepeatingEngine("127.0.0.1", f"i-e{n}", "llm", ["m0"]) for n in (1, 2)]
    told = {}

    async def scenario(fleet):
        for number, model in enumerate(["m1", "m2", "m3", "m1/a1", "m2/a1"]):
            name = ("x-model", model)
            await fleet.call("/plan/x", name, request_id=f"id-{number}")
        agents = [kernel.find("process").metrics for kernel in fleet.kernels[-2:]]
        for outcome in ("accepted", "done", "conflict"):
            told[outcome] = sum(
                metrics.counter_value("engine_orders_total", outcome=outcome)
                for metrics in agents
            )
        assert not any(engine.is_overfull for engine in engines)

    run_with_fleet(scenario, tmp_path, engines=engines)
    return told, sum(len(engine.orders) for engine in engines)


def test_page_of_the_server_list_is_not_taken_for_the_next_one(tmp_path):
    """A page that came once more made the list hold servers twice, or not at all."""
    servers = RepeatingList("127.0.0.1")

    async def scenario(fleet):
        pages = len(servers.replicas)
        await wait_until(lambda: len(servers.pages) >= 4 * pages)
        whole = servers.pages[-3 * pages :]
        assert sorted(whole) == sorted([*range(pages)] * 3)

    run_with_fleet(scenario, tmp_path, list=servers)


AGENT = """\
node: agent-1
role: agent
host: host-1
zone: zone-a
control: [{{name: c, address: "127.0.0.1:7100", peer_address: "127.0.0.1:7200"}}]
listen: "127.0.0.1:7300"
backends: [{{name: b, pool: p, address: "{address}", dialect: plain}}]
"""


def test_agent_passes_on_the_answer_to_the_call(tmp_path):
    """A repeatable call got the answer to the call before it on the connection."""

    async def scenario():
        service = RepeatingService("127.0.0.1")
        await service.start()
        text = AGENT.format(address=service.address)
        backends = build_kernel(parse_settings(text, "agent.yaml")).find("backends")
        peer = CollectingPeer()
        for target in ("/1", "/2", "/3"):
            head = (target, 1, "b", "w", "", "", "GET", target, [], b"")
            call = ForwardCall(*head, 5_000, 1, "normal", True, True, "")
            call = AgentCall(peer, call, backends.backends["b"])
            await backends._exchange(call, Span("backend", ""))
        backends._send_batches(backends._coalescer.flush_all())
        chunks = [m for m in peer.messages if isinstance(m, AnswerChunk)]
        answers = [(chunk.request_id, chunk.data.decode()) for chunk in chunks]
        assert answers == [("/1", "/1"), ("/2", "/2"), ("/3", "/3")]
        await service.stop()

    asyncio.run(scenario())


def test_stream_after_a_repeated_one_is_its_own(tmp_path):
    """It was cut off or failed, though the engine had run it and sent it whole."""
    engines = [RepeatingEngine("127.0.0.1", f"i-e{n}", "llm", ["m0"]) for n in (1, 2)]

    async def scenario(fleet):
        for number in range(6):
            request_id = f"id-{number}"
            status, headers, body = await fleet.call(
                "/plan/x", ("x-model", "m0"), request_id=request_id
            )
            assert (status, body) == (200, stream_body())
            assert headers["x-attempt-id"] == request_id
            assert fleet.runs(request_id) == 1

    run_with_fleet(scenario, tmp_path, engines=engines)
