"""``jasminewharf member``: the control hosts that hold the state."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from ..exceptions import MemberChangeRefused, NotKnown
from ..settings import is_address
from .tool_base import Progress, ToolCommand, format_table

__all__ = ["MemberCommand"]

Host = Annotated[str, cappa.Arg(help="The control host's name.")]


@cappa.command(
    name="list",
    help="List the members of every log group.",
    description="Example: jasminewharf member list",
)
@dataclass(kw_only=True)
class ListCommand(ToolCommand):
    """List the members of every log group."""

    async def run(self, progress: Progress) -> None:
        """Show group, host, address, vote and leadership."""
        async with self.connect() as operator:
            groups = await operator.fetch_members()
        payload = [
            {
                "group": group.group,
                "host": identity.partition("/")[0],
                "identity": identity,
                "address": address,
                "voter": voter,
                "leader": identity == group.leader,
            }
            for group in groups
            for identity, address, voter in group.members
        ]
        rows = [
            [
                item["group"],
                item["host"],
                item["address"],
                "yes" if item["voter"] else "not yet",
                "leader" if item["leader"] else "",
            ]
            for item in payload
        ]
        self.show(
            payload, format_table(["GROUP", "HOST", "ADDRESS", "VOTES", ""], rows)
        )


@cappa.command(
    name="add",
    help="Add a control host, or the new disk of one, to every log group.",
    description=(
        "Its process must run with an empty data folder. "
        "Example: jasminewharf member add control-3 127.0.0.13:7200"
    ),
)
@dataclass(kw_only=True)
class AddCommand(ToolCommand):
    """Add a control host to every log group, one after the other."""

    host: Host
    address: Annotated[str, cappa.Arg(help="Its `peer_address`: IP and port.")]

    async def run(self, progress: Progress) -> None:
        """Add, and show the new identity."""
        if not is_address(self.address):
            text = f"{self.address!r} is not an IP address and a port"
            raise MemberChangeRefused(text)
        async with self.connect() as operator:
            payload = []
            for group in await operator.fetch_members():
                progress.text = f"{self.host} is catching up with {group.group}"
                identities = await operator.add_member(
                    group.group, self.host, self.address
                )
                payload.append({"group": group.group, "added": identities})
        self.show(payload, f"{self.host} votes in {len(payload)} log groups")


@cappa.command(
    name="remove",
    help="Remove a control host from every log group.",
    description="Example: jasminewharf member remove control-3",
)
@dataclass(kw_only=True)
class RemoveCommand(ToolCommand):
    """Remove a control host from every log group, one after the other."""

    host: Host

    async def run(self, progress: Progress) -> None:
        """Remove, and show what was removed."""
        async with self.connect() as operator:
            payload = []
            for group in await operator.fetch_members():
                progress.text = f"removing {self.host} from {group.group}"
                identities = await operator.remove_member(group.group, self.host)
                payload.append({"group": group.group, "removed": identities})
        if not any(item["removed"] for item in payload):
            raise NotKnown(f"no control host {self.host!r}; see `member list`")
        self.show(payload, f"{self.host} removed from {len(payload)} log groups")


@cappa.command(name="member", help="The control hosts that hold the state.")
@dataclass
class MemberCommand:
    """The control hosts that hold the state."""

    command: cappa.Subcommands[ListCommand | AddCommand | RemoveCommand]
