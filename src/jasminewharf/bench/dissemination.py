"""``python -m jasminewharf.bench.dissemination``: nodes against control hosts.

The control hosts are real processes. The nodes are protocol clients: the services
that a node runs towards the control hosts, many nodes in each client process.
"""

import asyncio
import json
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import cappa
from hdrh.histogram import HdrHistogram

from ..exceptions import TrialError
from ..interfaces.operator import OperatorClient
from ..kernel import Kernel
from ..messages.feed import BackendReport, ReplicaReport
from ..services.controllers import Controllers
from ..services.feed import Feed
from ..services.process import Process
from ..services.reports import Reporter
from ..settings import BackendSettings, ControlHost, Settings
from ..trials.cluster import Cluster, ClusterSpec
from .slopes import fit_slope
from .speed import read_cpu_s, read_resident_mb

__all__ = ["DisseminationCommand"]

_NODES_PER_PROCESS = 50
_US_PER_S = 1_000_000
_IN_FORCE_LIMIT_S = 30.0
_CONTROLS = 3
_ENTRY_SHARE = 8


class Sizes(NamedTuple):
    """What the state holds while nodes are measured."""

    services: int = 23
    models_per_service: int = 10
    adapters_per_model: int = 28


def build_document(service: str, sizes: Sizes, revision: int) -> str:
    """Return a service document of the given size."""
    lines = [
        f"service: {service}",
        "kind: model",
        "pool: bench",
        "models:",
    ]
    for model in range(sizes.models_per_service):
        name = f"{service}-m{model}"
        lines.append(f"  - name: {name}")
        lines.append(f"    checkpoint: {name}")
        lines.append(f"    memory_mb: {1000 + revision % 7}")
        lines.append("    adapters:")
        for adapter in range(sizes.adapters_per_model):
            lines.append(f"      - {{name: {name}-a{adapter}, memory_mb: 10}}")
    lines.append("workspaces:")
    lines.append("  - {workspace: w, rate_tokens_per_s: 100, burst_tokens: 1000}")
    return "\n".join(lines) + "\n"


class NodeClient:
    """A node's side of dissemination and reports."""

    def __init__(self, number: int, control: list[ControlHost]) -> None:
        role = "entry" if number % _ENTRY_SHARE == 0 else "agent"
        self.kernel = Kernel(
            Settings(
                node=f"node-{number}",
                role=role,
                zone=f"zone-{number % 6}",
                control=control,
                backends=[BackendSettings("b", "bench", "127.0.0.1:1")],
            )
        )
        for kind in (Process, Controllers, Feed, Reporter):
            self.kernel.register(kind(self.kernel))
        self.kernel.find("reports").address = "127.0.0.1:1"
        if role == "agent":
            self.kernel.find("reports").read_backends = self._describe_backends
        self.seen: list[tuple[int, float]] = []
        self.kernel.find("feed").listen(self._note)

    def _describe_backends(self) -> list[BackendReport]:
        replicas = [ReplicaReport(n, f"model-{n}", "loaded", "") for n in range(3)]
        cached = [(f"checkpoint-{n}", "disk") for n in range(10)]
        report = BackendReport(
            "engine", "bench", "openai", True, 3, 1, 900, 800.0, replicas, cached
        )
        return [report, report._replace(backend="engine-2")]

    def _note(self, applied: list[Any]) -> None:
        version = self.kernel.find("feed").state.version
        self.seen.append((version, time.time()))

    def bytes_moved(self) -> int:
        """Return payload bytes in both directions so far."""
        links = self.kernel.find("controllers").links.values()
        return sum(link.bytes_sent + link.bytes_received for link in links)


async def serve_nodes(first: int, count: int, addresses: str) -> None:
    """Run nodes until standard input ends; answers each line with a JSON object."""
    control = [
        ControlHost(*item.split("=", 1), "127.0.0.1:1") for item in addresses.split(",")
    ]
    clients = [NodeClient(first + n, control) for n in range(count)]
    for client in clients:
        await client.kernel.start()
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while await reader.readline():
        answer = {
            "fresh": sum(c.kernel.find("feed").is_fresh() for c in clients),
            "bytes": sum(client.bytes_moved() for client in clients),
            "seen": [client.seen for client in clients],
        }
        for client in clients:
            client.seen = client.seen[-1:]
        print(json.dumps(answer), flush=True)


class NodeProcess:
    """A process with many node clients."""

    def __init__(self, first: int, count: int, control: list[ControlHost]) -> None:
        addresses = ",".join(f"{host.name}={host.address}" for host in control)
        command = [sys.executable, "-m", "jasminewharf.bench.dissemination"]
        arguments = [f"--serve={first}:{count}", f"--control={addresses}"]
        self.count = count
        self._process = subprocess.Popen(
            [*command, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    @property
    def pid(self) -> int:
        """The process number."""
        return self._process.pid

    async def ask(self) -> dict[str, Any]:
        """Return the nodes' counters."""
        return await asyncio.to_thread(self._ask)

    def _ask(self) -> dict[str, Any]:
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.write("\n")
        self._process.stdin.flush()
        return json.loads(self._process.stdout.readline())

    def stop(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()


async def measure_nodes(
    nodes: int, seconds: float, changes: int, sizes: Sizes, folder: Path
) -> dict[str, Any]:
    """Measure control hosts and nodes at rest and with changes."""
    spec = ClusterSpec(controls=_CONTROLS, entries=1, engine_hosts=0, desk_hosts=0)
    cluster = Cluster(spec, folder)
    processes: list[NodeProcess] = []
    try:
        await cluster.start()
        async with OperatorClient(cluster.tool_settings) as operator:
            await _submit_all(operator, sizes)
            for first in range(0, nodes, _NODES_PER_PROCESS):
                count = min(_NODES_PER_PROCESS, nodes - first)
                processes.append(NodeProcess(first, count, cluster.control))
            await _wait_fresh(processes, nodes)
            rest = await _measure_rest(cluster, processes, nodes, seconds)
            in_force = await _measure_changes(operator, processes, changes, sizes)
    finally:
        for process in processes:
            process.stop()
        await cluster.stop()
    return {"nodes": nodes, **rest, **in_force}


async def _submit_all(operator: OperatorClient, sizes: Sizes) -> None:
    for number in range(sizes.services):
        service = f"s{number}"
        await operator.submit_document(
            service, 0, build_document(service, sizes, 0), "bench"
        )


async def _wait_fresh(processes: list[NodeProcess], nodes: int) -> None:
    deadline = time.monotonic() + _IN_FORCE_LIMIT_S
    while True:
        answers = await asyncio.gather(*(process.ask() for process in processes))
        if sum(answer["fresh"] for answer in answers) == nodes:
            return
        if time.monotonic() > deadline:
            raise TrialError("not all nodes became fresh")
        await asyncio.sleep(0.2)


async def _measure_rest(
    cluster: Cluster, processes: list[NodeProcess], nodes: int, seconds: float
) -> dict[str, Any]:
    controls = [cluster.pid(host.name) for host in cluster.control]
    before = await asyncio.gather(*(process.ask() for process in processes))
    control_cpu = [read_cpu_s(pid) for pid in controls]
    node_cpu = sum(read_cpu_s(process.pid) for process in processes)
    started = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - started
    used = [
        read_cpu_s(pid) - cpu for pid, cpu in zip(controls, control_cpu, strict=True)
    ]
    node_cpu = sum(read_cpu_s(process.pid) for process in processes) - node_cpu
    after = await asyncio.gather(*(process.ask() for process in processes))
    moved = sum(a["bytes"] for a in after) - sum(b["bytes"] for b in before)
    return {
        "control_cpu_percent": [round(100 * cpu / elapsed, 2) for cpu in used],
        "control_mb": [round(read_resident_mb(pid), 1) for pid in controls],
        "node_cpu_percent": round(100 * node_cpu / elapsed / nodes, 3),
        "node_bytes_per_s": round(moved / elapsed / nodes, 1),
    }


async def _measure_changes(
    operator: OperatorClient,
    processes: list[NodeProcess],
    changes: int,
    sizes: Sizes,
) -> dict[str, Any]:
    latency = HdrHistogram(1, 120 * _US_PER_S, 3)
    expected = sum(process.count for process in processes)
    for change in range(changes):
        await asyncio.gather(*(process.ask() for process in processes))
        body = build_document("s0", sizes, change + 1)
        started = time.time()
        await operator.submit_document("s0", change + 1, body, "bench")
        times = await _collect_times(processes, expected)
        for at in times:
            latency.record_value(max(int((at - started) * _US_PER_S), 1))
    return {
        "in_force_ms": {
            name: latency.get_value_at_percentile(q) / 1000
            for name, q in (("p50", 50), ("p99", 99), ("max", 100))
        }
    }


async def _collect_times(processes: list[NodeProcess], expected: int) -> list[float]:
    """Return when each node applied the newest change."""
    deadline = time.monotonic() + _IN_FORCE_LIMIT_S
    newest: dict[int, tuple[int, float]] = {}
    while time.monotonic() < deadline:
        await asyncio.sleep(0.3)
        answers = await asyncio.gather(*(process.ask() for process in processes))
        key = 0
        for answer in answers:
            for seen in answer["seen"]:
                if seen:
                    version, at = seen[-1]
                    if version > newest.get(key, (0, 0.0))[0]:
                        newest[key] = (version, at)
                key += 1
        top = max((version for version, _ in newest.values()), default=0)
        times = [at for version, at in newest.values() if version == top]
        if len(times) == expected:
            return times
    raise TrialError("a change did not reach all nodes")


async def run_sizes(
    sizes: list[int], seconds: float, changes: int, state: Sizes
) -> dict[str, Any]:
    """Measure several numbers of nodes and fit the slopes."""
    points = []
    for nodes in sizes:
        with tempfile.TemporaryDirectory(prefix="jasminewharf-nodes-") as folder:
            point = await measure_nodes(nodes, seconds, changes, state, Path(folder))
        print(json.dumps(point), file=sys.stderr, flush=True)
        points.append(point)
    report: dict[str, Any] = {"state": state._asdict(), "points": points}
    if len(points) > 2:
        report["slopes"] = _fit(points)
    return report


def _fit(points: list[dict[str, Any]]) -> dict[str, Any]:
    xs = [point["nodes"] for point in points]
    series = {
        "control_cpu_percent_total": [sum(p["control_cpu_percent"]) for p in points],
        "control_cpu_percent_highest": [max(p["control_cpu_percent"]) for p in points],
        "control_mb_highest": [max(p["control_mb"]) for p in points],
        "node_cpu_percent": [p["node_cpu_percent"] for p in points],
        "node_bytes_per_s": [p["node_bytes_per_s"] for p in points],
        "in_force_ms_max": [p["in_force_ms"]["max"] for p in points],
    }
    slopes = {}
    for name, values in series.items():
        slope = fit_slope(xs, values)
        slopes[name] = {
            "intercept": round(slope.intercept, 4),
            "per_node": round(slope.slope, 6),
            "error": round(slope.error, 3),
            "at_350": round(slope.predict(350), 3),
        }
    return slopes


@dataclass
class DisseminationCommand:
    """Measure dissemination at several numbers of nodes."""

    nodes: Annotated[str, cappa.Arg(long=True, help="Numbers, with commas.")] = (
        "10,50,150,300"
    )
    seconds: Annotated[float, cappa.Arg(long=True, help="Seconds at rest.")] = 10.0
    changes: Annotated[int, cappa.Arg(long=True)] = 5
    services: Annotated[int, cappa.Arg(long=True)] = 23
    serve: Annotated[str, cappa.Arg(long=True, help="Run nodes FIRST:COUNT.")] = ""
    control: Annotated[str, cappa.Arg(long=True, help="NAME=ADDRESS, ...")] = ""

    def __call__(self) -> None:
        """Measure and print JSON."""
        if self.serve:
            first, _, count = self.serve.partition(":")
            asyncio.run(serve_nodes(int(first), int(count), self.control))
            return
        sizes = [int(item) for item in self.nodes.split(",")]
        state = Sizes(services=self.services)
        report = asyncio.run(run_sizes(sizes, self.seconds, self.changes, state))
        print(json.dumps(report, indent=2))


if __name__ == "__main__":
    cappa.invoke(DisseminationCommand)
