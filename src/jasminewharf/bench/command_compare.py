"""Subcommand ``compare``: two results of ``simulate`` side by side."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from ..registry import register
from .commands import COMMANDS
from .tables import COLUMNS, average, format_table

__all__ = ["Compare"]


@register(COMMANDS, "compare")
@cappa.command(name="compare", help="Compare two results of simulate.")
@dataclass
class Compare:
    """Options of the subcommand."""

    first: Annotated[str, cappa.Arg(help="JSON result before.")]
    second: Annotated[str, cappa.Arg(help="JSON result after.")]

    def __call__(self) -> int:
        """Print each measure before and after, by policy."""
        first = json.loads(Path(self.first).read_text())
        second = json.loads(Path(self.second).read_text())
        for name in first["policies"]:
            if name in second["policies"]:
                rows = _compare(first["policies"][name], second["policies"][name])
                print(format_table([name, "before", "after", "change"], rows))
        return 0


def _compare(before: dict[str, Any], after: dict[str, Any]) -> list[list[str]]:
    rows = []
    for heading, path, less in COLUMNS:
        old, new = average(before, path), average(after, path)
        verdict = "same" if new == old else "better" if (new < old) == less else "worse"
        rows.append([heading, f"{old:.4g}", f"{new:.4g}", verdict])
    return rows
