"""What the services of control hosts use of the replicated log."""

from typing import Any, Protocol

__all__ = ["GroupLog", "GroupRequester", "StateMachine"]


class StateMachine(Protocol):
    """A deterministic state machine of a log group."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its encoded result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot."""


class GroupLog(Protocol):
    """The log groups of one control host."""

    def register_machine(self, group: str, machine: StateMachine) -> None:
        """Feed the committed commands of ``group`` to ``machine``."""

    def is_leader(self, group: str) -> bool:
        """Return whether this host believes that it leads ``group``."""

    async def propose(self, group: str, command: bytes) -> tuple[int, bytes]:
        """Commit a command; return its index and its result."""

    async def read_barrier(self, group: str) -> None:
        """Return once a quorum has confirmed the leadership after the call."""


class GroupRequester(Protocol):
    """Sends messages to the leader of a log group, wherever it is."""

    async def request(self, group: str, message: Any, timeout_s: float) -> Any:
        """Return the leader's answer.

        Raises:
            LinkError: If no leader answered in time.
            ConsensusError: If the leader could not do what it was asked.
        """
