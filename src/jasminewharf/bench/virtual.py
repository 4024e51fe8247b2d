"""An event loop in virtual time, and a log and a network for it."""

import asyncio
import random
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

from ..exceptions import LinkTimeout, NotLeader
from ..services.groups import StateMachine

__all__ = ["MemoryLog", "MemoryMember", "MemoryNetwork", "VirtualLoop", "run_virtual"]


class _VirtualSelector(selectors.SelectSelector):
    """Advances the loop's time instead of waiting; there is no input or output."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is scheduled in virtual time")
        self.loop.advance(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers as fast as the machine can; sockets don't work in it."""

    def __init__(self) -> None:
        selector = _VirtualSelector()
        self._virtual_s = 0.0
        super().__init__(selector)
        selector.loop = self

    def time(self) -> float:
        """Return virtual seconds."""
        return self._virtual_s

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        self._virtual_s += max(0.0, seconds)


def run_virtual(main: Callable[[], Awaitable[Any]]) -> Any:
    """Run a coroutine function in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())


class MemoryLog:
    """Log groups of several members in memory, with one leader for all groups.

    Args:
        source: Draws delays.
        commit_s: Mean time of a commit or a quorum read.
    """

    def __init__(self, source: random.Random, commit_s: float) -> None:
        self.leader: MemoryMember | None = None
        self.commands = 0
        self._source = source
        self._commit_s = commit_s
        self._index = 0
        self._members: list[MemoryMember] = []

    def add_member(self) -> "MemoryMember":
        """Return a new member; the first one leads."""
        member = MemoryMember(self)
        self._members.append(member)
        if self.leader is None:
            self.leader = member
        return member

    async def confirm(self, member: "MemoryMember", group: str) -> None:
        """Wait as long as a quorum takes and check the leadership before and after.

        Raises:
            NotLeader: If ``member`` did not lead for the whole time.
        """
        delay_s = self._commit_s * self._source.uniform(0.5, 1.5)
        led = self.leader is member
        await asyncio.sleep(delay_s)
        if not led or self.leader is not member:
            raise NotLeader(group, "")

    def commit(self, group: str, command: bytes) -> tuple[int, dict[Any, bytes]]:
        """Apply a command at every member; return its index and their results."""
        self._index += 1
        self.commands += 1
        results = {
            member: member.machines[group].apply(self._index, command)
            for member in self._members
            if group in member.machines
        }
        return self._index, results


class MemoryMember:
    """One member's view of the log; implements ``GroupLog``."""

    def __init__(self, log: MemoryLog) -> None:
        self._log = log
        self.machines: dict[str, StateMachine] = {}

    def register_machine(self, group: str, machine: StateMachine) -> None:
        """Feed the committed commands of ``group`` to ``machine``."""
        self.machines[group] = machine

    def is_leader(self, group: str) -> bool:
        """Return whether this member leads."""
        return self._log.leader is self

    async def propose(self, group: str, command: bytes) -> tuple[int, bytes]:
        """Commit a command."""
        await self._log.confirm(self, group)
        index, results = self._log.commit(group, command)
        return index, results[self]

    async def read_barrier(self, group: str) -> None:
        """Confirm the leadership."""
        await self._log.confirm(self, group)


class MemoryNetwork:
    """Carries requests to the leader with delay and loss.

    Args:
        source: Draws delays and losses.
        delay_s: Mean one-way delay.
        loss: Probability that a message is lost, in each direction.
    """

    def __init__(self, source: random.Random, delay_s: float, loss: float) -> None:
        self.requests = 0
        self.loss = loss
        self._source = source
        self._delay_s = delay_s
        self._handlers: dict[str, Callable[[Any], Awaitable[Any]]] = {}

    def serve(self, group: str, handler: Callable[[Any], Awaitable[Any]]) -> None:
        """Answer a group's requests with ``handler``."""
        self._handlers[group] = handler

    async def request(self, group: str, message: Any, timeout_s: float) -> Any:
        """Return the handler's answer, as ``GroupRequester`` states."""
        self.requests += 1
        try:
            return await asyncio.wait_for(self._carry(group, message), timeout_s)
        except TimeoutError:
            raise LinkTimeout(f"no answer from {group}") from None

    async def _carry(self, group: str, message: Any) -> Any:
        await self._cross()
        handler = self._handlers.get(group)
        if handler is None:
            raise NotLeader(group, "")
        answer = await handler(message)
        await self._cross()
        return answer

    async def _cross(self) -> None:
        if self._source.random() < self.loss:
            await asyncio.sleep(3600.0)
        await asyncio.sleep(self._delay_s * self._source.uniform(0.5, 1.5))
