"""The subcommand that shows how bad parts of prompts are found out."""

from dataclasses import dataclass
from statistics import mean
from typing import Annotated

import cappa

from ..registry import register
from .commands import COMMANDS
from .poison_model import PoisonScenario, run_poison

__all__ = ["PoisonCommand", "SCENARIOS"]

SCENARIOS = {
    "one bad part": PoisonScenario(),
    "one, rarely asked for": PoisonScenario(bad_share=0.01),
    "two bad parts": PoisonScenario(bad_parts=2),
    "three bad parts": PoisonScenario(bad_parts=3),
    "three, engines end too": PoisonScenario(bad_parts=3, ends_per_s=0.1),
    "none, engines end": PoisonScenario(bad_parts=0, ends_per_s=0.2),
    "none, engines end often": PoisonScenario(bad_parts=0, ends_per_s=0.7),
    "none, all end at once": PoisonScenario(bad_parts=0, all_end_at=30.0),
    "30 entries, three bad": PoisonScenario(
        bad_parts=3, entries=30, engines=22, per_s=110.0
    ),
    "one bad request": PoisonScenario(bad_parts=0, deadly=1, retries=1),
    "one, rarely sent": PoisonScenario(
        bad_parts=0, deadly=1, deadly_share=0.01, retries=1
    ),
    "two bad requests, polling": PoisonScenario(
        bad_parts=0, deadly=2, polled_share=0.3, retries=1
    ),
    "a bad part and a request": PoisonScenario(
        bad_share=0.1, deadly=1, polled_share=0.2, retries=1
    ),
    "bad request, engines end": PoisonScenario(
        bad_parts=0, deadly=1, polled_share=0.2, retries=1, ends_per_s=0.1
    ),
    "no bad one, engines end": PoisonScenario(
        bad_parts=0, polled_share=0.2, retries=1, ends_per_s=0.2
    ),
    "plain, three servers": PoisonScenario(
        bad_parts=0, deadly=1, engines=3, per_s=20.0, is_plain=True, retries=1
    ),
    "plain, two bad, polling": PoisonScenario(
        bad_parts=0,
        deadly=2,
        deadly_share=0.1,
        polled_share=0.5,
        engines=3,
        per_s=20.0,
        is_plain=True,
        retries=1,
    ),
    "plain, servers end": PoisonScenario(
        bad_parts=0,
        polled_share=0.5,
        engines=3,
        per_s=20.0,
        is_plain=True,
        retries=1,
        ends_per_s=0.2,
    ),
    "30 entries, bad requests": PoisonScenario(
        bad_parts=0,
        deadly=3,
        polled_share=0.2,
        entries=30,
        engines=22,
        per_s=110.0,
        retries=1,
    ),
}
_HEADS = ("ends", "late", "found s", "accused", "victims", "refused", "sound", "down s")


@register(COMMANDS, "poison")
@cappa.command(
    name="poison", help="Find requests and parts of prompts that crash servers."
)
@dataclass
class PoisonCommand:
    """Plays each scenario with many seeds and prints the worst and mean figures."""

    seeds: Annotated[int, cappa.Arg(long=True, help="Plays of each scenario.")] = 50

    def __call__(self) -> None:
        """Print a table with a line a scenario: mean and worst of each figure."""
        print(f"{'scenario':25}" + "".join(f"{head:>16}" for head in _HEADS))
        for name, scenario in SCENARIOS.items():
            outcomes = [run_poison(scenario, seed) for seed in range(self.seeds)]
            columns = zip(*outcomes, strict=True)
            print(f"{name:25}" + "".join(_format_column(c) for c in columns))


def _format_column(values: tuple[float, ...]) -> str:
    text = f"{mean(values):.2f} ({max(values):.4g})"
    return f"{text:>16}"
