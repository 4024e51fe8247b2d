"""A control host's answers about the members of the log groups."""

from typing import ClassVar

from ..decisions.records import host_name
from ..exceptions import Forbidden, MemberChangeRefused, NotLeader
from ..kernel import Service
from ..messages.control import (
    AddMember,
    FetchMembers,
    GroupMembers,
    MemberChanged,
    MembersAnswer,
    RemoveMember,
)
from .control import FLEET_GROUP
from .link import Peer

__all__ = ["Members"]


class Members(Service):
    """Lets the operators' tool list and change the control members."""

    name: ClassVar[str] = "members"
    requires: ClassVar[tuple[str, ...]] = ("log", "control")

    async def start(self) -> None:
        """Answer requests."""
        control = self.kernel.find("control")
        control.handle(FetchMembers, self._fetch)
        control.handle(AddMember, self._add)
        control.handle(RemoveMember, self._remove)

    async def _fetch(self, peer: Peer, message: FetchMembers) -> MembersAnswer:
        _check_tool(peer)
        log = self.kernel.find("log")
        # A removed member still knows the configuration that it was part of.
        if not log.is_leader(FLEET_GROUP):
            raise NotLeader(FLEET_GROUP, log.leader(FLEET_GROUP))
        for group in log.groups:
            await log.read_barrier(group)
        return MembersAnswer(
            [
                GroupMembers(
                    group,
                    log.leader(group),
                    [(m.identity, m.address, m.voter) for m in log.members(group)],
                )
                for group in log.groups
            ]
        )

    async def _add(self, peer: Peer, message: AddMember) -> MemberChanged:
        _check_tool(peer)
        log = self.kernel.find("log")
        identity = await log.add_member(message.group, message.host, message.address)
        return MemberChanged(message.group, [identity])

    async def _remove(self, peer: Peer, message: RemoveMember) -> MemberChanged:
        _check_tool(peer)
        log = self.kernel.find("log")
        if not log.is_leader(message.group):
            raise NotLeader(message.group, log.leader(message.group))
        found = [
            member
            for member in log.members(message.group)
            if host_name(member.identity) == message.host
        ]
        others = [m for m in log.members(message.group) if m not in found and m.voter]
        if found and not others:
            raise MemberChangeRefused("the last voting member cannot be removed")
        for member in found:
            await log.remove_member(message.group, member.identity)
        return MemberChanged(message.group, [member.identity for member in found])


def _check_tool(peer: Peer) -> None:
    if peer.hello is None or peer.hello.role != "tool":
        raise Forbidden("only the operator's tool may read or change members")
