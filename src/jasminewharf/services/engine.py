"""The agent of one engine, the only process that sends orders to it."""

import asyncio
import contextlib
import logging
from typing import Any, ClassVar

from .. import defaults, events
from ..decisions.backpressure import ServerBackpressure, ServerIncarnation
from ..decisions.configurations import EngineSpec
from ..decisions.copies import (
    FleetCopies,
    LostCopies,
    gather_copies,
    list_other_reports,
    refresh_loads,
)
from ..decisions.pace import PaceMean
from ..decisions.residency import Intent, Residency
from ..decisions.routes import RouteTable
from ..decisions.serverlimits import ServerLimit
from ..dialects.fleet import ENGINE_ORDERS, EngineOrder, EngineStatus
from ..exceptions import (
    BackendError,
    BackendSilent,
    ImplausibleDemand,
    LimitReached,
    ZoneEvacuated,
)
from ..kernel import Kernel, Service
from ..messages.feed import BackendReport
from ..messages.servers import (
    AdapterEnsured,
    EngineReport,
    EnsureAdapter,
    FollowEngines,
    ModelUse,
    WantModel,
    WantReports,
)
from ..registry import lookup
from .client import FetchedAnswer, HttpClient
from .coldengine import ColdEngine
from .enginereporter import EngineReporter
from .link import LinkServer, Peer
from .permits import Permit, PermitWish
from .storeslots import StoreSlotClient

__all__ = ["EngineManager"]

_logger = logging.getLogger(__name__)

# Orders go before callers' requests, which may wait for what is loaded.
_STATUS_WISH = PermitWish("status", "", -1, 0.0)
_ORDER_WISH = PermitWish("order", "", -1, defaults.PERMIT_ORDER_WAIT_S)
# Outcomes of orders that the engine has accepted.
_TAKEN = ("done", "accepted")


class EngineManager(Service):
    """Polls an engine, orders model and adapter loads and publishes its reports."""

    name: ClassVar[str] = "engine"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "reports",
        "view",
        "directory",
        "server-limits",
        "cold-servers",
        "permits",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        fleet = kernel.settings.fleet
        self._address = fleet.own_server
        self._client = HttpClient(self._address)
        self._orders = lookup(ENGINE_ORDERS, fleet.dialect)
        self._residency = Residency()
        self._status: EngineStatus | None = None
        # The start of the engine that was last heard, also while it is silent.
        self._born_ms: int | None = None
        # When the engine last answered.
        self._heard_at = float("-inf")
        # Orders that the engine is known to have accepted since its start.
        self._accepted = 0
        self._change: Intent | None = None
        self._change_ends = 0.0
        self._copies: FleetCopies | None = None
        self._copies_key: tuple = ()
        self._copies_until = 0.0
        self._news = EngineReporter(kernel)
        self._adapter_waiters: dict[tuple[str, str], list[asyncio.Future[bool]]] = {}
        self._adapter_ordered_at = float("-inf")
        self._wake = asyncio.Event()
        # The highest fencing token that the engine has refused.
        self._refused_fence = -1
        self._held_back: dict[str, str] = {}
        self._store = StoreSlotClient(kernel, self._address)
        self._lost_copies = LostCopies()
        self._pace = PaceMean()
        # Used while the server list does not contain the engine.
        self._unlisted_backpressure = ServerBackpressure()
        self._unlisted_limit = kernel.find("directory").directory.limits.find(
            ServerIncarnation(self._address, 0)
        )
        self._limits = kernel.find("server-limits")
        self._cold = ColdEngine(kernel, self._address, lambda: self._news.peers())
        self._permits = kernel.find("permits")
        self._metrics = kernel.find("process").metrics
        self._client.metrics = self._metrics
        self._server: LinkServer | None = None

    async def start(self) -> None:
        """Listen for entries and start to poll the engine."""
        process = self.kernel.find("process")
        handlers: dict[type, Any] = {
            WantModel: self._take_want,
            ModelUse: self._take_use,
            EnsureAdapter: self._ensure_adapter,
            FollowEngines: self._news.add_follower,
        }
        self._server = LinkServer(
            process.identity,
            process.context,
            handlers,
            process.security,
        )
        self._server.on_peer = self._news.send_latest
        self._news.peers = self._server.peers
        address = await self._server.listen(self.kernel.settings.fleet.agent_listen)
        reports = self.kernel.find("reports")
        reports.address = address
        reports.read_backends = self._describe_backend
        self.kernel.find("view").listen(self._take_configuration)
        self.kernel.find("controllers").handle(WantReports, self._news.send_again)
        self.spawn(self._run(), essential=True)

    async def stop(self) -> None:
        """Close the sockets."""
        await super().stop()
        if self._server is not None:
            self._server.close()
        self._client.close()

    def _describe_backend(self) -> list[BackendReport]:
        fleet = self.kernel.settings.fleet
        reachable = self._status is not None
        return [
            BackendReport(
                self._address, "", fleet.dialect, reachable, 0, 0, 0, 0.0, [], []
            )
        ]

    # Messages from entries.

    def _take_want(self, peer: Peer, want: WantModel) -> None:
        try:
            is_new = self._residency.note_demand(
                peer.node,
                want.model,
                want.requests,
                want.urgency,
                _now(),
                want.age_ms / defaults.MS_PER_S,
                want.returning,
            )
        except ImplausibleDemand as error:
            self._metrics.count("demands_dropped_total")
            events.emit(
                _logger, events.DEMAND_DROPPED, peer=peer.node, want=want, error=error
            )
            return
        if is_new and self._change is None:
            self._wake.set()

    def _take_use(self, peer: Peer, use: ModelUse) -> None:
        self._residency.note_usage(peer.node, use.uses, _now())

    async def _ensure_adapter(self, peer: Peer, wanted: EnsureAdapter) -> Any:
        pair = (wanted.model, wanted.adapter)
        if self._has_adapter(pair):
            self._residency.note_adapter(*pair, _now())
            return AdapterEnsured(True)
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._adapter_waiters.setdefault(pair, []).append(future)
        self._residency.note_adapter(*pair, _now())
        self._wake.set()
        try:
            async with asyncio.timeout(defaults.ADAPTER_WAIT_S):
                return AdapterEnsured(await future)
        except TimeoutError:
            self._metrics.count("adapters_not_loaded_total")
            return AdapterEnsured(False)

    def _has_adapter(self, pair: tuple[str, str]) -> bool:
        models = self._status.models if self._status else ()
        return any(h.model == pair[0] and pair[1] in h.adapters for h in models)

    # Configuration.

    def _take_configuration(self, table: RouteTable) -> None:
        spec = self._find_spec(table)
        if spec is not None:
            # Eviction costs are unknown before this. A report without them makes the
            # engine look free of cost, which attracts loads.
            if self._residency.spec is None:
                self._news.must_report = True
            self._residency.set_engine(spec)
        self._wake.set()

    def _find_spec(self, table: RouteTable) -> EngineSpec | None:
        """Return the engine's limits; None if the configuration does not tell them.

        An engine whose service has lost its models keeps its limits, without any model.
        """
        server = self.kernel.find("directory").directory.at_address(self._address)
        if server is not None:
            service = table.services.get(server.listed.service)
            if service is not None and service.engine is not None:
                return service.engine
            known = self._residency.spec
            return known._replace(models=()) if known is not None else None
        engines = [s.engine for s in table.services.values() if s.engine is not None]
        return engines[0] if len(engines) == 1 else None

    # Engine control.

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            is_silent = not await self._refresh_status()
            if self._status is not None and not is_silent:
                await self._give_orders()
            if self._status is None and _now() >= self._turn_until:
                self._store.release(is_complete=False)
            self._store.renew()
            self._publish_report()
            try:
                async with asyncio.timeout(self._pause_s()):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _pause_s(self) -> float:
        pause_s = self._choose_pause_s()
        return min(pause_s, defaults.COLD_POLL_S) if self._cold.rule else pause_s

    def _choose_pause_s(self) -> float:
        if self._adapter_waiters and self._has_adapter_coming():
            return defaults.ENGINE_ADAPTER_POLL_S
        if self._change is not None and not self._change.loads:
            # An unload ends with the running requests, so its end cannot be estimated.
            return defaults.ENGINE_ORDER_POLL_S
        if self._change is not None:
            left_s = self._change_ends - _now() - defaults.ENGINE_ORDER_POLL_S
            # No order is possible before this one ends, but it may end early.
            return min(
                max(left_s, defaults.ENGINE_ORDER_POLL_S), defaults.ENGINE_IDLE_POLL_S
            )
        if self._adapter_waiters or self._residency.list_wanted_models(_now()):
            return defaults.ENGINE_WANTED_POLL_S
        return defaults.ENGINE_IDLE_POLL_S

    def _has_adapter_coming(self) -> bool:
        """Return whether an adapter load was ordered and has not finished."""
        ordered_s = _now() - self._adapter_ordered_at
        return ordered_s <= defaults.ENGINE_ADAPTER_S or (
            self._status is not None and bool(self._status.incoming)
        )

    @property
    def _backpressure(self) -> ServerBackpressure:
        """The pause and drain requests that the engine has sent to this host."""
        server = self.kernel.find("directory").directory.at_address(self._address)
        return server.backpressure if server else self._unlisted_backpressure

    @property
    def _limit(self) -> ServerLimit:
        """The request rate that the engine names for all hosts together."""
        server = self.kernel.find("directory").directory.at_address(self._address)
        return server.limit if server else self._unlisted_limit

    def _note_limit(self, answer: FetchedAnswer, sent_at: float) -> None:
        """Record the limit that the engine names, if any.

        Its reports and its answers to orders need not carry it, so that one without
        does not end the limit.
        """
        per_s = self._orders.read_limit(answer.headers)
        self._limits.note_answer(self._limit, per_s, sent_at, may_end=False)

    def _note_pace(self, answer: FetchedAnswer) -> None:
        """Add the pace that the engine reports to the mean of the last reads."""
        percent = self._orders.read_pace(answer.headers)
        if percent > 0:
            self._pace.add(percent)

    def _is_paused(self) -> bool:
        return self._backpressure.pause_s(_now()) > 0

    def _note_pause(self, answer: FetchedAnswer) -> None:
        """Record the pause that the engine has asked for, if any."""
        asked_s = self._orders.read_pause_s(answer.status, answer.headers)
        if asked_s == 0:
            return
        self._metrics.count("engine_pauses_total")
        events.emit(
            _logger,
            events.SERVER_PAUSED,
            request_id="",
            server=self._address,
            asked_s=asked_s,
            granted_s=self._backpressure.note_pause(asked_s, _now()),
        )

    async def _refresh_status(self) -> bool:
        """Read the engine's report if it may be read; return False without an answer.

        What an engine has told stays valid while it falls silent for a moment.
        """
        if self._is_paused():
            # The last report stays valid; entries detect failures on their own.
            return True
        permit = await self._acquire_status_permit()
        if permit is None:
            return True
        try:
            with contextlib.closing(permit):
                fresh = await self._read_status(permit)
                if fresh is not None and self._is_old(fresh):
                    self._client.note_unmatched("old")
                    fresh = await self._read_status(permit, is_exclusive=True)
        except LimitReached:
            # The engine named its limit while this host connected; it is not lost.
            return True
        except BackendSilent as error:
            if _now() - self._heard_at >= defaults.ENGINE_SILENT_S:
                self._lose_engine(error)
            return False
        except BackendError as error:
            self._lose_engine(error)
            return False
        if fresh is not None:
            self._note_status(fresh)
            self._cold.note(fresh.cold_ms, fresh.born_ms, permit.sent_at)
        return True

    def _lose_engine(self, error: BackendError) -> None:
        if self._status is not None:
            events.emit(_logger, events.ENGINE_LOST, error=error)
            self._news.publish_unreachable()
        if not isinstance(error, BackendSilent):
            self._store.release(is_complete=False)
        self._status = None

    @property
    def _turn_until(self) -> float:
        """Until when an engine that does not answer may load from the store.

        One that is only silent loads on. The end of its load is an estimate.
        """
        change = self._change
        if change is None or not change.loads:
            return float("-inf")
        return self._change_ends + defaults.ENGINE_LATE_LOAD_S

    async def _read_status(
        self, permit: Permit, *, is_exclusive: bool = False
    ) -> EngineStatus | None:
        """Return the engine's report; None if it asked for a pause instead.

        Raises:
            BackendError: If it cannot be read.
        """
        call = self._orders.fetch_status()
        answer = await self._client.fetch_answer(
            call.method,
            call.target,
            timeout_s=defaults.ENGINE_REPORT_TIMEOUT_S,
            permit=permit,
            is_exclusive=is_exclusive,
        )
        self._heard_at = _now()
        self._note_pause(answer)
        self._note_limit(answer, permit.sent_at)
        self._cold.note(
            self._orders.read_cold_ms(answer.headers), self._born_ms, permit.sent_at
        )
        self._note_pace(answer)
        if self._is_paused() and self._status is not None:
            return None
        return self._orders.read_status(answer.status, answer.body)

    def _is_old(self, fresh: EngineStatus) -> bool:
        """Return whether a report was made before one that is known.

        Reports bear no identifier; one may have been written a second time.
        """
        return self._is_same_life(fresh) and fresh.orders < self._accepted

    def _is_same_life(self, fresh: EngineStatus) -> bool:
        """Return whether the engine has not started anew since it was last heard."""
        if self._status is None and not fresh.born_ms:
            return False
        return self._born_ms == fresh.born_ms

    async def _acquire_status_permit(self) -> Permit | None:
        """Return a permit to read the status; None if a limit allows none now.

        A read that an adapter's callers wait for takes one of theirs.
        """
        permit = self._permits.acquire_status(self._limit)
        if permit is None and self._adapter_waiters:
            with contextlib.suppress(LimitReached):
                return await self._permits.acquire(self._limit, _STATUS_WISH)
        return permit

    def _note_status(self, fresh: EngineStatus) -> None:
        known = self._status
        is_same_life = self._is_same_life(fresh)
        if known is None or not is_same_life:
            events.emit(
                _logger,
                events.ENGINE_FOUND,
                born_ms=fresh.born_ms,
                models=[held.model for held in fresh.models],
                in_memory=list(fresh.in_memory),
                on_disk=list(fresh.on_disk),
            )
        elif [h.model for h in known.models] != [h.model for h in fresh.models]:
            events.emit(
                _logger,
                events.ENGINE_CHANGED,
                models=[held.model for held in fresh.models],
                orders=fresh.orders,
            )
        if not is_same_life:
            self._refused_fence = -1
            self._end_change(fresh)
        self._status = fresh
        self._born_ms = fresh.born_ms
        self._accepted = fresh.orders
        if self._change is not None and not fresh.is_busy:
            self._end_change(fresh)
        for pair in [p for p in self._adapter_waiters if self._has_adapter(p)]:
            for future in self._adapter_waiters.pop(pair):
                if not future.done():
                    future.set_result(True)

    def _end_change(self, fresh: EngineStatus) -> None:
        """Clear the current order after the engine has stopped working on it."""
        change, self._change = self._change, None
        if change is not None and change.loads and change.fetches:
            is_complete = any(held.model == change.model for held in fresh.models)
            self._store.release(is_complete)

    async def _give_orders(self) -> None:
        """Send orders until none is needed or the engine accepts no more."""
        if self._is_evacuated():
            self._give_up_orders()
            return
        for _ in range(defaults.ENGINE_ORDERS_IN_A_ROW):
            status = self._status
            if status is None or self._is_fenced() or self._is_paused():
                return
            if self._residency.spec is None:
                table = self.kernel.find("view").table
                if table is not None:
                    self._take_configuration(table)
            copies = self._find_copies()
            self._residency.store_slot = self._store.unused_slot
            intent = self._residency.choose(status, copies, _now())
            self._log_held_back(status, copies)
            if intent is None:
                if self._store.unused_slot and self._change is None:
                    self._store.withdraw()
                return
            if intent.fetches and not await self._acquire_store_slot(intent):
                self._residency.store_retry_at = _now() + defaults.STORE_ASK_S
                continue
            if not intent.adapter:
                if not intent.fetches:
                    self._store.withdraw()
                await self._order_model(intent, status)
                return
            if await self._give_order(intent, status) not in _TAKEN:
                return
            self._adapter_ordered_at = _now()
            await self._refresh_status()

    def _is_evacuated(self) -> bool:
        """Return whether the engine's availability zone is evacuated."""
        directory = self.kernel.find("directory").directory
        server = directory.at_address(self._address)
        if server is not None:
            return server.is_evacuated
        return self.kernel.settings.zone in directory.evacuated

    def _give_up_orders(self) -> None:
        """Let others have the turn at the store, and callers go elsewhere."""
        if self._change is None:
            self._store.withdraw()
        waiters, self._adapter_waiters = self._adapter_waiters, {}
        for futures in waiters.values():
            for future in futures:
                if not future.done():
                    future.set_result(False)

    async def _acquire_store_slot(self, intent: Intent) -> bool:
        spec = self._residency.model(intent.fetches)
        load_s = spec.remote_s if spec is not None else 0.0
        others = self._find_copies().store_loads
        return await self._store.request_slot(
            intent.fetches, intent.weight, load_s, others
        )

    def _log_held_back(self, status: EngineStatus, copies: FleetCopies) -> None:
        """Log why a wanted model is not loaded, whenever the reason changes."""
        held_back = self._residency.held_back
        for model, reason in held_back.items():
            if self._held_back.get(model) == reason:
                continue
            events.emit(
                _logger,
                events.LOAD_HELD_BACK,
                model=model,
                reason=reason,
                tier=_find_tier(Intent(True, model), status),
                copies=copies.count(model),
                store_loads=copies.store_loads,
                **self._residency.describe_demand(model),
            )
        self._held_back = held_back

    async def _order_model(self, intent: Intent, status: EngineStatus) -> None:
        """Order a model load or unload.

        The report is published before an unload is sent, so that entries stop sending
        requests for the model first.
        """
        self._change = intent
        spec = self._residency.model(intent.model)
        load_s = defaults.ENGINE_UNLOAD_S
        if self._residency.in_flight(intent.model, _now()):
            load_s = defaults.ENGINE_BUSY_UNLOAD_S
        if intent.loads and spec is not None:
            load_s = spec.load_s(status.in_memory, status.on_disk)
        if intent.loads and intent.fetches:
            load_s *= self._store.estimate_slowdown(self._find_copies().store_loads)
        self._change_ends = _now() + load_s
        self._publish_report()
        if not intent.loads:
            await asyncio.sleep(defaults.ENGINE_NOTICE_S)
        if intent.loads and intent.fetches:
            self._store.note_loading()
        outcome = await self._give_order(intent, status)
        # Without an answer, the engine's next report shows whether it took the order.
        if outcome not in (*_TAKEN, "silent"):
            self._change = None
            if intent.fetches:
                self._store.release(is_complete=False)

    async def _give_order(self, intent: Intent, status: EngineStatus) -> str:
        """Send an order; return what became of it, as far as that is known."""
        server = self.kernel.find("directory").directory.at_address(self._address)
        order = EngineOrder(
            intent.loads,
            intent.model,
            intent.adapter,
            status.orders,
            self.kernel.settings.node,
            self.kernel.find("feed").state.version,
        )
        call = self._orders.give_order(order, server.name if server else "")
        outcome = "unknown"
        error = ""
        try:
            permit = await self._permits.acquire(self._limit, _ORDER_WISH)
            with contextlib.closing(permit):
                if self._is_evacuated():
                    raise ZoneEvacuated(self._address)
                answer = await self._client.fetch_answer(
                    call.method,
                    call.target,
                    call.body,
                    defaults.ENGINE_ORDER_TIMEOUT_S,
                    list(call.headers),
                    permit,
                )
            self._note_pause(answer)
            self._note_limit(answer, permit.sent_at)
            outcome = self._orders.read_order(answer.status, answer.body).outcome
        except LimitReached as failure:
            outcome = "limited"
            error = str(failure)
        except BackendSilent as failure:
            outcome = "silent"
            error = str(failure)
        except BackendError as failure:
            # The order may still take effect; the engine's order count then changes.
            error = str(failure)
        if outcome == "accepted":
            self._accepted = order.expected + 1
        self._metrics.count("engine_orders_total", outcome=outcome)
        events.emit(
            _logger,
            events.ENGINE_ORDERED if outcome in _TAKEN else events.ENGINE_ORDER_FAILED,
            loads=intent.loads,
            model=intent.model,
            adapter=intent.adapter,
            reason=intent.reason,
            tier=_find_tier(intent, status),
            demand=self._residency.demand(intent.model, _now()),
            expected=order.expected,
            fence=order.fence,
            outcome=outcome,
            error=error,
        )
        if outcome == "fenced":
            self._refused_fence = max(self._refused_fence, order.fence)
        return outcome

    def _is_fenced(self) -> bool:
        """Return whether the engine has refused the token that an order would bear."""
        return self.kernel.find("feed").state.version <= self._refused_fence

    def _find_copies(self) -> FleetCopies:
        """Return the copies of each model according to all engines' reports.

        The result is cached until this engine's state changes or
        ``COPIES_KEPT_S`` has passed, since counting takes 1 ms with 40 engines.
        """
        status = self._status
        key = (status.models, status.in_memory, status.on_disk, self._change)
        if key != self._copies_key or _now() >= self._copies_until:
            self._copies_key = key
            self._copies_until = _now() + defaults.COPIES_KEPT_S
            self._copies = self._gather_copies()
        # Loads of other engines may start and end while the copies are cached.
        copies = refresh_loads(self._copies, self._list_other_reports())
        return copies._replace(has_owner=self._store.has_owner)

    def _list_other_reports(self) -> list[EngineReport]:
        servers = self.kernel.find("directory").directory.servers.values()
        return list_other_reports(servers, self._address, _now())

    def _gather_copies(self) -> FleetCopies:
        service = self.kernel.find("directory")
        directory = service.directory
        now = _now()
        own_server = directory.at_address(self._address)
        is_complete = own_server is not None and directory.knows_all(
            own_server.listed.service,
            now,
            settled_s=defaults.SERVER_LIST_SETTLED_S,
            fresh_s=defaults.AGENT_FRESH_S,
        )
        # Without reports from the relay, copies may exist that are not known here.
        is_complete = is_complete and service.is_settled() and service.hears_relay()
        reports = [*self._list_other_reports(), self._build_report()]
        listed = {
            server.listed.address
            for server in directory.servers.values()
            if not (server.is_leaving or server.is_evacuated)
        }
        return gather_copies(reports, self._address, is_complete)._replace(
            lost=self._lost_copies.update(reports, listed, now)
        )

    def _publish_report(self) -> None:
        self._news.publish(self._build_report() if self._status is not None else None)

    def _build_report(self) -> EngineReport:
        status = self._status
        assert status is not None
        change = self._change
        ready_s = 0.0
        if change is not None:
            ready_s = max(self._change_ends - _now(), defaults.ENGINE_NOTICE_S)
        return EngineReport(
            self._address,
            True,
            status.born_ms,
            list(status.models),
            change.model if change else "",
            change.loads if change else False,
            int(ready_s * defaults.MS_PER_S),
            self._residency.list_wanted_models(_now()),
            self._residency.room_cost(status, _now()),
            self._residency.blocked_rate(_now()),
            list(status.in_memory),
            list(status.on_disk),
            status.running,
            status.queued,
            status.used_tokens,
            status.total_tokens,
            store_at_once=self._store.at_once,
            pace_percent=self._pace.percent,
        )


def _find_tier(intent: Intent, status: EngineStatus) -> str:
    """Return the tier that a load reads the model from: memory, disk or store."""
    if not intent.loads or intent.adapter:
        return ""
    if intent.model in status.in_memory:
        return "memory"
    return "disk" if intent.model in status.on_disk else "store"


def _now() -> float:
    return asyncio.get_running_loop().time()
