"""The interface of the replicated state machines of log groups."""

from typing import Protocol

__all__ = ["StateMachine"]


class StateMachine(Protocol):
    """A deterministic state machine that applies the commands of a log group."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result.

        Raises:
            ProposalRejected: If the command is invalid; the state is then unchanged.
        """

    def snapshot(self) -> bytes:
        """Return the serialized state."""

    def restore(self, state: bytes) -> None:
        """Replace the state with a snapshot."""
