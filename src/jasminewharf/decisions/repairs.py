"""Removal of unresponsive members of a log group after their replacement."""

from collections.abc import Collection

from ..messages.log import MemberRecord

__all__ = ["choose_departed"]


def choose_departed(
    members: tuple[MemberRecord, ...],
    silent: set[str],
    wanted: int,
    successors: Collection[str] = (),
) -> str:
    """Return the identity of a member to remove, or an empty string.

    A successor counts like a voter: it may vote only once the others answer, so that
    the lost member has to go first. The quorum is made of the same members before and
    after that.

    Args:
        members: The group's members.
        silent: Identities of unresponsive members.
        wanted: Number of voters needed to tolerate the configured losses.
        successors: Identities of learners that hold the log.
    """
    voters = [member.identity for member in members if member.voter]
    learners = [member.identity for member in members if not member.voter]
    for identity in learners:
        if identity in silent:
            return identity
    if len(voters) + len(successors) <= wanted:
        return ""
    return next((identity for identity in voters if identity in silent), "")
