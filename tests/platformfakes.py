"""Stand-ins for the platform: its list of servers, its replicas and its operators."""

import asyncio
import json
import socket
import struct

from jasminewharf.exceptions import Refusal
from jasminewharf.interfaces.http import HttpServer
from jasminewharf.interfaces.refusals import render_refusal
from jasminewharf.services.client import HttpClient
from jasminewharf.settings import LimitSettings

JSON = [("content-type", "application/json")]


class FakeHttp:
    """An HTTP server on a loopback address."""

    def __init__(self, ip, port=0):
        self.ip = ip
        self.port = port
        self.address = ""
        # Most servers drop a request as soon as its connection closes.
        self._http = HttpServer(
            self._answer, render_refusal, LimitSettings(), half_close_s=0.0
        )

    async def start(self):
        self.address = await self._http.listen(self.ip, self.port)

    async def stop(self):
        await self._http.close()

    @property
    def connections(self):
        """The number of open connections."""
        return self._http.connection_count

    async def _answer(self, request, responder):
        try:
            await self.answer(request, responder)
        except Refusal as refusal:
            responder.respond(refusal.status, JSON, b"{}")

    async def answer(self, request, responder):
        raise AssertionError(request)


class FakeList(FakeHttp):
    """The platform's list of servers; ``extra`` are entries of another writer."""

    def __init__(self, ip):
        super().__init__(ip)
        self.replicas = []
        self.extra = []
        self.reads = 0

    async def answer(self, request, responder):
        self.reads += 1
        entries = [*self.extra, *(replica.describe() for replica in self.replicas)]
        body = json.dumps({"instances": entries, "nextToken": None}).encode()
        responder.respond(200, JSON, body)


class FakeReplica(FakeHttp):
    """A replica of a service; an engine if it is given models.

    Attributes:
        runs: Identifiers of the requests that it ran.
        heads: Headers of every request that it was sent.
        targets: Path and query of each of them.
        fails_next: Faults for the next requests: full, mute, foreign, short, break
            or error; or a function that answers, see :func:`answer_raw`.
        pause: What a full server's Retry-After says; none if empty.
        says_leaving: Whether its answers say that it is about to stop.
        limit: The requests a second that its answers name; none if empty.
        kv_used, kv_total: Tokens in its memory, and the memory for tokens.
        cold_listed, cold_reported, cold_header: What the list, its report and its
            answers say of how long it stays cold.
        load: The load that its answers and its report tell.
        answer_s: Time to answer a request of a plain service.
        arrivals: When each request of a caller came, on the event loop's clock.
        reports: How often its report was read.
        orders: Orders that it accepted.
    """

    def __init__(self, ip, name, service, models=None, places=2):
        super().__init__(ip)
        self.name = name
        self.service = service
        self.models = None if models is None else {model: set() for model in models}
        self.places = places
        self.on_disk = set()
        self.state = "ready"
        self.zone = "zone-a"
        self.born = 1_000
        self.runs = []
        self.heads = []
        self.targets = []
        self.fails_next = []
        self.orders = []
        self.is_overfull = False
        self.load_s = 0.05
        self.busy = False
        self.event_pause_s = 0.005
        self.pause = ""
        self.says_leaving = False
        self.limit = ""
        self.load = "1,0,8"
        self.answer_s = 0.0
        self.kv_used = 0
        self.kv_total = 90_000
        self.cold_listed = 0
        self.cold_reported = None
        self.cold_header = ""
        self.arrivals = []
        self.reports = 0
        self.refuses_orders = False
        self.orders_refused = 0
        self.least_fence = 0

    def describe(self):
        entry = {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": self.cold_listed,
            "born": self.born,
        }
        return {**entry, "models": self._list_models()}

    def _list_models(self):
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in (self.models or {}).items()
        ]

    async def answer(self, request, responder):
        path = request.target.partition("?")[0]
        if path == "/report":
            self._report(responder)
        elif path == "/order":
            self._take_order(json.loads(request.body), responder)
        else:
            await self._serve(request, responder)

    def _report(self, responder):
        self.reports += 1
        report = {
            "stage": "both",
            "models": self._list_models(),
            "busy": self.busy,
            "seq": len(self.orders),
            "queued": 0,
            "running": 0,
            "kvUsed": self.kv_used,
            "kvTotal": self.kv_total,
            "born": self.born,
            "atHand": {"inMemory": [], "onDisk": sorted(self.on_disk)},
            "incoming": [],
        }
        if self.cold_reported is not None:
            report["coldRemainingMs"] = self.cold_reported
        head = [*JSON, ("x-server-load", self.load)]
        responder.respond(200, head, json.dumps(report).encode())

    def _take_order(self, order, responder):
        if self.refuses_orders:
            self.orders_refused += 1
            responder.respond(503, [*JSON, ("retry-after", self.pause)], b"{}")
            return
        if order["fence"] < self.least_fence:
            responder.respond(412, JSON, b"{}")
            return
        if self.busy or order["expected"] != len(self.orders):
            responder.respond(409, JSON, b"{}")
            return
        self.orders.append(order)
        responder.respond(202, JSON, b"{}")
        self._work = asyncio.create_task(self._carry_out(order))

    async def _carry_out(self, order):
        adapter = order.get("adapter")
        self.busy = not adapter
        await asyncio.sleep(0.005 if adapter else self.load_s)
        if adapter:
            adapters = self.models[order["model"]]
            (adapters.add if order["op"] == "load" else adapters.discard)(adapter)
        elif order["op"] == "load":
            self.models[order["model"]] = set()
            self.on_disk.add(order["model"])
            self.is_overfull = self.is_overfull or len(self.models) > self.places
        else:
            del self.models[order["model"]]
        self.busy = False

    async def _serve(self, request, responder):
        fields = dict(request.headers)
        self.heads.append(fields)
        self.targets.append(request.target)
        self.arrivals.append(asyncio.get_running_loop().time())
        fault = self.fails_next.pop(0) if self.fails_next else ""
        request_id = fields.get("x-attempt-id", "")
        head = [("x-attempt-id", request_id), ("x-server-load", self.load)]
        if self.says_leaving:
            head.append(("server-leaving", "1"))
        if self.limit:
            head.append(("server-limit", self.limit))
        if self.cold_header:
            head.append(("x-cold-ms", self.cold_header))
        model, _, adapter = fields.get("x-model", "").partition("/")
        is_absent = self.models is not None and (
            model not in self.models or (adapter and adapter not in self.models[model])
        )
        if fields.get("x-expect-instance", self.name) != self.name or is_absent:
            responder.respond(421, head, b"")
            return
        if fault == "full":
            pause = [("retry-after", self.pause)] if self.pause else []
            responder.respond(503, [*head, ("x-not-executed", "1"), *pause], b"")
            return
        self.runs.append(request_id)
        signed = [*head, ("x-response-signature", f"{self.name}.{request_id}")]
        if callable(fault):
            await fault(responder, signed)
        elif fault == "mute":
            await asyncio.sleep(30)
        elif fault == "error":
            responder.respond(500, signed, b"failed")
        elif fault == "foreign":
            responder.respond(200, [*signed, ("x-attempt-id", "other")][1:], b"no")
        elif fault == "short":
            responder.start(200, [*signed, ("content-length", "100")])
            await responder.write(b"half")
            responder.cut()
        elif self.models is None:
            await asyncio.sleep(self.answer_s)
            responder.respond(200, signed, f"{self.name}:{request_id}".encode())
        else:
            await self._stream(fields, signed, responder, fault)

    async def _stream(self, fields, signed, responder, fault):
        first = int(fields.get("last-event-id", 0)) + 1
        responder.start(200, [*signed, ("content-type", "text/event-stream")])
        for number in range(first, 9):
            if fault == "break" and number == 4:
                await responder.write(b"id: 4\nda")
                responder.cut()
                return
            if fault == "drip" and number == 4:
                # Bytes of an event that never ends.
                for _ in range(100):
                    await responder.write(b"x")
                    await asyncio.sleep(0.2)
            await responder.write(f"id: {number}\ndata: x{number}\n\n".encode())
            await asyncio.sleep(self.event_pause_s)
        responder.finish()


def answer_raw(*pieces, end="close"):
    """Return a fault that writes bytes, ``%s`` in them being the answer's own headers.

    The connection then ends with a close, a reset, or is kept ("keep").
    """

    async def answer(responder, signed):
        connection = responder._connection
        fields = "".join(f"{name}: {value}\r\n" for name, value in signed).encode()
        for piece in pieces:
            connection._write(piece.replace(b"%s", fields))
            await asyncio.sleep(0.02)
        if end == "keep":
            await asyncio.sleep(30)
        elif end == "reset":
            reset(connection._transport)

    return answer


def reset(transport):
    """End a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    link = transport.get_extra_info("socket")
    link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


def stream_body(first=1):
    """Return the whole body of a fake engine's stream."""
    return b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(first, 9))


async def send(address, method, target, headers, body=b""):
    """Send one request; return status, headers and body."""
    client = HttpClient(address)
    try:
        response = await client.open(method, target, headers, body)
        return response.status, dict(response.headers), await response.read()
    finally:
        client.close()
