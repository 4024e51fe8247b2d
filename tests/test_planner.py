"""Planner invariants under random reports, lost hosts and late commits."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jasminewharf.bench import pressure  # noqa: F401  # enters its pacing rule
from jasminewharf.decisions.demand import DemandTable
from jasminewharf.decisions.inventory import (
    BackendKey,
    ModelKey,
    ModelSpec,
    PlannerView,
    ReplicaRecord,
)
from jasminewharf.decisions.pacing import PACING_RULES
from jasminewharf.decisions.planner import Planner, PlannerSettings
from jasminewharf.messages.commands import AdvanceReplica, DecideReplica
from jasminewharf.messages.feed import (
    BackendReport,
    Demand,
    NodeReport,
    ReplicaReport,
)

HOST_MB = 50_000
NEXT = {
    "ordered": {"loaded", "failed"},
    "loaded": {"unloading"},
    "unloading": {"gone"},
    "failed": {"gone"},
}


def create_spec(index, **fields):
    given = {"weights_mb": 10_000, "adapters_mb": 1_000, "cache_mb": 4_000} | fields
    return ModelSpec("s", f"m{index}", "pool", f"c{index}", **given)


def report_agent(host, sequence=1, replicas=(), cached=(), **fields):
    backend = BackendReport(
        f"b-{host}", "pool", "d", True, 0, 0, 0, 0.0, list(replicas), list(cached)
    )
    report = NodeReport(
        f"a-{host}", "agent", host, "z", 1, sequence, 0, "", HOST_MB, False, [], []
    )
    return report._replace(backends=[backend], **fields)


def report_entry(name, sequence, demands, incarnation=1):
    return NodeReport(
        name, "entry", name, "z", incarnation, sequence, 0, "", 0, False, [], demands
    )


def want(index, requests=3, tokens=600, deadline_ms=30_000, last_call_ms=0):
    return Demand("s", f"m{index}", "", requests, tokens, deadline_ms, last_call_ms)


class Fleet:
    """A simulated log and engines for the planner; tests set the engines' states."""

    def __init__(self, models=4, hosts=3, **settings_fields):
        self.settings = PlannerSettings(**settings_fields)
        self.planner = Planner(self.settings)
        self.demands = DemandTable()
        self.models = {s.key: s for s in map(create_spec, range(models))}
        self.records, self.version, self.now = {}, 0, 100.0
        self.states = {}
        self.lost = frozenset()
        self.reports = {}
        self.sequence = 1
        self.uncommitted = []
        for number in range(hosts):
            self.send(f"h{number}")

    def send(self, host, **fields):
        self.sequence += 1
        held = [
            ReplicaReport(n, r.model, self.states.get(n, "loading"), "")
            for n, r in self.records.items()
            if r.host == host and n in self.states
        ]
        self.reports[f"a-{host}"] = report_agent(host, self.sequence, held, **fields)

    def ask(self, entry, *demands):
        self.sequence += 1
        self.demands.observe(
            report_entry(entry, self.sequence, list(demands)), self.now
        )

    def plan(self):
        view = PlannerView(
            self.version, self.records, self.models, frozenset(), self.lost
        )
        actions = self.planner.plan(view, self.reports, self.demands, self.now)
        self.uncommitted += actions
        return actions

    def commit(self, count=None):
        count = len(self.uncommitted) if count is None else count
        batch, self.uncommitted = self.uncommitted[:count], self.uncommitted[count:]
        for action in batch:
            self.version += 1
            self.records = dict(self.records)
            if isinstance(action, DecideReplica):
                record = ReplicaRecord(self.version, *action, "ordered")
                self.records[self.version] = record
                continue
            record = self.records.get(action.replica)
            if record is None:
                continue
            if action.phase not in NEXT[record.phase]:
                self.planner.record_outcome(action, False)
                continue
            self.records[action.replica] = record._replace(phase=action.phase)
            if action.phase == "gone":
                del self.records[action.replica]

    def step(self, seconds=0.05):
        self.now += seconds
        actions = self.plan()
        self.commit()
        return actions

    def find_broken(self):
        """Return the invariants that the log and uncommitted actions violate."""
        decided = [a for a in self.uncommitted if isinstance(a, DecideReplica)]
        used, slots, per_model = {}, 0, {}
        for item in [*self.records.values(), *decided]:
            used[item.host] = used.get(item.host, 0) + item.memory_mb
            phase = getattr(item, "phase", "ordered")
            slots += phase == "ordered" and item.from_tier == "remote"
            if phase in ("ordered", "loaded") and item.host not in self.lost:
                key = (item.service, item.model)
                per_model[key] = per_model.get(key, 0) + 1
        broken = {"memory"} if any(mb > HOST_MB for mb in used.values()) else set()
        if slots > self.settings.store_concurrent_loads:
            broken.add("slots")
        limit = {key: spec.max_replicas for key, spec in self.models.items()}
        if any(count > limit[key] for key, count in per_model.items()):
            broken.add("replicas")
        return broken


ENTRIES = ["e0", "e1", "e2"]


@settings(max_examples=30, deadline=None)
@given(seed=st.integers(0, 2**32), pacing=st.sampled_from(sorted(PACING_RULES)))
def test_invariants_hold_while_commits_lag_and_engines_fail(seed, pacing):
    random = Random(seed)
    fleet = Fleet(models=6, pacing=pacing)
    for _ in range(100):
        fleet.now += random.choice([0.05, 0.05, 0.5, 5.0, 40.0])
        _disturb(fleet, random)
        fleet.plan()
        assert not fleet.find_broken()
        fleet.commit(random.randint(0, len(fleet.uncommitted)))
        assert not fleet.find_broken()


def _disturb(fleet, random):
    for record in list(fleet.records.values()):
        if random.random() < 0.7:
            continue
        ended = fleet.states.get(record.replica, "loading") != "loading"
        if record.phase == "ordered" and not ended:
            fleet.states[record.replica] = random.choice(
                ["loading", "loaded", "failed"]
            )
        elif record.phase in ("unloading", "failed"):
            fleet.states[record.replica] = random.choice(["loaded", "gone"])
    for host in ("h0", "h1", "h2"):
        if random.random() < 0.5 and host not in fleet.lost:
            fleet.send(host, leaving=random.random() < 0.1)
        if random.random() < 0.05:
            fleet.reports.pop(f"a-{host}", None)
    if random.random() < 0.02:
        fleet.lost |= {"h2"}
        fleet.reports.pop("a-h2", None)
    for entry in ENTRIES:
        models = random.sample(range(6), random.randrange(4))
        fleet.ask(entry, *(want(m, tokens=random.choice([1, 10**6])) for m in models))


@pytest.mark.parametrize(
    ("fault", "expected"),
    [("host_mb", "memory"), ("from_tier", "slots"), ("model", "replicas")],
)
def test_invariant_check_rejects_an_injected_violation(fault, expected):
    fleet = Fleet()
    memory = HOST_MB if fault == "host_mb" else 1
    tier = "remote" if fault == "from_tier" else "disk"
    models = {"model": "m0"} if fault == "model" else {}
    for n in range(8):
        record = ReplicaRecord(n, "s", f"m{n % 4}", "b", "h0", memory, tier, "ordered")
        fleet.records[n] = record._replace(**models)
    assert expected in fleet.find_broken()


def test_demand_at_many_entries_is_one_demand():
    """Demand for a cold model at several entries must start only one load."""
    fleet = Fleet()
    for entry in ENTRIES:
        fleet.ask(entry, want(0))
    decided = fleet.plan()
    fleet.ask("e0", want(0, requests=4))
    decided += fleet.plan()
    assert [type(a) for a in decided] == [DecideReplica]


def test_repeated_and_older_reports_do_not_add_demand():
    table = DemandTable()
    for sequence in (5, 5, 3):
        table.observe(report_entry("e0", sequence, [want(0, requests=sequence)]), 1.0)
    assert table.collect(1.0)[ModelKey("s", "m0")].requests == 5
    table.observe(report_entry("e0", 1, [want(0, requests=2)], incarnation=2), 1.5)
    assert table.collect(1.5)[ModelKey("s", "m0")].requests == 2
    assert not table.collect(60.0)


def load_all(fleet, indices):
    for index in indices:
        fleet.ask("e0", *(want(i) for i in indices[: index + 1]))
        fleet.step(2.0)
        for number in fleet.records:
            fleet.states.setdefault(number, "loaded")
        for report in list(fleet.reports.values()):
            fleet.send(report.host)
        fleet.step(0.1)
        fleet.step(0.1)


def test_memory_is_not_reused_before_the_engine_confirms():
    """A committed but unconfirmed unload still occupies its memory."""
    fleet = Fleet(models=4, hosts=1, eviction="least-recently-used")
    load_all(fleet, [0, 1, 2])
    assert {r.phase for r in fleet.records.values()} == {"loaded"}
    fleet.now += 60
    fleet.send("h0")
    fleet.ask("e0", want(3))
    unloads = fleet.step()
    assert [a.phase for a in unloads] == ["unloading"]
    for _ in range(40):
        fleet.ask("e0", want(3))
        assert not fleet.step()
    fleet.states[unloads[0].replica] = "gone"
    fleet.send("h0")
    fleet.step()
    fleet.ask("e0", want(3))
    assert any(isinstance(a, DecideReplica) for a in fleet.step(0.5))


def test_replica_of_a_model_that_is_no_longer_offered_makes_room_first():
    """Guards against a KeyError that ended the planner.

    Case: a document drops a model while callers wait for one that needs its memory.
    """
    fleet = Fleet(models=4, hosts=1, eviction="least-recently-used")
    load_all(fleet, [0, 1, 2])
    fleet.now += 60
    fleet.send("h0")
    retired = ModelKey("s", "m1")
    del fleet.models[retired]
    fleet.version += 1
    fleet.ask("e0", want(1), want(3))
    (unload,) = fleet.step()
    assert unload.phase == "unloading"
    assert fleet.records[unload.replica].key == retired
    fleet.states[unload.replica] = "gone"
    fleet.send("h0")
    fleet.step()
    fleet.ask("e0", want(1), want(3))
    assert [action.model for action in fleet.step(0.5)] == ["m3"]


def test_load_of_a_dead_agent_holds_its_slot_until_the_host_is_lost():
    """A load may outlive its agent; its store slot must not be reused."""
    fleet = Fleet(models=6, hosts=3, store_concurrent_loads=1)
    fleet.ask("e0", want(0))
    fleet.step()
    (record,) = fleet.records.values()
    del fleet.reports[f"a-{record.host}"]
    for _ in range(20):
        fleet.ask("e0", want(1))
        assert not fleet.step(1.0)
    fleet.lost = frozenset({record.host})
    fleet.step()
    fleet.ask("e0", want(1))
    fleet.step(1.0)
    assert {r.model for r in fleet.records.values()} == {"m1"}


def test_slots_are_recovered_from_the_log_by_a_new_leader():
    fleet = Fleet(models=6, store_concurrent_loads=2)
    for index in range(2):
        fleet.ask("e0", want(index))
        fleet.step(2.0)
    fleet.planner = Planner(fleet.settings)
    fleet.ask("e0", want(4))
    assert fleet.planner.state.budget.held == 0
    assert not fleet.step()
    assert fleet.planner.state.budget.held == 2


def test_withdrawn_decision_frees_memory_and_slot():
    fleet = Fleet(store_concurrent_loads=1)
    fleet.ask("e0", want(0))
    (action,) = fleet.plan()
    fleet.planner.record_outcome(action, False)
    assert fleet.planner.state.budget.held == 0
    assert fleet.planner.state.memory.free_mb(action.host) == HOST_MB


def test_replicas_of_a_leaving_host_move_and_are_unloaded():
    fleet = Fleet()
    load_all(fleet, [0])
    (record,) = fleet.records.values()
    fleet.send(record.host, leaving=True)
    fleet.ask("e0", want(0))
    actions = fleet.step(3.0)
    assert AdvanceReplica(record.replica, "unloading", "host leaving") in actions
    moved = [a for a in actions if isinstance(a, DecideReplica)]
    assert moved and moved[0].host != record.host


def test_model_in_use_is_moved_without_waiting_for_its_next_call():
    """A model in use on a leaving host must not be cold for its next call."""
    fleet = Fleet()
    load_all(fleet, [0, 1])
    records = list(fleet.records.values())
    for record in records:
        fleet.send(record.host, leaving=True)
    fleet.ask("e0", want(0, requests=0, tokens=0))
    actions = [action for _ in range(5) for action in fleet.step(0.3)]
    moved = [a.model for a in actions if isinstance(a, DecideReplica)]
    fleet.now += 60
    moved += [a.model for a in fleet.step() if isinstance(a, DecideReplica)]
    assert moved.count("m0") == 1


def test_host_with_a_replica_unknown_to_the_log_gets_none():
    """Memory that an unknown replica occupies must not be allocated again."""
    fleet = Fleet(hosts=0)
    held = [ReplicaReport(99, "m0", "loaded", "")]
    fleet.reports["a-h0"] = report_agent("h0", replicas=held)
    fleet.ask("e0", want(1))
    assert not fleet.plan()
    fleet.reports["a-h0"] = report_agent("h0", 2)
    fleet.ask("e0", want(1))
    assert fleet.step(1.0)


def test_just_loaded_replica_is_not_unloaded_for_another_model():
    """Unloading a newly loaded replica would make two models evict each other."""
    fleet = Fleet(models=4, hosts=1)
    load_all(fleet, [0, 1, 2])
    for _ in range(50):
        fleet.ask("e0", want(3))
        assert not fleet.step(0.2)


def test_cached_checkpoint_is_preferred_and_needs_no_slot():
    fleet = Fleet(hosts=2, store_concurrent_loads=1)
    cached = report_agent("h1", 9, cached=[("c1", "disk")])
    fleet.reports["a-h1"] = cached
    fleet.ask("e0", want(0), want(1))
    tiers = {a.model: (a.host, a.from_tier) for a in fleet.plan()}
    assert tiers["m1"] == ("h1", "disk")
    assert BackendKey("h1", "b-h1") in fleet.planner.state.inventory.backends
    assert fleet.planner.state.budget.held == 1


def test_estimate_counts_the_loads_ahead_and_the_age_of_an_overdue_one():
    """Optimistic estimates admit requests that then wait until they expire."""
    fleet = Fleet(models=6, store_concurrent_loads=1)
    fleet.ask("e0", *(want(i, deadline_ms=30_000 + i) for i in range(4)))
    fleet.step()
    fleet.step()
    estimates = [
        fleet.planner.estimate_ready_s(ModelKey("s", f"m{i}"), fleet.now)
        for i in range(4)
    ]
    assert estimates == sorted(set(estimates))
    early = fleet.planner.estimate_ready_s(ModelKey("s", "m0"), fleet.now + 100)
    late = fleet.planner.estimate_ready_s(ModelKey("s", "m0"), fleet.now + 400)
    assert 10 < early < late


@pytest.mark.parametrize("seconds", [1.0, 100.0])
def test_load_times_are_learned_from_the_engines(seconds):
    """A fixed estimate refuses feasible requests or classifies all loads as slow."""
    fleet = Fleet(models=1, hosts=1)
    fleet.ask("e0", want(0))
    fleet.step()
    fleet.step()
    key = ModelKey("s", "m0")
    assert fleet.planner.estimate_ready_s(key, fleet.now) == pytest.approx(10.77, 0.01)
    fleet.now += seconds
    (number,) = fleet.records
    fleet.states[number] = "loaded"
    fleet.send("h0")
    fleet.step()
    fleet.step()
    state = fleet.planner.state
    learned = state.nominal_load_s(fleet.models[key], "remote")
    assert learned == pytest.approx(seconds, abs=0.5)
    assert state.budget.slowdown == pytest.approx(1.0, abs=0.05)
