"""A replica's engine: continuous batching with a queue that is fair in tokens."""

import heapq
import math
from collections.abc import Callable
from typing import NamedTuple

from ..decisions.inventory import ModelSpec
from .clock import Clock

__all__ = ["BatchServer", "Job"]

# A batch of b sequences generates (b / batch) ** _BATCH_EXPONENT of the full rate:
# a single sequence runs faster than its share of a full batch.
_BATCH_EXPONENT = 0.7


class Job(NamedTuple):
    """Work of one call; ``done`` is called once with answered, refused or failed."""

    number: int
    workspace: str
    tokens: int
    deadline: float
    done: Callable[[str], None]


class BatchServer:
    """Serves up to ``batch`` jobs at once at a rate they share equally.

    Jobs that do not fit wait in a start-time fair queue over workspaces; one that
    can no longer end in time is refused before it begins.
    """

    def __init__(self, clock: Clock, spec: ModelSpec, batch: int) -> None:
        self._clock = clock
        self._rate = spec.tokens_per_s
        self._batch = batch
        self._attained = 0.0
        self._at = clock.now
        self._active: list[tuple[float, int, Job]] = []
        self._waiting: list[tuple[float, int, Job]] = []
        self._tags: dict[str, float] = {}
        self._virtual = 0.0
        self._generation = 0
        self.generated = 0.0
        self.queued_tokens = 0

    @property
    def running(self) -> int:
        """Jobs in the batch."""
        return len(self._active)

    @property
    def queued(self) -> int:
        """Jobs that wait for the batch."""
        return len(self._waiting)

    @property
    def unfinished(self) -> int:
        """Jobs in the batch and in the queue."""
        return len(self._active) + len(self._waiting)

    def backlog_s(self) -> float:
        """Return the seconds until a new job would enter the batch."""
        if len(self._active) < self._batch:
            return 0.0
        left = sum(end - self._attained for end, _, _ in self._active)
        return (self.queued_tokens + left / 2) / self._rate

    def service_s(self, tokens: int) -> float:
        """Return how long a job takes in a full batch."""
        return tokens * self._batch / self._rate

    def add(self, job: Job) -> None:
        """Take a job into the batch or the queue."""
        self._advance()
        start = max(self._virtual, self._tags.get(job.workspace, 0.0))
        self._tags[job.workspace] = start + job.tokens
        heapq.heappush(self._waiting, (start, job.number, job))
        self.queued_tokens += job.tokens
        self._fill()

    def abort(self) -> None:
        """End all jobs with an error: the engine is gone."""
        self._generation += 1
        jobs = [job for _, _, job in self._active + self._waiting]
        self._active, self._waiting = [], []
        self.queued_tokens = 0
        for job in jobs:
            job.done("failed")

    def _speed(self) -> float:
        """Return the tokens per second of each active job."""
        count = len(self._active)
        return self._rate * (count / self._batch) ** _BATCH_EXPONENT / count

    def _advance(self) -> None:
        elapsed = self._clock.now - self._at
        self._at = self._clock.now
        if self._active:
            gained = elapsed * self._speed()
            self._attained += gained
            self.generated += gained * len(self._active)

    def _fill(self) -> None:
        while self._waiting and len(self._active) < self._batch:
            start, _, job = heapq.heappop(self._waiting)
            self._virtual = start
            self.queued_tokens -= job.tokens
            if self._clock.now + self.service_s(job.tokens) > job.deadline:
                self._clock.call_in(0.0, job.done, "refused")
                continue
            entry = (self._attained + job.tokens, job.number, job)
            heapq.heappush(self._active, entry)
        self._generation += 1
        if self._active:
            left = max(0.0, self._active[0][0] - self._attained)
            delay = left / self._speed()
            self._clock.call_in(delay, self._finish, self._generation)

    def _finish(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._advance()
        finished = []
        limit = self._attained + 1e-6
        while self._active and (
            self._active[0][0] <= limit
            or math.isclose(self._active[0][0], self._attained, rel_tol=1e-9)
        ):
            finished.append(heapq.heappop(self._active)[2])
        self._fill()
        for job in finished:
            job.done("answered")
