"""Subcommand ``pace``: ways to spread requests over engines of different pace."""

import json
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

from ..registry import register
from .commands import COMMANDS
from .pace_model import PACE_CASES, PACE_POLICIES, PaceOutcome, play_pace
from .tables import format_table

__all__ = ["PaceCommand", "compare_paces"]

_SHOWN = ("late", "busiest", "packed", "use_s", "returned_late")


def compare_paces(seeds: int, case: str = "") -> dict[str, dict[str, PaceOutcome]]:
    """Play each load pattern under each policy; return means over the seeds."""
    names = [name for name in PACE_CASES if case in ("", name)]
    return {
        name: {policy: _average(name, policy, seeds) for policy in PACE_POLICIES}
        for name in names
    }


def _average(name: str, policy: str, seeds: int) -> PaceOutcome:
    plays = [play_pace(PACE_CASES[name], policy, seed) for seed in range(seeds)]
    means = [sum(values) / len(values) for values in zip(*plays, strict=True)]
    return PaceOutcome(int(means[0]), *means[1:])


@register(COMMANDS, "pace")
@cappa.command(name="pace", help="Compare ways to spread requests by pace.")
@dataclass
class PaceCommand:
    """Options of the subcommand."""

    seeds: Annotated[int, cappa.Arg(long=True, help="Plays of each pattern.")] = 3
    case: Annotated[str, cappa.Arg(long=True, help="Only this load pattern.")] = ""
    output: Annotated[Literal["text", "json"], cappa.Arg(long=True)] = "text"

    def __call__(self) -> int:
        """Print a line for each pattern and policy."""
        results = compare_paces(self.seeds, self.case)
        if self.output == "json":
            shown = {
                name: {policy: outcome._asdict() for policy, outcome in row.items()}
                for name, row in results.items()
            }
            print(json.dumps(shown, indent=1))
            return 0
        cells = [
            [name, policy, *(f"{getattr(outcome, key):.3f}" for key in _SHOWN)]
            for name, row in results.items()
            for policy, outcome in row.items()
        ]
        print(format_table(["pattern", "policy", *_SHOWN], cells))
        return 0
