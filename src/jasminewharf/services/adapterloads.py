"""Loads adapters on first use, within the memory reserved by their replica."""

import asyncio
from typing import ClassVar

from .. import defaults
from ..decisions.adapters import AdapterReservation, batch_adapters
from ..dialects import AdapterOrder
from ..documents import Adapter, Model
from ..exceptions import (
    BackendError,
    BackendUnreachable,
    JasminewharfError,
    ModelUnavailable,
)
from ..kernel import Kernel, Service
from ..messages.control import (
    AdapterSlotAnswer,
    AdapterSlotRelease,
    AdapterSlotRequest,
)
from .backend import Backend
from .control import FLEET_GROUP

__all__ = ["AdapterLoader"]

_RETRY_MS = 1000


class _Residency:
    """The adapters of one replica.

    Attributes:
        reservation: The adapter memory of the replica.
        ready: Adapters that are loaded.
        users: Number of calls that use an adapter or wait for it.
    """

    def __init__(self, memory_mb: int) -> None:
        self.reservation = AdapterReservation(memory_mb)
        self.ready: set[str] = set()
        self.users: dict[str, int] = {}


class _Wanted:
    def __init__(self, order: AdapterOrder, backend: Backend, deadline: float) -> None:
        self.order = order
        self.backend = backend
        self.deadline = deadline
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()


class AdapterLoader(Service):
    """Loads adapters, each with a load slot granted by the leader of the fleet log."""

    name: ClassVar[str] = "adapters"
    requires: ClassVar[tuple[str, ...]] = ("process", "controllers", "feed")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._replicas: dict[int, _Residency] = {}
        self._wanted: dict[tuple[int, str], _Wanted] = {}
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Start to load requested adapters as slots are granted."""
        self.spawn(self._load_forever(), essential=True)

    async def acquire(
        self, backend: Backend, model: str, adapter: str, deadline: float
    ) -> int:
        """Wait until an adapter is loaded and pin it until :meth:`release`.

        Returns:
            The number of the replica that holds the adapter.

        Raises:
            ModelUnavailable: If it cannot be loaded before the deadline.
        """
        number = backend.loaded.get(model)
        found = self._find(model, adapter)
        if number is None or found is None:
            raise ModelUnavailable(f"adapter {adapter!r} cannot be loaded here")
        residency = self._open(number, found[0])
        residency.users[adapter] = residency.users.get(adapter, 0) + 1
        try:
            if adapter not in residency.ready:
                await self._make_room(backend, number, residency, found[1])
                await self._load(backend, number, model, adapter, deadline)
                residency.ready.add(adapter)
        except BaseException:
            self.release(number, adapter)
            raise
        residency.reservation.touch(adapter)
        return number

    def release(self, number: int, adapter: str) -> None:
        """Unpin an adapter after a call that used it has ended."""
        residency = self._replicas.get(number)
        if residency is not None:
            residency.users[adapter] -= 1

    def _find(self, model: str, adapter: str) -> tuple[Model, Adapter] | None:
        for offer in self.kernel.find("feed").state.offers_named(adapter):
            if offer.model.name == model and offer.adapter is not None:
                return offer.model, offer.adapter
        return None

    def _open(self, number: int, model: Model) -> _Residency:
        live = self.kernel.find("feed").state.replicas
        for gone in [n for n in self._replicas if n not in live]:
            del self._replicas[gone]
        if number not in self._replicas:
            self._replicas[number] = _Residency(model.adapter_memory_mb)
        return self._replicas[number]

    async def _make_room(
        self, backend: Backend, number: int, residency: _Residency, adapter: Adapter
    ) -> None:
        """Reserve memory for an adapter; unload unused adapters if it is needed."""
        reservation = residency.reservation
        if reservation.admit(adapter.name, adapter.memory_mb):
            return
        evicted = reservation.evict_for(
            adapter.memory_mb, lambda name: residency.users.get(name, 0) > 0
        )
        for name in evicted:
            residency.ready.discard(name)
            order = AdapterOrder(self._base_of(name), name, number)
            call = backend.dialect.unload_adapter(order, backend.token)
            await _send(backend, call)
            reservation.confirm_unloaded(name)
        if not reservation.admit(adapter.name, adapter.memory_mb):
            raise ModelUnavailable(
                "the replica has no memory for the adapter", retry_after_ms=_RETRY_MS
            )

    def _base_of(self, adapter: str) -> str:
        offers = self.kernel.find("feed").state.offers_named(adapter)
        return offers[0].model.name if offers else ""

    async def _load(
        self, backend: Backend, number: int, model: str, adapter: str, deadline: float
    ) -> None:
        key = (number, adapter)
        wanted = self._wanted.get(key)
        if wanted is None:
            order = AdapterOrder(model, adapter, number)
            wanted = self._wanted[key] = _Wanted(order, backend, deadline)
            self._wake.set()
        wanted.deadline = min(wanted.deadline, deadline)
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.shield(wanted.done)
        except TimeoutError:
            raise ModelUnavailable(
                "the adapter was not loaded in time", retry_after_ms=_RETRY_MS
            ) from None
        except BackendError as error:
            raise ModelUnavailable(
                f"the adapter could not be loaded: {error}", retry_after_ms=_RETRY_MS
            ) from error

    async def _load_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._wanted:
                await self._load_batch()

    async def _load_batch(self) -> None:
        waiting = [(key, item) for key, item in self._wanted.items()]
        try:
            grant = await self._request_slots(len(waiting))
        except JasminewharfError:
            await asyncio.sleep(defaults.CONTROL_RETRY_S)
            return
        if grant.count == 0:
            await asyncio.sleep(defaults.ADAPTER_SLOT_RETRY_S)
            return
        chosen = batch_adapters(
            [(f"{key[0]}/{key[1]}", item.deadline) for key, item in waiting],
            grant.count,
        )
        items = [item for key, item in waiting if f"{key[0]}/{key[1]}" in chosen]
        await asyncio.gather(*(self._load_one(item) for item in items))
        self._release_slots(grant.number)

    async def _request_slots(self, count: int) -> AdapterSlotAnswer:
        node = self.kernel.find("process").identity.node
        return await self.kernel.find("controllers").request_repeatable(
            FLEET_GROUP, AdapterSlotRequest(node, count)
        )

    def _release_slots(self, number: int) -> None:
        """Return the slots; if the message is lost, they expire with their lease."""
        for link in self.kernel.find("controllers").links.values():
            if link.is_connected:
                link.send(AdapterSlotRelease(number))

    async def _load_one(self, item: _Wanted) -> None:
        call = item.backend.dialect.load_adapter(item.order, item.backend.token)
        try:
            await _send(item.backend, call)
        except (BackendError, BackendUnreachable) as error:
            item.done.set_exception(error)
            # Marks the exception as retrieved, since all waiters may have timed out.
            item.done.exception()
        else:
            item.done.set_result(None)
        finally:
            del self._wanted[(item.order.replica, item.order.adapter)]


async def _send(backend: Backend, call) -> None:
    status, body = await backend.client.fetch(
        call.method, call.target, call.body, headers=list(call.headers)
    )
    backend.dialect.read_result(status, body)
