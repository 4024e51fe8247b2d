"""Full configurations: validation, and which version is active."""

import asyncio
import json
import zlib
from types import SimpleNamespace

import pytest

from fleetparts import (
    build_configuration,
    build_route,
    build_workspace,
)
from fleets import build_body
from jasminewharf.decisions.configurations import (
    ServiceWeight,
    check_configuration,
)
from jasminewharf.decisions.fleet import FleetState
from jasminewharf.exceptions import ConfigurationRefused
from jasminewharf.messages import decode, encode
from jasminewharf.messages.commands import ReplaceConfiguration
from jasminewharf.services.configurations import ConfigurationService


def put(state, index, version, body=b"x"):
    return state.apply_message(index, ReplaceConfiguration(version, "highest", body))


def test_valid_configuration_is_accepted():
    check_configuration(build_configuration())


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        (
            {"routes": (build_route(services=(ServiceWeight("gone", 1.0),)),)},
            "no service",
        ),
        ({"routes": (build_route(), build_route())}, "two routes"),
        (
            {"routes": (build_route(services=(ServiceWeight("llm", 0.0),)),)},
            "add up to 0",
        ),
        ({"routes": (build_route(timeout_s=0.0),)}, "timeout"),
        ({"version": 1 << 64}, "64 bits"),
        ({"version": -(1 << 63) - 1}, "64 bits"),
        (
            {"workspaces": (build_workspace("a"), build_workspace("b"))},
            "share a key",
        ),
    ],
)
def test_invalid_configuration_is_refused(changes, reason):
    """An active invalid configuration would fail its requests."""
    with pytest.raises(ConfigurationRefused, match=reason):
        check_configuration(build_configuration(**changes))


def test_highest_version_wins_in_any_order():
    """An older change that arrives late must not bring the old routes back."""
    state = FleetState()
    put(state, 1, 7, b"seven")
    result = put(state, 2, 5, b"five")
    assert result.error == ""
    assert (state.configuration.version, state.configuration.body) == (7, b"seven")


def test_equal_version_changes_nothing():
    """Concurrent submissions of one version must leave all hosts with one content."""
    state = FleetState()
    put(state, 1, 7, b"first")
    assert put(state, 2, 7, b"second").error == ""
    assert state.configuration.body == b"first"


@pytest.mark.parametrize("version", [0, -7, -(1 << 63), (1 << 64) - 1])
def test_first_configuration_takes_effect_whatever_its_version(version):
    """Version 0 was acknowledged where nothing was held, and never in force."""
    state = FleetState()
    command = decode(encode(ReplaceConfiguration(version, "highest", b"first")))
    assert state.apply_message(1, command).text == "replaced"
    restored = FleetState()
    restored.restore(state.snapshot())
    assert restored.configuration == (version, b"first")
    assert put(restored, 2, version, b"second").text == "not newer"


def test_accepted_change_that_is_sent_again_is_never_refused():
    """An operator whose acknowledgement is lost may meet a release that is stricter."""
    route = json.loads(build_body())["routes"][0]
    body = build_body(routes=[route, {**route, "host": "A.example"}])
    state = FleetState()
    fleet = SimpleNamespace(state=state)
    log = SimpleNamespace(
        applied_index=lambda group: 1, term=lambda group: 1, leader=lambda group: ""
    )
    settings = SimpleNamespace(fleet=SimpleNamespace(dialect="platform"))
    kernel = SimpleNamespace(
        settings=settings, find={"fleet": fleet, "log": log}.__getitem__
    )
    service = ConfigurationService(kernel)
    with pytest.raises(ConfigurationRefused):
        asyncio.run(service.replace(body))
    put(state, 1, 1, zlib.compress(body))
    assert asyncio.run(service.replace(body)) == 1
    with pytest.raises(ConfigurationRefused):
        asyncio.run(service.replace(body + b" "))


def test_snapshot_keeps_the_configuration():
    state = FleetState()
    put(state, 1, 7, b"seven")
    restored = FleetState()
    restored.restore(state.snapshot())
    assert restored.configuration == state.configuration
    assert put(restored, 2, 6).text == "not newer"


def test_caller_timeout_is_the_longest_of_three():
    """Callers leave a stream after 2 s, four targets or eight pauses."""
    assert build_route(target_s=0.5, pause_s=0.15).patience_s == 2.0
    assert build_route(target_s=3.0, pause_s=0.15).patience_s == 12.0
    assert build_route(target_s=0.5, pause_s=0.5).patience_s == 4.0
