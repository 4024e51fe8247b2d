"""What follows a failed attempt at a backend server: another one, or a refusal."""

import asyncio
import logging

from .. import defaults, events
from ..decisions.attempts import Attempts
from ..decisions.directory import Server
from ..exceptions import (
    AnswerBroken,
    BackendError,
    BackendFailed,
    ModelUnavailable,
    NotRunThere,
    StreamInterrupted,
)
from ..kernel import Kernel
from .jobs import Job
from .streamrelay import StreamRelay

__all__ = ["FailedAttempts"]

_logger = logging.getLogger(__name__)


class FailedAttempts:
    """Notes failures of servers, and decides whether a request is tried again."""

    def __init__(self, kernel: Kernel) -> None:
        self._chooser = kernel.find("server-chooser")
        self._demand = kernel.find("demand")
        self._retries = kernel.find("retry-budgets")
        self._metrics = kernel.find("process").metrics

    def note_failure(
        self,
        server: Server,
        job: Job,
        error: BackendError,
        attempts: Attempts,
        *,
        is_left_unread: bool = False,
    ) -> None:
        """Count a failure of a server, and keep what it tells of the server.

        A server that breaks off an answer has not failed if it ``is_left_unread`` by
        the caller.
        """
        kind = "not_run" if isinstance(error, NotRunThere) else "broken"
        if kind == "broken" and is_left_unread:
            kind = "unread"
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
        elif isinstance(error, AnswerBroken) and error.is_silent:
            self._chooser.note_silent(server)
            attempts.note_left(server.name)
        else:
            if not is_left_unread:
                self._chooser.note_result(server, False)
            attempts.note_run(server.name)

    def check_next(self, job: Job, attempts: Attempts, error: BackendError) -> None:
        """Check that a request may be sent to another server.

        Raises:
            Refusal: If it may not.
        """
        if attempts.may_have_run and not self._may_go_on(job, attempts, error):
            raise BackendFailed(
                f"a backend server failed: {error}", not_run=False
            ) from error
        if not attempts.may_have_run and not self.take_budget(job):
            raise ModelUnavailable(
                f"no backend server took the request: {error}",
                retry_after_ms=defaults.SERVER_BUSY_RETRY_MS,
            ) from error

    def check_resume(
        self, job: Job, relay: StreamRelay, attempts: Attempts, error: BackendError
    ) -> None:
        """Check that a stream may go on at another server.

        Raises:
            StreamInterrupted: If it may not.
        """
        if not relay.can_resume or not self._may_go_on(job, attempts, error):
            raise StreamInterrupted(f"the stream broke: {error}", not_run=False)

    def _may_go_on(self, job: Job, attempts: Attempts, error: BackendError) -> bool:
        """Return whether a request that may have run is sent to another server."""
        if isinstance(error, AnswerBroken) and error.may_be_poison:
            return False
        may_ask_another = attempts.may_ask_another(job.route.attempts)
        if not job.route.is_idempotent or not may_ask_another:
            return False
        return self.take_budget(job)

    def may_repeat(self, server: Server, job: Job, attempts: Attempts) -> bool:
        """Return whether a server's own failure is tried at another server."""
        runs = attempts.runs + (not attempts.has_run_on(server.name))
        if not job.route.is_idempotent or runs >= job.route.attempts:
            return False
        untried = self._chooser.list_untried(job, attempts)
        others = [other for other in untried if other is not server]
        return bool(others) and self.take_budget(job)

    def take_budget(self, job: Job) -> bool:
        """Return whether a request may be sent once more, and count that."""
        return self._retries.withdraw(job.service.name)


def _age_ms(at: float) -> int:
    age_s = _now() - at
    return int(age_s * defaults.MS_PER_S) if age_s < defaults.AGE_LIMIT_S else -1


def _now() -> float:
    return asyncio.get_running_loop().time()
