"""An entry's demand for models: who waits, and which agent is asked to load."""

import asyncio
import contextlib
import logging
from collections.abc import Iterator
from math import inf
from typing import Any, ClassVar, NamedTuple

from .. import defaults, events
from ..decisions.configurations import ModelSpec, ServiceSpec
from ..decisions.directory import Server
from ..decisions.serverselection import (
    LoadPlacement,
    RequestBacklog,
    choose_load_placement,
    split_by_limit,
    sum_urgency,
)
from ..decisions.urgency import (
    WaitingRequest,
    is_expected_too_late,
    weigh_refused_callers,
    weigh_waiting_requests,
)
from ..exceptions import ModelUnavailable
from ..kernel import Kernel, Service
from ..messages.servers import ModelUse, WantModel

__all__ = ["DemandService"]

_logger = logging.getLogger(__name__)


# A model, with the homes of the requests for it where they are confined to some.
_Key = str | tuple[str, frozenset[str]]


class _Waiter(NamedTuple):
    service: ServiceSpec
    model: str
    wait: WaitingRequest
    ready: asyncio.Future[None]
    may_return: bool = True
    deadline: float = inf

    @property
    def key(self) -> _Key:
        return _build_key(self.service, self.model)


class _Returning(NamedTuple):
    """A caller that was told to come back, and until when it counts."""

    service: ServiceSpec
    until: float


class _Missed(NamedTuple):
    """A model that callers were refused for, since when and until when it counts."""

    service: ServiceSpec
    since: float
    until: float


class DemandService(Service):
    """Keeps requests that wait for a model, and tells agents of demand and use."""

    name: ClassVar[str] = "demand"
    requires: ClassVar[tuple[str, ...]] = ("process", "view", "directory")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._directory = kernel.find("directory").directory
        self._waiters: list[_Waiter] = []
        self._changes: list[asyncio.Future[None]] = []
        self._returning: dict[_Key, list[_Returning]] = {}
        self._missed: dict[_Key, _Missed] = {}
        # Until when the engines with a limit do not suffice for a model.
        self._short_until: dict[str, float] = {}
        self._copies_asked: dict[_Key, tuple[float, str]] = {}
        self._asked: dict[_Key, float] = {}
        # The name of the engine whose agent was asked last.
        self._asked_engine: dict[_Key, str] = {}
        self._begun: dict[str, dict[str, int]] = {}
        self._used: set[str] = set()
        self._repeat_use_at = 0.0
        self._running = 0
        # Set while there is something to tell, so that an idle entry does not wake.
        self._has_use = asyncio.Event()
        self._has_demand = asyncio.Event()
        self._metrics = kernel.find("process").metrics

    async def start(self) -> None:
        """Follow the directory."""
        self.kernel.find("directory").listen(self.review)
        self.kernel.find("view").listen(lambda table: self.review())
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

    async def wait_model(self, job: Any, *, may_return: bool = True) -> None:
        """Wait until an engine holds the job's model.

        A refusal counts as demand if the caller ``may_return`` after it.

        Raises:
            ModelUnavailable: If it cannot be loaded before the caller leaves, or is not
                offered any more.
        """
        waiter = self._build_waiter(job, may_return=may_return)
        self._check(waiter, job.call.request_id)
        self._waiters.append(waiter)
        self._has_demand.set()
        self._ask(waiter.service, waiter.model)
        try:
            async with asyncio.timeout_at(waiter.wait.leaves_at):
                await waiter.ready
            self._check_offered(waiter)
        except TimeoutError:
            raise self._refuse(waiter, self._estimate(waiter)) from None
        finally:
            self._waiters.remove(waiter)

    def note_short(self, model: str) -> None:
        """Note that the engines that hold a model and name a limit do not suffice.

        For some time the model then counts as held only where there is no limit.
        """
        self._short_until[model] = _now() + defaults.REFUSED_COUNT_S

    @contextlib.contextmanager
    def count_waiting(self, job: Any) -> Iterator[None]:
        """Count a request as waiting for a copy of its model elsewhere."""
        waiter = self._build_waiter(job)
        self.note_short(waiter.model)
        self._waiters.append(waiter)
        self._has_demand.set()
        self._ask(waiter.service, waiter.model)
        try:
            yield
        finally:
            self._waiters.remove(waiter)

    def can_load_freely(self, service: ServiceSpec) -> bool:
        """Return whether an engine without a limit can be asked to load a model."""
        return bool(split_by_limit(self._loading_places(service))[0])

    def _build_waiter(self, job: Any, *, may_return: bool = True) -> _Waiter:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        wait = WaitingRequest(job.started, job.route.target_s, job.leaves_at)
        return _Waiter(
            job.service, job.call.model, wait, future, may_return, job.deadline
        )

    def _check(self, waiter: _Waiter, request_id: str) -> None:
        """Refuse at once what no load can serve in time."""
        self._check_offered(waiter)
        spec = _find_model(waiter.service, waiter.model)
        assert spec is not None
        place = self._choose_place(waiter.service, spec)
        ready_s = place.ready_s if place else 0.0
        left_s = waiter.wait.leaves_at - _now()
        events.emit(
            _logger,
            events.REQUEST_WAITS,
            request_id=request_id,
            model=waiter.model,
            ready_ms=int(ready_s * defaults.MS_PER_S),
            left_ms=int(left_s * defaults.MS_PER_S),
            waiting=len(self._waiters),
            list_age_ms=int((_now() - self._directory.list_at) * defaults.MS_PER_S),
        )
        if place and is_expected_too_late(waiter.wait, ready_s, place.load_s, _now()):
            raise self._refuse(waiter, ready_s)

    def _check_offered(self, waiter: _Waiter) -> None:
        """Refuse a request for a model that no engine is going to load.

        Raises:
            ModelUnavailable: If the model is not, or no longer, in the configuration.
        """
        spec = _find_model(waiter.service, waiter.model)
        if spec is None or self._is_retired(waiter.service, waiter.model):
            raise ModelUnavailable(
                f"the service has no model {waiter.model!r}",
                retry_after_ms=defaults.MODEL_RETRY_MS,
            )

    def _is_retired(self, service: ServiceSpec, model: str) -> bool:
        """Return whether the configuration in force has left out a model.

        It can still serve callers where it is loaded, and where its load has begun.
        """
        table = self.kernel.find("view").table
        if table is None:
            return False
        current = table.services.get(service.name)
        if current is not None and _find_model(current, model) is not None:
            return False
        now = _now()
        return not any(
            server.has_model(model, now, defaults.AGENT_FRESH_S)
            or server.is_loading(model, now, defaults.AGENT_FRESH_S)
            for server in self._directory.in_homes(service)
        )

    def _estimate(self, waiter: _Waiter) -> float:
        """Return the seconds until the model is ready; 0 if nothing is known."""
        spec = _find_model(waiter.service, waiter.model)
        place = self._choose_place(waiter.service, spec) if spec else None
        return place.ready_s if place else 0.0

    def _refuse(self, waiter: _Waiter, ready_s: float) -> ModelUnavailable:
        """Return a refusal; the load goes on, for when the caller comes back."""
        back_s = ready_s + defaults.RETURN_MARGIN_S
        if waiter.may_return:
            self._count_refused(waiter, back_s)
        return ModelUnavailable(
            "the model is not ready before the caller leaves",
            retry_after_ms=int(back_s * defaults.MS_PER_S),
        )

    def _count_refused(self, waiter: _Waiter, back_s: float) -> None:
        # One whose deadline passes before the model is ready does not come back, but
        # is a sign of others.
        if _now() + back_s > waiter.deadline:
            back_s = 0.0
        returning = self._returning.setdefault(waiter.key, [])
        counts_s = max(back_s, defaults.REFUSED_COUNT_S)
        returning.append(_Returning(waiter.service, _now() + counts_s))
        known = self._missed.get(waiter.key)
        self._missed[waiter.key] = _Missed(
            waiter.service,
            known.since if known is not None else waiter.wait.since,
            _now() + max(back_s, defaults.MISSED_KEPT_S),
        )
        self._has_demand.set()
        self._ask(waiter.service, waiter.model)

    def _expected_back(self, key: _Key) -> int:
        """Return how many refused callers of a model may still come back."""
        now = _now()
        kept = [item for item in self._returning.get(key, ()) if item.until > now]
        if kept:
            self._returning[key] = kept
        else:
            self._returning.pop(key, None)
        return len(kept)

    def find_place(self, service: ServiceSpec, model: str) -> LoadPlacement | None:
        """Return where a model would be loaded; None if nothing is known of that."""
        spec = _find_model(service, model)
        return self._choose_place(service, spec) if spec is not None else None

    def _choose_place(
        self, service: ServiceSpec, spec: ModelSpec
    ) -> LoadPlacement | None:
        now = _now()
        key = _build_key(service, spec.name)
        waits = [w.wait for w in self._waiters if w.key == key]
        returning = self._expected_back(key)
        # The load itself has not begun: what it could serve in time at best.
        urgency = weigh_waiting_requests(
            waits, spec.memory_s, now
        ) + weigh_refused_callers(returning)
        servers = self._loading_places(service)
        # What all entries together have asked for, as far as agents have told.
        told = sum_urgency(servers, spec.name)
        requests = max(len(waits) + returning, round(told))
        waiting = RequestBacklog(requests, max(urgency, told, 1.0))
        place = choose_load_placement(servers, service.engine, spec, waiting, now)
        paused = self._find_paused(service, spec.name)
        if paused and (place is None or paused.ready_s <= place.ready_s):
            return paused
        is_remote = place is not None and place.ready_s >= spec.remote_s
        # An engine whose agent is just starting may have a copy at hand.
        if is_remote and self._directory.unheard(
            service.name, now, defaults.AGENT_FRESH_S
        ):
            return None
        return place

    def _find_paused(self, service: ServiceSpec, model: str) -> LoadPlacement | None:
        """Return the engine that has the model and takes requests first again."""
        now = _now()
        paused = [
            _build_pause(server, server.backpressure.pause_s(now))
            for server in self._directory.in_homes(service)
            if not (server.is_leaving or server.is_evacuated)
            and not server.backpressure.allows(now)
            and server.has_model(model, now, defaults.AGENT_FRESH_S)
        ]
        return min(paused, key=lambda place: place.ready_s, default=None)

    def _loading_places(self, service: ServiceSpec) -> list[Server]:
        """Return the engines of a service whose agents can be asked to load.

        A copy on an engine that names a limit would serve few, so that such engines
        are asked only if there are no others.
        """
        now = _now()
        servers = [
            server
            for server in self._directory.in_homes(service)
            if server.is_open(now)
            and not server.is_avoided(now)
            and server.report is not None
            and now - server.report_at <= defaults.AGENT_FRESH_S
        ]
        return split_by_limit(servers)[0] or servers

    def review(self) -> None:
        """Ask again for models, but let requests go on whose wait has ended.

        It ends when the model is held, and when no engine can or will load it.
        """
        changes, self._changes = self._changes, []
        for change in changes:
            if not change.done():
                change.set_result(None)
        wanted: dict[_Key, ServiceSpec] = {}
        for waiter in self._waiters:
            service, model = waiter.service, waiter.model
            is_over = self._directory.find_obstacle(service)
            is_over = is_over or self._is_retired(service, model)
            if not is_over and not self._is_held(service, model):
                wanted[waiter.key] = service
            elif not waiter.ready.done():
                waiter.ready.set_result(None)
        for key, items in self._returning.items():
            wanted.setdefault(key, items[0].service)
        for key, missed in list(self._missed.items()):
            is_held = self._is_held(missed.service, _get_model(key))
            if missed.until <= _now() or is_held:
                del self._missed[key]
            elif _now() - missed.since >= defaults.MISSED_ASK_S:
                wanted.setdefault(key, missed.service)
        for key, service in wanted.items():
            self._ask(service, _get_model(key))

    def ask_copy(
        self,
        service: ServiceSpec,
        model: str,
        excess: int,
    ) -> None:
        """Ask for one more copy of a model whose engines are full."""
        spec = _find_model(service, model)
        key = _build_key(service, model)
        asked_at, _ = self._copies_asked.get(key, (float("-inf"), ""))
        if spec is None or _now() - asked_at < defaults.WANT_REPEAT_S:
            return
        now = _now()
        servers = [
            server
            for server in self._loading_places(service)
            if not server.holds(model, now, defaults.AGENT_FRESH_S)
        ]
        waiting = RequestBacklog(excess, float(excess))
        place = choose_load_placement(servers, service.engine, spec, waiting, now)
        # What a copy from the store brings comes too late for most bursts.
        if place is None or place.ready_s >= spec.remote_s:
            return
        self._copies_asked[key] = (now, place.server.name)
        want = WantModel(model, excess, float(excess))
        self.kernel.find("directory").send_to_agent(place.server, want)
        self._metrics.count("model_copies_asked_total")

    def _is_held(self, service: ServiceSpec, model: str) -> bool:
        now = _now()
        is_short = now < self._short_until.get(model, float("-inf"))
        return any(
            not server.is_leaving
            and server.holds(model, now, defaults.AGENT_FRESH_S)
            and not (is_short and server.limit.is_limited)
            for server in self._directory.in_homes(service)
        )

    def _ask(self, service: ServiceSpec, model: str) -> None:
        """Ask the agent where the model is ready first to load it.

        Appraising all engines is the dearest thing that an entry does for a request, so
        that it is done once in a while and not at each change of the directory.
        """
        key = _build_key(service, model)
        asked_at = self._asked.get(key, float("-inf"))
        if _now() - asked_at < defaults.WANT_REPEAT_S * defaults.REPEAT_EARLY_PART:
            return
        spec = _find_model(service, model)
        waits = [w.wait for w in self._waiters if w.key == key]
        returning = self._expected_back(key)
        is_held = not waits and self._is_held(service, model)
        place = self._choose_place(service, spec) if spec else None
        missed = self._missed.get(key)
        is_starved = (
            missed is not None and _now() - missed.since >= defaults.MISSED_ASK_S
        )
        if place is None or is_held or not (waits or returning or is_starved):
            return
        urgency = weigh_waiting_requests(waits, place.ready_s, _now())
        if not waits and not returning:
            urgency = defaults.MISSED_WEIGHT
        age_s = _now() - missed.since if missed is not None else 0.0
        age_ms = int(age_s * defaults.MS_PER_S)
        want = WantModel(model, len(waits), urgency, age_ms, returning)
        if self.kernel.find("directory").send_to_agent(place.server, want):
            self._asked[key] = _now()
            self._tell_former_agent(key, place.server)
            self._asked_engine[key] = place.server.name

    def _tell_former_agent(self, key: _Key, asked: Server) -> None:
        """Tell the agent that was asked before that another one is asked now.

        Loads are ranked by the demand at all agents, where it would count twice.
        """
        former = self._directory.servers.get(self._asked_engine.get(key, ""))
        if former is not None and former is not asked:
            nobody = WantModel(_get_model(key), 0, 0.0)
            self.kernel.find("directory").send_to_agent(former, nobody)

    async def _repeat_forever(self) -> None:
        while True:
            await self._has_demand.wait()
            await asyncio.sleep(defaults.WANT_REPEAT_S)
            if self._waiters or self._returning or self._missed:
                self.review()
            else:
                self._has_demand.clear()

    # Use of the engines.

    def note_begun(self, server: Server, model: str, adapter: str) -> None:
        """Count a request that begins at a server."""
        self._running += 1
        self._has_use.set()
        self._count_begun(server, model, adapter)

    def note_expected(self, server: Server, model: str, adapter: str) -> None:
        """Have a server keep a model for a request in progress that may move there."""
        self._has_use.set()
        self._count_begun(server, model, adapter)

    def _count_begun(self, server: Server, model: str, adapter: str) -> None:
        if not model:
            return
        begun = self._begun.setdefault(server.name, {})
        names = (model, f"{model}/{adapter}") if adapter else (model,)
        for name in names:
            begun[name] = begun.get(name, 0) + 1
        self._used.add(server.name)

    def note_ended(self, server: Server) -> None:
        """Note that a request has ended at a server."""
        self._running -= 1
        self._has_use.set()
        self._used.add(server.name)

    async def _tell_use_forever(self) -> None:
        while True:
            await self._has_use.wait()
            await asyncio.sleep(defaults.USE_INTERVAL_S)
            if not self._running:
                self._has_use.clear()
            if _now() >= self._repeat_use_at:
                # An agent forgets the use of an entry that it does not hear of.
                self._repeat_use_at = _now() + defaults.USE_REPEAT_S
                servers = self._directory.servers.values()
                self._used.update(server.name for server in servers if server.own)
            names, self._used = self._used, set()
            for name in names:
                server = self._directory.servers.get(name)
                if server is None:
                    self._begun.pop(name, None)
                    continue
                begun = self._begun.pop(name, {})
                used = {**dict.fromkeys(begun, 0), **server.in_flight_by_model}
                uses = [(m, n, begun.get(m, 0)) for m, n in used.items()]
                self.kernel.find("directory").send_to_agent(server, ModelUse(uses))


def _build_pause(server: Server, pause_s: float) -> LoadPlacement:
    # No queue stands before the end of a pause, so that all of it is the load's part.
    return LoadPlacement(server, pause_s, pause_s, 0.0)


def _build_key(service: ServiceSpec, model: str) -> _Key:
    return model if service.homes is None else (model, service.homes)


def _get_model(key: _Key) -> str:
    return key if isinstance(key, str) else key[0]


def _find_model(service: ServiceSpec, model: str) -> ModelSpec | None:
    if service.engine is None:
        return None
    return next((m for m in service.engine.models if m.name == model), None)


def _now() -> float:
    return asyncio.get_running_loop().time()
