"""Bursts on a cold model, and coalescing of stream frames, in virtual time."""

import heapq
import itertools
import random
from typing import NamedTuple

from .. import defaults
from ..decisions.admission import ColdLoad, admit_on_cold_model
from ..decisions.coalescing import Coalescer, choose_delay
from ..exceptions import ModelUnavailable

__all__ = ["BURSTS", "Burst", "compare_bursts", "measure_coalescing", "run_burst"]


class Burst(NamedTuple):
    """Calls that arrive within ``spread_s`` at all entries, on a cold model.

    The load takes ``load_s`` times a factor with the given relative deviation;
    entries are told ``load_s``.
    """

    calls: int
    entries: int
    load_s: float
    deviation: float
    deadline_s: float = 30.0
    replicas: int = 1
    slots: int = 16
    cost: int = 300
    spread_s: float = 2.0


BURSTS: dict[str, Burst] = {
    "small burst": Burst(40, 4, 10.0, 0.2),
    "large burst": Burst(200, 4, 10.0, 0.2),
    "large burst, slow load": Burst(200, 4, 20.0, 0.2),
    "many entries": Burst(400, 24, 10.0, 0.2, replicas=2),
    "load beyond the deadline": Burst(100, 4, 40.0, 0.2),
}


class _Call(NamedTuple):
    at: float
    entry: int
    service_s: float


def _draw_calls(burst: Burst, source: random.Random) -> list[_Call]:
    step_s = defaults.ADMISSION_SECONDS_PER_TOKEN
    return sorted(
        _Call(
            source.uniform(0, burst.spread_s),
            source.randrange(burst.entries),
            burst.cost * step_s * source.uniform(0.5, 1.0),
        )
        for _ in range(burst.calls)
    )


def _admit(burst: Burst, calls: list[_Call], policy: str) -> list[_Call]:
    if policy == "refuse all":
        return []
    if policy == "admit all":
        return calls
    waiting = [0] * burst.entries
    admitted = []
    for call in calls:
        load = ColdLoad(
            burst.load_s - call.at,
            burst.replicas,
            waiting[call.entry],
            burst.slots,
            # Calls use three quarters of their largest cost on average, which an
            # entry learns from the answers.
            0.75 * defaults.ADMISSION_SECONDS_PER_TOKEN,
            entry_share=1 / burst.entries,
        )
        try:
            admit_on_cold_model(load, burst.cost, burst.deadline_s)
        except ModelUnavailable:
            continue
        waiting[call.entry] += burst.cost
        admitted.append(call)
    return admitted


def _serve(burst: Burst, calls: list[_Call], ready_at: float) -> int:
    """Return how many calls end before their deadline, first in, first out."""
    free = [ready_at] * (burst.slots * burst.replicas)
    done = 0
    for call in calls:
        start = max(free[0], call.at)
        end = start + call.service_s
        if start <= call.at + burst.deadline_s:
            heapq.heapreplace(free, min(end, call.at + burst.deadline_s))
        done += end <= call.at + burst.deadline_s
    return done


def run_burst(
    burst: Burst, policy: str, seed: int, runs: int = 200
) -> dict[str, float]:
    """Run a burst repeatedly; return means over the runs.

    An incorrect refusal is a refused call for which there was room: as many as
    would have been served in addition if all calls had been admitted.
    """
    source = random.Random(seed)
    done = late = refused = wrong = 0
    for _ in range(runs):
        calls = _draw_calls(burst, source)
        factor = max(0.3, source.gauss(1.0, burst.deviation))
        admitted = _admit(burst, calls, policy)
        served = _serve(burst, admitted, burst.load_s * factor)
        possible = _serve(burst, calls, burst.load_s * factor)
        done += served
        late += len(admitted) - served
        refused += len(calls) - len(admitted)
        wrong += max(0, possible - served)
    total = burst.calls * runs
    return {
        "done_share": done / total,
        "late_share": late / total,
        "refused_share": refused / total,
        "incorrect_refusal_share": wrong / max(1, refused),
    }


def compare_bursts(seed: int) -> dict[str, dict[str, dict[str, float]]]:
    """Run every burst with the estimate, and admitting or refusing all calls."""
    policies = ("by estimate", "admit all", "refuse all")
    return {
        name: {policy: run_burst(burst, policy, seed) for policy in policies}
        for name, burst in BURSTS.items()
    }


def measure_coalescing(
    seed: int, peers: int, interval_s: float, engines: int = 2, tokens_per_s: int = 3100
) -> dict[str, float]:
    """Send streams' tokens from one agent to some entries for ten seconds.

    Returns messages per second and the time between tokens at the entry; one
    message per token would be ``tokens_per_s`` messages.
    """
    source = random.Random(seed)
    streams = int(tokens_per_s * interval_s)
    coalescer: Coalescer[tuple[int, float]] = Coalescer(choose_delay(interval_s))
    # The streams of one engine get their tokens in the same step.
    phases = [source.uniform(0, interval_s) for _ in range(engines)]
    ticks = sorted(
        (phases[stream % engines] + step * interval_s, stream)
        for stream in range(streams)
        for step in range(int(10 / interval_s))
    )
    messages = 0
    arrived: dict[int, list[float]] = {stream: [] for stream in range(streams)}

    def deliver(frames: list[tuple[int, float]], at: float) -> None:
        nonlocal messages
        messages += 1
        for stream, _ in frames:
            arrived[stream].append(at)

    for at, stream in ticks:
        while (due := coalescer.next_due()) is not None and due <= at:
            for batch in coalescer.flush(due):
                deliver(batch.frames, due)
        full = coalescer.add(f"e{stream // engines % peers}", (stream, at), 120, at)
        if full is not None:
            deliver(full.frames, at)
    gaps = sorted(
        later - earlier
        for times in arrived.values()
        for earlier, later in itertools.pairwise(times)
    )
    return {
        "delay_ms": coalescer.delay_s * 1000,
        "messages_per_s": messages / 10,
        "token_gap_p95_ms": gaps[int(len(gaps) * 0.95)] * 1000,
        "token_gap_max_ms": gaps[-1] * 1000,
    }
