"""Callers, operators, servers and strikes around a fleet of real processes.

What callers and backend servers see is kept, and :func:`find_lost` judges it: each
request that was sent whole ends in a whole answer or a refusal unless its server broke
it off or its entry was killed or frozen.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import math
import os
import random
import re
import shutil
import signal
import sys
from pathlib import Path
from typing import NamedTuple

import h11

import jasminewharf
from fleets import HOST, build_body, build_route
from jasminewharf.exceptions import BackendError
from jasminewharf.interfaces.operator import OperatorClient
from jasminewharf.settings import ControlHost, ToolSettings
from platformfakes import FakeReplica, send
from processfleet import ProcessFleet

# A part of the grace after which a server that is still at work excuses an entry.
_LAST_OF_GRACE = 5 / 6
_LATE_CALL_S = 3.0
_LOSS_SLACK_S = 0.2
# A process that was frozen or killed counts as harmed for this long.
_CONTACT_S = 3.0
# Of an answer's way back after the deadline of its request.
_ANSWERED_S = 1.0
# From one second before the deadline on, the end of a stream may be the deadline's.
_DEADLINE_MARGIN_S = 0.25
GRACE_S = 3.0
_DEADLINES_S = (2.5, 4.0, 4.0, 8.0)
# Of routes: longer than any deadline.
_TIMEOUTS_MS = (9_000, 12_000, 20_000)
_ROUTES = ("chat", "plan", "orders", "status")
_SILENCES_S = (0.4, 1.2, 1.6, 1.9)
_FAILURES = (BackendError, TimeoutError, OSError)
# The zone that is evacuated, and when that must be in force after its acknowledgement.
ZONE = "zone-b"
_EVACUATED_S = 5.0
UNPLANNED = (signal.SIGKILL, signal.SIGSTOP)
# The program and the settings of a deployment.
_DEPLOY = Path(jasminewharf.__file__).parents[2] / "deploy"
_SECTION = re.compile(r"{{#([\w.]+)}}(.*?){{/\1}}", re.DOTALL)
_VALUE = re.compile(r"{{([\w.]+|,)}}")
_RUN_PROGRAM = """
import os, runpy
runpy.run_path(os.environ["SOAK_PROGRAM"], run_name="__main__")
"""
_METRICS_PORT = "metrics_port: 9464"


class Sent(NamedTuple):
    """A request that was sent whole, and how it ended at its caller.

    ``outcome`` is answered, refused, broken (part of an answer came), cut (nothing
    came), late (nothing whole by its deadline) or left (its caller closed the
    connection before).
    """

    request_id: str
    entry: str
    sent_at: float
    ended_at: float
    outcome: str
    status: int = 0
    deadline_s: float = 8.0
    is_kept: bool = False
    note: str = ""


class Work(NamedTuple):
    """A request at a server.

    ``outcome`` is whole, failed (the server broke it off), refused (it has not run),
    dropped (the connection was closed before its end) or running.
    """

    request_id: str
    server: str
    arrived_at: float
    ended_at: float = math.inf
    outcome: str = "running"


class Strike(NamedTuple):
    """A signal to a process; ``until`` is when it ran again."""

    ip: str
    kind: int
    at: float
    until: float = math.inf


class Evacuation(NamedTuple):
    """From when until when servers may get nothing from entries in contact."""

    servers: tuple[str, ...]
    since: float
    until: float


def find_evacuated_sends(requests, works, strikes, evacuations):
    """Return what reached servers of an evacuated zone though nothing excuses it."""
    entries = {sent.request_id: sent.entry for sent in requests}
    return [
        f"reached an evacuated zone: {work}"
        for work in works
        for evacuation in evacuations
        if work.server in evacuation.servers
        and evacuation.since <= work.arrived_at < evacuation.until
        and not any(
            strike.ip == entries.get(work.request_id)
            and strike.kind == signal.SIGSTOP
            and strike.at <= work.arrived_at <= strike.until + _CONTACT_S
            for strike in strikes
        )
    ]


def find_lost(requests, works, strikes, grace_s=GRACE_S):
    """Return the requests that ended without an answer though nothing excuses it."""
    by_id = collections.defaultdict(list)
    for work in works:
        by_id[work.request_id].append(work)
    by_ip = collections.defaultdict(list)
    for strike in strikes:
        by_ip[strike.ip].append(strike)
    return [
        sent
        for sent in requests
        if sent.outcome in ("cut", "broken", "late")
        and not _is_excused(sent, by_id[sent.request_id], by_ip[sent.entry], grace_s)
    ]


def _is_excused(sent, works, strikes, grace_s):
    if any(_is_harmed(sent, strike) for strike in strikes):
        return True
    if sent.outcome == "late":
        return False
    if sent.outcome == "broken" and _has_failed_last(works):
        return True
    has_ended = sent.ended_at - sent.sent_at >= sent.deadline_s - _DEADLINE_MARGIN_S
    if sent.outcome == "broken" and has_ended:
        return True
    if not works and sent.ended_at - sent.sent_at <= _LOSS_SLACK_S:
        # It crossed the close of its connection.
        return True
    for strike in strikes:
        last_s = strike.at + grace_s * _LAST_OF_GRACE
        if strike.kind == signal.SIGTERM and sent.sent_at <= strike.at + _LATE_CALL_S:
            begun = [work for work in works if work.arrived_at <= last_s]
            if any(work.ended_at >= last_s for work in begun) and (
                sent.ended_at >= last_s
            ):
                return True
    return False


def _has_failed_last(works):
    """Return whether the run that ended last was broken off by its server."""
    runs = [work for work in works if work.outcome != "refused"]
    last = max(runs, key=lambda work: work.ended_at, default=None)
    return last is not None and last.outcome == "failed"


def _is_harmed(sent, strike):
    """Return whether the entry was killed or frozen beside a request."""
    is_beside = strike.at <= sent.ended_at and strike.until + _CONTACT_S >= sent.sent_at
    return strike.kind in UNPLANNED and is_beside


def find_broken_promises(requests, works, unsafe):
    """Return requests that ran though refused, and unsafe ones that ran twice.

    Args:
        requests: What callers have seen.
        works: What servers have seen.
        unsafe: Begins of the identifiers of requests that may run once only.
    """
    runs = collections.Counter(w.request_id for w in works if w.outcome != "refused")
    broken = [f"ran {n} times: {r}" for r, n in runs.items() if n > 1 and unsafe in r]
    for sent in requests:
        is_promised = sent.status in (408, 421, 429, 503)
        if sent.outcome == "refused" and is_promised and runs[sent.request_id]:
            broken.append(f"has run though refused: {sent}")
    return broken


class SoakServer(FakeReplica):
    """A server that keeps what reached it; its faults are drawn from a seed.

    Attributes:
        works: What reached it.
        awake: Unset while it writes nothing.
        faults: How often a request is refused, broken off or failed.
    """

    def __init__(self, *arguments, rng, faults=0.06):
        super().__init__(*arguments)
        self.works = []
        self.faults = faults
        self.awake = asyncio.Event()
        self.awake.set()
        self._random = rng

    async def answer(self, request, responder):
        if request.target in ("/report", "/order"):
            await self.awake.wait()
        await super().answer(request, responder)

    async def _serve(self, request, responder):
        request_id = dict(request.headers).get("x-attempt-id", "")
        place = len(self.works)
        self.works.append(Work(request_id, self.name, now()))
        fault = self.answer_soundly
        if self._random.random() < self.faults:
            fault = self._random.choice(("full", "short", "error", "break"))
        runs = len(self.runs)
        outcome = "dropped"
        try:
            await self.awake.wait()
            self.fails_next = [fault]
            await super()._serve(request, responder)
            outcome = "whole" if fault in (self.answer_soundly, "error") else "failed"
        finally:
            if outcome != "dropped" and request_id not in self.runs[runs:]:
                outcome = "refused"
            self.works[place] = self.works[place]._replace(
                ended_at=now(), outcome=outcome
            )

    async def answer_soundly(self, responder, signed):
        """Write a whole answer, with any silence inside it."""
        rng = self._random
        if self.models is None:
            await asyncio.sleep(rng.choice((0.0, 0.0, 0.01, 0.1, 0.4, 1.0)))
            await self.awake.wait()
            size = rng.choice((2, 2, 800, 200_000))
            responder.respond(200, signed, b"x" * size)
            return
        first = int(self.heads[-1].get("last-event-id", 0)) + 1
        pause_s = rng.choice((0.005, 0.05, 0.05, 0.2))
        responder.start(200, [*signed, ("content-type", "text/event-stream")])
        for number in range(first, 13):
            await self.awake.wait()
            await responder.write(f"id: {number}\ndata: x{number}\n\n".encode())
            await asyncio.sleep(pause_s)
        responder.finish()


class Caller:
    """A caller that uses its connection until that is closed."""

    def __init__(self, soak, number):
        self._soak = soak
        self._number = number
        self._random = random.Random(f"{soak.seed}-{number}")
        self._ids = itertools.count()
        self._reader = self._writer = None
        self._entry = ""
        self._is_used = False

    async def run(self, until):
        """Call until a time, then let go of the connection."""
        while now() < until:
            try:
                if self._writer is None or self._reader.at_eof():
                    await self._connect()
                await self._call()
            except _FAILURES:
                self._drop()
            await asyncio.sleep(self._random.choice((0.0, 0.0, 0.0, 0.02, 0.2, 0.9)))
        self._drop()

    async def _connect(self):
        self._drop()
        self._entry = self._random.choice(self._soak.ready or self._soak.entry_ips)
        opened = asyncio.open_connection(self._entry, self._soak.port)
        self._reader, self._writer = await asyncio.wait_for(opened, 1.0)
        self._is_used = False

    def _drop(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _call(self):
        rng = self._random
        route = rng.choice(_ROUTES)
        request_id = f"{route}-{self._number}-{next(self._ids)}"
        deadline_s = rng.choice(_DEADLINES_S)
        is_kept, self._is_used = self._is_used, True
        head, body = self._build(route, request_id, deadline_s)
        self._writer.write(head + body[:2])
        if len(body) > 2:
            # A body that is on its way as its entry is told to stop.
            await asyncio.sleep(rng.choice((0.0, 0.1, 0.6)))
            self._writer.write(body[2:])
        sent = Sent(
            request_id,
            self._entry,
            now(),
            0.0,
            "left",
            deadline_s=deadline_s,
            is_kept=is_kept,
        )
        leaves_s = deadline_s + _ANSWERED_S if rng.random() < 0.95 else rng.random()
        status, fields, outcome, note = 0, {}, "left", f"left after {leaves_s:.1f} s"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(leaves_s):
                status, fields, outcome, note = await self._read_answer()
        # One that waits beyond its deadline was never answered.
        if outcome == "left" and leaves_s > deadline_s:
            outcome, note = "late", note + " without a whole answer"
        self._soak.requests.append(
            sent._replace(ended_at=now(), outcome=outcome, status=status, note=note)
        )
        is_closing = fields.get(b"connection") == b"close" or rng.random() < 0.1
        if is_closing or outcome not in ("answered", "refused"):
            self._drop()

    def _build(self, route, request_id, deadline_s):
        rng = self._random
        method = "GET" if route == "status" else "POST"
        lines = [
            f"{method} /{route}/x HTTP/1.1",
            "host: a.example",
            f"x-attempt-id: {request_id}",
            f"x-deadline-ms: {deadline_s * 1000:.0f}",
            "api-key: key-1",
        ]
        if route in ("chat", "plan"):
            lines.append(f"x-model: m{rng.choice((0, 0, 0, 1, 2))}")
            lines.append("x-token-counts: 100,20")
        body = b"" if method == "GET" else b"{}" * rng.choice((1, 1, 10_000))
        if body:
            lines.append(f"content-length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n", body

    async def _read_answer(self):
        """Return status, headers, outcome and what ended the connection."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/", headers=[("host", "")]))
        parser.send(h11.EndOfMessage())
        status, fields = 0, {}
        while True:
            note = ""
            try:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    data = await self._reader.read(65_536)
                    note = "" if data else "end of file"
                    parser.receive_data(data)
                    continue
            except (h11.RemoteProtocolError, OSError) as error:
                return status, fields, "broken" if status else "cut", repr(error)
            if isinstance(event, h11.Response):
                status, fields = event.status_code, dict(event.headers)
            elif isinstance(event, h11.EndOfMessage):
                outcome = "answered" if status < 400 else "refused"
                return status, fields, outcome, note
            elif isinstance(event, h11.ConnectionClosed):
                return status, fields, "broken" if status else "cut", "end of file"


def render_template(text, values):
    """Return a settings template filled in from nested tables and lists."""

    def find(name):
        found = values
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def repeat(match):
        found = find(match.group(1))
        if not isinstance(found, list):
            return render_template(match.group(2), values) if found else ""
        parts = [match.group(2).replace("{{.}}", str(item)) for item in found]
        last = len(parts) - 1
        return "".join(
            part.replace("{{,}}", "" if place == last else ",")
            for place, part in enumerate(parts)
        )

    text = _SECTION.sub(repeat, text)
    return _VALUE.sub(lambda match: _show(find(match.group(1))), text)


def _show(value):
    return str(value).lower() if isinstance(value, bool) else str(value or "")


class SoakFleet(ProcessFleet):
    """The programs and settings of a deployment, struck by signals that overlap.

    ``planted`` is Python that each entry runs before its program.

    Attributes:
        strikes: What was done to processes.
    """

    def __init__(self, base, folder, entries, controls=3, planted="", **parts):
        super().__init__(base, folder, entries, **parts)
        self.controls += [f"127.0.0.{10 + n}" for n in range(controls - 3)]
        self.tolerated_losses = (controls - 1) // 2
        self.strikes = []
        self._planted = planted

    def write_settings(self, ip, role, **fleet):
        listen = {"front": f"{ip}:{self.base + 9}" if role == "entry" else ""}
        listen["ready"] = fleet.get("ready_listen", "")
        listen["control"] = fleet.get("operator_listen", "")
        values = {
            "ip": ip,
            "node": ip,
            "role": role,
            "zone": "zone-a",
            "region": "region-a",
            "listen": listen,
            "seeds": [f"{host}:{self.base + 8}" for host in self.controls[:3]],
            "portRange": {"0": self.base},
            "bootstrap": True,
            "faultTolerance": {"machines": self.tolerated_losses},
            "app": fleet.get("own_server", ""),
            "dataDir": str(self.folder / ip) if role == "control" else "",
            "cloud": {"address": self.list.address},
            "bounds": {
                "graceS": GRACE_S,
                "retryBudgetRatio": 0.2,
                "retrySlack": 56,
                "retryWindowS": 10,
                "quotaWindowS": 8,
                "quotaOverrun": 0.1,
                "quotaSlack": 7_500,
            },
        }
        text = render_template((_DEPLOY / "settings.yaml.template").read_text(), values)
        text = text.replace(_METRICS_PORT, f"metrics_port: {self.base + 6}")
        path = self.folder / f"{ip}.yaml"
        path.write_text(text)
        return path

    async def spawn(self, ip):
        program = str(_DEPLOY / "jasminewharfd.py")
        start = ["-c", f"{self._planted}\n{_RUN_PROGRAM}"]
        command = start if self._planted and ip in self.entry_ips else [program]
        with (self.folder / f"{ip}.log").open("ab") as log:
            self.processes[ip] = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                str(self._commands[ip]),
                stdout=log,
                stderr=log,
                env={**os.environ, "SOAK_PROGRAM": program},
            )

    async def hit(self, ip, kind):
        """Strike a process and note from when until when it is harmed."""
        if self.processes[ip].returncode is not None:
            return
        place = len(self.strikes)
        self.strikes.append(Strike(ip, kind, now()))
        try:
            await self.strike(ip, kind)
        finally:
            self.strikes[place] = self.strikes[place]._replace(until=now())

    async def _strike_process(self, ip, kind):
        """Strike a process; one that is told to stop is killed after its grace."""
        if kind != signal.SIGTERM:
            await super()._strike_process(ip, kind)
            return
        process = self.processes[ip]
        process.send_signal(kind)
        if ip in self._restarting:
            return
        self._restarting.add(ip)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            process.kill()
            await process.wait()
        await asyncio.sleep(random.uniform(0.0, 1.0))
        await self.spawn(ip)
        self._restarting.discard(ip)

    def hang_up(self, ip):
        """Write a process's settings anew, with a signal."""
        path = self._commands[ip]
        path.write_text(path.read_text())
        with contextlib.suppress(ProcessLookupError):
            self.processes[ip].send_signal(signal.SIGHUP)
        self.strikes.append(Strike(ip, signal.SIGHUP, now(), now()))

    async def lose_power(self, wiped):
        """Kill all processes at once, and start them, some with empty disks."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for ip, path in self._commands.items():
            text = path.read_text()
            path.write_text(text.replace("first_start: true", "first_start: false"))
            if ip in wiped:
                shutil.rmtree(self.folder / ip, ignore_errors=True)
        for ip in self._commands:
            await self.spawn(ip)


class Soak:
    """Callers, operators and strikes of one seed.

    Attributes:
        requests: What callers have seen.
        acknowledged: Versions of the configuration that were acknowledged, with their
            bodies.
        ready: Entries that new callers may connect to.
        engine_service: What each configuration says of the engines besides.
        evacuations: What was acknowledged of the evacuated zone.
    """

    engine_service = {}

    def __init__(self, fleet, seed, callers=24):
        self.fleet = fleet
        self.seed = seed
        self.requests = []
        self.acknowledged = {}
        self.evacuations = []
        self.entry_ips = fleet.entry_ips
        self.port = fleet.base + 9
        self.ready = []
        self._callers = callers
        self._random = random.Random(seed)
        self._random_zone = random.Random(f"evacuations of {seed}")
        self._version = 1
        self._servers = [*fleet.engines, *fleet.desks]
        # A seed plays some kinds of strikes only, so that their effects add up.
        rng = self._random
        self._entry_kinds = rng.sample(
            (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, *UNPLANNED), 3
        )
        self._other_kinds = rng.sample((signal.SIGTERM, signal.SIGHUP, *UNPLANNED), 2)
        self._strike_s = rng.choice((0.6, 1.2, 2.5))
        self._change_s = rng.choice((0.15, 0.4, 1.0))

    @property
    def works(self):
        """What reached the servers."""
        return [work for server in self._servers for work in server.works]

    async def play(self, play_s):
        """Play the seed, then wait until all requests have ended."""
        until = now() + play_s
        await asyncio.gather(
            self.call_until(play_s),
            self._change_configuration(until),
            self.evacuate(until),
            self._silence_servers(until),
            self._strike_entries(until - 1.0),
            self._strike_others(until - 1.0),
            self.disturb_servers(until),
        )

    async def disturb_servers(self, until):
        """Do to the servers what a soak of another kind does besides."""

    async def call_until(self, play_s):
        """Have callers send requests, and wait until these have ended."""
        until = now() + play_s
        self.ready = list(self.entry_ips)
        callers = [Caller(self, number) for number in range(self._callers)]
        await asyncio.gather(
            *(caller.run(until) for caller in callers),
            *(self._ask_ready(ip, until) for ip in self.entry_ips),
        )

    async def _ask_ready(self, ip, until):
        """Take an entry out of the callers' list after two questions in vain."""
        misses = 0
        while now() < until:
            status = 0
            with contextlib.suppress(*_FAILURES):
                async with asyncio.timeout(1.0):
                    address = f"{ip}:{self.fleet.base + 7}"
                    status, *_ = await send(address, "GET", "/readiness", [HOST])
            misses = 0 if status == 200 else misses + 1
            if misses >= 2 and ip in self.ready:
                self.ready.remove(ip)
            elif not misses and ip not in self.ready:
                self.ready.append(ip)
            await asyncio.sleep(1.0)

    async def _change_configuration(self, until):
        while now() < until:
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * self._change_s)
            self._version += 1
            body = self._build_body()
            if await self._submit(body):
                self.acknowledged[self._version] = json.loads(body)

    async def evacuate(self, until):
        """Evacuate a zone until shortly before a time, and use it again."""
        servers = tuple(s.name for s in self._servers if s.zone == ZONE)
        if not await self._order_zone("Start"):
            return
        since = now() + _EVACUATED_S
        await asyncio.sleep(max(until - 2.0 - now(), 0.0))
        self.evacuations.append(Evacuation(servers, since, now()))
        await self._order_zone("Stop")

    async def _order_zone(self, verb):
        """Return whether some control host has acknowledged a call for the zone."""
        for _ in range(20):
            ip = self._random_zone.choice(self.fleet.controls)
            with contextlib.suppress(*_FAILURES):
                async with asyncio.timeout(1.0):
                    address = f"{ip}:{self.fleet.base + 8}"
                    target = f"/Evacuations.{verb}/{ZONE}"
                    status, *_ = await send(address, "POST", target, [HOST])
                assert status < 400 or status >= 500, f"{verb} got {status}"
                if status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False

    async def _submit(self, body):
        """Return whether some control host has acknowledged a configuration."""
        for _ in range(6):
            ip = self._random.choice(self.fleet.controls)
            address = f"{ip}:{self.fleet.base + 8}"
            with contextlib.suppress(*_FAILURES):
                async with asyncio.timeout(1.0):
                    status, fields, _ = await send(
                        address, "POST", "/Config.Put", [HOST], body
                    )
                    if status == 307:
                        address = fields["location"].split("/")[2]
                        status, *_ = await send(
                            address, "POST", "/Config.Put", [HOST], body
                        )
                if status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False

    def _build_body(self):
        rng = self._random
        first = json.loads(build_body())
        timeout_ms = rng.choice(_TIMEOUTS_MS)
        routes = [dict(route, timeoutMs=timeout_ms) for route in first["routes"]]
        if rng.random() < 0.2:
            del routes[rng.randrange(len(routes))]
        routes += [
            build_route(f"more-{n}", "safe", "desk")
            for n in range(rng.choice((0, 0, 1, 300)))
        ]
        services = first["services"]
        services[0].update(self.engine_service)
        services[1] = {"name": "desk", "maxConns": rng.choice((2, 16, 64))}
        tenant = first["tenants"][0]
        tenant["ratePerS"] = tenant["burst"] = rng.choice((1_000_000, 100_000))
        keys = ["key-1", f"key-{self._version}"]
        tenant["apiKeys"] = keys if rng.random() < 0.9 else keys[1:]
        idle_ms = rng.choice((1_000, 2_000, 15_000))
        limits = {**first["limits"], "idleTimeoutMs": idle_ms}
        return build_body(
            self._version,
            routes=routes,
            services=services,
            tenants=[tenant],
            limits=limits,
        )

    async def _silence_servers(self, until):
        """Have sound servers fall silent, one after the other, and go on."""
        while now() < until - 2.0:
            await asyncio.sleep(self._random.uniform(0.5, 2.0))
            server = self._random.choice(self._servers)
            server.awake.clear()
            await asyncio.sleep(self._random.choice(_SILENCES_S))
            server.awake.set()

    async def _strike_entries(self, until):
        """Strike entries in series that overlap."""
        strikes = []
        while now() < until:
            await asyncio.sleep(self._random.uniform(0.3, 1.7) * self._strike_s)
            ip = self._random.choice(self.entry_ips)
            kind = self._random.choice(self._entry_kinds)
            strikes.append(asyncio.create_task(self._hit(ip, kind)))
        await asyncio.gather(*strikes)

    async def _strike_others(self, until):
        """Strike one control host at a time, and agents beside them."""
        strikes = []
        while now() < until:
            await asyncio.sleep(self._random.uniform(0.3, 1.7) * self._strike_s)
            kind = self._random.choice(self._other_kinds)
            if self._random.random() < 0.6:
                await self._hit(self._random.choice(self.fleet.controls), kind)
                continue
            ip = f"127.0.0.{5 + self._random.randrange(len(self.fleet.engines))}"
            strikes.append(asyncio.create_task(self._hit(ip, kind)))
        await asyncio.gather(*strikes)

    async def _hit(self, ip, kind):
        if kind == signal.SIGHUP:
            self.fleet.hang_up(ip)
        else:
            await self.fleet.hit(ip, kind)

    async def find_forgotten(self, recovery_s=20.0):
        """Lose power and disks amid changes; return what was acknowledged and is gone.

        The rest is read back until ``recovery_s`` after the loss.
        """
        until = now() + self._random.uniform(0.2, 1.0)
        changes = asyncio.create_task(self._change_configuration(until))
        is_evacuated = await self._order_zone("Start")
        await asyncio.sleep(max(until - now() - 0.1, 0.0))
        count = self._random.randint(1, self.fleet.tolerated_losses)
        wiped = self._random.sample(self.fleet.controls, count)
        await self.fleet.lose_power(wiped)
        # The one in progress may be acknowledged by those that are back.
        await changes
        newest = max(self.acknowledged, default=1)
        deadline = now() + recovery_s
        waiting = set(self.fleet.controls)
        while waiting:
            for ip in sorted(waiting):
                read = await self._read_configuration(ip)
                if read is None:
                    continue
                version = read["version"]
                if version < newest:
                    return [f"{ip} has {version}, {newest} was acknowledged"]
                if version == newest and not _has_content(
                    read, self.acknowledged.get(newest)
                ):
                    return [f"{ip} has other content as version {newest}"]
                waiting.discard(ip)
            if now() > deadline:
                return [f"{sorted(waiting)} cannot be read; {wiped} lost their disks"]
            await asyncio.sleep(0.2)
        if is_evacuated and ZONE not in await self._read_evacuated():
            return [f"the evacuation is gone; {wiped} lost their disks"]
        return []

    async def _read_evacuated(self):
        """Return the evacuated zones as the operators' tool reads them."""
        hosts = [
            ControlHost(ip, f"{ip}:{self.fleet.base}", f"{ip}:{self.fleet.base + 1}")
            for ip in self.fleet.controls
        ]
        async with OperatorClient(ToolSettings(hosts)) as operator:
            return (await operator.read_state()).evacuations.evacuated

    async def _read_configuration(self, ip):
        with contextlib.suppress(*_FAILURES):
            async with asyncio.timeout(1.0):
                address = f"{ip}:{self.fleet.base + 8}"
                answer = await send(address, "GET", "/Config.Get", [HOST])
                if answer[0] == 200:
                    return json.loads(answer[2])
        return None


def _has_content(read, sent):
    if sent is None:
        return True
    names = [route["name"] for route in sent["routes"]]
    return [route["name"] for route in read["routes"]] == names


def now():
    return asyncio.get_running_loop().time()


def build_parts(seed, zone="zone-a"):
    """Return the servers of a seed; one engine and one desk are in ``zone``."""
    rng = random.Random(f"servers of {seed}")
    engines = [
        SoakServer("127.0.0.1", "i-e1", "llm", ["m0", "m1"], rng=rng),
        SoakServer("127.0.0.1", "i-e2", "llm", ["m0", "m2"], rng=rng),
    ]
    desks = [
        SoakServer("127.0.0.1", f"i-d{number}", "desk", rng=rng) for number in (1, 2)
    ]
    engines[1].zone = desks[1].zone = zone
    return {"engines": engines, "desks": desks, "body": build_first_body()}


def build_first_body():
    """Return the first configuration; no route's time-out ends a request."""
    first = json.loads(build_body())
    routes = [dict(route, timeoutMs=max(_TIMEOUTS_MS)) for route in first["routes"]]
    return build_body(routes=routes)
