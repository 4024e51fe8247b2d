"""Permits to send requests to backend servers that name a limit.

One owner in the fleet issues them, at the rate that each server names. Requests wait at
the owner by urgency and fairly over workspaces, and those that cannot be sent before
their caller leaves are refused at once.
"""

import math
from collections import Counter, deque
from typing import NamedTuple

from .. import defaults
from .sendbounds import SendBound

__all__ = [
    "LimitFall",
    "LocalShare",
    "PermitKey",
    "PermitQueue",
    "PermitRequest",
    "StatusPacer",
]


# A whole permit, less what summing up small amounts loses.
_WHOLE = 1.0 - 1e-6
# Timers may end this much early.
_TIMER_S = 1e-6
# How long a permit counts against the server's rule, with its request on its way.
_COUNTED_S = defaults.LIMIT_WINDOW_S + defaults.PERMIT_UNDER_WAY_S


class PermitKey(NamedTuple):
    """Names a request for a permit: the node's incarnation and its number there."""

    node: int
    number: int


class PermitRequest(NamedTuple):
    """A request that waits for a permit; times are on the owner's clock.

    ``priority`` 0 is the most urgent. ``since`` is when it began to wait and
    ``leaves_at`` when it is of no use any more, in seconds. ``renewal`` counts how
    often the node has asked for it before.
    """

    key: PermitKey
    workspace: str
    priority: int
    since: float
    leaves_at: float
    renewal: int = 0


class Verdict(NamedTuple):
    """What the owner decides on a request for a permit.

    ``wait_s`` is the time until a permit is expected to be free for it.
    """

    request: PermitRequest
    is_granted: bool
    wait_s: float


class LimitFall(NamedTuple):
    """When an owner of permits heard of a lower limit, and the limit before."""

    before_per_s: float
    at: float


class PermitQueue:
    """Issues the permits of one server.

    The tokens of the queue start at zero, as a previous owner may just have spent some.
    Its permits count against the limit as if it had issued all that it could.

    Args:
        limit_per_s: Requests a second that the server takes; None if it names no
            limit, and only its bound counts.
        now: Current time in monotonic seconds.
        fall: The last time that the limit was lowered, if it was.
        bound: What it takes in any second, if it can turn cold.
    """

    def __init__(
        self,
        limit_per_s: float | None,
        now: float,
        fall: LimitFall | None = None,
        bound: SendBound | None = None,
    ) -> None:
        self.limit_per_s = limit_per_s
        self.bound = bound
        # When the permits were issued that may arrive in the window of the next one.
        self._sent: deque[float] = deque()
        self._level = self._size
        if limit_per_s is not None:
            self._sent.extend(_list_former_permits(limit_per_s, now, fall))
            self._level = 0.0
        self._at = now
        self._waiting: dict[PermitKey, tuple[PermitRequest, float]] = {}
        self._issued: dict[PermitKey, tuple[PermitRequest, float]] = {}
        # Permits issued to each workspace, in the units of a virtual clock.
        self._tags: dict[str, float] = {}
        self._clock = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def __contains__(self, key: PermitKey) -> bool:
        """Return whether a request waits."""
        return key in self._waiting

    @property
    def rate_per_s(self) -> float:
        """The permits a second: the limit, or a few to learn that it has ended."""
        bound_per_s = self.bound.per_s if self.bound is not None else math.inf
        if self.limit_per_s is None:
            return max(bound_per_s, 1 / defaults.LIMIT_TRIAL_S)
        return min(_find_rate(self.limit_per_s), bound_per_s)

    @property
    def _size(self) -> float:
        if self.limit_per_s is None:
            # The bound alone says how many may be sent together.
            return math.inf
        return _find_size(self.limit_per_s)

    @property
    def _room(self) -> float:
        """The permits in a window that the server's rule allows beside status reads."""
        if self.limit_per_s is None:
            return math.inf
        span_s = defaults.LIMIT_WINDOW_S
        allowed = defaults.LIMIT_WINDOW_FACTOR * span_s * self.limit_per_s
        reads = max(
            self.limit_per_s * defaults.STATUS_PART, 1 / defaults.STATUS_LIMITED_S
        )
        return int(allowed + defaults.LIMIT_WINDOW_EXTRA) - math.ceil(reads * span_s)

    def set_limit(self, limit_per_s: float | None, now: float) -> None:
        """Change the limit at once.

        Requests on their way at a higher rate count against the lower limit when they
        arrive. They are made up for in part, and in full where they would exceed what
        the server's rule allows in a window.
        """
        if limit_per_s == self.limit_per_s:
            return
        self._refill(now)
        before = self.limit_per_s
        if limit_per_s is None:
            is_lower = False
        else:
            is_lower = before is None or limit_per_s < before
        self.limit_per_s = limit_per_s
        self._level = math.inf if limit_per_s is None else min(self._level, self._size)
        if is_lower:
            self._drop_sent(now - defaults.PERMIT_UNDER_WAY_S)
            under_way = len(self._sent)
            self._level -= min(under_way, defaults.PERMIT_DEBT_LIMIT)

    def request(self, request: PermitRequest, now: float) -> Verdict | None:
        """Add or renew a request; return the decision if it is known already.

        A request that was granted is granted again, as it was: the answer was lost. A
        request that cannot be served before it leaves is refused, also at a renewal.
        """
        self._refill(now)
        if request.key in self._issued:
            return Verdict(self._issued[request.key][0], True, 0.0)
        wait_s = max(self._estimate_wait(request), self._find_room(now))
        is_full = len(self._waiting) >= defaults.PERMIT_QUEUE_LIMIT
        is_new = request.key not in self._waiting
        if wait_s > max(request.leaves_at - now, 0.0) or (is_full and is_new):
            self._waiting.pop(request.key, None)
            return Verdict(request, False, wait_s)
        self._waiting[request.key] = (request, now)
        return None

    def cancel(self, key: PermitKey, now: float) -> None:
        """Forget a request; the permit that it was given and did not use is back."""
        self._waiting.pop(key, None)
        issued = self._issued.pop(key, None)
        if issued is not None and now - issued[1] <= defaults.PERMIT_RETURN_S:
            self._refill(now)
            self._level = min(self._level + 1.0, self._size)
            if issued[1] in self._sent:
                self._sent.remove(issued[1])
            if self.bound is not None:
                self.bound.note_returned(issued[1])

    def decide(self, now: float) -> list[Verdict]:
        """Issue the permits that are free."""
        self._refill(now)
        self._forget(now)
        granted = []
        self._drop_sent(now - _COUNTED_S)
        while self._waiting and self._level >= _WHOLE and self._has_room(now):
            request = min(self._waiting.values(), key=self._rank)[0]
            del self._waiting[request.key]
            self._level -= 1.0
            self._issued[request.key] = (request, now)
            self._sent.append(now)
            if self.bound is not None:
                self.bound.note_issued(now)
            self._clock = max(self._tags.get(request.workspace, 0.0), self._clock)
            self._tags[request.workspace] = self._clock + 1.0
            granted.append(Verdict(request, True, 0.0))
        return granted

    def next_due(self, now: float) -> float:
        """Return the seconds until :meth:`decide` can issue a permit."""
        if not self._waiting:
            return math.inf
        due_s = 0.0
        if self._level < 1.0:
            due_s = (1.0 - self._level) / self.rate_per_s - (now - self._at)
        return max(due_s, self._find_room(now), 0.0)

    def _find_room(self, now: float) -> float:
        """Return the seconds until the server's rule allows another permit."""
        wait_s = self.bound.find_room(now) if self.bound is not None else 0.0
        room = self._room
        if len(self._sent) < room:
            return wait_s
        return max(self._sent[-int(room)] + _COUNTED_S - now, wait_s, 0.0)

    def _has_room(self, now: float) -> bool:
        if len(self._sent) >= self._room:
            return False
        return self.bound is None or self.bound.find_room(now) <= 0

    def _drop_sent(self, until: float) -> None:
        while self._sent and self._sent[0] <= until + _TIMER_S:
            self._sent.popleft()

    def _refill(self, now: float) -> None:
        earned = max(now - self._at, 0.0) * self.rate_per_s
        self._level = min(self._level + earned, self._size)
        self._at = max(now, self._at)

    def _forget(self, now: float) -> None:
        """Drop requests that are not renewed and permits that are long used."""
        silent = now - defaults.PERMIT_SILENT_S
        for key, (_, heard_at) in list(self._waiting.items()):
            if heard_at < silent:
                del self._waiting[key]
        old = now - defaults.PERMIT_RETURN_S
        while self._issued:
            key = next(iter(self._issued))
            if self._issued[key][1] >= old:
                break
            del self._issued[key]
        if not self._waiting:
            self._tags.clear()
            self._clock = 0.0

    def _rank(self, item: tuple[PermitRequest, float]) -> tuple[int, float, float]:
        request = item[0]
        tag = max(self._tags.get(request.workspace, 0.0), self._clock)
        return request.priority, tag, request.since

    def _estimate_wait(self, request: PermitRequest) -> float:
        """Return the seconds until a permit for a request, behind those ahead of it."""
        ahead = 0
        own = 0
        others: Counter[str] = Counter()
        for other, _ in self._waiting.values():
            if other.key == request.key or other.priority > request.priority:
                continue
            if other.priority < request.priority:
                ahead += 1
            elif other.workspace != request.workspace:
                others[other.workspace] += 1
            elif other.since <= request.since:
                own += 1
        ahead += own + sum(min(count, own + 1) for count in others.values())
        wait_s = max(ahead + 1.0 - self._level, 0.0) / self.rate_per_s
        return max(wait_s, ahead / self.rate_per_s)


def _find_rate(limit_per_s: float) -> float:
    return max(limit_per_s, 1 / defaults.LIMIT_TRIAL_S)


def _find_size(limit_per_s: float) -> float:
    return 1.0 + _find_rate(limit_per_s) * defaults.PERMIT_BURST_S


def _list_former_permits(
    limit_per_s: float, now: float, fall: LimitFall | None
) -> list[float]:
    """Return when a previous owner issued permits, if it issued all that it could."""
    if fall is None or now - fall.at >= _COUNTED_S:
        fall = LimitFall(limit_per_s, now)
    rate = _find_rate(fall.before_per_s)
    span_s = defaults.PERMIT_UNDER_WAY_S
    count = math.ceil(rate * span_s + _find_size(fall.before_per_s))
    times = [fall.at - span_s * number / count for number in reversed(range(count))]
    later = int((now - fall.at) * _find_rate(limit_per_s))
    return times + [fall.at + (now - fall.at) * n / later for n in range(later)]


class LocalShare:
    """A node's share of a limit while the owner of the permits gives no answer.

    Tokens are earned only while a request waits: those that many nodes had saved would
    be spent at once. The first one comes after a random part of the usual time, so that
    nodes that lose the owner together do not send together.

    Args:
        phase: Random number in [0, 1).
        now: Current time in monotonic seconds.
    """

    def __init__(self, phase: float, now: float) -> None:
        self._level = phase
        self._at = now

    def take(self, limit_per_s: float, nodes: int, now: float) -> bool:
        """Return whether a waiting request may be sent now.

        Args:
            limit_per_s: Requests a second that the server takes from all nodes.
            nodes: Number of nodes that may send.
            now: Current time in monotonic seconds.
        """
        rate = limit_per_s * defaults.LOCAL_SHARE_PART / max(nodes, 1)
        self._level += max(now - self._at, 0.0) * rate
        self._at = now
        if self._level < 1.0:
            return False
        self._level = 0.0
        return True

    def skip(self, now: float) -> None:
        """Earn nothing for the time in which no request waited."""
        self._at = now


class StatusPacer:
    """Spaces an agent's reads of the status of an engine that names a limit.

    They take a quarter of the limit, of the half by which the servers' rule lets it be
    exceeded; orders and callers' requests take the limit itself.
    """

    def __init__(self) -> None:
        self._read_at = -math.inf

    def may_read(self, limit_per_s: float, now: float) -> bool:
        """Return whether the status may be read now."""
        rate = max(limit_per_s * defaults.STATUS_PART, 1 / defaults.STATUS_LIMITED_S)
        return now - self._read_at >= 1 / rate

    def note_read(self, now: float) -> None:
        """Record that the status is read."""
        self._read_at = now
