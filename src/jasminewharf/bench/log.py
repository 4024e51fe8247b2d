"""Measures the replicated log: ``python -m jasminewharf.bench.log``.

Every figure is taken in one run, next to the bare fdatasync rate of a file in the
same folder with writes of the same size. All members run in one process and share
one core, so that the figures for three members are a lower bound.
"""

import asyncio
import json
import os
import shutil
import socket
import tempfile
import time
from concurrent.futures import Executor, Future
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
from hdrh.histogram import HdrHistogram

from ..exceptions import ConsensusError
from ..kernel import Kernel
from ..services.files import DiskFile
from ..services.log import LogService, LogSettings

__all__ = ["main"]

_GROUP = "fleet"
_MICROSECONDS = 1e6
_LONGEST_US = 60_000_000


@dataclass
class Options:
    """Measure the replicated log."""

    folder: Annotated[str, cappa.Arg(long=True)] = ""
    seconds: Annotated[float, cappa.Arg(long=True)] = 3.0
    command_bytes: Annotated[int, cappa.Arg(long=True)] = 200
    failovers: Annotated[int, cappa.Arg(long=True)] = 10


class InlineExecutor(Executor):
    """Runs calls in the caller's thread: the baseline for writing off the loop."""

    def submit(self, function: Any, /, *arguments: Any, **options: Any) -> Future[Any]:
        """Run the call and return its finished future."""
        future: Future[Any] = Future()
        try:
            future.set_result(function(*arguments, **options))
        except Exception as error:
            future.set_exception(error)
        return future


class Digest:
    """A state machine that counts commands."""

    def __init__(self) -> None:
        self._count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Count a command."""
        self._count += 1
        return b""

    def snapshot(self) -> bytes:
        """Return the count."""
        return b"%d" % self._count

    def restore(self, state: bytes) -> None:
        """Set the count."""
        self._count = int(state)


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, _LONGEST_US, 3)


def _summarize(histogram: HdrHistogram, seconds: float) -> dict[str, float]:
    return {
        "per_s": round(histogram.get_total_count() / seconds, 1),
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "max_ms": histogram.get_max_value() / 1000,
    }


def measure_fdatasync(folder: str, size: int, seconds: float) -> dict[str, float]:
    """Append ``size`` bytes and sync, again and again."""
    path = os.path.join(folder, "bare")
    file = DiskFile(path)
    histogram = _make_histogram()
    data = os.urandom(size)
    offset = 0
    began = time.perf_counter()
    while (before := time.perf_counter()) - began < seconds:
        file.write(offset, data)
        file.sync()
        offset += size
        histogram.record_value(
            max(1, int((time.perf_counter() - before) * _MICROSECONDS))
        )
    file.close()
    os.remove(path)
    return _summarize(histogram, time.perf_counter() - began)


def _free_addresses(count: int) -> list[str]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return addresses


class Members:
    """Log services in this process that talk over TCP.

    Args:
        folder: Where the data folders are created.
        count: Number of members.
        inline: Whether files are written in the event loop's thread.
    """

    def __init__(self, folder: str, count: int, *, inline: bool = False) -> None:
        self._folder = tempfile.mkdtemp(dir=folder)
        names = [f"c{number}" for number in range(count)]
        self._addresses = dict(zip(names, _free_addresses(count), strict=True))
        self._inline = inline
        self.services: dict[str, LogService] = {}

    async def start(self) -> None:
        """Start every member that is not running and wait for a leader."""
        for name in self._addresses:
            if name not in self.services:
                await self._start_member(name)
        await self.leader()

    async def _start_member(self, name: str) -> None:
        peers = {n: a for n, a in self._addresses.items() if n != name}
        folder = os.path.join(self._folder, name)
        settings = LogSettings(name, folder, self._addresses[name], peers, (_GROUP,))
        executor = InlineExecutor() if self._inline else None
        service = LogService(Kernel(settings), settings, executor=executor)
        service.register_machine(_GROUP, Digest())
        await service.start()
        self.services[name] = service

    async def leader(self) -> str:
        """Return the name of the leader that has committed in its term."""
        while True:
            for name, service in self.services.items():
                if service.is_leader(_GROUP):
                    try:
                        await service.read_barrier(_GROUP)
                    except ConsensusError:
                        continue
                    return name
            await asyncio.sleep(0.001)

    async def stop_member(self, name: str) -> None:
        """Stop a member without handing over."""
        await self.services.pop(name).stop()

    async def stop(self) -> None:
        """Stop all members and remove their data."""
        for name in list(self.services):
            await self.stop_member(name)
        shutil.rmtree(self._folder)


async def _propose_for(
    service: LogService, size: int, seconds: float, histogram: HdrHistogram
) -> None:
    command = os.urandom(size)
    end = time.perf_counter() + seconds
    while (before := time.perf_counter()) < end:
        await service.propose(_GROUP, command)
        histogram.record_value(
            max(1, int((time.perf_counter() - before) * _MICROSECONDS))
        )


async def measure_writes(
    members: Members, callers: int, options: Options
) -> dict[str, float]:
    """Propose from ``callers`` tasks, each one command at a time."""
    service = members.services[await members.leader()]
    histogram = _make_histogram()
    began = time.perf_counter()
    await asyncio.gather(
        *[
            _propose_for(service, options.command_bytes, options.seconds, histogram)
            for _ in range(callers)
        ]
    )
    return _summarize(histogram, time.perf_counter() - began)


async def measure_reads(members: Members, options: Options) -> dict[str, float]:
    """Confirm reads one after another."""
    service = members.services[await members.leader()]
    histogram = _make_histogram()
    began = time.perf_counter()
    while (before := time.perf_counter()) - began < options.seconds:
        await service.read_barrier(_GROUP)
        histogram.record_value(
            max(1, int((time.perf_counter() - before) * _MICROSECONDS))
        )
    return _summarize(histogram, time.perf_counter() - began)


async def measure_failovers(members: Members, count: int) -> dict[str, float]:
    """Stop the leader without a handover until another leader has committed."""
    histogram = _make_histogram()
    for _ in range(count):
        name = await members.leader()
        before = time.perf_counter()
        await members.stop_member(name)
        await members.leader()
        histogram.record_value(int((time.perf_counter() - before) * _MICROSECONDS))
        await members.start()
        await asyncio.sleep(0.5)
    summary = _summarize(histogram, 1.0)
    del summary["per_s"]
    return {"count": count, **summary}


async def _measure_members(
    folder: str, count: int, options: Options, *, inline: bool
) -> dict[str, Any]:
    members = Members(folder, count, inline=inline)
    await members.start()
    results: dict[str, Any] = {}
    try:
        for callers in (1, 32, 256):
            results[f"{callers} callers"] = await measure_writes(
                members, callers, options
            )
        if not inline:
            results["reads, 1 caller"] = await measure_reads(members, options)
        if count > 1 and not inline:
            results["new leader"] = await measure_failovers(members, options.failovers)
    finally:
        await members.stop()
    return results


async def measure(options: Options) -> dict[str, Any]:
    """Take all figures."""
    folder = tempfile.mkdtemp(dir=options.folder or None)
    size = options.command_bytes
    try:
        results: dict[str, Any] = {
            "bare fdatasync": measure_fdatasync(folder, size, options.seconds)
        }
        for count in (1, 3):
            for inline in (False, True):
                place = "on the event loop" if inline else "in a thread"
                key = f"{count} member(s), files written {place}"
                results[key] = await _measure_members(
                    folder, count, options, inline=inline
                )
        results["bare fdatasync, again"] = measure_fdatasync(
            folder, size, options.seconds
        )
    finally:
        shutil.rmtree(folder)
    return results


def main() -> None:
    """Measure and print the figures as JSON."""
    options = cappa.parse(Options)
    print(json.dumps(asyncio.run(measure(options)), indent=2))


if __name__ == "__main__":
    main()
