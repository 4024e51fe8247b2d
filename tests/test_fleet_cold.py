"""Engines that turn cold, several entries over loopback sockets."""

import asyncio
import itertools
import json

import pytest

from fleets import build_body, run_with_fleet
from jasminewharf.bench.cold_model import find_fullest_second
from support import wait_until

ENTRIES = 4
PER_S = 4.0
BOUND = PER_S * 1.5 + 5
MODEL = (("x-model", "m0"), ("x-token-counts", "100,20"))

_ids = itertools.count()


def build_cold_body(version=1, **changes):
    services = json.loads(build_body())["services"]
    services[0].update({"coldStartS": 2.0, "coldPerS": PER_S, **changes})
    return build_body(version, services=services)


def run_cold(scenario, tmp_path, entries=ENTRIES, **changes):
    run_with_fleet(scenario, tmp_path, entries, body=build_cold_body(**changes))


def find_server(fleet, engine, entry=0):
    directory = fleet.entry_kernels[entry].find("directory").directory
    return directory.at_address(engine.address)


async def wait_warm(fleet):
    """Wait until the entries know that the engines are warm, and permits are issued."""
    owner = fleet.kernels[0].find("permit-owner")
    await wait_until(lambda: owner.issues_cold_permits(), timeout_s=4)
    for engine in fleet.engines:
        engine.cold_reported = 0
    for entry in range(len(fleet.entries)):
        for engine in fleet.engines:
            await wait_until(
                lambda e=engine, n=entry: find_server(
                    fleet, e, n
                ).limit.cold.is_known_warm(now())
            )


def now():
    return asyncio.get_running_loop().time()


async def call(fleet, entry=0, deadline="4000"):
    request_id = f"r{next(_ids)}"
    status, _, _ = await fleet.call(
        "/chat/x",
        *MODEL,
        ("x-deadline-ms", deadline),
        entry=entry,
        request_id=request_id,
    )
    return status


async def send_many(fleet, per_s, duration_s):
    """Send at a rate, at all entries in turn; return the statuses."""
    calls = []
    for number in range(int(per_s * duration_s)):
        calls.append(asyncio.create_task(call(fleet, number % len(fleet.entries))))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*calls)


def test_engines_get_no_more_than_they_tolerate_in_any_second(tmp_path):
    """Each entry sent as it liked, also right after an engine had turned cold."""

    async def scenario(fleet):
        await wait_warm(fleet)
        turn = asyncio.get_running_loop().call_later(
            2.0, lambda: setattr(fleet.engines[1], "cold_reported", 2_000)
        )
        statuses = await send_many(fleet, 40, 5.0)
        turn.cancel()
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 2 * PER_S * 5.0 / 2
        for engine in fleet.engines:
            assert find_fullest_second(engine.arrivals) <= BOUND

    run_cold(scenario, tmp_path)


def test_warm_engines_take_the_requests_first(tmp_path):
    async def scenario(fleet):
        await wait_warm(fleet)
        cold, warm = fleet.engines
        cold.cold_reported = 20_000
        for entry in range(ENTRIES):
            server = find_server(fleet, cold, entry)
            await wait_until(lambda s=server: s.limit.cold.is_cold(now()))
        statuses = await send_many(fleet, 4, 3.0)
        assert set(statuses) == {200}
        assert cold.arrivals == []
        assert len(warm.arrivals) == len(statuses)

    run_cold(scenario, tmp_path)


def test_only_engines_that_are_cold_serve_all_the_same(tmp_path):
    """A request was refused though the engine takes a few a second."""

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.cold_reported = 20_000
        server = find_server(fleet, fleet.engines[0])
        await wait_until(lambda: server.limit.cold.is_cold(now()))
        assert set(await send_many(fleet, 4, 2.0)) == {200}

    run_cold(scenario, tmp_path)


@pytest.mark.parametrize("source", ["list", "header"])
def test_cold_time_is_known_where_the_agent_says_nothing(tmp_path, source):
    """The list and the header remain when an agent is lost."""

    async def scenario(fleet):
        engine = fleet.engines[0]
        server = find_server(fleet, engine)
        await wait_until(lambda: not server.limit.cold.is_cold(now()), timeout_s=6)
        if source == "list":
            engine.cold_listed = 15_000
        else:
            engine.cold_header = "15000"
            fleet.engines[1].cold_header = "15000"
            assert set(await send_many(fleet, 8, 1.0)) == {200}
        for entry in range(ENTRIES):
            told = [find_server(fleet, each, entry) for each in fleet.engines]
            await wait_until(
                lambda t=told: any(s.limit.cold.cold_s(now()) > 5.0 for s in t),
                timeout_s=4,
            )

    run_cold(scenario, tmp_path)


@pytest.mark.parametrize(
    "value", [-1, 3.2e10, "soon", [1], {"ms": 1}, None, True, 1e300, "x" * 10_000]
)
def test_cold_time_that_cannot_be_true_costs_only_itself(tmp_path, value):
    """A server with an odd field was not served at all."""

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.cold_listed = engine.cold_reported = value
            text = value if isinstance(value, str) else str(value)
            engine.cold_header = text
        await asyncio.sleep(1.5)
        for entry in range(2):
            assert await call(fleet, entry) == 200
            server = find_server(fleet, fleet.engines[0], entry)
            assert server.report is not None
            assert server.limit.cold.cold_s(now()) <= 20.0

    run_cold(scenario, tmp_path, 2)


def test_fleet_without_cold_servers_asks_nobody(tmp_path):
    """Deployments that do not ask for it are served as before."""

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.cold_reported = 20_000
            engine.cold_header = "20000"
        assert set(await send_many(fleet, 20, 1.0)) == {200}
        server = find_server(fleet, fleet.engines[0])
        assert not server.limit.is_limited_at(now())
        metrics = fleet.kernels[0].find("process").metrics
        assert "permits_total" not in metrics.render()

    run_with_fleet(scenario, tmp_path, 2)


def test_bound_holds_while_the_owner_is_silent(tmp_path):
    """Each entry went on alone when the leader of the control hosts was lost."""

    async def scenario(fleet):
        await wait_warm(fleet)
        await send_many(fleet, 20, 1.0)
        control = fleet.kernels[0]
        fleet.kernels.remove(control)
        await asyncio.wait_for(control.stop(), 20)
        fleet.engines[0].cold_reported = 2_000
        fleet.kernels.insert(0, fleet.kernels[0])
        await send_many(fleet, 40, 4.0)
        fleet.kernels.pop(0)
        for engine in fleet.engines:
            assert find_fullest_second(engine.arrivals) <= BOUND

    run_cold(scenario, tmp_path)
