"""A fleet of processes with a proxy on each link between two of them."""

import asyncio
import contextlib
import json
import shutil
import signal
import sys
import time
from pathlib import Path

from jasminewharf import events
from jasminewharf.bench.configuration_checks import CORE, QUORUM, Span
from jasminewharf.fakes.linkproxy import BOTH, LinkProxy
from platformfakes import FakeReplica
from processfleet import ProcessFleet

_PROCESS = Path(__file__).with_name("linkedprocess.py")
_ZONES = ("zone-a", "zone-b", "zone-c")
# Of the deployment that the fleet stands for.
_ELECTION_S = 0.8
_CORE_SIZE = 3
# From its start on, an interpreter does not ignore a hang-up for so long.
_INTERPRETER_S = 1.0


def now():
    return asyncio.get_running_loop().time()


class LinkedFleet(ProcessFleet):
    """Processes, links and a record of what was done to them.

    Attributes:
        spans: The times in which hosts, the core or its quorum were disturbed.
        lives: For each host, how often its process was started.
        diary: Lines that tell what was done, with wall-clock times as in the logs.
    """

    def __init__(self, base, folder, entries):
        super().__init__(base, folder, entries)
        names = ("desk-a", "desk-b", "desk-c", "desk-d")
        self.desks = [FakeReplica("127.0.0.1", f"i-{name}", name) for name in names]
        self.links = {}
        self.spans = []
        self.lives = {}
        self.diary = []
        self.first_start = True
        self.first_body = b""
        self.restarting = set()
        self._roles = {}
        self._zones = {}
        self._victims = []
        self._spawned_at = {}
        self._quorum_lost_at = None
        self.replaced = []

    @property
    def hosts(self):
        return list(self._commands)

    def note(self, text):
        self.diary.append(f"{time.time():.3f} {now():.3f} {text}")

    # Settings and processes.

    def write_settings(self, ip, role, **fleet):
        path = super().write_settings(ip, role, **fleet)
        zone = self._zones.setdefault(ip, _ZONES[self._count_roles(role) % 3])
        self._roles[ip] = (role, fleet)
        text = path.read_text().replace("zone: zone-a", f"zone: {zone}")
        text = text.replace(
            "election_timeout_s: 0.3", f"election_timeout_s: {_ELECTION_S}"
        )
        if not self.first_start:
            text = text.replace("first_start: true", "first_start: false")
        path.write_text(text)
        return path

    def _count_roles(self, role):
        return sum(known == role for known, _ in self._roles.values())

    def rewrite_settings(self, ip, seeds=None):
        """Write the settings anew; they name ``seeds`` or the present control hosts."""
        controls = self.controls
        self.controls = seeds or controls
        role, fleet = self._roles[ip]
        self.write_settings(ip, role, **fleet)
        self.controls = controls

    def is_dead(self, ip, process):
        return ip in self._commands and process.returncode is not None

    async def submit_until_accepted(self, body):
        await super().submit_until_accepted(self.first_body)

    async def spawn(self, ip):
        await self._link(ip)
        self.lives[ip] = self.lives.get(ip, 0) + 1
        self._spawned_at[ip] = now()
        log = (self.folder / f"{ip}.log").open("ab")
        self.processes[ip] = await asyncio.create_subprocess_exec(
            sys.executable,
            str(_PROCESS),
            str(self._commands[ip]),
            ip,
            str(self.base),
            stdout=log,
            stderr=log,
        )
        log.close()

    async def stop(self):
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGKILL)
        await super().stop()
        for proxies in self.links.values():
            for proxy in proxies:
                await proxy.stop()

    # Links.

    async def _link(self, ip):
        for other in self.hosts:
            if other != ip:
                await self._link_pair(ip, other)
                await self._link_pair(other, ip)

    async def _link_pair(self, source, target):
        roles = (self._roles[source][0], self._roles[target][0])
        if (source, target) in self.links or roles[1] == "entry":
            return
        self.links[source, target] = []
        for port in range(2 if roles == ("control", "control") else 1):
            proxy = LinkProxy(f"{target}:{self.base + port}")
            own, other = (ip.rpartition(".")[2] for ip in (source, target))
            await proxy.start(f"127.{own}.0.{other}", self.base + port)
            self.links[source, target].append(proxy)

    def between(self, one, other):
        """Return the links of two hosts, in both directions."""
        pairs = ((one, other), (other, one))
        return [(pair, proxy) for pair in pairs for proxy in self.links.get(pair, ())]

    def harm_links(self, pairs, kind, sender, delay_s):
        """Harm the links of the pairs: cut, silent or slow.

        Args:
            pairs: Pairs of hosts.
            kind: What is done.
            sender: If not empty, only what this host of a pair sends is harmed.
            delay_s: Of slow links.
        """
        for one, other in pairs:
            for (source, _), proxy in self.between(one, other):
                ways = BOTH
                if sender:
                    ways = ("forward",) if source == sender else ("backward",)
                if kind == "cut":
                    proxy.cut()
                elif kind == "silent":
                    proxy.silence(ways)
                else:
                    proxy.delay(ways, delay_s)

    def heal_links(self, pairs):
        for one, other in pairs:
            for _, proxy in self.between(one, other):
                proxy.heal()

    # Record.

    def disturb(self, subject, begin, end=None):
        self.spans.append(Span(subject, begin, now() if end is None else end))

    def mark_core(self):
        self.disturb(CORE, now())

    @contextlib.contextmanager
    def harming_core(self, victims, settle_s=0.0):
        """Record that control hosts do not count for the quorum meanwhile.

        ``settle_s`` is how long they need afterwards.
        """
        self.mark_core()
        begin = now()
        self._victims.append(victims)
        self._note_quorum()
        try:
            yield
        finally:
            self.mark_core()
            for victim in victims:
                self.disturb(victim, begin)
            asyncio.get_running_loop().call_later(settle_s, self._release, victims)

    def _release(self, victims):
        self._victims.remove(victims)
        self._note_quorum()

    def _note_quorum(self):
        harmed = {victim for victims in self._victims for victim in victims}
        is_lost = len(harmed) > (_CORE_SIZE - 1) // 2
        if is_lost and self._quorum_lost_at is None:
            self._quorum_lost_at = now()
        elif not is_lost and self._quorum_lost_at is not None:
            self.disturb(QUORUM, self._quorum_lost_at)
            self._quorum_lost_at = None

    def close_record(self):
        if self._quorum_lost_at is not None:
            self.disturb(QUORUM, self._quorum_lost_at)
            self._quorum_lost_at = None

    # Strikes at processes.

    async def freeze(self, ip, seconds):
        process = self.processes[ip]
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            process.send_signal(signal.SIGCONT)

    async def restart(self, ip, kind, pause_s, is_emptied=False):
        await self.end(ip, kind)
        if is_emptied:
            shutil.rmtree(self.folder / ip)
        await asyncio.sleep(pause_s)
        await self.spawn(ip)

    async def end(self, ip, kind):
        process = self.processes[ip]
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(kind)
        try:
            await asyncio.wait_for(process.wait(), 4.0)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    def hang_up(self, ip):
        if now() < self._spawned_at[ip] + _INTERPRETER_S:
            return
        with contextlib.suppress(ProcessLookupError):
            self.processes[ip].send_signal(signal.SIGHUP)

    def _list_lines(self, event):
        """Return the lines of one event number of all logs, newest last."""
        lines = [
            json.loads(line)
            for path in self.folder.glob("*.log")
            for line in path.read_text().splitlines()
            if f'"event": {event},' in line
        ]
        return sorted(lines, key=lambda line: line["time"])

    def list_members_left(self):
        """Return the replaced hosts that are members by the newest line of any log."""
        newest = self._list_lines(events.MEMBERS_CHANGED.number)[-1]["members"]
        members = {identity.partition("/")[0] for identity in newest}
        return sorted(members & set(self.replaced))

    def find_leader(self):
        """Return the last leader that a log names; empty if it was replaced."""
        lines = self._list_lines(events.LEADER_CHANGED.number)
        named = [line["leader"].partition("/")[0] for line in lines if line["leader"]]
        return named[-1] if named and named[-1] in self.controls else ""

    async def replace_control(self, ip, pause_s):
        """Take a control host away and start an empty one at another address."""
        self.replaced.append(ip)
        new = f"127.0.0.{60 + len(self.replaced)}"
        await self.end(ip, signal.SIGKILL)
        await asyncio.sleep(pause_s)
        self._zones[new] = self._zones[ip]
        del self._commands[ip]
        self.controls = [*(host for host in self.controls if host != ip), new]
        self._add(new, "control", operator_listen=f"{new}:{self.base + 8}")
        await self.spawn(new)
        return new
