"""``jasminewharf key pair``: CURVE keys of internal links."""

from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

from ..services.curve import write_key_pair
from .tool_base import Progress, ToolCommand

__all__ = ["PairCommand"]


@cappa.command(
    name="pair",
    help="Generate a key pair of internal links.",
    description=(
        "Writes ROLE-NODE.key_secret (mode 0600) and ROLE-NODE.key. "
        "Example: jasminewharf key pair agent agent-7 --folder keys"
    ),
)
@dataclass(kw_only=True)
class PairCommand(ToolCommand):
    """Generate a key pair; existing files are left alone."""

    role: Annotated[
        Literal["entry", "agent", "control", "tool"], cappa.Arg(help="The role.")
    ]
    node: Annotated[str, cappa.Arg(help="The node's name in its settings.")]
    folder: Annotated[str, cappa.Arg(long=True, help="Where to write.")] = "."

    async def run(self, progress: Progress) -> None:
        """Write both files and show their paths."""
        secret_file, public_file = write_key_pair(self.folder, self.role, self.node)
        payload = {"secret_file": secret_file, "public_file": public_file}
        self.show(payload, f"{secret_file}\n{public_file}")
