"""A virtual-time run of the planner on one case with one policy."""

from random import Random
from typing import Any, NamedTuple

from ..decisions.adapters import AdapterSlots
from ..decisions.inventory import ReplicaRecord
from ..decisions.planner import PlannerSettings
from .clock import Clock
from .control import Control
from .entries import Attempt, Entry
from .history import Event, Limits, find_violations
from .hosts import EngineReplica, Host
from .measures import Measures
from .scenario import Case, Fault, Scenario
from .store import WeightStore
from .traffic import Call, create_models, draw_calls

__all__ = ["Run", "simulate"]

_REPORT_INTERVAL_S = 1.0
_FEED_LAG_S = 0.02
_SUSPICION_S = 3.0
_HOST_LEASE_S = 10.0
_REPLACEMENT_S = 120.0
_ADAPTER_LOAD_S = 0.005
_ADAPTER_RETRY_S = 0.02
_CALLER_RETRIES = 1
# After the traffic ends, calls under way get this long to finish.
_SETTLE_S = 900.0


class Run(NamedTuple):
    """What one run measured and which promises it broke."""

    measures: dict[str, Any]
    violations: dict[str, list[str]]


def simulate(
    scenario: Scenario,
    case: Case,
    faults: list[Fault],
    settings: PlannerSettings,
    seed: int,
) -> Run:
    """Run a case in virtual time.

    Args:
        scenario: The deployment.
        case: The traffic.
        faults: What breaks.
        settings: The planner's policies.
        seed: Traffic, caches and load durations depend on it alone.
    """
    return _Simulation(scenario, case, faults, settings, seed).run()


class _Simulation:
    def __init__(
        self,
        scenario: Scenario,
        case: Case,
        faults: list[Fault],
        settings: PlannerSettings,
        seed: int,
    ) -> None:
        self._scenario = scenario
        self._case = case
        self._clock = Clock()
        self._history: list[Event] = []
        self._models = create_models(scenario, Random(f"{seed} models"))
        self._calls = draw_calls(scenario, case, Random(f"{seed} calls"))
        self._caches = Random(f"{seed} caches")
        self._durations = Random(f"{seed} durations")
        self._measures = Measures(scenario, self._history.append)
        self._store = WeightStore(self._clock, scenario.store)
        self._by_key = {spec.key: spec for spec in self._models}
        self._control = Control(
            self._clock, self._by_key, settings, self._history.append, self._publish
        )
        self._hosts: dict[str, Host] = {}
        for _ in range(scenario.pool.hosts):
            self._add_host(seeded=case.cached)
        self._slots = AdapterSlots()
        routing = Random(f"{seed} routing")
        self._entries = [
            self._create_entry(number, routing) for number in range(scenario.entries)
        ]
        for fault in faults:
            self._clock.call_at(fault.at_s, self._break, fault)

    def run(self) -> Run:
        """Run the case and return its measures."""
        end = self._case.duration_s
        for call in self._calls:
            self._clock.call_at(call.at, self._arrive, call)
        self._clock.call_at(0.0, self._report_hosts)
        self._clock.call_at(0.5, self._report_entries)
        self._control.start()
        self._clock.run(end)
        for host in self._hosts.values():
            for held in host.replicas.values():
                host.count_idle(held)
        idle_s = self._measures.idle_s
        self._clock.run(end + _SETTLE_S)
        self._measures.idle_s = idle_s
        return Run(self._summarise(end), self._check(end))

    def _summarise(self, end: float) -> dict[str, Any]:
        control = self._control
        return {
            **self._measures.summarise(end),
            "replicas_decided": control.decided,
            "unloads": dict(sorted(control.unloads.items())),
            "reloads_within_60_s": _count_quick_reloads(self._history),
            "store_refusals": self._store.refused,
            "store_timeouts": self._store.timed_out,
            "store_most_at_once": self._store.most,
            "actions_rejected": control.rejected,
        }

    def _check(self, end: float) -> dict[str, list[str]]:
        memory = dict.fromkeys(self._hosts, self._scenario.pool.memory_mb)
        limits = Limits(memory, self._scenario.store.concurrent, end)
        return find_violations(self._history, limits)

    # Parts.

    def _add_host(self, *, seeded: bool) -> None:
        number = len(self._hosts)
        zones = self._scenario.zones
        host = Host(
            self._clock,
            self._scenario,
            f"host-{number:02d}",
            zones[number % len(zones)],
            store=self._store,
            models=self._by_key,
            random=self._durations,
            note=self._history.append,
            send=self._take_agent_report,
            release=self._measures.note_idle,
        )
        if seeded:
            checkpoints = [spec.checkpoint for spec in self._models]
            host.seed_caches(checkpoints, self._caches)
        self._hosts[host.name] = host

    def _create_entry(self, number: int, routing: Random) -> Entry:
        return Entry(
            self._clock,
            number,
            control=self._control,
            hosts=self._hosts,
            models=self._models,
            measures=self._measures,
            random=routing,
            load_adapter=self._load_adapter,
            retry=self._retry,
        )

    def _publish(self, record: ReplicaRecord) -> None:
        self._hosts[record.host].apply(record)
        for entry in self._entries:
            self._clock.call_in(_FEED_LAG_S, entry.on_record, record)

    def _take_agent_report(self, report: Any) -> None:
        if self._hosts[report.host].alive:
            self._control.take_report(report)

    def _report_hosts(self) -> None:
        for host in self._hosts.values():
            host.report()
        self._clock.call_in(_REPORT_INTERVAL_S, self._report_hosts)

    def _report_entries(self) -> None:
        for entry in self._entries:
            entry.report()
        self._clock.call_in(_REPORT_INTERVAL_S, self._report_entries)

    # Calls.

    def _arrive(self, call: Call) -> None:
        if not self._measures.note_arrival(call):
            return
        now = self._clock.now
        self._send(Attempt(call, now, now + call.deadline_s, _CALLER_RETRIES))

    def _retry(self, attempt: Attempt, delay: float) -> None:
        deadline = self._clock.now + delay + attempt.call.deadline_s
        again = attempt._replace(deadline=deadline, retries=attempt.retries - 1)
        self._clock.call_in(delay, self._send, again)

    def _send(self, attempt: Attempt) -> None:
        entries = self._entries
        number = attempt.call.entry
        while not entries[number % len(entries)].alive:
            number += 1
        entries[number % len(entries)].take(attempt)

    def _load_adapter(self, held: EngineReplica, adapter: str) -> float:
        """Return the delay until an adapter is loaded on a replica."""
        size = self._scenario.models.adapter_mb
        reservation = held.adapters
        if reservation.holds(adapter):
            reservation.touch(adapter)
            return 0.0
        if not reservation.admit(adapter, size):
            for gone in reservation.evict_for(size, lambda name: False):
                reservation.confirm_unloaded(gone)
            reservation.admit(adapter, size)
        grant = self._slots.request(held.record.host, 1, self._clock.now)
        if grant is None:
            return _ADAPTER_RETRY_S + _ADAPTER_LOAD_S
        self._clock.call_in(_ADAPTER_LOAD_S, self._slots.release, grant.number)
        return _ADAPTER_LOAD_S

    # Faults.

    def _break(self, fault: Fault) -> None:
        handlers = {
            "agent-killed": self._kill_agent,
            "store-slow": self._slow_store,
            "host-reclaimed": self._reclaim_host,
            "host-lost": self._lose_busiest,
            "entry-restarted": self._crash_entry,
        }
        handlers[fault.kind](fault)

    def _busiest(self) -> Host:
        """Return the host with the most loads under way, then the most replicas."""

        def rank(host: Host) -> tuple[int, int]:
            states = [held.state for held in host.replicas.values()]
            return states.count("loading"), len(states)

        alive = [host for host in self._hosts.values() if host.alive]
        return max(alive, key=rank)

    def _kill_agent(self, fault: Fault) -> None:
        host = self._busiest()
        host.kill_agent(fault.for_s)
        if fault.for_s > _SUSPICION_S:
            node = f"agent-{host.name}"
            self._clock.call_in(_SUSPICION_S, self._control.remove_node, node)

    def _slow_store(self, fault: Fault) -> None:
        self._store.set_capacity(fault.factor)
        self._clock.call_in(fault.for_s, self._store.set_capacity, 1.0)

    def _reclaim_host(self, fault: Fault) -> None:
        host = self._busiest()
        host.leaving = True
        host.report()
        self._clock.call_in(fault.for_s, self._lose, host)

    def _lose_busiest(self, fault: Fault) -> None:
        self._lose(self._busiest())

    def _lose(self, host: Host) -> None:
        host.lose()
        node = f"agent-{host.name}"
        self._clock.call_in(_SUSPICION_S, self._control.remove_node, node)
        self._clock.call_in(_HOST_LEASE_S, self._control.declare_lost, host.name)
        self._clock.call_in(_REPLACEMENT_S, self._replace_host)

    def _replace_host(self) -> None:
        self._add_host(seeded=False)

    def _crash_entry(self, fault: Fault) -> None:
        entry = max(self._entries, key=lambda e: e.name)
        entry.crash(fault.for_s)
        self._clock.call_in(_SUSPICION_S, self._control.remove_node, entry.name)


def _count_quick_reloads(history: list[Event]) -> int:
    """Count decisions within 60 s of the unload of the same model."""
    gone: dict[str, float] = {}
    found = 0
    for event in history:
        if event.kind == "freed":
            gone[event.model] = event.at
        elif event.kind == "decided" and event.at - gone.get(event.model, -1e9) < 60:
            found += 1
    return found
