"""``jasminewharf evacuate``: availability zones that get no requests."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from .tool_base import Progress, ToolCommand, format_table

__all__ = ["EvacuateCommand"]

Zone = Annotated[str, cappa.Arg(help="The availability zone, as settings name it.")]


async def _evacuate(command: ToolCommand, zone: str, is_evacuated: bool) -> None:
    async with command.connect() as operator:
        answer = await operator.evacuate(zone, is_evacuated)
    payload = {
        "zone": answer.zone,
        "evacuated": answer.is_evacuated,
        "revision": answer.revision,
    }
    command.show(payload, f"{zone}: {'evacuated' if is_evacuated else 'in use'}")


@cappa.command(
    name="start",
    help="Send nothing more to the backend servers of a zone.",
    description=(
        "Requests that run there are allowed to complete. "
        "Example: jasminewharf evacuate start zone-b"
    ),
)
@dataclass(kw_only=True)
class StartCommand(ToolCommand):
    """Evacuate an availability zone."""

    zone: Zone

    async def run(self, progress: Progress) -> None:
        """Evacuate it, and show its state."""
        await _evacuate(self, self.zone, True)


@cappa.command(
    name="stop",
    help="Use the backend servers of a zone again.",
    description="Example: jasminewharf evacuate stop zone-b",
)
@dataclass(kw_only=True)
class StopCommand(ToolCommand):
    """End the evacuation of an availability zone."""

    zone: Zone

    async def run(self, progress: Progress) -> None:
        """End it, and show the zone's state."""
        await _evacuate(self, self.zone, False)


@cappa.command(
    name="list",
    help="List the zones that were ever evacuated, and their present state.",
    description="Example: jasminewharf evacuate list",
)
@dataclass(kw_only=True)
class ListCommand(ToolCommand):
    """List the states of availability zones."""

    async def run(self, progress: Progress) -> None:
        """Show zone, state and revision, as a quorum confirms them."""
        async with self.connect() as operator:
            states = (await operator.read_state()).evacuations.list_states()
        payload = [
            {"zone": s.zone, "evacuated": s.is_evacuated, "revision": s.revision}
            for s in states
        ]
        rows = [
            [s.zone, "evacuated" if s.is_evacuated else "in use", s.revision]
            for s in states
        ]
        self.show(payload, format_table(["ZONE", "STATE", "REVISION"], rows))


@cappa.command(name="evacuate", help="Availability zones that get no requests.")
@dataclass
class EvacuateCommand:
    """Availability zones that get no requests."""

    command: cappa.Subcommands[StartCommand | StopCommand | ListCommand]
