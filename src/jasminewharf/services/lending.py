"""The entries' service: spends tokens of workspaces' rates that the owner lends."""

import asyncio
import functools
import logging
import math
from typing import Any, ClassVar, NamedTuple

from .. import defaults, events
from ..decisions.advances import TokenLot
from ..decisions.configurations import WorkspaceSpec
from ..decisions.entryrates import EntryRates, Unspent
from ..decisions.rateuse import RateUse, RefusalCause
from ..exceptions import (
    AccountOwnerUnavailable,
    ConsensusError,
    LinkError,
    PeerUnavailable,
    RateExceeded,
)
from ..identifiers import new_incarnation
from ..kernel import Kernel, Service
from ..messages.servers import (
    BorrowTokens,
    OwnerBegan,
    ReportLent,
    ReturnTokens,
    TokensLent,
)
from ..settings import BoundSettings
from .control import FLEET_GROUP

__all__ = ["Charge", "RateBorrower", "TokenPatience", "find_token_patience"]

_logger = logging.getLogger(__name__)
_NOTHING = TokenLot(0.0, 0, 0.0)
# Of a random start, so that counting on from it does not overflow.
_NUMBER_BITS = 24


class TokenPatience(NamedTuple):
    """How long a request may wait for tokens.

    ``wait_s`` is for those beyond rate and burst, ``owner_s`` for an owner that gives
    no answer. ``waited_s`` is what it has waited for before.
    """

    wait_s: float
    owner_s: float
    waited_s: float = 0.0


def find_token_patience(
    bounds: BoundSettings, target_s: float, left_s: float
) -> TokenPatience:
    """Return how long a request may wait for tokens before it is sent.

    Args:
        bounds: What the deployment asks of the fleet.
        target_s: The latency target of the request's route.
        left_s: For how long its caller waits for the first piece of an answer.
    """
    share = bounds.rate_wait_share or defaults.RATE_PATIENCE_PART
    owner_s = min(left_s * defaults.RATE_OWNER_PART, defaults.OWNER_WAIT_S)
    return TokenPatience(target_s * share, owner_s)


class RateBorrower(Service):
    """Borrows tokens for the requests of an entry."""

    name: ClassVar[str] = "rates"
    requires: ClassVar[tuple[str, ...]] = ("process", "controllers", "view")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._bounds: BoundSettings = kernel.settings.fleet.bounds
        window_s = self._bounds.rate_window_s
        self._rates = EntryRates(window_s, defaults.ENTRIES_GUESS, _now())
        # Whether the owner gave no answer, and when it is asked again then.
        self._is_silent = False
        self._silent_until = 0.0
        # Requests of an earlier life of this entry have other numbers.
        self._number = new_incarnation() >> _NUMBER_BITS
        self._metrics = kernel.find("process").metrics
        self._use = RateUse()

    @property
    def entries(self) -> int:
        """Number of entries, as the owner told it last."""
        return self._rates.entries

    async def start(self) -> None:
        """Start to return expired tokens to the owner, and to log what was granted."""
        self.kernel.find("controllers").handle(OwnerBegan, self._report)
        self.spawn(self._return_forever(), essential=True)
        self.spawn(self._log_forever(), essential=True)

    async def stop(self) -> None:
        """End the tasks; log what was granted last."""
        await super().stop()
        self._log_use()

    async def _log_forever(self) -> None:
        """Sum up each second, since the lines of single requests are bounded."""
        while True:
            await asyncio.sleep(defaults.ACCOUNT_LOG_S)
            self._log_use()

    def _log_use(self) -> None:
        window_s = self._bounds.rate_window_s
        for part in self._use.take(_now(), defaults.RATE_WORKSPACES_SHOWN):
            events.emit(_logger, events.RATE_USED, window_s=window_s, workspaces=part)

    async def _return_forever(self) -> None:
        while True:
            await asyncio.sleep(defaults.RATE_RETURN_S)
            for unspent in self._rates.expire(_now()):
                self._return(unspent)

    def _return(self, unspent: Unspent, number: int = 0) -> None:
        """Return tokens to the owner; tokens that do not arrive remain unspent."""
        link = self.kernel.find("controllers").find_leader(FLEET_GROUP)
        if link is None:
            return
        age_ms = _age_ms(unspent.lent_at)
        workspace, tokens, owner, _ = unspent
        try:
            link.send(ReturnTokens(workspace, tokens, owner, age_ms, number))
        except PeerUnavailable:
            self._metrics.count("rate_returns_lost_total")

    def _report(self, host: str, began: OwnerBegan) -> None:
        """Tell a new owner what earlier ones lent, so that it need not assume it."""
        link = self.kernel.find("controllers").links.get(host)
        if link is None:
            return
        now = _now()
        grants = [
            (workspace, [(int(ago_s * defaults.MS_PER_S), t) for ago_s, t in items])
            for workspace, items in self._rates.report(began.owner, now)
        ]
        is_complete = self._rates.is_complete(now)
        told = self._rates.told_entries
        try:
            link.send(ReportLent(began.owner, told, is_complete, grants))
        except PeerUnavailable:
            self._metrics.count("rate_reports_lost_total")

    def cost(self, spec: WorkspaceSpec, tokens: int) -> float:
        """Return a request's cost in tokens of its workspace's rate."""
        if spec.default_tokens <= 0:
            return 1.0
        return float(tokens) if tokens > 0 else spec.default_tokens

    async def charge(
        self,
        spec: WorkspaceSpec,
        cost: float,
        request_id: str,
        patience: TokenPatience,
        priority: int = 0,
        outdated: TokenLot = _NOTHING,
    ) -> TokenLot:
        """Spend a request's cost; wait for its tokens if they come in time.

        Args:
            spec: The workspace.
            cost: The request's tokens.
            request_id: The request's identifier.
            patience: How long it may wait.
            priority: Its rank in the workspace's queue; 0 is the most urgent.
            outdated: Tokens that it holds for too long already and gives back.

        Returns:
            The tokens, with the owner that lent them; 0 if none did.

        Raises:
            RateExceeded: If the workspace's rate does not allow the request in time.
            AccountOwnerUnavailable: If nobody could tell.
        """
        if spec.rate_per_s <= 0:
            return TokenLot(cost, 0, _now())
        held = None if outdated.tokens else self._rates.take_held(spec, cost, _now())
        if held is not None:
            self._use.note_granted(spec, cost, held.lent_at)
            return held
        began_at = _now()
        answer, lent_at = await self._borrow(spec, cost, patience, priority, outdated)
        if answer.is_lent:
            has_waited = _now() - began_at > defaults.RATE_WAITED_S
            self._use.note_granted(spec, cost, _now(), has_waited=has_waited)
            return TokenLot(cost, answer.owner, lent_at)
        raise self._refuse(spec, cost, request_id, patience, answer)

    def _refuse(
        self,
        spec: WorkspaceSpec,
        cost: float,
        request_id: str,
        patience: TokenPatience,
        answer: TokensLent,
    ) -> RateExceeded | AccountOwnerUnavailable:
        """Log a refusal and return it."""
        if not answer.owner:
            cause = RefusalCause.OWNER_SILENT
        elif answer.is_assumed:
            cause = RefusalCause.OWNER_NEW
        else:
            cause = RefusalCause.OVER_RATE
        self._use.note_refused(spec, cost, cause)
        self._metrics.count("rate_refusals_total", workspace=spec.name)
        events.emit(
            _logger,
            events.RATE_REFUSED,
            request_id=request_id,
            workspace=spec.name,
            cost=round(cost),
            rate=round(spec.rate_per_s, 3),
            burst=round(spec.burst, 3),
            window_s=self._bounds.rate_window_s,
            cause=str(cause),
            wait_ms=answer.wait_ms,
            patience_ms=int(patience.wait_s * defaults.MS_PER_S),
            level=round(answer.level),
            owner=answer.owner,
            is_owner_silent=cause == RefusalCause.OWNER_SILENT,
        )
        if cause == RefusalCause.OWNER_SILENT:
            return AccountOwnerUnavailable(
                "nobody could tell whether the workspace's rate allows the request",
                retry_after_ms=defaults.RATE_OWNER_RETRY_MS,
            )
        return RateExceeded(
            "the workspace has exceeded its rate",
            retry_after_ms=max(answer.wait_ms, defaults.RATE_RETRY_MIN_MS),
        )

    def note_exchanged(self, spec: WorkspaceSpec, lot: TokenLot) -> None:
        """Record that tokens go back with the question for others."""
        self._use.note_unspent(spec, lot.tokens, lot.lent_at)
        unspent = Unspent(spec.name, lot.tokens, lot.owner, lot.lent_at)
        self._rates.note_returned(unspent)

    def give_back(self, spec: WorkspaceSpec, lot: TokenLot) -> None:
        """Keep the cost of a request that did not run for the next request here.

        Tokens that expire unused are returned to the owner.
        """
        if spec.rate_per_s > 0:
            self._use.note_unspent(spec, lot.tokens, lot.lent_at)
            unspent = self._rates.hold(
                spec.name, lot.tokens, lot.owner, lot.lent_at, _now()
            )
            if unspent is not None:
                self._return(unspent)

    # Questions to the owner.

    async def _borrow(
        self,
        spec: WorkspaceSpec,
        cost: float,
        patience: TokenPatience,
        priority: int,
        outdated: TokenLot,
    ) -> tuple[TokensLent, float]:
        """Return the last answer, of the owner or of this entry's own share.

        With it comes when the answer came, which tells the owner when it lent.
        """
        number = 0
        if self._bounds.rate_wait_share:
            self._number += 1
            number = self._number
        began_at = _now()
        while True:
            request = BorrowTokens(
                spec.name,
                cost,
                int(patience.wait_s * defaults.MS_PER_S),
                number,
                int(patience.waited_s * defaults.MS_PER_S),
                priority,
                outdated.tokens,
                outdated.owner,
                _age_ms(outdated.lent_at) if outdated.tokens else 0,
            )
            asking = self.spawn(self._ask(spec, request))
            give_up = functools.partial(self._give_up, spec, cost, number=number)
            try:
                answer = await asyncio.shield(asking)
                lent_at = _now()
                outdated = _NOTHING if answer.owner else outdated
                pause_s = self._choose_pause_s(answer, patience, began_at)
                if pause_s is None:
                    # Without a queue, the owner lends ahead of time.
                    ahead_ms = answer.wait_ms if answer.is_lent else 0
                    await asyncio.sleep(ahead_ms / defaults.MS_PER_S)
                    return answer, lent_at
                await asyncio.sleep(pause_s)
            except asyncio.CancelledError:
                # The owner may have lent the tokens, or be about to.
                asking.add_done_callback(give_up)
                raise

    def _choose_pause_s(
        self, answer: TokensLent, patience: TokenPatience, began_at: float
    ) -> float | None:
        """Return when to ask again; None if the answer is the last one."""
        if answer.is_lent:
            return None
        if answer.is_queued:
            wait_s = answer.wait_ms / defaults.MS_PER_S
            return max(wait_s, defaults.RATE_ASK_AGAIN_S)
        if answer.owner:
            return None
        is_over = _now() - began_at > patience.owner_s
        return None if is_over else defaults.RATE_OWNER_POLL_S

    def _give_up(
        self,
        spec: WorkspaceSpec,
        cost: float,
        asking: "asyncio.Task[TokensLent]",
        *,
        number: int,
    ) -> None:
        """Return tokens, or the place in the queue, of a request that waits no more."""
        if asking.cancelled() or asking.exception() is not None:
            return
        answer = asking.result()
        if not answer.owner or not (answer.is_lent or answer.is_queued):
            return
        tokens = cost if answer.is_lent else 0.0
        unspent = Unspent(spec.name, tokens, answer.owner, _now())
        if tokens:
            self._rates.note_returned(unspent)
        self._return(unspent, number)

    async def _ask(self, spec: WorkspaceSpec, request: BorrowTokens) -> TokensLent:
        """Ask the owner; use this entry's own share while the owner is silent.

        A request must not wait for the time-out of a question that an earlier one has
        met already. Questions without tokens find out whether there is an owner again.
        """
        if self._is_silent:
            if _now() >= self._silent_until:
                self._silent_until = _now() + defaults.BORROW_TIMEOUT_S
                self.spawn(self._request(spec, BorrowTokens(spec.name, 0.0, 0)))
            return self._use_emergency(spec, request.tokens)
        answer = await self._request(spec, request)
        return answer or self._use_emergency(spec, request.tokens)

    async def _request(
        self, spec: WorkspaceSpec, request: BorrowTokens
    ) -> TokensLent | None:
        """Return the owner's answer; None if it gives none."""
        controllers: Any = self.kernel.find("controllers")
        try:
            answer: TokensLent = await controllers.request_repeatable(
                FLEET_GROUP,
                request,
                defaults.BORROW_TIMEOUT_S,
                defaults.CONTROL_QUICK_ATTEMPT_S,
            )
        except (ConsensusError, LinkError) as error:
            self._metrics.count("rate_owner_silent_total")
            events.emit(
                _logger, events.RATE_OWNER_SILENT, workspace=spec.name, error=error
            )
            self._is_silent = True
            self._silent_until = _now() + defaults.RATE_OWNER_POLL_S
            return None
        self._is_silent = False
        self._note_answer(spec, request, answer)
        return answer

    def _note_answer(
        self,
        spec: WorkspaceSpec,
        request: BorrowTokens,
        answer: TokensLent,
    ) -> None:
        now = _now()
        self._rates.note_entries(answer.entries, answer.place)
        self._rates.set_scarce(spec.name, answer.is_scarce)
        if answer.is_lent:
            lent = request.tokens + answer.advance
            self._rates.note_loan(spec.name, lent, answer.owner, now)
        if answer.is_lent and answer.advance > 0:
            unspent = self._rates.hold(
                spec.name, answer.advance, answer.owner, now, now
            )
            if unspent is not None:
                self._return(unspent)

    def _use_emergency(self, spec: WorkspaceSpec, cost: float) -> TokensLent:
        now = _now()
        leaderless_s = now - self.kernel.find("controllers").leaderless_at(FLEET_GROUP)
        wait_s = self._rates.use_emergency(
            spec, cost, now, is_isolated=leaderless_s > defaults.RATE_LEADERLESS_S
        )
        wait_ms = math.ceil(min(wait_s, defaults.OWNER_WAIT_S) * defaults.MS_PER_S)
        return TokensLent(not wait_s, wait_ms, 0.0, self._rates.entries)


class Charge:
    """The tokens of one request, held from its admission until it is sent.

    A request that waits for its model holds no tokens. Otherwise a workspace at its
    rate would pay for requests that are refused later, and requests that run after the
    wait would exceed the rate.

    Attributes:
        waited_s: Seconds that the request has waited for tokens.
    """

    def __init__(
        self,
        rates: RateBorrower,
        spec: WorkspaceSpec | None,
        tokens: int,
        request_id: str,
        priority: int = 0,
    ) -> None:
        self._rates = rates
        self._spec = spec
        self._cost = rates.cost(spec, tokens) if spec is not None else 0.0
        self._request_id = request_id
        self._priority = priority
        self._lot: TokenLot | None = None
        self.waited_s = 0.0

    async def take(self, patience: TokenPatience) -> None:
        """Spend the request's cost, unless it is already held.

        Raises:
            RateExceeded: If the workspace's rate does not allow it in time.
            AccountOwnerUnavailable: If nobody could tell.
        """
        if self._spec is None or self._lot is not None:
            return
        await self._take(self._spec, patience, _NOTHING)

    async def renew(self, patience: TokenPatience) -> None:
        """Exchange tokens that are held for so long that they count no more.

        Tokens that are spent late would count in a window with those of later requests.

        Raises:
            RateExceeded: If the workspace's rate does not allow it in time.
            AccountOwnerUnavailable: If nobody could tell.
        """
        lot = self._lot
        if self._spec is None or lot is None or not lot.owner:
            return
        if _now() - lot.lent_at < defaults.RATE_RENEW_S:
            return
        self._rates.note_exchanged(self._spec, lot)
        self._lot = None
        await self._take(self._spec, patience, lot)

    async def _take(
        self, spec: WorkspaceSpec, patience: TokenPatience, outdated: TokenLot
    ) -> None:
        asked_at = _now()
        try:
            self._lot = await self._rates.charge(
                spec, self._cost, self._request_id, patience, self._priority, outdated
            )
        finally:
            self.waited_s += _now() - asked_at

    def release(self) -> None:
        """Return the cost, if it is held."""
        if self._spec is not None and self._lot is not None:
            lot, self._lot = self._lot, None
            self._rates.give_back(self._spec, lot)


def _age_ms(at: float) -> int:
    """Return an age that is not too high: tokens were lent before they arrived."""
    return int((_now() - at) * defaults.MS_PER_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
