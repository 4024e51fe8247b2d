"""``python -m jasminewharf.bench.state``: what the fleet state costs as it grows.

The number of adapters is scaled with the number of models fixed, and the number of
models with one adapter each; every point is built anew.
"""

import gc
import json
import time
import tracemalloc
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from ..decisions.fleet import FleetState
from ..documents import encode_document, parse_document
from ..messages import encode
from ..messages.commands import DecideReplica, SubmitDocument
from .dissemination import Sizes, build_document
from .slopes import fit_slope

__all__ = ["StateCommand"]

_KB = 1024
_REPEATS = 5


def _build_commands(sizes: Sizes) -> list[SubmitDocument]:
    commands = []
    for number in range(sizes.services):
        service = f"s{number}"
        body = build_document(service, sizes, 0)
        document = encode_document(parse_document(body, service))
        commands.append(
            SubmitDocument(f"x{number}", service, 0, body, "bench", document)
        )
    return commands


def measure_state(sizes: Sizes) -> dict[str, Any]:
    """Measure memory, snapshot and the cost of one change at a size."""
    commands = _build_commands(sizes)
    encoded = [encode(command) for command in commands]
    gc.collect()
    tracemalloc.start()
    state = FleetState()
    for index, data in enumerate(encoded, 1):
        state.apply(index, data)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.perf_counter()
    snapshot = state.snapshot()
    restored = FleetState()
    restored.restore(snapshot)
    restore_s = time.perf_counter() - started
    change_s = _time_change(state, commands[0])
    replica_s = _time_replicas(state)
    return {
        "adapters": sizes.services
        * sizes.models_per_service
        * sizes.adapters_per_model,
        "models": sizes.services * sizes.models_per_service,
        "memory_kb": round(memory / _KB, 1),
        "snapshot_kb": round(len(snapshot) / _KB, 1),
        "change_kb": round(len(encoded[0]) / _KB, 2),
        "snapshot_and_restore_ms": round(restore_s * 1000, 2),
        "apply_change_ms": round(change_s * 1000, 3),
        "apply_replica_us": round(replica_s * 1_000_000, 1),
    }


def _time_change(state: FleetState, first: SubmitDocument) -> float:
    times = []
    for repeat in range(_REPEATS):
        record = state.documents[first.service]
        command = first._replace(
            submission_id=f"c{repeat}", expected_version=record.version
        )
        data = encode(command)
        started = time.perf_counter()
        state.apply(state.version + 1, data)
        times.append(time.perf_counter() - started)
    return sorted(times)[_REPEATS // 2]


def _time_replicas(state: FleetState) -> float:
    count = 200
    started = time.perf_counter()
    for number in range(count):
        command = DecideReplica("s0", f"m{number}", f"b{number}", "h", 10, "disk")
        state.apply(state.version + 1, encode(command))
    return (time.perf_counter() - started) / count


def run_sizes() -> dict[str, Any]:
    """Measure both scales and fit the slopes at the target's size."""
    adapters = [measure_state(Sizes(23, 10, n)) for n in (1, 7, 14, 28)]
    models = [measure_state(Sizes(n, 10, 1)) for n in (3, 6, 12, 23)]
    return {
        "adapters": {"points": adapters, "slopes": _fit(adapters, "adapters", 6500)},
        "models": {"points": models, "slopes": _fit(models, "models", 230)},
    }


def _fit(points: list[dict[str, Any]], by: str, target: float) -> dict[str, Any]:
    xs = [point[by] for point in points]
    slopes = {}
    for name in points[0]:
        if name in ("adapters", "models"):
            continue
        slope = fit_slope(xs, [point[name] for point in points])
        slopes[name] = {
            "intercept": round(slope.intercept, 3),
            "slope": slope.slope,
            "error": round(slope.error, 3),
            "at_target": round(slope.predict(target), 2),
        }
    return slopes


@dataclass
class StateCommand:
    """Measure the fleet state at several sizes."""

    indent: Annotated[int, cappa.Arg(long=True)] = 2

    def __call__(self) -> None:
        """Measure and print JSON."""
        print(json.dumps(run_sizes(), indent=self.indent))


if __name__ == "__main__":
    cappa.invoke(StateCommand)
