"""What an agent tells of the cold time of its engine."""

import asyncio
import math
from collections.abc import Callable

from .. import defaults
from ..decisions.coldservers import ColdRule
from ..kernel import Kernel
from ..messages.servers import ServerColdTime, ServerColdTimes
from .link import Peer

__all__ = ["ColdEngine"]

_NEVER = float("-inf")


class ColdEngine:
    """Tells all nodes at once when the engine turns cold, and repeats its state.

    Args:
        kernel: The agent's kernel.
        address: The engine's address.
        peers: Returns the nodes that are linked to this agent.
    """

    def __init__(
        self, kernel: Kernel, address: str, peers: Callable[[], list[Peer]]
    ) -> None:
        self._kernel = kernel
        self._address = address
        self._peers = peers
        self._told_at = _NEVER
        # Until when the engine is cold, by what was told last.
        self._until = _NEVER
        self._born_ms = 0

    @property
    def rule(self) -> ColdRule | None:
        """The rule of the engine's service; None if it is never cold."""
        directory = self._kernel.find("directory").directory
        table = self._kernel.find("view").table
        server = directory.at_address(self._address)
        if table is None or server is None:
            return None
        service = table.services.get(server.listed.service)
        return service.cold if service is not None else None

    def note(self, cold_ms: float | None, born_ms: int | None, sent_at: float) -> None:
        """Record what the engine says of itself, and tell it if it is news.

        Args:
            cold_ms: What it says; None if nothing, NaN if that cannot be read.
            born_ms: When the engine started.
            sent_at: When it was asked.
        """
        if cold_ms is None or math.isnan(cold_ms) or self.rule is None:
            return
        now = _now()
        if cold_ms > 0:
            # It may have been said right now.
            cold_ms += (now - sent_at) * defaults.MS_PER_S
        until = sent_at + cold_ms / defaults.MS_PER_S
        is_news = (
            born_ms != self._born_ms
            or (until > now) != (self._until > now)
            or until > max(self._until, now) + defaults.COLD_ARRIVAL_S
        )
        if not is_news and now - self._told_at < defaults.COLD_REPEAT_S:
            return
        self._told_at = now
        self._until = until
        self._born_ms = born_ms or 0
        age_ms = max(int((now - sent_at) * defaults.MS_PER_S), 0)
        time = ServerColdTime(self._address, self._born_ms, cold_ms, age_ms, True)
        cold = self._kernel.find("cold-servers")
        cold.take_times(ServerColdTimes([time]))
        if is_news:
            for peer in self._peers():
                peer.send(ServerColdTimes([time]))
        cold.tell(time)


def _now() -> float:
    return asyncio.get_running_loop().time()
