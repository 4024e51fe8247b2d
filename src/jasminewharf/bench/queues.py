"""Queues, admission, routing, cold bursts and coalescing in virtual time.

``python -m jasminewharf.bench.queues --seed 1 --output text`` compares fair
queueing with first-in-first-out, with and without admission, and the routing
policies, on the same arrivals.
"""

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Any, Literal, NamedTuple

import cappa

from ..decisions.admission import Admission
from ..decisions.queueing import BATCH, QUEUES, QueueLimits
from .bursts import compare_bursts, measure_coalescing
from .queue_simulation import Arrival, CallResult, SimulatedBackend, Timeline
from .routes import compare_routers
from .workloads import SCENARIOS, Scenario, draw_arrivals

__all__ = ["QueueRun", "compare_queues", "main", "run_queue", "summarise"]

# Share of refused calls that run nevertheless, to judge the refusals.
_EXPLORED_SHARE = 0.1


class QueueRun(NamedTuple):
    """What became of each call and of each refused call's retry."""

    results: list[CallResult]
    retries_admitted: list[bool]


def run_queue(scenario: Scenario, queue: str, admit_all: bool, seed: int) -> QueueRun:
    """Run a scenario on one backend server."""
    timeline = Timeline()
    results: list[CallResult] = []
    source = random.Random(seed + 1)
    start, end = scenario.slow_between

    def slow(now: float) -> float:
        return scenario.slow_factor if start <= now < end else 1.0

    backend = SimulatedBackend(
        timeline,
        Admission(QUEUES[queue](scenario.weights, QueueLimits())),
        results.append,
        slow,
        admit_all,
        lambda: source.random() < _EXPLORED_SHARE,
    )
    for arrival in draw_arrivals(scenario, seed):
        timeline.at(arrival.at, _bind(backend.arrive, arrival))
    timeline.run()
    return QueueRun(results, backend.retries_admitted)


def _bind(action: Callable[[Arrival], None], arrival: Arrival) -> Callable[[], None]:
    return lambda: action(arrival)


def compute_entitlement(
    demand: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the weighted max-min share of ``capacity`` for each workspace."""
    entitled: dict[str, float] = {}
    open_names = set(demand)
    left = capacity
    while open_names:
        total = sum(weights.get(name, 1.0) for name in open_names)
        level = left / total
        shares = {name: level * weights.get(name, 1.0) for name in open_names}
        content = {name for name in open_names if demand[name] <= shares[name]}
        if not content:
            entitled.update(shares)
            break
        for name in content:
            entitled[name] = demand[name]
            left -= demand[name]
        open_names -= content
    return entitled


def summarise(scenario: Scenario, run: QueueRun) -> dict[str, float]:
    """Return the figures of one run; explored calls count for refusals only."""
    results = run.results
    regular = [item for item in results if not item.explored]
    explored = [item for item in results if item.explored]
    done = [item for item in regular if item.outcome == "done"]
    refused = [item for item in regular if item.outcome == "refused"]
    full = [item for item in regular if item.outcome == "full"]
    shed = [item for item in regular if item.outcome == "shed"]
    late = [item for item in regular if item.outcome == "late"]
    interactive = [item for item in done if item.arrival.priority != BATCH]
    batch = [item for item in done if item.arrival.priority == BATCH]
    batch_calls = sum(1 for item in regular if item.arrival.priority == BATCH)
    wrong = sum(1 for item in explored if item.outcome == "done")
    return {
        "calls": len(results),
        "done_share": len(done) / len(results),
        "batch_done_share": len(batch) / max(1, batch_calls),
        "refused_share": (len(refused) + len(explored)) / len(results),
        "full_share": len(full) / len(results),
        "shed_share": len(shed) / len(results),
        "late_share": len(late) / len(results),
        "goodput_tokens_per_s": sum(item.arrival.tokens for item in done)
        / scenario.seconds,
        "worst_workspace_share": _find_worst_share(scenario, regular),
        "worst_workspace_mean_wait_s": _find_worst_wait(done),
        "interactive_wait_p50_s": _percentile(interactive, 50),
        "interactive_wait_p99_s": _percentile(interactive, 99),
        "batch_wait_p99_s": _percentile(batch, 99),
        "estimate_error": _measure_error(regular),
        "estimate_bias": _measure_bias(regular),
        "retry_admitted_share": sum(run.retries_admitted)
        / max(1, len(run.retries_admitted)),
        "explored": len(explored),
        "incorrect_refusal_share": wrong / len(explored) if explored else 0.0,
    }


def _find_worst_share(scenario: Scenario, results: list[CallResult]) -> float:
    demand: dict[str, float] = {}
    served: dict[str, float] = {}
    for item in results:
        name = item.arrival.workspace
        demand[name] = demand.get(name, 0.0) + item.arrival.tokens
        got = item.arrival.tokens if item.outcome == "done" else 0
        served[name] = served.get(name, 0.0) + got
    entitled = compute_entitlement(demand, scenario.weights, sum(served.values()))
    return min(served[name] / max(entitled[name], 1.0) for name in demand)


def _find_worst_wait(done: list[CallResult]) -> float:
    waits: dict[tuple[str, str], list[float]] = {}
    for item in done:
        key = (item.arrival.workspace, item.arrival.priority)
        waits.setdefault(key, []).append(item.wait_s)
    means = [
        sum(values) / len(values) for key, values in waits.items() if key[1] != BATCH
    ]
    return max(means, default=0.0)


def _percentile(results: list[CallResult], percent: float) -> float:
    waits = sorted(item.wait_s for item in results)
    if not waits:
        return 0.0
    return waits[min(len(waits) - 1, int(len(waits) * percent / 100))]


def _measure_error(results: list[CallResult]) -> float:
    """Return the mean absolute error of the wait over the mean wait."""
    queued = _select_queued(results)
    waited = sum(item.wait_s for item in queued)
    error = sum(abs(item.estimate_s - item.wait_s) for item in queued)
    return error / waited if waited else 0.0


def _measure_bias(results: list[CallResult]) -> float:
    queued = _select_queued(results)
    waited = sum(item.wait_s for item in queued)
    return sum(item.estimate_s for item in queued) / waited - 1 if waited else 0.0


def _select_queued(results: list[CallResult]) -> list[CallResult]:
    return [
        item
        for item in results
        if item.outcome in ("done", "late") and (item.wait_s or item.estimate_s)
    ]


def compare_queues(seed: int) -> dict[str, dict[str, dict[str, float]]]:
    """Run every scenario with each queue, with and without admission."""
    figures: dict[str, dict[str, dict[str, float]]] = {}
    for name, scenario in SCENARIOS.items():
        runs = figures[name] = {}
        for queue in ("fair", "fifo"):
            for admit_all in (False, True):
                label = f"{queue}, no admission" if admit_all else queue
                run = run_queue(scenario, queue, admit_all, seed)
                runs[label] = summarise(scenario, run)
    return figures


def _print_table(title: str, runs: dict[str, dict[str, float]]) -> None:
    width = max(len(label) for label in runs) + 2
    heads = "".join(f"{label:>{width}}" for label in runs)
    print(f"\n{title:<30}{heads}")
    for name in next(iter(runs.values())):
        cells = "".join(f"{run[name]:>{width}.3f}" for run in runs.values())
        print(f"  {name:<28}{cells}")


@dataclass
class Command:
    """Measure queues, admission, routing and coalescing in virtual time."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    output: Annotated[Literal["text", "json"], cappa.Arg(long=True)] = "text"


def main() -> None:
    """Parse the command line, run, and print."""
    command = cappa.parse(Command)
    figures: dict[str, Any] = {
        "seed": command.seed,
        "queues": compare_queues(command.seed),
        "routing": compare_routers(command.seed),
        "cold bursts": compare_bursts(command.seed),
        "coalescing": {
            f"token interval {interval_ms} ms": {
                f"{peers} entries": measure_coalescing(
                    command.seed, peers, interval_ms / 1000
                )
                for peers in (1, 2, 4, 8)
            }
            for interval_ms in (12, 20, 30)
        },
    }
    if command.output == "json":
        print(json.dumps(figures, indent=2))
        return
    print(f"seed {command.seed}")
    for part in ("queues", "routing", "cold bursts", "coalescing"):
        for name, runs in figures[part].items():
            _print_table(f"{part}: {name}", runs)


if __name__ == "__main__":
    main()
