"""The account of a run: guards against figures that hide where requests were lost."""

import json

import pytest

from jasminewharf.exceptions import LinesNotFound
from jasminewharf.interfaces.tool import main
from jasminewharf.losses import gather_losses, read_events, render_losses

LINES = [
    {"time": 1.0, "event": 853, "request_id": "a", "model": "m1", "ready_ms": 500},
    {"time": 1.1, "event": 853, "request_id": "b", "model": "m1", "ready_ms": 2_500},
    {"time": 1.2, "event": 902, "node": "agent-1", "loads": True, "model": "m1",
     "adapter": "", "reason": "wanted", "tier": "disk"},
    {"time": 2.7, "event": 904, "node": "agent-1", "models": ["m0", "m1"]},
    {"time": 3.0, "event": 850, "request_id": "a", "model": "m1", "route": "chat",
     "outcome": "answered", "sent": 1, "waited_ms": 1_700},
    {"time": 3.1, "event": 850, "request_id": "b", "model": "m1", "route": "plan",
     "outcome": "model_unavailable", "sent": 0, "waited_ms": 2_000},
    {"time": 3.2, "event": 850, "request_id": "c", "model": "m0", "route": "chat",
     "outcome": "answered", "sent": 1, "waited_ms": 0},
]  # fmt: skip


def write_log(folder):
    path = folder / "all.log"
    lines = [f"12.5 entry-1 {json.dumps(line)}" for line in LINES]
    path.write_text("\n".join([*lines, "no line", '{"time": 1, "event": 850']))
    return str(path)


def test_account_counts_outcomes_models_waits_and_orders(tmp_path):
    losses = gather_losses(read_events([write_log(tmp_path)]))
    assert ("plan", "model_unavailable", 1) in losses.outcomes
    assert losses.models[0][:3] == ("m1", 2, 1)
    assert losses.models[0].first_order_s == pytest.approx(0.2)
    assert [(w.told_from, w.requests, w.refused) for w in losses.waits] == [
        (0, 1, 0),
        (2_000, 1, 1),
    ]
    assert losses.waits[0].median == 1_700
    assert losses.orders == [("load", "disk", "wanted", 1, 1.5)]
    assert "model_unavailable" in render_losses(losses)


UNSERVED = [
    {"time": 0.1, "event": 901, "node": "agent-1", "models": ["m0"],
     "in_memory": ["m0"], "on_disk": ["m0", "m2"]},
    {"time": 0.1, "event": 901, "node": "agent-2", "models": ["m2"],
     "in_memory": [], "on_disk": ["m2"]},
    *({"time": at, "event": 850, "request_id": f"r{at}", "model": "m2", "adapter": "a1",
       "route": "chat", "outcome": "model_unavailable", "sent": 0, "waited_ms": 0}
      for at in (1.0, 5.0, 9.5)),
    {"time": 2.0, "event": 906, "node": "agent-1", "model": "m2", "reason": "no_room"},
    {"time": 3.0, "event": 906, "node": "agent-1", "model": "m2",
     "reason": "store_busy"},
    {"time": 4.0, "event": 906, "node": "agent-2", "model": "m2", "reason": "no_room"},
    {"time": 5.0, "event": 902, "node": "agent-2", "loads": True, "model": "m2",
     "adapter": "a1", "reason": "wanted", "tier": ""},
]  # fmt: skip


def test_account_tells_why_a_model_was_never_answered():
    """Pattern: some models are asked for all day and none of their callers is served.

    Copies, orders and reasons tell a model that no engine could load from one that was
    loaded too late, and either from a missing adapter.
    """
    losses = gather_losses([*LINES, *UNSERVED])
    reasons = {"no_room": 2, "store_busy": 1}
    assert losses.unserved == [
        ("m2", 3, 8.5, 2, 0, reasons),
        ("m2/a1", 3, 8.5, 2, 1, reasons),
    ]
    assert "no_room:2" in render_losses(losses)


def test_lines_in_any_order_make_one_account():
    """Files of several hosts are read one after the other."""
    assert gather_losses(reversed(LINES)) == gather_losses(LINES)


def test_account_of_nothing_is_empty():
    losses = gather_losses([])
    assert losses.models == []
    assert "requests" in render_losses(losses)


def test_missing_file_is_an_error_with_its_name(tmp_path, capsys):
    with pytest.raises(SystemExit) as exit_info:
        main(["losses", str(tmp_path / "none.log")])
    assert isinstance(exit_info.value.__cause__, LinesNotFound)
    assert "none.log" in capsys.readouterr().err
