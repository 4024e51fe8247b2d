"""Admission control: an agent runs, queues or refuses each call.

The agent counts its calls in flight. The wait is estimated from the time that
recent calls took per token of their maximum cost, and the estimate is corrected by
the waits that were observed afterwards.
"""

import math
from typing import NamedTuple

from .. import defaults
from ..exceptions import ModelUnavailable, Overloaded
from .estimates import (
    ServiceTime,
    TokenRate,
    UsageShare,
    WaitCorrection,
    fill_slots,
    to_retry_ms,
)
from .queueing import BATCH, CallQueue, QueuedCall

__all__ = [
    "Admission",
    "AdmissionLimits",
    "ColdLoad",
    "Estimate",
    "TokenRate",
    "admit_on_cold_model",
]


class AdmissionLimits(NamedTuple):
    """Concurrency limits of one backend server.

    ``slots`` limits the running calls, ``tokens`` the sum of their maximum costs. Up
    to ``reserve_share`` of the slots are reserved for interactive calls, depending on
    the recent demand of these.
    """

    slots: int = defaults.ADMISSION_SLOTS
    reserve_share: float = defaults.ADMISSION_RESERVE_SHARE
    tokens: int = defaults.QUEUE_LIMIT_TOKENS
    seconds_per_token: float = defaults.ADMISSION_SECONDS_PER_TOKEN
    gain: float = defaults.ADMISSION_GAIN


_LIMITS = AdmissionLimits()


class Estimate(NamedTuple):
    """Estimated queueing time and service time, in seconds."""

    wait_s: float
    service_s: float


class _Running(NamedTuple):
    call: QueuedCall
    model: str
    started_at: float
    expected_tokens: int
    expected_s: float


class _Waiting(NamedTuple):
    call: QueuedCall
    model: str
    estimate: Estimate
    raw_wait_s: float
    expected_tokens: int


class Admission:
    """Admission control of one backend server, with its queue and calls in flight.

    A call enters by :meth:`offer`. It is then either started by :meth:`take` and
    ended by :meth:`finish`, or removed from the queue by :meth:`cancel` or
    :meth:`expire`.
    """

    def __init__(self, queue: CallQueue, limits: AdmissionLimits = _LIMITS) -> None:
        self.queue = queue
        self.limits = limits
        self._running: dict[str, _Running] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._expired: list[QueuedCall] = []
        self._running_tokens = 0
        self._running_batch = 0
        # Interactive service time offered per second, which is the mean number of
        # interactive calls in service.
        self._interactive_load = TokenRate(defaults.ADMISSION_RESERVE_WINDOW_S)
        self._service: dict[tuple[str, str], ServiceTime] = {}
        self._any_service = ServiceTime(limits.seconds_per_token, limits.gain)
        self._usage = UsageShare(limits.gain)
        self._correction = WaitCorrection(limits.gain)

    @property
    def running(self) -> int:
        """The number of calls in flight at the backend server."""
        return len(self._running)

    def offer(self, call: QueuedCall, model: str, now: float) -> Estimate:
        """Queue a call that can be served before its deadline.

        Raises:
            Overloaded: If the call is expected to miss its deadline;
                ``retry_after_ms`` is the time until all calls queued now are expected
                to have started.
            QueueFull: If the queue is full.
        """
        raw_wait = self._estimate_raw_wait_s(call, now)
        expected = self._usage.expected(call.workspace, model, call.cost_tokens)
        estimate = self._estimate(call, model, raw_wait, expected)
        if call.priority != BATCH:
            self._interactive_load.add(estimate.service_s, now)
        latest = _check_deadline(call, estimate, now)
        start_by = latest if latest > now else call.deadline
        self.queue.push(call._replace(cost_tokens=expected, deadline=start_by))
        self._waiting[call.request_id] = _Waiting(
            call, model, estimate, raw_wait, expected
        )
        return estimate

    def check(self, call: QueuedCall, model: str, now: float) -> Estimate:
        """Return the estimate for a call that would be admitted, without queueing it.

        Raises:
            Overloaded: If the call would be refused.
        """
        estimate = self.estimate(call, model, now)
        _check_deadline(call, estimate, now)
        return estimate

    def estimate(self, call: QueuedCall, model: str, now: float) -> Estimate:
        """Return the estimated wait and service time of a call."""
        expected = self._usage.expected(call.workspace, model, call.cost_tokens)
        return self._estimate(
            call, model, self._estimate_raw_wait_s(call, now), expected
        )

    def _estimate(
        self, call: QueuedCall, model: str, raw_wait: float, expected: int
    ) -> Estimate:
        factor = 1.0
        if raw_wait > 0:
            factor = self._correction.factor(call.workspace, call.priority)
        service_s = self._estimate_service_s(model, call.priority, expected)
        return Estimate(raw_wait * factor, service_s)

    def take(self, now: float) -> QueuedCall | None:
        """Return the next call to run, or None if there is no slot or no call."""
        if not self._has_slot():
            return None
        self._collect_expired(now)
        queued = self.queue.pop(now, self._running_batch < self._count_batch_slots(now))
        if queued is None:
            return None
        waiting = self._waiting.pop(queued.request_id)
        call = waiting.call
        self._observe_wait(waiting, now)
        tokens = waiting.expected_tokens
        service_s = self._estimate_service_s(waiting.model, call.priority, tokens)
        self._running[call.request_id] = _Running(
            call, waiting.model, now, tokens, service_s
        )
        self._running_tokens += call.cost_tokens
        self._running_batch += call.priority == BATCH
        return call

    def finish(
        self, request_id: str, now: float, *, complete: bool = True, tokens: int = -1
    ) -> None:
        """Free the slot of a call.

        Args:
            request_id: Identifier of the call.
            now: The current time.
            complete: Whether the answer is complete; only complete calls update the
                service time estimate.
            tokens: Actual cost of the call; -1 if the backend server did not report
                it.
        """
        running = self._running.pop(request_id, None)
        if running is None:
            return
        call = running.call
        self._running_tokens -= call.cost_tokens
        self._running_batch -= call.priority == BATCH
        if tokens >= 0:
            self.queue.adjust_charge(call.workspace, running.expected_tokens - tokens)
        if complete:
            self._observe_service(running, now - running.started_at, tokens)

    def _observe_service(self, running: _Running, seconds: float, tokens: int) -> None:
        call = running.call
        if tokens >= 0:
            self._usage.observe(call.workspace, running.model, call.cost_tokens, tokens)
        work = tokens if tokens >= 0 else running.expected_tokens
        key = (running.model, call.priority)
        service = self._service.get(key)
        if service is None:
            service = ServiceTime(self._any_service.seconds(1.0), self.limits.gain)
            self._service[key] = service
        service.observe(seconds, work)
        self._any_service.observe(seconds, work)

    def _observe_wait(self, waiting: _Waiting, now: float) -> None:
        call = waiting.call
        self._correction.observe(
            call.workspace, call.priority, waiting.raw_wait_s, now - call.enqueued_at
        )

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting call; return False if it is running or unknown."""
        self._waiting.pop(request_id, None)
        return self.queue.cancel(request_id) is not None

    def expire(self, now: float) -> list[QueuedCall]:
        """Remove and return waiting calls that can no longer be served in time.

        Must be called after :meth:`take` and at the queue's ``next_deadline``. None
        of these calls has been started.
        """
        self._collect_expired(now)
        expired = self._expired
        self._expired = []
        return expired

    def _collect_expired(self, now: float) -> None:
        for queued in self.queue.expire(now):
            waiting = self._waiting.pop(queued.request_id)
            self._expired.append(waiting.call)
            # The full wait is unknown, but this lower bound already exceeds the
            # estimate and so corrects it upwards.
            if now - queued.enqueued_at > waiting.estimate.wait_s:
                self._observe_wait(waiting, now)

    def forget_model(self, model: str) -> None:
        """Discard the service time estimates of an unloaded model."""
        for key in [key for key in self._service if key[0] == model]:
            del self._service[key]

    def _has_slot(self) -> bool:
        if len(self._running) >= self.limits.slots:
            return False
        return not self._running or self._running_tokens < self.limits.tokens

    def _count_batch_slots(self, now: float) -> int:
        """Return how many slots batch calls may use.

        The mean number of interactive calls plus two standard deviations of a
        Poisson distribution is reserved, because engines with continuous batching do
        not preempt a long call.
        """
        mean = self._interactive_load.read(now)
        wanted = mean + 2 * math.sqrt(mean)
        slots = self.limits.slots
        reserved = min(round(wanted), int(slots * self.limits.reserve_share))
        return max(1, slots - reserved)

    def _estimate_service_s(self, model: str, priority: str, tokens: int) -> float:
        service = self._service.get((model, priority), self._any_service)
        return service.seconds(tokens)

    def _estimate_raw_wait_s(self, call: QueuedCall, now: float) -> float:
        """Return the uncorrected wait: the queued work ahead over the slots."""
        if not len(self.queue) and self._has_slot() and call.priority != BATCH:
            return 0.0
        ahead = self.queue.tokens_ahead(call.workspace, call.priority)
        running = list(self._running.values())
        slots = self.limits.slots if self._has_slot() else len(running)
        if call.priority == BATCH and self._running_batch >= self._count_batch_slots(
            now
        ):
            running = [item for item in running if item.call.priority == BATCH]
            slots = len(running)
        remaining = [_find_remaining(item, now) for item in running]
        free = [0.0] * max(0, slots - len(remaining))
        return fill_slots(sorted(free + remaining), self._any_service.seconds(ahead))


class ColdLoad(NamedTuple):
    """A model load in progress, as known to an entry.

    ``ready_in_s`` is the estimated time until the load completes, ``replicas`` the
    number of replicas being loaded, ``waiting_tokens`` the cost of the calls that
    already wait at this entry, ``entry_share`` this entry's share of all waiting
    calls.
    """

    ready_in_s: float
    replicas: int
    waiting_tokens: int
    slots: int = defaults.ADMISSION_SLOTS
    seconds_per_token: float = defaults.ADMISSION_SECONDS_PER_TOKEN
    entry_share: float = 1.0


def admit_on_cold_model(load: ColdLoad, cost_tokens: int, budget_s: float) -> None:
    """Check that a call that waits for a model load can meet its deadline.

    Args:
        load: The load in progress.
        cost_tokens: The call's maximum cost.
        budget_s: Time left until the call's deadline, in seconds.

    Raises:
        ModelUnavailable: If it cannot; ``retry_after_ms`` is the time until the
            model is expected to have served the calls that already wait.
    """
    lanes = max(load.replicas * load.slots * load.entry_share, 1e-9)
    service_s = cost_tokens * load.seconds_per_token
    queue_s = load.waiting_tokens * load.seconds_per_token / lanes
    left_s = budget_s - load.ready_in_s
    if queue_s + service_s <= left_s:
        return
    ready_s = load.ready_in_s + (queue_s if load.waiting_tokens else 0.0)
    raise ModelUnavailable(
        "the model cannot be loaded before the deadline",
        retry_after_ms=to_retry_ms(ready_s),
    )


def _find_remaining(item: _Running, now: float) -> float:
    """Return the expected remaining time of a running call.

    A call that has exceeded its estimate is expected to need a fixed share of the
    estimate longer.
    """
    left = item.started_at + item.expected_s - now
    return max(left, item.expected_s * defaults.ADMISSION_OVERDUE_SHARE)


def _check_deadline(call: QueuedCall, estimate: Estimate, now: float) -> float:
    """Return the latest time at which the call can start and meet its deadline.

    Raises:
        Overloaded: If the call is expected to start later than that. A call that
            does not have to wait is admitted even if its estimated service time
            exceeds the deadline.
    """
    if call.deadline <= now:
        raise Overloaded("the deadline has passed")
    latest = call.deadline - defaults.ADMISSION_LEAST_SERVICE * estimate.service_s
    cautious_wait_s = defaults.ADMISSION_WAIT_MARGIN * estimate.wait_s
    if estimate.wait_s > 0 and now + cautious_wait_s > latest:
        raise Overloaded(
            "the call cannot be served before its deadline",
            retry_after_ms=to_retry_ms(estimate.wait_s),
        )
    return latest
