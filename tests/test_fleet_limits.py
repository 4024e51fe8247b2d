"""Backend servers that name a limit get no more from all hosts together.

Several entries over loopback sockets; the servers of a plain service name limits.
"""

import asyncio
import itertools
import json

import pytest

from fleets import build_body, run_with_fleet
from jasminewharf import defaults
from jasminewharf.bench.limit_checks import Arrival, find_excess
from support import wait_until

ENTRIES = 6
PER_ENTRY_S = 6.0
CONTACT_S = 3.0
MODEL = (("x-model", "m0"), ("x-token-counts", "100,20"))
PLAY_S = 7.0

_ids = itertools.count()


class Load:
    """Requests to ``/status/`` at a steady rate at each entry of a fleet.

    Attributes:
        answers: Pairs of time and status of the answers.
        told: When each entry passed on answers of each server that named a limit.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.answers = []
        self.told = {}
        self._calls = set()

    async def run(self, duration_s, per_s=PER_ENTRY_S):
        entries = range(len(self._fleet.entries))
        await asyncio.gather(*(self._send(n, duration_s, per_s) for n in entries))
        await asyncio.gather(*self._calls)

    async def _send(self, entry, duration_s, per_s):
        await asyncio.sleep(entry / len(self._fleet.entries) / per_s)
        until = now() + duration_s
        while now() < until:
            call = asyncio.create_task(self._call(entry))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            await asyncio.sleep(1 / per_s)

    async def _call(self, entry):
        request_id = f"e{entry}-{next(_ids)}"
        status, headers, body = await self._fleet.call(
            "/status/1", entry=entry, request_id=request_id
        )
        self.answers.append((now(), status))
        if "server-limit" in headers:
            server = body.decode().partition(":")[0]
            told = self.told.setdefault(server, {})
            told.setdefault(f"e{entry}", []).append(now())


def now():
    return asyncio.get_running_loop().time()


def list_arrivals(replica):
    hosts = [head["x-attempt-id"].partition("-")[0] for head in replica.heads]
    return [Arrival(*pair) for pair in zip(replica.arrivals, hosts, strict=True)]


@pytest.mark.parametrize("limits", [("1.4", "4.6"), ("0.3", "0.3")])
def test_many_entries_keep_to_the_limits_of_slow_servers(tmp_path, limits):
    """Each entry kept to nothing, so that the sum was five times what was allowed."""

    async def scenario(fleet):
        begun = now()
        for desk, limit in zip(fleet.desks, limits, strict=True):
            desk.limit = limit
        load = Load(fleet)
        await load.run(PLAY_S)
        for desk in fleet.desks:
            excess = find_excess(
                list_arrivals(desk),
                [(begun, float(desk.limit))],
                load.told.get(desk.name, {}),
                CONTACT_S,
            )
            assert excess == []
        served = sum(status == 200 for _, status in load.answers)
        allowed = PLAY_S * sum(map(float, limits))
        assert served >= allowed * 2 / 3
        assert {status for _, status in load.answers} <= {200, 503}

    run_with_fleet(scenario, tmp_path, ENTRIES)


def test_server_without_limit_takes_the_work_of_a_limited_one(tmp_path):
    """Half of the requests still went to the server that had named a limit."""

    async def scenario(fleet):
        begun = now()
        fleet.desks[0].limit = "2"
        load = Load(fleet)
        await load.run(PLAY_S)
        told = load.told.get("i-d1", {})
        arrivals = list_arrivals(fleet.desks[0])
        assert find_excess(arrivals, [(begun, 2.0)], told, CONTACT_S) == []
        assert {status for _, status in load.answers} == {200}

    run_with_fleet(scenario, tmp_path, ENTRIES)


def test_server_has_its_part_again_soon_after_its_limit_ends(tmp_path):
    """At a limit of 0 nobody would ask any more, and nobody learn of its end."""

    async def scenario(fleet):
        fleet.desks[0].limit = "0"
        await Load(fleet).run(4.0)
        fleet.desks[0].limit = ""
        ended = now()
        await Load(fleet).run(4.0)
        desk = fleet.desks[0]
        later = sum(at > ended + 2.0 for at in desk.arrivals)
        assert later >= 2.0 * PER_ENTRY_S * ENTRIES / 4
        for kernel in fleet.entry_kernels:
            assert len(kernel.find("directory").directory.limits) == 0

    run_with_fleet(scenario, tmp_path, ENTRIES)


def test_failure_without_the_limit_does_not_end_it(tmp_path):
    """A failing server may leave the header out, and is in need all the more."""

    async def scenario(fleet):
        desk = fleet.desks[0]
        fleet.list.replicas.remove(fleet.desks[1])
        directory = fleet.entry_kernels[0].find("directory").directory
        await wait_until(lambda: "i-d2" not in directory.servers, timeout_s=5)
        desk.limit = "5"
        assert (await fleet.call("/status/1"))[0] == 200
        assert len(directory.limits) == 1
        desk.limit = ""
        desk.fails_next = ["error"]
        status, _, _ = await fleet.call("/orders/1", request_id="id-2")
        assert status == 500
        assert len(directory.limits) == 1
        assert (await fleet.call("/status/1", request_id="id-3"))[0] == 200
        assert len(directory.limits) == 0

    run_with_fleet(scenario, tmp_path)


def test_host_learns_of_a_limit_from_the_others(tmp_path):
    async def scenario(fleet):
        fleet.desks[0].limit = fleet.desks[1].limit = "3"
        calls = [fleet.call("/status/1", request_id=f"r{n}") for n in range(4)]
        await asyncio.gather(*calls)
        for kernel in fleet.entry_kernels:
            table = kernel.find("directory").directory.limits
            await wait_until(lambda t=table: len(t) > 0)

    run_with_fleet(scenario, tmp_path)


def test_engine_with_a_limit_is_a_reason_for_a_copy_elsewhere(tmp_path):
    """Callers of its busy model were refused while the other engines had places."""

    async def scenario(fleet):
        full = fleet.engines[1]
        full.models = {"m0": set(), "m2": set()}
        model = (("x-model", "m1"), ("x-token-counts", "100,20"))
        fleet.engines[0].limit = "1"
        statuses = []

        async def call(entry, number):
            request_id = f"r{number}-{entry}"
            answer = await fleet.call(
                "/chat/x", *model, entry=entry, request_id=request_id
            )
            statuses.append(answer[0])

        async with asyncio.TaskGroup() as group:
            for number in range(40):
                for entry in range(2):
                    group.create_task(call(entry, number))
                await asyncio.sleep(0.125)
        assert "m1" in full.models
        assert statuses.count(200) >= 0.8 * len(statuses)

    run_with_fleet(scenario, tmp_path)


def test_idle_connections_of_all_entries_leave_room_at_a_server(tmp_path):
    """Each entry kept up to 32, as if the server's limit were its own."""

    async def scenario(fleet):
        services = json.loads(build_body())["services"]
        services[1]["maxConns"] = 12
        await fleet.submit(build_body(2, services=services))
        for kernel in fleet.entry_kernels:
            await wait_until(lambda k=kernel: k.find("view").table.version == 2)
        for desk in fleet.desks:
            desk.answer_s = 0.2
        calls = [
            fleet.call("/status/1", entry=entry, request_id=f"r{entry}-{number}")
            for entry in range(ENTRIES)
            for number in range(8)
        ]
        await asyncio.gather(*calls)
        for desk in fleet.desks:
            assert desk.connections <= 12

    run_with_fleet(scenario, tmp_path, ENTRIES)


def test_agent_reads_the_status_of_a_limited_engine_rarely(tmp_path):
    """Five reads a second were more than the engine wanted of all hosts."""

    async def scenario(fleet):
        engine = fleet.engines[0]
        for each in fleet.engines:
            each.limit = "0.5"
        directory = fleet.kernels[-2].find("directory").directory
        agents_view = directory.at_address(engine.address)
        for number in range(8):
            # Which engine answers first is open; each names its limit only then.
            await fleet.call("/chat/x", *MODEL, request_id=f"r{number}")
            if agents_view.limit.is_limited:
                break
        await wait_until(lambda: agents_view.limit.is_limited)
        before = engine.reports
        await asyncio.sleep(4.0)
        assert engine.reports - before <= 2
        status, _, _ = await fleet.call("/chat/x", *MODEL, request_id="r9")
        assert status == 200

    run_with_fleet(scenario, tmp_path)


def test_agent_hears_of_a_limit_named_before_its_last_read(tmp_path, monkeypatch):
    """Its reads name no limit and made the one that a caller's answer named look old.

    The agent went on to read and to order as if there were none.
    """
    # The agent reads the status several times until it is told.
    monkeypatch.setattr(defaults, "LIMIT_SHARE_S", 0.7)

    async def scenario(fleet):
        for each in fleet.engines:
            each.limit = "0.5"
        status, headers, _ = await fleet.call("/chat/x", *MODEL)
        assert (status, headers["server-limit"]) == (200, "0.5")
        (number,) = [n for n, each in enumerate(fleet.engines) if each.runs]
        engine = fleet.engines[number]
        agent = fleet.kernels[-len(fleet.engines) + number]
        view = agent.find("directory").directory.at_address(engine.address)
        await wait_until(lambda: view.limit.is_limited, 3.0)
        before = engine.reports
        await asyncio.sleep(4.0)
        assert engine.reports - before <= 2

    run_with_fleet(scenario, tmp_path)
