"""Removal of unresponsive members of a log group after their replacement."""

from ..messages.log import MemberRecord

__all__ = ["choose_departed"]


def choose_departed(
    members: tuple[MemberRecord, ...], silent: set[str], wanted: int
) -> str:
    """Return the identity of a member to remove, or an empty string.

    Args:
        members: The group's members.
        silent: Identities of unresponsive members.
        wanted: Number of voters needed to tolerate the configured losses.
    """
    voters = [member.identity for member in members if member.voter]
    learners = [member.identity for member in members if not member.voter]
    for identity in learners:
        if identity in silent:
            return identity
    if len(voters) <= wanted:
        return ""
    return next((identity for identity in voters if identity in silent), "")
