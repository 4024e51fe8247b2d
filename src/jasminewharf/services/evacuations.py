"""Evacuations of availability zones: accepted by any control host, and where known.

An operator's call carries no identifier. What tells a delayed call from a new one is
the revision of the zone's state that its control host had confirmed; see
``docs/design/evacuations.md``.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import ClassVar

from .. import defaults, events
from ..decisions.evacuations import ZoneState
from ..exceptions import (
    ConsensusError,
    EvacuationOvertaken,
    Forbidden,
    JasminewharfError,
    LinkError,
    NotLeader,
    QuorumLost,
    UnknownZone,
    ZonesUnknown,
)
from ..kernel import Kernel, Service
from ..messages import decode, encode
from ..messages.commands import CommandResult
from ..messages.evacuations import (
    EvacuateZone,
    EvacuationAnswer,
    SetEvacuation,
    SubmitEvacuation,
)
from .control import FLEET_GROUP
from .link import Peer
from .status import lease_bound_s

__all__ = ["EvacuationService"]

_logger = logging.getLogger(__name__)


class EvacuationService(Service):
    """Checks calls for evacuations and commits them through the leader."""

    name: ClassVar[str] = "evacuations"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "log",
        "fleet",
        "control",
        "controllers",
        "gathering",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._started = _now()
        self._metrics = kernel.find("process").metrics

    async def start(self) -> None:
        """Take calls from other control hosts and from the tool."""
        control = self.kernel.find("control")
        control.handle(SubmitEvacuation, self._take)
        control.handle(EvacuateZone, self._serve_tool)
        self._metrics.watch("evacuated_zones", lambda: len(self._table.evacuated))

    @property
    def _table(self):
        return self.kernel.find("fleet").state.evacuations

    async def evacuate(
        self, zone: str, is_evacuated: bool, is_wanted: Callable[[], bool]
    ) -> ZoneState:
        """Commit an operator's call, and return the state that it has led to.

        Args:
            zone: The availability zone.
            is_evacuated: Whether it is to be evacuated or in use again.
            is_wanted: Whether the operator still waits for an answer.

        Raises:
            UnknownZone: If there is no such zone; nothing has changed.
            ConsensusError: If the call is not known to be committed.
            LinkError: If the call is not known to be committed.
            StorageFull: If the leader's disk is full; nothing has changed.
        """
        received_at = _now()
        try:
            await self._confirm_state(received_at)
            # A call that lay in the sockets of a stopped process may be older than
            # what was confirmed now. Its operator has given up meanwhile.
            if not is_wanted():
                raise EvacuationOvertaken("the operator does not wait any more")
            self._check_known(zone)
            held = self._table.find(zone)
            call = SubmitEvacuation(zone, is_evacuated, held.revision)
            return await self._settle(call, received_at)
        except JasminewharfError as error:
            self._note_refusal(zone, is_evacuated, error)
            raise

    async def _confirm_state(self, received_at: float) -> None:
        """Have a quorum confirm the state soon after a call was received.

        Raises:
            ConsensusError: If none does in time.
        """
        log = self.kernel.find("log")
        while True:
            try:
                await log.read_barrier(FLEET_GROUP)
                break
            except ConsensusError:
                if _now() - received_at > defaults.EVACUATION_CONFIRM_S:
                    raise
            await asyncio.sleep(defaults.CONTROL_RETRY_S)
        if _now() - received_at > defaults.EVACUATION_CONFIRM_S:
            raise QuorumLost("the state was confirmed too late for this call")

    def _check_known(self, zone: str) -> None:
        """Refuse zones that nothing names.

        Raises:
            UnknownZone: If there is no such zone.
            ZonesUnknown: If this host cannot tell yet.
        """
        known = self._list_zones()
        if zone in known:
            return
        if not self._can_know():
            raise ZonesUnknown(f"not known yet whether there is a zone {zone[:100]!r}")
        names = ", ".join(sorted(known)) or "none"
        raise UnknownZone(f"no availability zone {zone[:100]!r}; known are: {names}")

    def _list_zones(self) -> set[str]:
        """Return the zones that settings, server list, members or the state name."""
        zones = {self.kernel.settings.zone}
        zones.update(state.zone for state in self._table.list_states())
        membership = self.kernel.find("gathering").membership
        reports = [membership.report(node) for node in membership.nodes()]
        zones.update(report.zone for report in reports if report is not None)
        for link in self.kernel.find("controllers").links.values():
            if link.welcome is not None:
                zones.add(link.welcome.zone)
        if self.kernel.settings.fleet is not None:
            zones.update(self.kernel.find("server-list").zones)
            zones.update(self.kernel.settings.fleet.regions)
        return zones - {""}

    def _can_know(self) -> bool:
        """Return whether all nodes have had time to report, and the list is current."""
        if _now() - self._started <= lease_bound_s(self.kernel.settings.timing):
            return False
        if self.kernel.settings.fleet is None:
            return True
        return self.kernel.find("server-list").is_current

    async def _settle(self, call: SubmitEvacuation, received_at: float) -> ZoneState:
        result = await self._commit(call, received_at)
        if result.error:
            raise EvacuationOvertaken(f"zone {call.zone!r}: {result.text}")
        log = self.kernel.find("log")
        self._metrics.count("evacuation_calls_total", outcome=result.text)
        events.emit(
            _logger,
            events.EVACUATION_ACCEPTED,
            zone=call.zone,
            is_evacuated=call.is_evacuated,
            result=result.text,
            confirmed=call.revision,
            revision=result.version,
            term=log.term(FLEET_GROUP),
            leader=log.leader(FLEET_GROUP),
        )
        return ZoneState(call.zone, result.version, call.is_evacuated)

    async def _commit(
        self, call: SubmitEvacuation, received_at: float
    ) -> CommandResult:
        """Commit here or at the leader; the revision makes it safe to repeat."""
        while True:
            try:
                if self.kernel.find("log").is_leader(FLEET_GROUP):
                    return await self._propose(call)
                return await self.kernel.find("controllers").request(
                    FLEET_GROUP, call, defaults.CONTROL_QUICK_ATTEMPT_S
                )
            except (ConsensusError, LinkError):
                if _now() - received_at > defaults.CONFIGURATION_COMMIT_S:
                    raise
            await asyncio.sleep(defaults.CONTROL_RETRY_S)

    async def _take(self, peer: Peer, call: SubmitEvacuation) -> CommandResult:
        if peer.hello is None or peer.hello.role != "control":
            raise Forbidden("only a control host may submit a checked call")
        log = self.kernel.find("log")
        if not log.is_leader(FLEET_GROUP):
            raise NotLeader(FLEET_GROUP, log.leader(FLEET_GROUP))
        return await self._propose(call)

    async def _propose(self, call: SubmitEvacuation) -> CommandResult:
        command = encode(SetEvacuation(*call))
        _, encoded = await self.kernel.find("log").propose(FLEET_GROUP, command)
        return decode(encoded)

    async def _serve_tool(self, peer: Peer, call: EvacuateZone) -> EvacuationAnswer:
        if peer.hello is None or peer.hello.role != "tool":
            raise Forbidden("only the operator's tool may ask for this")
        received_at = _now()
        try:
            await self._confirm_state(received_at)
            self._check_known(call.zone)
            state = await self._settle(SubmitEvacuation(*call), received_at)
        except JasminewharfError as error:
            self._note_refusal(call.zone, call.is_evacuated, error)
            raise
        return EvacuationAnswer(state.zone, state.is_evacuated, state.revision)

    def _note_refusal(
        self, zone: str, is_evacuated: bool, error: JasminewharfError
    ) -> None:
        self._metrics.count("evacuation_calls_total", outcome=type(error).__name__)
        events.emit(
            _logger,
            events.EVACUATION_REFUSED,
            zone=zone[:100],
            is_evacuated=is_evacuated,
            error=error,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
