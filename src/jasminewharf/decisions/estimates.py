"""Admission estimates: service times, token rates, waits and retry times."""

import math
from collections import OrderedDict

from .. import defaults

__all__ = [
    "ServiceTime",
    "TokenRate",
    "UsageShare",
    "WaitCorrection",
    "fill_slots",
    "to_retry_ms",
]

_SHORTEST_S = 1e-3


class ServiceTime:
    """Estimates seconds per token of cost as a ratio of two decayed sums."""

    def __init__(self, seconds_per_token: float, gain: float) -> None:
        self._gain = gain
        # The initial value weighs as much as one call of 100 tokens.
        self._seconds = 100 * seconds_per_token
        self._tokens = 100.0

    def observe(self, seconds: float, tokens: int) -> None:
        """Count a call that has completed."""
        keep = 1 - self._gain
        self._seconds = self._seconds * keep + seconds
        self._tokens = self._tokens * keep + max(tokens, 1)

    def seconds(self, tokens: float) -> float:
        """Return the expected service time of ``tokens`` of cost."""
        return tokens * self._seconds / self._tokens


class UsageShare:
    """Share of the maximum cost that calls use, per workspace and model.

    It is a ratio of two decayed sums. It starts with one assumed call that uses
    all of its cost, so that one short answer does not dominate it.
    """

    def __init__(self, gain: float) -> None:
        self._gain = gain
        self._sums: OrderedDict[tuple[str, str], tuple[float, float]] = OrderedDict()

    def expected(self, workspace: str, model: str, cost_tokens: int) -> int:
        """Return the expected cost of a call in tokens, at least 1."""
        used, charged = self._sums.get((workspace, model), (1.0, 1.0))
        return max(1, round(cost_tokens * used / charged))

    def observe(
        self, workspace: str, model: str, cost_tokens: int, used_tokens: int
    ) -> None:
        """Count a completed call."""
        key = (workspace, model)
        used, charged = self._sums.pop(key, (cost_tokens, cost_tokens))
        keep = 1 - self._gain
        self._sums[key] = (
            used * keep + max(used_tokens, 1),
            charged * keep + max(cost_tokens, 1),
        )
        if len(self._sums) > defaults.ADMISSION_CORRECTIONS:
            self._sums.popitem(last=False)


class TokenRate:
    """Generated tokens per second, decayed exponentially."""

    def __init__(self, time_constant_s: float = defaults.TOKEN_RATE_WINDOW_S) -> None:
        self._time_constant_s = time_constant_s
        self._tokens = 0.0
        self._updated_at: float | None = None

    def add(self, tokens: float, now: float) -> None:
        """Count tokens that were generated just now."""
        self._decay(now)
        self._tokens += tokens

    def read(self, now: float) -> float:
        """Return the recent rate."""
        self._decay(now)
        return self._tokens / self._time_constant_s

    def _decay(self, now: float) -> None:
        if self._updated_at is not None:
            elapsed = max(0.0, now - self._updated_at)
            self._tokens *= math.exp(-elapsed / self._time_constant_s)
        self._updated_at = now


class WaitCorrection:
    """Correction factors for estimated waits, learned from actual waits.

    There is one per workspace and priority: later calls overtake those of a
    workspace above its share, so that its waits are longer than estimated.
    """

    def __init__(self, gain: float) -> None:
        self._gain = gain
        self._logs: OrderedDict[tuple[str, str], float] = OrderedDict()

    def factor(self, workspace: str, priority: str) -> float:
        """Return the factor for the calls of a workspace."""
        return math.exp(self._logs.get((workspace, priority), 0.0))

    def observe(
        self, workspace: str, priority: str, estimated_s: float, actual_s: float
    ) -> None:
        """Compare an uncorrected estimate with the wait that followed."""
        if estimated_s <= 0:
            return
        ratio = max(actual_s, _SHORTEST_S) / max(estimated_s, _SHORTEST_S)
        ratio = min(
            max(ratio, defaults.ADMISSION_CORRECTION_MIN),
            defaults.ADMISSION_CORRECTION_MAX,
        )
        key = (workspace, priority)
        known = self._logs.pop(key, 0.0)
        self._logs[key] = known + self._gain * (math.log(ratio) - known)
        if len(self._logs) > defaults.ADMISSION_CORRECTIONS:
            self._logs.popitem(last=False)


def fill_slots(free_at: list[float], work_s: float) -> float:
    """Return the time until a slot is free after ``work_s`` more seconds of work.

    Args:
        free_at: Times until each slot is free, ascending.
        work_s: Seconds of work ahead, each piece assigned to the first free slot.
    """
    level = free_at[0]
    for slots, following in enumerate(free_at[1:], start=1):
        room = (following - level) * slots
        if work_s <= room:
            return level + work_s / slots
        work_s -= room
        level = following
    return level + work_s / len(free_at)


def to_retry_ms(seconds: float) -> int:
    """Return a retry time in milliseconds within the permitted range."""
    milliseconds = math.ceil(seconds * 1000)
    return min(
        max(milliseconds, defaults.ADMISSION_RETRY_MIN_MS),
        defaults.ADMISSION_RETRY_MAX_MS,
    )
