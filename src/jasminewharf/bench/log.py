"""Measures the replicated log: ``python -m jasminewharf.bench.log``.

Every figure is taken in one run, next to the bare fdatasync rate of a file in the
same folder with writes of the same size. The three members run in processes of
their own, and their data folders share this machine's disk.
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

from ..kernel import Kernel
from ..services.files import DiskFile
from ..services.log import LogService, LogSettings
from .logload import GROUP, Digest, make_histogram, propose_for, record, summarize
from .logprocesses import ProcessCluster, run_member

__all__ = ["main"]

_CALLERS = (1, 32, 256)


@dataclass
class Options:
    """Measure the replicated log."""

    folder: Annotated[str, cappa.Arg(long=True)] = ""
    seconds: Annotated[float, cappa.Arg(long=True)] = 3.0
    command_bytes: Annotated[int, cappa.Arg(long=True)] = 200
    failovers: Annotated[int, cappa.Arg(long=True)] = 10
    member: Annotated[str, cappa.Arg(long=True, hidden=True)] = ""
    inline: Annotated[bool, cappa.Arg(long=True, hidden=True)] = False
    addresses: Annotated[str, cappa.Arg(long=True, hidden=True)] = "{}"


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


def measure_fdatasync(folder: str, options: Options) -> dict[str, float]:
    """Append to a growing file and sync, again and again."""
    path = os.path.join(folder, "bare")
    file = DiskFile(path)
    histogram = make_histogram()
    data = os.urandom(options.command_bytes)
    offset = 0
    began = time.perf_counter()
    while (before := time.perf_counter()) - began < options.seconds:
        file.write(offset, data)
        file.sync()
        offset += len(data)
        record(histogram, before)
    file.close()
    os.remove(path)
    return summarize(histogram, time.perf_counter() - began)


def _free_addresses(count: int) -> list[str]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return addresses


def _make_settings(name: str, folder: str, addresses: dict[str, str]) -> LogSettings:
    peers = {n: a for n, a in addresses.items() if n != name}
    return LogSettings(name, folder, addresses[name], peers, (GROUP,))


async def measure_single(
    folder: str, options: Options, *, inline: bool
) -> dict[str, Any]:
    """Measure one member in this process.

    Args:
        folder: Its data folder.
        options: What to measure.
        inline: Whether files are written in the event loop's thread.
    """
    settings = _make_settings("c0", folder, {"c0": _free_addresses(1)[0]})
    executor = InlineExecutor() if inline else None
    service = LogService(Kernel(settings), settings, executor=executor)
    service.register_machine(GROUP, Digest())
    await service.start()
    while not service.is_leader(GROUP):
        await asyncio.sleep(0.01)
    results: dict[str, Any] = {}
    for callers in _CALLERS:
        began = time.perf_counter()
        histogram = await propose_for(
            service, callers, options.command_bytes, options.seconds
        )
        seconds = time.perf_counter() - began
        results[f"{callers} callers"] = summarize(histogram, seconds)
    await service.stop()
    return results


async def measure_three(
    folder: str, options: Options, *, inline: bool
) -> dict[str, Any]:
    """Measure three member processes, and kill the leader again and again.

    Args:
        folder: Where their data folders are created.
        options: What to measure.
        inline: Whether files are written in the event loops' threads.
    """
    names = ("c0", "c1", "c2")
    addresses = dict(zip(names, _free_addresses(3), strict=True))
    cluster = ProcessCluster(folder, addresses, inline=inline)
    for name in names:
        await cluster.start(name)
    leader, _ = await cluster.next_leader()
    results: dict[str, Any] = {}
    size = options.command_bytes
    for callers in _CALLERS:
        results[f"{callers} callers"] = await cluster.load(
            leader, callers, size, options.seconds
        )
    durations = []
    for _ in range(0 if inline else options.failovers):
        leader, seconds = await cluster.fail_over(leader)
        durations.append(round(seconds, 3))
        # Time for the restarted member to come back before the next loss.
        await asyncio.sleep(1.0)
        await cluster.load(leader, 8, size, 0.2)
    results["seconds to a new leader after kill -9"] = sorted(durations)
    results["acknowledged commands"] = cluster.acknowledged
    results["lost commands"] = await cluster.count_lost()
    await cluster.stop()
    return results


async def measure(options: Options) -> dict[str, Any]:
    """Take all figures."""
    folder = tempfile.mkdtemp(dir=options.folder or None)
    results: dict[str, Any] = {"bare fdatasync": measure_fdatasync(folder, options)}
    try:
        for label, measure_members in (
            ("one member", measure_single),
            ("three members", measure_three),
        ):
            for inline, place in ((False, "in a thread"), (True, "on the event loop")):
                data = f"{folder}/{label}-{inline}"
                results[f"{label}, files written {place}"] = await measure_members(
                    data, options, inline=inline
                )
        results["bare fdatasync, again"] = measure_fdatasync(folder, options)
        return results
    finally:
        shutil.rmtree(folder)


def main() -> None:
    """Measure and print the figures as JSON."""
    options = cappa.parse(Options)
    if options.member:
        addresses = json.loads(options.addresses)
        settings = _make_settings(options.member, options.folder, addresses)
        executor = InlineExecutor() if options.inline else None
        asyncio.run(run_member(settings, executor))
        return
    print(json.dumps(asyncio.run(measure(options)), indent=2))


if __name__ == "__main__":
    main()
