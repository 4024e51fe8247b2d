"""Evacuations of availability zones: the state that is decided, and what it stops."""

import itertools

import msgspec
import pytest

from fleetparts import build_listed, build_report
from jasminewharf.decisions.configurations import ServiceSpec
from jasminewharf.decisions.directory import Directory
from jasminewharf.decisions.evacuations import ZoneState
from jasminewharf.decisions.fleet import FleetState
from jasminewharf.dialects.fleet import EvacuationCall, HeldModel
from jasminewharf.messages import decode, encode
from jasminewharf.messages.commands import GrantKey, SetDraining
from jasminewharf.messages.evacuations import SetEvacuation
from jasminewharf.platform.operators import PlatformOperators

HELD = (HeldModel("m0", 1, ()),)


def put(state, index, is_evacuated, revision, zone="zone-b"):
    command = decode(encode(SetEvacuation(zone, is_evacuated, revision)))
    return state.apply_message(index, command)


def test_repeated_call_gets_the_outcome_of_the_first():
    """An operator whose acknowledgement was lost sends the call to another host."""
    state = FleetState()
    assert put(state, 1, True, 0).text == "evacuated"
    for revision in (0, 1):
        assert put(state, 2 + revision, True, revision).error == ""
    assert state.evacuations.evacuated == {"zone-b"}


def test_delayed_call_changes_nothing_after_a_later_one():
    """A zone was evacuated for good by a call of before its evacuation had ended."""
    state = FleetState()
    put(state, 1, True, 0)
    put(state, 2, False, 1)
    for revision in (0, 1):
        result = put(state, 3 + revision, True, revision)
        assert result.error == "EvacuationOvertaken"
    assert state.evacuations.find("zone-b") == ZoneState("zone-b", 2, False)


def test_call_for_the_present_state_stops_earlier_calls_too():
    """A call to end an evacuation that is not there yet overtook the one that began it.

    It was acknowledged as nothing to be done, and the zone was evacuated after it.
    """
    state = FleetState()
    assert put(state, 1, False, 0).error == ""
    assert put(state, 2, True, 0).error == "EvacuationOvertaken"
    assert state.evacuations.evacuated == frozenset()


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_last_call_decides_whatever_copies_arrive_after_it(order):
    """Copies of each call are on their way as the next one is acknowledged."""
    state = FleetState()
    copies = []
    for index, is_evacuated in enumerate((True, False, True, False), 1):
        held = state.evacuations.find("zone-b")
        copies.append((is_evacuated, held.revision))
        assert put(state, index, *copies[-1]).error == ""
    for index, place in enumerate(order, 5):
        put(state, index, *copies[place])
    assert state.evacuations.evacuated == frozenset()


def test_snapshot_keeps_evacuations_and_their_revisions():
    """A delayed call would take effect at a host that restored its state."""
    state = FleetState()
    put(state, 1, True, 0)
    put(state, 2, False, 1)
    put(state, 3, True, 0, "zone-c")
    restored = FleetState()
    restored.restore(state.snapshot())
    assert restored.evacuations.list_states() == state.evacuations.list_states()
    assert restored.evacuations.evacuated == {"zone-c"}
    assert put(restored, 4, True, 1).error


def test_state_of_an_earlier_release_is_read_and_is_readable_to_it():
    """A fleet that is upgraded in place must keep its state, and feed old nodes."""
    old = [4, [], [["k", "digest", "w", False]], {"h": ["operator"]}, [], [], [0, b""]]
    state = FleetState()
    state.restore(msgspec.msgpack.encode(old))
    assert state.evacuations.evacuated == frozenset()
    assert msgspec.msgpack.decode(state.snapshot()) == old
    for index, command in enumerate(
        (SetDraining("", "h", False), GrantKey(*"sidw")), 5
    ):
        assert state.apply_message(index, command).error == ""


def test_server_of_an_evacuated_zone_gets_nothing_and_counts_for_nothing():
    """A model that is only held there must be loaded elsewhere."""
    directory = Directory()
    listed = [
        build_listed("i-1", "10.0.0.1:80", zone="zone-a"),
        build_listed("i-2", "10.0.0.2:80", zone="zone-b"),
    ]
    directory.set_evacuated(frozenset({"zone-b"}))
    directory.take_list(listed, 0.0)
    service = listed[0].service
    directory.take_report(build_report("10.0.0.2:80", HELD), 0.0)
    first, second = directory.in_service(service)
    assert (first.is_open(0.0), second.is_open(0.0)) == (True, False)
    assert not second.holds("m0", 0.0, 1.0)
    assert directory.unheard(service, 2.0, 3.0) == [first]
    assert directory.find_obstacle(ServiceSpec(service, 0, None)) == ""
    directory.set_evacuated(frozenset({"zone-a", "zone-b"}))
    assert directory.find_obstacle(ServiceSpec(service, 0, None)) == "evacuated"
    directory.set_evacuated(frozenset())
    assert second.is_open(0.0)
    assert second.holds("m0", 0.0, 1.0)


@pytest.mark.parametrize("target", ["/Evacuations.Start/z%2Fb?x=1", "/Config.Put"])
def test_operators_calls_are_read(target):
    call = PlatformOperators().read_evacuation("POST", target)
    assert call == (EvacuationCall("z/b", True) if "z%2Fb" in target else None)
    assert PlatformOperators().read_evacuation("GET", target) is None
