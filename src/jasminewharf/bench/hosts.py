"""Engine hosts of a virtual-time run: the engine, its caches and the agent."""

from collections import OrderedDict
from collections.abc import Callable
from random import Random

from .. import defaults
from ..decisions.adapters import AdapterReservation
from ..decisions.inventory import ModelKey, ModelSpec, ReplicaRecord
from ..messages.feed import BackendReport, NodeReport, ReplicaReport
from .clock import Clock
from .engines import BatchServer
from .history import Event
from .scenario import Scenario
from .store import WeightStore

__all__ = ["EngineReplica", "Host"]

_FEED_LAG_S = 0.02
_REPORT_LAG_S = 0.05
# Spread of a load's duration around the estimate.
_LOAD_SPREAD = 0.1
# A new agent waits this long, so that no command of the last one can arrive.
_FENCE_WAIT_S = 2.0


class EngineReplica:
    """A replica in an engine."""

    def __init__(self, record: ReplicaRecord, spec: ModelSpec, server: BatchServer):
        self.record = record
        self.spec = spec
        self.server = server
        self.state = "loading"
        self.adapters = AdapterReservation(spec.adapters_mb)
        self.idle_since = 0.0


class Host:
    """A host with one engine and one agent.

    Args:
        clock: Virtual time.
        scenario: Sizes.
        name: The host's name.
        zone: Its zone.
        store: The weight store.
        models: The models by key.
        random: Source of load durations.
        note: Receives history events.
        send: Receives the agent's reports.
        release: Told the idle accelerator seconds of replicas.
    """

    def __init__(
        self,
        clock: Clock,
        scenario: Scenario,
        name: str,
        zone: str,
        *,
        store: WeightStore,
        models: dict[ModelKey, ModelSpec],
        random: Random,
        note: Callable[[Event], None],
        send: Callable[[NodeReport], None],
        release: Callable[[float], None],
    ) -> None:
        self.clock = clock
        self.name = name
        self.zone = zone
        self.alive = True
        self.agent_alive = True
        self.leaving = False
        self.replicas: dict[int, EngineReplica] = {}
        self.disk: OrderedDict[str, None] = OrderedDict()
        self.memory: OrderedDict[str, None] = OrderedDict()
        self._scenario = scenario
        self._store = store
        self._models = models
        self._random = random
        self._note = note
        self._send = send
        self._release = release
        self._sequence = 0
        self._incarnation = 1
        self._sent: tuple | None = None
        self._generated = 0.0
        self._generated_at = 0.0
        self._records: dict[int, ReplicaRecord] = {}

    # The feed from the log.

    def apply(self, record: ReplicaRecord) -> None:
        """Take over a record of this host, after the feed's lag."""
        self._records[record.replica] = record
        self.clock.call_in(_FEED_LAG_S, self._act, record.replica)

    def _act(self, number: int) -> None:
        if not (self.alive and self.agent_alive):
            return
        record = self._records[number]
        held = self.replicas.get(number)
        if record.phase == "ordered" and held is None:
            self._load(record)
        elif record.phase == "unloading" and held is not None:
            self._unload_when_idle(held)
        elif record.phase == "failed" and held is not None:
            held.state = "gone"
            self.report()
        elif record.phase == "gone":
            self.replicas.pop(number, None)
            del self._records[number]

    def _load(self, record: ReplicaRecord) -> None:
        spec = self._models[record.key]
        server = BatchServer(self.clock, spec, self._scenario.models.batch)
        held = EngineReplica(record, spec, server)
        self.replicas[record.replica] = held
        tier = self.tier(spec.checkpoint)
        if tier == "remote" and record.from_tier != "remote":
            # The checkpoint has left the cache; loading it would take a slot of
            # the store that nobody granted.
            self._fail(held, "checkpoint not cached")
            return
        held.idle_since = self.clock.now
        self._note_load("load-started", held, record.from_tier)
        seconds = defaults.LOAD_BASE_S
        seconds += defaults.LOAD_S_PER_GB[tier] * spec.weights_mb / 1024
        seconds *= self._random.uniform(1 - _LOAD_SPREAD, 1 + _LOAD_SPREAD)
        if record.from_tier == "remote":
            self._store.start(seconds, lambda ok: self._end_load(held, ok))
        else:
            self.clock.call_in(seconds, self._end_load, held, True)

    def _end_load(self, held: EngineReplica, ok: bool) -> None:
        if not self.alive:
            return
        self._note_load("load-ended", held)
        if not ok:
            self._release((self.clock.now - held.idle_since) * held.spec.accelerators)
            self._note_load("freed", held)
            self._fail(held, "weight store")
            return
        held.state = "loaded"
        self._keep(
            self.disk, held.spec.checkpoint, self._scenario.pool.disk_checkpoints
        )
        self.report()

    def _fail(self, held: EngineReplica, reason: str) -> None:
        held.state = f"failed:{reason}"
        self.report()

    def _unload_when_idle(self, held: EngineReplica) -> None:
        if not self.alive or held.state not in ("loaded", "draining"):
            return
        held.state = "draining"
        if held.server.unfinished:
            self.clock.call_in(0.2, self._unload_when_idle, held)
            return
        held.state = "unloading"
        self.clock.call_in(defaults.UNLOAD_S, self._end_unload, held)

    def _end_unload(self, held: EngineReplica) -> None:
        if not self.alive:
            return
        self.count_idle(held)
        held.state = "gone"
        keep = self._scenario.pool.memory_checkpoints
        self._keep(self.memory, held.spec.checkpoint, keep)
        self._note_load("freed", held)
        self.report()

    def count_idle(self, held: EngineReplica) -> None:
        """Account for the idle time of a replica up to now.

        Loading and unloading count: the accelerator serves nobody meanwhile.
        """
        if held.state in ("loaded", "draining", "unloading"):
            if not held.server.unfinished:
                idle = self.clock.now - held.idle_since
                self._release(idle * held.spec.accelerators)
            held.idle_since = self.clock.now

    # Caches.

    def tier(self, checkpoint: str) -> str:
        """Return where a checkpoint is cached."""
        if checkpoint in self.memory:
            return "memory"
        return "disk" if checkpoint in self.disk else "remote"

    def _keep(self, cache: OrderedDict[str, None], checkpoint: str, most: int) -> None:
        cache[checkpoint] = None
        cache.move_to_end(checkpoint)
        while len(cache) > most:
            cache.popitem(last=False)

    def seed_caches(self, checkpoints: list[str], random: Random) -> None:
        """Fill the disk cache with a random part of the checkpoints."""
        most = self._scenario.pool.disk_checkpoints
        for checkpoint in random.sample(checkpoints, min(most, len(checkpoints) // 4)):
            self._keep(self.disk, checkpoint, most)

    # The agent's reports.

    def report(self) -> None:
        """Send a report if the agent runs."""
        if not (self.alive and self.agent_alive):
            return
        self._sequence += 1
        backend = self._describe_backend()
        content = (backend, self.leaving, self._incarnation)
        if content == self._sent:
            return
        self._sent = content
        report = NodeReport(
            f"agent-{self.name}",
            "agent",
            self.name,
            self.zone,
            self._incarnation,
            self._sequence,
            0,
            self.name,
            self._scenario.pool.memory_mb,
            self.leaving,
            [backend],
            [],
        )
        self.clock.call_in(_REPORT_LAG_S, self._send, report)

    def _describe_backend(self) -> BackendReport:
        servers = [held.server for held in self.replicas.values()]
        generated = sum(server.generated for server in servers)
        elapsed = max(0.5, self.clock.now - self._generated_at)
        rate = max(0.0, generated - self._generated) / elapsed
        if self.clock.now - self._generated_at >= defaults.REPORT_INTERVAL_S:
            self._generated, self._generated_at = generated, self.clock.now
        cached = [(name, "disk") for name in self.disk if name not in self.memory]
        cached += [(name, "memory") for name in self.memory]
        return BackendReport(
            f"engine-{self.name}",
            self._scenario.pool.name,
            "virtual",
            True,
            sum(server.running for server in servers),
            sum(server.queued for server in servers),
            sum(server.queued_tokens for server in servers),
            round(rate),
            [self._describe(number, held) for number, held in self.replicas.items()],
            cached,
        )

    def _describe(self, number: int, held: EngineReplica) -> ReplicaReport:
        state, _, reason = held.state.partition(":")
        shown = {"draining": "loaded", "unloading": "loaded"}.get(state, state)
        return ReplicaReport(number, held.spec.model, shown, reason)

    # Faults.

    def kill_agent(self, for_s: float) -> None:
        """Kill the agent: calls end, the engine and its loads continue."""
        self.agent_alive = False
        for held in self.replicas.values():
            self.count_idle(held)
            held.server.abort()
        self.clock.call_in(for_s + _FENCE_WAIT_S, self._start_agent)

    def _start_agent(self) -> None:
        if not self.alive:
            return
        self.agent_alive = True
        self._incarnation += 1
        self._sequence = 0
        self.report()
        for number in list(self._records):
            self._act(number)

    def lose(self) -> None:
        """Lose the host with everything on it."""
        self.alive = False
        self._note(Event(self.clock.now, "host-lost", 0, host=self.name))
        for held in self.replicas.values():
            self.count_idle(held)
            held.server.abort()
        self.replicas.clear()

    def _note_load(self, kind: str, held: EngineReplica, tier: str = "") -> None:
        record = held.record
        self._note(
            Event(
                self.clock.now,
                kind,
                record.replica,
                record.model,
                self.name,
                record.memory_mb,
                tier,
            )
        )
