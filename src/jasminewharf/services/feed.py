"""A node's view of the fleet, fed by one control host.

A node starts without memory of its former life, and a control host may have missed what
that life had seen. What a node is fed counts only once a quorum has confirmed it.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, ClassVar

import xxhash

from .. import defaults, events
from ..decisions.fleet import FleetState
from ..decisions.freshness import FreshnessLease
from ..exceptions import JasminewharfError, PeerUnavailable
from ..kernel import Kernel, Service
from ..messages import decode
from ..messages.feed import (
    ConfirmFreshness,
    FeedChanges,
    FeedSnapshot,
    FreshnessConfirmed,
    Subscribe,
)
from ..messages.link import Welcome
from .link import LinkClient

__all__ = ["Feed"]

_logger = logging.getLogger(__name__)

Listener = Callable[[list[Any]], None]


class Feed(Service):
    """Subscribes to one control host and applies its changes in order.

    Attributes:
        state: The fleet state at the version that this node has reached; empty until
            a quorum has confirmed it for the first time in this life.
        source: The control host that feeds this node; empty if there is none.
    """

    name: ClassVar[str] = "feed"
    requires: ClassVar[tuple[str, ...]] = ("process", "controllers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        timing = kernel.settings.timing
        self.state = FleetState()
        # What was applied; becomes ``state`` with the first confirmation.
        self._fed = FleetState()
        self.source = ""
        self._lease = FreshnessLease(timing.freshness_lease_s)
        self._interval_s = timing.freshness_lease_s * defaults.FRESHNESS_PING_SHARE
        self._listeners: list[Listener] = []
        self._was_valid = False
        # Confirmations in a row that another host than the source gave first.
        self._late_answers = 0
        self._others_asked_at = float("-inf")
        self._far_until = float("-inf")
        # The welcome of the connection that this node subscribed over.
        self._subscribed: Welcome | None = None

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each batch of applied commands.

        The batch is empty if the state was replaced as a whole.
        """
        self._listeners.append(listener)

    def is_fresh(self) -> bool:
        """Return whether a quorum confirmed this view within the lease."""
        return self._lease.is_valid(asyncio.get_running_loop().time())

    def unconfirmed_s(self) -> float:
        """Return the seconds in which changes may have been committed unseen.

        What is applied now was committed that long ago at most.
        """
        return self._lease.unconfirmed_s(asyncio.get_running_loop().time())

    async def start(self) -> None:
        """Subscribe and keep the lease renewed."""
        controllers = self.kernel.find("controllers")
        controllers.handle(FeedChanges, self._take_changes)
        controllers.handle(FeedSnapshot, self._take_snapshot)
        self.spawn(self._keep_fresh(), essential=True)

    async def wait_fresh(self, timeout_s: float) -> bool:
        """Wait until the view is confirmed; return whether it is."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not self.is_fresh() and loop.time() < deadline:
            await asyncio.sleep(defaults.LINK_CONNECT_POLL_S)
        return self.is_fresh()

    async def _keep_fresh(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            if await self._confirm():
                elapsed = loop.time() - started
                await asyncio.sleep(max(self._interval_s - elapsed, 0))
            else:
                await asyncio.sleep(defaults.CONTROL_RETRY_S)
            self._log_staleness()

    def _log_staleness(self) -> None:
        is_valid = self.is_fresh()
        if self._was_valid and not is_valid:
            events.emit(_logger, events.VIEW_STALE, version=self._fed.version)
        elif is_valid and not self._was_valid:
            events.emit(
                _logger,
                events.VIEW_FRESH,
                version=self._fed.version,
                source=self.source,
            )
        self._was_valid = is_valid

    async def _confirm(self) -> bool:
        """Have a quorum confirm the view; ask all hosts if the source is late.

        Returns:
            Whether the lease was renewed.
        """
        link = self._find_link()
        if link is None:
            return False
        if link.welcome is not self._subscribed:
            # The control host knows a connection that was made anew as another peer.
            self._subscribe(link)
        pings = {asyncio.create_task(self._ping(link)): self.source}
        try:
            done, _ = await asyncio.wait(pings, timeout=defaults.FEED_ANSWER_S)
            if not any(ping.result() for ping in done):
                for name, other in self._list_others(link):
                    pings[asyncio.create_task(self._ping(other))] = name
            return await self._take_first_answer(pings)
        finally:
            for ping in pings:
                ping.cancel()

    def _list_others(self, link: LinkClient) -> list[tuple[str, LinkClient]]:
        """Return the other control hosts to ask, rarely while none can confirm."""
        now = asyncio.get_running_loop().time()
        if now - self._others_asked_at < defaults.FEED_ANSWER_S:
            return []
        self._others_asked_at = now
        links = self.kernel.find("controllers").links
        return [
            (name, other)
            for name, other in links.items()
            if other is not link and other.is_connected
        ]

    async def _take_first_answer(
        self, pings: dict[asyncio.Task[FreshnessConfirmed | None], str]
    ) -> bool:
        pending = set(pings)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for ping in done:
                answer = ping.result()
                if answer is not None:
                    return self._take_answer(pings[ping], answer)
        return False

    def _take_answer(self, name: str, answer: FreshnessConfirmed) -> bool:
        """Take a confirmation; follow the host that gave it if the source is late."""
        is_behind = answer.version > self._fed.version
        is_source = name == self.source
        self._late_answers = 0 if is_source else self._late_answers + 1
        is_late = self._late_answers >= defaults.FEED_FAILURES_BEFORE_MOVE
        has_moved = not is_source and (is_behind or is_late)
        if has_moved:
            self._move_source(name, "behind" if is_behind else "late")
        link = self.kernel.find("controllers").links.get(name)
        if link is not None and (is_behind or has_moved):
            self._subscribe(link)
        if not self._lease.confirm(answer.nonce, answer.version, self._fed.version):
            return False
        if self.state is not self._fed:
            self.state = self._fed
            self._notify([])
        return True

    async def _ping(self, link: LinkClient) -> FreshnessConfirmed | None:
        """Return a control host's confirmation; None if it gives none in time."""
        nonce = self._lease.begin_ping(asyncio.get_running_loop().time())
        ping = ConfirmFreshness(nonce, self._fed.version)
        try:
            answer = await link.request(ping, self._interval_s)
        except JasminewharfError:
            return None
        return answer if isinstance(answer, FreshnessConfirmed) else None

    def _find_link(self) -> Any:
        links = self.kernel.find("controllers").links
        link = links.get(self.source)
        now = asyncio.get_running_loop().time()
        if link is not None and link.is_connected:
            if self._is_near(self.source) or now < self._far_until:
                return link
            near = [n for n in links if links[n].is_connected and self._is_near(n)]
            if not near:
                return link
        self.source = ""
        for name in self._rank_hosts(list(links)):
            if links[name].is_connected:
                self.source = name
                self._subscribe(links[name])
                return links[name]
        return None

    def _is_near(self, name: str) -> bool:
        """Return whether a control host is known to be in this node's zone."""
        welcome = self.kernel.find("controllers").links[name].welcome
        return welcome is not None and welcome.zone == self.kernel.settings.zone

    def _rank_hosts(self, names: list[str]) -> list[str]:
        """Order the control hosts: near ones first, then by a hash to spread nodes."""
        node = self.kernel.settings.node
        return sorted(
            names,
            key=lambda name: (
                not self._is_near(name),
                xxhash.xxh64_intdigest(f"{node}/{name}".encode()),
            ),
        )

    def _move_source(self, name: str, reason: str) -> None:
        """Follow the host ``name``, even if another one is nearer."""
        events.emit(
            _logger,
            events.FEED_MOVED,
            previous=self.source,
            source=name,
            reason=reason,
            version=self._fed.version,
        )
        loop = asyncio.get_running_loop()
        self._far_until = loop.time() + defaults.FEED_NEAR_RETRY_S
        self._late_answers = 0
        self.source = name

    def _subscribe(self, link: Any) -> None:
        try:
            link.send(Subscribe(self._fed.version))
            self._subscribed = link.welcome
        except PeerUnavailable:
            self.source = ""

    def _take_changes(self, host: str, changes: FeedChanges) -> None:
        if host != self.source:
            return
        if changes.version < self._fed.version:
            events.emit(
                _logger, events.FEED_REFUSED, source=host, version=changes.version
            )
            return
        if changes.base_version > self._fed.version:
            self._subscribe(self.kernel.find("controllers").links[host])
            return
        applied = []
        for index, data in changes.commands:
            if index > self._fed.version:
                command = decode(data)
                self._fed.apply_message(index, command)
                applied.append(command)
        self._fed.version = max(self._fed.version, changes.version)
        if applied:
            self._notify(applied)

    def _take_snapshot(self, host: str, snapshot: FeedSnapshot) -> None:
        if host != self.source or snapshot.version <= self._fed.version:
            return
        self._fed.restore(snapshot.state)
        self._fed.version = snapshot.version
        events.emit(_logger, events.VIEW_RESTORED, version=snapshot.version)
        self._notify([])

    def _notify(self, applied: list[Any]) -> None:
        if self.state is not self._fed:
            return
        for listener in self._listeners:
            listener(applied)
