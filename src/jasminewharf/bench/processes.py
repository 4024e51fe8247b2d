"""Processes of the rate model, each with a clock of its own."""

import random
from collections.abc import Callable
from typing import Any, Protocol

from ..decisions.grants import GrantAllocator
from ..decisions.holders import GrantHolder
from ..defaults import CLOCK_DRIFT_BOUND
from ..messages.control import GrantRequest

__all__ = ["Clock", "Entry", "Owner", "Proposal"]


class Timeline(Protocol):
    """Holds the true time in seconds."""

    time: float


class Clock:
    """A local clock with an offset and a rate within the drift bound."""

    def __init__(self, timeline: "Timeline", source: random.Random) -> None:
        self._timeline = timeline
        self._offset = source.uniform(0, 1e5)
        self._rate = 1 + source.choice((-1, 0, 1)) * CLOCK_DRIFT_BOUND

    def now(self) -> float:
        """Return local seconds."""
        return self._offset + self._timeline.time * self._rate


class Entry:
    """A holder process with its running calls."""

    def __init__(self, name: str, incarnation: int, clock: Clock) -> None:
        self.name = name
        self.incarnation = incarnation
        self.clock = clock
        self.holder = GrantHolder(name, incarnation)
        self.waiting: dict[str, tuple[str, int]] = {}
        self.running: dict[str, tuple[str, int, float]] = {}


class Owner:
    """A control host: its book, and what it knows of its ownership."""

    def __init__(self, name: str, clock: Clock) -> None:
        self.name = name
        self.clock = clock
        self.allocator: GrantAllocator | None = None
        self.fence = 0
        self.taking = False
        self.barrier: tuple[float, int] | None = None
        self.deferred: dict[tuple[int, int], GrantRequest] = {}
        self.checkpoint: Proposal | None = None


class Proposal:
    """A command on its way into the log, and what to do with its result."""

    def __init__(
        self, proposer: Owner, command: bytes, ended: Callable[[Any], None]
    ) -> None:
        self.proposer = proposer
        self.command = command
        self.ended = ended
