"""An agent that restarts beside a control host that has missed changes.

Two cases share it: replicas that don't check fencing tokens, and replicas that do.
"""

import asyncio
import contextlib
import json
import signal
import time

import standins

__all__ = ["Engine", "play"]

_A, _B, _C = "127.0.0.61", "127.0.0.62", "127.0.0.63"
_LIST, _ENTRY, _SIDE = "127.0.0.60", "127.0.0.64", "127.0.0.65"
_MODEL = "daka510000"
_INSTANCE = "i-7f3a91c2"
_RECOVERY_S = 12.0
# A control host is frozen for no longer than 4 s in all, and others are away for 2 s.
_MISSED_S = 3.0
_AWAY_S = 2.0
_DEADLINE_S = 4.0
_ADAPTER_LOAD_S = 0.014
_ADAPTER_SLOTS = 8


def _configuration(version: int) -> dict:
    model = {
        "name": _MODEL,
        "weightsMb": 65100.0,
        "loadS": 6.0,
        "adapters": 24,
        "adapterMb": 12.0,
        "warmS": 0.57,
        "diskS": 1.2,
    }
    engine = {
        "slots": 48,
        "kvCapacity": 121792,
        "kvTokenBytes": 163840,
        "weightsMb": 160000.0,
        "adapterSlots": _ADAPTER_SLOTS,
        "loadsPerS": 3.2,
        "models": [model],
    }
    route = {
        "name": "r-1",
        "host": "shop.example",
        "pathPrefix": "/notes/",
        "routeType": "stream",
        "timeoutMs": int(_DEADLINE_S * 1000),
        "targetLatencyMs": 500,
        "priority": 0,
        "service": "writers",
        "maxAttempts": 2,
        "public": True,
        "sticky": True,
        "resumable": True,
        "gapTargetMs": 150,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [
            {
                "name": "writers",
                "healthCheck": "/health",
                "maxConns": 300,
                "engine": engine,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [],
    }


class Engine:
    """A model replica.

    Attributes:
        asked: Number of orders that it was given.
        lower: Number of orders with a lower fencing token than one before.
    """

    def __init__(
        self, recorder: standins.Recorder, address: str, *, checks_fences: bool
    ) -> None:
        self._recorder = recorder
        self._checks_fences = checks_fences
        self.address = address
        self._born = int(time.time() * 1000)
        self._adapters: set[str] = set()
        self._incoming: set[str] = set()
        self._fence = 0
        self._orders = 0
        self.asked = 0
        self.lower = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        ip, _, port = self.address.partition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def stop(self) -> None:
        """Close the listening socket."""
        if self._server is not None:
            self._server.close()

    def describe(self) -> dict:
        """Return its entry on the platform's list."""
        return {
            "id": _INSTANCE,
            "service": "writers",
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 48,
            "state": "ready",
            "coldRemainingMs": 0,
            "born": self._born,
            "models": self._list_models(),
        }

    def _list_models(self) -> list[dict]:
        adapters = sorted(self._adapters)
        return [{"name": _MODEL, "version": 1, "adapters": adapters}]

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                fields = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:])
                }
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                await self._answer(lines[0].split()[1], fields, body, writer)
        writer.close()

    async def _answer(self, path: str, fields: dict, body: bytes, writer) -> None:
        if path == "/report":
            self._write_json(writer, 200, self._report())
        elif path == "/order":
            self._write_json(writer, self._take_order(json.loads(body)), {})
        else:
            await self._run(fields, writer)
        await writer.drain()

    def _write_json(self, writer, status: int, content: dict) -> None:
        data = json.dumps(content).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\n\r\n" % (status, len(data)) + data
        )

    def _report(self) -> dict:
        return {
            "stage": "both",
            "models": self._list_models(),
            "busy": False,
            "seq": self._orders,
            "queued": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
            "born": self._born,
            "atHand": {"inMemory": [_MODEL], "onDisk": [_MODEL]},
            "incoming": [f"{_MODEL}/{name}@1" for name in sorted(self._incoming)],
        }

    def _take_order(self, order: dict) -> int:
        self.asked += 1
        status = self._judge(order)
        self._recorder.note(
            f"order to {order['op']} {order['model']}/{order.get('adapter', '')} "
            f"with fence {order['fence']}: {status}"
        )
        return status

    def _judge(self, order: dict) -> int:
        if order["fence"] < self._fence:
            self.lower += 1
            if self._checks_fences:
                return 412
        self._fence = max(self._fence, order["fence"])
        if order["expected"] != self._orders:
            return 409
        adapter = order.get("adapter", "")
        present = self._adapters | self._incoming
        if (order["op"] == "load") == (adapter in present):
            return 200
        self._orders += 1
        if order["op"] == "unload":
            self._adapters.discard(adapter)
            return 200
        if len(present) >= _ADAPTER_SLOTS:
            return 400
        self._incoming.add(adapter)
        asyncio.get_running_loop().call_later(_ADAPTER_LOAD_S, self._arrive, adapter)
        return 202

    def _arrive(self, adapter: str) -> None:
        self._incoming.discard(adapter)
        self._adapters.add(adapter)

    async def _run(self, fields: dict, writer) -> None:
        model, _, adapter = fields.get("x-model", "").partition("/")
        head = f"X-Attempt-Id: {fields.get('x-attempt-id', '')}\r\n"
        is_here = model == _MODEL and (not adapter or adapter in self._adapters)
        if fields.get("x-expect-instance", _INSTANCE) != _INSTANCE or not is_here:
            text = f"HTTP/1.1 421 X\r\n{head}Content-Length: 0\r\n\r\n"
            writer.write(text.encode())
            return
        events = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))
        text = (
            f"HTTP/1.1 200 OK\r\n{head}X-Response-Signature: 3e1b.07\r\n"
            "Content-Type: text/event-stream\r\n"
            f"Content-Length: {len(events)}\r\n\r\n"
        )
        writer.write(text.encode() + events)


async def _ask(fleet: standins.Deployment, adapter: str, number: int) -> int:
    """Send a client's request; return the status, 0 for no answer."""
    address = fleet.front_address(_ENTRY)
    ip, _, port = address.partition(":")
    request = (
        "POST /notes/1 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n"
        f"X-Attempt-Id: 9c41d07be2a3{number:04x}\r\nX-Model: {_MODEL}/{adapter}\r\n"
        f"X-Deadline-Ms: {int(_DEADLINE_S * 1000)}\r\nX-Token-Counts: 60,40\r\n"
        f"X-Prompt-Prefix: 5c1e07a2:40,{number:08x}:20\r\nContent-Length: 2\r\n\r\n{{}}"
    )
    status = 0
    with contextlib.suppress(OSError, TimeoutError, IndexError, ValueError):
        async with asyncio.timeout(_DEADLINE_S + 1.0):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(request.encode())
            status = int((await reader.read()).split()[1])
            writer.close()
    fleet.recorder.note(f"request for adapter {adapter}: {status or 'no answer'}")
    return status


async def _start(fleet: standins.Deployment) -> bool:
    for ip, zone in ((_A, "zone-b"), (_B, "zone-c"), (_C, "zone-a")):
        await fleet.add(ip, "control", zone=zone).start(is_first=True)
    await fleet.add(_ENTRY, "entry").start(is_first=True)
    app = fleet.list.instances[0]["address"]
    await fleet.add(_SIDE, "agent", app=app).start(is_first=True)
    if not await fleet.put(_configuration(1), [_A, _B, _C], 30.0):
        return False
    if not await fleet.wait_ready(_ENTRY):
        return False
    deadline = time.monotonic() + 15.0
    while time.monotonic() < deadline:
        if await _ask(fleet, "a1", 1) == 200:
            return True
        await asyncio.sleep(0.5)
    return False


async def _disturb(recorder: standins.Recorder, fleet: standins.Deployment) -> None:
    """Let one control host miss changes; then kill the others and the agent."""
    if standins.is_troubled():
        recorder.note(f"{_C} freezes")
        fleet.daemons[_C].send_signal(signal.SIGSTOP)
    await asyncio.sleep(_MISSED_S)
    for version in (2, 3, 4):
        await fleet.put(_configuration(version), [_A, _B])
    await asyncio.sleep(0.2)
    await _ask(fleet, "a2", 2)
    if not standins.is_troubled():
        return
    recorder.note(f"{_A}, {_B} and the agent are killed at the same moment")
    for ip in (_A, _B, _SIDE):
        fleet.daemons[ip].send_signal(signal.SIGKILL)
    back_at = time.monotonic() + _AWAY_S
    recorder.note(f"{_C} wakes")
    fleet.daemons[_C].send_signal(signal.SIGCONT)
    await asyncio.gather(*(fleet.daemons[ip].process.wait() for ip in (_A, _B, _SIDE)))
    await asyncio.sleep(0.2)
    await fleet.daemons[_SIDE].start()
    recorder.note("the agent starts again")
    number = 16
    asking = []
    while time.monotonic() < back_at:
        number += 1
        asking.append(asyncio.create_task(_ask(fleet, f"a{3 + number % 3}", number)))
        await asyncio.sleep(0.1)
    for ip in (_A, _B):
        await fleet.daemons[ip].start()
    recorder.note(f"{_A} and {_B} start again, with their disks")
    await asyncio.gather(*asking)


async def _judge_orders(recorder: standins.Recorder, engine: Engine) -> int:
    recorder.note(f"orders with a lower fencing token: {engine.lower}")
    return standins.BROKEN if engine.lower else standins.HELD


async def _judge_service(
    recorder: standins.Recorder, fleet: standins.Deployment, engine: Engine
) -> int:
    """Ask for adapters that are not loaded, long after all are back."""
    await asyncio.sleep(_RECOVERY_S + 1.0)
    recorder.note(f"all have been back for over {_RECOVERY_S:g} s")
    asked_before = engine.asked
    statuses = []
    for number in range(12):
        adapter = f"a{6 + number % 4}"
        statuses.append(await _ask(fleet, adapter, 256 + number))
        await asyncio.sleep(0.5)
    served = statuses.count(200)
    recorder.note(f"served {served} of {len(statuses)} requests")
    recorder.note(f"orders since then: {engine.asked - asked_before}")
    return standins.BROKEN if 4 * served < len(statuses) else standins.HELD


async def play(recorder: standins.Recorder, *, checks_fences: bool) -> int:
    """Run the case and return its outcome.

    Where replicas check fences, it is judged by the requests that are served after the
    recovery, and else by the orders.
    """
    fleet = standins.Deployment(recorder, [_A, _B, _C], [_LIST, _ENTRY, _SIDE])
    address = f"{_SIDE}:{fleet.base + 15}"
    engine = Engine(recorder, address, checks_fences=checks_fences)
    try:
        await fleet.list.start()
        await engine.start()
        fleet.list.instances = [engine.describe()]
        if not await _start(fleet):
            return standins.NOT_RUN
        await _disturb(recorder, fleet)
        if checks_fences:
            return await _judge_service(recorder, fleet, engine)
        return await _judge_orders(recorder, engine)
    finally:
        engine.stop()
        await fleet.close()
