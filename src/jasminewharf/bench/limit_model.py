"""Servers that name limits, in virtual time: nodes, control hosts and faults.

Nodes and control hosts run the services of the product; links, elections and backend
servers are models. Every message crosses the codec, and its bytes are counted.
"""

import asyncio
import contextlib
import random
from collections import Counter
from typing import Any, NamedTuple

from ..decisions.backpressure import ServerIncarnation
from ..decisions.directory import Directory
from ..exceptions import LimitReached, LinkTimeout, NotLeader, PeerUnavailable
from ..kernel import Kernel, Service
from ..messages import decode, encode
from ..messages.link import Hello
from ..metrics import Metrics
from ..services.controllers import Controllers
from ..services.link import Identity, Preencoded
from ..services.permitowner import PermitOwner
from ..services.permits import Permits, PermitWish
from ..services.serverlimits import ServerLimits
from ..settings import BoundSettings, ControlHost
from .limit_checks import Arrival, Excess, find_excess
from .virtual import run_virtual

__all__ = [
    "FAULTS",
    "POLICIES",
    "STATUS_SUFFIX",
    "LimitModel",
    "LimitOutcome",
    "LimitScenario",
    "Part",
    "run_limits",
]

# Permits of one owner; as baselines a bucket of the whole limit at each host, one of an
# even share, or nothing.
POLICIES = ("owner", "host-bucket", "even-share", "none")
FAULTS = ("kill-leader", "cut-leader", "cut-node", "restart-node", "restart-control")

# Names the status reads of an agent among the arrivals at a server.
STATUS_SUFFIX = " status"

_CONTROL_HOSTS = 3
_CONTACT_S = 3.0
# A leader that is cut off learns of it by the heartbeats that it misses.
_LEADER_LEASE_S = 0.5
_ELECTION_S = (0.3, 1.2)
_DOWN_S = (0.5, 3.0)
_STATUS_S = 0.2
_SLOW_SHARE = 0.02


class LimitScenario(NamedTuple):
    """What is played.

    Attributes:
        nodes: Number of entries.
        servers: For each server, the times at which its limit changes, with the new
            one; None for no limit.
        requests_per_s: Requests a second of all entries together, to each server.
        skew: Share of the requests that come at the first entry.
        patience_s: How long a caller waits at most; each waits at least a tenth.
        service_s: Time of a server for a request, at most.
        answer_s: Shortest and longest time of the head of an answer on its way.
        agents: Whether an agent beside each server reads its status and gives orders.
        faults: How many faults strike, each drawn from :data:`FAULTS`.
        strikes: Faults that strike at a time, besides.
        loss: Share of the messages that are lost.
        policy: How nodes keep to a limit; see :data:`POLICIES`.
        duration_s: Virtual seconds that are played.
    """

    nodes: int
    servers: tuple[tuple[tuple[float, float | None], ...], ...]
    requests_per_s: float
    skew: float = 0.0
    patience_s: float = 4.0
    service_s: float = 0.4
    answer_s: tuple[float, float] = (0.0005, 0.004)
    agents: bool = True
    faults: int = 0
    strikes: tuple[tuple[float, str], ...] = ()
    loss: float = 0.0
    policy: str = "owner"
    duration_s: float = 30.0


class ServerOutcome(NamedTuple):
    """What reached one server.

    ``told`` is when each node read answers with a limit.
    """

    arrivals: list[Arrival]
    told: dict[str, list[float]]
    excess: list[Excess]


class LimitOutcome(NamedTuple):
    """What became of a scenario.

    Attributes:
        servers: The arrivals at each server and the windows with too many.
        answers: Pairs of time and outcome of callers' requests: served, or refused.
        refused_after_s: How long refused requests were held.
        messages: Messages on links by type.
        sent_bytes: Their bytes by type.
        unlimited_at: When the last node stopped believing in a limit, by server.
        waiting: Requests that wait at the control hosts at the end.
        remembered_askers: Requests whose nodes the control hosts remember.
    """

    servers: list[ServerOutcome]
    answers: list[tuple[float, str]]
    refused_after_s: list[float]
    messages: Counter[str]
    sent_bytes: Counter[str]
    unlimited_at: dict[str, float]
    waiting: int
    remembered_askers: int


def run_limits(scenario: LimitScenario, seed: int) -> LimitOutcome:
    """Play a scenario in virtual time."""
    return run_virtual(lambda: LimitModel(scenario, seed).play())


class _HostBucket:
    """A host's own bucket of one token, for the baselines."""

    def __init__(self, now: float) -> None:
        self._free_at = now

    async def take(self, rate_per_s: float, patience_s: float, server: str) -> None:
        """Wait for a token; raises ``LimitReached`` if it would take too long."""
        wait_s = max(self._free_at - _now(), 0.0)
        if wait_s > patience_s:
            raise LimitReached(server, wait_s)
        self._free_at = max(self._free_at, _now()) + 1 / max(rate_per_s, 1e-9)
        await asyncio.sleep(wait_s)


class _Fleet(NamedTuple):
    bounds: BoundSettings = BoundSettings()


class _Settings(NamedTuple):
    node: str
    control: tuple[ControlHost, ...]
    fleet: _Fleet = _Fleet()


class _Process(Service):
    name = "process"

    def __init__(self, kernel: Kernel, model: "LimitModel", role: str) -> None:
        super().__init__(kernel)
        self._model = model
        self.metrics = Metrics()
        self.random = random.Random(model.source.random())
        node = kernel.settings.node
        incarnation = model.source.getrandbits(62)
        self.identity = Identity(node, role, "zone-a", incarnation)

    def connect(self, role: str, node: str, address: str, handlers: dict) -> "_Link":
        return _Link(self._model, self.identity, node, handlers)


class Part(Service):
    """Stands in for a service of which only attributes are read."""

    def __init__(self, kernel: Kernel, name: str, **attributes: Any) -> None:
        super().__init__(kernel)
        self.name = name
        for key, value in attributes.items():
            setattr(self, key, value)


class _Relay(Service):
    name = "relay"

    def __init__(self, kernel: Kernel, model: "LimitModel") -> None:
        super().__init__(kernel)
        self._model = model
        self._greet: Any = None

    def listen(self, listener: Any) -> None:
        self._greet = listener

    def greet(self, peer: "_Peer") -> None:
        self._greet(peer)

    def followers(self) -> list["_Peer"]:
        return self._model.list_followers(self.kernel.settings.node)


class _Log(Service):
    name = "log"

    def __init__(self, kernel: Kernel, model: "LimitModel") -> None:
        super().__init__(kernel)
        self._model = model

    def is_leader(self, group: str) -> bool:
        return self._model.leads(self.kernel.settings.node)

    def leader(self, group: str) -> str:
        return f"{self._model.leader}/disk" if self._model.leader else ""


class _Control(Service):
    name = "control"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.handlers: dict[type, Any] = {}

    def handle(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler


class _Peer:
    """A node as a control host sees it."""

    def __init__(self, model: "LimitModel", control: str, identity: Identity) -> None:
        self._model = model
        self._control = control
        self.hello = Hello(*identity)
        self.node = identity.node

    def send(self, message: Any) -> None:
        data = message.data if isinstance(message, Preencoded) else encode(message)
        self._model.carry_down(self._control, self.hello, data)


class _Link:
    """A node's link to a control host."""

    def __init__(
        self, model: "LimitModel", identity: Identity, control: str, handlers: Any
    ) -> None:
        self._model = model
        self.identity = identity
        self._control = control
        self.handlers = handlers

    @property
    def is_connected(self) -> bool:
        return self._model.is_reachable(self.identity.node, self._control)

    def send(self, message: Any) -> None:
        if not self.is_connected:
            raise PeerUnavailable(self._control)
        self._model.carry_up(self, self._control, encode(message))

    async def request(self, message: Any, timeout_s: float) -> Any:
        if not self.is_connected:
            raise PeerUnavailable(self._control)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._model.ask(self, self._control, encode(message))
        except TimeoutError:
            raise LinkTimeout(f"no answer from {self._control}") from None

    def close(self) -> None:
        pass


class _Server:
    """A backend server; its answers name the limit that is in force meanwhile."""

    def __init__(
        self, number: int, limits: tuple[tuple[float, float | None], ...]
    ) -> None:
        self.incarnation = ServerIncarnation(f"i-{number}", 1_000)
        self.limits = limits
        self.arrivals: list[Arrival] = []
        self.told: dict[str, list[float]] = {}

    def read_limit(self, now: float) -> float | None:
        known = [limit for at, limit in self.limits if at <= now]
        return known[-1] if known else None


class LimitModel:
    """Plays a scenario; services of the product over links that are models."""

    def __init__(self, scenario: LimitScenario, seed: int) -> None:
        self.scenario = scenario
        self.source = random.Random(seed)
        self.controls = [f"control-{n}" for n in range(_CONTROL_HOSTS)]
        self.entries = [f"entry-{n}" for n in range(scenario.nodes)]
        self.agents = [f"agent-{n}" for n in range(len(scenario.servers))]
        if not scenario.agents:
            self.agents = []
        self.servers = [_Server(n, limits) for n, limits in enumerate(scenario.servers)]
        self.kernels: dict[str, Kernel] = {}
        self.leader = self.controls[0]
        # A leader that was cut off still believes that it leads until this time.
        self._believes_until: dict[str, float] = {}
        self._cut: set[str] = set()
        self.answers: list[tuple[float, str]] = []
        self.refused_after_s: list[float] = []
        self.messages: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.unlimited_at: dict[str, float] = {}
        self._buckets: dict[tuple[str, ServerIncarnation], _HostBucket] = {}
        self._tasks: set[asyncio.Task] = set()

    async def play(self) -> LimitOutcome:
        """Play the scenario and return what became of it."""
        for name in self.controls:
            await self._start_control(name)
        for name in (*self.entries, *self.agents):
            await self._start_node(name)
        for server in self.servers:
            self.spawn(self._call_forever(server))
        for number, name in enumerate(self.agents):
            self.spawn(self._read_status_forever(name, self.servers[number]))
            self.spawn(self._order_forever(name, self.servers[number]))
        self.spawn(self._follow_beliefs())
        self.spawn(self._strike())
        for at, fault in self.scenario.strikes:
            self.spawn(self._strike_at(at, fault))
        await asyncio.sleep(self.scenario.duration_s)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for kernel in self.kernels.values():
            await kernel.stop()
        return self._conclude()

    def _conclude(self) -> LimitOutcome:
        outcomes = []
        for server in self.servers:
            arrivals = sorted(server.arrivals)
            limits = [item for item in server.limits if item[1] is not None]
            excess = []
            if limits:
                excess = find_excess(arrivals, server.limits, server.told, _CONTACT_S)
            outcomes.append(ServerOutcome(arrivals, server.told, excess))
        return LimitOutcome(
            outcomes,
            self.answers,
            self.refused_after_s,
            self.messages,
            self.sent_bytes,
            self.unlimited_at,
            self._sum_gauges("permits_waiting"),
            self._sum_gauges("permit_askers"),
        )

    def _sum_gauges(self, name: str) -> int:
        kernels = (self.kernels[host] for host in self.controls if host in self.kernels)
        metrics = (kernel.find("process").metrics for kernel in kernels)
        return sum(int(each.read_gauge(name)) for each in metrics)

    def spawn(self, work: Any) -> None:
        """Run a task until the play ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Processes.

    def _build_kernel(self, name: str, role: str) -> Kernel:
        hosts = tuple(ControlHost(host, host, host) for host in self.controls)
        kernel = Kernel(_Settings(name, hosts))
        kernel.register(_Process(kernel, self, role))
        kernel.register(Controllers(kernel))
        return kernel

    async def _start_control(self, name: str) -> None:
        kernel = self._build_kernel(name, "control")
        kernel.register(_Log(kernel, self))
        kernel.register(_Control(kernel))
        kernel.register(_Relay(kernel, self))
        self.register_control(kernel)
        self.kernels[name] = kernel
        await kernel.start()
        for peer in self.list_followers(name):
            kernel.find("relay").greet(peer)

    async def _start_node(self, name: str) -> None:
        role = name.partition("-")[0]
        kernel = self._build_kernel(name, role)
        self.register_node(kernel, name)
        self.kernels[name] = kernel
        await kernel.start()
        source = self.find_source(name)
        if source in self.kernels:
            identity = kernel.find("process").identity
            self.kernels[source].find("relay").greet(_Peer(self, source, identity))

    def register_node(self, kernel: Kernel, name: str) -> None:
        """Register the services of an entry or agent."""
        directory = Directory()
        digest = dict.fromkeys((*self.entries, *self.agents))
        kernel.register(Part(kernel, "directory", directory=directory))
        kernel.register(Part(kernel, "feed", source=self.find_source(name)))
        kernel.register(Part(kernel, "reports", digest=digest))
        kernel.register(ServerLimits(kernel))
        kernel.register(Permits(kernel))

    def register_control(self, kernel: Kernel) -> None:
        """Register the services of a control host beside log, control and relay."""
        kernel.register(PermitOwner(kernel))

    def find_source(self, node: str) -> str:
        """Return the control host that a node follows."""
        number = int(node.rpartition("-")[2])
        return self.controls[number % len(self.controls)]

    def list_followers(self, control: str) -> list[_Peer]:
        """Return the nodes that follow a control host."""
        return [
            _Peer(self, control, self.kernels[node].find("process").identity)
            for node in (*self.entries, *self.agents)
            if node in self.kernels and self.find_source(node) == control
        ]

    def leads(self, control: str) -> bool:
        """Return whether a control host believes that it leads."""
        if control == self.leader:
            return True
        return _now() < self._believes_until.get(control, 0.0)

    # Links.

    def is_reachable(self, one: str, other: str) -> bool:
        """Return whether two processes live and no cut lies between them."""
        is_up = one in self.kernels and other in self.kernels
        return is_up and not self._cut & {one, other}

    async def _cross(self, sender: str, receiver: str, data: bytes) -> bool:
        """Carry a message; return whether it arrives."""
        kind = type(decode(data)).__name__
        self.messages[kind] += 1
        self.sent_bytes[kind] += len(data)
        is_slow = self.source.random() < _SLOW_SHARE
        span = (0.05, 0.5) if is_slow else (0.0003, 0.004)
        await asyncio.sleep(self.source.uniform(*span))
        is_lost = self.source.random() < self.scenario.loss
        return not is_lost and self.is_reachable(sender, receiver)

    def carry_up(self, link: _Link, control: str, data: bytes) -> None:
        """Carry a one-way message to a control host."""

        async def carry() -> None:
            if await self._cross(link.identity.node, control, data):
                peer = _Peer(self, control, link.identity)
                self._handle(control, peer, decode(data))

        self.spawn(carry())

    def _handle(self, control: str, peer: _Peer, message: Any) -> Any:
        handler = self.kernels[control].find("control").handlers[type(message)]
        return handler(peer, message)

    def carry_down(self, control: str, hello: Hello, data: bytes) -> None:
        """Carry a one-way message from a control host to a node."""

        async def carry() -> None:
            if not await self._cross(control, hello.node, data):
                return
            kernel = self.kernels[hello.node]
            if kernel.find("process").identity.incarnation != hello.incarnation:
                return
            link = kernel.find("controllers").links[control]
            message = decode(data)
            link.handlers.get(type(message))(message)

        self.spawn(carry())

    async def ask(self, link: _Link, control: str, data: bytes) -> Any:
        """Carry a request to a control host and its answer back."""
        node = link.identity.node
        if not await self._cross(node, control, data):
            await asyncio.sleep(3_600.0)
        peer = _Peer(self, control, link.identity)
        try:
            answer = encode(self._handle(control, peer, decode(data)))
        except NotLeader as error:
            await asyncio.sleep(0.002)
            raise error
        if not await self._cross(control, node, answer):
            await asyncio.sleep(3_600.0)
        return decode(answer)

    # Load.

    async def _call_forever(self, server: _Server) -> None:
        while True:
            await asyncio.sleep(self.source.expovariate(self.scenario.requests_per_s))
            is_first = self.source.random() < self.scenario.skew
            node = self.entries[0] if is_first else self.source.choice(self.entries)
            if node in self.kernels:
                self.spawn(self.call(node, server))

    async def call(self, node: str, server: _Server) -> None:
        """Send a caller's request from an entry."""
        began_at = _now()
        patience_s = self.scenario.patience_s * self.source.uniform(0.1, 1.0)
        priority = self.source.randrange(3)
        workspace = f"w-{self.source.randrange(4)}"
        wish = PermitWish("first", workspace, priority, patience_s)
        try:
            await self._send(node, server, wish, self.scenario.service_s)
        except LimitReached:
            self.answers.append((_now(), "refused"))
            self.refused_after_s.append(_now() - began_at)
            return
        self.answers.append((_now(), "served"))

    async def _send(
        self, node: str, server: _Server, wish: PermitWish, service_s: float
    ) -> None:
        permits = self.kernels[node].find("permits")
        table = self.kernels[node].find("directory").directory.limits
        limit = table.find(server.incarnation)
        if self.scenario.policy != "owner":
            await self._take_local(node, limit, wish)
            await self._reach(node, server, limit, _now(), service_s)
            return
        permit = await permits.acquire(limit, wish)
        if node not in self.kernels:
            return
        with contextlib.closing(permit):
            permit.spend()
        await self._reach(node, server, limit, permit.sent_at, service_s)

    async def _take_local(self, node: str, limit: Any, wish: PermitWish) -> None:
        if not limit.is_limited or self.scenario.policy == "none":
            return
        shares = 1 if self.scenario.policy == "host-bucket" else len(self.entries)
        bucket = self._buckets.setdefault((node, limit.server), _HostBucket(_now()))
        await bucket.take(limit.per_s / shares, wish.patience_s, limit.server.server)

    async def _reach(
        self,
        node: str,
        server: _Server,
        limit: Any,
        sent_at: float,
        service_s: float,
        kind: str = "",
    ) -> None:
        host = node + kind
        await asyncio.sleep(self.source.uniform(0.0005, 0.004))
        server.arrivals.append(Arrival(_now(), host))
        await asyncio.sleep(self.source.uniform(0.1, 1.0) * service_s)
        per_s = server.read_limit(_now())
        await asyncio.sleep(self.source.uniform(*self.scenario.answer_s))
        kernel = self.kernels.get(node)
        if kernel is None:
            return
        if per_s is not None:
            server.told.setdefault(host, []).append(_now())
        kernel.find("server-limits").note_answer(limit, per_s, sent_at, may_end=True)

    async def _read_status_forever(self, node: str, server: _Server) -> None:
        while True:
            await asyncio.sleep(_STATUS_S)
            permits = self.kernels[node].find("permits")
            table = self.kernels[node].find("directory").directory.limits
            limit = table.find(server.incarnation)
            permit = permits.acquire_status(limit)
            if permit is not None:
                permit.spend()
                await self._reach(
                    node, server, limit, permit.sent_at, 0.01, STATUS_SUFFIX
                )

    async def _order_forever(self, node: str, server: _Server) -> None:
        wish = PermitWish("order", "", -1, 1.6)
        while True:
            await asyncio.sleep(self.source.expovariate(0.5))
            with contextlib.suppress(LimitReached):
                await self._send(node, server, wish, 0.02)

    async def _follow_beliefs(self) -> None:
        """Note until when some node believes in the limit of each server."""
        while True:
            await asyncio.sleep(0.05)
            for server in self.servers:
                for name in self.entries:
                    kernel = self.kernels.get(name)
                    if kernel is None:
                        continue
                    table = kernel.find("directory").directory.limits
                    if table.find_rate(server.incarnation) is not None:
                        self.unlimited_at[server.incarnation.server] = _now()

    # Faults.

    async def _strike(self) -> None:
        gap_s = self.scenario.duration_s / (self.scenario.faults + 1)
        for _ in range(self.scenario.faults):
            await asyncio.sleep(gap_s * self.source.uniform(0.7, 1.3))
            fault = self.source.choice(FAULTS)
            self.spawn(getattr(self, f"_{fault.replace('-', '_')}")())

    async def _strike_at(self, at: float, fault: str) -> None:
        await asyncio.sleep(at - _now())
        await getattr(self, f"_{fault.replace('-', '_')}")()

    async def _wait_down(self) -> None:
        await asyncio.sleep(self.source.uniform(*_DOWN_S))

    async def _elect(self) -> None:
        self.leader = ""
        await asyncio.sleep(self.source.uniform(*_ELECTION_S))
        living = [c for c in self.controls if c in self.kernels and c not in self._cut]
        self.leader = self.source.choice(living) if living else ""

    async def _restart(self, name: str, start: Any) -> None:
        kernel = self.kernels.pop(name, None)
        if kernel is None:
            return
        await kernel.stop()
        await self._wait_down()
        await start(name)

    async def _kill_leader(self) -> None:
        leader = self.leader
        if leader in self.kernels and len(self.kernels) > 1:
            self.spawn(self._elect())
            await self._restart(leader, self._start_control)

    async def _restart_control(self) -> None:
        others = [c for c in self.controls if c != self.leader]
        await self._restart(self.source.choice(others), self._start_control)

    async def _cut_leader(self) -> None:
        leader = self.leader
        if not leader:
            return
        self._cut.add(leader)
        self._believes_until[leader] = _now() + _LEADER_LEASE_S
        self.spawn(self._elect())
        await self._wait_down()
        self._cut.discard(leader)

    async def _cut_node(self) -> None:
        node = self.source.choice(self.entries)
        self._cut.add(node)
        await self._wait_down()
        self._cut.discard(node)

    async def _restart_node(self) -> None:
        node = self.source.choice(self.entries)
        for server in self.servers:
            server.told.pop(node, None)
        await self._restart(node, self._start_node)


def _now() -> float:
    return asyncio.get_running_loop().time()
