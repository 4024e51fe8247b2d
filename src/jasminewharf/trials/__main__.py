"""``python -m jasminewharf.trials``: a trial with faults, and its report."""

import asyncio
import json
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from .checks import count_violations
from .cluster import ClusterSpec
from .runner import TrialOptions, run_trial


@dataclass
class TrialCommand:
    """Run real processes under load and faults and check every promise."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    duration: Annotated[float, cappa.Arg(long=True, help="Seconds of load.")] = 10.0
    callers: Annotated[int, cappa.Arg(long=True)] = 12
    fault: Annotated[
        list[str], cappa.Arg(long=True, help="A fault's name; may be repeated.")
    ] = field(default_factory=list)
    pairs: Annotated[bool, cappa.Arg(long=True, help="Two faults at once.")] = False
    every: Annotated[
        float,
        cappa.Arg(long=True, help="Seconds between random faults until the end."),
    ] = 0.0
    keep: Annotated[str, cappa.Arg(long=True, help="Folder to keep files in.")] = ""

    def __call__(self) -> None:
        """Run and print the report; exit code 1 if a promise was broken."""
        options = TrialOptions(
            seed=self.seed,
            duration_s=self.duration,
            callers=self.callers,
            faults=tuple(self.fault),
            pairs=self.pairs,
            fault_every_s=self.every,
            spec=ClusterSpec(with_proxies=True),
        )
        if self.keep:
            Path(self.keep).mkdir(parents=True, exist_ok=True)
            report = asyncio.run(run_trial(options, Path(self.keep)))
        else:
            with tempfile.TemporaryDirectory(prefix="jasminewharf-trial-") as folder:
                report = asyncio.run(run_trial(options, Path(folder)))
        print(json.dumps(report, indent=2))
        raise SystemExit(1 if count_violations(report["violations"]) else 0)


if __name__ == "__main__":
    cappa.invoke(TrialCommand)
