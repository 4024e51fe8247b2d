"""Configurations stay in force while processes and the links between them fail.

Real processes on loopback addresses, with a proxy on each link. Two operators change
the configuration, every control host is read, and every entry is called on the routes
that the versions added, moved and removed. ``JASMINEWHARF_SOAK_SEEDS=10-60`` plays
these seeds in place of the fixed ones, ``JASMINEWHARF_SOAK_S`` sets the length of a
play in seconds and ``JASMINEWHARF_SOAK_ENTRIES`` the number of entries.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal

import pytest

from fleets import HOST, build_body, build_route, pick_base
from jasminewharf.bench.configuration_checks import (
    CORE,
    LEFT,
    QUORUM,
    Call,
    Change,
    Read,
    Send,
    find_breaches,
    find_unrecovered,
)
from jasminewharf.exceptions import BackendError
from jasminewharf.services.client import HttpClient
from linkedfleet import LinkedFleet, now
from platformfakes import send
from processfleet import read_seeds

_FIXED_SEEDS = "1"
_PLAY_S = float(os.environ.get("JASMINEWHARF_SOAK_S", "15"))
_ENTRIES = int(os.environ.get("JASMINEWHARF_SOAK_ENTRIES", "3"))
_CALLS_PER_ENTRY_S = 40.0 / (_ENTRIES + 2)
_SHIFTING = 4
_SERVICES = ("desk-a", "desk-b", "desk-c")
_ADDED_SERVICE = "desk-d"
_VERSIONS_PER_KEPT = 5
_KEPT_LIMIT = 12
_CHANGES_IN_PROGRESS = 8
_CHANGE_S = 30.0
_ANSWERED_S = 4.5
_RECOVERY_S = 12.0
_CALM_S = 3.0
# From the end of all strikes: a lost host counts as such, is removed and replaced.
_REPAIRED_S = 20.0
# A task or a handler that failed for an error nobody foresaw.
_LOG_FAULTS = ("Traceback", '"event": 102', '"event": 204')
_FAILURES = (BackendError, TimeoutError, OSError)
_CORE_KINDS = (
    "core link",
    "left behind",
    "freeze core",
    "kill core",
    "stop core",
    "replace core",
    "empty core",
    "two of the core",
)
_KINDS = (
    *("entry link", "entry link", "entry freeze", "entry kill", "entry stop"),
    *("agent link", "agent freeze", "settings"),
    *_CORE_KINDS,
)
_LAST_KINDS = (
    *("all killed", "all killed", "all frozen", "all silent"),
    *("core killed", "core killed", "core frozen"),
)


class Version:
    """A configuration whose routes tell it from all others."""

    def __init__(self, number, rng, is_valid=True, kept=0):
        self.number = number
        self.is_valid = is_valid
        self.sends = []
        self.services = {"status": "desk-a", f"only-{number}": rng.choice(_SERVICES)}
        for index in range(_SHIFTING):
            if rng.random() < 0.75:
                self.services[f"s{index}"] = rng.choice(_SERVICES)
        for index in range(kept):
            self.services[f"kept-{index}"] = _ADDED_SERVICE
        self.keys = {"key-1"}
        if rng.random() < 0.5:
            self.keys.add("key-x")
        self.body = self._build(rng)

    def _build(self, rng):
        first = json.loads(build_body())
        routes = [
            build_route(name, "safe", service, maxAttempts=2)
            for name, service in self.services.items()
        ]
        if rng.random() < 0.03:
            routes += [build_route(f"wide-{n}", "safe", "desk-a") for n in range(1500)]
        names = sorted({*_SERVICES, *self.services.values()})
        services = [*first["services"][:1], *({"name": name} for name in names)]
        tenants = [{**first["tenants"][0], "apiKeys": sorted(self.keys)}]
        if not self.is_valid:
            fault = rng.randrange(4)
            if fault == 0:
                routes.append(build_route("lost", "safe", "nowhere"))
            elif fault == 1:
                routes.append(dict(routes[0], name="twin"))
            elif fault == 2:
                routes[0]["timeoutMs"] = 0
            else:
                tenants.append({**tenants[0], "name": "other"})
        return build_body(
            self.number,
            routes=first["routes"][:2] + routes,
            services=services,
            tenants=tenants,
        )

    def allows(self, target):
        key, _, path = target.partition(" ")
        service = self.services.get(path.split("/")[1])
        if service is None:
            return "404"
        return service if key in self.keys else "401"

    def as_change(self):
        return Change(self.number, self.sends, self.allows, self.is_valid)


class Soak:
    """Operators, callers and strikes of one seed."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self.versions = {}
        self.reads = []
        self.calls = []
        self._tasks = set()
        self._in_progress = 0
        self._until = 0.0
        # A seed plays some kinds of strikes only, so that their effects add up.
        self._kinds = self._random.sample(_KINDS, self._random.randint(2, 6))
        self._pause_s = self._random.choice((0.5, 1.5, 4.0))
        self._change_s = self._random.choice((0.1, 0.3, 0.8))
        # Where strikes at the core overlap, hardly any bound holds but those of reads.
        self._is_serial = self._random.random() < 0.7
        self._core_lock = asyncio.Lock()
        self._repaired_at = 0.0
        self._kept = 0

    def add_version(self, is_valid=True):
        last = max(self.versions, default=0)
        number = last + self._random.choice((1, 1, 2, 7)) if last else 1
        # Routes that are added and stay, to a service that is not named before.
        self._kept = min(len(self.versions) // _VERSIONS_PER_KEPT, _KEPT_LIMIT)
        self.versions[number] = Version(number, self._random, is_valid, self._kept)
        return self.versions[number]

    def note_first(self):
        first = self.versions[1]
        first.sends.append(Send(now(), "", 200, now()))

    # Play.

    async def play(self):
        self._fleet.note(f"kinds {self._kinds} pause {self._pause_s}")
        self._until = now() + _PLAY_S
        await asyncio.gather(
            *(self._operate() for _ in range(2)),
            self._read_forever(),
            *(self._call_forever(ip) for ip in self._fleet.entry_ips),
            self._strike_forever(),
        )
        await asyncio.gather(*self._tasks)
        # What was harmed last may come in touch again.
        self._until = now() + 6.0
        await asyncio.gather(
            self._operate(),
            self._read_forever(),
            *(self._call_forever(ip) for ip in self._fleet.entry_ips),
        )
        await asyncio.gather(*self._tasks)

    def _start(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end)

    def _end(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._fleet.note(f"task failed: {task.exception()!r}")
            raise task.exception()

    async def _wait(self, rate):
        await asyncio.sleep(self._random.expovariate(rate))

    # Operators.

    async def _operate(self):
        while now() < self._until:
            await self._wait(1 / self._change_s)
            if self._in_progress >= _CHANGES_IN_PROGRESS:
                continue
            is_old = self._random.random() < 0.1
            if is_old:
                version = self._random.choice(list(self.versions.values()))
            else:
                version = self.add_version(self._random.random() > 0.07)
            self._start(self._change(version))

    async def _change(self, version):
        self._in_progress += 1
        until = now() + _CHANGE_S
        while now() < until:
            status = await self._send(
                version, self._random.choice(self._fleet.controls)
            )
            if status == 200 or 400 <= status < 500:
                break
            await asyncio.sleep(self._random.choice((0.05, 0.5, 2.0)))
        self._in_progress -= 1

    async def _send(self, version, host):
        sent_at = now()
        place = len(version.sends)
        version.sends.append(Send(sent_at, host, 0, float("inf")))
        is_lost = self._random.random() < 0.1
        limit_s = self._random.uniform(0.002, 0.05) if is_lost else _ANSWERED_S
        status = LEFT if is_lost else 0
        with contextlib.suppress(*_FAILURES):
            async with asyncio.timeout(limit_s):
                status, _, _ = await send(
                    f"{host}:{self._fleet.base + 8}",
                    "POST",
                    "/Config.Put",
                    [HOST],
                    version.body,
                )
        version.sends[place] = Send(sent_at, host, status, now())
        return status

    async def _read_forever(self):
        while now() < self._until:
            await asyncio.sleep(0.1)
            self._start(self._read(self._random.choice(self._fleet.controls)))

    async def _read(self, host):
        sent_at = now()
        status, body = 0, b""
        with contextlib.suppress(*_FAILURES):
            async with asyncio.timeout(_ANSWERED_S):
                status, _, body = await send(
                    f"{host}:{self._fleet.base + 8}", "GET", "/Config.Get", [HOST]
                )
        if status != 200:
            self.reads.append(Read(sent_at, host, None))
            return None
        number = json.loads(body)["version"]
        is_as_sent = number in self.versions and body == self.versions[number].body
        self.reads.append(Read(sent_at, host, number, is_as_sent))
        return number

    # Callers.

    async def _call_forever(self, ip):
        client = HttpClient(f"{ip}:{self._fleet.base + 9}")
        while now() < self._until:
            await self._wait(_CALLS_PER_ENTRY_S)
            self._start(self._call(ip, client, self._choose_target()))

    def _choose_target(self):
        key = "key-1" if self._random.random() < 0.7 else "key-x"
        kind = self._random.random()
        if kind < 0.4:
            name = f"s{self._random.randrange(_SHIFTING)}"
        elif kind < 0.55 and self._kept:
            name = f"kept-{self._random.randrange(self._kept)}"
        else:
            newest = sorted(self.versions)[-30:]
            # Mostly one of the newest, whose route may be there by now.
            place = int(self._random.expovariate(0.2)) % len(newest)
            name = f"only-{newest[-1 - place]}"
        return f"{key} /{name}/1"

    async def _call(self, ip, client, target):
        sent_at, life = now(), self._fleet.lives[ip]
        key, _, path = target.partition(" ")
        number = next(self._numbers)
        head = [
            HOST,
            ("api-key", key),
            ("x-attempt-id", f"c-{number}"),
            ("x-deadline-ms", "4000"),
        ]
        outcome = ""
        with contextlib.suppress(*_FAILURES):
            async with asyncio.timeout(_ANSWERED_S):
                response = await client.open("GET", path, head, b"")
                body = await response.read()
                if response.status == 200:
                    outcome = body.decode().partition(":")[0].removeprefix("i-")
                elif response.status in (401, 404):
                    outcome = str(response.status)
        if life != self._fleet.lives[ip]:
            # Which of two processes answered is not known.
            life = -number
        self.calls.append(Call(sent_at, now(), ip, life, target, outcome))
        return outcome

    # Strikes.

    async def _strike_forever(self):
        while now() < self._until - 2.0:
            await self._wait(1 / self._pause_s)
            kind = self._random.choice(self._kinds)
            if kind in _CORE_KINDS and self._is_serial and self._core_lock.locked():
                continue
            self._start(self._strike(kind))

    async def _strike(self, kind):
        rng, fleet = self._random, self._fleet
        if kind in _CORE_KINDS and self._is_serial:
            async with self._core_lock:
                await self._strike_core(kind)
                await asyncio.sleep(rng.choice((0.0, _CALM_S, 2 * _CALM_S)))
            return
        if kind in _CORE_KINDS:
            await self._strike_core(kind)
            return
        if kind == "settings":
            await self._change_settings()
            return
        agents = [ip for ip in fleet.hosts if ip in ("127.0.0.5", "127.0.0.6")]
        role, _, deed = kind.partition(" ")
        ip = rng.choice(fleet.entry_ips if role == "entry" else agents)
        begin = now()
        fleet.note(f"{kind} {ip}")
        if deed == "link":
            await self._harm_some_links(ip)
        elif deed == "freeze":
            await fleet.freeze(ip, rng.choice((0.3, 2.0, 3.5, 7.0)))
        elif fleet.processes[ip].returncode is None:
            signals = {"kill": signal.SIGKILL, "stop": signal.SIGTERM}
            await self._restart(ip, signals[deed])
        fleet.disturb(ip, begin)
        fleet.note(f"end of {kind} {ip}")

    async def _harm_some_links(self, ip):
        fleet, rng = self._fleet, self._random
        controls = list(fleet.controls)
        chosen = rng.sample(controls, rng.randint(1, len(controls)))
        await self._harm([(ip, control) for control in chosen], ip)

    async def _harm(self, pairs, host):
        """Harm links for some time; one way only those from or to ``host``."""
        rng, fleet = self._random, self._fleet
        kind = rng.choice(("cut", "silent", "silent", "silent", "slow"))
        sender = rng.choice(("", host, *{one for pair in pairs for one in pair}))
        delay_s = rng.choice((0.05, 0.4, 1.5))
        seconds = rng.choice((0.7, 2.5, 5.0, 9.0, 16.0))
        fleet.note(f"{kind} {pairs} from {sender or 'both'} {delay_s} for {seconds} s")
        fleet.harm_links(pairs, kind, sender, delay_s)
        await asyncio.sleep(seconds)
        fleet.heal_links(pairs)
        return kind

    async def _restart(self, ip, kind):
        if ip in self._fleet.restarting:
            return
        self._fleet.restarting.add(ip)
        await self._fleet.restart(ip, kind, self._random.choice((0.0, 0.3, 2.0, 7.0)))
        self._fleet.restarting.discard(ip)

    async def _change_settings(self):
        """Name other seeds, also hosts of yesterday, and tell some processes."""
        rng, fleet = self._random, self._fleet
        seeds = rng.sample(fleet.controls, len(fleet.controls))
        if rng.random() < 0.4:
            seeds[0] = "127.0.0.99"
        for ip in fleet.hosts:
            fleet.rewrite_settings(ip, seeds)
            if rng.random() < 0.5 and ip not in fleet.restarting:
                fleet.hang_up(ip)
        fleet.note(f"settings with seeds {seeds}")

    async def _strike_core(self, kind):
        rng, fleet = self._random, self._fleet
        ip = rng.choice(fleet.controls)
        if rng.random() < 0.5:
            ip = fleet.find_leader() or ip
        others = [other for other in fleet.controls if other != ip]
        fleet.note(f"{kind} {ip}")
        if kind == "core link":
            await self._harm_core_links(ip, [rng.choice(others)])
        elif kind == "left behind":
            await self._harm_core_links(ip, others)
        elif kind == "freeze core":
            with fleet.harming_core([ip]):
                await fleet.freeze(ip, rng.choice((0.3, 1.2, 3.5, 8.0)))
        elif kind in ("replace core", "empty core"):
            await self._take_disk(ip, kind == "replace core")
        elif kind == "two of the core":
            with fleet.harming_core([ip, others[0]], _CALM_S):
                await asyncio.gather(
                    fleet.freeze(others[0], rng.choice((0.5, 4.0))),
                    self._restart(ip, signal.SIGKILL),
                )
        else:
            number = signal.SIGKILL if kind == "kill core" else signal.SIGTERM
            with fleet.harming_core([ip], _CALM_S):
                await self._restart(ip, number)
        fleet.note(f"end of {kind} {ip}")

    async def _harm_core_links(self, ip, others):
        begin = now()
        with self._fleet.harming_core([ip]):
            kind = await self._harm([(ip, other) for other in others], ip)
        if len(others) == 1:
            # It lacks a path to a host that reaches more than half of the core.
            self._fleet.disturb(others[0], begin)
        if kind == "slow":
            # While links of the core are slow, it is not stable.
            self._fleet.disturb(CORE, begin)

    async def _take_disk(self, ip, is_replaced):
        """Start a control host with an empty disk, here or at another address.

        A second loss before the first one is repaired is more than is tolerated.
        """
        rng, fleet = self._random, self._fleet
        if fleet.restarting or fleet.list_members_left() or now() < self._repaired_at:
            return
        fleet.restarting.add(ip)
        self._repaired_at = now() + _REPAIRED_S
        fleet.first_start = rng.random() < 0.3
        with fleet.harming_core([ip], _RECOVERY_S):
            pause_s = rng.choice((0.0, 1.0, 4.0))
            if is_replaced:
                new = await fleet.replace_control(ip, pause_s)
                fleet.note(f"{ip} is replaced by {new}")
            else:
                fleet.rewrite_settings(ip)
                await fleet.restart(ip, signal.SIGKILL, pause_s, is_emptied=True)
        fleet.restarting.discard(ip)
        if not is_replaced:
            return
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        for host in fleet.hosts:
            fleet.rewrite_settings(host)
            if rng.random() < 0.5 and host not in fleet.restarting:
                fleet.hang_up(host)

    # The end.

    async def end_and_return(self):
        """Stop everything or the core, let it return, and call until 17 s after."""
        fleet, rng = self._fleet, self._random
        fleet.first_start = rng.random() < 0.5
        for pair in list(fleet.links):
            fleet.heal_links([pair])
        for host in fleet.hosts:
            fleet.rewrite_settings(host)
        begin = now()
        await self._strike_all(rng.choice(_LAST_KINDS))
        returned_at = now()
        fleet.note("all are back")
        for subject in (CORE, QUORUM, *fleet.hosts):
            fleet.disturb(subject, begin)
        await asyncio.sleep(_RECOVERY_S)
        self._until = now() + 5.0
        served = {}

        async def call_forever(ip):
            client = HttpClient(f"{ip}:{fleet.base + 9}")
            while now() < self._until:
                sent_at = now()
                outcome = await self._call(ip, client, "key-1 /status/1")
                served[sent_at, ip] = outcome == "desk-a"
                await asyncio.sleep(0.2)

        await asyncio.gather(
            self._read_forever(), *(call_forever(ip) for ip in fleet.entry_ips)
        )
        await asyncio.gather(*self._tasks)
        fleet.close_record()
        unrecovered = find_unrecovered(
            [(at, is_served) for (at, _), is_served in served.items()], returned_at
        )
        last = [r.version for r in self.reads if r.at > returned_at + _RECOVERY_S]
        if all(version is None for version in last):
            unrecovered.append("the configuration is not read back at the end")
        return unrecovered

    async def _strike_all(self, kind):
        fleet, rng = self._fleet, self._random
        chosen = fleet.hosts if kind.startswith("all") else fleet.controls
        chosen = rng.sample(chosen, len(chosen))
        fleet.note(f"{kind} {chosen}")
        seconds = rng.choice((0.5, 1.5, 8.0))
        if kind.endswith("frozen"):
            await asyncio.gather(*(fleet.freeze(host, seconds) for host in chosen))
        elif kind.endswith("silent"):
            pairs = list(fleet.links)
            fleet.harm_links(pairs, "silent", "", 0.0)
            await asyncio.sleep(seconds)
            fleet.heal_links(pairs)
        else:
            for host in chosen:
                await fleet.end(host, signal.SIGKILL)
                await asyncio.sleep(rng.choice((0.0, 0.05)))
            await asyncio.sleep(seconds)
            for host in rng.sample(chosen, len(chosen)):
                await fleet.spawn(host)


def write_diary(fleet, soak, breaches):
    lines = [*fleet.diary]
    for version in soak.versions.values():
        lines += [
            f"send {version.number} {version.is_valid} {s}" for s in version.sends
        ]
    lines += [str(read) for read in soak.reads]
    lines += [str(call) for call in soak.calls]
    lines += [str(span) for span in fleet.spans]
    lines += breaches
    (fleet.folder / "diary.txt").write_text("\n".join(lines))


def find_log_faults(fleet):
    """Return lines of logs that no play may lead to."""
    found = []
    for path in sorted(fleet.folder.glob("*.log")):
        for line in path.read_text().splitlines():
            if any(word in line for word in _LOG_FAULTS):
                found.append(f"{path.name}: {line[:300]}")
    return found[:10]


@pytest.mark.timeout(200 + 3 * _PLAY_S)
@pytest.mark.parametrize("seed", read_seeds(_FIXED_SEEDS))
def test_configurations_stay_in_force_while_links_fail(tmp_path, seed):
    """Acknowledged versions were not in force in time, or came back older."""

    async def main():
        fleet = LinkedFleet(pick_base(), tmp_path / "fleet", _ENTRIES)
        soak = Soak(fleet, seed)
        fleet.first_body = soak.add_version().body
        breaches = []
        try:
            await fleet.start()
            soak.note_first()
            await soak.play()
            await asyncio.sleep(_REPAIRED_S if fleet.list_members_left() else 0)
            left = fleet.list_members_left()
            breaches += [f"{ip} is replaced, but still a member" for ip in left]
            ended = [ip for ip, p in fleet.processes.items() if fleet.is_dead(ip, p)]
            breaches += [f"{ip} ended by itself" for ip in ended]
            breaches += await soak.end_and_return()
        finally:
            await fleet.stop()
        breaches += find_breaches(
            [version.as_change() for version in soak.versions.values()],
            soak.reads,
            soak.calls,
            fleet.spans,
        )
        breaches += find_log_faults(fleet)
        write_diary(fleet, soak, breaches)
        assert breaches == []
        assert sum(bool(call.outcome) for call in soak.calls) > 50
        assert sum(read.version is not None for read in soak.reads) > 20

    asyncio.run(main())
