"""Reconciles the models of each engine with the replicas decided in the log."""

import asyncio
import logging
from typing import ClassVar

from .. import defaults, events
from ..decisions.fleet import Replica
from ..dialects import EngineState, HttpCall, ModelOrder, ModelState
from ..exceptions import BackendError, BackendUnreachable, FenceRejected
from ..kernel import Kernel, Service
from ..messages.feed import BackendReport, ReplicaReport
from .backend import Backend
from .backends import Backends

__all__ = ["Loader"]

_logger = logging.getLogger(__name__)


class _Engine:
    """The observed state of one backend server and the orders sent to it.

    Attributes:
        ordered: Incarnation, replica number and action of each load order sent.
        failed: The reason of failure by replica number.
    """

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.state: EngineState | None = None
        self.ordered: set[tuple[int, int, str]] = set()
        self.failed: dict[int, str] = {}
        self.reports: list[ReplicaReport] = []
        self.wake = asyncio.Event()


class Loader(Service):
    """Polls each engine and orders the loads and unloads that the log requires."""

    name: ClassVar[str] = "loader"
    requires: ClassVar[tuple[str, ...]] = ("feed", "reports", "backends")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        backends: Backends = kernel.find("backends")
        self._backends = backends
        self._engines = [_Engine(item) for item in backends.backends.values()]

    async def start(self) -> None:
        """Subscribe to the log and start to poll the engines."""
        self.kernel.find("feed").listen(lambda applied: self._wake_all())
        self.kernel.find("reports").read_backends = self._read_reports
        for engine in self._engines:
            self.spawn(self._follow(engine), essential=True)

    def _wake_all(self) -> None:
        for engine in self._engines:
            engine.wake.set()

    def _read_reports(self) -> list[BackendReport]:
        reports = []
        for engine in self._engines:
            cached = list(engine.state.cached) if engine.state else []
            reports.append(
                self._backends.describe(engine.backend, engine.reports, cached)
            )
        return reports

    async def _follow(self, engine: _Engine) -> None:
        if not engine.backend.settings.checks_fencing:
            # An order sent by a previous incarnation of this agent may still arrive.
            await asyncio.sleep(self.kernel.settings.timing.order_settle_s)
        while True:
            engine.wake.clear()
            busy = await self._refresh(engine)
            interval_s = defaults.ENGINE_BUSY_POLL_S if busy else defaults.ENGINE_POLL_S
            try:
                async with asyncio.timeout(interval_s):
                    await engine.wake.wait()
            except TimeoutError:
                continue

    async def _refresh(self, engine: _Engine) -> bool:
        """Read and reconcile the engine's state; return whether an order is pending."""
        try:
            state = await self._fetch_state(engine.backend)
        except BackendError as error:
            self._note_lost(engine, error)
            return False
        engine.state = state
        engine.backend.incarnation = state.incarnation
        before = (engine.backend.reachable, engine.reports)
        busy = False
        if engine.backend.dialect.has_models:
            busy = await self._reconcile(engine, state)
        engine.backend.reachable = True
        if before != (engine.backend.reachable, engine.reports):
            self.kernel.find("reports").report_now()
        return busy

    async def _fetch_state(self, backend: Backend) -> EngineState:
        call = backend.dialect.fetch_state(backend.token)
        status, body = await self._send(backend, call)
        return backend.dialect.read_state(status, body)

    async def _send(self, backend: Backend, call: HttpCall) -> tuple[int, bytes]:
        return await backend.client.fetch(
            call.method,
            call.target,
            call.body,
            headers=list(call.headers),
            is_exclusive=True,
        )

    def _note_lost(self, engine: _Engine, error: BackendError) -> None:
        if engine.backend.reachable:
            events.emit(
                _logger,
                events.BACKEND_UNREACHABLE,
                backend=engine.backend.settings.name,
                error=error,
            )
            engine.backend.reachable = False
            self.kernel.find("reports").report_now()

    async def _reconcile(self, engine: _Engine, state: EngineState) -> bool:
        """Send the orders that turn the engine's state into the one in the log."""
        if not self.kernel.find("feed").is_fresh():
            return False
        decided = self._decided(engine)
        present = {model.model: model for model in state.models}
        busy = False
        for replica in decided:
            busy |= await self._advance(engine, state, replica, present)
        for model in state.models:
            if model.replica not in {replica.number for replica in decided}:
                busy |= await self._remove_unknown(engine, state, model)
        self._note_loaded(engine, decided, present)
        engine.reports = self._build_reports(engine, decided, present)
        return busy

    def _decided(self, engine: _Engine) -> list[Replica]:
        name = engine.backend.settings.name
        host = self.kernel.settings.host_name
        replicas = self.kernel.find("feed").state.replicas.values()
        return [r for r in replicas if r.backend == name and r.host == host]

    async def _advance(
        self,
        engine: _Engine,
        state: EngineState,
        replica: Replica,
        present: dict[str, ModelState],
    ) -> bool:
        model = present.get(replica.model)
        if model is not None and model.replica != replica.number:
            # The weights of another replica must be unloaded first.
            return True
        if replica.phase == "ordered":
            if model is None and replica.number not in engine.failed:
                await self._order_load(engine, state, replica)
            return model is None or model.state == "loading"
        if replica.phase in ("unloading", "failed") and model is not None:
            if not engine.backend.in_flight.get(replica.model):
                await self._order_unload(engine, state, replica.model, replica.number)
            return True
        return False

    async def _order_load(
        self, engine: _Engine, state: EngineState, replica: Replica
    ) -> None:
        """Order a load once.

        If the model is absent after its load was ordered, the engine has lost the load
        and the replica counts as failed.
        """
        key = (state.incarnation, replica.number, "load")
        if any(number == replica.number for _, number, _ in engine.ordered):
            engine.failed[replica.number] = "the engine lost the load"
            return
        engine.ordered.add(key)
        checkpoint = self._find_checkpoint(replica)
        order = ModelOrder(
            replica.model,
            replica.number,
            checkpoint,
            replica.from_tier,
            replica.memory_mb,
        )
        call = engine.backend.dialect.load_model(order, engine.backend.token)
        await self._give_order(engine, replica.number, call)

    def _find_checkpoint(self, replica: Replica) -> str:
        document = self.kernel.find("feed").state.document(replica.service)
        models = document.models if document else []
        return next((m.checkpoint for m in models if m.name == replica.model), "")

    async def _order_unload(
        self, engine: _Engine, state: EngineState, model: str, number: int
    ) -> None:
        order = ModelOrder(model, number)
        call = engine.backend.dialect.unload_model(order, engine.backend.token)
        await self._give_order(engine, number, call)
        engine.backend.admission.forget_model(model)

    async def _remove_unknown(
        self, engine: _Engine, state: EngineState, model: ModelState
    ) -> bool:
        """Unload a model whose replica is not in the log.

        A replica number above this node's log index may belong to a replica that this
        node has not seen yet, so it is left alone. Any other one has been removed, and
        an engine with fencing accepts the order.
        """
        version = self.kernel.find("feed").state.version
        if model.replica > version:
            return False
        await self._order_unload(engine, state, model.model, max(model.replica, 1))
        return True

    async def _give_order(self, engine: _Engine, number: int, call: HttpCall) -> None:
        try:
            status, body = await self._send(engine.backend, call)
            engine.backend.dialect.read_result(status, body)
        except BackendUnreachable as error:
            # The order was not sent, so it may be sent again.
            engine.ordered = {key for key in engine.ordered if key[1] != number}
            self._note_lost(engine, error)
        except FenceRejected as error:
            engine.failed[number] = str(error)
        except BackendError as error:
            engine.failed[number] = str(error)
            events.emit(
                _logger,
                events.ORDER_FAILED,
                backend=engine.backend.settings.name,
                replica=number,
                error=error,
            )

    def _note_loaded(
        self, engine: _Engine, decided: list[Replica], present: dict[str, ModelState]
    ) -> None:
        engine.backend.loaded = {
            replica.model: replica.number
            for replica in decided
            if replica.phase in ("ordered", "loaded")
            and replica.model in present
            and present[replica.model].replica == replica.number
            and present[replica.model].state == "loaded"
        }

    def _build_reports(
        self, engine: _Engine, decided: list[Replica], present: dict[str, ModelState]
    ) -> list[ReplicaReport]:
        reports = []
        for replica in decided:
            model = present.get(replica.model)
            if model is not None and model.replica != replica.number:
                model = None
            state, reason = _judge(engine, replica, model)
            if state:
                reports.append(
                    ReplicaReport(replica.number, replica.model, state, reason)
                )
        numbers = {replica.number for replica in decided}
        for model in present.values():
            if model.replica not in numbers:
                reports.append(
                    ReplicaReport(model.replica, model.model, model.state, "unknown")
                )
        return reports


def _judge(
    engine: _Engine, replica: Replica, model: ModelState | None
) -> tuple[str, str]:
    """Return the state to report for a decided replica and the reason for it."""
    if model is not None:
        return model.state, model.reason
    if replica.phase == "ordered":
        reason = engine.failed.get(replica.number)
        return ("failed", reason) if reason is not None else ("", "")
    return "gone", "the engine does not have it"
