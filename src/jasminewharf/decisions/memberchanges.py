"""Single-member configuration changes of a log group."""

from ..defaults import LOG_LEARNER_GAP_ENTRIES
from ..messages.log import MemberRecord
from .group import LEADER, GroupState
from .progress import Progress
from .records import MEMBERS, ChangeMembers, Entry, encode_members, host_name
from .replication import broadcast

__all__ = [
    "change_members",
    "find_successors",
    "promote_learners",
    "step_down_if_removed",
]


def change_members(state: GroupState, change: ChangeMembers, now: float) -> None:
    """Append a configuration that differs by one member, or reject the change."""
    if not _can_change(state):
        state.refused.append(change.token)
        return
    members = _apply_change(state.members, change)
    if not any(member.voter for member in members):
        state.refused.append(change.token)
        return
    if members != state.members:
        _append_members(state, members, now)
    state.accepted.append((change.token, state.members_index, state.term))


def _can_change(state: GroupState) -> bool:
    # Two changes in flight could form disjoint quorums, and so could a change before
    # the first commit of the term.
    return (
        state.leads_with_commit()
        and state.commit >= state.members_index
        and not state.transfer_target
    )


def _apply_change(
    members: tuple[MemberRecord, ...], change: ChangeMembers
) -> tuple[MemberRecord, ...]:
    if change.member is None:
        return tuple(m for m in members if m.identity != change.identity)
    if any(m.identity == change.member.identity for m in members):
        return members
    return (*members, change.member._replace(voter=False))


def _append_members(
    state: GroupState, members: tuple[MemberRecord, ...], now: float
) -> None:
    index = state.log.last_index + 1
    state.append(Entry(index, state.term, MEMBERS, encode_members(members)))
    peers = state.peers()
    for peer in peers:
        if peer not in state.progress:
            state.progress[peer] = Progress(index, now)
    for peer in list(state.progress):
        if peer not in peers:
            del state.progress[peer]
    broadcast(state)


def promote_learners(state: GroupState, now: float) -> None:
    """Promote one responsive, caught-up learner to voter."""
    if all(member.voter for member in state.members) or not _can_change(state):
        return
    for member in state.members:
        if not member.voter and _has_caught_up(state, member.identity, now):
            _promote(state, member, now)
            return


def find_successors(state: GroupState, now: float) -> set[str]:
    """Return the identities of responsive, caught-up learners."""
    return {
        member.identity
        for member in state.members
        if not member.voter and _has_caught_up(state, member.identity, now)
    }


def _has_caught_up(state: GroupState, identity: str, now: float) -> bool:
    progress = state.progress.get(identity)
    if progress is None or not _answers(state, identity, now):
        return False
    return state.log.last_index - progress.match <= LOG_LEARNER_GAP_ENTRIES


def _is_silent(state: GroupState, identity: str, now: float) -> bool:
    progress = state.progress.get(identity)
    return (
        progress is not None
        and now - progress.last_answer_at >= state.timing.election_s
    )


def _answers(state: GroupState, identity: str, now: float) -> bool:
    if identity == state.identity:
        return True
    progress = state.progress.get(identity)
    if progress is None or progress.probing:
        return False
    return not _is_silent(state, identity, now)


def _promote(state: GroupState, learner: MemberRecord, now: float) -> None:
    former = _former_identity(state, learner)
    if former is not None:
        # The host's former disk is removed first. While both were voters, a quorum
        # would need the new member, and its loss after the repair would stop writes.
        if _is_silent(state, former.identity, now):
            kept = tuple(m for m in state.members if m != former)
            _append_members(state, kept, now)
        return
    if _can_spare(state, now):
        promoted = learner._replace(voter=True)
        members = tuple(promoted if m == learner else m for m in state.members)
        _append_members(state, members, now)


def _former_identity(state: GroupState, learner: MemberRecord) -> MemberRecord | None:
    host = host_name(learner.identity)
    for member in state.members:
        if member.voter and host_name(member.identity) == host:
            return member
    return None


def _can_spare(state: GroupState, now: float) -> bool:
    """Return whether a quorum would remain if the new voter were lost."""
    voters = state.voters()
    answering = sum(_answers(state, voter, now) for voter in voters)
    return answering == len(voters) or answering * 2 > len(voters) + 1


def step_down_if_removed(state: GroupState, now: float) -> None:
    """Step down once a configuration without this member is committed."""
    if state.role != LEADER or state.commit < state.members_index:
        return
    if not state.is_voter():
        state.become_follower(state.term, "", now)
