"""Compares rate policies in virtual time: python -m jasminewharf.bench.rates."""

import argparse
import asyncio
import json
import random
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from ..decisions.buckets import RateLimits
from ..exceptions import Refusal
from ..registry import register
from .ideal import IdealBucket
from .rate_checks import LimitsTimeline, Spending, find_overshoot
from .rate_policies import POLICIES, RatePolicy
from .virtual import run_virtual

__all__ = ["SCENARIOS", "main", "run_scenario"]

_ENTRIES = 8
_LIMITS = RateLimits(3000.0, 9000)
_ACCOUNTS = ("menus/large", "menus/medium", "menus/small")
_DURATION_S = 60.0
_COST_TOKENS = (100, 600)
_MEAN_COST = sum(_COST_TOKENS) / 2
_SPENT_SHARE = (0.2, 1.0)
_CALL_S = (0.2, 4.0)
_STEADY_LOAD = 0.7
_OVERLOAD = 4.0
_DENSITY = 10
_BURST_PERIOD_S = 8.0
_BURST_SHARE = 0.95
_BURST_SPAN_S = 0.2
_DEATH_AT_S = 20.0


class Arrival(NamedTuple):
    """A call: when and where it arrives, its largest and its true cost."""

    at: float
    entry: int
    account: str
    tokens: int
    spent: int
    duration_s: float


class Scenario(NamedTuple):
    """A load and whether the owner dies in it."""

    arrivals: Callable[[random.Random], list[Arrival]]
    owner_dies: bool = False


SCENARIOS: dict[str, Scenario] = {}


def _make_arrival(source: random.Random, at: float, account: str) -> Arrival:
    tokens = source.randint(*_COST_TOKENS)
    spent = int(tokens * source.uniform(*_SPENT_SHARE))
    entry = source.randrange(_ENTRIES)
    return Arrival(at, entry, account, tokens, spent, source.uniform(*_CALL_S))


def _draw_poisson(
    source: random.Random, account: str, load: float
) -> Iterator[Arrival]:
    at = 0.0
    while True:
        at += source.expovariate(load * _LIMITS.rate / _MEAN_COST)
        if at > _DURATION_S:
            return
        yield _make_arrival(source, at, account)


def _draw_steady(source: random.Random) -> list[Arrival]:
    return [a for name in _ACCOUNTS for a in _draw_poisson(source, name, _STEADY_LOAD)]


def _draw_bursts(source: random.Random) -> list[Arrival]:
    """Bursts of nearly the whole burst, spread over all entries."""
    arrivals = []
    for account in _ACCOUNTS:
        at = 1.0
        while at < _DURATION_S:
            left = _LIMITS.burst * _BURST_SHARE
            while True:
                when = at + source.uniform(0, _BURST_SPAN_S)
                arrival = _make_arrival(source, when, account)
                if arrival.tokens > left:
                    break
                left -= arrival.tokens
                arrivals.append(arrival)
            at += _BURST_PERIOD_S
    return arrivals


def _draw_overload(source: random.Random) -> list[Arrival]:
    loads = (_OVERLOAD, _STEADY_LOAD, _STEADY_LOAD)
    return [
        arrival
        for name, load in zip(_ACCOUNTS, loads, strict=True)
        for arrival in _draw_poisson(source, name, load)
    ]


def _draw_dense(source: random.Random) -> list[Arrival]:
    """Ten times as many calls that cost a tenth each."""
    arrivals = []
    for first in _draw_poisson(source, _ACCOUNTS[0], _STEADY_LOAD):
        for _ in range(_DENSITY):
            small = _make_arrival(source, source.uniform(0, _DURATION_S), first.account)
            tokens, spent = small.tokens // _DENSITY, small.spent // _DENSITY
            arrivals.append(small._replace(tokens=tokens, spent=spent))
    return arrivals


register(SCENARIOS, "steady")(Scenario(_draw_steady))
register(SCENARIOS, "dense")(Scenario(_draw_dense))
register(SCENARIOS, "burst")(Scenario(_draw_bursts))
register(SCENARIOS, "overload")(Scenario(_draw_overload))
register(SCENARIOS, "owner-death")(Scenario(_draw_steady, owner_dies=True))


class _Run:
    """One policy under one load, judged by ideal buckets."""

    def __init__(self, policy: RatePolicy) -> None:
        self._policy = policy
        self._start = asyncio.get_running_loop().time()
        self._ideal = {name: IdealBucket(_LIMITS, self._start) for name in _ACCOUNTS}
        self._spent: dict[str, list[Spending]] = {name: [] for name in _ACCOUNTS}
        self._waits_s: list[float] = []
        self._refused = 0
        self._incorrect = 0
        self._own = {name: IdealBucket(_LIMITS, self._start) for name in _ACCOUNTS}
        self._ideal_refused = 0
        self._tokens = 0

    async def serve_ideally(self, arrival: Arrival) -> None:
        """Carry out one call as an ideal fleet with one bucket would."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._start + arrival.at - loop.time())
        bucket = self._own[arrival.account]
        if not bucket.holds(arrival.tokens, loop.time()):
            self._ideal_refused += 1
            return
        charge = bucket.charge(arrival.tokens, loop.time())
        await asyncio.sleep(arrival.duration_s)
        bucket.end(charge, arrival.spent, loop.time())

    async def serve(self, arrival: Arrival) -> None:
        """Carry out one call."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._start + arrival.at - loop.time())
        ideal = self._ideal[arrival.account]
        arrived = loop.time()
        fits = ideal.holds(arrival.tokens, arrived)
        try:
            charge = await self._policy.charge(
                arrival.entry, arrival.account, arrival.tokens
            )
        except Refusal:
            self._refused += 1
            fits = fits or ideal.holds(arrival.tokens, loop.time())
            self._incorrect += fits
            return
        now = loop.time()
        self._waits_s.append(now - arrived)
        self._tokens += arrival.spent
        self._spent[arrival.account].append(Spending(now, arrival.spent))
        ended = ideal.charge(arrival.tokens, now)
        await asyncio.sleep(arrival.duration_s)
        ideal.end(ended, arrival.spent, loop.time())
        self._policy.refund(arrival.entry, arrival.account, charge, arrival.spent)

    def report(self) -> dict[str, Any]:
        """Return the measures."""
        requests = len(self._waits_s) + self._refused
        waits = sorted(self._waits_s)
        overshoots = [
            find_overshoot(history, LimitsTimeline(_LIMITS, 0.0))
            for history in self._spent.values()
        ]
        return {
            "requests": requests,
            "refused": self._refused,
            "ideal_refused": self._ideal_refused,
            "incorrect_refusals": self._incorrect,
            "incorrect_percent": round(100 * self._incorrect / requests, 3),
            "overshoot_tokens": round(max(o.tokens if o else 0 for o in overshoots), 3),
            "messages_per_request": round(self._policy.messages / requests, 3),
            "spent_tokens": self._tokens,
            "wait_ms_p50": round(1000 * waits[len(waits) // 2], 2),
            "wait_ms_p99": round(1000 * waits[len(waits) * 99 // 100], 2),
        }


async def _kill_owner(policy: RatePolicy) -> None:
    await asyncio.sleep(_DEATH_AT_S)
    await policy.kill_owner()


def run_scenario(scenario: str, policy: str, seed: int) -> dict[str, Any]:
    """Run one policy under one scenario and return the measures."""
    arrivals = SCENARIOS[scenario].arrivals(random.Random(seed))

    async def execute() -> dict[str, Any]:
        limits = dict.fromkeys(_ACCOUNTS, _LIMITS)
        subject = POLICIES[policy](random.Random(seed + 1), _ENTRIES, limits)
        await subject.start()
        run = _Run(subject)
        work = [run.serve(arrival) for arrival in arrivals]
        work += [run.serve_ideally(arrival) for arrival in arrivals]
        if SCENARIOS[scenario].owner_dies:
            work.append(_kill_owner(subject))
        await asyncio.gather(*work)
        await subject.stop()
        return {"scenario": scenario, "policy": policy, "seed": seed} | run.report()

    return run_virtual(execute)


def _print_table(rows: list[dict[str, Any]]) -> None:
    columns = [name for name in rows[0] if name != "seed"]
    widths = [max(len(c), *(len(str(row[c])) for row in rows)) for c in columns]
    for cells in [columns, *([row[c] for c in columns] for row in rows)]:
        line = (
            str(cell).rjust(width) for cell, width in zip(cells, widths, strict=True)
        )
        print("  ".join(line))


def main() -> None:
    """Run all scenarios and policies and print the measures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", choices=("text", "json"), default="text")
    parser.add_argument("--scenario", choices=sorted(SCENARIOS))
    options = parser.parse_args()
    scenarios = [options.scenario] if options.scenario else list(SCENARIOS)
    rows = [run_scenario(s, p, options.seed) for s in scenarios for p in POLICIES]
    if options.output == "json":
        print(json.dumps(rows, indent=2))
    else:
        _print_table(rows)


if __name__ == "__main__":
    main()
