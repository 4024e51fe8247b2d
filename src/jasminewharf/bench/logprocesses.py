"""Members of the replicated log in processes of their own, for measurements.

A member process takes one JSON command a line on standard input and reports on
standard output: that it leads, the result of a load, or how many commands it has
applied.
"""

import asyncio
import json
import os
import signal
import sys
import time
from concurrent.futures import Executor
from typing import Any

from ..exceptions import ConsensusError
from ..kernel import Kernel
from ..services.log import LogService, LogSettings
from .logload import GROUP, Digest, propose_for, summarize

__all__ = ["MemberProcess", "ProcessCluster", "run_member"]

_POLL_S = 0.002


async def run_member(settings: LogSettings, executor: Executor | None) -> None:
    """Run one member until standard input ends."""
    service = LogService(Kernel(settings), settings, executor=executor)
    digest = Digest()
    service.register_machine(GROUP, digest)
    await service.start()
    reporting = asyncio.create_task(_report_leadership(service))
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        _report(await _carry_out(service, digest, json.loads(line)))
    reporting.cancel()
    await service.stop()


def _report(value: dict[str, Any]) -> None:
    print(json.dumps(value), flush=True)


async def _report_leadership(service: LogService) -> None:
    led = False
    while True:
        if service.is_leader(GROUP) and not led:
            try:
                await service.read_barrier(GROUP)
            except ConsensusError:
                continue
            _report({"leads": True})
        led = service.is_leader(GROUP)
        await asyncio.sleep(_POLL_S)


async def _carry_out(
    service: LogService, digest: Digest, command: dict[str, Any]
) -> dict[str, Any]:
    if "callers" not in command:
        await service.read_barrier(GROUP)
        return {"applied": digest.count}
    began = time.perf_counter()
    histogram = await propose_for(
        service, command["callers"], command["size"], command["seconds"]
    )
    return {
        "acknowledged": histogram.get_total_count(),
        "result": summarize(histogram, time.perf_counter() - began),
    }


class MemberProcess:
    """One member process, as its parent sees it."""

    def __init__(
        self, process: asyncio.subprocess.Process, leads: asyncio.Queue
    ) -> None:
        self._process = process
        self._leads = leads
        self._answers: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        while line := await self._process.stdout.readline():
            value = json.loads(line)
            if "leads" in value:
                self._leads.put_nowait((self, time.perf_counter()))
            else:
                self._answers.put_nowait(value)

    async def ask(self, command: dict[str, Any]) -> dict[str, Any]:
        """Send a command and return its answer."""
        self._process.stdin.write(json.dumps(command).encode() + b"\n")
        return await self._answers.get()

    async def kill(self) -> None:
        """End the process without warning."""
        self._process.send_signal(signal.SIGKILL)
        await self._process.wait()

    async def stop(self) -> None:
        """Close standard input and wait for the end."""
        if self._process.returncode is None:
            self._process.stdin.close()
            await self._process.wait()


class ProcessCluster:
    """Three members in processes of their own.

    Args:
        folder: Where the data folders are created.
        addresses: Names and addresses of the members.
        inline: Whether files are written in the event loops' threads.
    """

    def __init__(self, folder: str, addresses: dict[str, str], *, inline: bool) -> None:
        self._inline = inline
        self._folder = folder
        self._addresses = addresses
        self._leads: asyncio.Queue[tuple[MemberProcess, float]] = asyncio.Queue()
        self.members: dict[str, MemberProcess] = {}
        self.acknowledged = 0

    async def start(self, name: str) -> None:
        """Start the member ``name``."""
        command = [sys.executable, "-m", "jasminewharf.bench.log"]
        command += ["--member", name, "--addresses", json.dumps(self._addresses)]
        command += ["--folder", os.path.join(self._folder, name)]
        if self._inline:
            command.append("--inline")
        pipe = asyncio.subprocess.PIPE
        process = await asyncio.create_subprocess_exec(
            *command, stdin=pipe, stdout=pipe
        )
        self.members[name] = MemberProcess(process, self._leads)

    async def next_leader(self) -> tuple[MemberProcess, float]:
        """Return the next member that reports that it leads, and when it did."""
        return await asyncio.wait_for(self._leads.get(), 30)

    async def load(
        self, leader: MemberProcess, callers: int, size: int, seconds: float
    ) -> dict[str, float]:
        """Let the leader propose and return the figures."""
        command = {"callers": callers, "size": size, "seconds": seconds}
        answer = await leader.ask(command)
        self.acknowledged += answer["acknowledged"]
        return answer["result"]

    async def fail_over(self, leader: MemberProcess) -> tuple[MemberProcess, float]:
        """Kill the leader; return the next one, the seconds it took, and restart."""
        name = next(n for n, member in self.members.items() if member is leader)
        before = time.perf_counter()
        await leader.kill()
        successor, at = await self.next_leader()
        await self.start(name)
        return successor, at - before

    async def count_lost(self) -> int:
        """Return how many acknowledged commands any member lacks."""
        answers = [await member.ask({}) for member in self.members.values()]
        return max(0, self.acknowledged - min(a["applied"] for a in answers))

    async def stop(self) -> None:
        """Stop all members."""
        for member in self.members.values():
            await member.stop()
