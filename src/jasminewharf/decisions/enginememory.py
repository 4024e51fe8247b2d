"""Whether a request fits into the memory of an engine.

An engine crashes if the requests that it holds need more tokens than it has memory for.
Its reports tell what they use by now; a node knows besides what its own requests may
still need.
"""

from collections import deque
from collections.abc import Iterable

from .. import defaults

__all__ = ["EngineMemory", "is_too_large"]


class EngineMemory:
    """What a node knows of the use of one engine's memory, in tokens.

    Attributes:
        total: The memory for tokens; 0 if it is not known.
    """

    def __init__(self) -> None:
        self.total = 0
        self._used = 0
        self._told_at = float("-inf")
        # Of this node's requests in flight, with those begun since the last report.
        self._own = 0
        self._begun: deque[tuple[float, int]] = deque()

    def note_told(self, used: int, total: int, at: float) -> None:
        """Record a report, measured at ``at``; one older than the last is dropped."""
        if at < self._told_at:
            return
        self._told_at = at
        self._used = max(used, 0)
        self.total = max(total, 0)
        # A request may have been on its way while the report was made.
        self._forget(at - defaults.ENGINE_MEMORY_LAG_S)

    def begin(self, tokens: int, now: float) -> None:
        """Count the prompt and output tokens of a request that is sent."""
        self._own += tokens
        self._forget(now - defaults.AGENT_FRESH_S)
        self._begun.append((now, tokens))

    def end(self, tokens: int) -> None:
        """Count the end of a request."""
        self._own -= tokens

    def fits(self, tokens: int, now: float) -> bool:
        """Return whether a request fits beside those that are known to be there.

        Without a fresh report only this node's own requests are known.
        """
        if self.total <= 0 or tokens <= 0:
            return True
        known = self._own
        if now - self._told_at <= defaults.AGENT_FRESH_S:
            begun = sum(count for _, count in self._begun)
            known = max(self._used + begun, known)
        return known + tokens <= self.total

    def _forget(self, horizon: float) -> None:
        while self._begun and self._begun[0][0] <= horizon:
            self._begun.popleft()


def is_too_large(tokens: int, engines: Iterable[EngineMemory]) -> bool:
    """Return whether a request needs more memory than any of the engines has.

    While the memory of one of them is not known, it may have enough.
    """
    totals = [engine.total for engine in engines]
    return bool(totals) and min(totals) > 0 and tokens > max(totals)
