"""A control host's feed of committed changes to its subscribers."""

import asyncio
from collections.abc import Callable
from typing import ClassVar

from .. import defaults
from ..exceptions import ConsensusError
from ..kernel import Kernel, Service
from ..messages.feed import (
    ConfirmFreshness,
    FeedChanges,
    FeedSnapshot,
    FreshnessConfirmed,
    Subscribe,
)
from .control import FLEET_GROUP
from .link import Peer

__all__ = ["Publisher"]


class Publisher(Service):
    """Sends committed commands to subscribers and confirms their freshness."""

    name: ClassVar[str] = "publisher"
    requires: ClassVar[tuple[str, ...]] = ("log", "fleet", "control")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._sent: dict[bytes, tuple[Peer, int]] = {}
        self._scheduled = False
        self._round: asyncio.Task[int | ConsensusError] | None = None
        self._next_round: asyncio.Task[int | ConsensusError] | None = None
        self.on_subscribe: Callable[[], None] = lambda: None

    def subscribers(self) -> list[Peer]:
        """Return the peers that follow this host."""
        live = {peer.routing_id for peer in self.kernel.find("control").peers()}
        return [peer for key, (peer, _) in self._sent.items() if key in live]

    async def start(self) -> None:
        """Answer subscriptions and pings."""
        control = self.kernel.find("control")
        control.handle(Subscribe, self._subscribe)
        control.handle(ConfirmFreshness, self._confirm)
        self.kernel.find("log").subscribe(FLEET_GROUP, self._note_commit)

    def _subscribe(self, peer: Peer, message: Subscribe) -> None:
        self._sent[peer.routing_id] = (peer, message.version)
        self._schedule()
        self.on_subscribe()

    def _note_commit(self, index: int, command: bytes) -> None:
        self._schedule()

    def _schedule(self) -> None:
        """Send once per event-loop turn, so that commits leave together."""
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._send_all)

    def _send_all(self) -> None:
        self._scheduled = False
        live = {peer.routing_id for peer in self.kernel.find("control").peers()}
        for routing_id, (peer, version) in list(self._sent.items()):
            if routing_id not in live:
                del self._sent[routing_id]
                continue
            self._sent[routing_id] = (peer, self._send_after(peer, version))

    def _send_after(self, peer: Peer, version: int) -> int:
        state = self.kernel.find("fleet").state
        if version >= state.version:
            return version
        # A new node has no use for the commands that led to the present state.
        is_new = version == 0
        entries = self.kernel.find("log").entries_after(FLEET_GROUP, version)
        if is_new or entries is None or len(entries) > defaults.FEED_CHANGES_LIMIT:
            peer.send(FeedSnapshot(state.version, state.snapshot()))
            return state.version
        commands = [entry for entry in entries if entry[0] <= state.version]
        peer.send(FeedChanges(version, state.version, commands))
        return state.version

    async def _confirm(
        self, peer: Peer, message: ConfirmFreshness
    ) -> FreshnessConfirmed:
        version = await asyncio.shield(self._join_round())
        if isinstance(version, ConsensusError):
            raise version
        return FreshnessConfirmed(message.nonce, version)

    def _join_round(self) -> asyncio.Task[int | ConsensusError]:
        """Return a confirmation that has not begun yet, so that it covers now."""
        if self._next_round is None:
            self._next_round = self.spawn(self._run_round(self._round))
        return self._next_round

    async def _run_round(
        self, previous: asyncio.Task[int | ConsensusError] | None
    ) -> int | ConsensusError:
        if previous is not None:
            await asyncio.wait([previous])
        self._round = self._next_round
        self._next_round = None
        try:
            return await self._read_version()
        except ConsensusError as error:
            return error

    async def _read_version(self) -> int:
        """Return a version that a quorum confirmed after this call began."""
        await self.kernel.find("log").read_barrier(FLEET_GROUP)
        return self.kernel.find("fleet").state.version
