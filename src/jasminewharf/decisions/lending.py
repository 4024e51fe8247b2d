"""Fleet-wide rate limits of workspaces: one owner lends tokens to the entries.

The owner keeps one token bucket for each workspace and debits it before it answers, so
all entries together stay within rate and burst. Requests beyond that wait in a queue of
their workspace for a short time. An entry that gets no answer uses a local emergency
bucket; see ``entryrates.py``.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .advances import Advance, EmergencyBucket
from .configurations import WorkspaceSpec
from .ratebuckets import OverrunLimits, RateBucket
from .ratequeue import TokenQueue, TokenTicket

__all__ = [
    "Advance",
    "EmergencyBucket",
    "Loan",
    "OverrunLimits",
    "TokenLender",
    "TokenTicket",
]

# Limit of an advance, in multiples of the request.
_ADVANCE_REQUESTS = 4.0
# An entry counts as active for this long after its last request for tokens.
_ENTRY_KEPT_S = 4.0
# For so long after its start an owner refuses nothing, as the entries' reports of what
# they were lent before are on their way.
_SETTLE_S = 0.6
_SETTLE_POLL_S = 0.05


class Loan(NamedTuple):
    """The owner's answer to a request for tokens.

    ``wait_s`` is the delay before the lent tokens may be spent, before a queued request
    asks again, or before a refused one comes back. ``advance`` is the number of tokens
    lent beyond the requested ones.
    """

    is_lent: bool
    wait_s: float
    advance: float
    is_queued: bool = False


class TokenLender:
    """The owner's buckets and queues.

    Args:
        limits: Overrun that the deployment allows beyond rate and burst.
        now: When this owner started to lend.
        is_first: Whether the fleet starts for the first time, so that buckets start
            full. A later owner does not know what its predecessor lent until the
            entries have told it, so its buckets start with a part of the slack.
    """

    def __init__(self, limits: OverrunLimits, now: float, *, is_first: bool) -> None:
        self._limits = limits
        self._began = now
        self._is_first = is_first
        self._buckets: dict[str, RateBucket] = {}
        self._queues: dict[str, TokenQueue] = {}
        self._entries: dict[str, float] = {}
        self._linked: set[str] = set()
        self._reported: Mapping[str, Sequence[tuple[float, float]]] | None = None

    # Entries.

    def note_linked(self, nodes: set[str]) -> None:
        """Take the names of the entries that are linked to the owner."""
        self._linked = nodes

    def count_entries(self, node: str, now: float) -> int:
        """Record that an entry is active and return the number of entries."""
        self._entries[node] = now
        old = now - _ENTRY_KEPT_S
        for name in [name for name, at in self._entries.items() if at < old]:
            del self._entries[name]
        return len(self._linked | self._entries.keys())

    def find_place(self, node: str) -> float:
        """Return an entry's place among all, from 0 to below 1."""
        names = sorted(self._linked | self._entries.keys())
        return names.index(node) / len(names) if node in names else 0.0

    # Changes of owner.

    @property
    def is_assumed(self) -> bool:
        """Whether the levels are assumed since not all entries have reported."""
        return not self._is_first and self._reported is None

    def restore(
        self, grants: Mapping[str, Sequence[tuple[float, float]]], now: float
    ) -> None:
        """Take what all entries were granted by earlier owners, with the times."""
        self._reported = grants
        for name, bucket in self._buckets.items():
            bucket.replay(grants.get(name, ()), now)

    # Tokens.

    def lend(
        self, spec: WorkspaceSpec, tokens: float, max_wait_s: float, now: float
    ) -> Loan:
        """Lend ``tokens`` at once if the bucket covers them within ``max_wait_s``.

        They may be spent after the wait. This is how entries without a queue ask.
        """
        queue = self._find_queue(spec, now)
        bucket = self._buckets[spec.name]
        queue.serve(now)
        wait_s = bucket.wait_s(queue.waiting_tokens + tokens, now)
        if wait_s > max_wait_s:
            return self._delay_refusal(now) or Loan(False, wait_s, 0.0)
        return self._lend(bucket, queue, tokens, wait_s, now)

    def ask(self, spec: WorkspaceSpec, ticket: TokenTicket, now: float) -> Loan:
        """Lend a request's tokens, give it a place in the queue, or refuse it.

        A request that asks again for the same tokens gets them once.
        """
        queue = self._find_queue(spec, now)
        bucket = self._buckets[spec.name]
        queue.serve(now)
        wait_s = queue.claim(ticket, now)
        if wait_s is None and not queue.is_displaced(ticket):
            if not queue and not bucket.wait_s(ticket.tokens, now):
                queue.note_lent(ticket, now)
                return self._lend(bucket, queue, ticket.tokens, 0.0, now)
            wait_s = queue.enter(ticket, now)
        if wait_s is not None:
            return Loan(not wait_s, wait_s, 0.0, is_queued=wait_s > 0)
        return self._delay_refusal(now) or Loan(
            False, queue.choose_return_s(ticket.tokens, now), 0.0
        )

    def _delay_refusal(self, now: float) -> Loan | None:
        """Have a request ask again if what earlier owners lent may soon be known."""
        if self.is_assumed and now - self._began < _SETTLE_S:
            return Loan(False, _SETTLE_POLL_S, 0.0, is_queued=True)
        return None

    def _lend(
        self,
        bucket: RateBucket,
        queue: TokenQueue,
        tokens: float,
        wait_s: float,
        now: float,
    ) -> Loan:
        bucket.debit(tokens, now, wait_s)
        advance = min(tokens * _ADVANCE_REQUESTS, bucket.find_plenty(now))
        if queue or self.is_assumed:
            advance = 0.0
        if advance:
            bucket.debit(advance, now)
        return Loan(True, wait_s, advance)

    def is_known(self, spec: WorkspaceSpec, node: str, number: int) -> bool:
        """Return whether a request has asked before."""
        queue = self._queues.get(spec.name)
        return queue is not None and queue.is_known(node, number)

    def take_back(
        self, spec: WorkspaceSpec, tokens: float, lent_at: float, now: float
    ) -> float:
        """Accept tokens that no request has spent; return the credited number."""
        return self._find_bucket(spec, now).put_back(tokens, lent_at, now)

    def withdraw(self, spec: WorkspaceSpec, node: str, number: int, now: float) -> None:
        """Drop the place of a request whose caller has left."""
        self._find_queue(spec, now).withdraw(node, number, now)

    def is_scarce(self, name: str) -> bool:
        """Return whether tokens that lie unspent at an entry are missed elsewhere."""
        bucket = self._buckets.get(name)
        return bucket is not None and bucket.is_scarce

    def read_level(self, name: str) -> float:
        """Return the tokens that could be lent when the workspace asked last."""
        bucket = self._buckets.get(name)
        return bucket.level if bucket is not None else 0.0

    def _find_queue(self, spec: WorkspaceSpec, now: float) -> TokenQueue:
        bucket = self._find_bucket(spec, now)
        queue = self._queues.get(spec.name)
        if queue is None:
            queue = self._queues[spec.name] = TokenQueue(bucket)
        return queue

    def _find_bucket(self, spec: WorkspaceSpec, now: float) -> RateBucket:
        bucket = self._buckets.get(spec.name)
        if bucket is None:
            bucket = RateBucket(
                spec, self._limits, self._began, is_full=not self.is_assumed
            )
            if self._reported is not None:
                bucket.replay(self._reported.get(spec.name, ()), now)
            self._buckets[spec.name] = bucket
        elif bucket.spec != spec:
            bucket.change(spec, now)
        return bucket
