"""The weight store: limited starts, shared capacity, time limit of a load."""

from collections.abc import Callable

from .clock import Clock
from .scenario import StoreLimits

__all__ = ["WeightStore"]

# n transfers at once over a capacity of c run at (c / n) ** _CONTENTION_EXPONENT
# of the full speed each: beyond its capacity the store does less in total.
_CONTENTION_EXPONENT = 1.5
_REFUSAL_S = 0.5


class _Transfer:
    def __init__(self, seconds: float, done: Callable[[bool], None]) -> None:
        self.left_s = seconds
        self.done = done


class WeightStore:
    """Transfers checkpoints.

    Attributes:
        capacity: The share of the store's capacity that is left.
        most: The most transfers that ran at once.
        refused: Starts above the rate, which fail.
        timed_out: Transfers that took longer than the time limit.
    """

    def __init__(self, clock: Clock, limits: StoreLimits) -> None:
        self.capacity = 1.0
        self.most = 0
        self.refused = 0
        self.timed_out = 0
        self._clock = clock
        self._limits = limits
        self._tokens = float(limits.concurrent)
        self._refilled = 0.0
        self._at = 0.0
        self._active: list[_Transfer] = []
        self._generation = 0

    def start(self, seconds: float, done: Callable[[bool], None]) -> None:
        """Start a transfer that takes ``seconds`` at full speed."""
        if not self._take_token():
            self.refused += 1
            self._clock.call_in(_REFUSAL_S, done, False)
            return
        self._advance()
        transfer = _Transfer(seconds, done)
        self._active.append(transfer)
        self.most = max(self.most, len(self._active))
        self._clock.call_in(self._limits.timeout_s, self._time_out, transfer)
        self._schedule()

    def set_capacity(self, capacity: float) -> None:
        """Slow the store down or restore it."""
        self._advance()
        self.capacity = capacity
        self._schedule()

    def _take_token(self) -> bool:
        gained = (self._clock.now - self._refilled) * self._limits.loads_per_s
        self._refilled = self._clock.now
        self._tokens = min(float(self._limits.concurrent), self._tokens + gained)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _speed(self) -> float:
        capacity = max(1.0, self._limits.concurrent * self.capacity)
        over = capacity / max(1, len(self._active))
        return min(1.0, over**_CONTENTION_EXPONENT)

    def _advance(self) -> None:
        gained = (self._clock.now - self._at) * self._speed()
        self._at = self._clock.now
        for transfer in self._active:
            transfer.left_s -= gained

    def _schedule(self) -> None:
        self._generation += 1
        if self._active:
            left = max(0.0, min(transfer.left_s for transfer in self._active))
            delay = left / self._speed() + 1e-6
            self._clock.call_in(delay, self._finish, self._generation)

    def _finish(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._advance()
        finished = [t for t in self._active if t.left_s <= 1e-6]
        self._active = [t for t in self._active if t.left_s > 1e-6]
        self._schedule()
        for transfer in finished:
            transfer.done(True)

    def _time_out(self, transfer: _Transfer) -> None:
        if transfer in self._active:
            self._advance()
            self._active.remove(transfer)
            self.timed_out += 1
            self._schedule()
            transfer.done(False)
