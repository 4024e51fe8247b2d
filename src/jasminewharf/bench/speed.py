"""``python -m jasminewharf.bench.speed``: entry and agent against a pass-through.

Both carry the same requests to the same stand-in backend server, with the same
raw callers, in one run and one after the other. The pass-through is two hops of
plain asyncio and h11: what two processes in the place of entry and agent would
cost at the least. Each hop is a process of its own, pinned to nothing; CPU time is
read from the operating system, so that other load on the machine matters little.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import cappa
import h11
from hdrh.histogram import HdrHistogram

from ..exceptions import TrialError
from ..fakes.engine import ModelSpec
from ..interfaces.operator import OperatorClient
from ..services.client import HttpClient
from ..trials.cluster import Cluster, ClusterSpec

__all__ = ["SpeedCommand", "run_speed"]

_READ_BYTES = 65536
_US_PER_S = 1_000_000
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_MB = 1024 * 1024
_STREAM_TOKENS = 200
_STREAMS = 32
_STREAM_ROUNDS = 4
_STREAM_DOCUMENT = """\
service: stream
kind: model
pool: lingua-pool
models:
  - {name: stream-model, checkpoint: stream-model, memory_mb: 1000}
workspaces:
  - {workspace: speed, rate_tokens_per_s: 100000000, burst_tokens: 100000000}
"""
_DOCUMENT = """\
service: desk
kind: plain
pool: order-desk
routes:
  - {path: /menu, methods: [GET], cost_tokens: 1}
workspaces:
  - {workspace: speed, rate_tokens_per_s: 100000000, burst_tokens: 100000000}
"""


class Load(NamedTuple):
    """What the callers measured.

    Rates are per second, latencies in microseconds.
    """

    requests: int
    seconds: float
    p50_us: float
    p99_us: float


def read_cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * _PAGE_BYTES / _MB


async def _hop(reader: Any, writer: Any, client: HttpClient) -> None:
    """Serve one connection of the pass-through."""
    connection = h11.Connection(h11.SERVER)
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(_READ_BYTES)
            connection.receive_data(data)
            if not data:
                break
        elif isinstance(event, h11.Request):
            head = event
            body = b""
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            await _relay(connection, writer, client, head, body)
            if connection.our_state is not h11.DONE:
                break
            connection.start_next_cycle()
        elif isinstance(event, h11.ConnectionClosed):
            break
    writer.close()


async def _relay(
    connection: h11.Connection,
    writer: Any,
    client: HttpClient,
    head: h11.Request,
    body: bytes,
) -> None:
    headers = [
        (name.decode(), value.decode())
        for name, value in head.headers
        if name != b"host"
    ]
    response = await client.open(
        head.method.decode(), head.target.decode(), headers, body, repeatable=True
    )
    encoded = [(k.encode(), v.encode()) for k, v in response.headers]
    writer.write(
        connection.send(h11.Response(status_code=response.status, headers=encoded))
    )
    async for chunk in response.chunks():
        writer.write(connection.send(h11.Data(data=chunk)))
    writer.write(connection.send(h11.EndOfMessage()))
    await writer.drain()


async def serve_hop(target: str) -> None:
    """Run one hop of the pass-through; prints its address."""
    client = HttpClient(target)

    async def serve(reader: Any, writer: Any) -> None:
        await _hop(reader, writer, client)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print("{}:{}".format(*server.sockets[0].getsockname()[:2]), flush=True)
    await server.serve_forever()


def start_hop(target: str) -> tuple[subprocess.Popen[str], str]:
    """Start a hop as a process; return it and its address."""
    process = subprocess.Popen(
        [sys.executable, "-m", "jasminewharf.bench.speed", "--hop", target],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    return process, process.stdout.readline().strip()


async def _call_raw(
    address: str, request: bytes, end: float, latency: HdrHistogram
) -> int:
    """Send one request after the other on a connection; return their number."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    count = 0
    while time.perf_counter() < end:
        started = time.perf_counter()
        writer.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise TrialError(f"unexpected answer: {head[:200]!r}")
        lower = head.lower()
        mark = lower.index(b"content-length:") + len(b"content-length:")
        await reader.readexactly(int(lower[mark : lower.index(b"\r\n", mark)]))
        elapsed_us = int((time.perf_counter() - started) * _US_PER_S)
        latency.record_value(max(elapsed_us, 1))
        count += 1
    writer.close()
    return count


async def measure_load(
    address: str, target: str, key: str, callers: int, seconds: float
) -> Load:
    """Call an address from several connections for some seconds."""
    request = (
        f"GET {target} HTTP/1.1\r\nhost: bench\r\nauthorization: Bearer {key}\r\n\r\n"
    ).encode()
    latency = HdrHistogram(1, 60 * _US_PER_S, 3)
    started = time.perf_counter()
    counts = await asyncio.gather(
        *(
            _call_raw(address, request, started + seconds, latency)
            for _ in range(callers)
        )
    )
    return Load(
        sum(counts),
        time.perf_counter() - started,
        latency.get_value_at_percentile(50),
        latency.get_value_at_percentile(99),
    )


async def _measure_path(
    address: str, target: str, key: str, pids: list[int], callers: int, seconds: float
) -> dict[str, float]:
    await measure_load(address, target, key, callers, seconds / 4)
    before = [read_cpu_s(pid) for pid in pids]
    load = await measure_load(address, target, key, callers, seconds)
    cpu_s = sum(read_cpu_s(pid) for pid in pids) - sum(before)
    alone = await measure_load(address, target, key, 1, seconds / 2)
    return {
        "requests_per_s": round(load.requests / load.seconds, 1),
        "requests_per_cpu_s": round(load.requests / cpu_s, 1),
        "p50_us": alone.p50_us,
        "p99_us": alone.p99_us,
        "loaded_p50_us": load.p50_us,
        "loaded_p99_us": load.p99_us,
    }


async def _stream_once(address: str, key: str) -> int:
    """Read one streamed answer; return the number of its tokens."""
    body = json.dumps(
        {
            "model": "stream-model",
            "stream": True,
            "max_tokens": _STREAM_TOKENS,
            "ignore_eos": True,
            "messages": [{"role": "user", "content": "measure"}],
        }
    ).encode()
    client = HttpClient(address)
    headers = [("authorization", f"Bearer {key}")]
    response = await client.open("POST", "/v1/chat/completions", headers, body)
    content = await response.read()
    client.close()
    if response.status != 200 or not content.rstrip().endswith(b"[DONE]"):
        raise TrialError(f"a stream failed: {response.status} {content[-200:]!r}")
    return content.count(b'"content"')


async def _measure_streams(address: str, key: str, pids: list[int]) -> dict[str, Any]:
    await _stream_once(address, key)
    before = [read_cpu_s(pid) for pid in pids]
    started = time.perf_counter()
    tokens = 0
    for _ in range(_STREAM_ROUNDS):
        streams = [_stream_once(address, key) for _ in range(_STREAMS)]
        tokens += sum(await asyncio.gather(*streams))
    seconds = time.perf_counter() - started
    used = [read_cpu_s(pid) - cpu for pid, cpu in zip(pids, before, strict=True)]
    return {
        "tokens_per_s": round(tokens / seconds, 1),
        "tokens_per_cpu_s": round(tokens / sum(used), 1),
        "tokens_per_cpu_s_each": [round(tokens / max(cpu, 0.01), 1) for cpu in used],
    }


async def run_speed(callers: int, seconds: float, folder: Path) -> dict[str, Any]:
    """Measure the bare backend server, the pass-through and the system."""
    spec = ClusterSpec(
        controls=1,
        entries=1,
        engine_hosts=1,
        desk_hosts=1,
        models=(ModelSpec("stream-model", 1_000, "disk"),),
    )
    cluster = Cluster(spec, folder)
    hops: list[subprocess.Popen[str]] = []
    try:
        await cluster.start()
        key = await _set_up(cluster)
        desk = f"127.0.0.1:{next(iter(cluster.desks.values())).port}"
        inner, inner_address = start_hop(desk)
        hops.append(inner)
        outer, outer_address = start_hop(inner_address)
        hops.append(outer)
        path = [cluster.pid("entry-1"), cluster.pid("agent-desk-host-1")]
        idle = {node: read_resident_mb(cluster.pid(node)) for node in cluster.nodes}
        entry = cluster.entry_addresses["entry-1"]
        target = "/services/desk/menu"
        direct = await measure_load(desk, target, key, 1, seconds / 2)
        through = await _measure_path(
            outer_address, target, key, [h.pid for h in hops], callers, seconds
        )
        system = await _measure_path(entry, target, key, path, callers, seconds)
        engine = f"127.0.0.1:{next(iter(cluster.engines.values())).port}"
        stream_inner, stream_address = start_hop(engine)
        hops.append(stream_inner)
        stream_outer, stream_address = start_hop(stream_address)
        hops.append(stream_outer)
        path[1] = cluster.pid("agent-engine-host-1")
        streamed = await _measure_streams(entry, key, path)
        relayed = await _measure_streams(
            stream_address, key, [stream_inner.pid, stream_outer.pid]
        )
        used = {node: read_resident_mb(cluster.pid(node)) for node in cluster.nodes}
    finally:
        for hop in hops:
            hop.send_signal(signal.SIGKILL)
            hop.wait()
        await cluster.stop()
    return {
        "direct_p50_us": direct.p50_us,
        "pass_through": through,
        "system": system,
        "added_p50_us": system["p50_us"] - direct.p50_us,
        "added_p99_us": system["p99_us"] - direct.p99_us,
        "share_per_cpu_s": round(
            system["requests_per_cpu_s"] / through["requests_per_cpu_s"], 3
        ),
        "streams": {
            "pass_through": relayed,
            "system": streamed,
            "share_per_cpu_s": round(
                streamed["tokens_per_cpu_s"] / relayed["tokens_per_cpu_s"], 3
            ),
        },
        "idle_mb": {node: round(value, 1) for node, value in idle.items()},
        "loaded_mb": {node: round(value, 1) for node, value in used.items()},
    }


async def _set_up(cluster: Cluster) -> str:
    for desk in cluster.desks.values():
        desk.work_s = 0.0
    async with OperatorClient(cluster.tool_settings) as operator:
        await operator.submit_document("desk", 0, _DOCUMENT, "bench")
        await operator.submit_document("stream", 0, _STREAM_DOCUMENT, "bench")
        _, key = await operator.grant_key("speed", cluster.hash_secret)
    await asyncio.sleep(1.0)
    return key


@dataclass
class SpeedCommand:
    """Compare entry and agent with a bare pass-through of two hops."""

    callers: Annotated[int, cappa.Arg(long=True)] = 16
    seconds: Annotated[float, cappa.Arg(long=True)] = 4.0
    hop: Annotated[str, cappa.Arg(long=True, help="Serve one hop instead.")] = ""

    def __call__(self) -> None:
        """Measure and print JSON."""
        if self.hop:
            asyncio.run(serve_hop(self.hop))
            return
        with tempfile.TemporaryDirectory(prefix="jasminewharf-speed-") as folder:
            report = asyncio.run(run_speed(self.callers, self.seconds, Path(folder)))
        print(json.dumps(report, indent=2))


if __name__ == "__main__":
    cappa.invoke(SpeedCommand)
