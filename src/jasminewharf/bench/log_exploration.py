"""Seeded exploration of one log group in virtual time, on the real storage code.

``python -m jasminewharf.bench.log_exploration --schedules 1000`` reports every failing
schedule with its seed.
"""

import heapq
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Any
from unittest import mock

import cappa

from ..decisions import records, snapshots
from ..messages.log import MemberRecord
from .log_checks import Checks, InvariantViolation
from .log_host import Host

__all__ = ["Simulation", "explore", "main"]


class Simulation:
    """A group on a few hosts, with faults drawn from one seed."""

    def __init__(self, seed, *, hosts=3, ignore_sync=False, calm=False):
        self.random = random.Random(seed)
        self.ignore_sync = ignore_sync
        self.time = 0.0
        self.checks = Checks()
        self.installs = 0
        self.faults = False
        self.loss = self.random.choice((0.0, 0.02, 0.2))
        self.delay = self.random.choice((0.001, 0.02, 0.2))
        # Safety must not depend on clocks, so half of the schedules have wild ones.
        self.clock_rates = self.random.choice(((0.9, 1.1), (0.2, 4.0)))
        self.allocate_bytes = self.random.choice((0, 1000))
        if calm:
            self.loss, self.delay, self.clock_rates = 0.02, 0.02, (0.9, 1.1)
        self.fault_rate = self.random.choice((0.02, 0.1, 0.5))
        self.severed = set()
        self._events = []
        self._count = 0
        self._token = 0
        names = [f"h{i}" for i in range(hosts)]
        members = tuple(MemberRecord(f"{name}/1", "", True) for name in names)
        self.hosts = {
            name: Host(self, name, members if name == "h0" else None) for name in names
        }
        for host in self.hosts.values():
            host.start()

    def after(
        self, delay: float, function: Callable[..., None], *arguments: Any
    ) -> None:
        """Call a function ``delay`` seconds of virtual time from now."""
        self._count += 1
        event = (self.time + delay, self._count, function, arguments)
        heapq.heappush(self._events, event)

    def send(self, sender: Host, receiver: str, message: Any) -> None:
        """Deliver a message later, twice or never."""
        if self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.loss else 1
        for _ in range(copies):
            delay = self.random.random() * self.delay
            self.after(
                delay, self._deliver, sender.name, sender.identity, receiver, message
            )

    def _deliver(self, sender_name, sender, receiver, message):
        host = self.hosts.get(receiver.partition("/")[0])
        if host is None or not host.up or host.identity != receiver:
            return
        if (sender_name, host.name) not in self.severed:
            host.submit(records.Received(sender, message))

    def leaders(self) -> list[Host]:
        """Return the hosts that believe to lead, newest term first."""
        hosts = [h for h in self.hosts.values() if h.up and h.consensus.is_leader]
        return sorted(hosts, key=lambda host: -host.consensus.term)

    def run(self, steps: int, faults: bool = True) -> None:
        """Take ``steps`` events, with an action at every tenth."""
        self.faults = faults
        for step in range(steps):
            if step % 10 == 0:
                self.act(faults)
            self.time, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    def act(self, faults: bool) -> None:
        """Do what callers, operators and, if ``faults``, misfortune do."""
        host = self.random.choice(list(self.hosts.values()))
        chance = self.random.random()
        if host.up and chance < 0.6:
            self._call(host, chance)
        elif host.up and chance < 0.64:
            host.compact()
        elif chance < 0.70:
            self._change_members(host)
        elif faults and self.random.random() < self.fault_rate:
            self._break(host, chance)

    def _call(self, host, chance):
        self._token += 1
        leaders = self.leaders()
        if chance < 0.35:
            if leaders:
                host = self.random.choice(leaders)
            first = self._token
            self._token += self.random.choice((1, 1, 10))
            commands = [(t, b"%d" % t) for t in range(first, self._token + 1)]
            host.submit(records.Propose(commands))
            return
        if leaders and chance < 0.55:
            host = self.random.choice(leaders)
        host.reads[self._token] = max(self.checks.acknowledged, default=0)
        host.submit(records.Read([self._token]))

    def _change_members(self, host):
        if not host.up or not host.consensus.is_leader:
            return
        known = {m.identity for m in host.consensus.members}
        current = {h.identity for h in self.hosts.values()}
        missing, gone = sorted(current - known), sorted(known - current)
        self._token += 1
        if missing:
            member = MemberRecord(missing[0], "", False)
            host.submit(records.ChangeMembers(self._token, member, ""))
        elif gone:
            host.submit(records.ChangeMembers(self._token, None, gone[0]))
        elif len(known) < 5 and self.random.random() < 0.2:
            name = f"n{self._token}"
            self.hosts[name] = Host(self, name)
            self.hosts[name].start()
        elif len(known) > 3 and self.random.random() < 0.3:
            target = self.random.choice(sorted(known))
            host.submit(records.ChangeMembers(self._token, None, target))
            self._retire(target)
        else:
            host.submit(records.Transfer(self.random.choice(sorted(known))))

    def _retire(self, identity):
        # A removed host stays up for a while and may disturb the others.
        name = identity.partition("/")[0]
        self.after(3.0, self._stop_retired, name, identity)

    def _stop_retired(self, name, identity):
        members = records.decode_members(self.checks.newest_members[1])
        host = self.hosts.get(name)
        if host and host.identity not in {m.identity for m in members}:
            host.up = False
            del self.hosts[name]

    def _break(self, host, chance):
        if chance < 0.74:
            self._crash(host)
        elif chance < 0.76:
            self.lose_disk(host)
        elif chance < 0.78:
            self._jump_clocks()
        elif chance < 0.81:
            leaders = self.leaders()
            if leaders and self.random.random() < 0.7:
                host = leaders[0]
            others = [h for h in self.hosts if h != host.name]
            self.severed = {(host.name, o) for o in others}
            if self.random.random() < 0.7:
                self.severed |= {(o, host.name) for o in others}
        elif chance < 0.85:
            self.severed = set()
        elif chance < 0.87:
            host.files.full = True
        elif chance < 0.90:
            for each in self.hosts.values():
                each.files.full = False
        elif chance < 0.92:
            self._lose_power(host)

    def _lose_power(self, host):
        """All hosts at once, and perhaps one disk."""
        if self.random.random() < 0.5:
            self.lose_disk(host)
        for each in self.hosts.values():
            each.crash()

    def _jump_clocks(self):
        # Followers that skip ahead elect a leader while the old one still leads.
        leader_names = {host.name for host in self.leaders()}
        for host in self.hosts.values():
            if host.name not in leader_names:
                host.offset += 5.0
        if self.random.random() < 0.5:
            self.severed = {(a, b) for a in leader_names for b in self.hosts}

    def crash_soon(self, host: Host) -> None:
        """Perhaps crash a host that has just voted or been elected."""
        # Votes and first entries of a term are what a crash can break most.
        if self.faults and self.random.random() < self.fault_rate / 2:
            self.after(self.random.random() * 0.1, self._crash_life, host, host.life)

    def _crash_life(self, host, life):
        if host.up and host.life == life:
            host.crash()

    def _crash(self, host):
        if not host.up:
            return
        if self.random.random() < 0.5:
            host.crash(has_power=self.random.random() < 0.5)
        else:
            host.files.crash_after = self.random.randrange(1, 8)

    def lose_disk(self, host: Host) -> None:
        """Replace a host's disk, if a quorum of disks remains."""
        if not self.may_lose(host):
            return
        host.up = False
        host.life += 1
        host.replace_disk()
        self.after(0.1, host.restart, host.life)

    def may_lose(self, host: Host) -> bool:
        """Return whether a quorum of every configuration keeps its disks."""
        index, data = self.checks.newest_members
        configurations = [records.decode_members(data)]
        # Any later configuration may be on the disk of a host that is down.
        for (at, _), (kind, later, _) in self.checks.entries.items():
            if kind == records.MEMBERS and at > index:
                configurations.append(records.decode_members(later))
        # Before the first commit the founder's disk holds the only configuration.
        if not self.checks.committed:
            return False
        intact = {h.identity for h in self.hosts.values()} - {host.identity}
        for members in configurations:
            voters = {m.identity for m in members if m.voter}
            if len(voters & intact) * 2 <= len(voters):
                return False
        return True

    def settle(self, seconds: float = 30.0) -> None:
        """End all faults; the group must then elect, commit and converge."""
        self.loss, self.delay, self.severed = 0.0, 0.002, set()
        self.faults = False
        for host in self.hosts.values():
            host.offset, host.rate = host.now(), 1.0
            host.offset -= self.time
            host.files.full = False
            host.files.crash_after = None
            if not host.up:
                host.start()
        end = self.time + seconds
        proposed = 0
        while self.time < end:
            if self.time > end - seconds / 2 and not proposed and self.leaders():
                self._token += 1
                proposed = self._token
                command = b"last %d" % proposed
                self.leaders()[0].submit(records.Propose([(proposed, command)]))
            self.time, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self._check_settled(proposed)

    def _check_settled(self, proposed):
        if b"last %d" % proposed not in self.checks.acknowledged.values():
            raise InvariantViolation("no commit after all faults had ended")
        leader = self.leaders()[0]
        for member in leader.consensus.members:
            host = self.hosts.get(member.identity.partition("/")[0])
            if host and host.identity == member.identity:
                self.checks.final_state(host.identity, host.state)


def explore(seed: int, steps: int, **options: Any) -> Simulation:
    """Run one schedule; return the simulation."""
    # Small limits let short schedules reach transfers in several chunks.
    limits = {"LOG_RETAINED_ENTRIES": 5, "LOG_SNAPSHOT_CHUNK_BYTES": 300}
    with mock.patch.multiple(snapshots, **limits):
        simulation = Simulation(seed, **options)
        simulation.run(steps)
        simulation.settle()
    return simulation


@dataclass
class Options:
    """Explore schedules of the replicated log."""

    schedules: Annotated[int, cappa.Arg(long=True)] = 100
    steps: Annotated[int, cappa.Arg(long=True)] = 4000
    first_seed: Annotated[int, cappa.Arg(long=True)] = 1
    seconds: Annotated[float, cappa.Arg(long=True)] = 1e9


def main() -> None:
    """Explore and print every failing seed and a summary."""
    options = cappa.parse(Options)
    began = time.monotonic()
    failed = commands = installs = ran = 0
    for seed in range(options.first_seed, options.first_seed + options.schedules):
        if time.monotonic() - began > options.seconds:
            break
        ran += 1
        try:
            simulation = explore(seed, options.steps, hosts=3 + 2 * (seed % 2))
        except Exception as error:
            failed += 1
            print(f"seed {seed}: {type(error).__name__}: {error}", flush=True)
            continue
        commands += len(simulation.checks.acknowledged)
        installs += simulation.installs
    print(
        f"{ran} schedules, {ran * options.steps} steps, {commands} acknowledged "
        f"commands, {installs} installed snapshots, {failed} failed, "
        f"{time.monotonic() - began:.1f} s"
    )


if __name__ == "__main__":
    main()
