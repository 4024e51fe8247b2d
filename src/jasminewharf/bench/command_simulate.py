"""Subcommand ``simulate``: policies on a case in virtual time."""

import json
import sys
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal

import cappa

from ..registry import lookup, register
from .commands import COMMANDS
from .plots import plot_policies
from .policies import POLICIES, create_settings
from .scenario import Scenario, load_scenario
from .simulation import simulate
from .tables import format_policies

__all__ = ["Simulate"]


@register(COMMANDS, "simulate")
@cappa.command(name="simulate", help="Run policies on a case in virtual time.")
@dataclass
class Simulate:
    """Options of the subcommand."""

    scenario: Annotated[str, cappa.Arg(long=True, help="Scenario file.")]
    case: Annotated[str, cappa.Arg(long=True, help="Name of a case in the file.")]
    fault: Annotated[
        list[str], cappa.Arg(long=True, help="Name of a fault; repeatable.")
    ] = field(default_factory=list)
    policy: Annotated[
        list[str], cappa.Arg(long=True, help="Policy; repeatable, default all.")
    ] = field(default_factory=list)
    seed: Annotated[
        list[int], cappa.Arg(long=True, help="Seed; repeatable, default 1.")
    ] = field(default_factory=list)
    output: Annotated[Literal["text", "json"], cappa.Arg(long=True)] = "text"
    plot: Annotated[
        str, cappa.Arg(long=True, help="File for a plot of the measures.")
    ] = ""

    def __call__(self) -> int:
        """Run the policies; exit code 1 if a promise was broken."""
        result = self._run(load_scenario(self.scenario))
        if self.output == "json":
            json.dump(result, sys.stdout, indent=1)
            print()
        else:
            print(format_policies(result))
        if self.plot:
            plot_policies(result, self.plot)
        broken = (run["broken_promises"] for run in _iterate_runs(result))
        return int(any(broken))

    def _run(self, scenario: Scenario) -> dict[str, Any]:
        case = lookup(scenario.cases, self.case)
        faults = [f for name in self.fault for f in lookup(scenario.faults, name)]
        policies: dict[str, dict[str, Any]] = {}
        for policy in self.policy or sorted(POLICIES):
            settings = create_settings(policy, scenario)
            policies[policy] = {}
            for seed in self.seed or [1]:
                run = simulate(scenario, case, faults, settings, seed)
                broken = {k: len(v) for k, v in run.violations.items() if v}
                first = {k: v[:3] for k, v in run.violations.items() if v}
                policies[policy][str(seed)] = {
                    **run.measures,
                    "broken_promises": sum(broken.values()),
                    "violations": first,
                }
        return {
            "scenario": scenario.name,
            "case": self.case,
            "faults": self.fault,
            "policies": policies,
        }


def _iterate_runs(result: dict[str, Any]) -> Any:
    for seeds in result["policies"].values():
        yield from seeds.values()
