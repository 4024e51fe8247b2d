"""Tokens granted lately, in intervals short against the window of the rule."""

from collections import deque

__all__ = ["GrantHistory"]

# Long enough for a hundred intervals in the usual window of 8 s.
_SPAN_S = 0.1


class GrantHistory:
    """Tokens of one workspace by the time from which they could be spent.

    An interval is entered with its end, so that no sum over a window is too low by
    rounding.
    """

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        self._grants: deque[list[float]] = deque()

    def add(self, tokens: float, at: float) -> None:
        """Enter tokens that may be spent from ``at`` on; negative ones were unspent."""
        end = (at // _SPAN_S + 1) * _SPAN_S
        index = len(self._grants)
        while index and self._grants[index - 1][0] > end + _SPAN_S / 2:
            index -= 1
        if index and abs(self._grants[index - 1][0] - end) < _SPAN_S / 2:
            self._grants[index - 1][1] += tokens
        else:
            self._grants.insert(index, [end, tokens])

    def forget(self, now: float) -> None:
        """Drop what is older than the time that is kept."""
        while self._grants and self._grants[0][0] <= now - self._kept_s:
            self._grants.popleft()

    def total(self, since: float) -> float:
        """Return the tokens granted after ``since``."""
        return sum(tokens for at, tokens in self._grants if at > since)

    def items(self) -> list[tuple[float, float]]:
        """Return times and tokens in order of time, without empty intervals."""
        return [(at, tokens) for at, tokens in self._grants if tokens]

    def __bool__(self) -> bool:
        return bool(self._grants)
