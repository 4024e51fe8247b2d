"""The services that lend tokens of workspaces' rates, in virtual time.

Owner and entries are the product's own services. Links between them delay messages,
drop those to a lost host and are the only stand-ins, beside callers that repeat
refused requests as they are told.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from types import SimpleNamespace
from typing import Any, NamedTuple

from ..decisions.configurations import WorkspaceSpec
from ..exceptions import NotLeader, QuorumLost, RateExceeded, Refusal
from ..messages.servers import OwnerBegan
from ..metrics import Metrics
from ..services.lending import Charge, RateBorrower, find_token_patience
from ..services.ratelender import RateLender
from ..settings import BoundSettings
from .virtual import run_virtual

__all__ = [
    "POLICIES",
    "DEFAULT_BOUNDS",
    "Call",
    "Fault",
    "LendingFleet",
    "LendingPolicy",
    "Outcome",
    "Sent",
    "Told",
    "run_lending",
]

DEFAULT_BOUNDS = BoundSettings(rate_slack_tokens=7_400.0)
_HOSTS = 3
_DELAY_S = 0.001
_PATIENCE_S = 2.0


class LendingPolicy(NamedTuple):
    """How tokens are lent; without a share of the target, ahead of time."""

    wait_share: float
    carry_s: float = 0.0
    has_reports: bool = True


# The first is how tokens were lent before there were reports or a queue.
POLICIES: dict[str, LendingPolicy] = {
    "ahead-0.12": LendingPolicy(0.0, has_reports=False),
    "default": LendingPolicy(0.0),
    "queue-0.12": LendingPolicy(0.12),
    "queue-0.5": LendingPolicy(0.5),
    "carry-1": LendingPolicy(0.5, 1.0),
    "carry-8": LendingPolicy(0.5, 8.0),
}


class Call(NamedTuple):
    """A caller's request; it is repeated until ``deadline_s`` after ``at``."""

    at: float
    entry: int
    workspace: str
    tokens: float
    target_s: float = 0.5
    deadline_s: float = 12.0
    priority: int = 5
    kind: str = ""


class Fault(NamedTuple):
    """Something that happens to the fleet at a time."""

    at: float
    apply: Callable[["LendingFleet"], Awaitable[None]]


class Sent(NamedTuple):
    """A request that got its tokens, ``tries`` counts from 1."""

    at: float
    call: Call
    tries: int


class Told(NamedTuple):
    """A refusal; ``is_last`` if the caller has no time to come back."""

    at: float
    call: Call
    status: int
    is_last: bool


class Outcome(NamedTuple):
    """What became of the calls."""

    sent: list[Sent]
    refused: list[Told]


class _Log:
    def __init__(self, fleet: "LendingFleet", host: str) -> None:
        self._fleet = fleet
        self._host = host

    def is_leader(self, group: str) -> bool:
        return self._fleet.leader == self._host

    def leader(self, group: str) -> str:
        return self._fleet.leader


class _Control:
    """Handlers of a control host, and the entries linked to it."""

    def __init__(self, fleet: "LendingFleet") -> None:
        self.handlers: dict[type, Any] = {}
        self._fleet = fleet

    def handle(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def peers(self) -> list[Any]:
        return [entry.peer for entry in self._fleet.entries]


class _Link:
    """A link to a control host."""

    is_connected = True

    def __init__(self, entry: "_Entry", host: str) -> None:
        self._entry = entry
        self._host = host

    def send(self, message: Any) -> None:
        fleet = self._entry.fleet
        fleet.later(lambda: fleet.deliver(self._host, self._entry, message))


class _Controllers:
    def __init__(self, entry: "_Entry") -> None:
        self._entry = entry
        self.handlers: dict[type, Any] = {}
        self.links = {host: _Link(entry, host) for host in entry.fleet.hosts}
        self._leaderless_at = float("-inf")

    def handle(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def find_leader(self, group: str) -> _Link | None:
        return self.links.get(self._entry.fleet.leader)

    def leaderless_at(self, group: str) -> float:
        return self._leaderless_at

    async def request_repeatable(
        self, group: str, message: Any, timeout_s: float, attempt_s: float
    ) -> Any:
        fleet = self._entry.fleet
        deadline = fleet.now() + timeout_s
        while fleet.now() < deadline:
            await asyncio.sleep(fleet.delay_s())
            host = fleet.leader
            if not host:
                self._leaderless_at = fleet.now()
            elif self._entry.is_linked:
                try:
                    answer = fleet.deliver(host, self._entry, message)
                except NotLeader:
                    answer = None
                await asyncio.sleep(fleet.delay_s())
                if answer is not None:
                    return answer
            await asyncio.sleep(0.05)
        raise QuorumLost(f"no leader of {group}")


class _Peer:
    def __init__(self, entry: "_Entry") -> None:
        self._entry = entry
        self.node = entry.name
        self.hello = SimpleNamespace(node=entry.name, role="entry")

    def send(self, message: Any) -> None:
        fleet, entry = self._entry.fleet, self._entry
        is_dropped = isinstance(message, OwnerBegan) and not fleet.policy.has_reports
        if is_dropped or not entry.is_linked:
            return
        host = fleet.leader
        controllers = entry.controllers
        handler = controllers.handlers[type(message)]
        fleet.later(lambda: handler(host, message))


class _Entry:
    """An entry with the product's own borrower."""

    def __init__(self, fleet: "LendingFleet", name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.is_linked = True
        self.peer = _Peer(self)
        self.controllers = _Controllers(self)
        self.borrower = self._build()

    def _build(self) -> RateBorrower:
        kernel: Any = SimpleNamespace(settings=self.fleet.settings)
        parts = {"process": self.fleet.process, "controllers": self.controllers}
        kernel.find = parts.__getitem__
        return RateBorrower(kernel)

    async def restart(self) -> None:
        """Lose what the entry knew."""
        await self.borrower.stop()
        self.borrower = self._build()
        await self.borrower.start()


class LendingFleet:
    """Entries, control hosts and callers.

    Attributes:
        leader: The control host that owns the rates; empty while there is none.
        workspaces: The specifications in force.
    """

    def __init__(
        self,
        policy: LendingPolicy,
        workspaces: Sequence[WorkspaceSpec],
        entries: int,
        source: random.Random,
        bounds: BoundSettings,
    ) -> None:
        self.policy = policy
        self.workspaces = {spec.name: spec for spec in workspaces}
        self.source = source
        bounds = bounds._replace(
            rate_wait_share=policy.wait_share, rate_carry_s=policy.carry_s
        )
        fleet = SimpleNamespace(bounds=bounds, first_start=True)
        self.settings = SimpleNamespace(fleet=fleet)
        self.process = SimpleNamespace(metrics=Metrics(), random=source)
        self.hosts = [f"c-{number}" for number in range(_HOSTS)]
        self.leader = self.hosts[0]
        self._controls = {host: _Control(self) for host in self.hosts}
        self.lenders = {host: self._build_lender(host) for host in self.hosts}
        self.entries = [_Entry(self, f"e-{number}") for number in range(entries)]
        self.outcome = Outcome([], [])

    def _build_lender(self, host: str) -> RateLender:
        kernel: Any = SimpleNamespace(settings=self.settings)
        view = SimpleNamespace()
        parts = {"log": _Log(self, host), "control": self._controls[host]}
        kernel.find = {**parts, "view-on-control": view}.__getitem__
        lender = RateLender(kernel)
        lender._find_workspace = self.workspaces.get  # type: ignore[method-assign]
        return lender

    def now(self) -> float:
        """Return virtual seconds."""
        return asyncio.get_running_loop().time()

    def delay_s(self) -> float:
        """Return the time of one way."""
        return _DELAY_S * self.source.uniform(0.5, 1.5)

    def later(self, act: Callable[[], Any]) -> None:
        """Do something after one way."""
        asyncio.get_running_loop().call_later(self.delay_s(), act)

    def deliver(self, host: str, entry: _Entry, message: Any) -> Any:
        """Hand a message to a control host and return its answer."""
        if not entry.is_linked or host not in self.lenders:
            return None
        return self._controls[host].handlers[type(message)](entry.peer, message)

    async def lose_owner(self, gap_s: float) -> None:
        """End the leader; another host leads after a while."""
        lost = self.leader
        self.leader = ""
        await asyncio.sleep(gap_s)
        others = [host for host in self.hosts if host != lost]
        self.leader = others[0]

    async def start(self) -> None:
        """Start the services."""
        for lender in self.lenders.values():
            await lender.start()
        for entry in self.entries:
            await entry.borrower.start()

    async def stop(self) -> None:
        """End the services."""
        for entry in self.entries:
            await entry.borrower.stop()
        for lender in self.lenders.values():
            await lender.stop()

    async def call(self, call: Call) -> None:
        """Send a request as often as the caller has time for it."""
        await asyncio.sleep(max(call.at - self.now(), 0.0))
        tries = 0
        while True:
            tries += 1
            left_s = call.at + call.deadline_s - self.now()
            borrower = self.entries[call.entry].borrower
            spec = self.workspaces[call.workspace]
            charge = Charge(borrower, spec, int(call.tokens), "", call.priority)
            patience = find_token_patience(
                self.settings.fleet.bounds, call.target_s, min(left_s, _PATIENCE_S)
            )
            try:
                await charge.take(patience)
            except Refusal as error:
                status = 429 if isinstance(error, RateExceeded) else 503
                back_s = (error.retry_after_ms or 0) / 1_000
                is_last = back_s >= left_s
                self.outcome.refused.append(Told(self.now(), call, status, is_last))
                if is_last:
                    return
                await asyncio.sleep(back_s)
            else:
                self.outcome.sent.append(Sent(self.now(), call, tries))
                return


def run_lending(
    policy: LendingPolicy,
    workspaces: Sequence[WorkspaceSpec],
    calls: Sequence[Call],
    faults: Sequence[Fault] = (),
    *,
    entries: int = 28,
    seed: int = 1,
    bounds: BoundSettings = DEFAULT_BOUNDS,
) -> Outcome:
    """Play calls and faults in virtual time."""
    source = random.Random(seed)

    async def play() -> Outcome:
        fleet = LendingFleet(policy, workspaces, entries, source, bounds)
        await fleet.start()
        async with asyncio.TaskGroup() as group:
            for call in calls:
                group.create_task(fleet.call(call))
            for fault in faults:
                group.create_task(_apply(fleet, fault))
        await fleet.stop()
        return fleet.outcome

    return run_virtual(play)


async def _apply(fleet: LendingFleet, fault: Fault) -> None:
    await asyncio.sleep(fault.at)
    await fault.apply(fleet)
