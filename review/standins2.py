"""Stand-ins for clients, replicas and the platform, and a small deployment of them.

Everything runs on loopback addresses. The project's programs are started with the
commands of the deploy file; what this module plays uses the standard library alone.
"""

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
HOST = "a.example"
KEY = "key-1"
DESK = "desk"
ENGINE = "llm"
# Below the range from which the kernel takes ports for outgoing connections.
_PORTS = range(10_000, 32_000, 20)
_OPERATOR = 8
_READY = 7
_FRONT = 9
# Of a case, with its end.
_LONGEST_S = 110.0
_HELD = "held"
_BROKEN = "broken"
_UNPLAYED = "could not run"
_JSON = [("Content-Type", "application/json")]
EXIT_CODES = {_HELD: 0, _BROKEN: 1, _UNPLAYED: 2}


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def reserve_ports(network):
    """Return a free first port and a socket that marks it as taken."""
    start = os.getpid() * 7 % len(_PORTS)
    for base in (*_PORTS[start:], *_PORTS[:start]):
        mark = socket.socket()
        try:
            mark.bind((f"127.0.{network}.250", base))
        except OSError:
            mark.close()
            continue
        return base, mark
    raise OSError("no free ports")


def build_route(name, kind, service, **changes):
    """Return a route of a configuration."""
    route = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 5_000,
        "targetLatencyMs": 500,
        "gapTargetMs": 150,
        "service": service,
        "maxAttempts": 1,
    }
    return {**route, **changes}


def build_configuration(version=1, **changes):
    """Return a configuration of two services, as the operator sends it."""
    models = [
        {"name": f"m{n}", "weightsMb": 70_000, "loadS": 0.2, "diskS": 0.1, "warmS": 0.1}
        for n in range(2)
    ]
    engine = {
        "slots": 8,
        "weightsMb": 150_000,
        "adapterSlots": 2,
        "loadsPerS": 4,
        "models": models,
    }
    body = {
        "version": version,
        "routes": [
            build_route("chat", "stream", ENGINE, resumable=True, maxAttempts=2),
            build_route("plan", "stream", ENGINE, resumable=False),
            build_route("orders", "unsafe", DESK),
            build_route("status", "safe", DESK, maxAttempts=2),
        ],
        "services": [{"name": ENGINE, "engine": engine}, {"name": DESK}],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {
                "name": "guild",
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 10,
                "ratePerS": 100_000,
                "burst": 100_000,
            }
        ],
    }
    return {**body, **changes}


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("", encoding="utf-8")
        self._begun = time.monotonic()

    def note(self, what, **fields):
        """Write a line; times are seconds since the script began."""
        at = time.monotonic() - self._begun
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{at:8.3f} {what} {text}".rstrip() + "\n")


class Message:
    """A request or an answer: its first line, headers and body."""

    def __init__(self, line, headers, body=b"", is_whole=True):
        self.line = line
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    @property
    def status(self):
        """The status of an answer."""
        return int(self.line.split(" ", 2)[1])

    @property
    def fields(self):
        """The headers by name in lower case; of several the last."""
        return {name.lower(): value for name, value in self.headers}


async def read_head(reader):
    """Return first line and headers; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    line, *lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = [field.partition(":") for field in lines]
    return Message(line, [(name, value.strip()) for name, _, value in pairs])


async def read_body(reader, message, *, is_answer):
    """Read the body that belongs to a head."""
    fields = message.fields
    try:
        if "content-length" in fields:
            message.body = await reader.readexactly(int(fields["content-length"]))
        elif fields.get("transfer-encoding", "").lower() == "chunked":
            await _read_chunks(reader, message)
        elif is_answer and message.status not in (204, 304):
            message.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, OSError) as error:
        message.body += getattr(error, "partial", b"")
        message.is_whole = False


async def _read_chunks(reader, message):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return
        message.body += await reader.readexactly(size)
        await reader.readexactly(2)


def encode_head(line, headers):
    """Return the bytes of a head."""
    lines = [line, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1")


def encode_answer(status, headers, body=b""):
    """Return the bytes of a whole answer with a length."""
    headers = [*headers, ("Content-Length", str(len(body)))]
    return encode_head(f"HTTP/1.1 {status} X", headers) + body


class Server:
    """An HTTP server on a loopback address."""

    def __init__(self, ip, port=0):
        self.ip = ip
        self.port = port
        self._server = None
        self._writers = set()

    @property
    def address(self):
        """IP address and port."""
        return f"{self.ip}:{self.port}"

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=8 * 1024 * 1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request, is_answer=False)
                if not request.is_whole:
                    break
                await self.answer(request, writer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        """Answer a request that was read whole."""
        raise NotImplementedError


class PlatformList(Server):
    """The platform's list; ``extra`` holds entries of another writer."""

    def __init__(self, ip):
        super().__init__(ip)
        self.replicas = []
        self.extra = []

    async def answer(self, request, writer):
        """Answer with one page."""
        entries = [*(replica.describe() for replica in self.replicas), *self.extra]
        body = json.dumps({"instances": entries, "nextToken": None}).encode()
        writer.write(encode_answer(200, _JSON, body))


class Replica(Server):
    """A replica of a plain service that follows the pages.

    Attributes:
        runs: The identifiers of the requests that it ran, in order.
        seen: All requests that it was sent.
        work_s: How long it works on a request.
    """

    def __init__(self, ip, name, service, record):
        super().__init__(ip)
        self.name = name
        self.service = service
        self.record = record
        self.state = "ready"
        self.zone = "zone-a"
        self.born = int(time.time() * 1_000)
        self.runs = []
        self.seen = []
        self.work_s = 0.005

    def describe(self):
        """Return the entry of the list."""
        return {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "born": self.born,
        }

    async def answer(self, request, writer):
        """Run a request that is for this replica."""
        fields = request.fields
        identifier = fields.get("x-attempt-id", "")
        head = [("X-Attempt-Id", identifier), ("X-Server-Load", "1,0,8")]
        if request.line.startswith("GET /health"):
            head.append(("X-Instance-Id", self.name))
            writer.write(encode_answer(200, head))
            return
        if fields.get("x-expect-instance", self.name) != self.name:
            writer.write(encode_answer(421, head))
            return
        self.seen.append(request)
        self.runs.append(identifier)
        self.record.note("runs", replica=self.name, id=identifier)
        await self.run(request, writer, [*head, self.sign(identifier)])

    def sign(self, identifier):
        """Return the header that only the replica itself sets."""
        return ("X-Response-Signature", f"{self.name}.{identifier}")

    async def run(self, request, writer, head):
        """Work on a request and answer it."""
        await asyncio.sleep(self.work_s)
        body = f"{self.name}:{request.fields.get('x-attempt-id', '')}".encode()
        writer.write(encode_answer(200, head, body))


class Engine(Replica):
    """A model replica: it holds models, takes orders and answers with streams.

    Attributes:
        models: The adapters of each model that it holds.
        orders: The orders that it accepted.
        on_disk: The models of which its disk has copies.
        events: How many events a stream has.
        pause_s: The time between two events.
    """

    def __init__(self, ip, name, record, models):
        super().__init__(ip, name, ENGINE, record)
        self.models = {model: set() for model in models}
        self.orders = []
        self.on_disk = []
        self.is_busy = False
        self.load_s = 0.6
        self.running = 0
        self.events = 47
        self.pause_s = 0.02
        self._work = None

    def describe(self):
        """Return the entry of the list."""
        return {**super().describe(), "stage": "both", "models": self._list_models()}

    def _list_models(self):
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    async def answer(self, request, writer):
        """Answer a report, an order or a request."""
        path = request.line.split(" ")[1]
        if path == "/report":
            writer.write(encode_answer(200, _JSON, self._report()))
            return
        if path == "/order":
            status = self._take_order(json.loads(request.body), request.fields)
            writer.write(encode_answer(status, _JSON, b"{}"))
            return
        model = request.fields.get("x-model", "").partition("/")[0]
        if model not in self.models:
            identifier = request.fields.get("x-attempt-id", "")
            head = [("X-Attempt-Id", identifier), ("X-Server-Load", "1,0,8")]
            writer.write(encode_answer(421, head))
            return
        await super().answer(request, writer)

    def _report(self):
        report = {
            "stage": "both",
            "models": self._list_models(),
            "busy": self.is_busy,
            "seq": len(self.orders),
            "queued": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 120_000,
            "handles": 0,
            "born": self.born,
            "state": self.state,
            "atHand": {"inMemory": [], "onDisk": self.on_disk},
            "incoming": [],
        }
        return json.dumps(report).encode()

    def _take_order(self, order, fields):
        self.record.note("order", replica=self.name, **order)
        if fields.get("x-expect-instance", self.name) != self.name:
            return 421
        if self.is_busy or order.get("expected", len(self.orders)) != len(self.orders):
            return 409
        if (order["op"] == "load") == (order["model"] in self.models):
            return 200
        self.orders.append(order)
        self._work = asyncio.create_task(self._carry_out(order))
        return 202

    async def start_order(self, order):
        """Begin to load a model; by default there is room for each."""

    def forget(self):
        """Start anew: empty, with other counts."""
        self.models = {}
        self.orders = []
        self.born = int(time.time() * 1_000)

    async def _carry_out(self, order):
        self.is_busy = True
        born = self.born
        if order["op"] == "load" and not order.get("adapter"):
            await self.start_order(order)
        await asyncio.sleep(self.load_s if order["op"] == "load" else 0.1)
        if self.born != born:
            self.is_busy = False
            return
        if order["op"] == "load":
            self.models[order["model"]] = set()
        else:
            self.models.pop(order["model"], None)
        self.is_busy = False

    async def run(self, request, writer, head):
        """Answer with a stream."""
        first = int(request.fields.get("last-event-id", 0)) + 1
        head = [*head, ("Content-Type", "text/event-stream")]
        writer.write(
            encode_head("HTTP/1.1 200 X", [*head, ("Transfer-Encoding", "chunked")])
        )
        self.running += 1
        try:
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.pause_s)
                event = f"id: {number}\ndata: {self.name} {number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class Machine:
    """One process of the project, on a loopback address of its own."""

    def __init__(self, deployment, ip, role, **settings):
        self._deployment = deployment
        self.ip = ip
        self.role = role
        self.settings = settings
        self.process = None

    def write_settings(self, *, is_first_start, seeds=None):
        """Fill in the template of the deploy file."""
        text = (ROOT / "deploy/settings.yaml.template").read_text(encoding="utf-8")
        values = self._deployment.describe(self, is_first_start, seeds)
        path = self._deployment.folder / f"{self.ip}.yaml"
        path.write_text(render(text, values), encoding="utf-8")
        return path

    async def start(self, *, is_first_start=True, seeds=None):
        """Start the process with the command of the deploy file."""
        path = self.write_settings(is_first_start=is_first_start, seeds=seeds)
        log = (self._deployment.folder / f"{self.ip}.log").open("ab")
        environment = {"PATH": os.environ["PATH"], "HOME": str(self._deployment.folder)}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "deploy/jasminewharfd.py",
            str(path),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self._deployment.record.note("starts", machine=self.ip, role=self.role)

    async def kill(self):
        """End the process with SIGKILL."""
        await self.end(signal.SIGKILL)

    async def end(self, kind):
        """Send a signal that ends the process, and wait for that."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(kind)
        self._deployment.record.note("signal", machine=self.ip, signal=int(kind))
        await self.process.wait()


class Deployment:
    """Three control machines, entries, and what they talk to.

    ``network`` is the third number of all addresses.
    """

    def __init__(self, record, network, entries=1, desks=2):
        self.record = record
        self.network = network
        self.folder = Path(tempfile.mkdtemp(prefix="jasminewharf-review-"))
        self.base, self._mark = reserve_ports(network)
        self.platform = PlatformList(self.address(200))
        self.replicas = [
            Replica(self.address(100 + n), f"i-d{n}", DESK, record)
            for n in range(desks)
        ]
        self.controls = [
            Machine(self, self.address(2 + n), "control") for n in range(3)
        ]
        self.entries = [
            Machine(self, self.address(20 + n), "entry") for n in range(entries)
        ]
        self.extra = []

    def address(self, number):
        """Return an IP address of this deployment."""
        return f"127.0.{self.network}.{number}"

    @property
    def machines(self):
        """All machines."""
        return [*self.controls, *self.entries, *self.extra]

    def operator(self, machine):
        """Return where a control machine takes the operator's calls."""
        return f"{machine.ip}:{self.base + _OPERATOR}"

    def front(self, machine):
        """Return where an entry takes clients' requests."""
        return f"{machine.ip}:{self.base + _FRONT}"

    def describe(self, machine, is_first_start, seeds):
        """Return the platform's fields for the settings of a machine."""
        seeds = seeds or [self.operator(each) for each in self.controls]
        listen = {}
        if machine.role == "control":
            listen["control"] = self.operator(machine)
        if machine.role == "entry":
            listen["front"] = self.front(machine)
            listen["ready"] = f"{machine.ip}:{self.base + _READY}"
        return {
            "ip": machine.ip,
            "node": f"{machine.role}-{machine.ip.rpartition('.')[2]}",
            "role": machine.role,
            "zone": "zone-a",
            "region": "region-a",
            "listen": listen,
            "dataDir": str(self.folder / f"data-{machine.ip}")
            if machine.role == "control"
            else None,
            "bounds": {
                "graceS": 8,
                "retryBudgetRatio": 0.2,
                "retrySlack": 56,
                "retryWindowS": 10,
                "quotaWindowS": 8,
                "quotaOverrun": 0.1,
                "quotaSlack": 7_500,
            },
            "seeds": seeds,
            "portRange": [self.base, self.base + 6],
            "bootstrap": is_first_start,
            "faultTolerance": {"machines": 1},
            "cloud": {"address": self.platform.address},
            **machine.settings,
        }

    async def start_standins(self):
        """Start the platform's list and the replicas."""
        await self.platform.start()
        for replica in self.replicas:
            await replica.start()
        self.platform.replicas = list(self.replicas)

    async def start(self):
        """Start everything, and wait until requests are served."""
        await self.start_standins()
        for machine in self.machines:
            await machine.start()
        if not await self.submit(build_configuration(), 45.0):
            raise TimeoutError("the first configuration was not accepted")
        for entry in self.entries:
            await self.wait_served(entry, 30.0)

    async def submit(self, configuration, timeout_s, machines=None):
        """Send a configuration, to any control machine, until it is acknowledged."""
        body = json.dumps(configuration).encode()
        until = time.monotonic() + timeout_s
        machines = list(machines or self.controls)
        number = 0
        while time.monotonic() < until:
            machine = machines[number % len(machines)]
            number += 1
            answer = await self.call_operator(machine, "POST", "/Config.Put", body)
            if answer is not None and answer.status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def call_operator(self, machine, method, path, body=b"", timeout_s=1.0):
        """Call a control machine; return its answer, or None."""
        head = [("Host", "control"), ("Content-Type", "application/json")]
        answer = await request(
            self.operator(machine), method, path, head, body, timeout_s
        )
        status = answer.status if answer is not None else "none"
        self.record.note("operator", machine=machine.ip, call=path, status=status)
        return answer

    async def wait_served(self, entry, timeout_s):
        """Wait until an entry serves a safe request."""
        until = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < until:
            number += 1
            answer = await self.call(entry, "GET", "/status/1", f"probe-{number}")
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.2)
        raise TimeoutError("no request was served")

    async def call(self, entry, method, path, identifier, body=b"", timeout_s=6.0):
        """Send a client's request on a new connection; None without an answer."""
        head = client_head(identifier)
        answer = await request(self.front(entry), method, path, head, body, timeout_s)
        self.record.note(
            "client",
            id=identifier,
            path=path,
            status=answer.status if answer is not None else "none",
        )
        return answer

    async def stop(self):
        """End all processes that were started, and remove the folder."""
        for machine in self.machines:
            with contextlib.suppress(ProcessLookupError):
                if machine.process is not None and machine.process.returncode is None:
                    machine.process.send_signal(signal.SIGCONT)
                await machine.kill()
        for server in (self.platform, *self.replicas):
            server.crash()
        self._mark.close()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def client_head(identifier, *more):
    """Return the headers of a client's request."""
    return [
        ("Host", HOST),
        ("X-Attempt-Id", identifier),
        ("X-Deadline-Ms", "4000"),
        ("Api-Key", KEY),
        *more,
    ]


async def request(address, method, path, headers, body=b"", timeout_s=6.0):
    """Send one request on a new connection; return the answer, or None."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                return await exchange(reader, writer, method, path, headers, body)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None


async def exchange(reader, writer, method, path, headers, body=b""):
    """Send a request on an open connection; return its answer, or None."""
    head = list(headers)
    if body or method in ("POST", "PUT"):
        head.append(("Content-Length", str(len(body))))
    writer.write(encode_head(f"{method} {path} HTTP/1.1", head) + body)
    answer = await read_head(reader)
    if answer is not None:
        await read_body(reader, answer, is_answer=True)
    return answer


# A placeholder, or the begin or end of a section, of the template.
_TAG = re.compile(r"\{\{([#^/]?)([\w.@]+|\.|,)\}\}")


def render(text, values):
    """Fill in a template by the rules of the deploy page, as far as it uses them."""
    output, _ = _render(text, 0, [values], "")
    return output


def _render(text, position, scopes, until):
    output = []
    while True:
        tag = _TAG.search(text, position)
        if tag is None:
            output.append(text[position:])
            return "".join(output), len(text)
        output.append(text[position : tag.start()])
        position = tag.end()
        mark, name = tag.groups()
        if mark == "/":
            assert name == until, (name, until)
            return "".join(output), position
        if mark == "#":
            part, position = _render_section(text, position, scopes, name)
            output.append(part)
        elif name == ",":
            output.append("" if scopes[-1].get("@last") else ",")
        else:
            value = _find(scopes, name)
            if isinstance(value, bool):
                value = str(value).lower()
            output.append("" if value is None else str(value))


def _render_section(text, position, scopes, name):
    value = _find(scopes, name)
    items = value if isinstance(value, list) else [value] if value else []
    _, end = _render(text, position, [*scopes, {".": None}], name)
    parts = []
    for number, item in enumerate(items):
        scope = {".": item, "@last": number == len(items) - 1}
        parts.append(_render(text, position, [*scopes, scope], name)[0])
    return "".join(parts), end


def _find(scopes, name):
    if name == ".":
        return scopes[-1].get(".")
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                value = None
        if value is not None:
            return value
    return None


def run(play, folder, network):
    """Play a case and exit with its code.

    ``play`` is given a record and a number for the addresses, and returns None if the
    rule was kept, or what broke it.
    """
    record = Record(Path(folder) / "record.txt")
    outcome = _UNPLAYED
    try:
        broken = asyncio.run(_play(play, record, network))
        outcome = _BROKEN if broken else _HELD
        if broken:
            record.note("broken", by=broken)
    except (Exception, asyncio.CancelledError) as error:
        record.note("error", error=repr(error))
    record.note("ends", outcome=outcome.replace(" ", "-"))
    print(outcome)
    raise SystemExit(EXIT_CODES[outcome])


async def _play(play, record, network):
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    # A case that is stopped ends its processes as well.
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(_LONGEST_S):
        return await play(record, network)
