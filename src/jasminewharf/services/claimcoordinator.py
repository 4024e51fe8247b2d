"""Order claims on a control host: commits entries' requests to the log."""

import logging
import time
from collections.abc import Callable
from typing import Any

from .. import events
from ..decisions.claims import ClaimLog, choose_partition
from ..defaults import CLAIM_PARTITIONS
from ..kernel import Kernel, Service
from ..messages.claims import (
    ClaimRecord,
    EndEntry,
    MakeClaim,
    SettleClaim,
    WithdrawClaim,
)
from ..messages.codec import decode, encode
from ..messages.control import ClaimAnswer, ClaimOrder, RecordOutcome, ReleaseClaim
from .groups import GroupLog

__all__ = ["ClaimCoordinator", "claims_group", "choose_claims_group", "wall_ms"]

_MS = 1000

_logger = logging.getLogger(__name__)


def claims_group(partition: int) -> str:
    """Return the name of a partition's log group."""
    return f"claims-{partition}"


def choose_claims_group(message: Any, partitions: int) -> str:
    """Return the log group of a request, chosen by its workspace and key."""
    partition = choose_partition(message.workspace, message.idempotency_key, partitions)
    return claims_group(partition)


def wall_ms() -> int:
    """Return this host's wall clock in milliseconds since the epoch."""
    return int(time.time() * _MS)


class ClaimCoordinator(Service):
    """Answers claims on a control host for the partitions it leads.

    Args:
        kernel: The process's kernel.
        log: The log groups of this host.
        is_gone: Returns whether an entry's incarnation is known to have ended.
        partitions: Number of claim log groups, which is fixed for a fleet.
    """

    name = "claim-keeper"

    def __init__(
        self,
        kernel: Kernel,
        log: GroupLog,
        is_gone: Callable[[int], bool],
        partitions: int = CLAIM_PARTITIONS,
    ) -> None:
        super().__init__(kernel)
        self._log = log
        self._is_gone = is_gone
        self._partitions = partitions
        self._machines = {claims_group(n): ClaimLog() for n in range(partitions)}

    async def start(self) -> None:
        """Join the log groups."""
        for group, machine in self._machines.items():
            self._log.register_machine(group, machine)

    async def answer(
        self, message: ClaimOrder | RecordOutcome | ReleaseClaim
    ) -> ClaimAnswer:
        """Commit an entry's request to the log and return its result.

        Raises:
            ConsensusError: If this host does not lead the group or no quorum answers.
                In the latter case the command may still be committed later.
        """
        group = choose_claims_group(message, self._partitions)
        if not isinstance(message, ClaimOrder):
            return await self._propose(group, message)
        if await self._is_running_elsewhere(group, message):
            return ClaimAnswer("running", 0, [], b"")
        return await self._propose(group, message)

    async def _is_running_elsewhere(self, group: str, message: ClaimOrder) -> bool:
        """Return whether another call holds the claim, without a log command.

        Claims of an ended incarnation are marked as unknown first.
        """
        if self._find_other(group, message) is None:
            return False
        await self._log.read_barrier(group)
        record = self._find_other(group, message)
        if record is None:
            return False
        if self._is_gone(record.incarnation):
            await self._log.propose(group, encode(EndEntry(record.incarnation)))
            events.emit(_logger, events.CLAIMS_ENDED, incarnation=record.incarnation)
            return False
        return True

    def _find_other(self, group: str, message: ClaimOrder) -> ClaimRecord | None:
        """Return the running claim of another call with the same body."""
        machine = self._machines[group]
        record = machine.find(message.workspace, message.idempotency_key)
        if record is None or record.state != "running":
            return None
        if record.request_id == message.request_id or record.digest != message.digest:
            return None
        return record

    async def _propose(
        self, group: str, message: ClaimOrder | RecordOutcome | ReleaseClaim
    ) -> ClaimAnswer:
        command = _make_command(message)
        _, result = await self._log.propose(group, encode(command))
        answer = decode(result)
        if answer.state == "full":
            events.emit(_logger, events.CLAIMS_FULL, group=group)
        return answer


def _make_command(
    message: ClaimOrder | RecordOutcome | ReleaseClaim,
) -> MakeClaim | SettleClaim | WithdrawClaim:
    if isinstance(message, ClaimOrder):
        return MakeClaim(*message, leader_ms=wall_ms())
    if isinstance(message, RecordOutcome):
        return SettleClaim(*message, leader_ms=wall_ms())
    return WithdrawClaim(*message, leader_ms=wall_ms())
