"""Leader election: pre-vote, vote and leadership transfer."""

from ..messages.log import RequestVote, TimeoutNow, VoteAnswer
from .group import CANDIDATE, FOLLOWER, LEADER, PRE_CANDIDATE, GroupState
from .replication import start_leading

__all__ = [
    "handle_vote_request",
    "start_pre_vote",
    "check_quorum",
    "choose_successor",
    "count_vote",
    "finish_transfer",
    "start_transfer",
    "handle_timeout_now",
]


def start_pre_vote(state: GroupState, now: float) -> None:
    """Ask the voters whether an election would succeed, without raising the term."""
    state.reset_election_timer(now)
    if not state.may_campaign():
        return
    state.role = PRE_CANDIDATE
    state.leader = ""
    state.votes = {state.identity}
    if state.has_quorum(state.votes):
        _begin_election(state, now, transfer=False)
        return
    _ask_voters(state, state.term + 1, pre_vote=True, transfer=False)


def _begin_election(state: GroupState, now: float, *, transfer: bool) -> None:
    state.reset_election_timer(now)
    state.role = CANDIDATE
    state.leader = ""
    state.save_hard_state(state.term + 1, state.identity)
    state.votes = set()
    _ask_voters(state, state.term, pre_vote=False, transfer=transfer)
    # The own vote counts only once it is durable, so it is deferred like the others.
    own = VoteAnswer(state.group, state.term, True, False)
    state.send(state.identity, own)


def _ask_voters(
    state: GroupState, term: int, *, pre_vote: bool, transfer: bool
) -> None:
    log = state.log
    request = RequestVote(
        state.group, term, log.last_index, log.last_term, pre_vote, transfer
    )
    for voter in state.voters():
        if voter != state.identity:
            state.send(voter, request)


def handle_vote_request(
    state: GroupState, sender: str, request: RequestVote, now: float
) -> None:
    """Grant or deny a vote or a pre-vote."""
    if not request.transfer and _has_live_leader(state, now):
        return
    if request.term < state.term:
        refusal = VoteAnswer(state.group, state.term, False, request.pre_vote)
        state.send(sender, refusal)
        return
    if request.pre_vote:
        granted = request.term > state.term and _is_current(state, request)
        term = request.term if granted else state.term
        state.send(sender, VoteAnswer(state.group, term, granted, True))
        return
    if request.term > state.term:
        state.become_follower(request.term, "", now)
    granted = state.vote in ("", sender) and _is_current(state, request)
    if granted:
        if not state.vote:
            state.save_hard_state(state.term, sender)
        state.reset_election_timer(now)
    state.send(sender, VoteAnswer(state.group, state.term, granted, False))


def _has_live_leader(state: GroupState, now: float) -> bool:
    # A member in contact with its leader ignores candidates, so that a partitioned or
    # removed member cannot depose a working leader.
    if state.role == LEADER:
        return True
    silent_s = now - state.leader_contact
    return bool(state.leader) and silent_s < state.timing.election_s


def _is_current(state: GroupState, request: RequestVote) -> bool:
    own = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own


def count_vote(state: GroupState, sender: str, answer: VoteAnswer, now: float) -> None:
    """Count a vote or pre-vote; start the election or lead once a quorum granted it."""
    if not answer.granted:
        if answer.term > state.term:
            state.become_follower(answer.term, "", now)
        return
    if answer.pre_vote:
        if state.role == PRE_CANDIDATE and answer.term == state.term + 1:
            state.votes.add(sender)
            if state.has_quorum(state.votes):
                _begin_election(state, now, transfer=False)
        return
    if state.role == CANDIDATE and answer.term == state.term:
        state.votes.add(sender)
        if state.has_quorum(state.votes):
            start_leading(state, now)


def check_quorum(state: GroupState, now: float) -> None:
    """Step down if no quorum has answered within the election timeout."""
    oldest = now - state.timing.election_s
    responsive = {
        p for p, progress in state.progress.items() if progress.last_answer_at >= oldest
    }
    if not state.has_quorum(responsive | {state.identity}):
        state.become_follower(state.term, "", now)
    elif state.transfer_target and now >= state.transfer_deadline:
        state.transfer_target = ""


def choose_successor(state: GroupState, now: float) -> str:
    """Return the responsive voter with the highest match index, or an empty string."""
    oldest = now - state.timing.election_s
    best, best_match = "", -1
    for voter in state.voters():
        progress = state.progress.get(voter)
        if progress is None or progress.probing or progress.last_answer_at < oldest:
            continue
        if progress.match > best_match:
            best, best_match = voter, progress.match
    return best


def start_transfer(state: GroupState, target: str, now: float) -> None:
    """Stop accepting proposals and transfer leadership once ``target`` is caught up."""
    if state.role != LEADER or target == state.identity:
        return
    if target not in state.voters():
        return
    state.transfer_target = target
    state.transfer_deadline = now + state.timing.election_s
    finish_transfer(state)


def finish_transfer(state: GroupState) -> None:
    """Ask the transfer target to start its election if it holds every entry."""
    progress = state.progress.get(state.transfer_target)
    if progress is not None and progress.match == state.log.last_index:
        state.send(state.transfer_target, TimeoutNow(state.group, state.term))


def handle_timeout_now(
    state: GroupState, sender: str, request: TimeoutNow, now: float
) -> None:
    """Start an election at the leader's request (leadership transfer)."""
    ready = state.role == FOLLOWER and state.may_campaign() and not state.installing
    if request.term == state.term and ready:
        _begin_election(state, now, transfer=True)
