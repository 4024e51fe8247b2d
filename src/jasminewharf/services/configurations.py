"""Acceptance of whole configurations on the control hosts."""

import asyncio
import logging
import zlib
from typing import ClassVar

from .. import defaults, events
from ..decisions.configurations import CONFIGURATION_FORMATS
from ..exceptions import (
    ConfigurationRefused,
    ConsensusError,
    Forbidden,
    LinkError,
    NotLeader,
)
from ..kernel import Kernel, Service
from ..messages import decode, encode
from ..messages.commands import CommandResult, ReplaceConfiguration
from ..messages.servers import SubmitConfiguration
from ..registry import lookup
from .control import FLEET_GROUP
from .link import Peer

__all__ = ["ConfigurationService", "unpack_configuration"]

_logger = logging.getLogger(__name__)
_RULE = "highest"


def unpack_configuration(body: bytes) -> bytes:
    """Return the operator's text from its stored form."""
    return zlib.decompress(body)


class ConfigurationService(Service):
    """Checks configurations, commits them through the leader, and reads them back."""

    name: ClassVar[str] = "configurations"
    requires: ClassVar[tuple[str, ...]] = ("log", "fleet", "control", "controllers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        dialect = kernel.settings.fleet.dialect
        self._read_body = lookup(CONFIGURATION_FORMATS, dialect)

    async def start(self) -> None:
        """Take configurations that other control hosts have checked."""
        self.kernel.find("control").handle(SubmitConfiguration, self._take)

    async def replace(self, body: bytes) -> int:
        """Accept a configuration and return the version that is stored then.

        Raises:
            ConfigurationRefused: If it is not valid; nothing changes.
            ConsensusError: If it is not known to be stored.
            LinkError: If it is not known to be stored.
            StorageFull: If the leader's disk is full; it is not stored.
        """
        try:
            configuration = await asyncio.to_thread(self._read_body, body)
        except ConfigurationRefused as error:
            stored = self.kernel.find("fleet").state.configuration
            if stored.body and body == unpack_configuration(stored.body):
                # A release that checked less has acknowledged it.
                held = CommandResult("", "held", stored.version)
                self._note_acceptance(stored.version, held)
                return stored.version
            events.emit(_logger, events.CONFIGURATION_REFUSED, error=error)
            raise
        stored = self.kernel.find("fleet").state.configuration
        if stored.body and configuration.version <= stored.version:
            self._note_acceptance(
                configuration.version, CommandResult("", "held", stored.version)
            )
            return stored.version
        submission = SubmitConfiguration(
            configuration.version, await asyncio.to_thread(zlib.compress, body)
        )
        result = await self._commit(submission)
        self._note_acceptance(configuration.version, result)
        return result.version

    def _note_acceptance(self, version: int, result: CommandResult) -> None:
        log = self.kernel.find("log")
        events.emit(
            _logger,
            events.CONFIGURATION_ACCEPTED,
            version=version,
            stored=result.version,
            result=result.text,
            index=log.applied_index(FLEET_GROUP),
            term=log.term(FLEET_GROUP),
            leader=log.leader(FLEET_GROUP),
        )

    async def _commit(self, submission: SubmitConfiguration) -> CommandResult:
        """Commit here or at the leader; sending it twice changes nothing."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + defaults.CONFIGURATION_COMMIT_S
        while True:
            try:
                if self.kernel.find("log").is_leader(FLEET_GROUP):
                    return await self._propose(submission)
                return await self.kernel.find("controllers").request(
                    FLEET_GROUP, submission, defaults.CONTROL_QUICK_ATTEMPT_S
                )
            except (ConsensusError, LinkError):
                if loop.time() > deadline:
                    raise
            await asyncio.sleep(defaults.CONTROL_RETRY_S)

    async def _take(self, peer: Peer, submission: SubmitConfiguration) -> CommandResult:
        if peer.hello is None or peer.hello.role != "control":
            raise Forbidden("only a control host may submit a checked configuration")
        if not self.kernel.find("log").is_leader(FLEET_GROUP):
            raise NotLeader(FLEET_GROUP, self.kernel.find("log").leader(FLEET_GROUP))
        return await self._propose(submission)

    async def _propose(self, submission: SubmitConfiguration) -> CommandResult:
        command = ReplaceConfiguration(submission.version, _RULE, submission.body)
        log = self.kernel.find("log")
        index, encoded = await log.propose(FLEET_GROUP, encode(command))
        result = decode(encoded)
        events.emit(
            _logger,
            events.CONFIGURATION_COMMITTED,
            version=submission.version,
            stored=result.version,
            result=result.text,
            index=index,
            term=log.term(FLEET_GROUP),
        )
        return result

    async def read(self) -> bytes:
        """Return the newest configuration as it was sent; empty if there is none.

        Raises:
            ConsensusError: If a quorum does not confirm which one is the newest.
        """
        await self.kernel.find("log").read_barrier(FLEET_GROUP)
        stored = self.kernel.find("fleet").state.configuration
        return unpack_configuration(stored.body) if stored.body else b""
