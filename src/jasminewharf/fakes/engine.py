"""A stand-in for a model engine with an OpenAI-compatible interface.

Beside ``/v1/...`` it takes orders under ``/admin/...`` and publishes its state,
its load (with a lag) and its cache events (late and with gaps).
"""

import asyncio
import random
import time
from collections import Counter, deque
from typing import Any, NamedTuple

import h11

from ..decisions.prefixes import hash_prefixes, prefix_scope
from ..dialects.openai import read_prompt
from .batching import Batch, BatchConfig, Job, PrefixCache, expected_tokens
from .client import fetch
from .connection import Answer, Request, answer_json
from .models import ModelSpec, ModelTable, OrderRefused
from .orders import EngineOrders, Order
from .server import FakeServer, Handler

__all__ = ["EngineConfig", "FakeEngine", "ModelSpec"]

_BYTES_PER_TOKEN = 4
_JOBS_KEPT = 10_000
_DEFAULT_MAX_TOKENS = 16
_PRIORITIES = {"interactive": 0, "batch": 10}


class EngineConfig(NamedTuple):
    """Sizes and times of an engine; seconds and MB.

    ``command_token`` makes the engine refuse orders and calls that do not carry
    it in ``x-agent-token``. ``event_loss`` is the share of cache events lost.
    ``resume_grace_s`` is how long a call runs on without a reader.
    """

    name: str = "engine"
    memory_mb: int = 32_000
    check_fencing: bool = True
    command_token: str = ""
    load_memory_s: float = 0.05
    load_disk_s: float = 0.3
    load_remote_s: float = 0.3
    store_url: str = ""
    remote_fetch_s: float = 1.0
    load_lag_s: float = 0.5
    event_lag_s: float = 0.3
    event_loss: float = 0.05
    cache_blocks: int = 512
    resume_grace_s: float = 2.0
    batch: BatchConfig = BatchConfig()
    seed: int = 0


class FakeEngine(FakeServer):
    """The engine.

    Attributes:
        models: What is loaded, with counters of refused orders.
        runs: How often a call with a request id began to run.
    """

    def __init__(
        self, config: EngineConfig | None = None, specs: list[ModelSpec] | None = None
    ) -> None:
        super().__init__()
        self.config = config or EngineConfig()
        self.role = "both"
        self.runs: Counter[str] = Counter()
        self.jobs: dict[str, Job] = {}
        self._local_ids = 0
        source = random.Random(self.config.seed)
        self.models = ModelTable(
            specs if specs is not None else [ModelSpec("model")],
            self.config.memory_mb,
            self.config.check_fencing,
            {
                "memory": self.config.load_memory_s,
                "disk": self.config.load_disk_s,
                "remote": self.config.load_remote_s,
            },
            self._fetch_weights,
            self._wait,
        )
        self.cache = PrefixCache(
            self.config.cache_blocks,
            self.config.event_lag_s,
            lambda: source.random() < self.config.event_loss,
        )
        self.batch = Batch(
            self.config.batch, lambda: self.faults.slow, lambda: self.faults.stall
        )
        self._load_history: deque[tuple[float, dict[str, Any]]] = deque(maxlen=1000)
        self._sampler: asyncio.Task[None] | None = None
        self._graces: set[asyncio.Task[None]] = set()
        self._add_routes()

    def _add_routes(self) -> None:
        self.route("POST", "/v1/chat/completions", self._serve_chat)
        self.route("POST", "/v1/completions", self._serve_completion)
        self.route("GET", "/v1/models", self._serve_models)
        for path, order in EngineOrders(self).table.items():
            self.route("POST", path, self._build_order_handler(order))
        self.route("GET", "/admin/streams/", self._resume_stream)
        self.route("GET", "/admin/state", self._serve_state)
        self.route("GET", "/feeds/load", self._serve_load)
        self.route("GET", "/feeds/cache", self._serve_cache_events)
        self.route("GET", "/fake/runs", self._serve_runs)

    def count_repeated(self) -> dict[str, int]:
        """Return the request ids that ran more than once, with their counts."""
        return {name: count for name, count in self.runs.items() if count > 1}

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen and begin to record the load."""
        await super().start(host, port)
        self._sampler = asyncio.create_task(self._sample_load())

    async def kill(self) -> None:
        """Abort everything; models, calls and fencing numbers are lost."""
        if self._sampler is not None:
            self._sampler.cancel()
        for task in list(self._graces):
            task.cancel()
        self.batch.clear()
        self.models.clear()
        self.cache.restart()
        self.jobs.clear()
        self._load_history.clear()
        await super().kill()

    # Calls.

    async def _serve_chat(self, request: Request) -> Answer:
        return await self._serve_call(request, "chat")

    async def _serve_completion(self, request: Request) -> Answer:
        return await self._serve_call(request, "text")

    async def _serve_call(self, request: Request, kind: str) -> Answer:
        body = request.json()
        if not self._is_authorised(request):
            return answer_json(401, {"error": "unknown agent"})
        if not isinstance(body, dict):
            return answer_json(400, {"error": "the body is not an object"})
        try:
            job = self._begin(request, body, kind)
        except OrderRefused as refusal:
            error = {"message": refusal.reason, "type": "not_found"}
            return answer_json(refusal.status, {"error": error})
        except (AttributeError, TypeError, ValueError) as error:
            return answer_json(400, {"error": f"bad request: {error}"})
        if body.get("stream"):
            stream = self._read_with_grace(job, 0)
            return Answer(200, b"", "text/event-stream", stream)
        async for _ in self._read_with_grace(job, 0):
            pass
        return answer_json(200, job.build_answer())

    def _begin(self, request: Request, body: dict[str, Any], kind: str) -> Job:
        name, adapter = self._find_target(request, str(body.get("model", "")))
        prompt = read_prompt(body)
        max_tokens = int(body.get("max_tokens") or _DEFAULT_MAX_TOKENS)
        hashes = hash_prefixes(prefix_scope(name, adapter), prompt)
        cached = self.cache.use(hashes)
        prompt_tokens = max(1, len(prompt) // _BYTES_PER_TOKEN)
        cached_tokens = prompt_tokens * cached // max(1, len(hashes))
        request_id = request.headers.get("x-request-id", f"local-{self._local_ids}")
        self._local_ids += 1
        tokens = expected_tokens(
            name, adapter, prompt, max_tokens, bool(body.get("ignore_eos"))
        )
        job = Job(
            request_id,
            name,
            tokens,
            prompt_tokens,
            cached_tokens,
            kind,
            int(time.time()),
            bool(body.get("stream")),
        )
        self.runs[request_id] += 1
        self._keep(job)
        label = request.headers.get("x-priority", "interactive")
        self.batch.submit(job, _PRIORITIES.get(label, 0))
        return job

    def _find_target(self, request: Request, target: str) -> tuple[str, str]:
        """Return the base model and the adapter of a call."""
        adapter = request.headers.get("x-adapter", "")
        base = request.headers.get("x-base-model", target)
        model = self.models.models.get(base)
        if model is not None and not adapter:
            self.models.find(base)
            return base, ""
        for name, loaded in self.models.models.items():
            wanted = adapter or target
            if wanted in loaded.adapters and loaded.state == "loaded":
                return name, wanted
        raise OrderRefused(404, f"model or adapter {adapter or target!r} is not loaded")

    def _keep(self, job: Job) -> None:
        self.jobs[job.request_id] = job
        if len(self.jobs) > _JOBS_KEPT:
            oldest = next(iter(self.jobs))
            if self.jobs[oldest].done:
                del self.jobs[oldest]

    async def _read_with_grace(self, job: Job, offset: int) -> Any:
        try:
            async for data in job.read(offset):
                yield data
        finally:
            if not job.done:
                task = asyncio.create_task(self._cancel_unread(job))
                self._graces.add(task)
                task.add_done_callback(self._graces.discard)

    async def _cancel_unread(self, job: Job) -> None:
        await asyncio.sleep(self.config.resume_grace_s)
        if job.readers == 0:
            self.batch.cancel(job)

    async def _resume_stream(self, request: Request) -> Answer:
        job = self.jobs.get(request.path.removeprefix("/admin/streams/"))
        offset = int(request.query.get("offset", "0"))
        if not self._is_authorised(request):
            return answer_json(401, {"error": "unknown agent"})
        if job is None or job.cancelled or offset > len(job.output):
            return answer_json(404, {"error": "no such stream or offset"})
        stream = self._read_with_grace(job, offset)
        return Answer(200, b"", "text/event-stream", stream)

    # Orders.

    def _is_authorised(self, request: Request) -> bool:
        token = self.config.command_token
        return not token or request.headers.get("x-agent-token") == token

    def _build_order_handler(self, order: Order) -> Handler:
        async def handle(request: Request) -> Answer:
            if not self._is_authorised(request):
                return answer_json(401, {"error": "unknown agent"})
            try:
                return answer_json(200, await order(request.json()))
            except OrderRefused as refusal:
                return answer_json(refusal.status, {"error": refusal.reason})
            except (KeyError, TypeError, ValueError) as error:
                return answer_json(400, {"error": f"bad order: {error!r}"})

        return handle

    async def _wait(self, seconds: float) -> None:
        await asyncio.sleep(seconds * self.faults.slow)

    async def _fetch_weights(self, kind: str, name: str) -> None:
        if not self.config.store_url:
            if kind == "checkpoints":
                await self._wait(self.config.remote_fetch_s)
            return
        url = f"{self.config.store_url}/{kind}/{name}"
        try:
            status, _ = await fetch("GET", url)
        except h11.RemoteProtocolError as error:
            raise OrderRefused(502, "the weight store's answer was cut") from error
        if status != 200:
            raise OrderRefused(502, f"the weight store answered {status}")

    # State and feeds.

    async def _serve_models(self, request: Request) -> Answer:
        names = [
            name for name, item in self.models.models.items() if item.state == "loaded"
        ]
        data = [{"id": name, "object": "model"} for name in names]
        return answer_json(200, {"object": "list", "data": data})

    async def _serve_state(self, request: Request) -> Answer:
        models = [
            {
                "model": name,
                "version": model.version,
                "replica": model.replica,
                "state": model.state,
                "reason": model.reason,
                "memory_mb": model.spec.memory_mb,
                "adapters": sorted(model.adapters),
            }
            for name, model in self.models.models.items()
        ]
        return answer_json(
            200,
            {
                "name": self.config.name,
                "incarnation": self.incarnation,
                "role": self.role,
                "memory_mb": self.config.memory_mb,
                "used_mb": self.models.used_mb,
                "models": models,
                "cached": sorted(self.models.tiers.items()),
            },
        )

    async def _sample_load(self) -> None:
        last_tokens, last_at = self.batch.generated, time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            now, tokens = time.monotonic(), self.batch.generated
            rate = (tokens - last_tokens) / (now - last_at)
            last_tokens, last_at = tokens, now
            sample = {
                "running": len(self.batch.running),
                "queued": self.batch.waiting,
                "kv_used_tokens": self.batch.kv_used,
                "tokens_per_s": round(rate, 1),
            }
            self._load_history.append((now, sample))

    async def _serve_load(self, request: Request) -> Answer:
        horizon = time.monotonic() - self.config.load_lag_s
        shown = {"running": 0, "queued": 0, "kv_used_tokens": 0, "tokens_per_s": 0.0}
        for at, sample in self._load_history:
            if at > horizon:
                break
            shown = sample
        return answer_json(200, shown)

    async def _serve_cache_events(self, request: Request) -> Answer:
        after = int(request.query.get("after", "0"))
        events = self.cache.read_events(after, 1000)
        # A number beyond the last event is from before a restart: begin again.
        last = after if after <= self.cache.sequence else 0
        last = events[-1][0] if events else last
        return answer_json(200, {"events": events, "next": last})

    async def _serve_runs(self, request: Request) -> Answer:
        return answer_json(
            200,
            {
                "runs": self.runs,
                "repeated": self.count_repeated(),
                "overcommits": self.models.overcommits,
                "fence_refusals": self.models.fence_refusals,
                "load_counts": self.models.load_counts,
                "max_used_mb": self.models.max_used_mb,
            },
        )
