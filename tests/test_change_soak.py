"""Whole requests end in an answer or a refusal while configurations come and go.

A fleet in this process. Callers on raw sockets keep their connections, send ahead and
leave at any time; servers break off, state no end, answer early or twice, fall silent
and hang; configurations follow each other in quick succession, servers leave the list
and come back, and an entry is stopped and started. ``JASMINEWHARF_SOAK_SEEDS=10-60``
plays these seeds in place of the fixed ones.
"""

import asyncio
import collections
import itertools
import json
import math
import random
import socket
import struct
from typing import NamedTuple

import h11
import pytest

from fleets import build_body, build_route, run_with_fleet
from jasminewharf import events
from platformfakes import FakeReplica, answer_raw, stream_body
from processfleet import read_seeds

_FIXED_SEEDS = "1-2"
_PLAY_S = 8.0
_CALLERS = 20
_DEADLINE_S = 3.0
# Of an answer's way back after the deadline of its request.
_LATE_S = 1.0
# Until work for a caller that has left has ended.
_GONE_S = 0.5
# Of the idle limit: the request and a close may cross.
_MARGIN_S = 0.3
# In which a request crosses the close of a drained connection.
_CROSSING_S = 0.05
_IDLE_MS = (1_000, 2_000, 15_000)
_ROUTES = ("chat", "plan", "orders", "status")
_WITHOUT_END = b"HTTP/1.1 200 OK\r\n%scontent-type: text/event-stream\r\n\r\n"
_EARLY = b"HTTP/1.1 200 OK\r\n%scontent-length: 2\r\n\r\nok"


class Sent(NamedTuple):
    """A request that was sent whole, and how it ended at its caller.

    ``outcome`` is answered, refused, broken (part of an answer came), cut (nothing
    came), crossed (a drained connection was closed at the same moment), passed over
    (an answer before it said that the connection closes) or left.
    """

    request_id: str
    sent_at: float
    outcome: str
    ended_at: float
    note: str = ""


class Work(NamedTuple):
    """A request at a server, and when the server stopped to work for it."""

    request_id: str
    server: str
    arrived_at: float
    ended_at: float
    fault: str = ""


def find_breaches(requests, works):
    """Return what callers and servers have seen that must not happen."""
    breaches = []
    by_id = collections.defaultdict(list)
    for work in works:
        by_id[work.request_id].append(work)
    for sent in requests:
        took_s = sent.ended_at - sent.sent_at
        if sent.outcome == "cut":
            breaches.append(f"no answer after {took_s:.2f} s: {sent}")
        elif sent.outcome != "left" and took_s > _DEADLINE_S + _LATE_S:
            breaches.append(f"late by {took_s - _DEADLINE_S:.2f} s: {sent}")
        if sent.outcome not in ("left", "broken", "refused"):
            continue
        for work in by_id[sent.request_id]:
            if work.arrived_at > sent.ended_at + _GONE_S:
                breaches.append(f"sent for a caller that had left: {sent} {work}")
            elif work.ended_at > sent.ended_at + _GONE_S:
                breaches.append(f"goes on for a caller that had left: {sent} {work}")
    return breaches


class SoakReplica(FakeReplica):
    """A replica whose faults a seed chooses, and that keeps what reaches it."""

    def __init__(self, *arguments, rng):
        super().__init__(*arguments)
        self.works = []
        self._random = rng

    async def _serve(self, request, responder):
        request_id = dict(request.headers).get("x-attempt-id", "")
        place = len(self.works)
        fault = self._choose_fault(place)
        name = getattr(fault, "__qualname__", fault)
        self.works.append(Work(request_id, self.name, now(), math.inf, name))
        self.fails_next = [fault]
        try:
            await super()._serve(request, responder)
        finally:
            self._note_end(place)

    def _note_end(self, place):
        if self.works[place].ended_at == math.inf:
            self.works[place] = self.works[place]._replace(ended_at=now())

    def _answer_and_keep(self, place, *pieces):
        """Return a fault that writes whole answers and keeps the connection."""
        write = answer_raw(*pieces)

        async def keep(responder, signed):
            await write(responder, signed)
            # What follows a whole answer is no work for the caller.
            self._note_end(place)
            await asyncio.sleep(30)

        return keep

    def _choose_fault(self, place):
        rng = self._random
        if rng.random() < 0.7:
            return ""
        stream = _WITHOUT_END, stream_body()
        return rng.choice(
            (
                *("full", "mute", "foreign", "short", "error", "break"),
                answer_raw(*stream),
                answer_raw(*stream, end="reset"),
                answer_raw(*stream, end="keep"),
                self._answer_and_keep(place, _EARLY),
                self._answer_and_keep(place, _EARLY, _EARLY),
                answer_raw(b""),
                answer_raw(_EARLY[:30], end="reset"),
                _fall_silent,
                _fall_silent,
            )
        )


async def _fall_silent(responder, signed):
    """Send half of an answer, fall silent, and go on."""
    responder.start(200, [*signed, ("content-type", "text/event-stream")])
    body = stream_body()
    await responder.write(body[: len(body) // 2])
    await asyncio.sleep(1.2)
    await responder.write(body[len(body) // 2 :])
    responder.finish()


class Entry:
    """The idle limits that were in force at an entry, and when it was stopped."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.address = fleet.entries[number]
        self.limits = []
        # Counts its starts.
        self.life = 0
        self.is_stopping = False
        self.follow()

    def follow(self):
        """Note the limits of the entry's present life."""
        self.life += 1
        view = self.fleet.entry_kernels[self.number].find("view")
        self.limits = [(0.0, view.table.configuration.limits.idle_timeout_s)]
        view.listen(self._take)

    def _take(self, table):
        self.limits.append((now(), table.configuration.limits.idle_timeout_s))

    def may_reuse(self, idle_since):
        """Return whether a connection may still be used by the limits in force."""
        at = now()
        ends = [begin for begin, _ in self.limits[1:]] + [math.inf]
        for (begin, limit_s), end in zip(self.limits, ends, strict=True):
            until = min(end + _CROSSING_S, at)
            if until > begin and until - idle_since > limit_s - _MARGIN_S:
                return False
        return True


class Caller:
    """One caller with one connection at a time."""

    def __init__(self, soak, number):
        self._soak = soak
        self._number = number
        self._random = random.Random(f"{soak.seed}-{number}")
        self._ids = itertools.count()
        self._reader = None
        self._writer = None
        self._entry = None
        self._life = 0
        self._rest = b""
        self._idle_since = None
        self._is_closing = False

    async def run(self, until):
        """Call until a time, then let go of the connection."""
        while now() < until:
            try:
                await self._prepare()
                await self._call()
            except OSError:
                self._drop()
            await asyncio.sleep(self._random.choice((0.0, 0.01, 0.1, 0.7, 1.6, 2.2)))
        self._drop()

    async def _prepare(self):
        is_open = self._writer is not None and not self._reader.at_eof()
        may_reuse = is_open and not self._is_closing and not self._entry.is_stopping
        if may_reuse and self._entry.may_reuse(self._idle_since):
            return
        if self._is_closed_early():
            note = f"after {now() - self._idle_since:.2f} s at {self._entry.number}"
            self._soak.closed_early.append(f"closed before its limit: {note}")
        self._drop()
        entry = self._random.choice(self._soak.entries)
        ip, port = entry.address.split(":")
        self._reader, self._writer = await asyncio.open_connection(ip, int(port))
        self._entry, self._life, self._rest = entry, entry.life, b""
        self._idle_since, self._is_closing = None, False

    def _is_closed_early(self):
        """Return whether the entry has closed a connection that it promised to keep."""
        if self._writer is None or not self._reader.at_eof() or self._is_closing:
            return False
        is_same_life = self._life == self._entry.life and not self._entry.is_stopping
        return is_same_life and self._entry.may_reuse(self._idle_since)

    def _drop(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _call(self):
        rng = self._random
        batch = [self._build() for _ in range(rng.choice((1, 1, 1, 2, 3)))]
        self._writer.write(b"".join(data for _, data in batch))
        sent_at = now()
        leaves_s = rng.choice((None, None, None, 0.0, 0.02, 0.2, 0.6, 1.0))
        waiting = collections.deque(request_id for request_id, _ in batch)
        try:
            async with asyncio.timeout(leaves_s):
                begun_at = sent_at
                while waiting:
                    await self._take_answer(waiting, begun_at)
                    # What was sent ahead is read after the answer before.
                    begun_at = now()
        except TimeoutError:
            self._leave()
            for request_id in waiting:
                self._note(request_id, sent_at, "left")
        self._idle_since = now()

    def _build(self):
        rng = self._random
        request_id = f"c{self._number}-{next(self._ids)}"
        route = rng.choice(_ROUTES)
        method = "GET" if route == "status" else "POST"
        lines = [
            f"{method} /{route}/x HTTP/1.1",
            "host: a.example",
            f"x-attempt-id: {request_id}",
            f"x-deadline-ms: {_DEADLINE_S * 1000:.0f}",
            f"api-key: {rng.choice(('key-1', 'key-1', 'key-x'))}",
        ]
        if route in ("chat", "plan"):
            lines.append(f"x-model: m{rng.choice((0, 0, 0, 1, 2))}")
            lines.append(f"x-token-counts: {rng.choice((100, 3_000))},20")
        if route != "status":
            lines.append("content-length: 2")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return request_id, head.encode() + (b"" if route == "status" else b"{}")

    def _leave(self):
        link = self._writer.transport.get_extra_info("socket")
        if self._random.random() < 0.5:
            linger = struct.pack("ii", 1, 0)
            link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        elif self._random.random() < 0.5:
            self._writer.write(b"GET /status/x HTTP/1.1\r\nhost: a.ex")
        self._drop()

    async def _take_answer(self, waiting, sent_at):
        """Read the answer to the first request that waits, and note it."""
        request_id = waiting[0]
        was_closing = self._is_closing
        is_kept = self._idle_since is not None
        head, is_whole, note = await self._read_answer()
        waiting.popleft()
        if head is None:
            outcome = "cut"
            if was_closing:
                outcome = "passed over"
            elif self._is_crossing(sent_at, is_kept):
                outcome = "crossed"
        elif not is_whole:
            outcome = "broken"
        else:
            outcome = "answered" if head.status_code < 400 else "refused"
        status = head.status_code if head is not None else ""
        self._note(request_id, sent_at, outcome, f"{status} {note}")
        if head is None or not is_whole:
            self._is_closing = True
            return
        fields = dict(head.headers)
        is_framed = b"content-length" in fields or b"transfer-encoding" in fields
        if fields.get(b"connection") == b"close" or not is_framed:
            self._is_closing = True

    def _is_crossing(self, sent_at, is_kept):
        is_stopped = self._entry.is_stopping
        return is_stopped and is_kept and now() - sent_at < _CROSSING_S

    async def _read_answer(self):
        """Return head, whether the answer was whole, and what ended the connection."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/", headers=[("host", "")]))
        parser.send(h11.EndOfMessage())
        if self._rest:
            parser.receive_data(self._rest)
            self._rest = b""
        head, note = None, ""
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                return head, False, note or str(error)
            if event is h11.NEED_DATA:
                try:
                    data = await self._reader.read(65_536)
                except OSError as error:
                    return head, False, str(error)
                note = "" if data else "end of file"
                parser.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.EndOfMessage):
                self._rest = parser.trailing_data[0]
                return head, True, note
            elif isinstance(event, h11.ConnectionClosed):
                return head, False, note

    def _note(self, request_id, sent_at, outcome, note=""):
        self._soak.requests.append(
            Sent(request_id, sent_at, outcome, now(), f"{note} at {self._entry.number}")
        )


class Soak:
    """Callers, changes and servers of one seed."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.seed = seed
        self.requests = []
        self.closed_early = []
        self.entries = [Entry(fleet, number) for number in range(len(fleet.entries))]
        self._random = random.Random(seed)
        self._version = 1

    async def play(self):
        """Play the seed, then wait until servers have nothing left to do."""
        until = now() + _PLAY_S
        callers = [Caller(self, number) for number in range(_CALLERS)]
        await asyncio.gather(
            *(caller.run(until) for caller in callers),
            self._change_configuration(until),
            self._change_servers(until),
            self._stop_entry(until),
        )
        await asyncio.sleep(_GONE_S + 0.2)

    async def _change_configuration(self, until):
        while now() < until:
            await asyncio.sleep(self._random.uniform(0.2, 0.4))
            self._version += 1
            await self.fleet.submit(self._build_body())

    def _build_body(self):
        rng = self._random
        first = json.loads(build_body())
        timeout_ms = rng.choice((1_500, 3_000, 5_000))
        routes = [dict(route, timeoutMs=timeout_ms) for route in first["routes"]]
        if rng.random() < 0.3:
            del routes[rng.randrange(len(routes))]
        if rng.random() < 0.3:
            routes.append(build_route("more", "safe", "desk"))
        services = first["services"]
        services[1] = {"name": "desk", "maxConns": rng.choice((1, 2, 64))}
        if rng.random() < 0.1:
            # The service is gone, and whatever leads to it.
            services = services[:1]
            routes = [route for route in routes if route["service"] == "llm"]
        tenant = first["tenants"][0]
        keys = ["key-1", "key-x"]
        tenant["apiKeys"] = rng.choice((keys, keys, keys, ["key-1"], ["key-x"]))
        tenant["ratePerS"] = rng.choice((100_000, 100_000, 5_000))
        limits = {**first["limits"], "idleTimeoutMs": rng.choice(_IDLE_MS)}
        return build_body(
            self._version,
            routes=routes,
            services=services,
            tenants=[tenant],
            limits=limits,
        )

    async def _change_servers(self, until):
        """Have servers leave the list, drain, start anew and name limits."""
        replicas = [*self.fleet.engines, *self.fleet.desks]
        while now() < until:
            await asyncio.sleep(self._random.uniform(0.2, 0.8))
            for server in replicas:
                server.state = self._random.choice(("ready", "ready", "draining"))
                server.limit = self._random.choice(("", "", "", "5"))
            self.fleet.list.replicas = [
                server for server in replicas if self._random.random() < 0.7
            ] or replicas
            for kernel in self.fleet.entry_kernels:
                kernel.find("controllers").set_hosts(["127.0.0.2"])

    async def _stop_entry(self, until):
        await asyncio.sleep(self._random.uniform(0.5, _PLAY_S / 2))
        entry = self._random.choice(self.entries)
        entry.is_stopping = True
        await self.fleet.entry_kernels[entry.number].stop()
        ip = self.fleet.entry_ips[entry.number]
        base = self.fleet.base
        await self.fleet.add(ip, "entry", ready_listen=f"{ip}:{base + 7}")
        # In the place of the one that was stopped.
        self.fleet.kernels[1 + entry.number] = self.fleet.kernels.pop()
        view = self.fleet.entry_kernels[entry.number].find("view")
        while view.table is None:
            await asyncio.sleep(0.01)
        entry.follow()
        entry.is_stopping = False


def now():
    return asyncio.get_running_loop().time()


def build_parts(seed):
    rng = random.Random(f"servers of {seed}")
    engines = [
        SoakReplica("127.0.0.1", "i-e1", "llm", ["m0", "m1"], rng=rng),
        SoakReplica("127.0.0.1", "i-e2", "llm", ["m0"], rng=rng),
    ]
    desks = [
        SoakReplica("127.0.0.1", f"i-d{number}", "desk", rng=rng) for number in (1, 2)
    ]
    return {"engines": engines, "desks": desks}


@pytest.mark.timeout(90)
@pytest.mark.parametrize("seed", read_seeds(_FIXED_SEEDS))
def test_whole_requests_end_while_everything_changes(tmp_path, seed, caplog):
    """A request got nothing beside a change, or ran on for a caller that had left."""

    async def scenario(fleet):
        soak = Soak(fleet, seed)
        await soak.play()
        works = [w for fake in (*fleet.engines, *fleet.desks) for w in fake.works]
        outcomes = collections.Counter(sent.outcome for sent in soak.requests)
        breaches = find_breaches(soak.requests, works) + soak.closed_early
        assert not breaches, "\n".join(breaches)
        assert outcomes["answered"] > 30 and outcomes["left"] > 10

    run_with_fleet(scenario, tmp_path, **build_parts(seed))
    faults = events.TASK_FAILED, events.HANDLER_FAILED
    assert [r for r in caplog.records if getattr(r, "event", None) in faults] == []


SOUND = [
    Sent("a", 1.0, "answered", 1.5),
    Sent("b", 1.0, "left", 1.2),
    Sent("c", 1.0, "refused", 3.9),
    Sent("d", 1.0, "broken", 2.0),
]
DONE = [Work("a", "s", 1.0, 9.0), Work("b", "s", 1.6, 1.69), Work("c", "s", 1.1, 4.0)]


def test_checker_passes_what_is_allowed():
    """A checker that refuses everything would pass the planted faults too."""
    assert find_breaches(SOUND, DONE) == []


@pytest.mark.parametrize(
    ("sent", "work", "text"),
    [
        (Sent("x", 1.0, "cut", 1.1), None, "no answer"),
        (Sent("x", 1.0, "answered", 5.1), None, "late by"),
        (Sent("x", 1.0, "left", 1.1), Work("x", "s", 1.7, 1.7), "sent for a caller"),
        (Sent("x", 1.0, "left", 1.1), Work("x", "s", 1.0, 1.7), "goes on for"),
        (Sent("x", 1.0, "broken", 1.1), Work("x", "s", 1.0, 9.0), "goes on for"),
    ],
)
def test_checker_finds_a_planted_breach(sent, work, text):
    """A checker that finds nothing would pass any soak."""
    works = DONE if work is None else [*DONE, work]
    breaches = find_breaches([*SOUND, sent], works)
    assert len(breaches) == 1 and text in breaches[0]
