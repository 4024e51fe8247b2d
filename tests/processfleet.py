"""A found fleet whose daemons are processes of their own, on loopback addresses."""

import asyncio
import contextlib
import os
import random
import signal
import sys

from fleets import Fleet
from jasminewharf.exceptions import BackendError

_GRACE_S = 4.0
_START_S = 45.0


def read_seeds(fixed):
    """Return the seeds of a soak: ``fixed``, or those that the environment names."""
    chosen = os.environ.get("JASMINEWHARF_SOAK_SEEDS", fixed)
    first, _, last = chosen.partition("-")
    return range(int(first), int(last or first) + 1)


class ProcessFleet(Fleet):
    """A fleet whose daemons are processes of their own.

    ``prelude`` is a statement, with its semicolon, that each runs first.
    """

    prelude = ""

    def __init__(self, base, folder, entries, **parts):
        super().__init__(base, folder, entries, **parts)
        self.controls = ["127.0.0.2", "127.0.0.8", "127.0.0.9"]
        self.tolerated_losses = 1
        self.processes = {}
        self._commands = {}
        self._restarting = set()

    def write_settings(self, ip, role, **fleet):
        text = self.settings_text(ip, role, **fleet)
        seeds = ", ".join(f'"{host}:{self.base + 8}"' for host in self.controls)
        text = text.replace(f'["127.0.0.2:{self.base + 8}"]', f"[{seeds}]")
        text = text.replace(
            "tolerated_losses: 0", f"tolerated_losses: {self.tolerated_losses}"
        )
        data = self.folder / ip
        text = text.replace(f'data_folder: "{self.folder}"', f'data_folder: "{data}"')
        path = self.folder / f"{ip}.yaml"
        path.write_text(text)
        return path

    async def start(self):
        self.folder.mkdir(parents=True)
        for fake in (self.list, *self.engines, *self.desks):
            await fake.start()
        self.list.replicas = [*self.engines, *self.desks]
        for ip in self.controls:
            self._add(ip, "control", operator_listen=f"{ip}:{self.base + 8}")
        for ip in self.entry_ips:
            self._add(ip, "entry", ready_listen=f"{ip}:{self.base + 7}")
        for number, engine in enumerate(self.engines):
            self._add(f"127.0.0.{5 + number}", "agent", own_server=engine.address)
        for ip in self._commands:
            await self.spawn(ip)
        await self.submit_until_accepted(self.body)
        for entry in range(len(self.entries)):
            await self._wait_served(entry)

    def _add(self, ip, role, **fleet):
        self._commands[ip] = self.write_settings(ip, role, **fleet)

    async def spawn(self, ip):
        log = (self.folder / f"{ip}.log").open("ab")
        self.processes[ip] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            f"{self.prelude}from jasminewharf.interfaces.daemon import main; main()",
            "--settings",
            str(self._commands[ip]),
            stdout=log,
            stderr=log,
        )

    async def submit_until_accepted(self, body):
        async def is_accepted():
            with contextlib.suppress(BackendError, TimeoutError):
                status, _ = await asyncio.wait_for(self.submit(body), 2.0)
                return status == 200
            return False

        async with asyncio.timeout(_START_S):
            while not await is_accepted():
                await asyncio.sleep(0.2)

    async def _wait_served(self, entry):
        async with asyncio.timeout(_START_S):
            while True:
                with contextlib.suppress(BackendError):
                    if (await self.call("/status/1", entry=entry))[0] == 200:
                        return
                await asyncio.sleep(0.1)

    async def strike(self, ip, kind):
        """Do something to a process, and have it run again.

        Of strikes that overlap, one may have ended the process already.
        """
        with contextlib.suppress(ProcessLookupError):
            await self._strike_process(ip, kind)

    async def _strike_process(self, ip, kind):
        process = self.processes[ip]
        if process.returncode is not None:
            return
        process.send_signal(kind)
        await asyncio.sleep(random.uniform(0.3, 2.5))
        if kind == signal.SIGSTOP:
            process.send_signal(signal.SIGCONT)
            return
        if ip in self._restarting or self.processes[ip] is not process:
            # Another strike runs it again, or has done so.
            return
        self._restarting.add(ip)
        try:
            await asyncio.wait_for(process.wait(), _GRACE_S)
        except TimeoutError:
            process.kill()
            await process.wait()
        await self.spawn(ip)
        self._restarting.discard(ip)

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for fake in (self.list, *self.engines, *self.desks):
            await fake.stop()
