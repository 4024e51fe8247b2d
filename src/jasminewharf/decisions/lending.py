"""Fleet-wide rate limits of workspaces: one owner lends tokens to the entries.

The owner keeps one token bucket for each workspace and debits it before it answers, so
all entries together stay within rate and burst. An entry that gets no answer uses a
local emergency bucket. The rates of these buckets are small enough for all entries
together to stay within the overrun that the deployment allows.
"""

import math
from collections import deque
from typing import NamedTuple

from .configurations import WorkspaceSpec

__all__ = ["Advance", "EmergencyBucket", "Loan", "OverrunLimits", "TokenLender"]

# Fraction of the allowed overrun that the owner adds to the burst.
_SLACK_PART = 0.25
# Fraction of the burst that buckets hold initially after a change of owner.
_TAKEOVER_PART = 0.25
# Fraction of a rate that all emergency buckets share.
_EMERGENCY_PART = 0.6
# Capacity of an emergency bucket, in seconds of its rate.
_EMERGENCY_BURST_S = 0.5
# Above this fraction of its size, a bucket lends tokens in advance.
_PLENTY_PART = 0.5
# Limit of an advance, in multiples of the request, and its lifetime.
_ADVANCE_REQUESTS = 4.0
_ADVANCE_S = 1.0
# An entry counts as active for this long after its last request for tokens.
_ENTRY_KEPT_S = 4.0
# Tokens are accepted back for this long after the loan; few return later.
_RETURN_KEPT_S = 4.0
_PEAK_SPAN_S = 0.1
_TINY = 1e-9


class OverrunLimits(NamedTuple):
    """Overrun beyond rate and burst that the deployment allows in each window."""

    window_s: float
    share: float
    tokens: float

    def slack(self, spec: WorkspaceSpec) -> float:
        """Return the tokens beyond rate and burst allowed in one window."""
        return (spec.rate_per_s * self.window_s + spec.burst) * self.share + self.tokens


class Loan(NamedTuple):
    """The owner's answer to a request for tokens.

    ``wait_s`` is the delay before the lent tokens may be spent or, after a refusal,
    before the next request. ``advance`` is the number of tokens lent beyond the
    requested ones.
    """

    is_lent: bool
    wait_s: float
    advance: float


class _Bucket:
    def __init__(
        self, spec: WorkspaceSpec, slack: float, now: float, *, is_full: bool
    ) -> None:
        self.spec = spec
        self.slack = slack
        self.level = self.size if is_full else spec.burst * _TAKEOVER_PART
        self._at = now
        # The highest level in each interval of _PEAK_SPAN_S, in order of time.
        self._peaks: deque[tuple[float, float]] = deque()

    @property
    def size(self) -> float:
        return self.spec.burst + self.slack

    def refill(self, now: float) -> None:
        earned = max(now - self._at, 0.0) * self.spec.rate_per_s
        self.level = min(self.level + earned, self.size)
        self._at = now
        self._note_peak(now)

    def _note_peak(self, now: float) -> None:
        span = now // _PEAK_SPAN_S
        if self._peaks and self._peaks[-1][0] == span:
            _, peak = self._peaks.pop()
            self._peaks.append((span, max(peak, self.level)))
        else:
            self._peaks.append((span, self.level))
        while self._peaks[0][0] < span - _RETURN_KEPT_S / _PEAK_SPAN_S:
            self._peaks.popleft()

    def put_back(self, tokens: float, lent_at: float, now: float) -> float:
        """Credit tokens that were lent and not spent; return the credited number.

        Without the loan, a bucket that was nearly full would have overflowed since.
        Tokens that would have been lost that way are not credited.
        """
        self.refill(now)
        if now - lent_at > _RETURN_KEPT_S:
            return 0.0
        first = lent_at // _PEAK_SPAN_S
        peak = max(level for span, level in self._peaks if span >= first)
        counted = max(min(tokens, self.size - peak), 0.0)
        self.level += counted
        self._peaks = deque(
            (span, level + counted if span >= first else level)
            for span, level in self._peaks
        )
        return counted


class TokenLender:
    """The owner's buckets.

    Args:
        limits: Overrun that the deployment allows beyond rate and burst.
        now: When this owner started to lend.
        is_first: Whether the fleet starts for the first time, so that buckets start
            full. A later owner does not know what its predecessor lent, so its
            buckets start with a fraction of the burst.
    """

    def __init__(self, limits: OverrunLimits, now: float, *, is_first: bool) -> None:
        self._limits = limits
        self._began = now
        self._is_first = is_first
        self._buckets: dict[str, _Bucket] = {}
        self._entries: dict[str, float] = {}

    def count_entries(self, node: str, now: float) -> int:
        """Record that an entry is active and return the number of active entries."""
        self._entries[node] = now
        old = now - _ENTRY_KEPT_S
        for name in [name for name, at in self._entries.items() if at < old]:
            del self._entries[name]
        return len(self._entries)

    def lend(
        self, spec: WorkspaceSpec, tokens: float, max_wait_s: float, now: float
    ) -> Loan:
        """Lend ``tokens`` if the bucket can cover them within ``max_wait_s``."""
        bucket = self._find_bucket(spec, now)
        bucket.refill(now)
        wait_s = max(tokens - bucket.level, 0.0) / max(spec.rate_per_s, _TINY)
        if wait_s > max_wait_s:
            return Loan(False, wait_s, 0.0)
        bucket.level -= tokens
        plenty = bucket.level - _PLENTY_PART * bucket.size
        advance = max(min(tokens * _ADVANCE_REQUESTS, plenty / 2), 0.0)
        bucket.level -= advance
        return Loan(True, wait_s, advance)

    def take_back(
        self, spec: WorkspaceSpec, tokens: float, lent_at: float, now: float
    ) -> float:
        """Accept tokens that no request has spent; return the credited number."""
        return self._find_bucket(spec, now).put_back(tokens, lent_at, now)

    def _find_bucket(self, spec: WorkspaceSpec, now: float) -> _Bucket:
        slack = self._limits.slack(spec) * _SLACK_PART
        bucket = self._buckets.get(spec.name)
        if bucket is None:
            bucket = _Bucket(spec, slack, self._began, is_full=self._is_first)
            self._buckets[spec.name] = bucket
        elif bucket.spec != spec:
            bucket.refill(now)
            bucket.spec = spec
            bucket.slack = slack
            bucket.level = min(bucket.level, bucket.size)
        return bucket


class Advance:
    """Tokens lent to an entry in advance of its requests, all by one owner."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._until = -math.inf
        self._lent_at = math.inf
        self.owner = 0

    def add(self, tokens: float, owner: int, lent_at: float, now: float) -> None:
        """Add tokens and restart the lifetime of all held tokens.

        Tokens of a previous owner are dropped, as the current owner has no record of
        them.
        """
        if owner != self.owner:
            self._tokens = 0.0
            self._lent_at = math.inf
            self.owner = owner
        self._tokens += tokens
        self._lent_at = min(self._lent_at, lent_at)
        self._until = now + _ADVANCE_S

    def take(self, tokens: float, now: float) -> bool:
        """Spend ``tokens`` if that many are held and have not expired."""
        if now >= self._until or self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def expire(self, now: float) -> tuple[float, float]:
        """Remove expired tokens; return their number and the earliest loan time."""
        if now < self._until or not self._tokens:
            return 0.0, now
        tokens, self._tokens = self._tokens, 0.0
        lent_at, self._lent_at = self._lent_at, math.inf
        return tokens, lent_at


class EmergencyBucket:
    """An entry's local share of a workspace's rate while the owner is unavailable."""

    def __init__(self) -> None:
        self._level = 0.0
        self._at: float | None = None

    def take(
        self, spec: WorkspaceSpec, entries: int, tokens: float, now: float
    ) -> float:
        """Spend ``tokens`` and return 0, or return the seconds to wait.

        The level may become negative by one request, as the bucket of a low rate may
        never hold the tokens of a whole request.
        """
        rate = spec.rate_per_s * _EMERGENCY_PART / max(entries, 1)
        if self._at is None:
            self._level = rate * _EMERGENCY_BURST_S
        else:
            earned = max(now - self._at, 0.0) * rate
            self._level = min(self._level + earned, rate * _EMERGENCY_BURST_S)
        self._at = now
        if self._level <= 0:
            return -self._level / max(rate, _TINY) + _TINY
        self._level -= tokens
        return 0.0
