"""The account of refusals and late streams: guards against causes that mislead."""

import json

import pytest

from fleetparts import build_route, build_server, build_workspace
from jasminewharf.decisions.lateness import StreamTiming, describe_server
from jasminewharf.decisions.rateuse import RateUse, RefusalCause
from jasminewharf.interfaces.tool import main
from jasminewharf.rateaccount import gather_refusals
from jasminewharf.streamaccount import gather_late_streams


def build_used(node, time, granted, **use):
    fields = {"rate": 1_000.0, "burst": 2_000.0, "requests": 1, "granted": granted}
    return {"time": time, "event": 890, "node": node, "window_s": 8.0,
            "workspaces": {"guild": fields | use}}  # fmt: skip


def build_refused(time, cost, **fields):
    line = {"time": time, "event": 855, "node": "e-1", "request_id": f"at-{time}",
            "workspace": "guild", "cost": cost, "rate": 1_000.0, "burst": 2_000.0,
            "window_s": 8.0, "cause": "over_rate", "wait_ms": 300,
            "patience_ms": 60}  # fmt: skip
    return line | fields


@pytest.mark.parametrize(
    ("granted", "cost", "judged", "tokens_in_ms"),
    [
        (1_000, 900, "inside rate and burst", 0),
        (2_000, 900, "inside the window only", 900),
        (10_000, 900, "beyond", 8_900),
    ],
)
def test_refusals_are_judged_by_what_all_entries_granted(
    granted, cost, judged, tokens_in_ms
):
    """A refusal inside the rate must not be hidden among those over it."""
    lines = [
        build_refused(11.0, cost),
        build_used("e-1", 11.5, [[500, granted * 0.75]]),
        build_used("e-2", 11.4, [[400, granted * 0.25]]),
    ]
    (case,) = gather_refusals(lines).cases
    assert case.judged == judged
    assert case.tokens_in_ms == tokens_in_ms
    assert case.granted == {"e-1": granted * 0.75, "e-2": granted * 0.25}
    assert (case.workspace, case.cause) == ("guild", "over_rate")


def test_grants_before_the_window_do_not_count():
    lines = [build_used("e-1", 2.0, [[0, 9_000]]), build_refused(10.5, 2_000)]
    (case,) = gather_refusals(lines).cases
    assert case.granted_in_window == 0
    assert case.judged == "inside the window only"


def test_refusals_that_the_bound_of_lines_hid_are_counted():
    lines = [
        build_used("e-1", 5.0, [], refused={"over_rate": [30, 9_000]}),
        build_refused(4.5, 300),
    ]
    account = gather_refusals(lines)
    assert account.unlisted == [("guild", "over_rate", 29)]


def test_use_is_told_once_and_in_bounded_lines():
    """Sums that were told twice would make requests seem over the rate."""
    use = RateUse()
    for number in range(5):
        use.note_granted(build_workspace(f"w-{number}"), 100.0, 9.95)
    use.note_refused(build_workspace("w-0"), 50.0, RefusalCause.OVER_RATE)
    use.note_unspent(build_workspace("w-1"), 100.0, 9.95)
    parts = use.take(10.0, 3)
    assert [len(part) for part in parts] == [3, 2]
    assert parts[0]["w-0"]["granted"] == [[100, 100.0]]
    assert parts[0]["w-0"]["refused"] == {"over_rate": [1, 50]}
    assert parts[0]["w-1"]["granted"] == []
    assert use.take(11.0, 3) == []


def build_late(**fields):
    snapshot = {"server": "i-1", "slots": 4, "own": 1, "load": 9, "running": 4,
                "waiting": 4, "load_age_ms": 30, "pace": 1.6,
                "models": {"m0": 1}}  # fmt: skip
    line = {"time": 12.0, "event": 893, "node": "e-1", "request_id": "a",
            "route": "chat", "model": "m0", "target_ms": 500, "pause_limit_ms": 150,
            "waited_ms": 0, "token_wait_ms": 0, "first_ms": 900, "pause_ms": 20,
            "servers": [snapshot]}  # fmt: skip
    return line | fields


def test_late_stream_names_its_server_and_what_ran_beside_it():
    ended = [
        {"time": 12.0, "event": 850, "request_id": "a", "route": "chat",
         "server": "i-1", "elapsed_ms": 2_000},
        {"time": 11.0, "event": 850, "request_id": "b", "route": "batch",
         "server": "i-1", "elapsed_ms": 900},
        {"time": 12.5, "event": 850, "request_id": "c", "route": "batch",
         "server": "i-1", "elapsed_ms": 1_000},
        {"time": 11.0, "event": 850, "request_id": "d", "route": "batch",
         "server": "i-2", "elapsed_ms": 900},
    ]  # fmt: skip
    counted = {"time": 12.0, "event": 894, "node": "e-1", "routes": {"chat": [5, 1]}}
    account = gather_late_streams([build_late(), counted, *ended])
    (case,) = account.cases
    assert (case.server, case.cause, case.load, case.slots) == (
        "i-1", "full server", 9, 4,
    )  # fmt: skip
    assert case.others == {"batch": 1}
    assert account.routes == {"chat": (5, 1)}
    assert account.servers[0][:3] == ("i-1", 1, 3)


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({"first_ms": 100, "pause_ms": 300}, "pause"),
        ({"token_wait_ms": 400}, "waited for tokens"),
        ({"waited_ms": 400}, "waited for model"),
    ],
)
def test_waits_before_the_server_are_no_fault_of_it(fields, cause):
    assert gather_late_streams([build_late(**fields)]).cases[0].cause == cause


def test_stream_is_late_by_its_first_event_or_a_pause():
    route = build_route(target_s=0.5, pause_s=0.15)
    server = build_server(models=("m0",))
    server.begin("m0", "", 0.0)
    timing = StreamTiming()
    assert not timing.is_late(route, 0.0)
    timing.note_sent(describe_server(server, 0.1))
    timing.note_data(0.4)
    timing.note_data(0.5)
    assert not timing.is_late(route, 0.0)
    assert timing.is_late(route, -0.2)
    timing.note_data(0.7)
    assert timing.is_late(route, 0.0)
    assert timing.describe(0.0)["servers"][0]["models"] == {"m0": 1}


def test_command_reads_log_files(tmp_path, capsys):
    path = tmp_path / "e-1.log"
    lines = [build_refused(11.0, 900), build_late()]
    path.write_text("\n".join(["no line", *map(json.dumps, lines), '{"time": 1']))
    main(["account", str(path), "--output", "json"])
    payload = json.loads(capsys.readouterr().out)
    assert payload["refusals"]["cases"][0]["request_id"] == "at-11.0"
    assert payload["late"]["cases"][0]["server"] == "i-1"
    main(["account", "--of", "late", str(path)])
    text = capsys.readouterr().out
    assert "full server" in text
    assert "over_rate" not in text
