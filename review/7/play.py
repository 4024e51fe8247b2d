"""Models are taken out of the configuration while callers wait for them."""

import asyncio
import contextlib
import itertools
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins2  # noqa: E402

ROUNDS = 6
OFFERED_S = 5.0
RETIRED_S = 3.0
BURST_S = 0.4
# Of the sheet, as the sizes below; both replicas have held all models before.
DISK_S = 1.2
RESTARTED_AFTER_S = 0.5
# Of the rule: on two machines at least, three times.
MACHINES = 2
ENDS = 3
KEPT = ("m0", "m1")
RARE = ("m2", "m3", "m4", "m5")


def build_configuration(version, names):
    """Return a configuration whose engine service offers these models."""
    models = [
        {
            "name": name,
            "weightsMb": 70_000.0,
            "loadS": 6.0,
            "adapters": 0,
            "adapterMb": 12.0,
            "warmS": 0.57,
            "diskS": DISK_S,
        }
        for name in names
    ]
    configuration = standins2.build_configuration(version)
    configuration["services"][0]["engine"].update(
        slots=48, weightsMb=160_000.0, adapterSlots=8, loadsPerS=3.2, models=models
    )
    return configuration


class Agents:
    """The agents, which the platform starts again when they end by themselves."""

    def __init__(self, deployment, engines):
        self.ends = Counter()
        self._record = deployment.record
        self.machines = [
            standins2.Machine(
                deployment, deployment.address(60 + number), "agent", app=engine.address
            )
            for number, engine in enumerate(engines)
        ]

    async def keep(self):
        """Start each one again that has ended."""
        while True:
            await asyncio.sleep(0.1)
            for machine in self.machines:
                if machine.process.returncode is not None:
                    await self._start_again(machine)

    async def _start_again(self, machine):
        self.ends[machine.ip] += 1
        code = machine.process.returncode
        self._record.note("ended-by-itself", machine=machine.ip, code=code)
        await asyncio.sleep(RESTARTED_AFTER_S)
        await machine.start(is_first_start=False)


async def ask_forever(deployment, tasks):
    """Send requests for the common models and, fewer, for the rare ones."""
    numbers = itertools.count()
    while True:
        for model in (*KEPT, *KEPT, *RARE):
            call = ask(deployment, next(numbers), model)
            tasks.add(asyncio.create_task(call))
        await asyncio.sleep(BURST_S)


async def ask(deployment, number, model):
    """Send one request for a model."""
    head = standins2.client_head(
        f"a{number}",
        ("X-Model", model),
        ("X-Token-Counts", "543,80"),
        ("X-Prompt-Prefix", f"5c1e:100,{number:x}:443"),
    )
    address = deployment.front(deployment.entries[0])
    answer = await standins2.request(address, "POST", "/chat/1", head, b"{}")
    status = answer.status if answer is not None else "none"
    deployment.record.note("client", id=f"a{number}", model=model, status=status)


async def play(record, network):
    """Retire models and offer them again, a few times."""
    deployment = standins2.Deployment(record, network)
    engines = [
        standins2.Engine(deployment.address(110 + number), f"i-e{number}", record, KEPT)
        for number in range(2)
    ]
    for engine in engines:
        engine.load_s = DISK_S
        engine.on_disk = [*KEPT, *RARE]
    deployment.replicas += engines
    tasks = set()
    try:
        await deployment.start_standins()
        agents = Agents(deployment, engines)
        deployment.extra += agents.machines
        for machine in deployment.machines:
            await machine.start()
        versions = itertools.count(1)
        offered = (*KEPT, *RARE)
        first = build_configuration(next(versions), offered)
        if not await deployment.submit(first, 45.0):
            raise TimeoutError("the first configuration was not accepted")
        await deployment.wait_served(deployment.entries[0], 30.0)
        tasks.add(asyncio.create_task(agents.keep()))
        tasks.add(asyncio.create_task(ask_forever(deployment, tasks)))
        for _ in range(ROUNDS):
            await asyncio.sleep(OFFERED_S)
            kept = KEPT if standins2.has_trouble() else offered
            await deployment.submit(build_configuration(next(versions), kept), 5.0)
            await asyncio.sleep(RETIRED_S)
            await deployment.submit(build_configuration(next(versions), offered), 5.0)
        often = [ip for ip, count in agents.ends.items() if count >= ENDS]
        if len(often) >= MACHINES:
            return f"processes ended by themselves: {dict(agents.ends)}"
        return None
    finally:
        for task in list(tasks):
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
        await deployment.stop()


standins2.run(play, FOLDER, 107)
