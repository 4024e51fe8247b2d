"""Stand-ins for the backend servers and for the platform's list of them."""

import asyncio
import contextlib
import itertools
import json
import time
from collections.abc import Callable
from typing import Any

from .record import Record
from .settings import DISK_MB, HOST_MB
from .web import Message, Refused, read_message, render

__all__ = ["Backend", "Engine", "Platform"]

_numbers = itertools.count(1)


class HttpPeer:
    """Listens at one address and answers each request by :meth:`answer`."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Close all sockets, as a process that ends does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if not await self.answer(request, reader, writer):
                    return
        except (Refused, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; return whether the connection is kept."""
        raise NotImplementedError


class Backend(HttpPeer):
    """A plain backend server; runs each request for ``work_s``.

    Attributes:
        is_listed: Whether the platform's list names it.
        state: Its state on the list.
        hook: Called with each request before it runs; what it returns is sent instead.
    """

    def __init__(
        self,
        record: Record,
        address: str,
        service: str,
        zone: str,
        slots: int = 16,
        work_s: float = 0.05,
    ) -> None:
        super().__init__(address)
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.is_listed = True
        self.hook: Callable[[Message, asyncio.StreamWriter], Any] | None = None
        self.running = 0
        self.born = int(time.time() * 1000)
        self.server_id = f"i-{next(_numbers):08x}"

    def restart(self, *, keeps_id: bool = False) -> None:
        """Begin another life."""
        self.born = int(time.time() * 1000)
        if not keeps_id:
            self.server_id = f"i-{next(_numbers):08x}"

    def describe(self) -> dict[str, Any]:
        """Return the entry on the platform's list."""
        return {
            "id": self.server_id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "born": self.born,
        }

    def sign(self, request: Message) -> dict[str, str]:
        """Return the headers that each answer bears."""
        head = {
            "X-Attempt-Id": request.headers.get("x-attempt-id", ""),
            "X-Instance-Id": self.server_id,
            "X-Server-Load": f"{self.running},0,{self.slots}",
        }
        if self.state == "draining":
            head["Server-Leaving"] = "1"
        return head

    async def answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request as a plain server does."""
        if request.first[1] == "/health":
            head = {"X-Instance-Id": self.server_id}
            writer.write(render("HTTP/1.1 200 OK", head))
            return True
        expected = request.headers.get("x-expect-instance", self.server_id)
        if expected != self.server_id:
            head = {"X-Instance-Id": self.server_id, "X-Not-Executed": "1"}
            head["X-Attempt-Id"] = request.headers.get("x-attempt-id", "")
            writer.write(render("HTTP/1.1 421 Misdirected Request", head))
            return True
        self.record.note(
            "arrive",
            id=request.headers.get("x-attempt-id"),
            server=self.server_id,
            headers=request.headers,
            path=request.first[1],
        )
        if self.hook is not None:
            outcome = self.hook(request, writer)
            if outcome is not None:
                return bool(await outcome)
        return await self.run(request, reader, writer)

    async def run(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request to its end."""
        name = request.headers.get("x-attempt-id")
        self.running += 1
        self.record.note("run", id=name, server=self.server_id, service=self.service)
        outcome = "cut"
        try:
            await asyncio.sleep(self.work_s)
            body = json.dumps({"id": name, "server": self.server_id}).encode()
            head = {**self.sign(request), "X-Response-Signature": f"s.{name}"}
            writer.write(render("HTTP/1.1 200 OK", head, body))
            await writer.drain()
            outcome = "whole"
        finally:
            self.running -= 1
            self.record.note("ran", id=name, server=self.server_id, outcome=outcome)
        return True


class Engine(Backend):
    """A model server: loads models by order and answers with streams of events.

    Attributes:
        events: Number of events of a stream.
        gap_s: Seconds between them.
        order_hook: Called with each order; what it returns is sent instead.
    """

    def __init__(
        self,
        record: Record,
        address: str,
        service: str,
        zone: str,
        models: list[dict[str, Any]],
        weights_mb: float,
        adapter_slots: int = 8,
        held: tuple[str, ...] = (),
        slots: int = 16,
    ) -> None:
        super().__init__(record, address, service, zone, slots)
        self.models = {model["name"]: model for model in models}
        self.weights_mb = weights_mb
        self.adapter_slots = adapter_slots
        self.held: dict[str, list[str]] = {name: [] for name in held}
        # The copies of weights, the most recently used last.
        self.on_disk: list[str] = list(held)
        self.in_memory: list[str] = []
        self.busy = False
        self.seq = 0
        self.fence = -1
        self.checks_fences = False
        self.events = 10
        self.gap_s = 0.05
        self.order_hook: Callable[[dict[str, Any]], Any] | None = None
        self._loading: asyncio.Task[None] | None = None

    def restart(self, *, keeps_id: bool = False) -> None:
        """Begin another life, empty but for the copies on the disk."""
        super().restart(keeps_id=keeps_id)
        if self._loading is not None:
            self._loading.cancel()
        self.held = {}
        self.in_memory = []
        self.busy = False
        self.seq = 0
        self.fence = -1

    def list_models(self) -> list[dict[str, Any]]:
        """Return what the engine holds."""
        return [
            {"name": name, "version": 1, "adapters": list(adapters)}
            for name, adapters in self.held.items()
        ]

    def describe(self) -> dict[str, Any]:
        """Return the entry on the platform's list."""
        return {**super().describe(), "stage": "both", "models": self.list_models()}

    def report(self) -> dict[str, Any]:
        """Return the answer to ``GET /report``."""
        return {
            "stage": "both",
            "models": self.list_models(),
            "busy": self.busy,
            "seq": self.seq,
            "queued": 0,
            "running": self.running,
            "kvUsed": 100 * self.running,
            "kvTotal": 90_000,
            "handles": 0,
            "born": self.born,
            "state": self.state,
            "atHand": {
                "inMemory": sorted(self.in_memory),
                "onDisk": sorted(self.on_disk),
            },
            "incoming": [],
        }

    async def answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a report, an order or a request."""
        if request.first[1] == "/report":
            body = json.dumps(self.report()).encode()
            head = {"Content-Type": "application/json"}
            writer.write(render("HTTP/1.1 200 OK", head, body))
            return True
        if request.first[1] == "/order":
            await self._take_order(request, writer)
            return True
        return await super().answer(request, reader, writer)

    async def _take_order(self, request: Message, writer: asyncio.StreamWriter) -> None:
        order = json.loads(request.body)
        self.record.note("order", server=self.server_id, seq=self.seq, **order)
        expected = request.headers.get("x-expect-instance", self.server_id)
        status = 421
        if expected == self.server_id:
            status = None
            if self.order_hook is not None:
                status = self.order_hook(order)
            if status is None:
                status = self.carry_out(order)
        self.record.note("ordered", server=self.server_id, status=status)
        if status:
            writer.write(render(f"HTTP/1.1 {status} X", {}))

    def carry_out(self, order: dict[str, Any]) -> int:
        """Carry an order out; return the status of its answer."""
        if self.checks_fences and order["fence"] < self.fence:
            return 412
        if order.get("expected", self.seq) != self.seq or self.busy:
            return 409
        self.fence = max(self.fence, order["fence"])
        name, adapter = order["model"], order.get("adapter")
        if name not in self.models:
            return 400
        self.seq += 1
        if adapter:
            adapters = self.held.setdefault(name, [])
            if order["op"] == "load":
                adapters.append(adapter)
            elif adapter in adapters:
                adapters.remove(adapter)
            self.check_limits()
            return 202
        self.busy = True
        self._loading = asyncio.ensure_future(self._change(order["op"], name))
        return 202

    def used_mb(self, more: tuple[str, ...] = ()) -> float:
        """Return the memory of what is held, and of further models."""
        names = [*self.held, *more]
        adapters = sum(
            self.models[name]["adapterMb"] * len(held)
            for name, held in self.held.items()
        )
        return sum(self.models[name]["weightsMb"] for name in names) + adapters

    def check_limits(self, more: tuple[str, ...] = ()) -> None:
        """Note an order that asks for more than the engine can hold."""
        count = sum(len(held) for held in self.held.values())
        if self.used_mb(more) > self.weights_mb or count > self.adapter_slots:
            self.record.note("overfull", server=self.server_id, held=list(self.held))

    async def _change(self, op: str, name: str) -> None:
        model = self.models[name]
        if op == "unload":
            await asyncio.sleep(0.05)
            self.held.pop(name, None)
        else:
            self.check_limits((name,) if name not in self.held else ())
            source = "loadS"
            if name in self.in_memory:
                source = "warmS"
            elif name in self.on_disk:
                source = "diskS"
            await asyncio.sleep(model[source])
            self.held.setdefault(name, [])
            self._keep(self.on_disk, name, DISK_MB)
            self._keep(self.in_memory, name, HOST_MB)
        self.busy = False

    def _keep(self, copies: list[str], name: str, size_mb: float) -> None:
        """Add a copy of weights; the least recently used ones make room."""
        if name in copies:
            copies.remove(name)
        copies.append(name)
        while sum(self.models[each]["weightsMb"] for each in copies) > size_mb:
            copies.pop(0)

    async def run(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer with a stream of events."""
        name = request.headers.get("x-attempt-id")
        model, _, adapter = request.headers.get("x-model", "").partition("/")
        if model not in self.held or (adapter and adapter not in self.held[model]):
            head = {**self.sign(request), "X-Not-Executed": "1"}
            writer.write(render("HTTP/1.1 421 Misdirected Request", head))
            return True
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.running += 1
        self.record.note("run", id=name, server=self.server_id, first=first)
        outcome = "cut"
        gone = asyncio.ensure_future(reader.read(1))
        try:
            lines = [f"{k}: {v}" for k, v in self.sign(request).items()]
            lines += [f"X-Response-Signature: s.{name}", "X-Weight-Versions: 1"]
            lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            head = "\r\n".join(["HTTP/1.1 200 OK", *lines]) + "\r\n\r\n"
            writer.write(head.encode())
            for number in range(first, self.events + 1):
                await asyncio.wait((gone,), timeout=self.gap_s)
                if gone.done():
                    return False
                data = f"id: {number}\ndata: {name} {number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            outcome = "whole"
        finally:
            gone.cancel()
            self.running -= 1
            self.record.note("ran", id=name, server=self.server_id, outcome=outcome)
        # A byte that follows belongs to the next request; a connection is not kept.
        return False


class Platform(HttpPeer):
    """The platform's list of backend servers, which lags by ``lag_s``."""

    def __init__(self, address: str, lag_s: float = 0.8) -> None:
        super().__init__(address)
        self.backends: list[Backend] = []
        # Entries of another writer, which follow the platform's own.
        self.others: list[dict[str, Any]] = []
        self.unreadable: list[bytes] = []
        self.lag_s = lag_s
        self._shown: list[dict[str, Any]] = []
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and keep the list up to date."""
        self._shown = self._describe()
        self._task = asyncio.ensure_future(self._refresh())
        await super().start()

    async def stop(self) -> None:
        """Close all sockets."""
        if self._task is not None:
            self._task.cancel()
        await super().stop()

    def _describe(self) -> list[dict[str, Any]]:
        own = [each.describe() for each in self.backends if each.is_listed]
        return own + self.others

    async def _refresh(self) -> None:
        while True:
            shown = self._describe()
            await asyncio.sleep(self.lag_s)
            self._shown = shown

    async def wait_shown(self, server_id: str, state: str) -> float:
        """Wait until the list shows a server's state; return when it did."""
        while not any(
            entry["id"] == server_id and entry["state"] == state
            for entry in self._shown
        ):
            await asyncio.sleep(0.005)
        return self.backends[0].record.now()

    async def answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer with the whole list on one page."""
        entries = [json.dumps(entry).encode() for entry in self._shown]
        listed = b", ".join(entries + self.unreadable)
        body = b'{"instances": [' + listed + b'], "nextToken": null}'
        head = {"Content-Type": "application/json"}
        writer.write(render("HTTP/1.1 200 OK", head, body))
        return True
