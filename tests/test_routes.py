"""Route lookup and weighted service selection."""

from collections import Counter

import pytest

from fleetparts import build_configuration, build_route
from jasminewharf.decisions.configurations import ServiceWeight
from jasminewharf.decisions.routes import RouteTable


def build_table(*routes):
    return RouteTable(build_configuration(routes=routes))


def test_longest_prefix_wins():
    table = build_table(
        build_route("short", prefix="/a/"), build_route("long", prefix="/a/b/")
    )
    assert table.find_route("a.example", "/a/b/c").name == "long"
    assert table.find_route("a.example", "/a/bc").name == "short"
    assert table.find_route("a.example", "/b/") is None


def test_prefix_matches_whole_segments_only():
    """The path ``/ab`` must not match the prefix ``/a/``."""
    table = build_table(build_route(prefix="/a/"))
    assert table.find_route("a.example", "/ab/c") is None
    assert table.find_route("a.example", "/a") is None


def test_host_decides_and_its_port_does_not():
    table = build_table(build_route(prefix="/a/"))
    assert table.find_route("A.example:8080", "/a/x") is not None
    assert table.find_route("b.example", "/a/x") is None


def test_split_follows_the_weights_and_is_stable():
    """Repeated lookups of a request must return the same service."""
    services = (ServiceWeight("llm", 90), ServiceWeight("desk", 10))
    table = build_table(build_route(services=services))
    route = table.find_route("a.example", "/chat/x")
    chosen = Counter(table.split(route, f"id-{n}").name for n in range(2_000))
    assert 0.06 < chosen["desk"] / 2_000 < 0.14
    assert table.split(route, "id-1") == table.split(route, "id-1")


@pytest.mark.parametrize("unit", [5e-324, 1e-300, 1.0, 1e300, 1.7e308 / 3])
def test_split_follows_weights_of_any_size(unit):
    """A sum beyond a float gave all to the last service, tiny weights wrong shares."""
    services = (ServiceWeight("llm", 3 * unit), ServiceWeight("desk", unit))
    table = build_table(build_route(services=services))
    route = table.find_route("a.example", "/chat/x")
    chosen = Counter(table.split(route, f"id-{n}").name for n in range(2_000))
    assert 0.22 < chosen["desk"] / 2_000 < 0.28


def test_service_of_weight_zero_gets_nothing():
    services = (ServiceWeight("llm", 0), ServiceWeight("desk", 1))
    table = build_table(build_route(services=services))
    route = table.find_route("a.example", "/chat/x")
    assert {table.split(route, f"id-{n}").name for n in range(200)} == {"desk"}


def test_key_names_its_workspace():
    table = RouteTable(build_configuration())
    assert table.find_workspace("key-1").name == "guild"
    assert table.find_workspace("") is None
