"""The replicated state machine of the log group ``accounts``."""

from ..exceptions import MalformedMessage
from ..messages.accounts import (
    AccountBounds,
    AccountsSnapshot,
    AccountsTaken,
    CheckpointAccounts,
    CheckpointResult,
    TakeAccounts,
)
from ..messages.codec import decode, encode

__all__ = ["AccountLog"]


class AccountLog:
    """The current owner of the rate accounts and its committed bounds."""

    def __init__(self) -> None:
        self.fence = 0
        self._number = 0
        self._bounds: dict[str, AccountBounds] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its encoded result.

        A command of another group, or a malformed one, changes nothing.
        """
        try:
            message = decode(command)
        except MalformedMessage:
            message = None
        if isinstance(message, TakeAccounts):
            return encode(self._take(index))
        if isinstance(message, CheckpointAccounts):
            return encode(CheckpointResult(self._set_bounds(message)))
        return encode(CheckpointResult(False))

    def _take(self, index: int) -> AccountsTaken:
        predecessor = self.fence
        self.fence = index
        self._number = 0
        return AccountsTaken(index, predecessor, list(self._bounds.values()))

    def _set_bounds(self, message: CheckpointAccounts) -> bool:
        if message.fence != self.fence or message.number <= self._number:
            return False
        self._number = message.number
        for entry in message.bounds:
            if entry.floor == AccountBounds.UNTOUCHED:
                self._bounds.pop(entry.account, None)
            else:
                self._bounds[entry.account] = entry
        return True

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        bounds = sorted(self._bounds.values())
        return encode(AccountsSnapshot(self.fence, self._number, bounds))

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot.

        Raises:
            MalformedMessage: If ``data`` is not a snapshot of this group.
        """
        state = decode(data)
        if not isinstance(state, AccountsSnapshot):
            raise MalformedMessage("expected a snapshot of the group accounts")
        self.fence = state.fence
        self._number = state.number
        self._bounds = {entry.account: entry for entry in state.bounds}
