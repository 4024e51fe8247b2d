"""Evacuations between operators, control hosts, entries, agents and servers."""

import asyncio
import json

import pytest

from controlfleet import ControlFleet
from fleets import HOST, pick_base, run_with_fleet
from jasminewharf.exceptions import BackendError, LinkTimeout
from jasminewharf.interfaces.tool import main
from platformfakes import FakeReplica, send
from support import wait_until

_MODEL = ("x-model", "m1")
_TOKENS = ("x-token-counts", "100,20")


async def order(address, verb, zone="zone-b"):
    """Send an operator's call; return its status and answer."""
    answer = await send(address, "POST", f"/Evacuations.{verb}/{zone}", [HOST])
    return answer[0], answer[2]


async def order_until_accepted(address, verb, zone="zone-b"):
    async with asyncio.timeout(10):
        while (answer := await order(address, verb, zone))[0] == 503:
            await asyncio.sleep(0.02)
    return answer


async def put_in_force(fleet, verb, zones, address=""):
    for zone in zones:
        answer = await order_until_accepted(address or fleet.operator, verb, zone)
        assert answer[0] == 200
    kernels = [kernel for kernel in fleet.kernels if kernel.settings.role != "control"]
    for kernel in kernels:
        directory = kernel.find("directory").directory
        if verb == "Start":
            await wait_until(lambda d=directory: d.evacuated.issuperset(zones))
        else:
            await wait_until(lambda d=directory: d.evacuated.isdisjoint(zones))


def build_desks():
    desks = [FakeReplica("127.0.0.1", f"i-d{n}", "desk") for n in (1, 2)]
    desks[1].zone = "zone-b"
    return desks


def build_engines():
    engines = [
        FakeReplica("127.0.0.1", "i-e1", "llm", ["m0"]),
        FakeReplica("127.0.0.1", "i-e2", "llm", ["m0", "m1"]),
    ]
    engines[1].zone = "zone-b"
    return engines


def test_server_of_an_evacuated_zone_gets_no_request(tmp_path):
    """A request was sent to a zone that was about to lose its power."""

    async def scenario(fleet):
        left, evacuated = fleet.desks
        evacuated.answer_s = 0.4
        calls = [fleet.call("/status/1", request_id=f"a-{n}") for n in range(12)]
        running = [asyncio.create_task(call) for call in calls]
        await wait_until(lambda: evacuated.arrivals)
        await put_in_force(fleet, "Start", ["zone-b"])
        arrived = len(evacuated.arrivals)
        for number in range(20):
            entry = number % 2
            answer = await fleet.call("/status/1", entry=entry, request_id=f"b-{entry}")
            assert answer[0] == 200
        assert len(evacuated.arrivals) == arrived
        assert {(await task)[0] for task in running} == {200}
        assert len(evacuated.runs) == arrived
        await put_in_force(fleet, "Stop", ["zone-b"])
        left.state = "draining"
        for kernel in fleet.entry_kernels:
            servers = kernel.find("directory").directory.servers
            await wait_until(lambda s=servers: s["i-d1"].is_leaving)
        assert (await fleet.call("/status/1"))[0] == 200
        assert len(evacuated.runs) > arrived

    run_with_fleet(scenario, tmp_path, desks=build_desks())


def test_model_that_is_only_held_in_an_evacuated_zone_is_loaded_elsewhere(tmp_path):
    """Callers waited for a copy that they could not be sent to."""

    async def scenario(fleet):
        left, evacuated = fleet.engines
        await put_in_force(fleet, "Start", ["zone-b"])
        status, _, body = await fleet.call("/chat/1", _MODEL, _TOKENS)
        assert (status, b"x8" in body) == (200, True)
        assert [item["model"] for item in left.orders] == ["m1"]
        left.fails_next = ["break"]
        # The only other engine that holds the model is in the zone.
        caller = fleet.call("/chat/1", ("x-model", "m0"), _TOKENS, request_id="id-2")
        with pytest.raises(BackendError):
            await caller
        assert (evacuated.runs, evacuated.orders) == ([], [])
        assert evacuated.reports

    run_with_fleet(scenario, tmp_path, engines=build_engines())


def test_request_is_refused_at_once_where_no_server_is_left(tmp_path):
    """A caller was held until its deadline for a server that was not to come."""

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.load_s = 3.0
        waiting = asyncio.create_task(
            fleet.call("/chat/1", ("x-model", "m3"), _TOKENS, request_id="id-2")
        )
        await wait_until(lambda: any(engine.orders for engine in fleet.engines))
        began_at = _now()
        await put_in_force(fleet, "Start", ["zone-a", "zone-b"])
        for target in ("/status/1", "/orders/1", "/chat/1"):
            status, _, body = await fleet.call(target, _MODEL, _TOKENS)
            assert status == 503
            assert json.loads(body)["error"]["type"] == "servers_evacuated"
            assert json.loads(body)["error"]["not_run"]
        assert b"servers_evacuated" in (await waiting)[2]
        assert _now() - began_at < 2.0
        assert not any(server.runs for server in (*fleet.engines, *fleet.desks))

    run_with_fleet(scenario, tmp_path, desks=build_desks(), engines=build_engines())


def test_request_is_not_written_to_a_server_evacuated_while_it_connects(tmp_path):
    """A request that was chosen for a server before was sent to it after."""

    async def scenario(fleet):
        kernel = fleet.entry_kernels[0]
        directory = kernel.find("directory").directory
        upstream = kernel.find("upstream")
        open_before = upstream.open
        chosen = []

        async def open_late(server, *arguments, **options):
            if not chosen:
                chosen.append(server.name)
                directory.set_evacuated(frozenset({server.listed.zone}))
            return await open_before(server, *arguments, **options)

        upstream.open = open_late
        # An order may be sent to another server only if it was not sent at all.
        assert (await fleet.call("/orders/1"))[0] == 200
        by_name = {desk.name: desk for desk in fleet.desks}
        assert by_name[chosen[0]].arrivals == []
        assert fleet.runs("id-1") == 1

    run_with_fleet(scenario, tmp_path, desks=build_desks())


def test_agent_of_an_evacuated_zone_gives_no_order(tmp_path):
    """An engine was told to load a model for callers who were not to be sent there."""

    async def scenario(fleet):
        evacuated = fleet.engines[1]
        agents = [k for k in fleet.kernels if k.settings.role == "agent"]
        manager = agents[1].find("engine")
        await put_in_force(fleet, "Start", ["zone-b"])
        asked = []
        choose_before = manager._residency.choose

        def choose(*arguments):
            asked.append(arguments)
            return choose_before(*arguments)

        manager._residency.choose = choose
        # An entry that has not heard of the evacuation asks for a model.
        manager._residency.note_demand("entry", "m3", 1, 1.0, _now())
        manager._wake.set()
        reports = evacuated.reports
        await wait_until(lambda: evacuated.reports > reports + 2)
        assert (evacuated.orders, asked) == ([], [])

    run_with_fleet(scenario, tmp_path, engines=build_engines())


def test_unknown_zone_is_refused_only_once_all_zones_are_known(tmp_path):
    """A call for a zone that a new host had not heard of yet was refused for good."""

    async def scenario(fleet):
        status, body = await order(fleet.operator, "Start", "zone-x")
        assert status == 503
        status, body = await order_until_accepted(fleet.operator, "Start", "zone-x")
        assert status == 400
        assert "zone-a, zone-b" in json.loads(body)["error"]
        control = fleet.kernels[0]
        state = control.find("fleet").state
        assert state.evacuations.list_states() == []
        reader = control.find("server-list")
        reader._is_reader = lambda: False
        await wait_until(lambda: not reader.is_current)
        assert (await order(fleet.operator, "Start", "zone-x"))[0] == 503
        assert (await order(fleet.operator, "Start", "zone-b"))[0] == 200

    run_with_fleet(scenario, tmp_path, desks=build_desks())


def test_tool_evacuates_zones_of_a_found_fleet(tmp_path, capsys):
    """Operators without access to the HTTP calls had no way to evacuate a zone."""

    async def scenario(fleet):
        host = f'name: "127.0.0.2", address: "127.0.0.2:{fleet.base}"'
        path = tmp_path / "tool.yaml"
        path.write_text(
            f'control: [{{{host}, peer_address: "127.0.0.2:{fleet.base + 1}"}}]'
        )

        async def run(*words):
            arguments = ["evacuate", *words, "--settings", str(path)]
            await asyncio.to_thread(main, arguments)
            return capsys.readouterr().out.split()

        assert await run("start", "zone-b") == ["zone-b:", "evacuated"]
        assert (await run("list"))[3:5] == ["zone-b", "evacuated"]
        assert (await run("stop", "zone-b"))[1:] == ["in", "use"]
        assert (await run("list"))[3:6] == ["zone-b", "in", "use"]

    run_with_fleet(scenario, tmp_path, desks=build_desks())


def test_call_whose_operator_has_given_up_is_not_carried_out(tmp_path):
    """A call that lay at a stopped process took effect after later ones."""

    async def scenario(fleet):
        state = fleet.kernels[0].find("fleet").state
        ip, port = fleet.operator.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(
            b"POST /Evacuations.Start/zone-a HTTP/1.1\r\nhost: a\r\n"
            b"content-length: 0\r\n\r\n"
        )
        writer.write_eof()
        assert b" 503 " in await reader.readline()
        writer.close()
        assert state.evacuations.list_states() == []

    run_with_fleet(scenario, tmp_path)


def run_with_controls(scenario, tmp_path):
    async def play():
        fleet = ControlFleet(pick_base(), tmp_path)
        fleet.desks = build_desks()
        try:
            await fleet.start()
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(play())


async def call_often(fleet):
    """Send requests to all entries; return how many the evacuated server got."""
    evacuated = fleet.desks[1]
    arrived = len(evacuated.arrivals)
    for number in range(16):
        answer = await fleet.call(
            "/status/1", entry=number % len(fleet.entries), request_id=f"c-{number}"
        )
        assert answer[0] == 200
    return len(evacuated.arrivals) - arrived


def test_repeat_at_another_host_gets_the_same_answer(tmp_path):
    """An acknowledgement was lost, and the repeated call was refused."""

    async def scenario(fleet):
        await put_in_force(fleet, "Start", ["zone-b"], fleet.operators[0])
        answers = {await order(address, "Start") for address in fleet.operators}
        body = b'{"zone": "zone-b", "is_evacuated": true}'
        assert answers == {(200, body)}
        assert await call_often(fleet) == 0

    run_with_controls(scenario, tmp_path)


def test_delayed_call_is_overtaken_by_a_later_one(tmp_path):
    """A call that its host held back evacuated the zone after its use had resumed."""

    async def scenario(fleet):
        await put_in_force(fleet, "Start", ["zone-b"], fleet.operators[0])
        delayed, other = fleet.operators[:2]
        service = fleet.controls[delayed].find("evacuations")
        commit_before = service._commit
        released = asyncio.Event()
        held = asyncio.Event()

        async def commit_late(call, received_at):
            held.set()
            await released.wait()
            return await commit_before(call, received_at)

        service._commit = commit_late
        call = asyncio.create_task(order(delayed, "Start"))
        await held.wait()
        await put_in_force(fleet, "Stop", ["zone-b"], other)
        released.set()
        assert (await call)[0] == 503
        for kernel in fleet.controls.values():
            await kernel.find("log").read_barrier("fleet")
            assert kernel.find("fleet").state.evacuations.evacuated == frozenset()

    run_with_controls(scenario, tmp_path)


def test_call_is_acknowledged_although_the_leader_changes(tmp_path):
    """A call that met an election was refused, or acknowledged and lost."""

    async def scenario(fleet):
        for verb in ("Start", "Stop", "Start"):
            leader = fleet.find_leader()
            other = next(a for a in fleet.operators if a != leader)
            call = asyncio.create_task(order_until_accepted(other, verb))
            await fleet.controls[leader].find("log").drain()
            status, _ = await call
            assert status == 200
            await put_in_force(fleet, verb, ["zone-b"], other)
            await wait_until(fleet.find_leader)
        assert await call_often(fleet) == 0

    run_with_controls(scenario, tmp_path)


def test_call_whose_commit_was_not_heard_of_is_acknowledged(tmp_path):
    """The leader's answer was lost, and the call was refused as overtaken by itself."""

    async def scenario(fleet):
        await order_until_accepted(fleet.operators[0], "Stop")
        leader = fleet.find_leader()
        other = next(a for a in fleet.operators if a != leader)
        controllers = fleet.controls[other].find("controllers")
        request_before = controllers.request
        lost = []

        async def lose_first(*arguments):
            answer = await request_before(*arguments)
            if not lost:
                lost.append(answer)
                raise LinkTimeout("no answer")
            return answer

        controllers.request = lose_first
        assert (await order(other, "Start"))[0] == 200
        assert len(lost) == 1

    run_with_controls(scenario, tmp_path)


def test_evacuation_survives_the_restart_of_all_hosts(tmp_path):
    """Control hosts forgot an evacuation, or a new entry sent before it knew of it."""

    async def scenario(fleet):
        await put_in_force(fleet, "Start", ["zone-b"], fleet.operators[0])
        for kernel in fleet.kernels:
            await kernel.stop()
        for address in fleet.operators:
            await fleet.controls.pop(address).stop()
        for address in fleet.operators:
            await fleet.add_control(address)
        fleet.kernels = []
        for ip in fleet.entry_ips:
            await fleet.add(ip, "entry", ready_listen=f"{ip}:{fleet.base + 7}")
        evacuated = fleet.desks[1]
        arrived = len(evacuated.arrivals)
        for entry in range(len(fleet.entries)):
            async with asyncio.timeout(10):
                while (await fleet.call("/status/1", entry=entry))[0] != 200:
                    await asyncio.sleep(0.01)
        await call_often(fleet)
        assert len(evacuated.arrivals) == arrived
        assert (await order_until_accepted(fleet.operators[1], "Stop"))[0] == 200

    run_with_controls(scenario, tmp_path)


def test_host_without_a_quorum_accepts_nothing(tmp_path):
    """A host that was cut off acknowledged what no other host held."""

    async def scenario(fleet):
        leader = fleet.find_leader()
        behind = next(a for a in fleet.operators if a != leader)
        fleet.isolate(behind)
        service = fleet.controls[behind].find("evacuations")
        await wait_until(lambda: not fleet.controls[behind].find("log").leader("fleet"))
        assert (await order(behind, "Start"))[0] == 503
        assert service._table.list_states() == []

    run_with_controls(scenario, tmp_path)


def _now():
    return asyncio.get_running_loop().time()
