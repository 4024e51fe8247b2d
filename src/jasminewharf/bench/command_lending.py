"""The subcommand that compares ways to lend tokens of workspaces' rates."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Annotated, NamedTuple

import cappa

from ..decisions.configurations import WorkspaceSpec
from ..registry import register
from .commands import COMMANDS
from .lending_checks import LendingReport, measure
from .lending_model import (
    DEFAULT_BOUNDS,
    POLICIES,
    Call,
    Fault,
    LendingFleet,
    run_lending,
)

__all__ = ["PATTERNS", "LendingCommand", "Pattern", "compare_policies"]

_ENTRIES = 28
_LARGE = WorkspaceSpec("large", ("key-l",), 5, 10_000.0, 10_000.0, 200.0)
_SMALL = WorkspaceSpec("small", ("key-s",), 5, 1_900.0, 3_800.0, 200.0)
_COSTS = (200.0, 1_000.0)
_MEAN_COST = sum(_COSTS) / 2
_DURATION_S = 40.0
_FAULT_AT_S = 15.0
_BURST_S = 0.3
_ELECTION_S = 1.2
_ISOLATED_S = 10.0


class Pattern(NamedTuple):
    """A load of the two workspaces, and what happens to the fleet.

    From ``judged_from`` on, the large workspace is judged by ``large``.
    """

    calls: list[Call]
    faults: tuple[Fault, ...] = ()
    large: WorkspaceSpec = _LARGE
    judged_from: float = 0.0


PATTERNS: dict[str, Callable[[random.Random], Pattern]] = {}


def _draw(
    source: random.Random,
    spec: WorkspaceSpec,
    load: float,
    begin: float = 0.0,
    end: float = _DURATION_S,
    costs: tuple[float, float] = _COSTS,
    **fields: object,
) -> Iterator[Call]:
    """Draw calls that use ``load`` of a rate, at random times and entries."""
    per_s = load * spec.rate_per_s / (sum(costs) / 2)
    at = begin
    while True:
        at += source.expovariate(per_s)
        if at >= end:
            return
        call = Call(
            at,
            source.randrange(_ENTRIES),
            spec.name,
            round(source.uniform(*costs)),
        )
        yield call._replace(**fields)


def _draw_burst(source: random.Random, spec: WorkspaceSpec, at: float, bursts: float):
    """Draw a burst of so many times the workspace's burst."""
    load = bursts * spec.burst / spec.rate_per_s / _BURST_S
    return _draw(source, spec, load, at, at + _BURST_S)


@register(PATTERNS, "calm")
def _calm(source: random.Random) -> Pattern:
    calls = [*_draw(source, _LARGE, 0.7), *_draw(source, _SMALL, 0.6)]
    return Pattern(calls)


@register(PATTERNS, "burst")
def _burst(source: random.Random) -> Pattern:
    calls = _calm(source).calls
    for at in (5.0, 15.0, 25.0):
        calls += _draw_burst(source, _LARGE, at, 2.0)
    return Pattern(calls)


@register(PATTERNS, "neighbour")
def _neighbour(source: random.Random) -> Pattern:
    """The large workspace sends six times its rate for 20 s."""
    calls = _calm(source).calls
    return Pattern([*calls, *_draw(source, _LARGE, 5.3, 10.0, 30.0)])


@register(PATTERNS, "over")
def _over(source: random.Random) -> Pattern:
    """The large workspace sends a fifth more than its rate for 30 s."""
    calls = [*_draw(source, _LARGE, 1.2, 0.0, 30.0), *_draw(source, _SMALL, 0.6)]
    return Pattern(calls)


@register(PATTERNS, "owner-lost")
def _owner_lost(source: random.Random) -> Pattern:
    """The owner is lost in a burst, and another begins after an election."""
    calls = _calm(source).calls
    calls += _draw_burst(source, _LARGE, _FAULT_AT_S - _BURST_S / 2, 0.8)

    async def lose(fleet: LendingFleet) -> None:
        await fleet.lose_owner(_ELECTION_S)

    return Pattern(calls, (Fault(_FAULT_AT_S, lose),))


@register(PATTERNS, "owner-lost-over")
def _owner_lost_over(source: random.Random) -> Pattern:
    """The owner is lost while a workspace sends three times its rate."""
    calls = _calm(source).calls
    calls += _draw(source, _LARGE, 2.3, 10.0, 25.0)

    async def lose(fleet: LendingFleet) -> None:
        await fleet.lose_owner(_ELECTION_S)

    return Pattern(calls, (Fault(_FAULT_AT_S, lose),))


@register(PATTERNS, "entry-restarted")
def _entry_restarted(source: random.Random) -> Pattern:
    calls = _calm(source).calls

    async def restart(fleet: LendingFleet) -> None:
        for entry in fleet.entries[:4]:
            await entry.restart()

    return Pattern(calls, (Fault(_FAULT_AT_S, restart),))


@register(PATTERNS, "lowered")
def _lowered(source: random.Random) -> Pattern:
    """A workspace over its rate gets half of it, and keeps to that."""
    calls = [*_draw(source, _LARGE, 1.3, 0.0, _FAULT_AT_S)]
    calls += _draw(source, _LARGE, 0.35, _FAULT_AT_S)
    calls += _draw_burst(source, _LARGE, 30.0, 0.3)

    low = _LARGE._replace(rate_per_s=_LARGE.rate_per_s / 2, burst=_LARGE.burst / 2)

    async def lower(fleet: LendingFleet) -> None:
        fleet.workspaces[_LARGE.name] = low

    judged_from = _FAULT_AT_S + DEFAULT_BOUNDS.rate_window_s
    return Pattern(calls, (Fault(_FAULT_AT_S, lower),), low, judged_from)


@register(PATTERNS, "isolated")
def _isolated(source: random.Random) -> Pattern:
    """A third of the entries lose the owner, which goes on to lend to the others."""
    calls = _calm(source).calls
    calls += _draw(source, _LARGE, 2.3, 10.0, 30.0)

    async def cut(fleet: LendingFleet) -> None:
        cut_off = fleet.entries[: _ENTRIES // 3]
        for entry in cut_off:
            entry.is_linked = False
        await asyncio.sleep(_ISOLATED_S)
        for entry in cut_off:
            entry.is_linked = True

    return Pattern(calls, (Fault(_FAULT_AT_S, cut),))


@register(PATTERNS, "mixed")
def _mixed(source: random.Random) -> Pattern:
    """Interactive and batch calls, together over the rate for 30 s."""
    calls = [*_draw(source, _LARGE, 0.7, 0.0, 30.0, kind="interactive")]
    calls += _draw(
        source, _LARGE, 0.6, 0.0, 30.0, target_s=2.5, deadline_s=25.0, kind="batch"
    )
    return Pattern(calls)


@register(PATTERNS, "sizes")
def _sizes(source: random.Random) -> Pattern:
    """Small and large calls, together over the rate for 30 s."""
    calls = [*_draw(source, _LARGE, 0.6, 0.0, 30.0, (50.0, 150.0), kind="tiny")]
    calls += _draw(source, _LARGE, 0.6, 0.0, 30.0, (1_000.0, 2_000.0), kind="huge")
    return Pattern(calls)


class Row(NamedTuple):
    """One play of a pattern, for one workspace and kind of calls."""

    pattern: str
    policy: str
    workspace: str
    kind: str
    report: LendingReport


def compare_policies(
    patterns: list[str], policies: list[str], seeds: list[int]
) -> Iterator[Row]:
    """Yield the reports of all plays."""
    for name in patterns:
        for policy in policies:
            for seed in seeds:
                pattern = PATTERNS[name](random.Random(seed))
                outcome = run_lending(
                    POLICIES[policy],
                    (_LARGE, _SMALL),
                    pattern.calls,
                    pattern.faults,
                    entries=_ENTRIES,
                    seed=seed,
                    bounds=DEFAULT_BOUNDS,
                )
                kinds = sorted({(c.workspace, c.kind) for c in pattern.calls})
                for workspace, kind in kinds:
                    is_large = workspace == _LARGE.name
                    spec = pattern.large if is_large else _SMALL
                    since = pattern.judged_from if is_large else 0.0
                    report = measure(outcome, spec, DEFAULT_BOUNDS, kind, since)
                    yield Row(name, policy, workspace, kind, report)


@register(COMMANDS, "lending")
@cappa.command(name="lending", help="Compare ways to lend tokens of rates.")
@dataclass
class LendingCommand:
    """Compare ways to lend tokens of rates."""

    pattern: Annotated[
        str, cappa.Arg(long=True, help="The pattern; all if none is named.")
    ] = ""
    policy: Annotated[
        str, cappa.Arg(long=True, help="The policy; all if none is named.")
    ] = ""
    seeds: Annotated[int, cappa.Arg(long=True, help="Seeds from 1 on.")] = 2

    def __call__(self) -> None:
        """Print a line for each play, workspace and kind of calls."""
        logging.getLogger("jasminewharf").setLevel(logging.CRITICAL)
        print(
            "pattern policy workspace kind: calls, served, tokens, in time, refusals a "
            "call, unavailable, refused inside burst, inside window, worst window, "
            "wait s median, longest"
        )
        rows = compare_policies(
            [self.pattern] if self.pattern else list(PATTERNS),
            [self.policy] if self.policy else list(POLICIES),
            list(range(1, self.seeds + 1)),
        )
        for row in rows:
            r = row.report
            print(
                f"{row.pattern:15} {row.policy:10} {row.workspace:6} {row.kind:11} "
                f"{r.calls:5} {r.served:.3f} {r.tokens:.3f} {r.in_time:.3f} "
                f"{r.refusals:6.3f} "
                f"{r.unavailable:4} {r.inside_burst:4} {r.inside_window:5} "
                f"{r.worst:.3f} {r.median_s:.3f} {r.longest_s:.2f}",
                flush=True,
            )
