"""Changes by two operators at three control hosts, while the leadership moves.

``JASMINEWHARF_ORDER_SEEDS=10-60`` plays these seeds in place of the fixed ones.
"""

import asyncio
import json
import os
import random

import pytest

from controlfleet import ControlFleet
from fleets import HOST, build_body, build_route, pick_base
from jasminewharf.exceptions import BackendError
from platformfakes import send
from support import wait_until

_ORDERS_AT_ONCE = 8
_ORDERS = 60
# Of each answer, and from an acknowledgement until entries work by a version.
_ANSWER_S = 6.0
_IN_FORCE_S = 2.0


def read_seeds():
    first, _, last = os.environ.get("JASMINEWHARF_ORDER_SEEDS", "1-2").partition("-")
    return range(int(first), int(last or first) + 1)


class Operators:
    """Sends changes and keeps what was acknowledged."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.bodies = {1: build_body()}
        self.newest = 1
        self.faults = []

    def build(self, version):
        route = build_route("new", "safe", "desk", pathPrefix=f"/v{version}/")
        routes = [*json.loads(self.bodies[1])["routes"][2:], route]
        services = json.loads(self.bodies[1])["services"]
        # A name that tells contents under one version apart.
        note = f"{version}-{self.rng.random()}"
        return build_body(version, routes=routes, services=services, note=note)

    async def order(self, version):
        """Send one change until it is acknowledged, each time to any host."""
        body = self.bodies.setdefault(version, self.build(version))
        if version <= self.newest and self.rng.random() < 0.5:
            # Other content under a version that is held or was overtaken.
            body = self.build(version)
        while True:
            status = await self.send(body)
            if status == 200:
                break
            if status < 500:
                self.faults.append(f"version {version} was refused with {status}")
                return
            await asyncio.sleep(0.05)
        self.newest = max(self.newest, version)
        await self.check(version)

    async def send(self, body):
        address = self.rng.choice(self.fleet.operators)
        try:
            async with asyncio.timeout(_ANSWER_S):
                return (await send(address, "POST", "/Config.Put", [HOST], body))[0]
        except (BackendError, TimeoutError):
            return 599

    async def read(self, address):
        try:
            async with asyncio.timeout(_ANSWER_S):
                return await send(address, "GET", "/Config.Get", [HOST])
        except (BackendError, TimeoutError):
            return 599, {}, b""

    async def check(self, version):
        """An acknowledged version, or a newer one, must be read and in force."""
        for address in self.fleet.operators:
            newest = self.newest
            status, _, body = await self.read(address)
            if status != 200:
                continue
            held = json.loads(body)["version"]
            if held < newest or body != self.bodies[held]:
                self.faults.append(f"{address} read back {body} after {newest}")
        await asyncio.sleep(_IN_FORCE_S)
        seen = [table.version for table in self.fleet.tables()]
        if min(seen) < version:
            self.faults.append(f"{version} is not in force at entries: {seen}")


async def play(fleet, seed):
    operators = Operators(fleet, seed)
    rng = operators.rng
    views = [kernel.find("view") for kernel in fleet.kernels]
    seen = [[] for _ in views]
    for view, versions in zip(views, seen, strict=True):
        view.listen(lambda table, versions=versions: versions.append(table.version))
    known = [1]
    places = asyncio.Semaphore(_ORDERS_AT_ONCE)

    async def order(version):
        async with places:
            await operators.order(version)

    async def disturb():
        while not all(task.done() for task in orders):
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            leader = fleet.find_leader()
            if leader and rng.random() < 0.6:
                await fleet.controls[leader].find("log").drain()
            else:
                await fleet.restart_one(rng)

    orders = []
    disturbing = None
    for _ in range(_ORDERS):
        if rng.random() < 0.3:
            version = rng.choice([*known, *known[-2:] * len(known)])
        else:
            version = max(known) + rng.randint(1, 5)
            known.append(version)
        orders.append(asyncio.create_task(order(version)))
        await asyncio.sleep(rng.uniform(0.0, 0.1))
        disturbing = disturbing or asyncio.create_task(disturb())
    await asyncio.gather(*orders, disturbing)
    return operators, seen


@pytest.mark.parametrize("seed", read_seeds())
def test_newest_change_wins_in_any_order(tmp_path, seed):
    """A change that comes late, again or with other content must change nothing."""

    async def main():
        fleet = ControlFleet(pick_base(), tmp_path)
        try:
            await fleet.start()
            operators, seen = await play(fleet, seed)
            assert operators.faults == []
            for versions in seen:
                assert versions == sorted(set(versions))
            for address in fleet.operators:
                status, _, body = 0, {}, b""
                while status != 200:
                    status, _, body = await operators.read(address)
                assert body == operators.bodies[operators.newest]
        finally:
            await fleet.stop()

    asyncio.run(main())


def test_control_host_that_is_left_behind_holds_nobody_back(tmp_path):
    """An entry that it feeds must follow another one, and reads must not go back."""

    async def main():
        fleet = ControlFleet(pick_base(), tmp_path)
        loop = asyncio.get_running_loop()
        try:
            await fleet.start()
            feed = fleet.kernels[0].find("feed")
            await wait_until(feed.is_fresh)
            behind = f"{feed.source}:{fleet.base + 8}"
            if fleet.find_leader() == behind:
                await fleet.controls[behind].find("log").drain()
                await wait_until(lambda: fleet.find_leader() not in ("", behind))
            fleet.isolate(behind)
            fleet.operator = next(a for a in fleet.operators if a != behind)
            assert (await fleet.submit(build_body(2)))[0] == 200
            acknowledged_at = loop.time()
            await wait_until(lambda: min(t.version for t in fleet.tables()) == 2)
            assert loop.time() - acknowledged_at < _IN_FORCE_S
            assert feed.source != behind.partition(":")[0]
            status, _, _ = await send(behind, "GET", "/Config.Get", [HOST])
            assert status == 503
            # It holds version 1, and passes a newer one on to the leader.
            for version, stored in ((1, 1), (3, 3)):
                status, _, answer = await send(
                    behind, "POST", "/Config.Put", [HOST], build_body(version)
                )
                assert (status, json.loads(answer)) == (200, {"version": stored})
            status, _, body = await send(fleet.operator, "GET", "/Config.Get", [HOST])
            assert (status, json.loads(body)["version"]) == (200, 3)
        finally:
            await fleet.stop()

    asyncio.run(main())
