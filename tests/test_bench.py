"""The virtual-time run: repeatable, and its checks find injected violations."""

import json
from pathlib import Path

import pytest

from jasminewharf.bench.__main__ import main
from jasminewharf.bench.history import CHECKS, Event, Limits, find_violations
from jasminewharf.bench.policies import create_settings
from jasminewharf.bench.scenario import load_scenario
from jasminewharf.bench.simulation import simulate
from jasminewharf.exceptions import ScenarioError

GUILD = "scenarios/guild.yaml"
LIMITS = Limits({"h": 100}, 1, 100.0)

GOOD = [
    Event(1.0, "arrived", 1, amount=50.0),
    Event(1.0, "decided", 7, "m", "h"),
    Event(2.0, "load-started", 7, "m", "h", 80, "remote"),
    Event(9.0, "load-ended", 7, "m", "h", 80),
    Event(9.5, "answered", 1),
    Event(20.0, "freed", 7, "m", "h", 80),
    Event(20.1, "gone", 7, "m", "h"),
]
BAD = {
    "replicas-decided": [Event(21.0, "load-started", 7, "m", "h", 80, "disk")],
    "memory": [Event(2.5, "load-started", 8, "m", "h", 30, "disk")],
    "store-slots": [Event(2.5, "load-started", 8, "m", "h", 1, "remote")],
    "answers": [Event(3.0, "arrived", 2, amount=50.0)],
}


def test_checks_accept_a_history_without_violations():
    assert not any(find_violations(GOOD, LIMITS).values())


@pytest.mark.parametrize("name", sorted(CHECKS))
def test_check_rejects_an_injected_violation(name):
    history = sorted(GOOD + BAD[name], key=lambda event: event.at)
    assert CHECKS[name](history, LIMITS)


def test_call_that_ends_twice_or_late_is_a_violation():
    twice = [*GOOD, Event(30.0, "answered", 1)]
    late = [Event(1.0, "arrived", 1, amount=5.0), Event(6.0, "answered", 1)]
    assert CHECKS["answers"](twice, LIMITS)
    assert CHECKS["answers"](late, LIMITS)


@pytest.mark.parametrize("fault", ["agent-killed", "two-together", "entry-restarted"])
def test_burst_with_faults_breaks_no_promise_and_repeats(fault):
    scenario = load_scenario(GUILD)
    case = scenario.cases["cold-burst"]._replace(duration_s=660.0)
    settings = create_settings("default", scenario)
    runs = [
        simulate(scenario, case, scenario.faults[fault], settings, 3) for _ in range(2)
    ]
    assert runs[0] == runs[1]
    assert not any(runs[0].violations.values())
    assert runs[0].measures["calls_within_rate"] > 300


def test_unknown_field_in_a_scenario_is_refused(tmp_path):
    text = Path(GUILD).read_text().replace("entries: 4", "entrys: 4")
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    with pytest.raises(ScenarioError, match="entrys"):
        load_scenario(path)


def test_command_line_prints_json_and_compares(tmp_path, capsys):
    options = ["--scenario", GUILD, "--case", "night", "--output", "json"]
    plot = tmp_path / "night.png"
    code = main(["simulate", *options, "--policy", "default", "--plot", str(plot)])
    result = capsys.readouterr().out
    assert code == 0
    assert json.loads(result)["policies"]["default"]["1"]["broken_promises"] == 0
    assert plot.stat().st_size > 1000
    saved = tmp_path / "a.json"
    saved.write_text(result)
    assert main(["compare", str(saved), str(saved)]) == 0
    assert "same" in capsys.readouterr().out
