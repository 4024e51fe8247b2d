"""Homes: requests that are confined to the servers of some regions."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from fleetparts import (
    build_engine,
    build_listed,
    build_report,
    build_route,
    build_workspace,
)
from fleets import Fleet, build_body, open_fleet
from jasminewharf.decisions.configurations import ServiceSpec
from jasminewharf.decisions.directory import Directory
from jasminewharf.decisions.homes import RegionMap, find_homes
from jasminewharf.decisions.urgency import WaitingRequest
from jasminewharf.dialects.fleet import HeldModel
from jasminewharf.metrics import Metrics
from jasminewharf.platform.configurations import read_configuration
from jasminewharf.services.demand import DemandService, _Waiter
from platformfakes import FakeReplica

REGIONS = {"zone-a": "north", "zone-b": "south"}


@pytest.mark.parametrize(
    ("of_route", "of_workspace", "homes"),
    [
        ((), (), None),
        (("north",), (), {"north"}),
        ((), ("north", "south"), {"north", "south"}),
        (("north", "east"), ("east", "south"), {"east"}),
        (("north",), ("south",), set()),
    ],
)
def test_homes_of_route_and_workspace_both_apply(of_route, of_workspace, homes):
    """A request ran in a region that its workspace or its route does not allow."""
    workspace = build_workspace()._replace(homes=of_workspace)
    assert find_homes(build_route(homes=of_route), workspace) == homes
    no_workspace = find_homes(build_route(homes=of_route), None)
    assert no_workspace == (set(of_route) or None)


@pytest.mark.parametrize(
    ("regions", "own", "zone", "is_home"),
    [
        (REGIONS, "north", "zone-b", True),
        (REGIONS, "south", "zone-a", False),
        # A zone that the settings do not name may be anywhere.
        (REGIONS, "south", "zone-c", False),
        (REGIONS, "south", "", False),
        ({}, "south", "zone-c", True),
        ({}, "north", "zone-b", False),
        ({}, "", "zone-b", False),
    ],
)
def test_region_of_a_zone(regions, own, zone, is_home):
    """A zone of an unknown region must not pass for a home."""
    known = RegionMap(regions, own)
    assert known.is_home(frozenset({"south"}), zone) == is_home
    assert known.is_home(None, zone)
    assert not known.is_home(frozenset(), zone)


def test_service_without_a_server_at_home_is_told_from_others():
    """A request waited for a server that no list would ever name."""
    directory = Directory()
    directory.regions = RegionMap(REGIONS, "north")
    listed = build_listed(zone="zone-a")
    directory.take_list([listed], 0.0)
    service = ServiceSpec(listed.service, 0, None)
    for homes, obstacle, count in (
        (None, "", 1),
        (frozenset({"north"}), "", 1),
        (frozenset({"south"}), "homes", 0),
    ):
        used = service._replace(homes=homes)
        assert directory.find_obstacle(used) == obstacle
        assert len(directory.in_homes(used)) == count


def test_request_waits_for_a_copy_at_home():
    """A request was woken for a copy elsewhere, over and over."""

    async def main():
        loop = asyncio.get_running_loop()
        directory = Directory()
        directory.regions = RegionMap(REGIONS, "north")
        listed = [
            build_listed("i-1", "10.0.0.1:80", zone="zone-a"),
            build_listed("i-2", "10.0.0.2:80", zone="zone-b"),
        ]
        directory.take_list(listed, loop.time())
        held = (HeldModel("m0", 1, ()),)
        directory.take_report(build_report("10.0.0.1:80", held), loop.time())
        service = ServiceSpec(listed[0].service, 8, build_engine())
        offered = SimpleNamespace(services={service.name: service})
        services = {
            "directory": SimpleNamespace(
                directory=directory, send_to_agent=lambda server, message: True
            ),
            "process": SimpleNamespace(metrics=Metrics()),
            "view": SimpleNamespace(table=offered),
        }
        demand = DemandService(SimpleNamespace(find=services.__getitem__))
        wait = WaitingRequest(loop.time(), 0.5, loop.time() + 2.0)
        waiters = [
            _Waiter(service._replace(homes=homes), "m0", wait, loop.create_future())
            for homes in (None, frozenset({"south"}))
        ]
        demand._waiters.extend(waiters)
        demand.review()
        assert [waiter.ready.done() for waiter in waiters] == [True, False]
        directory.take_report(build_report("10.0.0.2:80", held), loop.time())
        demand.review()
        assert waiters[1].ready.done()

    asyncio.run(main())


def test_configuration_names_homes():
    body = json.loads(build_body())
    body["routes"][0]["allowedRegions"] = ["north"]
    body["tenants"][0]["allowedRegions"] = ["south", "north"]
    read = read_configuration(json.dumps(body).encode())
    assert [route.homes for route in read.routes[:2]] == [("north",), ()]
    assert read.workspaces[0].homes == ("south", "north")


class RegionFleet(Fleet):
    """A fleet whose zones a and b are in two regions."""

    def settings_text(self, ip, role, **fleet):
        text = super().settings_text(ip, role, **fleet)
        return f"{text}\n  regions: {{zone-a: north, zone-b: south}}"


def test_requests_run_at_home_only(tmp_path, monkeypatch):
    """A body left its homes, or a model was loaded where its callers may not go."""
    body = json.loads(build_body())
    homes = {"chat": ["south"], "status": ["south"], "orders": ["east"]}
    for route in body["routes"]:
        route["allowedRegions"] = homes.get(route["name"], [])
    engines = [
        FakeReplica("127.0.0.1", "i-e1", "llm", ["m0", "m1"]),
        FakeReplica("127.0.0.1", "i-e2", "llm", ["m0"]),
    ]
    desks = [FakeReplica("127.0.0.1", f"i-d{n}", "desk") for n in (1, 2)]
    engines[0].on_disk = {"m2"}
    engines[1].zone = desks[1].zone = "zone-b"
    parts = {"engines": engines, "desks": desks, "body": json.dumps(body).encode()}

    async def main():
        async with open_fleet(tmp_path, **parts) as fleet:
            for number in range(12):
                answer = await fleet.call("/status/1", request_id=f"s-{number}")
                assert answer[0] == 200
            model = (("x-model", "m1"), ("x-token-counts", "100,20"))
            status, _, answer = await fleet.call("/chat/1", *model)
            assert (status, b"x8" in answer) == (200, True)
            assert (desks[0].arrivals, engines[0].arrivals) == ([], [])
            # The copy on the disk of the other engine would be there sooner.
            rare = (("x-model", "m2"), ("x-token-counts", "100,20"))
            assert (await fleet.call("/chat/1", *rare, request_id="c-2"))[0] == 200
            assert engines[0].orders == []
            loads = [o["model"] for o in engines[1].orders if o["op"] == "load"]
            assert loads == ["m1", "m2"]
            status, _, answer = await fleet.call("/orders/1", request_id="o-1")
            error = json.loads(answer)["error"]
            assert (status, error["type"]) == (503, "homes_unavailable")
            assert error["not_run"]
            assert len(desks[1].arrivals) == 12

    monkeypatch.setattr("fleets.Fleet", RegionFleet)
    asyncio.run(main())
