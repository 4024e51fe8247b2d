"""Subcommand ``plan-time``: CPU time of the planner at several fleet sizes."""

import json
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

from ..registry import register
from .commands import COMMANDS
from .planload import FleetSize, measure_plan_time
from .tables import format_table

__all__ = ["PlanTime"]

_SIZES = [
    FleetSize("today", 30, 20, 60, 5, 4),
    FleetSize("quarter", 58, 150, 1625, 75, 13),
    FleetSize("half", 115, 300, 3250, 150, 25),
    FleetSize("target", 230, 600, 6500, 300, 50),
]
_SHOWN = [
    "name",
    "models",
    "replicas",
    "adapters",
    "plan_us_p50",
    "plan_us_p99",
    "plan_core_percent",
    "observe_core_percent",
    "actions",
]


@register(COMMANDS, "plan-time")
@cappa.command(name="plan-time", help="Measure the planner's CPU time.")
@dataclass
class PlanTime:
    """Options of the subcommand."""

    seconds: Annotated[float, cappa.Arg(long=True, help="Time of operation.")] = 20.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    output: Annotated[Literal["text", "json"], cappa.Arg(long=True)] = "text"

    def __call__(self) -> int:
        """Print a line for each size."""
        rows = [measure_plan_time(size, self.seconds, self.seed) for size in _SIZES]
        if self.output == "json":
            print(json.dumps(rows, indent=1))
            return 0
        cells = [[str(row[name]) for name in _SHOWN] for row in rows]
        print(format_table(_SHOWN, cells))
        return 0
