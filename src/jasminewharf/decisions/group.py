"""State of one member of a replicated log group, and operations shared by its parts."""

from typing import Any

from ..defaults import LOG_RETAINED_BYTES
from ..messages.log import MemberRecord, ReadIndexAnswer
from ..randomness import RandomSource
from .entries import EntryLog
from .progress import Progress
from .records import (
    MEMBERS,
    Effects,
    Entry,
    HardState,
    LogReset,
    Restored,
    SnapshotMeta,
    Timing,
    decode_members,
)

__all__ = [
    "CANDIDATE",
    "FOLLOWER",
    "LEADER",
    "PRE_CANDIDATE",
    "GroupState",
]

FOLLOWER = "follower"
PRE_CANDIDATE = "trial"
CANDIDATE = "candidate"
LEADER = "leader"

# Fraction of the election timeout that applies until a member has seen its first
# leader. If all members restarted together, they elect sooner; if a leader exists, the
# other members ignore the pre-vote request.
_STARTUP_TIMEOUT_FRACTION = 0.25


class GroupState:
    """State of one member of one log group.

    Args:
        group: The group's name.
        identity: The member's own identity.
        restored: State read from storage at startup.
        timing: Timeouts.
        random_source: Source of the election timeouts.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        group: str,
        identity: str,
        restored: Restored,
        timing: Timing,
        random_source: RandomSource,
        now: float,
    ) -> None:
        self.group = group
        self.identity = identity
        self.timing = timing
        self.random = random_source
        self.term = restored.hard_state.term
        self.vote = restored.hard_state.vote
        self.snapshot = restored.snapshot
        self.log = EntryLog(restored.base.index, restored.base.term, restored.entries)
        self.commit = restored.snapshot.index if restored.snapshot else 0
        self.delivered = self.commit
        self.durable = self.log.last_index
        self.role = FOLLOWER
        self.leader = ""
        self.votes: set[str] = set()
        self.progress: dict[str, Progress] = {}
        self.sequence = 0
        self.pending_reads: list[tuple[int, int, str, int]] = []
        self.waiting_reads: list[tuple[str, int]] = []
        self.forwarded_reads: dict[int, tuple[float, list[int]]] = {}
        self.transfer_target = ""
        self.transfer_deadline = 0.0
        self.matched_index = 0
        self.echoed_sequence = 0
        self.incoming: SnapshotMeta | None = None
        self.incoming_term = 0
        self.incoming_offset = 0
        self.installing = False
        self.leader_contact = now - timing.election_s
        self.has_seen_leader = False
        self.election_deadline = now
        self.heartbeat_due = now
        # Followers receive the commit index with the next entries. If there are none,
        # the next tick sends it, so that subscribers of followers are not delayed.
        self.commit_unannounced = False
        self._configurations: list[tuple[int, tuple[MemberRecord, ...]]] = []
        self._load_configurations()
        self._token = 0
        self._synced = 0
        self._hard_token = 0
        self._unsynced: list[tuple[int, int]] = []
        self._deferred_messages: list[tuple[int, int, str, Any]] = []
        self._clear_effects()
        self.reset_election_timer(now)
        if self.voters() == [identity]:
            # The only voter can win an election at once.
            self.election_deadline = now

    def _clear_effects(self) -> None:
        self.persist: list[Any] = []
        self.messages: list[tuple[str, Any]] = []
        self.chunk_reads: list[Any] = []
        self.chunk_writes: list[Any] = []
        self.install: SnapshotMeta | None = None
        self.committed: list[Entry] = []
        self.accepted: list[tuple[int, int, int]] = []
        self.refused: list[int] = []
        self.reads: list[tuple[int, int]] = []

    def take_effects(self) -> Effects:
        """Return the effects collected by the current step and clear them."""
        token = 0
        if self.persist:
            self._token += 1
            token = self._token
            self._unsynced.append((token, self.log.last_index))
        effects = Effects(
            self.persist,
            token,
            self.messages,
            self.chunk_reads,
            self.chunk_writes,
            self.install,
            self.committed,
            self.accepted,
            self.refused,
            self.reads,
        )
        self._clear_effects()
        return effects

    # Members.

    def _load_configurations(self) -> None:
        if self.snapshot is not None:
            self._configurations.append((self.snapshot.index, self.snapshot.members))
        first = self.log.base_index + 1
        for entry in self.log.between(first, self.log.last_index):
            if entry.kind == MEMBERS and entry.index > self.commit:
                self._configurations.append((entry.index, decode_members(entry.data)))

    @property
    def members(self) -> tuple[MemberRecord, ...]:
        """The newest configuration in the log, committed or not."""
        return self._configurations[-1][1] if self._configurations else ()

    @property
    def members_index(self) -> int:
        """Index of the entry that holds the newest configuration."""
        return self._configurations[-1][0] if self._configurations else 0

    def members_at(self, index: int) -> tuple[MemberRecord, ...]:
        """Return the configuration that was active at ``index``."""
        members: tuple[MemberRecord, ...] = ()
        for at, configuration in self._configurations:
            if at <= index:
                members = configuration
        return members

    def voters(self) -> list[str]:
        """Return the identities of the voting members."""
        return [member.identity for member in self.members if member.voter]

    def is_voter(self) -> bool:
        """Return whether this member is a voter."""
        return self.identity in self.voters()

    def may_campaign(self) -> bool:
        """Return whether this member may become the leader.

        A member removed by an uncommitted configuration may still campaign: it may
        hold the most recent log, in which case no other member could win.
        """
        committed = self.members_at(self.commit)
        former = any(m.voter and m.identity == self.identity for m in committed)
        return former or self.is_voter()

    def peers(self) -> list[str]:
        """Return the identities of the other members, including learners."""
        return [m.identity for m in self.members if m.identity != self.identity]

    def has_quorum(self, identities: set[str]) -> bool:
        """Return whether ``identities`` contain a majority of the voters."""
        voters = self.voters()
        held = sum(voter in identities for voter in voters)
        return held * 2 > len(voters)

    # Durability.

    def save_hard_state(self, term: int, vote: str) -> None:
        """Set term and vote; messages are deferred until both are durable."""
        if term != self.term:
            self._deferred_messages.clear()
            self.matched_index = 0
            self.echoed_sequence = 0
        self.term, self.vote = term, vote
        self.persist.append(HardState(term, vote))
        self._hard_token = self._token + 1

    def append(self, entry: Entry) -> None:
        """Append an entry to the log and to the records to persist."""
        self.log.append(entry)
        self.persist.append(entry)
        if entry.kind == MEMBERS:
            self._configurations.append((entry.index, decode_members(entry.data)))

    def truncate(self, index: int) -> None:
        """Remove the entries from ``index`` on; the next append overwrites them."""
        self.log.truncate(index)
        self.durable = min(self.durable, index - 1)
        self._unsynced = [(t, min(last, index - 1)) for t, last in self._unsynced]
        self._configurations = [c for c in self._configurations if c[0] < index]

    def reset_log(self, meta: SnapshotMeta) -> None:
        """Replace the log by the durable snapshot ``meta``."""
        self.log.reset(meta.index, meta.term)
        self.persist.append(LogReset(meta.index, meta.term))
        self.durable = meta.index
        self._unsynced = [(token, meta.index) for token, _ in self._unsynced]
        self._configurations = [(meta.index, meta.members)]

    def trim(self, meta: SnapshotMeta, retained: int) -> None:
        """Remove entries covered by the snapshot, except the newest ``retained``."""
        self.snapshot = meta
        first = self.log.first_within(meta.index, retained, LOG_RETAINED_BYTES)
        self.log.compact(min(first - 1, self.durable))
        older = [c for c in self._configurations if c[0] <= meta.index]
        newer = [c for c in self._configurations if c[0] > meta.index]
        self._configurations = older[-1:] + newer

    def mark_synced(self, token: int) -> bool:
        """Record a completed sync; return whether the durable index advanced."""
        self._synced = max(self._synced, token)
        before = self.durable
        while self._unsynced and self._unsynced[0][0] <= token:
            self.durable = max(self.durable, self._unsynced.pop(0)[1])
        released = [item for item in self._deferred_messages if item[0] <= token]
        self._deferred_messages = [
            item for item in self._deferred_messages if item[0] > token
        ]
        for _, term, receiver, message in released:
            if term == self.term:
                self.messages.append((receiver, message))
        return self.durable > before

    def send(self, receiver: str, message: Any) -> None:
        """Send a message once the current term and vote are durable."""
        if self._hard_token > self._synced:
            self._deferred_messages.append(
                (self._hard_token, self.term, receiver, message)
            )
        else:
            self.messages.append((receiver, message))

    # Roles and commitment.

    def reset_election_timer(self, now: float) -> None:
        """Draw a random deadline for an election if no leader makes contact."""
        timeout = self.timing.election_s
        if not self.has_seen_leader:
            timeout *= _STARTUP_TIMEOUT_FRACTION
        self.election_deadline = now + self.random.uniform(timeout, 2 * timeout)

    def become_follower(self, term: int, leader: str, now: float) -> None:
        """Become a follower of ``leader`` (empty if unknown) in ``term``."""
        if self.role == LEADER:
            self._drop_reads()
        if leader != self.leader:
            self._drop_forwarded_reads()
        if term > self.term:
            self.save_hard_state(term, "")
        self.role = FOLLOWER
        self.leader = leader
        self.votes = set()
        self.progress = {}
        self.transfer_target = ""
        self.reset_election_timer(now)

    def follow(self, term: int, leader: str, now: float) -> None:
        """Record contact from the leader of ``term`` and follow it."""
        self.has_seen_leader = True
        self.become_follower(term, leader, now)
        self.leader_contact = now

    def _drop_reads(self) -> None:
        dropped = [(reader, token) for _, _, reader, token in self.pending_reads]
        for reader, token in dropped + self.waiting_reads:
            if reader:
                refusal = ReadIndexAnswer(self.group, self.term, token, -1)
                self.send(reader, refusal)
            else:
                self.reads.append((token, -1))
        self.pending_reads = []
        self.waiting_reads = []

    def _drop_forwarded_reads(self) -> None:
        for _, tokens in self.forwarded_reads.values():
            self.reads.extend((token, -1) for token in tokens)
        self.forwarded_reads = {}

    def leads_with_commit(self) -> bool:
        """Return whether this member leads and has committed in its own term.

        Reads and membership changes require this: only then does the commit index
        cover everything that earlier leaders committed.
        """
        return self.role == LEADER and self.log.term_at(self.commit) == self.term

    def advance_commit(self, index: int) -> None:
        """Commit up to ``index`` and emit the newly committed entries."""
        if index <= self.commit:
            return
        self.commit = index
        self.committed.extend(self.log.between(self.delivered + 1, index))
        self.delivered = index
