"""Reads the platform's host list on the fleet's leader."""

import asyncio
import logging
from typing import ClassVar

from .. import defaults, events
from ..decisions.hostlist import compare_host_list
from ..dialects import HOST_LISTS
from ..exceptions import BackendError, ConsensusError
from ..identifiers import new_token
from ..kernel import Kernel, Service
from ..messages import encode
from ..registry import lookup
from .client import HttpClient
from .control import FLEET_GROUP

__all__ = ["HostList"]

_logger = logging.getLogger(__name__)


class HostList(Service):
    """Marks hosts as leaving when the platform lists them so."""

    name: ClassVar[str] = "host_list"
    requires: ClassVar[tuple[str, ...]] = ("log", "fleet", "gathering")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings = kernel.settings
        self._client = HttpClient(settings.host_list_address)
        self._platform = lookup(HOST_LISTS, settings.host_list_dialect)
        self._failed = False

    async def start(self) -> None:
        """Poll the list if the settings name one."""
        if self.kernel.settings.host_list_address:
            self.spawn(self._poll_forever(), essential=True)

    async def stop(self) -> None:
        """Close the connection."""
        await super().stop()
        self._client.close()

    async def _poll_forever(self) -> None:
        while True:
            await asyncio.sleep(defaults.HOST_LIST_INTERVAL_S)
            if not self.kernel.find("log").is_leader(FLEET_GROUP):
                continue
            try:
                await self._poll()
                self._failed = False
            except (BackendError, ConsensusError) as error:
                if not self._failed:
                    events.emit(_logger, events.HOST_LIST_UNREADABLE, error=error)
                self._failed = True

    async def _poll(self) -> None:
        call = self._platform.fetch_hosts()
        status, body = await self._client.fetch(
            call.method, call.target, is_exclusive=True
        )
        listed = self._platform.read_hosts(status, body)
        membership = self.kernel.find("gathering").membership
        reports = map(membership.report, membership.nodes())
        known = {report.host for report in reports if report is not None}
        draining = self.kernel.find("fleet").state.draining
        for command in compare_host_list(listed, draining, known, new_token()):
            await self.kernel.find("log").propose(FLEET_GROUP, encode(command))
