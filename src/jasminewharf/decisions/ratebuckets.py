"""The owner's bucket of one workspace's rate."""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from .configurations import WorkspaceSpec
from .ratehistory import GrantHistory

__all__ = ["LATE_SEND_S", "OverrunLimits", "RateBucket"]

# Tokens are spent within this time of their loan or returned, so that what is sent in
# a window was lent in a window that is longer by so much.
LATE_SEND_S = 0.6
# Fraction of the allowed overrun that the owner adds to the burst.
_SLACK_PART = 0.25
# Fraction of the allowed overrun that may be lent once more after a change of owner
# about which the entries have not all reported, or after a lowered limit.
_RESERVE_PART = 0.3
# Tokens are accepted back for this long after the loan; few return later.
_RETURN_KEPT_S = 4.0
_PEAK_SPAN_S = 0.1
_TINY = 1e-9


class OverrunLimits(NamedTuple):
    """Overrun beyond rate and burst that the deployment allows in each window.

    ``carry_s`` is for how many seconds of idleness a workspace keeps its rate beyond
    the burst; the sum over each window bounds what it may spend of that.
    """

    window_s: float
    share: float
    tokens: float
    carry_s: float = 0.0

    @property
    def kept_s(self) -> float:
        """For how long loans count: a window, and the time until tokens are sent."""
        return self.window_s + LATE_SEND_S

    def slack(self, spec: WorkspaceSpec) -> float:
        """Return the tokens beyond rate and burst allowed in one window."""
        return (spec.rate_per_s * self.window_s + spec.burst) * self.share + self.tokens


class RateBucket:
    """Tokens of one workspace that may be lent.

    Attributes:
        level: Tokens that may be lent now; negative after loans ahead of time.
    """

    def __init__(
        self, spec: WorkspaceSpec, limits: OverrunLimits, now: float, *, is_full: bool
    ) -> None:
        self.spec = spec
        self._limits = limits
        self.level = self.size if is_full else self._reserve(spec)
        self._at = now
        self._history = GrantHistory(limits.kept_s)
        # The highest level in each interval of _PEAK_SPAN_S, in order of time.
        self._peaks: deque[tuple[float, float]] = deque()

    @property
    def _slack(self) -> float:
        return self._limits.slack(self.spec) * _SLACK_PART

    @property
    def size(self) -> float:
        """The highest level."""
        carried = self.spec.rate_per_s * self._limits.carry_s
        return self.spec.burst + self._slack + carried

    def _reserve(self, spec: WorkspaceSpec) -> float:
        return min(spec.burst, self._limits.slack(spec) * _RESERVE_PART)

    def refill(self, now: float) -> None:
        """Add what has been earned until now."""
        earned = max(now - self._at, 0.0) * self.spec.rate_per_s
        self.level = min(self.level + earned, self.size)
        self._at = now
        self._history.forget(now)
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

    def wait_s(self, tokens: float, now: float) -> float:
        """Return after which time so many tokens can be lent; refill first."""
        wait_s = max(tokens - self.level, 0.0) / max(self.spec.rate_per_s, _TINY)
        if not self._limits.carry_s:
            return wait_s
        return max(wait_s, self._wait_window(tokens, now))

    def _wait_window(self, tokens: float, now: float) -> float:
        """Return when enough of the window's loans are too old to count."""
        kept_s = self._limits.kept_s
        limit = self.spec.rate_per_s * kept_s + self.spec.burst + self._slack
        excess = self._history.total(now - kept_s) + tokens - limit
        if excess <= 0:
            return 0.0
        for at, lent in self._history.items():
            excess -= lent
            if excess <= 0:
                return max(at + kept_s - now, 0.0)
        return kept_s

    def debit(self, tokens: float, now: float, wait_s: float = 0.0) -> None:
        """Lend tokens that may be spent after ``wait_s``."""
        self.level -= tokens
        self._history.add(tokens, now + wait_s)

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
        self._history.add(-counted, lent_at)
        self._peaks = deque(
            (span, level + counted if span >= first else level)
            for span, level in self._peaks
        )
        return counted

    def change(self, spec: WorkspaceSpec, now: float) -> None:
        """Take another rate and burst.

        A raised limit counts at once. A lowered one counts in windows that begin now:
        a level that loans under the old one have used up starts with the reserve.
        """
        self.refill(now)
        before = self.size
        is_lowered = spec.rate_per_s < self.spec.rate_per_s or spec.burst < (
            self.spec.burst
        )
        self.spec = spec
        if is_lowered:
            self._history = GrantHistory(self._limits.kept_s)
            self.level = min(max(self.level, self._reserve(spec)), self.size)
        else:
            self.level += max(self.size - before, 0.0)
        self._peaks.clear()
        self._note_peak(now)

    def replay(self, grants: Sequence[tuple[float, float]], now: float) -> None:
        """Set the level that follows from what earlier owners granted until now.

        A bucket that was full before the first of the grants that count keeps every
        window within rate and burst. This owner's own loans count too.
        """
        own = self._history.items()
        history = GrantHistory(self._limits.kept_s)
        at = now - self._limits.kept_s
        level = self.size
        for granted_at, tokens in sorted([*grants, *own]):
            if granted_at > at:
                level += (granted_at - at) * self.spec.rate_per_s
                at = granted_at
            level = min(level, self.size) - tokens
            history.add(tokens, granted_at - _TINY)
        # Grants of the running interval bear the time of its end.
        self.level = min(level + (now - at) * self.spec.rate_per_s, self.size)
        self._history = history
        self._at = now
        self._peaks.clear()
        self._note_peak(now)
