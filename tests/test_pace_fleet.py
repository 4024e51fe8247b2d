"""Requests go to backend servers by their pace; a fleet over loopback sockets."""

import json

import pytest

from fleets import run_with_fleet
from jasminewharf.interfaces.tool_where import WhereCommand, render_preview
from jasminewharf.services.client import HttpClient
from support import wait_until


def directory_of(fleet):
    return fleet.entry_kernels[0].find("directory").directory


def read_metrics(fleet):
    return fleet.entry_kernels[0].find("process").metrics


@pytest.mark.parametrize("told", [True, False])
def test_plain_requests_go_to_the_faster_server_once_paces_are_told(tmp_path, told):
    """With a fourth value, every load was thrown away, and the pace was unknown.

    Without one, the servers are used as before.
    """

    async def scenario(fleet):
        fast, slow = fleet.desks
        slow.answer_s = 0.02
        if told:
            fast.load, slow.load = "0,0,8,60", "0,0,8,300,7"
        for number in range(60):
            status, _, _ = await fleet.call("/status/1", request_id=f"r{number}")
            assert status == 200
        share = len(fast.runs) / 60
        assert share > 0.75 if told else 0.2 < share < 0.8
        assert directory_of(fleet).service_pace("desk").is_active is told

    run_with_fleet(scenario, tmp_path)


def test_entry_learns_paces_of_engines_from_their_agents(tmp_path):
    """An entry asks each engine too rarely to know its pace from its own answers."""

    async def scenario(fleet):
        fleet.engines[0].load = "0,0,8,200"
        paces = [directory_of(fleet).servers[n].pace for n in ("i-e1", "i-e2")]
        await wait_until(
            lambda: paces[0].is_active and paces[0].usual_factor(1e9) > 1.6
        )
        assert paces[1].usual_factor(1e9) == 1.0
        gauges = read_metrics(fleet)
        await wait_until(lambda: "backend_pace{" in gauges.render())
        assert gauges.read_gauge("backend_pace", server="i-e1") > 1.6

    run_with_fleet(scenario, tmp_path)


def test_server_that_is_new_gets_few_requests_at_first(tmp_path):
    """Every entry would find it empty, and send it all of its requests."""

    async def scenario(fleet):
        fresh = fleet.desks[1]
        fleet.list.replicas.remove(fresh)
        for desk in fleet.desks:
            desk.load = "0,0,8,100"
        await wait_until(lambda: "i-d2" not in directory_of(fleet).servers)
        await fleet.call("/status/1", request_id="a")
        fleet.list.replicas.append(fresh)
        await wait_until(lambda: "i-d2" in directory_of(fleet).servers)
        await fleet.call("/status/1", request_id="b")
        pace = directory_of(fleet).servers["i-d2"].pace
        kinds = read_metrics(fleet)
        await wait_until(
            lambda: kinds.counter_value("pace_changes_total", kind="restarted") == 1
        )
        await wait_until(
            lambda: kinds.counter_value("pace_changes_total", kind="full") == 1
        )
        assert pace.window(1e9) == 1.0

    run_with_fleet(scenario, tmp_path)


async def ask_where(fleet, query):
    address = fleet.entry_kernels[0].settings.fleet.metrics_listen
    client = HttpClient(address)
    answer = await client.fetch_answer("GET", f"/where?{query}")
    client.close()
    return answer


def test_entry_tells_where_a_request_would_go(tmp_path, capsys):
    """An operator has to see why a request went somewhere without sending one."""

    async def scenario(fleet):
        address = fleet.entry_kernels[0].settings.fleet.metrics_listen
        command = WhereCommand(
            entry=address,
            host="a.example",
            path="/chat/x",
            model="m1",
            workspace="guild",
            tokens=50,
            output="json",
        )
        await command._run_shown()
        preview = json.loads(capsys.readouterr().out)
        assert preview["choice"] == {"i-e1": 1.0}
        assert preview["refusals"] == []
        assert preview["route"]["name"] == "chat"
        assert preview["workspace"]["cost"] == 50
        excluded = {row["name"]: row["excluded"] for row in preview["servers"]}
        assert excluded == {"i-e1": "", "i-e2": "does not hold the model"}
        assert "goes to i-e1" in render_preview(preview)
        for query, expected in (
            ("host=a.example&path=/chat/x&model=m3&workspace=guild", ""),
            ("host=a.example&path=/chat/x&model=m1", "workspace"),
            ("host=a.example&path=/chat/x&model=no&workspace=guild", "no engine"),
            ("host=b.example&path=/chat/x", "no such route"),
            ("host=a.example&path=/orders/x&workspace=guild", ""),
        ):
            preview = json.loads((await ask_where(fleet, query)).body)
            assert expected in "".join(preview["refusals"])
            assert bool(expected) is bool(preview["refusals"])
        assert (await ask_where(fleet, "tokens=many")).status == 400
        assert (await ask_where(fleet, "key=value")).status == 400
        assert not any(replica.runs for replica in (*fleet.engines, *fleet.desks))

    run_with_fleet(scenario, tmp_path)
