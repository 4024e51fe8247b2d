"""A fleet of three control hosts and two entries in this process, without engines."""

import asyncio

from fleets import Fleet, build_body
from jasminewharf.decisions.records import Received
from support import wait_until


class ControlFleet(Fleet):
    """Three control hosts and two entries in this process, without engines."""

    def __init__(self, base, folder):
        super().__init__(base, folder)
        self.controls = {}
        self.operators = [f"127.0.0.{n}:{base + 8}" for n in (2, 8, 9)]
        self.engines = []

    def settings_text(self, ip, role, **fleet):
        seeds = ", ".join(f'"{address}"' for address in self.operators)
        text = super().settings_text(ip, role, **fleet)
        text = text.replace(f'["{self.operator}"]', f"[{seeds}]")
        text = text.replace("tolerated_losses: 0", "tolerated_losses: 1")
        return text.replace(f'"{self.folder}"', f'"{self.folder / ip}"')

    async def add_control(self, address):
        await self.add(address.partition(":")[0], "control", operator_listen=address)
        self.controls[address] = self.kernels.pop()

    async def start(self):
        for fake in (self.list, *self.desks):
            await fake.start()
        self.list.replicas = list(self.desks)
        for address in self.operators:
            await self.add_control(address)
        for ip in self.entry_ips:
            await self.add(ip, "entry", ready_listen=f"{ip}:{self.base + 7}")
        await self.submit(build_body())
        for kernel in self.kernels:
            await wait_until(kernel.find("gateway").is_ready)

    async def stop(self):
        self.kernels = [*self.controls.values(), *self.kernels]
        await super().stop()

    def tables(self):
        return [kernel.find("view").table for kernel in self.kernels]

    def find_leader(self):
        """Return the address of the leader; an empty text if there is none."""
        leads = {a: k.find("log").is_leader("fleet") for a, k in self.controls.items()}
        return next((address for address in leads if leads[address]), "")

    def isolate(self, address):
        """Cut a control host from the others; its links to entries stay."""
        for runner in self.controls[address].find("log")._runners.values():
            runner.send = lambda receiver, message: None
            submit = runner.submit
            runner.submit = lambda event, submit=submit: (
                None if isinstance(event, Received) else submit(event)
            )

    async def restart_one(self, rng):
        address = rng.choice(self.operators)
        await asyncio.wait_for(self.controls.pop(address).stop(), 20)
        await self.add_control(address)
