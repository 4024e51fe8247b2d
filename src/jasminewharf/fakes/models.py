"""Models, adapters, memory and fencing numbers of the stand-in engine."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

__all__ = ["LoadedModel", "ModelSpec", "ModelTable", "OrderRefused"]


class ModelSpec(NamedTuple):
    """A model that the engine can load.

    ``memory_mb`` covers weights and KV cache; ``tier`` is where the checkpoint is
    cached at the start: memory, disk or remote.
    """

    name: str
    memory_mb: int = 8_000
    tier: str = "remote"


class LoadedModel:
    """A model that is loading, loaded or failed."""

    def __init__(self, spec: ModelSpec, version: str, replica: int) -> None:
        self.spec = spec
        self.version = version
        self.replica = replica
        self.state = "loading"
        self.reason = ""
        self.adapters: dict[str, int] = {}


class OrderRefused(Exception):
    """The engine did not take an order; ``status`` is the HTTP status."""

    def __init__(self, status: int, reason: str) -> None:
        self.status = status
        self.reason = reason
        super().__init__(reason)


Fetch = Callable[[str, str], Awaitable[None]]


class ModelTable:
    """What is loaded, and the orders that change it.

    Fencing numbers rise per model: an order below the highest number seen for
    its model is refused, and so is a load with the number of a replica that was
    unloaded. With ``check_fencing`` off the numbers are ignored, as some engines
    do, and a late load takes effect.

    Args:
        specs: The models that can be loaded.
        memory_mb: The engine's memory.
        check_fencing: Whether fencing numbers are checked.
        load_s: Seconds of a load by tier, apart from the store's time.
        fetch: Fetches a checkpoint or an adapter (kind, name) from the store.
        wait: Waits for a number of seconds times the current slow-down.

    Attributes:
        overcommits: Loads refused for lack of memory.
        fence_refusals: Orders refused because of their number.
        load_counts: Completed loads per model.
        max_used_mb: Most memory in use at once.
    """

    def __init__(
        self,
        specs: list[ModelSpec],
        memory_mb: int,
        check_fencing: bool,
        load_s: dict[str, float],
        fetch: Fetch,
        wait: Callable[[float], Awaitable[None]],
    ) -> None:
        self.specs = {spec.name: spec for spec in specs}
        self.memory_mb = memory_mb
        self.check_fencing = check_fencing
        self.models: dict[str, LoadedModel] = {}
        self.tiers = {spec.name: spec.tier for spec in specs}
        self.overcommits = 0
        self.fence_refusals = 0
        self.load_counts: dict[str, int] = {}
        self.max_used_mb = 0
        self._load_s = load_s
        self._fetch = fetch
        self._wait = wait
        self._fences: dict[str, int] = {}
        self._unloaded: set[tuple[str, int]] = set()
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def used_mb(self) -> int:
        """Memory reserved by models that are loading or loaded."""
        return sum(
            model.spec.memory_mb
            for model in self.models.values()
            if model.state != "failed"
        )

    def load(self, name: str, version: str, replica: int) -> LoadedModel:
        """Begin a load; a repeated order returns the model as it is."""
        spec = self._find_spec(name)
        self._check_fence(name, replica)
        if self.check_fencing and (name, replica) in self._unloaded:
            self.fence_refusals += 1
            raise OrderRefused(409, "stale fencing number")
        known = self.models.get(name)
        if known is not None and known.state != "failed":
            if known.replica == replica or not self.check_fencing:
                return known
            raise OrderRefused(409, f"replica {known.replica} is loaded")
        if self.used_mb + spec.memory_mb > self.memory_mb:
            self.overcommits += 1
            raise OrderRefused(507, "out of memory")
        model = LoadedModel(spec, version, replica)
        self.models[name] = model
        self.max_used_mb = max(self.max_used_mb, self.used_mb)
        self._tasks[name] = asyncio.create_task(self._load(model))
        return model

    def unload(self, name: str, replica: int) -> None:
        """Unload a model; its checkpoint stays in host memory."""
        self._find_spec(name)
        self._check_fence(name, replica)
        self._unloaded.add((name, replica))
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
        model = self.models.pop(name, None)
        if model is not None and model.state == "loaded":
            self.tiers[name] = "memory"

    async def change_version(self, name: str, version: str, replica: int) -> None:
        """Load another version of a model's weights in its place."""
        model = self.find(name)
        self._check_fence(name, replica)
        await self._wait(self._load_s["disk"])
        model.version = version

    async def load_adapter(self, name: str, adapter: str, replica: int) -> None:
        """Load an adapter on its base model's replica."""
        model = self.find(name)
        self._check_fence(name, replica)
        if adapter not in model.adapters:
            await self._fetch("adapters", adapter)
            model.adapters[adapter] = replica

    def unload_adapter(self, name: str, adapter: str, replica: int) -> None:
        """Unload an adapter."""
        model = self.find(name)
        self._check_fence(name, replica)
        model.adapters.pop(adapter, None)

    def find(self, name: str) -> LoadedModel:
        """Return a loaded model.

        Raises:
            OrderRefused: With 404 if it is not loaded.
        """
        model = self.models.get(name)
        if model is None or model.state != "loaded":
            raise OrderRefused(404, f"model {name!r} is not loaded")
        return model

    def check_role_fence(self, fence: int) -> None:
        """Refuse a role order below the highest number seen for roles."""
        self._check_fence("", fence)

    def clear(self) -> None:
        """Lose what a crash loses: memory, fencing numbers and loads."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        self.models.clear()
        self._fences.clear()
        self._unloaded.clear()
        for name, tier in self.tiers.items():
            if tier == "memory":
                self.tiers[name] = "disk"

    def _find_spec(self, name: str) -> ModelSpec:
        if name not in self.specs:
            raise OrderRefused(404, f"model {name!r} is unknown")
        return self.specs[name]

    def _check_fence(self, name: str, fence: int) -> None:
        if not self.check_fencing:
            return
        if fence < self._fences.get(name, 0):
            self.fence_refusals += 1
            raise OrderRefused(409, "stale fencing number")
        self._fences[name] = fence

    async def _load(self, model: LoadedModel) -> None:
        name = model.spec.name
        tier = self.tiers[name]
        try:
            if tier == "remote":
                await self._fetch("checkpoints", name)
                self.tiers[name] = "disk"
            await self._wait(self._load_s[tier])
        except (OSError, OrderRefused) as error:
            model.state = "failed"
            model.reason = str(error) or type(error).__name__
            return
        model.state = "loaded"
        self.load_counts[name] = self.load_counts.get(name, 0) + 1
