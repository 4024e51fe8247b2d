"""An entry's demand for models: who waits, and which agent is asked to load."""

import asyncio
import logging
from typing import Any, ClassVar, NamedTuple

from .. import defaults, events
from ..decisions.choice import choose_load_place
from ..decisions.configurations import ModelSpec, ServiceSpec
from ..decisions.directory import Server
from ..decisions.urgency import Wait, weigh_waits
from ..exceptions import ModelUnavailable
from ..kernel import Kernel, Service
from ..messages.servers import ModelUse, WantModel

__all__ = ["DemandService"]

_logger = logging.getLogger(__name__)


class _Waiter(NamedTuple):
    service: ServiceSpec
    model: str
    wait: Wait
    ready: asyncio.Future[None]


class DemandService(Service):
    """Keeps requests that wait for a model, and tells agents of demand and use."""

    name: ClassVar[str] = "demand"
    requires: ClassVar[tuple[str, ...]] = ("process", "view", "directory")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._directory = kernel.find("directory").directory
        self._waiters: list[_Waiter] = []
        self._changes: list[asyncio.Future[None]] = []
        self._asked: dict[str, tuple[float, str]] = {}
        self._begun: dict[str, dict[str, int]] = {}
        self._used: set[str] = set()
        self._metrics = kernel.find("process").metrics

    async def start(self) -> None:
        """Follow the directory."""
        self.kernel.find("directory").listen(self.review)
        self.spawn(self._repeat_forever(), essential=True)
        self.spawn(self._tell_use_forever(), essential=True)
        self._metrics.watch("waiting_requests", lambda: len(self._waiters))

    async def wait_change(self, deadline: float) -> None:
        """Wait until the directory changes or a little time has passed."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._changes.append(future)
        try:
            async with asyncio.timeout(defaults.CHANGE_WAIT_S):
                await future
        except TimeoutError:
            return
        finally:
            if future in self._changes:
                self._changes.remove(future)

    async def wait_model(self, job: Any) -> None:
        """Wait until an engine holds the job's model.

        Raises:
            ModelUnavailable: If it cannot be loaded before the deadline.
        """
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(
            job.service,
            job.call.model,
            Wait(job.started, job.route.target_s, job.deadline),
            future,
        )
        self._check(waiter, job.call.request_id)
        self._waiters.append(waiter)
        self._ask(waiter.service, waiter.model)
        try:
            await future
        finally:
            self._waiters.remove(waiter)

    def _check(self, waiter: _Waiter, request_id: str) -> None:
        """Refuse at once what no load can serve in time."""
        spec = _find_model(waiter.service, waiter.model)
        if spec is None:
            raise ModelUnavailable(
                f"the service has no model {waiter.model!r}",
                retry_after_ms=defaults.MODEL_RETRY_MS,
            )
        place = self._choose_place(waiter.service, spec)
        ready_s = place.ready_s if place else 0.0
        left_s = waiter.wait.deadline - _now()
        events.emit(
            _logger,
            events.REQUEST_WAITS,
            request_id=request_id,
            model=waiter.model,
            ready_ms=int(ready_s * defaults.MS_PER_S),
            left_ms=int(left_s * defaults.MS_PER_S),
            server=place.server.name if place else "",
            list_age_ms=int((_now() - self._directory.list_at) * defaults.MS_PER_S),
        )
        if ready_s > left_s:
            raise ModelUnavailable(
                "the model cannot be loaded in time",
                retry_after_ms=int(ready_s * defaults.MS_PER_S),
            )

    def _choose_place(self, service: ServiceSpec, spec: ModelSpec) -> Any:
        now = _now()
        waiting = sum(1 for waiter in self._waiters if waiter.model == spec.name)
        servers = [
            server
            for server in self._directory.in_service(service.name)
            if not server.listed.is_leaving
            and server.report is not None
            and now - server.report_at <= defaults.AGENT_FRESH_S
        ]
        place = choose_load_place(servers, spec, waiting, now)
        is_remote = place is not None and place.ready_s >= spec.remote_s
        # An engine whose agent is just starting may have a copy at hand.
        if is_remote and self._directory.unheard(
            service.name, now, defaults.AGENT_FRESH_S
        ):
            return None
        return place

    def review(self) -> None:
        """Let requests go on whose model is held, and ask again for the others."""
        changes, self._changes = self._changes, []
        for change in changes:
            if not change.done():
                change.set_result(None)
        now = _now()
        wanted: dict[str, ServiceSpec] = {}
        for waiter in self._waiters:
            servers = self._directory.in_service(waiter.service.name)
            is_held = any(
                not s.listed.is_leaving
                and s.holds(waiter.model, now, defaults.AGENT_FRESH_S)
                for s in servers
            )
            if not is_held:
                wanted[waiter.model] = waiter.service
            elif not waiter.ready.done():
                waiter.ready.set_result(None)
        for model, service in wanted.items():
            self._ask(service, model)

    def _ask(self, service: ServiceSpec, model: str) -> None:
        """Ask the agent where the model is ready first to load it."""
        spec = _find_model(service, model)
        place = self._choose_place(service, spec) if spec else None
        if place is None:
            return
        asked_at, asked = self._asked.get(model, (float("-inf"), ""))
        if asked == place.server.name and _now() - asked_at < defaults.WANT_REPEAT_S:
            return
        waits = [w.wait for w in self._waiters if w.model == model]
        urgency = weigh_waits(waits, place.ready_s, _now())
        want = WantModel(model, len(waits), urgency)
        if self.kernel.find("directory").send_to_agent(place.server, want):
            self._asked[model] = (_now(), place.server.name)

    async def _repeat_forever(self) -> None:
        while True:
            await asyncio.sleep(defaults.WANT_REPEAT_S)
            if self._waiters:
                self.review()

    # Use of the engines.

    def note_begun(self, server: Server, model: str, adapter: str) -> None:
        """Count a request that begins at an engine."""
        if not model:
            return
        begun = self._begun.setdefault(server.name, {})
        names = (model, f"{model}/{adapter}") if adapter else (model,)
        for name in names:
            begun[name] = begun.get(name, 0) + 1
        self._used.add(server.name)

    def note_ended(self, server: Server) -> None:
        """Note that a request has ended at a server."""
        self._used.add(server.name)

    async def _tell_use_forever(self) -> None:
        while True:
            await asyncio.sleep(defaults.USE_INTERVAL_S)
            names, self._used = self._used, set()
            for name in names:
                server = self._directory.servers.get(name)
                if server is None:
                    self._begun.pop(name, None)
                    continue
                begun = self._begun.pop(name, {})
                used = {**dict.fromkeys(begun, 0), **server.own_by_model}
                uses = [(m, n, begun.get(m, 0)) for m, n in used.items()]
                self.kernel.find("directory").send_to_agent(server, ModelUse(uses))


def _find_model(service: ServiceSpec, model: str) -> ModelSpec | None:
    if service.engine is None:
        return None
    return next((m for m in service.engine.models if m.name == model), None)


def _now() -> float:
    return asyncio.get_running_loop().time()
