"""A node's view of dynamically discovered backend servers."""

from fleetparts import build_listed, build_report
from jasminewharf.decisions.directory import Directory
from jasminewharf.dialects.fleet import HeldModel
from jasminewharf.messages.servers import EngineLoad

FRESH_S = 3.0
HELD = (HeldModel("m0", 1, ()),)


def build_directory(*listed, at=0.0):
    directory = Directory()
    directory.take_list(list(listed), at)
    return directory


def test_older_list_changes_nothing():
    """Two control hosts may relay lists out of order."""
    directory = build_directory(build_listed("i-2"), at=5.0)
    change = directory.take_list([build_listed("i-1")], 4.0)
    assert list(directory.servers) == ["i-2"]
    assert change.found == []


def test_new_birth_under_the_same_name_is_another_server():
    """Counters and loaded models of the former incarnation do not carry over."""
    directory = build_directory(build_listed(models=HELD))
    server = directory.servers["i-1"]
    server.begin("m0", "", 0.0)
    directory.take_list([build_listed(born_ms=2_000)], 1.0)
    reborn = directory.servers["i-1"]
    assert reborn is not server
    assert reborn.own == 0
    assert not reborn.holds("m0", 1.0, FRESH_S)


def test_reused_address_belongs_to_the_younger_incarnation():
    """An address is given to another service soon after its server has ended."""
    directory = build_directory(
        build_listed("i-1", born_ms=1_000),
        build_listed("i-2", service="desk", born_ms=2_000),
    )
    assert directory.at_address("10.0.0.1:80").name == "i-2"


def test_report_of_a_former_incarnation_is_not_attached():
    directory = build_directory(build_listed(born_ms=2_000))
    directory.take_report(build_report(models=["m0"], born_ms=1_000), 1.0)
    assert not directory.servers["i-1"].holds("m0", 1.0, FRESH_S)


def test_list_applies_without_an_agent_report():
    """A lost agent must not make its engine's models disappear."""
    directory = build_directory(build_listed(models=HELD))
    server = directory.servers["i-1"]
    assert server.holds("m0", 100.0, FRESH_S)
    directory.take_report(build_report(models=["m1"]), 100.0)
    assert not server.holds("m0", 100.5, FRESH_S)
    assert server.holds("m1", 100.5, FRESH_S)
    directory.forget_agent("10.0.0.1:80")
    assert server.holds("m0", 101.0, FRESH_S)


def test_refused_model_is_believed_absent_until_a_newer_report():
    """A stale report must not route further requests to a server that answers 421."""
    directory = build_directory(build_listed())
    directory.take_report(build_report(models=["m0"]), 1.0)
    server = directory.servers["i-1"]
    server.missing["m0"] = 1.5
    assert not server.holds("m0", 1.6, FRESH_S)
    directory.take_report(build_report(models=["m0"]), 2.0)
    assert server.holds("m0", 2.1, FRESH_S)


def test_model_that_is_being_unloaded_gets_no_request():
    directory = build_directory(build_listed())
    directory.take_report(build_report(models=["m0"], changing="m0"), 1.0)
    assert not directory.servers["i-1"].holds("m0", 1.1, FRESH_S)


def test_load_counts_own_requests_started_since_the_report():
    """Reports lag: requests sent since the last one are not in it."""
    directory = build_directory(build_listed())
    server = directory.servers["i-1"]
    server.note_load(3, 1, 1.0)
    server.begin("m0", "", 1.1)
    server.begin("m0", "a1", 1.1)
    assert server.load == 6
    assert server.in_flight_by_model == {"m0": 2, "m0/a1": 1}
    server.end("m0", "a1")
    assert server.in_flight_by_model == {"m0": 1}


def test_heartbeat_keeps_a_report_fresh():
    directory = build_directory(build_listed())
    directory.take_report(build_report(models=["m0"], ready_ms=500), 1.0)
    directory.take_load(EngineLoad("10.0.0.1:80", 7, 2, 10, 1.5, 0.5), 3.0)
    server = directory.servers["i-1"]
    assert server.holds("m0", 5.0, FRESH_S)
    assert (server.load, server.report.room_cost, server.report.blocked_rate) == (
        9,
        1.5,
        0.5,
    )
    assert server.report.ready_ms == 0


def test_overdue_order_does_not_look_finished():
    """Guards against callers that wait at an engine for the end of a slow load.

    A load from an overloaded store took 31 s in place of 8 s. All entries took the
    engine as free meanwhile, although others had the models that they asked it for.
    """
    directory = build_directory(build_listed())
    loading = build_report(changing="m1", is_loading=True, ready_ms=8_000, number=1)
    directory.take_report(loading, 0.0)
    server = directory.servers["i-1"]
    assert server.busy_s(2.0) == 6.0
    assert server.busy_s(8.0) == 0.0
    assert server.busy_s(20.0) == 12.0
    again = loading._replace(ready_ms=10, number=2, wanted=[("m2", 1.0)])
    directory.take_report(again, 20.0)
    assert server.busy_s(24.0) == 16.0
    done = build_report(models=["m1"], number=3)
    directory.take_report(done, 31.0)
    assert server.busy_s(31.5) == 0.0


def test_silence_counts_only_with_requests_in_flight():
    """An idle server sends nothing and is not silent."""
    directory = build_directory(build_listed())
    server = directory.servers["i-1"]
    assert server.silent_s(50.0) == 0.0
    server.begin("m0", "", 50.0)
    assert server.silent_s(50.5) == 0.5
    server.heard_at = 51.0
    assert server.silent_s(51.2) < 0.25


def test_avoided_server_holds_nothing():
    """If the only engine with a model hangs, the model is loaded elsewhere."""
    directory = build_directory(build_listed())
    directory.take_report(build_report(models=["m0"]), 1.0)
    server = directory.servers["i-1"]
    server.avoided_until = 3.0
    assert not server.holds("m0", 2.0, FRESH_S)
    assert server.holds("m0", 3.5, FRESH_S)


def test_leaving_and_vanished_servers_are_reported():
    directory = build_directory(build_listed("i-1"), build_listed("i-2", "10.0.0.2:80"))
    change = directory.take_list([build_listed("i-1", is_leaving=True)], 1.0)
    assert sorted(item.server for item in change.left) == ["i-1", "i-2"]
