"""Requests to backend servers found while running: sending and trying again."""

import asyncio
import contextlib
import logging
from collections.abc import Iterator
from typing import ClassVar

from .. import defaults, events
from ..decisions.attempts import Attempts, choose_idle_timeout_s
from ..decisions.directory import Server
from ..decisions.eventstream import StreamEvent
from ..decisions.lateness import describe_server
from ..dialects.fleet import ForwardedHead
from ..exceptions import (
    AnswerBroken,
    BackendError,
    JasminewharfError,
    LimitReached,
    NotRunThere,
    Overloaded,
    TrialBusy,
)
from ..kernel import Kernel, Service
from .answertimes import AnswerTimer, measure_load
from .failedattempts import FailedAttempts
from .jobs import Job
from .poisonguard import GuardedPrompt
from .standby import Attempt, Standby
from .streamrelay import Sink, StreamRelay
from .upstream import UpstreamAnswer

__all__ = ["Forwarder"]

_logger = logging.getLogger(__name__)


class Forwarder(Service):
    """Finds a backend server for a request and tries again where that is safe."""

    name: ClassVar[str] = "forwarder"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "view",
        "directory",
        "upstream",
        "rates",
        "retry-budgets",
        "demand",
        "server-chooser",
        "poison-guard",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._upstream = kernel.find("upstream")
        self._chooser = kernel.find("server-chooser")
        self._demand = kernel.find("demand")
        self._poison = kernel.find("poison-guard")
        self._retries = kernel.find("retry-budgets")
        self._metrics = kernel.find("process").metrics
        self._failures = FailedAttempts(kernel)

    async def run(self, job: Job, sink: Sink, attempts: Attempts) -> None:
        """Have a request answered.

        Raises:
            Refusal: Saying whether a backend server can have run the request.
        """
        self._retries.deposit(job.service.name)
        prompt = self._poison.open(job)
        relay = None
        if job.route.kind == "stream":
            relay = StreamRelay(sink, job.call.last_event)
        standby = self._build_standby(job, attempts, prompt, relay)
        try:
            attempt: Attempt | None = await self._admit(job, attempts, prompt)
            while not await self._answer(attempt, job, sink, relay, attempts, standby):
                attempt = await self._take(standby, attempts)
                if attempt is None:
                    attempt = await self._admit(job, attempts, prompt)
        finally:
            await standby.drop()

    async def _answer(
        self,
        attempt: Attempt,
        job: Job,
        sink: Sink,
        relay: StreamRelay | None,
        attempts: Attempts,
        standby: Standby,
    ) -> bool:
        """Answer by one attempt; return False if another server is to be tried."""
        if relay is None:
            return await self._answer_plain(attempt, job, sink, attempts, standby)
        return await self._answer_stream(attempt, job, relay, attempts, standby)

    async def _admit(
        self, job: Job, attempts: Attempts, prompt: GuardedPrompt
    ) -> Attempt:
        """Return an attempt at a server that takes the request.

        Raises:
            Refusal: If there is none in time.
        """
        while True:
            attempts.is_suspect = bool(prompt.check())
            server, permit = await self._chooser.admit(job, attempts)
            async with contextlib.AsyncExitStack() as held:
                held.enter_context(contextlib.closing(permit))
                if not attempts.may_have_run:
                    await job.charge.renew(job.find_token_patience(0.0))
                try:
                    guard = await held.enter_async_context(prompt.attempt(server))
                except TrialBusy as error:
                    attempts.contended.add(error.server)
                    continue
                held.enter_context(self._in_flight(server, job))
                return Attempt(server, permit, guard, held.pop_all())

    async def _open(
        self, attempt: Attempt, job: Job, attempts: Attempts, last_event: int
    ) -> UpstreamAnswer:
        server = attempt.server
        attempts.note_sent(server.name)
        attempts.timing.note_sent(describe_server(server, _now()))
        attempt.load = measure_load(server)
        forwarded = ForwardedHead(
            server.name,
            job.workspace.name if job.workspace else "",
            job.deadline - _now(),
            job.priority if job.service.engine else -1,
            last_event,
        )
        answer = attempt.answer = await self._upstream.open(
            server,
            job.outgoing,
            forwarded,
            attempt.permit,
            may_repeat=lambda: self._failures.take_budget(job),
        )
        attempt.held.callback(answer.close)
        return answer

    # Whole answers.

    async def _answer_plain(
        self,
        attempt: Attempt,
        job: Job,
        sink: Sink,
        attempts: Attempts,
        standby: Standby,
    ) -> bool:
        """Answer with what a server sends; return False if another one is to be tried.

        Raises:
            Refusal: If it failed and no other server may be tried.
        """
        server = attempt.server
        try:
            async with attempt.held:
                if attempt.body is None:
                    await self._read_plain(attempt, job, attempts, standby)
        except LimitReached:
            attempts.note_unsent(server.name)
            return False
        except (NotRunThere, AnswerBroken) as error:
            self._failures.note_failure(server, job, error, attempts)
            if not await standby.wait():
                self._failures.check_next(job, attempts, error)
            return False
        answer = attempt.answer
        is_failure = answer.status >= defaults.SERVER_ERROR_STATUS
        self._chooser.note_result(server, not is_failure)
        if is_failure and (
            await standby.wait() or self._failures.may_repeat(server, job, attempts)
        ):
            attempts.note_run(server.name)
            return False
        sink.respond(
            answer.status,
            answer.headers,
            attempt.body,
            is_close_delimited=answer.is_close_delimited,
        )
        await self._keep(attempt, job, attempts, standby)
        if not is_failure:
            await attempt.guard.note_end(
                answer.is_close_delimited, is_success=answer.is_success
            )
        return True

    async def _read_plain(
        self, attempt: Attempt, job: Job, attempts: Attempts, standby: Standby
    ) -> None:
        limit_s = _choose_limit_s(attempt, job, attempts)
        try:
            async with standby.watch(attempt, limit_s, limit_s):
                answer = await self._open(attempt, job, attempts, job.call.last_event)
                attempt.body = await answer.read()
                if answer.is_success:
                    _build_timer(attempt, job).end_whole()
        except TimeoutError:
            raise _describe_silence(limit_s) from None

    # Streams.

    async def _answer_stream(
        self,
        attempt: Attempt,
        job: Job,
        relay: StreamRelay,
        attempts: Attempts,
        standby: Standby,
    ) -> bool:
        """Relay one server's stream; return False if another one is to be tried.

        Raises:
            Refusal: If it failed and no other server may be tried.
        """
        server = attempt.server
        try:
            async with attempt.held:
                is_final = await self._relay_answer(
                    attempt, job, relay, attempts, standby
                )
            self._chooser.note_result(server, is_final)
            if not is_final:
                attempts.note_run(server.name)
            return is_final
        except LimitReached:
            attempts.note_unsent(server.name)
        except (NotRunThere, AnswerBroken) as error:
            self._failures.note_failure(
                server, job, error, attempts, is_left_unread=relay.is_left_unread
            )
            if await standby.wait():
                return False
            if relay.has_started:
                self._failures.check_resume(job, relay, attempts, error)
            else:
                self._failures.check_next(job, attempts, error)
        return False

    async def _relay_answer(
        self,
        attempt: Attempt,
        job: Job,
        relay: StreamRelay,
        attempts: Attempts,
        standby: Standby,
    ) -> bool:
        """Relay one server's answer; return False if it is to be tried elsewhere."""
        last_event = relay.position.last_event
        if attempt.answer is None:
            limit_s = _choose_limit_s(attempt, job, attempts)
            try:
                async with standby.watch(attempt, limit_s, limit_s):
                    await self._open(attempt, job, attempts, last_event)
            except TimeoutError:
                raise _describe_silence(limit_s) from None
        answer = attempt.answer
        dropped = relay.position.dropped
        try:
            relay.begin(answer)
            if not answer.may_be_events:
                is_final = await self._take_whole(
                    attempt, job, relay, attempts, standby
                )
                if answer.status < defaults.SERVER_ERROR_STATUS:
                    await attempt.guard.note_end(
                        answer.is_close_delimited, is_success=answer.is_success
                    )
                return is_final
            if relay.has_started:
                events.emit(
                    _logger,
                    events.STREAM_RESUMED,
                    request_id=job.call.request_id,
                    server=attempt.server.name,
                    after=last_event,
                )
            await self._forward_events(attempt, job, relay, attempts, standby)
            relay.finish(answer)
            await attempt.guard.note_end(answer.is_close_delimited)
            return True
        finally:
            self._note_dropped(attempt.server, job, relay.position.dropped - dropped)

    async def _take_whole(
        self,
        attempt: Attempt,
        job: Job,
        relay: StreamRelay,
        attempts: Attempts,
        standby: Standby,
    ) -> bool:
        """Pass on an answer that is no stream; see :meth:`_relay_answer`."""
        answer = attempt.answer
        if attempt.body is None:
            limit_s = _choose_limit_s(attempt, job, attempts)
            try:
                async with standby.watch(attempt, limit_s, limit_s):
                    attempt.body = await answer.read()
            except TimeoutError:
                raise _describe_silence(limit_s, began=True) from None
        is_failure = answer.status >= defaults.SERVER_ERROR_STATUS
        if is_failure and (
            await standby.wait()
            or self._failures.may_repeat(attempt.server, job, attempts)
        ):
            return False
        relay.respond(answer, attempt.body)
        return True

    def _note_dropped(self, server: Server, job: Job, count: int) -> None:
        if count:
            self._metrics.count("stream_events_dropped_total", count)
            events.emit(
                _logger,
                events.STREAM_EVENTS_DROPPED,
                request_id=job.call.request_id,
                server=server.name,
                count=count,
            )

    async def _forward_events(
        self,
        attempt: Attempt,
        job: Job,
        relay: StreamRelay,
        attempts: Attempts,
        standby: Standby,
    ) -> None:
        """Relay events; look for another server while none of them carries data."""
        answer = attempt.answer
        batches = attempt.batches or answer.events()
        batch: list[StreamEvent] | None = attempt.first
        progress_at = _now()
        is_first = not relay.has_started
        timer = _build_timer(attempt, job)
        while batch is not None:
            if await self._forward(attempt, relay, batch):
                progress_at = _now()
                attempts.timing.note_data(progress_at)
                timer.note_events(len(batch))
                if is_first:
                    is_first = False
                    self._note_first_event(job, progress_at)
                attempt.guard.note_progress()
                await self._keep(attempt, job, attempts, standby)
            limit_s = _choose_limit_s(attempt, job, attempts)
            try:
                async with standby.watch(
                    attempt, progress_at + limit_s - _now(), limit_s
                ):
                    batch = await anext(batches, None)
            except TimeoutError:
                raise _describe_silence(limit_s, began=True) from None
        timer.end_stream()

    async def _forward(
        self, attempt: Attempt, relay: StreamRelay, batch: list[StreamEvent]
    ) -> bool:
        """Send events to the caller; its server is not silent while that takes."""
        server = attempt.server
        server.heard_at = _now()
        server.left_unread += 1
        try:
            return await relay.forward(attempt.answer, batch)
        finally:
            server.left_unread -= 1
            server.heard_at = _now()

    def _note_first_event(self, job: Job, now: float) -> None:
        """Count a stream that has begun to answer its caller, and whether in time."""
        route = job.route
        self._metrics.count("first_events_total", route=route.name)
        if 0 < route.target_s < now - job.started:
            self._metrics.count("late_first_events_total", route=route.name)

    # Replacements of silent attempts.

    def _build_standby(
        self,
        job: Job,
        attempts: Attempts,
        prompt: GuardedPrompt,
        relay: StreamRelay | None = None,
    ) -> Standby:
        return Standby(
            lambda silent: self._may_replace(silent, job, attempts, relay),
            lambda: self._prepare(job, attempts, prompt, relay),
        )

    async def _take(self, standby: Standby, attempts: Attempts) -> Attempt | None:
        attempt = await standby.take()
        if attempt is not None:
            attempts.note_beside_taken(attempt.server.name)
        return attempt

    def _may_replace(
        self,
        attempt: Attempt,
        job: Job,
        attempts: Attempts,
        relay: StreamRelay | None = None,
    ) -> bool:
        """Return whether another server is asked while one is silent."""
        if not job.route.is_idempotent or (relay is not None and not relay.can_resume):
            return False
        attempts.note_run(attempt.server.name)
        if not attempts.may_ask_another(job.route.attempts):
            return False
        self._metrics.count("silent_attempts_total")
        events.emit(
            _logger,
            events.ATTEMPT_SILENT,
            request_id=job.call.request_id,
            server=attempt.server.name,
            attempt=attempts.sent,
            after=relay.position.last_event if relay is not None else -1,
        )
        return True

    async def _prepare(
        self,
        job: Job,
        attempts: Attempts,
        prompt: GuardedPrompt,
        relay: StreamRelay | None = None,
    ) -> Attempt:
        """Return an attempt at another server that has begun to answer.

        While that one is silent itself, a further one is prepared in the same way.

        Raises:
            BackendError: If none has.
            Refusal: If none takes the request.
        """
        standby = self._build_standby(job, attempts, prompt, relay)
        try:
            while True:
                attempts.is_second = True
                try:
                    attempt = await self._admit(job, attempts, prompt)
                finally:
                    attempts.is_second = False
                error = await self._try_beside(attempt, job, attempts, standby, relay)
                if error is None:
                    return attempt
                further = await standby.take()
                if further is not None:
                    return further
                is_poison = isinstance(error, AnswerBroken) and error.may_be_poison
                may_go_on = attempts.may_ask_another(job.route.attempts)
                if is_poison or not (may_go_on or isinstance(error, LimitReached)):
                    raise error
        finally:
            await standby.drop()

    async def _try_beside(
        self,
        attempt: Attempt,
        job: Job,
        attempts: Attempts,
        standby: Standby,
        relay: StreamRelay | None,
    ) -> JasminewharfError | None:
        """Have an attempt begin to answer beside one that is silent.

        Returns:
            Why it cannot take the other one's place; None if it can.

        Raises:
            Overloaded: If no retry is left.
        """
        server = attempt.server
        limit_s = _choose_limit_s(attempt, job, attempts)
        try:
            async with attempt.held:
                if not self._failures.take_budget(job):
                    raise Overloaded("no retry is left")
                attempts.note_beside(server.name)
                if attempts.may_ask_another(job.route.attempts, server.name):
                    self._chooser.keep_holders(job, attempts, server)
                try:
                    async with standby.watch(attempt, limit_s, limit_s):
                        await self._read_first(attempt, job, attempts, relay)
                except TimeoutError:
                    raise _describe_silence(limit_s) from None
                if attempt.answer.is_success:
                    await standby.drop()
                    attempt.held = attempt.held.pop_all()
                    return None
            attempts.note_beside_ended(server.name)
            status = attempt.answer.status
            self._chooser.note_result(server, status < defaults.SERVER_ERROR_STATUS)
            attempts.note_run(server.name)
            return BackendError(f"status {status}")
        except LimitReached as error:
            attempts.note_beside_ended(server.name)
            attempts.note_unsent(server.name)
            return error
        except (NotRunThere, AnswerBroken) as error:
            attempts.note_beside_ended(server.name)
            self._failures.note_failure(server, job, error, attempts)
            return error

    async def _read_first(
        self,
        attempt: Attempt,
        job: Job,
        attempts: Attempts,
        relay: StreamRelay | None,
    ) -> None:
        """Read as much of an answer as shows that it can take another one's place.

        Raises:
            NotRunThere: If the server has not run the request.
            AnswerBroken: If the answer fails or is not the rest of the stream.
        """
        last_event = job.call.last_event
        if relay is not None:
            last_event = relay.position.last_event
        answer = await self._open(attempt, job, attempts, last_event)
        if relay is None or not answer.may_be_events:
            if relay is not None:
                relay.check(answer)
            attempt.body = await answer.read()
            return
        attempt.batches = answer.events()
        attempt.first = await relay.read_first(answer, attempt.batches)

    async def _keep(
        self, attempt: Attempt, job: Job, attempts: Attempts, standby: Standby
    ) -> None:
        """Go on with an attempt that is not silent any more."""
        if await standby.drop():
            attempts.note_beside_left()
            events.emit(
                _logger,
                events.ATTEMPT_WENT_ON,
                request_id=job.call.request_id,
                server=attempt.server.name,
            )

    @contextlib.contextmanager
    def _in_flight(self, server: Server, job: Job) -> Iterator[None]:
        tokens = job.call.prompt_tokens + job.call.output_tokens
        server.begin(job.call.model, job.call.adapter, _now(), tokens)
        self._demand.note_begun(server, job.call.model, job.call.adapter)
        try:
            yield
        finally:
            server.end(job.call.model, job.call.adapter, tokens)
            self._demand.note_ended(server)


def _build_timer(attempt: Attempt, job: Job) -> AnswerTimer:
    # What took the place of another attempt had begun to answer before.
    sent_at = attempt.permit.sent_at if attempt.batches is None else None
    return AnswerTimer(attempt.server, job.route, attempt.load, sent_at)


def _choose_limit_s(attempt: Attempt, job: Job, attempts: Attempts) -> float:
    """Return how long an attempt is silent before another server is asked."""
    left_s = job.deadline - _now()
    server = attempt.server
    factor = server.pace.usual_factor(_now())
    return choose_idle_timeout_s(job.route, attempts, left_s, server.name, factor)


def _describe_silence(limit_s: float, *, began: bool = False) -> AnswerBroken:
    reason = f"silent for {limit_s:.2f} s, and another server has answered"
    return AnswerBroken(reason, began=began, is_silent=True)


def _now() -> float:
    return asyncio.get_running_loop().time()
