"""Changes of a group's members that take several steps."""

import asyncio
from collections.abc import Callable

from ..defaults import LOG_MEMBER_CHANGE_TIMEOUT_S, LOG_MEMBER_POLL_S
from ..exceptions import MemberChangeRefused
from ..messages.log import MemberRecord
from .founding import Founding
from .loggroup import GroupRunner

__all__ = ["add_member", "identify", "remove_member"]


def _now() -> float:
    return asyncio.get_running_loop().time()


async def identify(
    founding: Founding, host: str, cluster: str, probe: Callable[[], None]
) -> str:
    """Return the identity of the disk at ``host``.

    Raises:
        MemberChangeRefused: If the host does not answer or belongs to another
            cluster.
    """
    deadline = _now() + LOG_MEMBER_CHANGE_TIMEOUT_S
    while _now() < deadline:
        probe()
        await asyncio.sleep(LOG_MEMBER_POLL_S)
        seen = founding.seen(host)
        if seen is None:
            continue
        if seen.cluster not in ("", cluster):
            raise MemberChangeRefused(f"{host} belongs to another cluster")
        return seen.identity
    raise MemberChangeRefused(f"{host} cannot be reached")


async def add_member(runner: GroupRunner, member: MemberRecord) -> None:
    """Add a member and wait until it votes.

    Raises:
        MemberChangeRefused: If it has not caught up in time, or is removed meanwhile.
    """
    await _change(runner, member, "")
    deadline = _now() + LOG_MEMBER_CHANGE_TIMEOUT_S
    while not _is_committed_voter(runner, member.identity):
        if member.identity not in [m.identity for m in runner.consensus.members]:
            raise MemberChangeRefused(f"{member.identity} was removed again")
        if _now() > deadline:
            raise MemberChangeRefused(f"{member.identity} has not caught up in time")
        await asyncio.sleep(LOG_MEMBER_POLL_S)


def _is_committed_voter(runner: GroupRunner, identity: str) -> bool:
    consensus = runner.consensus
    members = consensus.members_at(consensus.commit_index)
    return any(m.voter and m.identity == identity for m in members)


async def remove_member(runner: GroupRunner, identity: str) -> None:
    """Remove a member."""
    await _change(runner, None, identity)


async def _change(
    runner: GroupRunner, member: MemberRecord | None, identity: str
) -> None:
    deadline = _now() + LOG_MEMBER_CHANGE_TIMEOUT_S
    while True:
        try:
            await runner.change_members(member, identity)
            return
        except MemberChangeRefused:
            # Another change, or the first commit of the term, is in progress.
            if _now() > deadline or _is_last_voter(runner, identity):
                raise
        await asyncio.sleep(LOG_MEMBER_POLL_S)


def _is_last_voter(runner: GroupRunner, identity: str) -> bool:
    voters = [m.identity for m in runner.consensus.members if m.voter]
    return voters == [identity]
