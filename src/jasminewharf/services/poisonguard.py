"""Keeps poison requests of an entry's callers from the backend servers."""

import asyncio
import contextlib
import itertools
import logging
import math
from collections.abc import AsyncIterator
from typing import ClassVar, NamedTuple

from .. import defaults, events
from ..decisions.backpressure import ServerIncarnation
from ..decisions.directory import Server
from ..decisions.poison import (
    CLEAR,
    REFUSED,
    SUSPECT,
    AnsweredParts,
    Judgement,
    PartEnd,
    PartEvidence,
    PartTable,
    TrialBook,
    count_trial_slots,
    find_late_identity,
    hash_parts,
    hash_request,
    hash_trial_slot,
    is_whole,
    list_unanswered,
)
from ..exceptions import (
    AnswerBroken,
    ConsensusError,
    LinkError,
    PeerUnavailable,
    PromptRefused,
    TrialBusy,
)
from ..kernel import Kernel, Service
from ..messages.poison import AskTrial, PartReports, TrialEnded
from ..settings import split_address
from .control import FLEET_GROUP
from .jobs import Job
from .partreports import build_part_report, merge_reports

__all__ = ["GuardedAttempt", "GuardedPrompt", "PoisonGuard", "Trial"]

_logger = logging.getLogger(__name__)

# By whether a whole request is meant, and its standing.
_EVENTS = {
    (False, SUSPECT): events.PART_SUSPECTED,
    (False, REFUSED): events.PART_REFUSED,
    (False, CLEAR): events.PART_CLEARED,
    (True, SUSPECT): events.REQUEST_SUSPECTED,
    (True, REFUSED): events.POISON_REQUEST_FOUND,
    (True, CLEAR): events.REQUEST_CLEARED,
}


class Trial(NamedTuple):
    """The only request in the fleet of these identities; ``number`` 0 is none."""

    number: int
    parts: tuple[int, ...]


class GuardedPrompt:
    """One request, and its part in what is found out about it and its prompt."""

    def __init__(self, guard: "PoisonGuard", job: Job) -> None:
        self._guard = guard
        self._job = job
        self._whole: int | None = None
        # When a request that waits for a trial is refused.
        self._give_up_at: float | None = None
        self.parts = hash_parts(job.service.name, job.call.shared_parts)

    @property
    def whole(self) -> int:
        """The identity of the whole request; the body is read when first asked for."""
        if self._whole is None:
            self._whole = _hash_job(self._job)
        return self._whole

    @property
    def identities(self) -> tuple[int, ...]:
        """Both identities of the whole request."""
        return self.whole, find_late_identity(self.whole)

    def check(self) -> list[int]:
        """Return the identities under suspicion: the request's own and its parts'.

        Raises:
            PromptRefused: If one crashes servers; the request has not been sent.
        """
        return self._guard.find_suspects(self._job, self)

    @contextlib.asynccontextmanager
    async def attempt(self, server: Server) -> AsyncIterator["GuardedAttempt"]:
        """Guard one send to a server: take a trial, and record how it ends.

        Raises:
            PromptRefused: If it may not be sent now.
            TrialBusy: If another server may be tried at once.
        """
        trial = await self._guard.take_trial(self._job, self, server)
        attempt = GuardedAttempt(self._guard, self._job, self, server, trial)
        has_ended = False
        try:
            yield attempt
        except asyncio.CancelledError:
            # The server may end under it yet.
            has_ended = True
            self._guard.watch_left(self._job, attempt)
            raise
        except AnswerBroken as error:
            # It may have run, and waits as long as its caller does.
            wait_until = _now() + defaults.POISON_TRIAL_WAIT_S
            self._give_up_at = max(wait_until, self._job.sent_by)
            if not error.is_silent:
                has_ended = await self._guard.note_broken(self._job, attempt)
                error.may_be_poison = has_ended and attempt.may_be_cause()
            raise
        finally:
            # The next trial is not to begin before the others know of the end.
            attempt.end_trial(defaults.POISON_NEWS_S if has_ended else 0.0)

    @property
    def give_up_at(self) -> float:
        """When the request, which waits for a trial, is refused."""
        if self._give_up_at is None:
            wait_until = _now() + defaults.POISON_TRIAL_WAIT_S
            self._give_up_at = min(wait_until, self._job.sent_by)
        return self._give_up_at

    def wait_for_server(self) -> None:
        """Wait as long as the caller does, as a trial would leave no server."""
        self._give_up_at = max(self.give_up_at, self._job.sent_by)


class GuardedAttempt:
    """One send of a request to a server, and the trial that it may need there.

    Attributes:
        sent_at: When it was sent, in seconds of the event loop's clock.
        prompt: The request.
        server: The server that it was sent to.
        trial: The trial that it holds.
    """

    def __init__(
        self,
        guard: "PoisonGuard",
        job: Job,
        prompt: GuardedPrompt,
        server: Server,
        trial: Trial,
    ) -> None:
        self._guard = guard
        self._job = job
        self._begun_at: float | None = None
        self.sent_at = _now()
        self.prompt = prompt
        self.server = server
        self.trial = trial

    @property
    def accused(self) -> int:
        """The identity that an end of the server accuses now."""
        return self.prompt.identities[self.has_progressed]

    @property
    def has_progressed(self) -> bool:
        """Whether the answer has gone on for longer than a crash at the beginning."""
        begun_at = self._begun_at
        return begun_at is not None and _now() - begun_at >= defaults.POISON_PROGRESS_S

    def may_be_cause(self) -> bool:
        """Whether a part may have ended the server at which it was begun."""
        if self.has_progressed:
            return False
        return bool(list_unanswered(self.prompt.parts, self._guard.answered))

    def note_progress(self) -> None:
        """Note that a part of the answer has come; its trial ends after a while."""
        if self._begun_at is None:
            self._begun_at = _now()
        elif _now() - self._begun_at >= defaults.POISON_TRIAL_PROGRESS_S:
            self.end_trial()

    async def note_end(
        self, is_close_delimited: bool, *, is_success: bool = True
    ) -> None:
        """Note the end of an answer: one that is whole clears the request.

        A success clears its parts too. Where only the close tells the end, the server
        may have ended as well.
        """
        has_ended = False
        if is_close_delimited:
            has_ended = await self._guard.note_broken(self._job, self)
        if not has_ended:
            self._guard.note_answered(self._job, self, is_success)

    def end_trial(self, delay_s: float = 0.0) -> None:
        """Let the next request with the same parts go, after a while."""
        if self.trial.number:
            self._guard.end_trial(self.trial.number, delay_s)
            self.trial = Trial(0, ())


class PoisonGuard(Service):
    """Finds what crashes servers, together with the other entries.

    Attributes:
        answered: The parts whose requests this entry has seen answered whole.
    """

    name: ClassVar[str] = "poison-guard"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "controllers",
        "feed",
        "directory",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._table = PartTable()
        self.answered = AnsweredParts()
        # Trials that this entry gives out itself while no leader answers.
        self._own_trials = TrialBook()
        self._numbers = itertools.count(1)
        self._probes: dict[ServerIncarnation, asyncio.Future[bool]] = {}
        self._standings: dict[int, str] = {}
        # The last end of each server, and how many each service had before.
        self._ended: dict[str, PartEnd] = {}
        self._sizes: dict[str, tuple[int, int]] = {}
        self._directory = kernel.find("directory").directory
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

    def find_suspects(self, job: Job, prompt: GuardedPrompt) -> list[int]:
        """Return what is under suspicion; see :meth:`GuardedPrompt.check`."""
        if self._table.is_empty:
            return []
        now = _now()
        suspects = []
        for part in (*prompt.identities, *prompt.parts):
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
            **_name_identity(part),
            standing=judgement.standing,
            ends=judgement.ends,
            retry_ms=int(retry_s * defaults.MS_PER_S),
        )
        refused = "the request" if is_whole(part) else "a part of the prompt"
        return PromptRefused(
            f"{refused} is kept from the backend servers",
            retry_after_ms=int(retry_s * defaults.MS_PER_S),
        )

    async def take_trial(
        self, job: Job, prompt: GuardedPrompt, server: Server
    ) -> Trial:
        """Return the trial that a request needs at a server, if it needs one.

        Raises:
            PromptRefused: If it or a part is refused, or on trial for too long.
            TrialBusy: If no trial is to be had now.
        """
        suspects = prompt.check()
        if not suspects:
            return Trial(0, ())
        number = next(self._numbers)
        up = self._list_up(job.service.name)
        is_alone = self._count_servers(job.service.name) == 1
        if is_alone or (len(up) > 1 and server in up):
            slot = self._find_slot(job.service.name, server)
            is_granted = False
            try:
                is_granted = await self._ask_trial(number, [slot, *suspects])
            finally:
                if not is_granted:
                    # It may be, by an answer that did not arrive in time.
                    self.end_trial(number)
            if is_granted:
                return Trial(number, tuple(suspects))
        elif len(up) <= 1:
            prompt.wait_for_server()
        if _now() >= prompt.give_up_at:
            judgement = self._table.judge(suspects[0], _now())
            raise self._refuse(job, suspects[0], judgement)
        await asyncio.sleep(defaults.POISON_TRIAL_POLL_S)
        raise TrialBusy(server.name)

    def _find_slot(self, service: str, server: Server) -> int:
        """Return the slot of trials at a server; few servers are at risk at a time."""
        names = sorted(s.name for s in self._directory.in_service(service))
        place = names.index(server.name) if server.name in names else 0
        slots = count_trial_slots(self._count_servers(service))
        return hash_trial_slot(service, place % slots)

    def _count_servers(self, service: str) -> int:
        """Return how many servers a service has, with those that have ended lately."""
        now = len(self._directory.in_service(service))
        return max(now, *self._sizes.get(service, (0, 0)))

    def _list_up(self, service: str) -> list[Server]:
        """Return the servers of a service that take requests and have not ended."""
        now = _now()
        return [
            server
            for server in self._directory.in_service(service)
            if server.is_open(now) and not self._is_down(server, now)
        ]

    def _is_down(self, server: Server, now: float) -> bool:
        ended = self._find_end(server)
        if ended is None or now - ended.at >= defaults.POISON_DOWN_S:
            return False
        # What it had written before may be read later.
        return server.proved_at <= ended.at

    def _find_end(self, server: Server) -> PartEnd | None:
        """Return the last end of a server that has not been listed anew since."""
        ended = self._ended.get(server.name)
        if ended is None or ended.server.born_ms < server.listed.born_ms:
            return None
        return ended

    def _identify_life(self, server: Server, now: float) -> ServerIncarnation:
        """Return the life of a server that seems to have ended now.

        One that is back under its name and start time has another life.
        """
        ended = self._find_end(server)
        if ended is None:
            return ServerIncarnation(server.name, server.listed.born_ms)
        if now - ended.at < defaults.POISON_SAME_END_S:
            return ended.server
        return ended.server._replace(born_ms=ended.server.born_ms + 1)

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

    def end_trial(self, number: int, delay_s: float = 0.0) -> None:
        """Let the next request with the parts of a trial go, after a while."""
        if delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self.end_trial, number)
            return
        self._own_trials.end(number)
        self._send(TrialEnded(number))

    # What is found out.

    def _list_accused(self, parts: tuple[int, ...], prompt: GuardedPrompt) -> list[int]:
        """Return the request and those of the parts of which anything is known."""
        if self._table.is_empty:
            return []
        accused = (*prompt.identities, *parts)
        return [part for part in accused if part in self._table]

    def note_answered(
        self, job: Job, attempt: GuardedAttempt, is_success: bool
    ) -> None:
        """Record a whole answer and tell the other nodes if that clears something.

        It speaks for the whole request as that was when it was sent: an end that came
        later may be that of a repeat which has turned bad.
        """
        now = _now()
        parts = attempt.prompt.parts if is_success else ()
        self.answered.note(parts, now)
        evidence = [
            PartEvidence(part, attempt.sent_at if is_whole(part) else now, ())
            for part in self._list_accused(parts, attempt.prompt)
        ]
        if evidence:
            self._merge(evidence, job)

    async def note_broken(self, job: Job, attempt: GuardedAttempt) -> bool:
        """Record an answer that broke off; return whether its server has ended."""
        now = _now()
        server, prompt, trial = attempt.server, attempt.prompt, attempt.trial
        incarnation = self._identify_life(server, now)
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
        accused = attempt.accused
        end = PartEnd(incarnation, now, accused in trial.parts)
        evidence.append(PartEvidence(accused, -math.inf, (end,)))
        self._merge(evidence, job)
        return True

    def watch_left(self, job: Job, attempt: GuardedAttempt) -> None:
        """Accuse a request that was given up if its server is found to have ended.

        Nobody is asked: other requests at the server tell.
        """
        loop = asyncio.get_running_loop()
        left = loop.time(), attempt.accused
        loop.call_later(
            defaults.POISON_LEFT_S, self._accuse_left, job, attempt.server, left
        )

    def _accuse_left(self, job: Job, server: Server, left: tuple[float, int]) -> None:
        left_at, accused = left
        ended = self._ended.get(server.name)
        if ended is not None and ended.at >= left_at:
            end = PartEnd(ended.server, ended.at)
            self._merge([PartEvidence(accused, -math.inf, (end,))], job)

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
        self._note_ended(news)
        self._log_standings(news, job.call.request_id)
        self._tell(news)

    def _note_ended(self, parts: list[int]) -> None:
        """Note the servers that have ended lately."""
        known = [self._table.find(part) for part in parts]
        for end in (end for item in known if item is not None for end in item.ends):
            ended = self._ended.get(end.server.server)
            if ended is None or ended.server.born_ms < end.server.born_ms:
                self._ended[end.server.server] = end

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
        self._note_ended(news)
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
            if judgement.standing == CLEAR and before is None:
                continue
            self._standings[part] = judgement.standing
            events.emit(
                _logger,
                _EVENTS[is_whole(part), judgement.standing],
                request_id=request_id,
                **_name_identity(part),
                ends=judgement.ends,
                left_ms=int(judgement.left_s * defaults.MS_PER_S),
            )

    def _note_sizes(self) -> None:
        """Note the number of servers of each service, beside the one before."""
        counts = self._directory.count_by_service()
        known = self._sizes.keys() | counts.keys()
        sizes = {s: (self._sizes.get(s, (0, 0))[1], counts.get(s, 0)) for s in known}
        self._sizes = {s: pair for s, pair in sizes.items() if any(pair)}

    async def _repeat_forever(self) -> None:
        """Repeat what is known: a control host that starts knows nothing."""
        while True:
            await asyncio.sleep(defaults.POISON_REPEAT_S)
            now = _now()
            self._table.forget_old(now)
            self._ended = {
                name: end
                for name, end in self._ended.items()
                if now - end.at < defaults.POISON_WHOLE_KEPT_S
            }
            self._note_sizes()
            known = set(self._table.parts())
            self._standings = {p: s for p, s in self._standings.items() if p in known}
            self._tell(sorted(known))


def _name_identity(identity: int) -> dict[str, str]:
    """Return the field of a log line that names a part or a whole request."""
    return {"request" if is_whole(identity) else "part": f"{identity:x}"}


def _hash_job(job: Job) -> int:
    return hash_request(
        job.workspace.name if job.workspace else "",
        job.route.name,
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
