"""Requests that wait at the owner for tokens of their workspace's rate.

A request takes its place when it first asks, and asks again when its tokens are due.
Requests of about the same size and patience form a flow. Within a flow, the first to
come is the first to be served; flows that wait share the rate, so that small requests
do not wait behind all large ones, nor large ones for a gap between small ones. A
request that cannot be served in time is refused at once. If its flow has less than its
share of the queue, the last request of the flow with the most tokens gives way.
"""

import math
from typing import NamedTuple

from .ratebuckets import RateBucket

__all__ = ["TokenQueue", "TokenTicket"]

# Requests of one workspace that wait at a time; the times bound them before, as a rule.
_LIMIT = 200
# One step of priority halves a flow's share.
_PRIORITY_BASE = 2.0
_PRIORITY_LIMIT = 20
# Sizes of a flow differ by less than this factor.
_SIZE_FACTOR = 4.0
# Tokens of a request that did not ask for them when they were due go to the others.
_CLAIM_S = 0.4
# Answers are repeated to requests that ask again because the first one was lost.
_ANSWER_KEPT_S = 2.0
# A request waits for its own size for at most this share of its patience beyond it, so
# that large requests get a place as often as small ones.
_OWN_SHARE = 0.5
# A workspace whose tokens have been short for this long is over its rate for long: its
# requests wait for a part of their patience only, since more of them come than the rate
# allows, and waiting serves none more. Where patient requests wait too, they would get
# all places in that way.
_LONG_S = 4.0
_LONG_PART = 0.25
_SHORT_PART = 0.1  # Of the bucket: fewer tokens are short.
# Over so much time the returns of refused requests are spread.
_RETURN_SPREAD_S = 4.0
_TINY = 1e-9

_Key = tuple[str, int]
_Flow = tuple[int, int, int]


class TokenTicket(NamedTuple):
    """A request for tokens; ``number`` names it at its node.

    It may wait for ``patience_s`` for those before it. If it has waited for
    ``waited_s`` for something else, it is served next. Priority 0 is the most urgent.
    """

    node: str
    number: int
    tokens: float
    patience_s: float
    waited_s: float = 0.0
    priority: int = 0


class _Waiting:
    """A place in the queue.

    ``begin`` is its place in the order, in tokens of a flow's share; ``due_by`` is when
    its tokens have to be there.
    """

    def __init__(self, ticket: TokenTicket, rate: float, now: float) -> None:
        self.key = (ticket.node, ticket.number)
        self.tokens = ticket.tokens
        priority = max(0, min(ticket.priority, _PRIORITY_LIMIT))
        size = int(math.log(max(ticket.tokens, 1.0), _SIZE_FACTOR))
        patience_ms = round(ticket.patience_s * 1_000)
        self.flow: _Flow = (priority, patience_ms, size)
        self.share_tokens = ticket.tokens * _PRIORITY_BASE**priority
        own_s = min(ticket.tokens / max(rate, _TINY), ticket.patience_s * _OWN_SHARE)
        self.patience_s = ticket.patience_s
        self.start_by = now + ticket.patience_s
        self.due_by = self.start_by + own_s
        self.begin = 0.0
        self.granted_at = 0.0

    def shorten(self, now: float) -> None:
        """Wait for less, as the workspace is over its rate for long."""
        self.start_by = now + (self.start_by - now) * _LONG_PART
        self.due_by = now + (self.due_by - now) * _LONG_PART

    @property
    def end(self) -> float:
        return self.begin + self.share_tokens


class TokenQueue:
    """The queue of one workspace at the owner of its bucket."""

    def __init__(self, bucket: RateBucket) -> None:
        self._bucket = bucket
        self._waiting: list[_Waiting] = []
        # Where the order has come to, and where each flow's next request begins.
        self._served = 0.0
        self._granted: dict[_Key, _Waiting] = {}
        # When tokens were lent, and to whom, for questions that are repeated.
        self._lent: dict[_Key, float] = {}
        self._displaced: dict[_Key, float] = {}
        self._returns_until = 0.0
        self._sufficed_at = float("-inf")

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
        if not self._waiting and bucket.level > bucket.size * _SHORT_PART:
            self._sufficed_at = now
        for key, item in list(self._granted.items()):
            if now - item.granted_at > _CLAIM_S:
                del self._granted[key]
                bucket.put_back(item.tokens, item.granted_at, now)
        for noted in (self._lent, self._displaced):
            for key in [k for k, at in noted.items() if now - at > _ANSWER_KEPT_S]:
                del noted[key]
        while self._waiting and not bucket.wait_s(self._waiting[0].tokens, now):
            item = self._waiting.pop(0)
            self._served = max(self._served, item.begin)
            bucket.debit(item.tokens, now)
            item.granted_at = now
            self._granted[item.key] = item

    def is_known(self, node: str, number: int) -> bool:
        """Return whether a request has asked before."""
        key = (node, number)
        is_noted = key in self._lent or key in self._granted or key in self._displaced
        return is_noted or any(item.key == key for item in self._waiting)

    def is_displaced(self, ticket: TokenTicket) -> bool:
        """Return whether a request had to give way."""
        return (ticket.node, ticket.number) in self._displaced

    def claim(self, ticket: TokenTicket, now: float) -> float | None:
        """Return 0 if a known request has its tokens, or the seconds until then.

        Returns:
            None if the request has no place.
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

    def note_lent(self, ticket: TokenTicket, now: float) -> None:
        """Record a loan to a request that did not wait."""
        self._lent[ticket.node, ticket.number] = now

    def enter(self, ticket: TokenTicket, now: float) -> float | None:
        """Give a request a place; return the seconds until its tokens are there.

        Returns:
            None if it cannot be served in time.
        """
        new = _Waiting(ticket, self._bucket.spec.rate_per_s, now)
        is_long = now - self._sufficed_at > _LONG_S and not ticket.waited_s
        if is_long and all(w.patience_s == new.patience_s for w in self._waiting):
            new.shorten(now)
        if len(self._waiting) >= _LIMIT:
            return None
        kept = list(self._waiting)
        displaced: list[_Waiting] = []
        while True:
            self._place(new, kept, is_next=ticket.waited_s > 0)
            place = sorted([*kept, new], key=lambda item: item.begin)
            if self._is_feasible(place, now):
                break
            victim = _find_victim(kept, new)
            if victim is None:
                return None
            kept.remove(victim)
            displaced.append(victim)
        for item in displaced:
            self._displaced[item.key] = now
        self._waiting = place
        tokens = sum(item.tokens for item in place[: place.index(new) + 1])
        return max(self._bucket.wait_s(tokens, now), _TINY)

    def _place(self, new: _Waiting, kept: list[_Waiting], *, is_next: bool) -> None:
        ends = [item.end for item in kept if item.flow == new.flow]
        new.begin = self._served if is_next else max([self._served, *ends])

    def _is_feasible(self, place: list[_Waiting], now: float) -> bool:
        """Return whether all are served in time in this order."""
        tokens = 0.0
        for item in place:
            if now + self._bucket.wait_s(tokens, now) > item.start_by:
                return False
            tokens += item.tokens
            if now + self._bucket.wait_s(tokens, now) > item.due_by:
                return False
        return True

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


def _find_victim(kept: list[_Waiting], new: _Waiting) -> _Waiting | None:
    """Return the last request of the flow with the most tokens; None if it is new's."""
    tokens: dict[_Flow, float] = {new.flow: new.share_tokens}
    for item in kept:
        tokens[item.flow] = tokens.get(item.flow, 0.0) + item.share_tokens
    largest = max(tokens, key=lambda flow: tokens[flow])
    if largest == new.flow:
        return None
    return max(
        (item for item in kept if item.flow == largest), key=lambda item: item.begin
    )
