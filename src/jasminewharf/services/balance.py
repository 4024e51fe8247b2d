"""Balances requests over the servers of a service by their pace."""

import asyncio
import logging
from collections.abc import Sequence

from .. import defaults, events
from ..decisions.directory import Directory, Server
from ..decisions.eventrate import EventRate
from ..decisions.pace import PaceChange
from ..decisions.spreading import Spread
from ..kernel import Kernel

__all__ = ["Balance"]

_logger = logging.getLogger(__name__)

_CHANGE_EVENTS = {
    "pace": events.PACE_CHANGED,
    "restarted": events.WINDOW_RESTARTED,
    "cut": events.WINDOW_CUT,
    "full": events.WINDOW_FULL,
}


class Balance:
    """Provides what choices by pace depend on, and logs what becomes of the paces."""

    def __init__(self, kernel: Kernel, directory: Directory) -> None:
        self._kernel = kernel
        self._directory = directory
        process = kernel.find("process")
        self._random = process.random
        self._metrics = process.metrics
        self._rates: dict[str, EventRate] = {}
        self._usable: dict[str, frozenset[str]] = {}
        self._active: set[str] = set()
        # Servers with gauges, by name.
        self._watched: dict[str, Server] = {}

    def build_spread(self, service: str, now: float) -> Spread | None:
        """Return what a choice depends on; None if the pace does not count."""
        if not self._directory.service_pace(service).is_active:
            return None
        rate = self._rates.get(service)
        arrivals = 0.0
        if rate is not None:
            entries = self._kernel.find("rates").entries
            arrivals = rate.read(now) * entries * defaults.PACE_BLIND_S
        return Spread(now, self._random.random, arrivals)

    def note_sent(self, service: str, now: float) -> None:
        """Count a request that is sent to a server of a service."""
        rate = self._rates.get(service)
        if rate is None:
            rate = self._rates[service] = EventRate(defaults.PACE_RATE_WINDOW_S)
        rate.add(1, now)

    def note_usable(self, service: str, servers: Sequence[Server], now: float) -> None:
        """Begin with few requests at servers that were not usable before.

        Those of the first look are taken for running ones: a node that has just started
        knows nothing of them.
        """
        usable = frozenset([server.incarnation for server in servers])
        known = self._usable.get(service)
        if usable == known:
            return
        self._usable[service] = usable
        if known is None:
            return
        for server in servers:
            if server.incarnation not in known:
                is_new = now - server.found_at <= defaults.AGENT_FRESH_S
                server.pace.restart(now, "new" if is_new else "returned")

    def review(self) -> None:
        """Log what has changed and keep a gauge for each server."""
        now = _now()
        servers = self._directory.servers
        for name, server in servers.items():
            for change in server.pace.take_changes(now):
                self._log(server, change)
            if server.pace.is_active and self._watched.get(name) is not server:
                self._watch(server)
        for name in [name for name in self._watched if name not in servers]:
            del self._watched[name]
            for gauge in ("backend_pace", "backend_window"):
                self._metrics.unwatch(gauge, server=name)

    def _log(self, server: Server, change: PaceChange) -> None:
        self._metrics.count("pace_changes_total", kind=change.kind)
        events.emit(
            _logger,
            _CHANGE_EVENTS[change.kind],
            server=server.name,
            reason=change.reason,
            pace_percent=round(change.factor * 100),
            window_percent=round(change.window * 100),
            load=server.load,
            slots=server.listed.slots,
        )

    def _watch(self, server: Server) -> None:
        name, pace = server.name, server.pace
        self._watched[name] = server
        self._metrics.watch(
            "backend_pace", lambda: pace.usual_factor(_now()), server=name
        )
        self._metrics.watch("backend_window", lambda: pace.window(_now()), server=name)
        service = server.listed.service
        if service not in self._active:
            self._active.add(service)
            events.emit(_logger, events.PACE_ACTIVE, service=service, server=name)
            self._metrics.watch(
                "busiest_backend_load",
                lambda: self._measure_busiest(service),
                service=service,
            )

    def _measure_busiest(self, service: str) -> float:
        """Return the largest load of a server relative to the mean; 0 without load."""
        loads = [server.load for server in self._directory.in_service(service)]
        total = sum(loads)
        return max(loads) * len(loads) / total if total else 0.0


def _now() -> float:
    return asyncio.get_running_loop().time()
