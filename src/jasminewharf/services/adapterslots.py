"""Load slots for adapters, granted by the leader of log group ``fleet``."""

import asyncio
from typing import ClassVar

from .. import defaults
from ..decisions.adapters import AdapterSlots
from ..exceptions import NotLeader
from ..kernel import Kernel, Service
from ..messages.control import (
    AdapterSlotAnswer,
    AdapterSlotRelease,
    AdapterSlotRequest,
)
from .control import FLEET_GROUP
from .link import Peer

__all__ = ["AdapterSlotOwner"]


class AdapterSlotOwner(Service):
    """Grants slots while this host is the leader.

    A new leader does not know the grants of its predecessor, so it grants none until
    those have expired.
    """

    name: ClassVar[str] = "adapter_slots"
    requires: ClassVar[tuple[str, ...]] = ("log", "control")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._slots: AdapterSlots | None = None
        # The first leader of a new cluster waits as well, although no grants exist,
        # because it cannot be distinguished from a later one.
        self._limit = kernel.settings.store.concurrent_adapter_loads

    async def start(self) -> None:
        """Register the handlers of slot requests."""
        control = self.kernel.find("control")
        control.handle(AdapterSlotRequest, self._request)
        control.handle(AdapterSlotRelease, self._release)

    def _get_slots(self) -> AdapterSlots:
        log = self.kernel.find("log")
        if not log.is_leader(FLEET_GROUP):
            self._slots = None
            raise NotLeader(FLEET_GROUP, log.leader(FLEET_GROUP))
        if self._slots is None:
            self._slots = AdapterSlots(self._limit)
            self._slots.start(_now())
        return self._slots

    async def _request(
        self, peer: Peer, message: AdapterSlotRequest
    ) -> AdapterSlotAnswer:
        slots = self._get_slots()
        await self.kernel.find("log").read_barrier(FLEET_GROUP)
        grant = slots.request(message.holder, message.wanted, _now())
        if grant is None:
            return AdapterSlotAnswer(0, 0, 0)
        lease_ms = int(defaults.ADAPTER_SLOT_LEASE_S * defaults.MS_PER_S)
        return AdapterSlotAnswer(grant.number, grant.count, lease_ms)

    def _release(self, peer: Peer, message: AdapterSlotRelease) -> None:
        if self._slots is not None:
            self._slots.release(message.number)


def _now() -> float:
    return asyncio.get_running_loop().time()
