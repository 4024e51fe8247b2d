"""Runs a trial: load, faults, evidence, checks and a report."""

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from .. import defaults
from ..exceptions import JasminewharfError, TrialError
from ..fakes.engine import ModelSpec
from ..interfaces.operator import OperatorClient
from ..registry import lookup
from .callers import CallerKey, TrialCallers
from .checks import Charge, Evidence, Fault, check_all
from .cluster import Cluster, ClusterSpec, ProcessUsage
from .faults import FAULTS

__all__ = ["Trial", "TrialOptions", "run_trial"]

_SAMPLE_S = 0.1
_SETTLE_S = 1.0
_USAGE_SAMPLE_S = 5.0
# No fault begins this close to the end, so that what it broke is answered.
_LAST_FAULT_S = 8.0
_NS_PER_S = 1_000_000_000
_US_PER_S = 1_000_000

_MODEL_DOCUMENT = """\
service: translation
kind: model
pool: lingua-pool
models:
{models}
workspaces:
{workspaces}
"""
_MODEL_ITEM = """\
  - name: {name}
    checkpoint: {name}
    memory_mb: {memory_mb}
    max_replicas: {max_replicas}
"""
_DESK_DOCUMENT = """\
service: desk
kind: plain
pool: order-desk
routes:
  - {{path: /orders, methods: [POST], idempotent: false, cost_tokens: 10}}
  - {{path: /menu, methods: [GET]}}
  - {{path: /open, methods: [GET], open: true}}
workspaces:
{workspaces}
"""
_WORKSPACE_ITEM = """\
  - {{workspace: {name}, rate_tokens_per_s: {rate}, burst_tokens: {burst}}}
"""


class TrialOptions(NamedTuple):
    """What a trial does.

    Attributes:
        seed: Seed of calls and faults.
        duration_s: How long calls are started.
        callers: Concurrent callers.
        models: Number of models.
        workspaces: Number of workspaces.
        rate: Tokens per second of each workspace.
        burst: Burst of each workspace in tokens.
        faults: Names of faults, done one after the other.
        pairs: Whether two faults are done at once.
        fault_every_s: If positive, a random one of the faults is done at this
            interval until the end, instead of each once.
        spec: The deployment.
    """

    seed: int = 1
    duration_s: float = 10.0
    callers: int = 12
    models: int = 4
    workspaces: int = 3
    rate: int = 20_000
    burst: int = 60_000
    faults: tuple[str, ...] = ()
    pairs: bool = False
    fault_every_s: float = 0.0
    spec: ClusterSpec = ClusterSpec()


class Trial:
    """A running deployment with documents and keys, and what happens to it.

    Attributes:
        cluster: The processes.
        callers: The callers, once set up.
        keys: A key per workspace.
    """

    def __init__(self, options: TrialOptions, folder: Path) -> None:
        self.options = options
        models = tuple(
            ModelSpec(f"model-{n}", 8_000, "disk") for n in range(options.models)
        )
        self.cluster = Cluster(options.spec._replace(models=models), folder)
        self.callers = TrialCallers(self.cluster.entry_addresses, options.seed)
        self.keys: list[CallerKey] = []
        self.faults: list[Fault] = []
        self.withdrawals: dict[str, float] = {}
        self.drains: dict[str, float] = {}
        self._samples: list[list[tuple[str, str, int]]] = []
        self._versions: dict[str, list[tuple[int, int, int]]] = {}
        self.usage: dict[str, list[ProcessUsage]] = {}
        self._random = Random(options.seed)

    async def set_up(self) -> None:
        """Start the processes, submit the documents and grant the keys."""
        await self.cluster.start()
        options = self.options
        names = [f"workspace-{n}" for n in range(options.workspaces)]
        workspaces = "".join(
            _WORKSPACE_ITEM.format(name=name, rate=options.rate, burst=options.burst)
            for name in names
        )
        models = "".join(
            _MODEL_ITEM.format(name=f"model-{n}", memory_mb=8_000, max_replicas=2)
            for n in range(options.models)
        )
        documents = {
            "translation": _MODEL_DOCUMENT.format(models=models, workspaces=workspaces),
            "desk": _DESK_DOCUMENT.format(workspaces=workspaces),
        }
        async with OperatorClient(self.cluster.tool_settings) as operator:
            for service, body in documents.items():
                await operator.submit_document(service, 0, body, "trial")
            for name in names:
                key_id, key = await operator.grant_key(name, self.cluster.hash_secret)
                self.keys.append(CallerKey(name, key_id, key))
        await asyncio.sleep(_SETTLE_S)

    async def run(self) -> None:
        """Call and break things for the trial's duration."""
        watchers = [
            asyncio.create_task(self._sample_processes()),
            asyncio.create_task(self._sample_engines()),
            asyncio.create_task(self._sample_versions()),
        ]
        loop = asyncio.get_running_loop()
        end = loop.time() + self.options.duration_s
        callers = [self._call_until(end, n) for n in range(self.options.callers)]
        if self.options.fault_every_s > 0:
            faults = self._break_until(end)
        else:
            faults = self._break_things()
        await asyncio.gather(faults, *callers)
        for watcher in watchers:
            watcher.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)
        await asyncio.sleep(_SETTLE_S)
        if not self._versions or not self._samples:
            raise TrialError("nothing was sampled, so nothing can be checked")

    async def _call_until(self, end: float, number: int) -> None:
        random = Random(self.options.seed * 1000 + number)
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            key = self.keys[random.randrange(len(self.keys))]
            await self._call_once(random, key)
            await asyncio.sleep(random.uniform(0.0, 0.1))

    async def _call_once(self, random: Random, key: CallerKey) -> None:
        draw = random.random()
        model = f"model-{random.randrange(self.options.models)}"
        if draw < 0.35:
            await self.callers.chat(key, model)
        elif draw < 0.6:
            await self.callers.chat(key, model, stream=True, max_tokens=30)
        elif draw < 0.9:
            await self.callers.order(key, "desk")
        else:
            await self.callers.read(key, "desk", "/menu")

    async def _break_things(self) -> None:
        names = list(self.options.faults)
        if self.options.pairs:
            while len(names) > 1:
                await asyncio.sleep(_SETTLE_S)
                first, second = names.pop(0), names.pop(0)
                await asyncio.gather(self._break(first), self._break(second))
        for name in names:
            await asyncio.sleep(_SETTLE_S)
            await self._break(name)

    async def _break_until(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        names = self.options.faults or tuple(sorted(FAULTS))
        while loop.time() < end - _LAST_FAULT_S:
            await asyncio.sleep(self.options.fault_every_s)
            await self._break(names[self._random.randrange(len(names))])

    async def _sample_processes(self) -> None:
        """Sample memory and open files of every process."""
        while True:
            for node in self.cluster.nodes:
                usage = self.cluster.read_usage(node)
                if usage is not None:
                    self.usage.setdefault(node, []).append(usage)
            await asyncio.sleep(_USAGE_SAMPLE_S)

    async def _break(self, name: str) -> None:
        self.faults += await lookup(FAULTS, name)(self.cluster, self._random)

    async def _sample_engines(self) -> None:
        while True:
            sample = [
                (engine.config.name, name, model.replica)
                for engine in self.cluster.engines.values()
                for name, model in engine.models.models.items()
            ]
            self._samples.append(sample)
            await asyncio.sleep(_SAMPLE_S)

    async def _sample_versions(self) -> None:
        async with OperatorClient(self.cluster.tool_settings) as operator:
            while True:
                try:
                    status = await operator.fetch_status()
                except JasminewharfError:
                    await asyncio.sleep(_SAMPLE_S)
                    continue
                for node in status["nodes"]:
                    sample = (node["incarnation"], node["sequence"], node["version"])
                    self._versions.setdefault(node["node"], []).append(sample)
                await asyncio.sleep(_SAMPLE_S * 3)

    def collect(self) -> Evidence:
        """Return all evidence."""
        options = self.options
        engines, desks = self.cluster.engines, self.cluster.desks
        orders = Counter(o.order for desk in desks.values() for o in desk.orders)
        runs: Counter[str] = Counter()
        for engine in engines.values():
            runs.update(engine.runs)
        limits = {
            f"{service}/{key.workspace}": (options.rate, options.burst)
            for key in self.keys
            for service in ("translation", "desk")
        }
        return Evidence(
            records=self.callers.records,
            faults=self.faults,
            seen={host: fake.seen for host, fake in {**engines, **desks}.items()},
            order_runs=orders,
            engine_runs=runs,
            overcommits=sum(e.models.overcommits for e in engines.values()),
            replica_samples=self._samples,
            decided_limit={f"model-{n}": 2 for n in range(options.models)},
            withdrawals=self.withdrawals,
            drains=self.drains,
            charges=self._read_charges(),
            limits=limits,
            versions=self._versions,
        )

    def _read_charges(self) -> list[Charge]:
        """Return charges from the entries' traces, at the callers' true cost."""
        costs = {r.request_id: r.tokens for r in self.callers.records if r.tokens}
        charges = []
        for path in self.cluster.folder.glob("entry-*.traces.jsonl"):
            for line in path.read_text(encoding="utf-8").splitlines():
                span = json.loads(line)
                charge = _read_charge(span, costs)
                if charge is not None:
                    charges.append(charge)
        if costs and not charges:
            raise TrialError("no charge was traced, so rates cannot be checked")
        return charges


def _read_charge(span: dict[str, Any], costs: dict[str, int]) -> Charge | None:
    fields = {a["key"]: a["value"]["stringValue"] for a in span["attributes"]}
    tokens = costs.get(fields.get("request_id", ""), 0)
    if "charged_at_ns" not in fields or not tokens:
        return None
    at = int(fields["charged_at_ns"]) / _NS_PER_S
    return Charge(fields["account"], at, tokens, fields["request_id"])


async def run_trial(
    options: TrialOptions,
    folder: Path,
    act: Callable[[Trial], Awaitable[None]] | None = None,
) -> dict[str, Any]:
    """Run a trial and return its report.

    Args:
        options: What to do.
        folder: Where settings, logs and state go.
        act: Called instead of the usual load and faults.
    """
    trial = Trial(options, folder)
    try:
        await trial.set_up()
        await (act(trial) if act else trial.run())
        # The entries' last spans are written at intervals.
        await asyncio.sleep(_SETTLE_S + 2 * defaults.SPAN_WRITE_INTERVAL_S)
        evidence = trial.collect()
    finally:
        await trial.cluster.stop()
    return {**summarise(options, evidence), "usage": _summarise_usage(trial.usage)}


def _summarise_usage(
    usage: dict[str, list[ProcessUsage]],
) -> dict[str, dict[str, float]]:
    """Return the growth of each node's longest process life."""
    growth = {}
    for node, samples in usage.items():
        pids = Counter(sample.pid for sample in samples)
        longest = pids.most_common(1)[0][0]
        life = [sample for sample in samples if sample.pid == longest]
        first, last = life[len(life) // 4], life[-1]
        growth[node] = {
            "seconds": round(last.at - first.at, 1),
            "resident_mb_first": first.resident_mb,
            "resident_mb_last": last.resident_mb,
            "resident_mb_highest": max(sample.resident_mb for sample in life),
            "files_first": first.files,
            "files_last": last.files,
        }
    return growth


def summarise(options: TrialOptions, evidence: Evidence) -> dict[str, Any]:
    """Return the report of a trial: counts, latencies and violations."""
    outcomes: Counter[str] = Counter()
    latency = HdrHistogram(1, 600 * _US_PER_S, 3)
    for record in evidence.records:
        outcomes[record.error or str(record.status)] += 1
        if record.whole:
            latency.record_value(int((record.ended - record.started) * _US_PER_S))
    return {
        "seed": options.seed,
        "faults": [fault._asdict() for fault in evidence.faults],
        "calls": len(evidence.records),
        "outcomes": dict(outcomes.most_common()),
        "orders_run": len(evidence.order_runs),
        "latency_ms": {
            name: latency.get_value_at_percentile(q) / 1000
            for name, q in (("p50", 50), ("p95", 95), ("p99", 99), ("max", 100))
        },
        "violations": check_all(evidence),
    }
