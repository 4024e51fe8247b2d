"""Routes and keys are told apart exactly if requests can tell them apart."""

import pytest

from fleetparts import build_configuration, build_route, build_workspace
from jasminewharf.decisions.configurations import check_configuration
from jasminewharf.decisions.routes import RouteTable
from jasminewharf.exceptions import ConfigurationRefused

SAME_HOSTS = [
    ("a.example", "A.Example"),
    ("a.example", "a.example."),
    ("a.example", "a.example:"),
    ("a.example", "a.example:80"),
    ("a.example", "A.EXAMPLE.:0080"),
    ("a.example", " a.example\t"),
    ("a.example:8080", "A.example.:8080"),
    ("[2001:db8::1]", "[2001:DB8::1]:80"),
    ("[2001:db8::1]:8080", "[2001:DB8::1]:8080"),
    ("127.0.0.1", "127.0.0.1:80"),
]
OTHER_HOSTS = [
    ("a.example", "b.example"),
    ("a.example", "a.example:8080"),
    ("a.example:8080", "a.example:8081"),
    ("a.example", "a.example.."),
    ("[2001:db8::1]", "[2001:db8::2]"),
    ("[2001:db8::1]", "[2001:db8::1]:8080"),
]


def build_pair(host, other):
    """Return two routes at one prefix, and a third one."""
    routes = (
        build_route("first", host=host, prefix="/a/"),
        build_route("second", host=other, prefix="/a/"),
        build_route("third", host="c.example", prefix="/a/"),
    )
    return build_configuration(routes=routes)


@pytest.mark.parametrize(("host", "other"), SAME_HOSTS)
def test_routes_of_one_host_in_two_spellings_are_refused(host, other):
    """Both were acknowledged, and the order in the body chose which one served."""
    with pytest.raises(ConfigurationRefused, match=r"two routes at .*first and second"):
        check_configuration(build_pair(host, other))


@pytest.mark.parametrize(("host", "other"), SAME_HOSTS)
def test_route_is_found_in_each_spelling_of_its_host(host, other):
    """A route of a host with a port, dot or brackets was acknowledged, never found."""
    for spelling, asked in ((host, other), (other, host)):
        table = RouteTable(build_pair(spelling, "b.example"))
        assert table.find_route(asked, "/a/x").name == "first"


@pytest.mark.parametrize(("host", "other"), OTHER_HOSTS)
def test_routes_of_two_hosts_are_accepted_and_both_found(host, other):
    """A check that takes two hosts for one would refuse a valid configuration."""
    configuration = build_pair(host, other)
    check_configuration(configuration)
    table = RouteTable(configuration)
    assert table.find_route(host, "/a/x").name == "first"
    assert table.find_route(other, "/a/x").name == "second"


def test_longest_prefix_wins_over_the_port():
    """A route with a port must not hide a longer prefix of the same host."""
    table = RouteTable(
        build_configuration(
            routes=(
                build_route("port", host="a.example:8080", prefix="/a/"),
                build_route("long", host="a.example", prefix="/a/b/"),
                build_route("short", host="a.example", prefix="/a/"),
            )
        )
    )
    assert table.find_route("a.example:8080", "/a/b/x").name == "long"
    assert table.find_route("a.example:8080", "/a/x").name == "port"
    assert table.find_route("a.example:9090", "/a/x").name == "short"


@pytest.mark.parametrize("host", ["a.example\x00", "a\r\nb.example", "a.example\n"])
def test_host_that_no_header_can_hold_is_refused(host):
    """Its route was acknowledged, and no request could reach it."""
    with pytest.raises(ConfigurationRefused, match=r"route first: .* the host"):
        check_configuration(build_pair(host, "b.example"))


@pytest.mark.parametrize(
    "prefix",
    ["", "a/", "/a", "a", "/a/?x/", "?/", "/a b/", "/\u00e4/", "/a/\x00/", "/a\n/"],
)
def test_prefix_that_no_request_can_have_is_refused(prefix):
    """Its route was acknowledged and answered 404 for ever."""
    routes = (build_route("first", prefix=prefix),)
    with pytest.raises(ConfigurationRefused, match=r"route first: the prefix"):
        check_configuration(build_configuration(routes=routes))


@pytest.mark.parametrize(
    "prefix",
    [
        *("/", "/a/", "//", "/a//", "//a/", "/a/../b/", "/a#/", "/a;x=1/", "/A/"),
        *("/%61/", "/a%2Fb/", "/a%2fb/", "/%C3%A4/"),
    ],
)
def test_prefix_is_matched_as_it_is_spelled(prefix):
    """A path is forwarded unchanged, so that another spelling is another path."""
    other = build_route("second", prefix="/a/" if prefix != "/a/" else "/b/")
    routes = (build_route("first", prefix=prefix), other)
    configuration = build_configuration(routes=routes)
    check_configuration(configuration)
    table = RouteTable(configuration)
    assert table.find_route("a.example", prefix).name == "first"
    assert table.find_route("a.example", f"{prefix}x").name == "first"
    assert table.find_route("a.example", f"{other.prefix}x").name == "second"


@pytest.mark.parametrize(
    ("own", "other"),
    [
        (build_workspace("a", ["k1"]), build_workspace("b", ["k1 "])),
        (build_workspace("a", ["k1"]), build_workspace("b", ["k0", "\tk1"])),
        (build_workspace("a", ["\u00e9"]), build_workspace("b", [" \u00e9"])),
        (build_workspace("a", ["k1"], rate=1.0), build_workspace("a", ["k1"])),
    ],
)
def test_workspaces_that_requests_cannot_tell_apart_are_refused(own, other):
    """Both were acknowledged, and one of them got the other's requests."""
    with pytest.raises(
        ConfigurationRefused, match=r"workspaces a and [ab] share a key"
    ):
        check_configuration(build_configuration(workspaces=(own, other)))


@pytest.mark.parametrize(
    ("key", "asked"), [("k1", "k1"), (" k1\t", "k1"), ("\u00e9", "\u00e9"), ("K", "K")]
)
def test_key_is_found_as_a_header_holds_it(key, asked):
    """HTTP drops white space around a key, which was refused with 401 for ever."""
    workspaces = (build_workspace("a", [key, key]), build_workspace("b", ["k2", "k"]))
    configuration = build_configuration(workspaces=workspaces)
    check_configuration(configuration)
    table = RouteTable(configuration)
    assert table.find_workspace(asked).name == "a"
    assert table.find_workspace("k").name == "b"


@pytest.mark.parametrize("key", ["", " ", "\t "])
def test_request_without_a_key_is_nobodys(key):
    """It was taken for the workspace with the empty key."""
    configuration = build_configuration(workspaces=(build_workspace("a", [key, "k1"]),))
    check_configuration(configuration)
    table = RouteTable(configuration)
    assert table.find_workspace("") is None
    assert table.find_workspace("k1").name == "a"
