"""A node's permits to send requests to backend servers that name a limit."""

import asyncio
import itertools
import logging
import math
from collections.abc import Callable
from typing import ClassVar, NamedTuple

from .. import defaults, events
from ..decisions.permits import LocalShare, StatusPacer
from ..decisions.sendbounds import SpacedShare
from ..decisions.serverlimits import ServerLimit
from ..exceptions import ConsensusError, LimitReached, LinkError, PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.servers import (
    AskColdPermits,
    AskPermits,
    ColdPermitAnswers,
    ColdPermitAsk,
    PermitAnswer,
    PermitAnswers,
    PermitAsk,
    PermitUnused,
)
from .coldshares import ColdShares
from .control import FLEET_GROUP
from .limitreports import build_report

__all__ = ["Permit", "PermitWish", "Permits"]

_logger = logging.getLogger(__name__)

_BOUND_KINDS = frozenset({"first", "repeat"})
# Timers may end this much early.
_TIMER_S = 1e-6


class PermitWish(NamedTuple):
    """What a permit is wanted for.

    ``kind`` is first, repeat, order or status, for metrics. ``priority`` 0 is the most
    urgent of callers' requests; ``patience_s`` is how long it may wait.
    """

    kind: str
    workspace: str
    priority: int
    patience_s: float


class Permit:
    """Admits one send to a server, or any number while the server has no limit.

    Attributes:
        sent_at: When it was last spent, in seconds of the event loop's clock.
    """

    __slots__ = (
        "_is_granted",
        "_kind",
        "_limit",
        "_number",
        "_service",
        "_share",
        "_valid_until",
        "sent_at",
    )

    def __init__(
        self,
        service: "Permits",
        limit: ServerLimit,
        kind: str,
        number: int = 0,
        valid_until: float = -math.inf,
        share: SpacedShare | None = None,
    ) -> None:
        self._service = service
        self._limit = limit
        self._kind = kind
        self._number = number
        self._valid_until = valid_until
        self._is_granted = valid_until > -math.inf
        self._share = share
        self.sent_at = -math.inf

    def spend(self) -> None:
        """Record a send, right before its first byte is written.

        Raises:
            LimitReached: If the server's limit does not allow it: the permit is spent
                or too old, or the server has named a limit since it was taken.
        """
        now = _now()
        if self._limit.needs_permit(self._kind):
            if not self._is_granted or now > self._valid_until:
                raise LimitReached(self._limit.server.server, 0.0)
            self._service.count_send(self._kind)
            if self._share is not None:
                self._share.note_spent(now)
        self._is_granted = False
        self.sent_at = now

    def close(self) -> None:
        """Give the permit back if it was not spent."""
        if self._is_granted:
            self._is_granted = False
            if self._share is not None:
                self._share.give_back()
            self._service.give_back(self._limit, self._number)


class _Waiting:
    """A request that waits for a permit."""

    def __init__(self, number: int, limit: ServerLimit, wish: PermitWish) -> None:
        self.number = number
        self.limit = limit
        self.wish = wish
        self.began_at = _now()
        self.leaves_at = self.began_at + wish.patience_s
        # When it was asked for, and asked for again.
        self.asked_at: list[float] = []
        # What it takes in place of a permit, while no owner issues any.
        self.share: SpacedShare | None = None
        self.answer: asyncio.Future[PermitAnswer] = (
            asyncio.get_running_loop().create_future()
        )

    def build_ask(self, now: float) -> PermitAsk:
        return PermitAsk(
            self.limit.server.server,
            self.limit.server.born_ms,
            self.number,
            len(self.asked_at),
            self.wish.workspace,
            self.wish.priority,
            int((now - self.began_at) * defaults.MS_PER_S),
            max(int((self.leaves_at - now) * defaults.MS_PER_S), 0),
        )

    def settle(self, *, is_granted: bool) -> None:
        """End the wait without the owner."""
        if not self.answer.done():
            renewal = len(self.asked_at)
            self.asked_at.append(_now())
            answer = PermitAnswer(self.number, renewal, is_granted, 0)
            self.answer.set_result(answer)


class _Refused(NamedTuple):
    """Until when a refusal of the owner holds, and when it planned a permit."""

    until: float
    planned_at: float


class Permits(Service):
    """Takes permits from the owner, and shares limits locally without one."""

    name: ClassVar[str] = "permits"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "controllers",
        "reports",
        "server-limits",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        process = kernel.find("process")
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _Waiting] = {}
        self._has_waiting = asyncio.Event()
        self._is_scheduled = False
        self._refused: dict[tuple[ServerLimit, str, int], _Refused] = {}
        self._silent_until = -math.inf
        # Until when a new owner issues nothing to servers that can turn cold.
        self._held_until = -math.inf
        self._cold_shares = ColdShares(kernel)
        self._shares: dict[ServerLimit, LocalShare] = {}
        self._pacers: dict[ServerLimit, StatusPacer] = {}
        self._metrics = process.metrics
        self._random = process.random

    async def start(self) -> None:
        """Take what the owner decides later, and follow the limits."""
        self.kernel.find("controllers").handle(PermitAnswers, self._take_late_answers)
        self.kernel.find("server-limits").listen(self._follow_limit)
        self.spawn(self._renew_forever(), essential=True)
        self._metrics.watch("requests_held_by_limits", lambda: len(self._waiting))

    def _follow_limit(self, limit: ServerLimit) -> None:
        """Let all requests go that wait for a server whose limit has ended."""
        if limit.is_limited:
            return
        self._shares.pop(limit, None)
        self._pacers.pop(limit, None)
        for waiting in list(self._waiting.values()):
            if waiting.limit is limit and not limit.needs_permit(waiting.wish.kind):
                waiting.settle(is_granted=True)

    def count_send(self, kind: str) -> None:
        """Count a request that is sent to a server with a limit."""
        self._metrics.count("limited_sends_total", kind=kind)

    def needs_trial(self, limit: ServerLimit) -> bool:
        """Return whether a request should be sent to learn if a limit has ended."""
        if not limit.is_limited:
            return False
        return limit.confirmed_s(_now()) >= defaults.LIMIT_CONFIRM_S

    @property
    def is_owner_silent(self) -> bool:
        """Whether the owner of the permits gave no answer lately."""
        return _now() < self._silent_until

    def _is_silent_for(self, limit: ServerLimit) -> bool:
        """Return whether no owner issues permits for a server now."""
        is_held = limit.cold_per_s is not None and _now() < self._held_until
        return is_held or self.is_owner_silent

    async def acquire(
        self,
        limit: ServerLimit,
        wish: PermitWish,
        review: Callable[[], bool] = lambda: False,
    ) -> Permit:
        """Return a permit to send a request; wait for it while the wish allows.

        Args:
            limit: The limit of the server.
            wish: What the permit is for.
            review: Called now and then during a wait; true ends it, as the request can
                go elsewhere.

        Raises:
            LimitReached: If there is none in time, as soon as that is known.
        """
        if not limit.needs_permit(wish.kind):
            return Permit(self, limit, wish.kind)
        is_silent = self._is_silent_for(limit)
        share = self._cold_shares.take(
            limit, is_silent=is_silent, held_until=self._held_until
        )
        if share is not None:
            valid_until = _now() + defaults.COLD_PERMIT_VALID_S
            return Permit(self, limit, wish.kind, 0, valid_until, share)
        self._check_refused(limit, wish)
        if wish.patience_s <= 0 and is_silent:
            raise LimitReached(limit.server.server, 0.0)
        waiting = _Waiting(next(self._numbers), limit, wish)
        self._waiting[waiting.number] = waiting
        self._has_waiting.set()
        self._schedule()
        answer: PermitAnswer | None = None
        try:
            answer = await self._wait(waiting, review)
        finally:
            del self._waiting[waiting.number]
            if answer is None:
                self._metrics.count("permits_abandoned_total")
                self.give_back(limit, waiting.number)
        if not answer.is_granted:
            wait_s = answer.wait_ms / defaults.MS_PER_S
            self._note_refused(limit, wish, wait_s)
            raise LimitReached(limit.server.server, wait_s)
        valid_s = defaults.PERMIT_VALID_S
        if limit.cold_per_s is not None:
            valid_s = defaults.COLD_PERMIT_VALID_S
        valid_until = waiting.asked_at[answer.renewal] + valid_s
        return Permit(
            self, limit, wish.kind, waiting.number, valid_until, waiting.share
        )

    async def _wait(
        self, waiting: _Waiting, review: Callable[[], bool]
    ) -> PermitAnswer:
        trial_ends = waiting.began_at + defaults.PERMIT_TRIAL_WAIT_S
        ends_at = max(waiting.leaves_at, trial_ends)
        while True:
            left_s = ends_at - _now()
            try:
                async with asyncio.timeout(min(left_s, defaults.PERMIT_REVIEW_S)):
                    return await asyncio.shield(waiting.answer)
            except TimeoutError:
                if ends_at - _now() <= _TIMER_S or review():
                    server = waiting.limit.server.server
                    raise LimitReached(server, 0.0) from None

    def acquire_status(self, limit: ServerLimit) -> Permit | None:
        """Return a permit to read an engine's status; None if it is too early.

        Only the agent beside an engine reads its status, so that its own pace is that
        of the fleet.
        """
        if not limit.is_limited:
            return Permit(self, limit, "status")
        pacer = self._pacers.setdefault(limit, StatusPacer())
        per_s = limit.per_s or 0.0
        if not pacer.may_read(per_s, _now()):
            return None
        pacer.note_read(_now())
        return Permit(self, limit, "status", 0, _now() + defaults.PERMIT_VALID_S)

    def give_back(self, limit: ServerLimit, number: int) -> None:
        """Tell the owner that a permit is not used; a lost message costs the permit."""
        link = self.kernel.find("controllers").find_leader(FLEET_GROUP)
        if link is None or not number:
            return
        server = limit.server
        try:
            link.send(PermitUnused(server.server, server.born_ms, number))
        except PeerUnavailable:
            self._metrics.count("permits_lost_total")

    def _check_refused(self, limit: ServerLimit, wish: PermitWish) -> None:
        """Refuse what the owner has just refused to requests that count as much."""
        refused = self._refused.get((limit, wish.workspace, wish.priority))
        now = _now()
        if refused is None or now >= refused.until:
            return
        if now + wish.patience_s < refused.planned_at:
            self._metrics.count("permits_refused_total", by="node")
            raise LimitReached(limit.server.server, refused.planned_at - now)

    def _note_refused(
        self, limit: ServerLimit, wish: PermitWish, wait_s: float
    ) -> None:
        now = _now()
        self._metrics.count("permits_refused_total", by="owner")
        self._refused = {
            k: item for k, item in self._refused.items() if item.until > now
        }
        key = (limit, wish.workspace, wish.priority)
        self._refused[key] = _Refused(now + defaults.PERMIT_RENEW_S, now + wait_s)

    # Questions to the owner.

    def _schedule(self) -> None:
        """Ask once for all requests of an event-loop turn."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._ask_due)

    def _ask_due(self) -> None:
        self._is_scheduled = False
        now = _now()
        if now < self._silent_until:
            return
        due = [
            waiting
            for waiting in self._waiting.values()
            if not waiting.answer.done()
            and not self._is_silent_for(waiting.limit)
            and (
                not waiting.asked_at
                or now - waiting.asked_at[-1] >= defaults.PERMIT_RENEW_S
            )
        ]
        if not due:
            return
        named: list[PermitAsk] = []
        cold: list[ColdPermitAsk] = []
        for waiting in due:
            ask = waiting.build_ask(now)
            waiting.asked_at.append(now)
            per_s = waiting.limit.cold_per_s
            if per_s is None or waiting.wish.kind not in _BOUND_KINDS:
                named.append(ask)
            else:
                cold.append(ColdPermitAsk(ask, per_s))
        limits = {waiting.limit for waiting in due if waiting.limit.reading}
        reports = [build_report(limit, now) for limit in limits]
        if named:
            self.spawn(self._ask(AskPermits(named, reports)))
        if cold:
            self.spawn(self._ask(AskColdPermits(cold, reports)))

    async def _ask(self, request: AskPermits | AskColdPermits) -> None:
        try:
            answers = await self.kernel.find("controllers").request_repeatable(
                FLEET_GROUP,
                request,
                defaults.PERMIT_ASK_TIMEOUT_S,
                defaults.CONTROL_QUICK_ATTEMPT_S,
            )
        except (ConsensusError, LinkError) as error:
            self._note_silent(str(error))
            return
        if isinstance(answers, ColdPermitAnswers):
            if answers.held_ms > 0:
                self._held_until = _now() + min(
                    answers.held_ms / defaults.MS_PER_S, defaults.COLD_HELD_LIMIT_S
                )
                return
            self._drop_shares(lambda limit: limit.cold_per_s is not None)
            self._cold_shares.note_owner()
        else:
            self._drop_shares(lambda limit: limit.cold_per_s is None)
        self._take_answers(answers)

    def _drop_shares(self, is_answered: Callable[[ServerLimit], bool]) -> None:
        """Forget the local shares of limits whose owner answers."""
        for limit in [limit for limit in self._shares if is_answered(limit)]:
            del self._shares[limit]

    def _take_late_answers(self, host: str, message: PermitAnswers) -> None:
        self._take_answers(message)

    def _take_answers(self, message: PermitAnswers | ColdPermitAnswers) -> None:
        for answer in message.answers:
            waiting = self._waiting.get(answer.number)
            if waiting is None or waiting.answer.done():
                continue
            if 0 <= answer.renewal < len(waiting.asked_at):
                waiting.answer.set_result(answer)

    def _note_silent(self, error: str) -> None:
        self._metrics.count("permit_owner_silent_total")
        if _now() >= self._silent_until:
            events.emit(
                _logger,
                events.PERMIT_OWNER_SILENT,
                error=error,
                waiting=len(self._waiting),
            )
        self._silent_until = _now() + defaults.PERMIT_OWNER_SILENT_S

    async def _renew_forever(self) -> None:
        """Repeat questions; share the limits locally while the owner is silent."""
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(defaults.PERMIT_TICK_S)
            if not self._waiting:
                self._has_waiting.clear()
                continue
            self._ask_due()
            self._share_locally()

    def _share_locally(self) -> None:
        now = _now()
        nodes = len(self.kernel.find("reports").digest)
        first: dict[ServerLimit, _Waiting] = {}
        for waiting in self._waiting.values():
            if waiting.answer.done() or waiting.wish.patience_s <= 0:
                continue
            if not self._is_silent_for(waiting.limit):
                continue
            known = first.get(waiting.limit)
            if known is None or waiting.wish.priority < known.wish.priority:
                first[waiting.limit] = waiting
        for limit, share in self._shares.items():
            if limit not in first:
                share.skip(now)
        for limit, waiting in first.items():
            spaced = self._cold_shares.take(
                limit, is_silent=True, held_until=self._held_until
            )
            if spaced is not None:
                waiting.share = spaced
                waiting.settle(is_granted=True)
                continue
            share = self._shares.get(limit)
            if share is None:
                share = self._shares[limit] = LocalShare(self._random.random(), now)
            per_s = self._cold_shares.find_local_limit(limit)
            if share.take(per_s, nodes, now):
                self._metrics.count("permits_local_total")
                waiting.settle(is_granted=True)


def _now() -> float:
    return asyncio.get_running_loop().time()
