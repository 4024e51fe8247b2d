"""Load slots of the weight store: the owner that grants them, and its client."""

import asyncio
import contextlib
import logging
from typing import ClassVar

from .. import defaults, events
from ..decisions.storequeue import (
    StoreQueue,
    allows_unowned_load,
    estimate_slowdown,
)
from ..exceptions import (
    ConsensusError,
    Forbidden,
    ImplausibleDemand,
    LinkError,
    NotLeader,
    PeerUnavailable,
)
from ..kernel import Kernel, Service
from ..messages.servers import AskStore, HoldStore, ReleaseStore, StoreTurn
from .control import FLEET_GROUP
from .link import Peer

__all__ = ["StoreSlotOwner", "StoreSlotClient"]

_logger = logging.getLogger(__name__)


class StoreSlotOwner(Service):
    """Grants slots for loads from the store while this host leads the fleet log."""

    name: ClassVar[str] = "store-owner"
    requires: ClassVar[tuple[str, ...]] = ("process", "log", "control")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._queue: StoreQueue | None = None
        self._started = _now()
        self._metrics = kernel.find("process").metrics

    async def start(self) -> None:
        """Register the handlers of agents' messages."""
        control = self.kernel.find("control")
        control.handle(AskStore, self._ask)
        control.handle(HoldStore, self._hold)
        control.handle(ReleaseStore, self._release)
        self._metrics.watch(
            "store_loads_at_once", lambda: self._queue.at_once if self._queue else 0
        )

    def _get_queue(self) -> StoreQueue:
        """Return the slot queue, which is created anew in each term as leader.

        Raises:
            NotLeader: If this host is not the leader.
        """
        log = self.kernel.find("log")
        if not log.is_leader(FLEET_GROUP):
            self._queue = None
            raise NotLeader(FLEET_GROUP, log.leader(FLEET_GROUP))
        if self._queue is None:
            age_s = _now() - self._started
            is_first = (
                self.kernel.settings.fleet.first_start and age_s < defaults.FOUNDING_S
            )
            self._queue = StoreQueue(_now(), is_first)
        return self._queue

    def _ask(self, peer: Peer, request: AskStore) -> StoreTurn:
        _check_agent(peer)
        queue = self._get_queue()
        load_s = request.load_ms / defaults.MS_PER_S
        try:
            turn = queue.request_slot(
                request.address,
                request.model,
                request.weight,
                load_s,
                _now(),
                request.at_once,
            )
        except ImplausibleDemand as error:
            self._metrics.count("demands_dropped_total")
            events.emit(
                _logger,
                events.DEMAND_DROPPED,
                peer=peer.node,
                want=request,
                error=error,
            )
            return StoreTurn(False, queue.at_once)
        self._log_ended(queue)
        if turn.is_granted:
            events.emit(
                _logger,
                events.STORE_SLOT_GRANTED,
                engine=request.address,
                model=request.model,
                weight=round(request.weight, 2),
                in_use=queue.in_use,
                at_once=queue.at_once,
                waiting=queue.waiting,
            )
        outcome = "granted" if turn.is_granted else "denied"
        self._metrics.count("store_turns_total", outcome=outcome)
        return StoreTurn(*turn)

    def _hold(self, peer: Peer, held: HoldStore) -> None:
        _check_agent(peer)
        with contextlib.suppress(NotLeader):
            self._get_queue().renew_slot(
                held.address, held.model, held.is_loading, _now(), held.at_once
            )

    def _release(self, peer: Peer, released: ReleaseStore) -> None:
        _check_agent(peer)
        with contextlib.suppress(NotLeader):
            queue = self._get_queue()
            before = queue.at_once
            queue.release(released.address, released.is_complete, _now())
            self._log_ended(queue)
            if queue.at_once != before:
                events.emit(
                    _logger,
                    events.STORE_SPEED_LEARNED,
                    at_once=queue.at_once,
                    before=before,
                    engine=released.address,
                )

    def _log_ended(self, queue: StoreQueue) -> None:
        for end in queue.drain_ended():
            events.emit(
                _logger,
                events.STORE_SLOT_RETURNED,
                engine=end.engine,
                model=end.model,
                held_ms=int(end.held_s * defaults.MS_PER_S),
                loaded_ms=int(end.loaded_s * defaults.MS_PER_S),
                outcome=end.outcome,
            )


class StoreSlotClient:
    """Requests and holds the store slot of one agent's engine.

    Attributes:
        at_once: Number of concurrent loads that the store serves at full speed, as last
            reported by the owner; 0 if unknown.
    """

    def __init__(self, kernel: Kernel, address: str) -> None:
        self._kernel = kernel
        self._address = address
        self.at_once = 0
        self._model = ""
        self._granted_at = 0.0
        self._held_at = 0.0
        self._is_loading = False
        # Whether the owner may still count a request of this engine.
        self._is_queued = False
        self._silent_until = float("-inf")
        # When the first request without an answer was sent, after the last answer.
        self._silent_since = float("inf")
        self._metrics = kernel.find("process").metrics

    @property
    def has_owner(self) -> bool:
        """Whether the owner is assumed reachable: no request to it failed recently."""
        return _now() >= self._silent_until

    @property
    def unused_slot(self) -> str:
        """The model that the engine may load from the store and has not begun to."""
        return "" if self._is_loading else self._model

    async def request_slot(
        self, model: str, weight: float, load_s: float, others: int
    ) -> bool:
        """Return whether the engine may load a model from the store now.

        If no owner is reachable, the load is allowed after a while that grows with the
        loads of other engines.

        Args:
            model: The model.
            weight: Total weight of its callers.
            load_s: Uncontended load time in seconds.
            others: Loads from the store in progress on other engines.
        """
        if self._model == model:
            return True
        self.release(is_complete=False)
        if self.has_owner:
            answer = await self._ask_owner(model, weight, load_s)
            if answer is not None:
                self.at_once = answer.at_once
                self._is_queued = not answer.is_granted
                if not answer.is_granted:
                    return False
        if not self.has_owner:
            silent_s = _now() - self._silent_since
            if not allows_unowned_load(self._address, others, silent_s):
                return False
        self._model = model
        self._granted_at = self._held_at = _now()
        return True

    async def _ask_owner(
        self, model: str, weight: float, load_s: float
    ) -> StoreTurn | None:
        load_ms = int(load_s * defaults.MS_PER_S)
        request = AskStore(self._address, model, weight, load_ms, self.at_once)
        asked_at = _now()
        try:
            answer = await self._kernel.find("controllers").request_repeatable(
                FLEET_GROUP,
                request,
                defaults.STORE_ASK_TIMEOUT_S,
                defaults.CONTROL_QUICK_ATTEMPT_S,
            )
        except (ConsensusError, LinkError) as error:
            self._silent_since = min(self._silent_since, asked_at)
            self._silent_until = _now() + defaults.STORE_SILENT_S
            self._metrics.count("store_owner_silent_total")
            events.emit(_logger, events.STORE_OWNER_SILENT, model=model, error=error)
            return None
        self._silent_since = float("inf")
        return answer

    def estimate_slowdown(self, others: int) -> float:
        """Return by how much a load takes longer beside ``others`` from the store."""
        return estimate_slowdown(others, self.at_once)

    def note_loading(self) -> None:
        """Tell the owner that the load starts now."""
        self._is_loading = True
        self._hold()

    def renew(self) -> None:
        """Renew the slot, or return it if no load was started in time."""
        if not self._model:
            return
        if not self._is_loading and _now() - self._granted_at > defaults.STORE_UNUSED_S:
            self.release(is_complete=False)
        elif _now() - self._held_at >= defaults.STORE_HOLD_S:
            self._hold()

    def _hold(self) -> None:
        self._held_at = _now()
        self._send(
            HoldStore(self._address, self._model, self._is_loading, self.at_once)
        )

    def withdraw(self) -> None:
        """Return an unused slot or a request, which would hold up other engines."""
        if self.unused_slot or (self._is_queued and not self._model):
            self._is_queued = False
            self._model = ""
            self._send(ReleaseStore(self._address, False))

    def release(self, is_complete: bool) -> None:
        """Return the slot, if one is held."""
        if self._model:
            self._model = ""
            self._is_loading = False
            self._send(ReleaseStore(self._address, is_complete))

    def _send(self, message: HoldStore | ReleaseStore) -> None:
        """Send a message to all control hosts; if it is lost, the slot expires in time.

        Nobody answers it, so that the engine would not notice that another host owns
        the slots by now. Those that do not own them ignore it.
        """
        is_sent = False
        for link in self._kernel.find("controllers").links.values():
            with contextlib.suppress(PeerUnavailable):
                link.send(message)
                is_sent = True
        if not is_sent:
            self._metrics.count("store_messages_lost_total")


def _check_agent(peer: Peer) -> None:
    if peer.hello is None or peer.hello.role != "agent":
        raise Forbidden("only an agent may load from the store")


def _now() -> float:
    return asyncio.get_running_loop().time()
