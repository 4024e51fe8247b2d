"""The interface of the state machines that the log feeds."""

from typing import Protocol

__all__ = ["StateMachine"]


class StateMachine(Protocol):
    """A deterministic state machine that a group's commands are applied to."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result.

        Raises:
            ProposalRejected: If the command is refused; the state is unchanged.
        """

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, state: bytes) -> None:
        """Replace the whole state."""
