"""Virtual time and a simulated backend server behind real admission decisions."""

import heapq
from collections.abc import Callable
from typing import NamedTuple

from ..decisions.admission import Admission
from ..decisions.queueing import QueuedCall
from ..exceptions import Overloaded, QueueFull, Refusal

__all__ = [
    "Arrival",
    "BackendTimes",
    "CallResult",
    "SimulatedBackend",
    "Timeline",
]

_FAR = 1e9


class Timeline:
    """Events in virtual seconds, run in order of time and entry."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = 0

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run ``action`` at a time."""
        self._counter += 1
        heapq.heappush(self._events, (when, self._counter, action))

    def run(self) -> None:
        """Run until no event is left."""
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()


class Arrival(NamedTuple):
    """A call of the workload; ``tokens`` is its true cost, ``cost`` the largest."""

    at: float
    number: int
    workspace: str
    priority: str
    tokens: int
    cost: int
    deadline_s: float
    prefix: int = -1
    prompt_tokens: int = 0


class CallResult(NamedTuple):
    """What became of a call: done, late, refused, full or shed.

    A call that is shed waited until it could no longer be served, and did not run.


    ``explored`` marks a call that admission refused and that ran nevertheless, to
    find out whether the refusal was right. ``estimate_s`` is the estimated wait.
    """

    arrival: Arrival
    outcome: str
    wait_s: float
    first_token_s: float
    estimate_s: float
    explored: bool
    retry_after_s: float = 0.0


class BackendTimes(NamedTuple):
    """Times of the simulated engine, in seconds; as those of the fake engine."""

    step_s: float = 0.012
    step_per_call_s: float = 0.0004
    prefill_per_token_s: float = 0.0002


class _Live:
    __slots__ = ("arrival", "cached", "done", "estimate", "explored", "started")

    def __init__(self, arrival: Arrival, explored: bool, cached: float) -> None:
        self.arrival = arrival
        self.explored = explored
        self.cached = cached
        self.estimate = 0.0
        self.started: float | None = None
        self.done = False


class SimulatedBackend:
    """A backend server and its agent's admission.

    The token time is fixed when a call starts, from the batch at that moment.

    Args:
        timeline: Virtual time.
        admission: The decisions under test.
        finish: Called with each result.
        slow: Factor on all times at a given moment.
        admit_all: Whether calls are queued whatever the estimate says.
        explore: Decides whether a refused call runs nevertheless.

    Attributes:
        retries_admitted: For each refusal with a retry time, whether the call
            would have been admitted at that time.
    """

    def __init__(
        self,
        timeline: Timeline,
        admission: Admission,
        finish: Callable[[CallResult], None],
        slow: Callable[[float], float] = lambda now: 1.0,
        admit_all: bool = False,
        explore: Callable[[], bool] = lambda: False,
        times: BackendTimes = BackendTimes(),  # noqa: B008
    ) -> None:
        self.timeline = timeline
        self.admission = admission
        self._finish = finish
        self._slow = slow
        self._admit_all = admit_all
        self._explore = explore
        self._times = times
        self._live: dict[str, _Live] = {}
        self.retries_admitted: list[bool] = []

    @property
    def load(self) -> int:
        """Running and queued calls."""
        return self.admission.running + len(self.admission.queue)

    def arrive(self, arrival: Arrival, cached: float = 0.0) -> None:
        """Offer a call now; ``cached`` is the cached share of its prompt."""
        live = _Live(arrival, False, cached)
        try:
            live.estimate = self._offer(arrival, self._admit_all)
        except Overloaded as refusal:
            self._plan_probe(arrival, (refusal.retry_after_ms or 0) / 1000)
            if not self._explore():
                self._report_refusal(arrival, "refused", refusal)
                return
            live.explored = True
            try:
                live.estimate = self._offer(arrival, True)
            except QueueFull as full:
                self._report_refusal(arrival, "full", full)
                return
        except QueueFull as refusal:
            self._report_refusal(arrival, "full", refusal)
            return
        request_id = str(arrival.number)
        self._live[request_id] = live
        deadline = self.timeline.now + arrival.deadline_s
        self.timeline.at(deadline, lambda: self._end_at_deadline(request_id))
        self._start_calls()

    def _offer(self, arrival: Arrival, always: bool) -> float:
        call = self._build_call(arrival, always)
        return self.admission.offer(call, "m", self.timeline.now).wait_s

    def _build_call(self, arrival: Arrival, always: bool) -> QueuedCall:
        now = self.timeline.now
        return QueuedCall(
            str(arrival.number),
            arrival.workspace,
            arrival.priority,
            arrival.cost,
            now,
            now + (_FAR if always else arrival.deadline_s),
        )

    def _plan_probe(self, arrival: Arrival, retry_s: float) -> None:
        def probe() -> None:
            now = self.timeline.now
            try:
                self.admission.check(self._build_call(arrival, False), "m", now)
            except Overloaded:
                self.retries_admitted.append(False)
            else:
                self.retries_admitted.append(True)

        self.timeline.at(self.timeline.now + retry_s, probe)

    def _report_refusal(self, arrival: Arrival, outcome: str, error: Refusal) -> None:
        retry_s = (error.retry_after_ms or 0) / 1000
        self._finish(CallResult(arrival, outcome, 0.0, 0.0, 0.0, False, retry_s))

    def _start_calls(self) -> None:
        now = self.timeline.now
        while (call := self.admission.take(now)) is not None:
            live = self._live[call.request_id]
            live.started = now
            request_id = call.request_id
            end = now + self._measure_prefill(live) + self._measure_service(live)
            self.timeline.at(end, lambda name=request_id: self._end(name))
        self._report_shed()

    def _report_shed(self) -> None:
        for call in self.admission.expire(self.timeline.now):
            self._report(self._live.pop(call.request_id), "shed")

    def _measure_prefill(self, live: _Live) -> float:
        uncached = live.arrival.prompt_tokens * (1 - live.cached)
        now = self.timeline.now
        return uncached * self._times.prefill_per_token_s * self._slow(now)

    def _measure_service(self, live: _Live) -> float:
        times = self._times
        step_s = times.step_s + times.step_per_call_s * self.admission.running
        return live.arrival.tokens * step_s * self._slow(self.timeline.now)

    def _end(self, request_id: str) -> None:
        live = self._live.pop(request_id, None)
        if live is None:
            return
        self.admission.finish(request_id, self.timeline.now, tokens=live.arrival.tokens)
        self._report(live, "done")
        self._start_calls()

    def _end_at_deadline(self, request_id: str) -> None:
        now = self.timeline.now
        live = self._live.pop(request_id, None)
        if live is None:
            return
        if live.started is None:
            self.admission.cancel(request_id)
        else:
            self.admission.finish(request_id, now, complete=False)
        self._report(live, "late")
        self._start_calls()

    def _report(self, live: _Live, outcome: str) -> None:
        arrived = live.arrival.at
        started = self.timeline.now if live.started is None else live.started
        wait_s = started - arrived
        first_s = wait_s + self._measure_prefill(live) + self._times.step_s
        self._finish(
            CallResult(
                live.arrival, outcome, wait_s, first_s, live.estimate, live.explored
            )
        )
