"""A node's checked view of the whole configuration."""

import logging
from collections.abc import Callable
from math import inf
from typing import Any, ClassVar

from .. import defaults, events
from ..decisions.configurations import STORED_FORMATS
from ..decisions.fleet import StoredConfiguration
from ..decisions.routes import RouteTable
from ..exceptions import ConfigurationRefused
from ..kernel import Kernel, Service
from ..registry import lookup
from .configurations import unpack_configuration
from .control import FLEET_GROUP

__all__ = ["ConfigurationView", "ControlConfigurationView"]

_logger = logging.getLogger(__name__)


class _View(Service):
    """Reads each stored configuration once.

    Attributes:
        table: The newest configuration, indexed; None before the first one.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        dialect = kernel.settings.fleet.dialect
        self._read_body = lookup(STORED_FORMATS, dialect)
        self.table: RouteTable | None = None
        self._listeners: list[Callable[[RouteTable], None]] = []

    def listen(self, listener: Callable[[RouteTable], None]) -> None:
        """Call ``listener`` with each configuration that comes into force here."""
        self._listeners.append(listener)

    def _read_stored(self, stored: StoredConfiguration) -> None:
        if not stored.body:
            return
        if self.table is not None and stored.version <= self.table.version:
            return
        try:
            configuration = self._read_body(unpack_configuration(stored.body))
        except ConfigurationRefused as error:
            # The control host that accepted it could read it, so that this is a
            # difference between releases: the older configuration stays.
            events.emit(
                _logger,
                events.CONFIGURATION_UNREADABLE,
                version=stored.version,
                error=error,
            )
            return
        previous = self.table.version if self.table else None
        self.table = RouteTable(configuration)
        events.emit(
            _logger,
            events.CONFIGURATION_IN_FORCE,
            version=self.table.version,
            previous=previous,
            **self._locate(),
        )
        for listener in self._listeners:
            listener(self.table)

    def _locate(self) -> dict[str, Any]:
        """Return where the state was when it held a configuration, for the log."""
        return {}


class ConfigurationView(_View):
    """The view of an entry or agent, from its feed."""

    name: ClassVar[str] = "view"
    requires: ClassVar[tuple[str, ...]] = ("feed",)

    async def start(self) -> None:
        """Follow the feed."""
        self.kernel.find("feed").listen(self._take)

    def _take(self, applied: list[Any]) -> None:
        self._read_stored(self.kernel.find("feed").state.configuration)

    def _locate(self) -> dict[str, Any]:
        feed = self.kernel.find("feed")
        age_s = feed.unconfirmed_s()
        return {
            "index": feed.state.version,
            "source": feed.source,
            "age_at_most_ms": int(age_s * defaults.MS_PER_S) if age_s < inf else None,
        }


class ControlConfigurationView(_View):
    """The view of a control host, from its own copy of the fleet's state."""

    name: ClassVar[str] = "view-on-control"
    requires: ClassVar[tuple[str, ...]] = ("log", "fleet")

    async def start(self) -> None:
        """Follow the log."""
        self.kernel.find("log").subscribe(
            FLEET_GROUP, lambda index, command: self._take(), lambda index: self._take()
        )
        self._take()

    def _take(self) -> None:
        self._read_stored(self.kernel.find("fleet").state.configuration)

    def _locate(self) -> dict[str, Any]:
        return {
            "index": self.kernel.find("fleet").state.version,
            "term": self.kernel.find("log").term(FLEET_GROUP),
        }
