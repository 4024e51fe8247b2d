"""Members of the control hosts' log that come and go without an operator.

A control host whose disk is empty asks the leader to become a member; the leader
adds one at a time and then removes members that have been silent, but never below
the number that the promised losses need. A control host that stops gives up its vote
where the others are enough: a vote that is never cast again counts against the next
loss.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import ClassVar

from .. import defaults, events
from ..decisions.records import host_name
from ..decisions.repairs import choose_departed
from ..exceptions import (
    ConsensusError,
    Forbidden,
    JasminewharfError,
    LinkError,
    NotLeader,
)
from ..kernel import Kernel, Service
from ..messages.servers import (
    ControlHosts,
    LeaveAnswer,
    LeaveMembership,
    MembershipAnswer,
    RequestMembership,
)
from .control import FLEET_GROUP
from .link import Peer

__all__ = ["Repair"]

_logger = logging.getLogger(__name__)


class Repair(Service):
    """Adds newcomers, removes lost members and tells all nodes who is left."""

    name: ClassVar[str] = "repair"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "log",
        "control",
        "controllers",
        "broadcast",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._log = kernel.find("log")
        self._newcomers: dict[str, RequestMembership] = {}
        self._without_leader_since: float | None = None
        self._is_leaving = False

    async def start(self) -> None:
        """Answer newcomers, and ask to become a member where this host is none."""
        self.kernel.find("process").metrics.watch(
            "log_leaderless_seconds", lambda: self._log.leaderless_s(FLEET_GROUP)
        )
        control = self.kernel.find("control")
        control.handle(RequestMembership, self._take_request)
        control.handle(LeaveMembership, self._take_departure)
        self.spawn(self._ask_forever(), essential=True)
        # A newcomer may wait for its vote until a lost member is removed.
        self.spawn(self._repeat_as_leader(self._add_newcomer), essential=True)
        self.spawn(self._repeat_as_leader(self._remove_departed), essential=True)
        self.spawn(self._announce_forever(), essential=True)

    async def _ask_forever(self) -> None:
        while True:
            await asyncio.sleep(defaults.REPAIR_INTERVAL_S)
            if self._is_leaving or self._is_settled():
                continue
            settings = self.kernel.settings
            request = RequestMembership(
                settings.node,
                self._log.identity,
                settings.own_control_host.peer_address,
            )
            try:
                await self.kernel.find("controllers").request(
                    FLEET_GROUP, request, defaults.CONTROL_ATTEMPT_S
                )
            except (ConsensusError, LinkError) as error:
                events.emit(_logger, events.MEMBERSHIP_PENDING, error=error)

    async def drain(self) -> None:
        """Give up this host's vote, unless the promised losses need it."""
        self._is_leaving = True
        try:
            members = self._log.members(FLEET_GROUP)
        except NotLeader:
            return
        if len(members) <= self._wanted_voters():
            return
        await self._log.hand_over()
        try:
            await self.kernel.find("controllers").request(
                FLEET_GROUP,
                LeaveMembership(self._log.identity),
                defaults.REPAIR_LEAVE_S,
            )
        except JasminewharfError as error:
            events.emit(_logger, events.MEMBER_CHANGE_FAILED, error=error)

    def _is_settled(self) -> bool:
        """Return whether this host votes and knows a leader, or lately knew one."""
        now = asyncio.get_running_loop().time()
        try:
            members = self._log.members(FLEET_GROUP)
        except NotLeader:
            return False
        is_voter = any(m.voter and m.identity == self._log.identity for m in members)
        if self._log.leader(FLEET_GROUP):
            self._without_leader_since = None
            return is_voter
        if self._without_leader_since is None:
            self._without_leader_since = now
        return now - self._without_leader_since < defaults.REPAIR_LEADERLESS_S

    def _take_request(self, peer: Peer, request: RequestMembership) -> MembershipAnswer:
        if peer.hello is None or peer.hello.role != "control":
            raise Forbidden("only a control host may become a member")
        if not self._log.is_leader(FLEET_GROUP):
            raise NotLeader(FLEET_GROUP, self._log.leader(FLEET_GROUP))
        for member in self._log.members(FLEET_GROUP):
            if member.voter and member.identity == request.identity:
                return MembershipAnswer(True)
        self._newcomers[request.host] = request
        return MembershipAnswer(False)

    async def _take_departure(
        self, peer: Peer, request: LeaveMembership
    ) -> LeaveAnswer:
        if peer.hello is None or peer.hello.role != "control":
            raise Forbidden("only a control host may give up a vote")
        if not self._log.is_leader(FLEET_GROUP):
            raise NotLeader(FLEET_GROUP, self._log.leader(FLEET_GROUP))
        if self._find_departed({request.identity}) != request.identity:
            return LeaveAnswer(False)
        await self._log.remove_member(FLEET_GROUP, request.identity)
        events.emit(_logger, events.MEMBER_LEFT, identity=request.identity)
        return LeaveAnswer(True)

    async def _repeat_as_leader(self, repair: Callable[[], Awaitable[None]]) -> None:
        while True:
            await asyncio.sleep(defaults.REPAIR_INTERVAL_S)
            if not self._log.is_leader(FLEET_GROUP):
                self._newcomers.clear()
                continue
            try:
                await repair()
            except (ConsensusError, LinkError) as error:
                events.emit(_logger, events.MEMBER_CHANGE_FAILED, error=error)

    async def _add_newcomer(self) -> None:
        if not self._newcomers:
            return
        host, request = self._newcomers.popitem()
        events.emit(_logger, events.MEMBER_JOINING, host=host)
        identity = await self._log.add_member(FLEET_GROUP, host, request.address)
        events.emit(_logger, events.MEMBER_ADDED, identity=identity)

    async def _remove_departed(self) -> None:
        silent = self._log.silent_members(FLEET_GROUP, defaults.REPAIR_SILENT_S)
        lately = self._log.silent_members(FLEET_GROUP, defaults.REPAIR_SPARE_SILENT_S)
        members = self._log.members(FLEET_GROUP)
        voters = {member.identity for member in members if member.voter}
        departed = self._find_departed(silent | (lately & voters))
        if departed:
            await self._log.remove_member(FLEET_GROUP, departed)
            events.emit(_logger, events.MEMBER_REMOVED, identity=departed)

    def _find_departed(self, candidates: set[str]) -> str:
        """Return the candidate that can be spared, or an empty string."""
        return choose_departed(
            self._log.members(FLEET_GROUP),
            candidates,
            self._wanted_voters(),
            self._log.successors(FLEET_GROUP),
        )

    def _wanted_voters(self) -> int:
        return 2 * self.kernel.settings.fleet.tolerated_losses + 1

    async def _announce_forever(self) -> None:
        """Tell nodes and control hosts where the members are."""
        while True:
            await asyncio.sleep(defaults.REPAIR_INTERVAL_S)
            try:
                members = self._log.members(FLEET_GROUP)
            except NotLeader:
                continue
            ips = sorted({host_name(member.identity) for member in members})
            self.kernel.find("broadcast").publish(ControlHosts(ips))
            self.kernel.find("controllers").set_hosts(ips, self.kernel.settings.node)
