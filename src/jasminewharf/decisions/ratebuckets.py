"""The owner's bucket of one workspace's rate."""

import math
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
# The same where the window bounds what a workspace keeps of its unused rate: entries
# that are cut off from the owner may spend beyond it.
_WINDOW_SLACK_PART = 0.1
# Fraction of the allowed overrun that may be lent once more after a change of owner
# about which the entries have not all reported.
_RESERVE_PART = 0.3
# Tokens are accepted back for this long after the loan; few return later.
_RETURN_KEPT_S = 4.0
# Above this fraction of its size, a bucket lends tokens in advance.
_PLENTY_PART = 0.5
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
        reserve = min(spec.burst, limits.slack(spec) * _RESERVE_PART)
        self.level = self.size if is_full else reserve
        self._at = self._began = now
        self._history = GrantHistory(limits.kept_s)
        if not is_full:
            self._assume_history(now)
        # Levels before loans, each with its time, but for those that a later one
        # exceeds: the first one after a time is the highest level since.
        self._peaks: deque[tuple[float, float]] = deque()

    def _assume_history(self, now: float) -> None:
        """Enter a workspace's whole rate and burst as what earlier owners lent."""
        kept_s = self._limits.kept_s
        tokens = self.spec.rate_per_s * kept_s + self.spec.burst
        spans = math.ceil(kept_s)
        for span in range(spans):
            self._history.add(tokens / spans, now - kept_s * (span + 0.5) / spans)

    @property
    def _slack(self) -> float:
        return self._limits.slack(self.spec) * _SLACK_PART

    @property
    def size(self) -> float:
        """The highest level."""
        carried = self.spec.rate_per_s * self._limits.carry_s
        return self.spec.burst + self._slack + carried

    def refill(self, now: float) -> None:
        """Add what has been earned until now."""
        earned = max(now - self._at, 0.0) * self.spec.rate_per_s
        self.level = min(self.level + earned, self.size)
        self._at = now
        self._history.forget(now)
        self._note_peak(now)

    def _note_peak(self, now: float) -> None:
        while self._peaks and self._peaks[-1][1] <= self.level:
            self._peaks.pop()
        self._peaks.append((now, self.level))
        while self._peaks[0][0] < now - _RETURN_KEPT_S:
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
        excess = tokens - self._find_room(now)
        if excess <= 0:
            return 0.0
        for at, lent in self._history.items():
            excess -= lent
            if excess <= 0:
                return max(at + kept_s - now, 0.0)
        return kept_s

    def _find_room(self, now: float) -> float:
        """Return the tokens that the window leaves."""
        kept_s = self._limits.kept_s
        slack = self._limits.slack(self.spec) * _WINDOW_SLACK_PART
        limit = self.spec.rate_per_s * kept_s + self.spec.burst + slack
        return limit - self._history.total(now - kept_s)

    def find_plenty(self, now: float) -> float:
        """Return the tokens that can be lent in advance; none if they grow scarce."""
        plenty = self.level - _PLENTY_PART * self.size
        if self._limits.carry_s:
            kept = self.spec.burst + self._slack
            plenty = min(plenty, self._find_room(now) - kept)
        return max(plenty, 0.0) / 2

    @property
    def is_scarce(self) -> bool:
        """Whether tokens that lie unspent at an entry are missed elsewhere."""
        return self.level < self.size * _PLENTY_PART

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
        # The level just before the loan itself does not count.
        since = [item for item in self._peaks if item[0] > lent_at]
        peak = max((level for _, level in since), default=self.level)
        counted = max(min(tokens, self.size - peak), 0.0)
        self.level += counted
        self._history.add(-tokens, lent_at)
        before = [item for item in self._peaks if item[0] <= lent_at]
        self._peaks.clear()
        for at, level in before + [(at, level + counted) for at, level in since]:
            while self._peaks and self._peaks[-1][1] <= level:
                self._peaks.pop()
            self._peaks.append((at, level))
        return counted

    def change(self, spec: WorkspaceSpec, now: float) -> None:
        """Take another rate and burst.

        A raised limit counts at once. A lowered one counts in windows that begin now:
        a level that loans under the old one have used up starts with what the overrun
        of the old limit leaves, since that one counts in windows that began before.
        """
        self.refill(now)
        before = self.size
        unused = self._limits.slack(self.spec) - self._slack
        unused = max(unused - self.spec.rate_per_s * LATE_SEND_S, 0.0)
        is_lowered = spec.rate_per_s < self.spec.rate_per_s or spec.burst < (
            self.spec.burst
        )
        self.spec = spec
        if is_lowered:
            self._history = GrantHistory(self._limits.kept_s)
            self.level = min(max(self.level, unused), self.size)
        else:
            self.level += max(self.size - before, 0.0)
        self._peaks.clear()
        self._note_peak(now)

    def replay(self, grants: Sequence[tuple[float, float]], now: float) -> None:
        """Set the level that follows from what earlier owners granted until now.

        A bucket that was full before the first of the grants that count keeps every
        window within rate and burst. This owner's own loans count too.
        """
        own = [item for item in self._history.items() if item[0] > self._began]
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
