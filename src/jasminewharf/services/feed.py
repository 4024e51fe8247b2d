"""A node's view of the fleet, fed by one control host."""

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

__all__ = ["Feed"]

_logger = logging.getLogger(__name__)

Listener = Callable[[list[Any]], None]


class Feed(Service):
    """Subscribes to one control host and applies its changes in order.

    Attributes:
        state: The fleet state at the version that this node has reached.
        source: The control host that feeds this node; empty if there is none.
    """

    name: ClassVar[str] = "feed"
    requires: ClassVar[tuple[str, ...]] = ("process", "controllers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        timing = kernel.settings.timing
        self.state = FleetState()
        self.source = ""
        self._lease = FreshnessLease(timing.freshness_lease_s)
        self._interval_s = timing.freshness_lease_s * defaults.FRESHNESS_PING_SHARE
        self._listeners: list[Listener] = []
        self._was_valid = False
        self._far_until = float("-inf")
        # The welcome of the connection that this node subscribed over.
        self._subscribed: Welcome | None = None

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each batch of applied commands.

        The batch is empty if the state was replaced by a snapshot.
        """
        self._listeners.append(listener)

    def is_fresh(self) -> bool:
        """Return whether a quorum confirmed this view within the lease."""
        return self._lease.is_valid(asyncio.get_running_loop().time())

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
        failures = 0
        while True:
            started = asyncio.get_running_loop().time()
            if await self._ping():
                failures = 0
                elapsed = asyncio.get_running_loop().time() - started
                await asyncio.sleep(max(self._interval_s - elapsed, 0))
            else:
                failures += 1
                self._move_source(failures)
                await asyncio.sleep(defaults.CONTROL_RETRY_S)
            self._log_staleness()

    def _log_staleness(self) -> None:
        is_valid = self.is_fresh()
        if self._was_valid and not is_valid:
            events.emit(_logger, events.VIEW_STALE, version=self.state.version)
        elif is_valid and not self._was_valid:
            events.emit(
                _logger,
                events.VIEW_FRESH,
                version=self.state.version,
                source=self.source,
            )
        self._was_valid = is_valid

    async def _ping(self) -> bool:
        link = self._find_link()
        if link is None:
            return False
        if link.welcome is not self._subscribed:
            # The control host knows a connection that was made anew as another peer.
            self._subscribe(link)
        loop = asyncio.get_running_loop()
        nonce = self._lease.begin_ping(loop.time())
        try:
            answer = await link.request(
                ConfirmFreshness(nonce, self.state.version), self._interval_s
            )
        except JasminewharfError:
            return False
        if not isinstance(answer, FreshnessConfirmed):
            return False
        if answer.version > self.state.version:
            self._subscribe(link)
        return self._lease.confirm(answer.nonce, answer.version, self.state.version)

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

    def _move_source(self, failures: int) -> None:
        if not self.source or failures < defaults.FEED_FAILURES_BEFORE_MOVE:
            return
        links = self.kernel.find("controllers").links
        loop = asyncio.get_running_loop()
        self._far_until = loop.time() + defaults.FEED_NEAR_RETRY_S
        ranked = self._rank_hosts(list(links))
        position = ranked.index(self.source)
        for step in range(1, len(ranked)):
            name = ranked[(position + step) % len(ranked)]
            if links[name].is_connected:
                events.emit(
                    _logger,
                    events.FEED_MOVED,
                    previous=self.source,
                    source=name,
                    reason="late",
                    version=self.state.version,
                )
                self.source = name
                self._subscribe(links[name])
                return

    def _subscribe(self, link: Any) -> None:
        try:
            link.send(Subscribe(self.state.version))
            self._subscribed = link.welcome
        except PeerUnavailable:
            self.source = ""

    def _take_changes(self, host: str, changes: FeedChanges) -> None:
        if host != self.source:
            return
        if changes.version < self.state.version:
            events.emit(
                _logger, events.FEED_REFUSED, source=host, version=changes.version
            )
            return
        if changes.base_version > self.state.version:
            self._subscribe(self.kernel.find("controllers").links[host])
            return
        applied = []
        for index, data in changes.commands:
            if index > self.state.version:
                command = decode(data)
                self.state.apply_message(index, command)
                applied.append(command)
        self.state.version = max(self.state.version, changes.version)
        if applied:
            self._notify(applied)

    def _take_snapshot(self, host: str, snapshot: FeedSnapshot) -> None:
        if host != self.source or snapshot.version <= self.state.version:
            return
        self.state.restore(snapshot.state)
        self.state.version = snapshot.version
        events.emit(_logger, events.VIEW_RESTORED, version=snapshot.version)
        self._notify([])

    def _notify(self, applied: list[Any]) -> None:
        for listener in self._listeners:
            listener(applied)
