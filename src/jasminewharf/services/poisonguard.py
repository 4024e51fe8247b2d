"""Keeps poison requests of an entry's callers from the backend servers."""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import AsyncIterator
from typing import ClassVar, NamedTuple

from .. import defaults, events
from ..decisions.backpressure import ServerIncarnation
from ..decisions.directory import Server
from ..decisions.poison import (
    REFUSED,
    SUSPECT,
    AnsweredParts,
    Judgement,
    PartEnd,
    PartEvidence,
    PartTable,
    TrialBook,
    hash_parts,
    hash_request,
    list_unanswered,
)
from ..exceptions import (
    AnswerBroken,
    ConsensusError,
    LinkError,
    PeerUnavailable,
    PromptRefused,
)
from ..kernel import Kernel, Service
from ..messages.poison import AskTrial, PartReports, TrialEnded
from ..settings import split_address
from .control import FLEET_GROUP
from .jobs import Job
from .partreports import build_part_report, merge_reports

__all__ = ["GuardedPrompt", "PoisonGuard", "Trial"]

_logger = logging.getLogger(__name__)


class Trial(NamedTuple):
    """The only request in the fleet with these parts; ``number`` 0 is none."""

    number: int
    parts: tuple[int, ...]


class GuardedPrompt:
    """The prompt of one request, and its part in what is found out about its parts."""

    def __init__(self, guard: "PoisonGuard", job: Job) -> None:
        self._guard = guard
        self._job = job
        self._trial = Trial(0, ())
        self._begun_at: float | None = None
        self._whole: int | None = None
        self.parts = hash_parts(job.service.name, job.call.shared_parts)

    @property
    def whole(self) -> int:
        """The identity of the whole request; the body is read when first asked for."""
        if self._whole is None:
            self._whole = _hash_job(self._job)
        return self._whole

    def check(self) -> list[int]:
        """Return the parts under suspicion.

        Raises:
            PromptRefused: If a part crashes servers; the request has not been sent.
        """
        return self._guard.find_suspects(self._job, self.parts)

    @contextlib.asynccontextmanager
    async def attempt(self, server: Server) -> AsyncIterator[None]:
        """Guard one send to a server: wait for a trial, and record how it ends.

        Raises:
            PromptRefused: If it may not be sent now.
        """
        self._begun_at = None
        self._trial = await self._guard.take_trial(self._job, self)
        try:
            yield
        except AnswerBroken as error:
            if not error.is_silent:
                has_ended = await self._guard.note_broken(
                    self._job, server, self, self._trial
                )
                error.may_be_poison = has_ended and self._may_be_cause()
            raise
        finally:
            self._end_trial()

    def _may_be_cause(self) -> bool:
        """Whether a part may have ended the server at which it was begun."""
        begun_at = self._begun_at
        if begun_at is not None and _now() - begun_at >= defaults.POISON_PROGRESS_S:
            return False
        return bool(list_unanswered(self.parts, self._guard.answered))

    def note_progress(self) -> None:
        """Note that a part of the answer has come; its trial ends after a while."""
        if self._begun_at is None:
            self._begun_at = _now()
        elif (
            self._trial.number and _now() - self._begun_at >= defaults.POISON_PROGRESS_S
        ):
            self._end_trial()

    async def note_end(self, server: Server, is_close_delimited: bool) -> None:
        """Note the end of an answer: one that is whole clears all parts.

        Where only the close tells the end, the server may have ended as well.
        """
        has_ended = False
        if is_close_delimited and self._guard.is_open(self.parts):
            has_ended = await self._guard.note_broken(
                self._job, server, self, self._trial
            )
        if not has_ended:
            self._guard.note_answered(self._job, self.parts)

    def _end_trial(self) -> None:
        if self._trial.number:
            self._guard.end_trial(self._trial.number)
            self._trial = Trial(0, ())


class PoisonGuard(Service):
    """Finds the parts of prompts that crash servers, together with the other entries.

    Attributes:
        answered: The parts whose requests this entry has seen answered whole.
    """

    name: ClassVar[str] = "poison-guard"
    requires: ClassVar[tuple[str, ...]] = ("process", "controllers", "feed")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._table = PartTable()
        self.answered = AnsweredParts()
        # Trials that this entry gives out itself while no leader answers.
        self._own_trials = TrialBook()
        self._numbers = itertools.count(1)
        self._probes: dict[ServerIncarnation, asyncio.Future[bool]] = {}
        self._standings: dict[int, str] = {}
        self._metrics = kernel.find("process").metrics

    async def start(self) -> None:
        """Take what control hosts tell."""
        self.kernel.find("controllers").handle(PartReports, self._take_reports)
        self.spawn(self._repeat_forever(), essential=True)
        self._metrics.watch("suspected_parts", lambda: len(self._table))

    def open(self, job: Job) -> GuardedPrompt:
        """Return the guard of one request."""
        return GuardedPrompt(self, job)

    # Requests.

    def find_suspects(self, job: Job, parts: tuple[int, ...]) -> list[int]:
        """Return the parts under suspicion; see :meth:`GuardedPrompt.check`."""
        if not len(self._table):
            return []
        now = _now()
        suspects = []
        for part in parts:
            judgement = self._table.judge(part, now)
            if judgement.standing == REFUSED:
                raise self._refuse(job, part, judgement)
            if judgement.standing == SUSPECT:
                suspects.append(part)
        return suspects

    def _refuse(self, job: Job, part: int, judgement: Judgement) -> PromptRefused:
        retry_s = judgement.left_s or defaults.POISON_RETRY_S
        self._metrics.count("prompts_refused_total", standing=judgement.standing)
        events.emit(
            _logger,
            events.PROMPT_REFUSED,
            request_id=job.call.request_id,
            part=f"{part:x}",
            standing=judgement.standing,
            ends=judgement.ends,
            retry_ms=int(retry_s * defaults.MS_PER_S),
        )
        return PromptRefused(
            "a part of the prompt is kept from the backend servers",
            retry_after_ms=int(retry_s * defaults.MS_PER_S),
        )

    async def take_trial(self, job: Job, prompt: GuardedPrompt) -> Trial:
        """Return the trial that a request needs, if it needs one.

        Raises:
            PromptRefused: If a part is refused, or on trial for too long.
        """
        give_up_at = min(_now() + defaults.POISON_TRIAL_WAIT_S, job.sent_by)
        number = next(self._numbers)
        while suspects := prompt.check():
            if await self._ask_trial(number, suspects):
                return Trial(number, tuple(suspects))
            if _now() >= give_up_at:
                judgement = self._table.judge(suspects[0], _now())
                raise self._refuse(job, suspects[0], judgement)
            await asyncio.sleep(defaults.POISON_TRIAL_POLL_S)
        return Trial(0, ())

    async def _ask_trial(self, number: int, parts: list[int]) -> bool:
        controllers = self.kernel.find("controllers")
        try:
            answer = await controllers.request(
                FLEET_GROUP, AskTrial(number, parts), defaults.POISON_ASK_TIMEOUT_S
            )
        except (ConsensusError, LinkError):
            # Without a leader each entry tries what has ended one server only.
            now = _now()
            if any(self._table.judge(part, now).ends > 1 for part in parts):
                return False
            return self._own_trials.take(number, parts, now)
        return answer.is_granted

    def end_trial(self, number: int) -> None:
        """Let the next request with the parts of a trial go."""
        self._own_trials.end(number)
        self._send(TrialEnded(number))

    # What is found out.

    def is_open(self, parts: tuple[int, ...]) -> bool:
        """Return whether a part was never answered, or is accused."""
        is_accused = any(part in self._table for part in parts)
        return is_accused or bool(list_unanswered(parts, self.answered))

    def note_answered(self, job: Job, parts: tuple[int, ...]) -> None:
        """Record a whole answer and tell the other nodes if that clears a part."""
        now = _now()
        self.answered.note(parts, now)
        if known := [part for part in parts if part in self._table]:
            self._merge([PartEvidence(part, now, ()) for part in known], job)

    async def note_broken(
        self, job: Job, server: Server, prompt: GuardedPrompt, trial: Trial
    ) -> bool:
        """Record an answer that broke off; return whether its server has ended."""
        now = _now()
        incarnation = ServerIncarnation(server.name, server.listed.born_ms)
        if not await self._has_ended(incarnation, server.listed.address):
            return False
        parts = prompt.parts
        unanswered = list_unanswered(parts, self.answered)
        self._metrics.count("answers_ended_by_servers_total")
        events.emit(
            _logger,
            events.SERVER_ENDED,
            request_id=job.call.request_id,
            server=server.name,
            request=f"{prompt.whole:x}",
            parts=[f"{part:x}" for part in parts],
            unanswered=[f"{part:x}" for part in unanswered],
        )
        evidence = []
        for part in parts:
            end = PartEnd(incarnation, now, part in trial.parts)
            evidence.append(PartEvidence(part, self.answered.find(part), (end,)))
        self._merge(evidence, job)
        return True

    async def _has_ended(self, server: ServerIncarnation, address: str) -> bool:
        """Return whether a server listens no more; asked once for all who wonder.

        That it listens is true for this moment only.
        """
        probe = self._probes.get(server)
        if probe is None:
            probe = asyncio.ensure_future(_is_refused(address))
            self._probes[server] = probe
            probe.add_done_callback(lambda done: self._keep_probe(server, done))
        return await asyncio.shield(probe)

    def _keep_probe(
        self, server: ServerIncarnation, probe: "asyncio.Future[bool]"
    ) -> None:
        has_ended = not probe.cancelled() and probe.result()
        kept_s = defaults.SERVER_ENDED_KEPT_S if has_ended else 0.0
        asyncio.get_running_loop().call_later(kept_s, self._probes.pop, server, None)

    def _merge(self, evidence: list[PartEvidence], job: Job) -> None:
        """Add this entry's own evidence to the table, and tell the control hosts."""
        news = [item.part for item in evidence if self._table.merge(item)]
        self._log_standings(news, job.call.request_id)
        self._tell(news)

    def _tell(self, parts: list[int]) -> None:
        now = _now()
        known = [self._table.find(part) for part in parts]
        reports = [build_part_report(item, now) for item in known if item is not None]
        if reports:
            self._send(PartReports(reports))

    def _send(self, message: PartReports | TrialEnded) -> None:
        """Send to the leader, or to the control host that feeds this entry."""
        controllers = self.kernel.find("controllers")
        link = controllers.find_leader(FLEET_GROUP) or controllers.links.get(
            self.kernel.find("feed").source
        )
        try:
            if link is not None:
                link.send(message)
        except PeerUnavailable:
            # Evidence is repeated, and a trial ends by itself.
            self._metrics.count("part_reports_unsent_total")

    def _take_reports(self, host: str, message: PartReports) -> None:
        news = merge_reports(self._table, message.reports, _now())
        self._log_standings(news)
        # What this entry has seen answered may be news to the others.
        own = []
        for part in news:
            evidence = PartEvidence(part, self.answered.find(part), ())
            if self._table.merge(evidence):
                own.append(part)
        self._log_standings(own)
        self._tell(own)

    def _log_standings(self, parts: list[int], request_id: str = "") -> None:
        for part in parts:
            judgement = self._table.judge(part, _now())
            before = self._standings.get(part)
            if judgement.standing == before:
                continue
            if judgement.standing == SUSPECT:
                event = events.PART_SUSPECTED
            elif judgement.standing == REFUSED:
                event = events.PART_REFUSED
            elif before is None:
                continue
            else:
                event = events.PART_CLEARED
            self._standings[part] = judgement.standing
            events.emit(
                _logger,
                event,
                request_id=request_id,
                part=f"{part:x}",
                ends=judgement.ends,
                left_ms=int(judgement.left_s * defaults.MS_PER_S),
            )

    async def _repeat_forever(self) -> None:
        """Repeat what is known: a control host that starts knows nothing."""
        while True:
            await asyncio.sleep(defaults.POISON_REPEAT_S)
            self._table.forget_old(_now())
            known = set(self._table.parts())
            self._standings = {p: s for p, s in self._standings.items() if p in known}
            self._tell(sorted(known))


def _hash_job(job: Job) -> int:
    return hash_request(
        job.workspace.name if job.workspace else "",
        job.call.host,
        job.outgoing.method,
        job.outgoing.target,
        job.outgoing.body,
    )


async def _is_refused(address: str) -> bool:
    """Return whether nothing listens at an address."""
    host, port = split_address(address)
    try:
        async with asyncio.timeout(defaults.SERVER_PROBE_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


def _now() -> float:
    return asyncio.get_running_loop().time()
