"""Entries of a virtual-time run: admission, cold queues, routing, demand."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from .. import defaults
from ..decisions.inventory import ModelKey, ModelSpec, ReplicaRecord
from ..messages.feed import Demand, NodeReport
from .clock import Clock
from .control import Control
from .engines import Job
from .hosts import EngineReplica, Host
from .measures import Measures
from .traffic import Call

__all__ = ["Attempt", "Entry"]

_REPORT_LAG_S = 0.03
# For how long an entry reports a model after its last call.
_DEMAND_KEPT_S = 60.0
# A refused request counts as demand until its caller may have come back.
_REFUSED_KEPT_S = 5.0
_MIN_RETRY_S = 1.0


class Attempt(NamedTuple):
    """A call at an entry; ``first_at`` is when its first attempt arrived."""

    call: Call
    first_at: float
    deadline: float
    retries: int


class _Model:
    """What one entry knows of one model."""

    def __init__(self) -> None:
        self.waiting: dict[int, Attempt] = {}
        self.refused: list[tuple[float, Attempt]] = []
        self.in_flight = 0
        self.last_call = 0.0

    def is_active(self, now: float) -> bool:
        """Return whether the entry reports the model."""
        if self.waiting or self.in_flight or self.refused:
            return True
        return now - self.last_call < _DEMAND_KEPT_S


class Entry:
    """One entry.

    Args:
        clock: Virtual time.
        number: Its number.
        control: The fleet leader.
        hosts: The engine hosts by name.
        models: The models in the order of the traffic's numbers.
        measures: Receives outcomes.
        random: Source of routing choices.
        load_adapter: Gives the delay until an adapter is usable on a replica.
        retry: Called with an attempt that the caller repeats and its delay.
    """

    def __init__(
        self,
        clock: Clock,
        number: int,
        *,
        control: Control,
        hosts: dict[str, Host],
        models: list[ModelSpec],
        measures: Measures,
        random: Random,
        load_adapter: Callable[[EngineReplica, str], float],
        retry: Callable[[Attempt, float], None],
    ) -> None:
        self.clock = clock
        self.alive = True
        self.name = f"entry-{number}"
        self._control = control
        self._hosts = hosts
        self._models = models
        self._measures = measures
        self._random = random
        self._load_adapter = load_adapter
        self._retry = retry
        self._known: dict[ModelKey, _Model] = {}
        self._sequence = 0
        self._incarnation = 1
        self._sent_empty = False

    def take(self, attempt: Attempt) -> None:
        """Admit, queue or refuse a call."""
        spec = self._models[attempt.call.model]
        known = self._known.setdefault(spec.key, _Model())
        known.last_call = self.clock.now
        replica = self._choose(spec.key)
        if replica is not None:
            self._dispatch(attempt, known, replica)
        else:
            self._queue_cold(attempt, spec, known)

    def flush(self, key: ModelKey) -> None:
        """Send what waits for a model that has just become ready."""
        known = self._known.get(key)
        if known is None or not self.alive:
            return
        waiting = sorted(known.waiting.values(), key=lambda a: a.deadline)
        known.waiting = {}
        for attempt in waiting:
            replica = self._choose(key)
            if replica is None:
                known.waiting[attempt.call.number] = attempt
            else:
                self._measures.note_cold_start(self.clock.now - attempt.first_at)
                self._dispatch(attempt, known, replica)

    def _choose(self, key: ModelKey) -> EngineReplica | None:
        found = []
        for record in self._control.ready_replicas(key):
            host = self._hosts[record.host]
            held = host.replicas.get(record.replica)
            if host.agent_alive and host.alive and not host.leaving and held:
                found.append(held)
        if not found:
            return None
        pair = self._random.sample(found, min(2, len(found)))
        return min(pair, key=lambda held: held.server.unfinished)

    def _dispatch(self, attempt: Attempt, known: _Model, held: EngineReplica) -> None:
        call = attempt.call
        left = attempt.deadline - self.clock.now
        service_s = held.server.service_s(call.tokens)
        if held.server.backlog_s() + service_s > left:
            self._refuse(attempt, known, "overloaded", held.server.backlog_s())
            return
        known.in_flight += 1
        delay = self._load_adapter(held, call.adapter) if call.adapter else 0.0
        self._measures.note_dispatch(call, self.clock.now - attempt.first_at)
        self.clock.call_in(delay, self._begin, attempt, known, held)

    def _begin(self, attempt: Attempt, known: _Model, held: EngineReplica) -> None:
        host = self._hosts[held.record.host]

        def finish(outcome: str) -> None:
            if not held.server.unfinished:
                held.idle_since = self.clock.now
            self._finish(attempt, known, outcome)

        if not (host.alive and host.agent_alive and held.state != "gone"):
            self._finish(attempt, known, "failed")
            return
        if not held.server.unfinished:
            host.count_idle(held)
        call = attempt.call
        held.server.add(
            Job(call.number, call.workspace, call.tokens, attempt.deadline, finish)
        )

    def _finish(self, attempt: Attempt, known: _Model, outcome: str) -> None:
        known.in_flight -= 1
        known.last_call = self.clock.now
        if outcome == "refused":
            self._refuse(attempt, known, "overloaded", _MIN_RETRY_S)
        elif outcome == "answered":
            self._measures.note_answer(attempt.call, self.clock.now, attempt.deadline)
        elif attempt.retries and self.alive:
            # Translations and plans are idempotent and may be repeated.
            self._retry(attempt, 0.1)
        else:
            self._measures.note_failure(attempt.call, self.clock.now)

    def _queue_cold(self, attempt: Attempt, spec: ModelSpec, known: _Model) -> None:
        """Queue a call on a cold model if the load's estimate allows it."""
        ready_s = self._control.estimate_ready_s(spec.key)
        tokens = sum(a.call.tokens for a in known.waiting.values())
        entries = self._measures.entries
        work_s = (tokens * entries + attempt.call.tokens * 8) / spec.tokens_per_s
        replicas = min(spec.max_replicas, 1 + int(work_s / max(ready_s, 5.0)))
        if ready_s + work_s / replicas > attempt.deadline - self.clock.now:
            self._refuse(attempt, known, "cold", ready_s)
            return
        urgent = not known.waiting
        known.waiting[attempt.call.number] = attempt
        self.clock.call_at(attempt.deadline, self._expire, attempt, known)
        if urgent:
            self.report()

    def _expire(self, attempt: Attempt, known: _Model) -> None:
        if known.waiting.pop(attempt.call.number, None) is not None:
            self._measures.note_refusal(attempt.call, self.clock.now, "deadline", True)

    def _refuse(
        self,
        attempt: Attempt,
        known: _Model,
        reason: str,
        retry_s: float,
        *,
        urgent: bool = True,
    ) -> None:
        cold = reason == "cold"
        final = not attempt.retries
        self._measures.note_refusal(attempt.call, self.clock.now, reason, final)
        if cold:
            urgent = urgent and not known.refused and not known.waiting
            until = self.clock.now + retry_s + _REFUSED_KEPT_S
            known.refused.append((until, attempt))
            if urgent:
                self.report()
        if not final:
            self._retry(attempt, max(_MIN_RETRY_S, retry_s))

    def crash(self, for_s: float) -> None:
        """Lose all waiting calls; callers with retries come back elsewhere."""
        self.alive = False
        self._incarnation += 1
        self._sequence = 0
        for known in self._known.values():
            for attempt in known.waiting.values():
                if attempt.retries:
                    self._retry(attempt, 0.5)
                else:
                    self._measures.note_failure(attempt.call, self.clock.now)
            known.waiting = {}
        self._known = {}
        self.clock.call_in(for_s, self._restart)

    def _restart(self) -> None:
        self.alive = True

    # Reports.

    def report(self) -> None:
        """Send this entry's demands."""
        if not self.alive:
            return
        self._refuse_hopeless()
        demands = [
            self._describe(key, known)
            for key, known in self._known.items()
            if known.is_active(self.clock.now)
        ]
        if not demands and self._sent_empty:
            return
        self._sent_empty = not demands
        self._sequence += 1
        report = NodeReport(
            self.name,
            "entry",
            self.name,
            "",
            self._incarnation,
            self._sequence,
            0,
            "",
            0,
            False,
            [],
            demands,
        )
        self.clock.call_in(_REPORT_LAG_S, self._control.take_report, report)

    def _refuse_hopeless(self) -> None:
        """Refuse waiting calls that the present estimate no longer serves in time."""
        now = self.clock.now
        for key, known in self._known.items():
            if not known.waiting:
                continue
            ready_s = self._control.estimate_ready_s(key)
            hopeless = [a for a in known.waiting.values() if now + ready_s > a.deadline]
            for attempt in hopeless:
                del known.waiting[attempt.call.number]
                self._refuse(attempt, known, "cold", ready_s, urgent=False)

    def _describe(self, key: ModelKey, known: _Model) -> Demand:
        now = self.clock.now
        known.refused = [(until, a) for until, a in known.refused if until > now]
        attempts = list(known.waiting.values())
        refused = [a for _, a in known.refused]
        deadlines = [a.deadline for a in attempts]
        deadlines += [now + a.call.deadline_s for a in refused]
        deadline = min(deadlines, default=now + defaults.DEFAULT_DEADLINE_MS / 1000)
        busy = known.in_flight or attempts
        return Demand(
            key.service,
            key.model,
            "",
            len(attempts) + len(refused),
            sum(a.call.tokens for a in attempts + refused),
            max(0, int((deadline - now) * 1000)),
            0 if busy else int((now - known.last_call) * 1000),
        )

    def on_record(self, record: ReplicaRecord) -> None:
        """Note a change of the log."""
        if record.phase == "loaded":
            self.flush(record.key)
