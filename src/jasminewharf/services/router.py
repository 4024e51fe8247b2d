"""The entry's choice of a backend server: waiting, choosing, trying again."""

import asyncio
from typing import ClassVar, NamedTuple

from .. import defaults
from ..decisions.admission import ColdLoad, admit_on_cold_model
from ..decisions.estimates import ServiceTime
from ..decisions.health import OutlierDetector
from ..decisions.prefixes import CacheEvent, PrefixHints
from ..decisions.retries import (
    MAY_HAVE_BEGUN,
    NOT_BEGUN,
    Attempt,
    RetryBudget,
    may_retry,
)
from ..decisions.routing import ROUTERS, Candidate
from ..exceptions import (
    DeadlineExceeded,
    ModelUnavailable,
    OutcomeUnknown,
    QueueFull,
    Refusal,
    ServersEvacuated,
    StreamInterrupted,
)
from ..kernel import Kernel, Service
from ..messages.calls import CacheEvents
from ..messages.feed import BackendReport, Demand, NodeReport
from ..registry import lookup
from .answers import Answer, CallInFlight, CallPlan

__all__ = ["Answer", "CallPlan", "Router"]


class _Target(NamedTuple):
    agent: NodeReport
    backend: BackendReport


class _Waiter(NamedTuple):
    plan: CallPlan
    ready: asyncio.Future[None]


class Router(Service):
    """Finds a backend server for a call and tries again where that is safe."""

    name: ClassVar[str] = "router"
    requires: ClassVar[tuple[str, ...]] = ("process", "feed", "reports", "agents")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._agents = kernel.find("agents")
        self._choose = lookup(ROUTERS, kernel.settings.policy.routing)
        self._health = OutlierDetector()
        self._hints = PrefixHints()
        self._budget = RetryBudget()
        self._waiters: list[_Waiter] = []
        self._last_call: dict[tuple[str, str, str], float] = {}
        self._calls: dict[str, CallInFlight] = {}
        self._service: dict[str, ServiceTime] = {}
        self._engine_lives: dict[str, int] = {}
        self._metrics = kernel.find("process").metrics

    async def start(self) -> None:
        """Report demand and follow what is loaded."""
        reports = self.kernel.find("reports")
        reports.read_demands = self._read_demands
        reports.listen(self._review_waiters)
        self._agents.listen(self._wake_waiters)
        self._agents.listen_cache(self._take_cache_events)
        self.kernel.find("feed").listen(lambda applied: self._wake_waiters())
        self._metrics.watch("waiting_requests", lambda: len(self._waiters))

    async def call(self, plan: CallPlan) -> Answer:
        """Forward a call and return its answer once its head has arrived.

        Raises:
            Refusal: Saying whether a backend server can have begun the call.
        """
        self._budget.deposit()
        number = 0
        may_have_run = False
        while True:
            number += 1
            try:
                return await self._attempt(plan)
            except Refusal as refusal:
                may_have_run = may_have_run or not refusal.not_run
                if not self._may_retry(plan, refusal, number):
                    raise _conclude(plan, refusal, may_have_run) from None
            self._metrics.count("retries_total")
            await asyncio.sleep(defaults.FORWARD_RETRY_S)

    def _may_retry(self, plan: CallPlan, refusal: Refusal, number: int) -> bool:
        if isinstance(refusal, DeadlineExceeded | QueueFull | ServersEvacuated):
            return False
        progress = NOT_BEGUN if refusal.not_run else MAY_HAVE_BEGUN
        left_s = plan.deadline - _now()
        attempt = Attempt(progress, plan.idempotent, 0, number, left_s)
        return may_retry(attempt, self._budget)

    def cancel(self, request_id: str, reason: str) -> None:
        """End a call whose answer is no longer wanted."""
        call = self._calls.pop(request_id, None)
        if call is not None:
            self._agents.cancel(call, reason)

    async def _attempt(self, plan: CallPlan) -> Answer:
        target = await self._wait_for_target(plan)
        if plan.deadline <= _now():
            raise DeadlineExceeded("the deadline has passed")
        name = target.backend.backend
        call = self._agents.forward(plan, target.agent.node, name)
        self._calls[plan.request_id] = call
        try:
            await call.wait_head()
        except Refusal as refusal:
            self._end(call, refusal.not_run, "refused")
            raise
        except BaseException:
            self.cancel(plan.request_id, "caller gone")
            raise
        self._hints.note_route(name, plan.prefix_hashes, _now())
        return Answer(call, lambda complete: self._end(call, complete, "not wanted"))

    def _end(self, call: CallInFlight, succeeded: bool, reason: str) -> None:
        self._calls.pop(call.plan.request_id, None)
        if call.failure is None and not succeeded:
            self._agents.cancel(call, reason)
            return
        self._agents.finish(call)
        if succeeded and call.tokens > 0:
            seconds = _now() - call.started_at
            self._service_time(call.plan.model).observe(seconds, call.tokens)
        self._health.record(call.backend, succeeded, _now())

    async def _wait_for_target(self, plan: CallPlan) -> _Target:
        targets = self._find_targets(plan)
        if not targets:
            await self._wait_until_ready(plan)
            targets = self._find_targets(plan)
        self._note_call(plan)
        if not targets:
            raise ModelUnavailable("no backend server is ready", retry_after_ms=500)
        candidates = [self._describe(plan, target) for target in targets]
        usable = set(self._health.usable([c.backend for c in candidates], _now()))
        candidates = [c for c in candidates if c.backend in usable]
        settings = self.kernel.settings
        random = self.kernel.find("process").random
        chosen = self._choose(candidates, settings.zone, random)
        return next(t for t in targets if t.backend.backend == chosen.backend)

    def _note_call(self, plan: CallPlan) -> None:
        self._last_call[(plan.service, plan.model, plan.adapter)] = _now()

    async def _wait_until_ready(self, plan: CallPlan) -> None:
        """Wait in a bounded queue until a backend server can take the call.

        Raises:
            Refusal: If the queue is full, or the model cannot be ready in time.
        """
        self._check_evacuated(plan)
        if len(self._waiters) >= self.kernel.settings.limits.waiting_requests:
            raise QueueFull("too many requests wait", retry_after_ms=1000)
        self._note_call(plan)
        self._check_estimate(plan)
        waiter = _Waiter(plan, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        self.kernel.find("reports").report_now()
        try:
            async with asyncio.timeout_at(plan.deadline):
                await waiter.ready
        except TimeoutError:
            raise ModelUnavailable(
                "no backend server was ready in time", retry_after_ms=1000
            ) from None
        finally:
            self._waiters.remove(waiter)

    def _check_evacuated(self, plan: CallPlan) -> None:
        """Refuse a call for which evacuations leave no agent.

        Raises:
            ServersEvacuated: If all staying agents are in evacuated zones.
        """
        state = self.kernel.find("feed").state
        staying = [
            agent
            for agent in self.kernel.find("reports").agents_of(plan.pool)
            if not agent.leaving and agent.host not in state.draining
        ]
        zones = state.evacuations.evacuated
        if staying and all(agent.zone in zones for agent in staying):
            raise ServersEvacuated(
                "all backend servers are in evacuated availability zones",
                retry_after_ms=defaults.EVACUATED_RETRY_MS,
            )

    def _check_estimate(self, plan: CallPlan) -> None:
        """Refuse at once what the load's estimated end does not allow.

        Raises:
            ModelUnavailable: If the call cannot be served before its deadline.
        """
        estimate = self.kernel.find("reports").find_estimate(plan.service, plan.model)
        if not plan.model or estimate is None:
            return
        waiting = [
            waiter.plan
            for waiter in self._waiters
            if waiter.plan.model == plan.model
            and waiter.plan.deadline <= plan.deadline
            and waiter.plan is not plan
        ]
        load = ColdLoad(
            ready_in_s=max(estimate.at - _now(), 0.0),
            replicas=1,
            waiting_tokens=sum(item.cost_tokens for item in waiting),
            seconds_per_token=self._service_time(plan.model).seconds(1.0),
            entry_share=1.0 / estimate.entries,
        )
        admit_on_cold_model(load, plan.cost_tokens, plan.deadline - _now())

    def _service_time(self, model: str) -> ServiceTime:
        known = self._service.get(model)
        if known is None:
            known = self._service[model] = ServiceTime(
                defaults.ADMISSION_SECONDS_PER_TOKEN, defaults.ADMISSION_GAIN
            )
        return known

    def _review_waiters(self) -> None:
        """Refuse the waiting requests that a new estimate leaves no time for."""
        for waiter in self._waiters:
            if waiter.ready.done():
                continue
            try:
                self._check_evacuated(waiter.plan)
                self._check_estimate(waiter.plan)
            except (ModelUnavailable, ServersEvacuated) as refusal:
                waiter.ready.set_exception(refusal)

    def _wake_waiters(self) -> None:
        for waiter in self._waiters:
            if not waiter.ready.done() and self._find_targets(waiter.plan):
                waiter.ready.set_result(None)

    def _find_targets(self, plan: CallPlan) -> list[_Target]:
        state = self.kernel.find("feed").state
        loaded = state.loaded_backends(plan.service, plan.model) if plan.model else ()
        targets = []
        for agent in self.kernel.find("reports").agents_of(plan.pool):
            if agent.leaving or agent.host in state.draining:
                continue
            if agent.zone in state.evacuations.evacuated:
                continue
            if not self._agents.can_take_calls(agent):
                continue
            for backend in agent.backends:
                if backend.pool != plan.pool or not backend.reachable:
                    continue
                if not plan.model or (agent.host, backend.backend) in loaded:
                    targets.append(_Target(agent, backend))
        return targets

    def _describe(self, plan: CallPlan, target: _Target) -> Candidate:
        name = target.backend.backend
        now = _now()
        fresh = self._agents.loads.get(name)
        share = self._hints.cached_share(name, plan.prefix_hashes, now)
        own = self._agents.own.get(name, 0)
        if fresh is None:
            reported = target.backend.running + target.backend.queued
            return Candidate(
                name, target.agent.zone, own=own, reported=reported, cached_share=share
            )
        return Candidate(
            name,
            target.agent.zone,
            own=own,
            reported=fresh.load.running + fresh.load.queued,
            own_at_report=fresh.own,
            report_age_s=now - fresh.at,
            cached_share=share,
        )

    def _take_cache_events(self, message: CacheEvents) -> None:
        if self._engine_lives.get(message.backend) != message.incarnation:
            # A restarted engine has an empty cache and counts its events anew.
            self._engine_lives[message.backend] = message.incarnation
            self._hints.forget(message.backend)
        for sequence, kind, block in message.events:
            event = CacheEvent(sequence, kind, block)
            self._hints.apply(message.backend, event, _now())

    def _read_demands(self) -> list[Demand]:
        now = _now()
        waiting: dict[tuple[str, str, str], list[CallPlan]] = {}
        for waiter in self._waiters:
            plan = waiter.plan
            key = (plan.service, plan.model, plan.adapter)
            waiting.setdefault(key, []).append(plan)
        for call in self._calls.values():
            plan = call.plan
            self._last_call[(plan.service, plan.model, plan.adapter)] = now
        self._forget_old_calls(now)
        return [
            _build_demand(key, waiting.get(key, []), last, now)
            for key, last in self._last_call.items()
            if key[1]
        ]

    def _forget_old_calls(self, now: float) -> None:
        horizon = now - defaults.DEMAND_MEMORY_S
        for key in [key for key, last in self._last_call.items() if last < horizon]:
            del self._last_call[key]


def _build_demand(
    key: tuple[str, str, str], plans: list[CallPlan], last: float, now: float
) -> Demand:
    deadline = min((plan.deadline for plan in plans), default=now)
    return Demand(
        *key,
        len(plans),
        sum(plan.cost_tokens for plan in plans),
        max(int((deadline - now) * defaults.MS_PER_S), 0),
        int((now - last) * defaults.MS_PER_S),
    )


def _conclude(plan: CallPlan, refusal: Refusal, may_have_run: bool) -> Refusal:
    """Return the refusal for the caller; no attempt's run may be denied."""
    if may_have_run and refusal.not_run:
        return OutcomeUnknown(refusal.message, not_run=False)
    if isinstance(refusal, StreamInterrupted) and not plan.idempotent:
        return OutcomeUnknown(refusal.message, not_run=False)
    return refusal


def _now() -> float:
    return asyncio.get_running_loop().time()
