"""``jasminewharf key``: callers' keys."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from ..decisions.keys import parse_key_id
from ..exceptions import NotKnown, SettingsError
from ..services.secretfiles import read_secret
from .tool_base import Progress, ToolCommand, WaitOptions, format_table
from .tool_pairs import PairCommand
from .tool_wait import wait_in_force

__all__ = ["KeyCommand"]


@cappa.command(
    name="grant",
    help="Grant a new key to a workspace.",
    description=(
        "The key is printed once and stored nowhere. "
        "Example: jasminewharf key grant hanoi-kitchens"
    ),
)
@dataclass(kw_only=True)
class GrantCommand(ToolCommand):
    """Grant a new key to a workspace."""

    workspace: Annotated[str, cappa.Arg(help="The workspace's name.")]

    async def run(self, progress: Progress) -> None:
        """Show the key."""
        settings = self.load_settings()
        if not settings.hash_secret_file:
            raise SettingsError(self.settings, 0, "hash_secret_file", "is required")
        secret = read_secret(settings.hash_secret_file)
        async with self.connect() as operator:
            key_id, key = await operator.grant_key(self.workspace, secret)
        payload = {"key_id": key_id, "key": key, "workspace": self.workspace}
        self.show(payload, key)


@cappa.command(
    name="withdraw",
    help="Withdraw a key.",
    description="Example: jasminewharf key withdraw 4f1e2a90bc77 --wait",
)
@dataclass(kw_only=True)
class WithdrawCommand(WaitOptions):
    """Withdraw a key; calls that run under it are ended."""

    key_id: Annotated[str, cappa.Arg(help="The middle part of the key.")]

    async def run(self, progress: Progress) -> None:
        """Withdraw, and wait if asked to."""
        key_id = parse_key_id(self.key_id) or self.key_id
        async with self.connect() as operator:
            if key_id not in (await operator.read_state()).keys:
                raise NotKnown("no key has this identifier; see `key list`")
            index = await operator.withdraw_key(key_id, self.submission)
            if self.wait:
                await wait_in_force(operator, index, self.wait_timeout, progress)
        state = "withdrawn everywhere" if self.wait else "withdrawn"
        payload = {"key_id": key_id, "index": index, "in_force": self.wait}
        self.show(payload, f"{key_id}: {state}")


@cappa.command(
    name="list",
    help="List keys by identifier; the keys themselves are not stored.",
    description="Example: jasminewharf key list --workspace hanoi-kitchens",
)
@dataclass(kw_only=True)
class ListCommand(ToolCommand):
    """List granted and withdrawn keys."""

    workspace: Annotated[
        str, cappa.Arg(long=True, help="Only keys of this workspace.")
    ] = ""

    async def run(self, progress: Progress) -> None:
        """Show identifier, workspace and state of each key."""
        async with self.connect() as operator:
            state = await operator.read_state()
        payload = [
            {
                "key_id": record.key_id,
                "workspace": record.workspace,
                "state": "withdrawn" if record.withdrawn else "granted",
            }
            for record in state.keys.values()
            if not self.workspace or record.workspace == self.workspace
        ]
        rows = [list(item.values()) for item in payload]
        self.show(payload, format_table(["KEY", "WORKSPACE", "STATE"], rows))


@cappa.command(name="key", help="Callers' keys, and key pairs of internal links.")
@dataclass
class KeyCommand:
    """Callers' keys, and key pairs of internal links."""

    command: cappa.Subcommands[
        GrantCommand | WithdrawCommand | ListCommand | PairCommand
    ]
