"""Requests that wait at the owner for tokens of their workspace's rate.

A request takes its place when it first asks, and asks again when its tokens are due.
Earlier deadlines go first, so that routes with short targets pass those that can wait,
and nobody waits for longer than announced. A request that could not be served in time,
or that would make one late that waits already, is refused at once.
"""

from bisect import insort
from typing import NamedTuple

from .ratebuckets import RateBucket

__all__ = ["TokenQueue", "TokenTicket"]

# Requests of one workspace that wait at a time; the times bound them before, as a rule.
_LIMIT = 200
# One step of priority counts as so much more patience in the order of the queue.
_PRIORITY_STEP_S = 0.1
# Tokens of a request that did not ask for them when they were due go to the others.
_CLAIM_S = 0.4
# Answers are repeated to requests that ask again because the first one was lost.
_ANSWER_KEPT_S = 2.0
# A request waits for its own size for at most this share of its patience beyond it, so
# that large requests get a place as often as small ones.
_OWN_SHARE = 0.5
# Over so much time the returns of refused requests are spread.
_RETURN_SPREAD_S = 4.0
_TINY = 1e-9


class TokenTicket(NamedTuple):
    """A request for tokens; ``number`` names it at its node.

    It may wait for ``patience_s`` for those before it. It has waited for ``waited_s``
    for something else, which counts in the order. Priority 0 is the most urgent.
    """

    node: str
    number: int
    tokens: float
    patience_s: float
    waited_s: float = 0.0
    priority: int = 0


class _Waiting:
    """A place in the queue; ``due_by`` is when its tokens have to be there."""

    def __init__(self, ticket: TokenTicket, own_s: float, now: float) -> None:
        self.key = (ticket.node, ticket.number)
        self.tokens = ticket.tokens
        own_s = min(own_s, ticket.patience_s * _OWN_SHARE)
        self.start_by = now + ticket.patience_s
        self.due_by = self.start_by + own_s
        rank_s = ticket.priority * _PRIORITY_STEP_S
        self.order_at = now + ticket.patience_s - ticket.waited_s + rank_s
        self.granted_at = 0.0

    def __lt__(self, other: "_Waiting") -> bool:
        return self.order_at < other.order_at


class TokenQueue:
    """The queue of one workspace at the owner of its bucket."""

    def __init__(self, bucket: RateBucket) -> None:
        self._bucket = bucket
        self._waiting: list[_Waiting] = []
        self._granted: dict[tuple[str, int], _Waiting] = {}
        # When tokens were lent, and to whom, for questions that are repeated.
        self._lent: dict[tuple[str, int], float] = {}
        self._returns_until = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def waiting_tokens(self) -> float:
        """Tokens for which requests wait."""
        return sum(item.tokens for item in self._waiting)

    def serve(self, now: float) -> None:
        """Set tokens aside for those whose turn it is."""
        bucket = self._bucket
        bucket.refill(now)
        for key, item in list(self._granted.items()):
            if now - item.granted_at > _CLAIM_S:
                del self._granted[key]
                bucket.put_back(item.tokens, item.granted_at, now)
        for key in [k for k, at in self._lent.items() if now - at > _ANSWER_KEPT_S]:
            del self._lent[key]
        while self._waiting and not bucket.wait_s(self._waiting[0].tokens, now):
            item = self._waiting.pop(0)
            bucket.debit(item.tokens, now)
            item.granted_at = now
            self._granted[item.key] = item

    def claim(self, ticket: TokenTicket, now: float) -> float | None:
        """Return 0 if a known request has its tokens, or the seconds until then.

        Returns:
            None if the request is not known.
        """
        key = (ticket.node, ticket.number)
        if key in self._lent:
            return 0.0
        if self._granted.pop(key, None) is not None:
            self._lent[key] = now
            return 0.0
        tokens = 0.0
        for item in self._waiting:
            tokens += item.tokens
            if item.key == key:
                return max(self._bucket.wait_s(tokens, now), _TINY)
        return None

    def is_known(self, node: str, number: int) -> bool:
        """Return whether a request has asked before."""
        key = (node, number)
        is_served = key in self._lent or key in self._granted
        return is_served or any(item.key == key for item in self._waiting)

    def note_lent(self, ticket: TokenTicket, now: float) -> None:
        """Record a loan to a request that did not wait."""
        self._lent[ticket.node, ticket.number] = now

    def enter(self, ticket: TokenTicket, now: float) -> float | None:
        """Give a request a place; return the seconds until its tokens are there.

        Returns:
            None if it cannot be served in time.
        """
        own_s = ticket.tokens / max(self._bucket.spec.rate_per_s, _TINY)
        new = _Waiting(ticket, own_s, now)
        if len(self._waiting) >= _LIMIT:
            return None
        place = list(self._waiting)
        insort(place, new)
        wait_s, tokens, is_behind = 0.0, 0.0, False
        for item in place:
            if item is new:
                is_behind = True
                if now + self._bucket.wait_s(tokens, now) > new.start_by:
                    return None
                wait_s = self._bucket.wait_s(tokens + new.tokens, now)
            tokens += item.tokens
            if is_behind and now + self._bucket.wait_s(tokens, now) > item.due_by:
                return None
        self._waiting = place
        return max(wait_s, _TINY)

    def withdraw(self, node: str, number: int, now: float) -> None:
        """Drop a request whose caller has left."""
        item = self._granted.pop((node, number), None)
        if item is not None:
            self._bucket.put_back(item.tokens, item.granted_at, now)
        self._waiting = [w for w in self._waiting if w.key != (node, number)]

    def choose_return_s(self, tokens: float, now: float) -> float:
        """Return after which time a refused request should come back.

        Not before its tokens could be there, and one after the other, as fast as the
        rate allows, over a few seconds.
        """
        bucket = self._bucket
        first_s = bucket.wait_s(self.waiting_tokens + tokens, now)
        step_s = tokens / max(bucket.spec.rate_per_s, _TINY)
        return_s = max(first_s, self._returns_until - now + step_s)
        if return_s > first_s + _RETURN_SPREAD_S:
            return_s = first_s
        self._returns_until = now + return_s
        return return_s
