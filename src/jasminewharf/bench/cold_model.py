"""Servers that turn cold, in virtual time: nodes, control hosts and faults.

Builds on the model of limits. An agent beside each server reads what the server says of
itself; entries send at the usual rate, and in bursts.
"""

import asyncio
import contextlib
from collections import Counter, deque
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any, NamedTuple

from ..decisions.coldservers import ColdRule
from ..decisions.configurations import ServiceSpec
from ..decisions.directory import Directory
from ..dialects.fleet import ListedServer
from ..kernel import Kernel
from ..services.coldengine import ColdEngine
from ..services.coldrelay import ColdRelay
from ..services.coldservers import ColdServers
from ..services.permits import Permits
from ..services.serverlimits import ServerLimits
from .limit_checks import Arrival
from .limit_model import LimitModel, LimitScenario, Part
from .virtual import run_virtual

__all__ = ["ColdOutcome", "ColdScenario", "find_fullest_second", "run_cold"]

_SERVICE = "llm"
_POLL_S = 0.1
_BURST_S = 0.1
_WINDOW_S = 1.0
# After the start, when the first owner of the permits holds them back.
_SETTLED_S = 4.0


class ColdScenario(NamedTuple):
    """What is played.

    Attributes:
        nodes: Number of entries.
        per_s: Requests a second that the server tolerates while it is cold.
        requests_per_s: Requests a second of all entries together.
        start_s: How long it stays cold.
        turns: When it turns cold again.
        bursts: Times and numbers of requests that come together, besides.
        burst_entries: How many entries share a burst.
        has_agent: Whether an agent reads what the server says.
        patience_s: How long a caller waits at most.
        faults: How many faults strike, each drawn from those of the limits' model.
        strikes: Faults that strike at a time, besides.
        loss: Share of the messages that are lost.
        duration_s: Virtual seconds that are played.
    """

    nodes: int
    per_s: float = 23.0
    requests_per_s: float = 12.0
    start_s: float = 3.0
    turns: tuple[float, ...] = ()
    bursts: tuple[tuple[float, int], ...] = ()
    burst_entries: int = 1_000
    has_agent: bool = True
    patience_s: float = 4.0
    faults: int = 0
    strikes: tuple[tuple[float, str], ...] = ()
    loss: float = 0.0
    duration_s: float = 30.0


class ColdOutcome(NamedTuple):
    """What became of a scenario.

    Attributes:
        arrivals: The requests of callers that reached the server.
        fullest: The most of them in any second.
        fullest_cold: The most of them in any second in which the server was cold.
        served: Requests that were sent.
        refused: Requests that were refused.
        waits_s: How long sent requests waited, in order; without those of the first
            seconds, in which the first owner of the permits holds them back.
        known_cold_s: How long after each turn the last entry in contact knew.
        messages: Messages on links by type.
    """

    arrivals: list[Arrival]
    fullest: int
    fullest_cold: int
    served: int
    refused: int
    waits_s: list[float]
    known_cold_s: list[float]
    messages: Counter[str]


def run_cold(scenario: ColdScenario, seed: int) -> ColdOutcome:
    """Play a scenario in virtual time."""
    return run_virtual(lambda: _ColdModel(scenario, seed).play_cold())


def find_fullest_second(times: Sequence[float]) -> int:
    """Return the most arrivals in any second."""
    window: deque[float] = deque()
    fullest = 0
    for at in sorted(times):
        window.append(at)
        while window[0] <= at - _WINDOW_S:
            window.popleft()
        fullest = max(fullest, len(window))
    return fullest


class _ColdModel(LimitModel):
    def __init__(self, scenario: ColdScenario, seed: int) -> None:
        limits = LimitScenario(
            scenario.nodes,
            ((),),
            scenario.requests_per_s,
            patience_s=scenario.patience_s,
            faults=scenario.faults,
            strikes=scenario.strikes,
            loss=scenario.loss,
            duration_s=scenario.duration_s,
        )
        super().__init__(limits, seed)
        self.cold = scenario
        self.waits_s: list[float] = []
        self.known_cold_s: list[float] = []

    async def play_cold(self) -> ColdOutcome:
        for at, count in self.cold.bursts:
            self.spawn(self._burst(at, count))
        for at in self.cold.turns:
            self.spawn(self._watch_turn(at))
        outcome = await self.play()
        arrivals = [
            arrival
            for arrival in outcome.servers[0].arrivals
            if arrival.host.startswith("entry")
        ]
        kinds = Counter(kind for _, kind in outcome.answers)
        return ColdOutcome(
            arrivals,
            find_fullest_second([arrival.at for arrival in arrivals]),
            max(self._count_cold(arrivals, at) for at in (0.0, *self.cold.turns)),
            kinds["served"],
            kinds["refused"],
            sorted(self.waits_s),
            self.known_cold_s,
            outcome.messages,
        )

    def register_node(self, kernel: Kernel, name: str) -> None:
        """Register the services of an entry or agent."""
        rule = ColdRule(self.cold.per_s, self.cold.start_s)
        table = SimpleNamespace(
            services={_SERVICE: ServiceSpec(_SERVICE, 0, None, rule)}
        )
        directory = Directory()
        directory.cold.set_rules({_SERVICE: rule})
        server = self.servers[0].incarnation
        listed = ListedServer(
            server.server, _SERVICE, "10.0.0.1:1", "z", "", 32, False, -1, 1_000, ()
        )
        directory.take_list([listed], _now())
        started = _now()
        digest = {
            node: SimpleNamespace(node=node, role=node.partition("-")[0])
            for node in (*self.entries, *self.agents)
        }
        kernel.register(
            Part(
                kernel,
                "directory",
                directory=directory,
                is_settled=lambda: _now() - started > 3.0 or started == 0.0,
            )
        )
        kernel.register(Part(kernel, "feed", source=self.find_source(name)))
        kernel.register(Part(kernel, "view", table=table, listen=lambda listener: None))
        kernel.register(Part(kernel, "reports", digest=digest))
        kernel.register(ServerLimits(kernel))
        kernel.register(ColdServers(kernel))
        kernel.register(Permits(kernel))

    def register_control(self, kernel: Kernel) -> None:
        """Register the services of a control host."""
        super().register_control(kernel)
        rule = ColdRule(self.cold.per_s, self.cold.start_s)
        services = {_SERVICE: ServiceSpec(_SERVICE, 0, None, rule)}
        table = SimpleNamespace(services=services)
        kernel.register(Part(kernel, "view-on-control", table=table))
        kernel.register(ColdRelay(kernel))

    def _count_cold(self, arrivals: Sequence[Arrival], turn: float) -> int:
        end = turn + self.cold.start_s
        return find_fullest_second([a.at for a in arrivals if turn <= a.at <= end])

    def _left_s(self) -> float:
        now = _now()
        begun = [at for at in (0.0, *self.cold.turns) if at <= now]
        return max(max(begun) + self.cold.start_s - now, 0.0)

    async def _read_status_forever(self, node: str, server: Any) -> None:
        """Read what the server says of itself, as its agent does."""
        if not self.cold.has_agent:
            return
        engine = ColdEngine(self.kernels[node], "10.0.0.1:1", list)
        while True:
            await asyncio.sleep(_POLL_S)
            asked_at = _now()
            await asyncio.sleep(self.source.uniform(0.0005, 0.004))
            engine.note(self._left_s() * 1_000, 1_000, asked_at)

    async def _order_forever(self, node: str, server: Any) -> None:
        """Orders do not count."""

    async def _send(self, node: str, server: Any, wish: Any, service_s: float) -> None:
        kernel = self.kernels[node]
        limit = kernel.find("directory").directory.limits.find(server.incarnation)
        began_at = _now()
        permit = await kernel.find("permits").acquire(limit, wish)
        if self.kernels.get(node) is not kernel:
            return
        # A connection may take longer than the permit is good for.
        is_slow = self.source.random() < 0.05
        await asyncio.sleep(self.source.uniform(0.1, 0.6) if is_slow else 0.001)
        with contextlib.closing(permit):
            permit.spend()
        if began_at >= _SETTLED_S:
            self.waits_s.append(_now() - began_at)
        await self._reach(node, server, limit, permit.sent_at, service_s)

    async def _burst(self, at: float, count: int) -> None:
        await asyncio.sleep(at)
        for _ in range(count):
            node = self.source.choice(self.entries[: self.cold.burst_entries])
            if node in self.kernels:
                self.spawn(self._call_in_burst(node))

    async def _call_in_burst(self, node: str) -> None:
        await asyncio.sleep(self.source.uniform(0.0, _BURST_S))
        if node in self.kernels:
            await self.call(node, self.servers[0])

    async def _watch_turn(self, at: float) -> None:
        """Measure how long it takes until each entry in contact knows of a turn."""
        await asyncio.sleep(at)
        while _now() < at + self.cold.start_s:
            if all(self._knows(node) for node in self.entries):
                self.known_cold_s.append(_now() - at)
                return
            await asyncio.sleep(0.01)

    def _knows(self, node: str) -> bool:
        kernel = self.kernels.get(node)
        if kernel is None:
            return True
        limits = kernel.find("directory").directory.limits
        cold = limits.find(self.servers[0].incarnation).cold
        return cold is not None and cold.is_cold(_now())


def _now() -> float:
    return asyncio.get_running_loop().time()
