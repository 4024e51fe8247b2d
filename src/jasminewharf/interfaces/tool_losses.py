"""``jasminewharf losses``: where a run's requests were lost, from its log lines."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from ..exceptions import LinesNotFound
from ..losses import gather_losses, read_events, render_losses
from .tool_base import Progress, ToolCommand

__all__ = ["LossesCommand"]


@cappa.command(
    name="losses",
    help="Tell from log lines where requests were lost.",
    description=(
        "Requests by outcome, the models asked for most, told and real waits, and the "
        "engines' time by order. "
        "Example: jasminewharf losses /var/log/jasminewharf/*.log"
    ),
)
@dataclass(kw_only=True)
class LossesCommand(ToolCommand):
    """Tell from log lines where requests were lost."""

    files: Annotated[list[str], cappa.Arg(num_args=-1, help="Log files.")]

    async def run(self, progress: Progress) -> None:
        """Show the account."""
        try:
            losses = gather_losses(read_events(self.files))
        except OSError as error:
            raise LinesNotFound(f"{error.filename}: {error.strerror}") from error
        payload = {
            name: [row._asdict() for row in rows]
            for name, rows in losses._asdict().items()
        }
        self.show(payload, render_losses(losses))
