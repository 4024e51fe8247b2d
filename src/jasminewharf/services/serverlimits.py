"""A node's view of the request rates that backend servers name."""

import asyncio
import itertools
import logging
import math
from collections.abc import Callable
from typing import ClassVar

from .. import defaults, events
from ..decisions.serverlimits import LimitReading, ServerLimit
from ..exceptions import PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.servers import ServerLimitReports
from .control import FLEET_GROUP
from .limitreports import build_report, is_plausible, read_report

__all__ = ["ServerLimits"]

_logger = logging.getLogger(__name__)


class ServerLimits(Service):
    """Reads limits from answers, and exchanges them with the control hosts."""

    name: ClassVar[str] = "server-limits"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "controllers",
        "directory",
        "feed",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        process = kernel.find("process")
        self._table = kernel.find("directory").directory.limits
        self._observer = process.identity.incarnation
        self._readings = itertools.count(1)
        self._told_at: dict[ServerLimit, float] = {}
        self._listeners: list[Callable[[ServerLimit], None]] = []
        self._unknown_headers: set[str] = set()
        self._metrics = process.metrics

    async def start(self) -> None:
        """Take what control hosts tell."""
        controllers = self.kernel.find("controllers")
        controllers.handle(ServerLimitReports, self._take_reports)
        self.spawn(self._tidy_forever(), essential=True)
        self._metrics.watch("limited_servers", lambda: len(self._table))
        self._metrics.watch("oldest_limit_reading_seconds", self._find_oldest)

    def listen(self, listener: Callable[[ServerLimit], None]) -> None:
        """Call ``listener`` after each change of a server's limit."""
        self._listeners.append(listener)

    def note_answer(
        self,
        limit: ServerLimit,
        per_s: float | None,
        sent_at: float,
        *,
        may_end: bool,
        request_id: str = "",
    ) -> None:
        """Record what the head of an answer says of its server's limit.

        Args:
            limit: The server's limit as known so far.
            per_s: The limit that the answer names; None if none, NaN if unreadable.
            sent_at: When the request was sent, in seconds of the event loop's clock.
            may_end: Whether an answer without a limit tells that there is none.
            request_id: The request, for the log.
        """
        now = _now()
        if per_s is None:
            # An answer that cannot end a limit does not outdate one either.
            if not may_end:
                return
            if limit.reading is None:
                limit.note_answer(sent_at, now)
                return
        elif math.isnan(per_s):
            self._note_unreadable(limit, request_id)
            return
        before = limit.per_s
        number = next(self._readings)
        reading = LimitReading(per_s, sent_at, now, self._observer, number)
        if not self._table.apply(limit.server, reading):
            return
        is_changed = per_s != before
        if is_changed:
            self._note_change(limit, before, request_id)
        told_at = self._told_at.get(limit, -math.inf)
        if is_changed or now - told_at >= defaults.LIMIT_REPEAT_S:
            self._told_at[limit] = now
            self._tell(limit)

    def _note_change(
        self, limit: ServerLimit, before: float | None, request_id: str = ""
    ) -> None:
        reading = limit.reading
        self._metrics.count("server_limit_changes_total")
        events.emit(
            _logger,
            events.SERVER_LIMIT_CHANGED,
            request_id=request_id,
            server=limit.server.server,
            per_s=limit.per_s,
            before_per_s=before,
            age_ms=int(limit.confirmed_s(_now()) * defaults.MS_PER_S),
            observer=reading.observer if reading else 0,
            is_own=reading is not None and reading.observer == self._observer,
        )
        for listener in self._listeners:
            listener(limit)

    def _note_unreadable(self, limit: ServerLimit, request_id: str) -> None:
        self._metrics.count("server_limits_unreadable_total")
        if limit.is_reported_unreadable:
            return
        limit.is_reported_unreadable = True
        events.emit(
            _logger,
            events.SERVER_LIMIT_UNREADABLE,
            request_id=request_id,
            server=limit.server.server,
        )

    def note_unknown_headers(self, names: tuple[str, ...], server: str) -> None:
        """Count headers that nothing reads, and log each name once."""
        for name in names:
            self._metrics.count("unknown_headers_total")
            if name in self._unknown_headers:
                continue
            if len(self._unknown_headers) >= defaults.UNKNOWN_HEADERS_LIMIT:
                continue
            self._unknown_headers.add(name)
            events.emit(_logger, events.HEADER_UNKNOWN, name=name, server=server)

    def _tell(self, limit: ServerLimit) -> None:
        """Tell a control host, which passes it on to all others and to the nodes."""
        controllers = self.kernel.find("controllers")
        link = controllers.find_leader(FLEET_GROUP) or controllers.links.get(
            self.kernel.find("feed").source
        )
        try:
            if link is not None:
                link.send(ServerLimitReports([build_report(limit, _now())]))
        except PeerUnavailable:
            # The next answer of the server or question for a permit tells it again.
            self._metrics.count("limit_reports_unsent_total")

    def _take_reports(self, host: str, message: ServerLimitReports) -> None:
        now = _now()
        for report in message.reports:
            if not is_plausible(report):
                self._metrics.count("limit_reports_dropped_total")
                continue
            server, reading = read_report(report, now)
            before = self._table.find_rate(server)
            if self._table.apply(server, reading) and reading.per_s != before:
                self._note_change(self._table.find(server), before)

    def _find_oldest(self) -> float:
        now = _now()
        ages = [item.confirmed_s(now) for item in self._table.named()]
        return max(ages, default=0.0)

    async def _tidy_forever(self) -> None:
        while True:
            await asyncio.sleep(defaults.CONNECTIONS_TIDY_S)
            for limit in self._table.end_unconfirmed(_now()):
                self._note_change(limit, None)
            named = set(self._table.named())
            for limit in [limit for limit in self._told_at if limit not in named]:
                del self._told_at[limit]


def _now() -> float:
    return asyncio.get_running_loop().time()
