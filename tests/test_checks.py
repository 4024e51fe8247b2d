"""Each check of a promise must reject a history that breaks the promise."""

import pytest

from jasminewharf.fakes.server import SeenRequest
from jasminewharf.trials.checks import CHECKS, Charge, Evidence, Fault, check_all
from jasminewharf.trials.records import Record


def record(**fields):
    base = Record("chat", "entry-1", "w", "k1", "chat-1", 10.0, 11.0, 5.0, 200)
    return base._replace(whole=True, request_id="r-1")._replace(**fields)


def seen(at=10.5, path="/v1/chat/completions", headers=None, body=b""):
    return SeenRequest(at, "POST", path, "", headers or {"x-request-id": "r-1"}, body)


GOOD = Evidence(
    records=[record(), record(kind="order", name="order-1", status=201)],
    faults=[Fault("terminate", "entry-1", 10.2, 12.0)],
    seen={"host-1": [seen()]},
    order_runs={"order-1": 1},
    engine_runs={"r-1": 1},
    replica_samples=[[("e1", "m", 3), ("e2", "m", 4)]],
    decided_limit={"m": 2},
    withdrawals={"k2": 1.0},
    drains={"host-1": 9.0},
    charges=[Charge("a", 0.0, 100), Charge("a", 10.0, 100)],
    limits={"a": (10, 100)},
    versions={"entry-1": [(1, 2, 4), (1, 1, 3), (2, 1, 2), (2, 2, 5)]},
)

VIOLATIONS = {
    "P1 replicas": GOOD._replace(
        replica_samples=[[("e1", "m", 3), ("e2", "m", 4), ("e3", "m", 5)]]
    ),
    "P2 memory": GOOD._replace(overcommits=1),
    "P3 answered in time": GOOD._replace(records=[record(status=0, error="no answer")]),
    "P4 workspace": GOOD._replace(charges=[Charge("s/other", 0.0, 1, "r-1")]),
    "P5 keys hidden": GOOD._replace(seen={"host-1": [seen(body=b"x jw_ab_cd")]}),
    "P6 withdrawal": GOOD._replace(withdrawals={"k1": 8.0}),
    "P7 rates": GOOD._replace(charges=[Charge("a", 0.0, 100), Charge("a", 1.0, 20)]),
    "P8 whole answers": GOOD._replace(records=[record(whole=False)]),
    "P9 not run is true": GOOD._replace(
        records=[record(status=503, error="overloaded", not_run=True)]
    ),
    "P10 at most once": GOOD._replace(order_runs={"order-1": 2}),
    "P11 leaving": GOOD._replace(drains={"host-1": 7.0}),
    "P12 graceful stop": GOOD._replace(
        records=[record(status=200, error="stream_interrupted")]
    ),
    "P13 versions": GOOD._replace(versions={"entry-1": [(1, 1, 3), (1, 2, 2)]}),
}


def test_a_clean_history_passes_every_check():
    assert check_all(GOOD) == {name: [] for name in CHECKS}


@pytest.mark.parametrize("name", sorted(CHECKS))
def test_an_injected_violation_is_rejected(name):
    assert check_all(VIOLATIONS[name])[name]


def test_late_answer_and_answered_order_that_never_ran_are_rejected():
    late = GOOD._replace(records=[record(ended=20.0)])
    assert check_all(late)["P3 answered in time"]
    assert check_all(GOOD._replace(order_runs={}))["P10 at most once"]


def test_callers_of_a_killed_entry_are_excused_only_while_it_was_down():
    broken = record(status=0, error="connection: reset")
    killed = GOOD._replace(
        records=[broken], faults=[Fault("kill", "entry-1", 10.2, 12.0)]
    )
    assert not check_all(killed)["P3 answered in time"]
    later = killed._replace(faults=[Fault("kill", "entry-1", 12.5, 13.0)])
    assert check_all(later)["P3 answered in time"]
