"""Requests to backend servers found while running: sending and trying again."""

import asyncio
import contextlib
import logging
from collections.abc import Iterator
from typing import ClassVar

from .. import defaults, events
from ..decisions.attempts import Attempts, choose_idle_timeout_s
from ..decisions.directory import Server
from ..dialects.fleet import ForwardedHead
from ..exceptions import (
    AnswerBroken,
    BackendError,
    BackendFailed,
    LimitReached,
    ModelUnavailable,
    NotRunThere,
    StreamInterrupted,
    TrialBusy,
)
from ..kernel import Kernel, Service
from .jobs import Job
from .permits import Permit
from .poisonguard import GuardedPrompt
from .silence import SilenceLimit
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

    async def run(self, job: Job, sink: Sink, attempts: Attempts) -> None:
        """Have a request answered.

        Raises:
            Refusal: Saying whether a backend server can have run the request.
        """
        self._retries.deposit(job.service.name)
        prompt = self._poison.open(job)
        if job.route.kind == "stream":
            await self._run_stream(job, sink, attempts, prompt)
        else:
            await self._run_plain(job, sink, attempts, prompt)

    # Whole answers.

    async def _run_plain(
        self, job: Job, sink: Sink, attempts: Attempts, prompt: GuardedPrompt
    ) -> None:
        while True:
            attempts.is_suspect = bool(prompt.check())
            server, permit = await self._chooser.admit(job, attempts)
            try:
                with contextlib.closing(permit):
                    async with prompt.attempt(server):
                        with self._in_flight(server, job):
                            answer, body = await self._attempt_plain(
                                server, job, attempts, permit
                            )
            except LimitReached:
                attempts.note_unsent()
                continue
            except TrialBusy as error:
                attempts.contended.add(error.server)
                continue
            except (NotRunThere, AnswerBroken) as error:
                self._note_failure(server, job, error, attempts)
                self._check_next(job, attempts, error)
                continue
            is_failure = answer.status >= defaults.SERVER_ERROR_STATUS
            self._chooser.note_result(server, not is_failure)
            if is_failure and self._may_repeat(job, attempts):
                attempts.note_run(server.name)
                continue
            sink.respond(
                answer.status,
                answer.headers,
                body,
                is_close_delimited=answer.is_close_delimited,
            )
            if not is_failure:
                await prompt.note_end(
                    server, answer.is_close_delimited, is_success=answer.is_success
                )
            return

    async def _attempt_plain(
        self, server: Server, job: Job, attempts: Attempts, permit: Permit
    ) -> tuple[UpstreamAnswer, bytes]:
        limit_s = choose_idle_timeout_s(job.route, attempts, job.deadline - _now())
        try:
            async with SilenceLimit(limit_s):
                answer = await self._open(
                    server, job, attempts, permit, job.call.last_event
                )
                return answer, await answer.read()
        except TimeoutError:
            raise _describe_silence(limit_s) from None

    async def _open(
        self,
        server: Server,
        job: Job,
        attempts: Attempts,
        permit: Permit,
        last_event: int,
    ) -> UpstreamAnswer:
        attempts.note_sent(server.name)
        forwarded = ForwardedHead(
            server.name,
            job.workspace.name if job.workspace else "",
            job.deadline - _now(),
            job.priority if job.service.engine else -1,
            last_event,
        )
        return await self._upstream.open(
            server,
            job.outgoing,
            forwarded,
            permit,
            may_repeat=lambda: self._take_budget(job),
        )

    # Streams.

    async def _run_stream(
        self, job: Job, sink: Sink, attempts: Attempts, prompt: GuardedPrompt
    ) -> None:
        relay = StreamRelay(sink, job.call.last_event)
        while True:
            attempts.is_suspect = bool(prompt.check())
            server, permit = await self._chooser.admit(job, attempts)
            try:
                with contextlib.closing(permit):
                    async with prompt.attempt(server):
                        with self._in_flight(server, job):
                            is_final = await self._attempt_stream(
                                server, job, relay, attempts, permit, prompt
                            )
                if is_final:
                    self._chooser.note_result(server, True)
                    return
                self._chooser.note_result(server, False)
                attempts.note_run(server.name)
            except LimitReached:
                attempts.note_unsent()
            except TrialBusy as error:
                attempts.contended.add(error.server)
            except (NotRunThere, AnswerBroken) as error:
                self._note_failure(server, job, error, attempts)
                if relay.has_started:
                    self._check_resume(job, relay, attempts, error)
                else:
                    self._check_next(job, attempts, error)

    async def _attempt_stream(
        self,
        server: Server,
        job: Job,
        relay: StreamRelay,
        attempts: Attempts,
        permit: Permit,
        prompt: GuardedPrompt,
    ) -> bool:
        """Relay one server's stream; return False if it is to be tried elsewhere."""
        limit_s = choose_idle_timeout_s(job.route, attempts, job.deadline - _now())
        last_event = relay.position.last_event
        try:
            async with SilenceLimit(limit_s):
                answer = await self._open(server, job, attempts, permit, last_event)
        except TimeoutError:
            raise _describe_silence(limit_s) from None
        dropped = relay.position.dropped
        try:
            relay.begin(answer)
            if not answer.may_be_events:
                is_final = await self._take_whole(answer, job, relay, attempts)
                if answer.status < defaults.SERVER_ERROR_STATUS:
                    await prompt.note_end(
                        server, answer.is_close_delimited, is_success=answer.is_success
                    )
                return is_final
            if relay.has_started:
                events.emit(
                    _logger,
                    events.STREAM_RESUMED,
                    request_id=job.call.request_id,
                    server=server.name,
                    after=last_event,
                )
            await self._forward_events(answer, server, job, relay, attempts, prompt)
            relay.finish(answer)
            await prompt.note_end(server, answer.is_close_delimited)
            return True
        finally:
            answer.close()
            self._note_dropped(server, job, relay.position.dropped - dropped)

    async def _take_whole(
        self,
        answer: UpstreamAnswer,
        job: Job,
        relay: StreamRelay,
        attempts: Attempts,
    ) -> bool:
        """Pass on an answer that is no stream; see :meth:`_attempt_stream`."""
        limit_s = choose_idle_timeout_s(job.route, attempts, job.deadline - _now())
        try:
            async with SilenceLimit(limit_s):
                body = await answer.read()
        except TimeoutError:
            raise _describe_silence(limit_s, began=True) from None
        if answer.status >= defaults.SERVER_ERROR_STATUS and self._may_repeat(
            job, attempts
        ):
            return False
        relay.respond(answer, body)
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
        answer: UpstreamAnswer,
        server: Server,
        job: Job,
        relay: StreamRelay,
        attempts: Attempts,
        prompt: GuardedPrompt,
    ) -> None:
        """Relay events; end an idempotent stream that makes no progress any more."""
        batches = answer.events()
        progress_at = _now()
        while True:
            limit_s = choose_idle_timeout_s(job.route, attempts, job.deadline - _now())
            try:
                async with SilenceLimit(progress_at + limit_s - _now()):
                    batch = await anext(batches, None)
            except TimeoutError:
                raise _describe_silence(limit_s, began=True) from None
            if batch is None:
                return
            server.heard_at = _now()
            if await relay.forward(answer, batch):
                progress_at = _now()
                prompt.note_progress()

    # What follows a failed attempt.

    def _note_failure(
        self, server: Server, job: Job, error: BackendError, attempts: Attempts
    ) -> None:
        kind = "not_run" if isinstance(error, NotRunThere) else "broken"
        self._metrics.count("failed_attempts_total", kind=kind)
        events.emit(
            _logger,
            events.ATTEMPT_FAILED,
            request_id=job.call.request_id,
            server=server.name,
            error=error,
            attempt=attempts.sent,
            report_age_ms=_age_ms(server.report_at),
            load=server.load,
        )
        if isinstance(error, NotRunThere):
            if error.is_absent and job.call.model:
                server.missing[job.call.model] = _now()
                self._demand.review()
            elif not error.is_full:
                self._chooser.note_result(server, False)
            attempts.note_rejected(server.name)
        else:
            self._chooser.note_result(server, False)
            attempts.note_run(server.name)

    def _check_next(self, job: Job, attempts: Attempts, error: BackendError) -> None:
        """Raise the final refusal unless the request may be tried again."""
        if attempts.may_have_run and not self._may_go_on(job, attempts, error):
            raise BackendFailed(
                f"a backend server failed: {error}", not_run=False
            ) from error
        if not attempts.may_have_run and not self._take_budget(job):
            raise ModelUnavailable(
                f"no backend server took the request: {error}",
                retry_after_ms=defaults.SERVER_BUSY_RETRY_MS,
            ) from error

    def _check_resume(
        self, job: Job, relay: StreamRelay, attempts: Attempts, error: BackendError
    ) -> None:
        if not relay.can_resume or not self._may_go_on(job, attempts, error):
            raise StreamInterrupted(f"the stream broke: {error}", not_run=False)

    def _may_go_on(self, job: Job, attempts: Attempts, error: BackendError) -> bool:
        """Return whether a request that may have run is sent to another server."""
        if isinstance(error, AnswerBroken) and error.may_be_poison:
            return False
        if not job.route.is_idempotent or attempts.runs >= job.route.attempts:
            return False
        return self._take_budget(job)

    def _may_repeat(self, job: Job, attempts: Attempts) -> bool:
        """Return whether a server's own failure is tried at another server."""
        if not job.route.is_idempotent or attempts.runs + 1 >= job.route.attempts:
            return False
        others = self._chooser.list_untried(job, attempts)
        return len(others) > 1 and self._take_budget(job)

    def _take_budget(self, job: Job) -> bool:
        return self._retries.withdraw(job.service.name)

    @contextlib.contextmanager
    def _in_flight(self, server: Server, job: Job) -> Iterator[None]:
        server.begin(job.call.model, job.call.adapter, _now())
        self._demand.note_begun(server, job.call.model, job.call.adapter)
        try:
            yield
        finally:
            server.end(job.call.model, job.call.adapter)
            self._demand.note_ended(server)


def _describe_silence(limit_s: float, *, began: bool = False) -> AnswerBroken:
    reason = f"silent for {limit_s:.2f} s"
    return AnswerBroken(reason, began=began, is_silent=True)


def _age_ms(at: float) -> int:
    age_s = _now() - at
    return int(age_s * defaults.MS_PER_S) if age_s < defaults.AGE_LIMIT_S else -1


def _now() -> float:
    return asyncio.get_running_loop().time()
