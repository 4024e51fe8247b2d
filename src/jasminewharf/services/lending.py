"""Services that lend tokens of workspaces' rates and spend them on entries."""

import asyncio
import contextlib
import functools
import logging
import math
from typing import ClassVar

from .. import defaults, events
from ..decisions.configurations import WorkspaceSpec
from ..decisions.lending import (
    Advance,
    EmergencyBucket,
    OverrunLimits,
    TokenLender,
)
from ..exceptions import (
    ConsensusError,
    LinkError,
    NotLeader,
    PeerUnavailable,
    RateExceeded,
)
from ..identifiers import new_incarnation
from ..kernel import Kernel, Service
from ..messages.servers import BorrowTokens, ReturnTokens, TokensLent
from .control import FLEET_GROUP
from .link import Peer

__all__ = ["Charge", "RateBorrower", "RateLender"]

_logger = logging.getLogger(__name__)


class RateLender(Service):
    """Lends tokens to entries while this host leads the fleet's log group."""

    name: ClassVar[str] = "rate-lender"
    requires: ClassVar[tuple[str, ...]] = ("log", "control", "view-on-control")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._lender: TokenLender | None = None
        self._owner = 0
        self._started = _now()

    async def start(self) -> None:
        """Register the handlers and start to acquire the ownership."""
        self.kernel.find("control").handle(BorrowTokens, self._lend)
        self.kernel.find("control").handle(ReturnTokens, self._take_back)
        self.spawn(self._take_over_forever(), essential=True)

    async def _take_over_forever(self) -> None:
        """Create the lender as soon as this host leads, not at the first request."""
        while True:
            with contextlib.suppress(NotLeader):
                self._require_lender()
            await asyncio.sleep(defaults.REPAIR_INTERVAL_S)

    def _require_lender(self) -> TokenLender:
        """Return the lender, which is created anew in each term of leadership.

        Raises:
            NotLeader: If this host does not lead.
        """
        log = self.kernel.find("log")
        if not log.is_leader(FLEET_GROUP):
            self._lender = None
            raise NotLeader(FLEET_GROUP, log.leader(FLEET_GROUP))
        if self._lender is None:
            fleet = self.kernel.settings.fleet
            bounds = fleet.bounds
            limits = OverrunLimits(
                bounds.rate_window_s, bounds.rate_overrun, bounds.rate_slack_tokens
            )
            age_s = _now() - self._started
            is_first = fleet.first_start and age_s < defaults.FOUNDING_S
            self._lender = TokenLender(limits, _now(), is_first=is_first)
            self._owner = new_incarnation()
        return self._lender

    def _lend(self, peer: Peer, request: BorrowTokens) -> TokensLent:
        lender = self._require_lender()
        entries = lender.count_entries(peer.node, _now())
        spec = self._find_workspace(request.workspace)
        if spec is None:
            return TokensLent(False, 0, 0.0, entries, self._owner)
        max_wait_s = request.patience_ms / defaults.MS_PER_S
        loan = lender.lend(spec, request.tokens, max_wait_s, _now())
        wait_ms = int(loan.wait_s * defaults.MS_PER_S)
        return TokensLent(loan.is_lent, wait_ms, loan.advance, entries, self._owner)

    def _take_back(self, peer: Peer, returned: ReturnTokens) -> None:
        """Accept returned tokens; tokens lent by other owners are ignored."""
        if self._lender is None or returned.owner != self._owner:
            return
        if not self.kernel.find("log").is_leader(FLEET_GROUP):
            return
        spec = self._find_workspace(returned.workspace)
        if spec is not None and returned.tokens > 0:
            lent_at = _now() - returned.age_ms / defaults.MS_PER_S
            self._lender.take_back(spec, returned.tokens, lent_at, _now())

    def _find_workspace(self, name: str) -> WorkspaceSpec | None:
        table = self.kernel.find("view-on-control").table
        if table is None:
            return None
        workspaces = table.configuration.workspaces
        return next((item for item in workspaces if item.name == name), None)


class RateBorrower(Service):
    """Borrows tokens for the requests of an entry.

    Attributes:
        entries: Number of active entries, as last reported by the owner.
    """

    name: ClassVar[str] = "rates"
    requires: ClassVar[tuple[str, ...]] = ("process", "controllers", "view")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.entries = defaults.ENTRIES_GUESS
        self._advances: dict[str, Advance] = {}
        self._emergency: dict[str, EmergencyBucket] = {}
        self._silent_until = 0.0
        self._metrics = kernel.find("process").metrics

    async def start(self) -> None:
        """Start to return expired tokens to the owner."""
        self.spawn(self._return_forever(), essential=True)

    async def _return_forever(self) -> None:
        while True:
            await asyncio.sleep(defaults.RATE_RETURN_S)
            for workspace, advance in self._advances.items():
                tokens, lent_at = advance.expire(_now())
                # Tokens of an emergency bucket were not lent by an owner.
                if tokens > 0 and advance.owner:
                    age_ms = math.ceil((_now() - lent_at) * defaults.MS_PER_S)
                    message = ReturnTokens(workspace, tokens, advance.owner, age_ms)
                    self._return(message)

    def _return(self, message: ReturnTokens) -> None:
        """Return tokens to the owner; tokens that do not arrive remain unspent."""
        link = self.kernel.find("controllers").find_leader(FLEET_GROUP)
        if link is None:
            return
        try:
            link.send(message)
        except PeerUnavailable:
            self._metrics.count("rate_returns_lost_total")

    def cost(self, spec: WorkspaceSpec, tokens: int) -> float:
        """Return a request's cost in tokens of its workspace's rate."""
        if spec.default_tokens <= 0:
            return 1.0
        return float(tokens) if tokens > 0 else spec.default_tokens

    async def charge(
        self, spec: WorkspaceSpec, cost: float, request_id: str, max_wait_s: float
    ) -> int:
        """Spend a request's cost; wait at most ``max_wait_s`` for its tokens.

        Returns:
            The owner that lent the tokens; 0 if none did.

        Raises:
            RateExceeded: If the workspace's rate does not allow the request now.
        """
        if spec.rate_per_s <= 0:
            return 0
        advance = self._advances.setdefault(spec.name, Advance())
        if advance.take(cost, _now()):
            return advance.owner
        asked_at = _now()
        borrowing = self.spawn(self._borrow(spec, cost, max_wait_s))
        try:
            lent = await asyncio.shield(borrowing)
            if lent.is_lent:
                await asyncio.sleep(lent.wait_ms / defaults.MS_PER_S)
                return lent.owner
        except asyncio.CancelledError:
            # The owner may have lent the tokens, or be about to.
            borrowing.add_done_callback(
                functools.partial(self._return_unused, spec, cost, asked_at)
            )
            raise
        self._metrics.count("rate_refusals_total", workspace=spec.name)
        events.emit(
            _logger,
            events.RATE_REFUSED,
            request_id=request_id,
            workspace=spec.name,
            cost=round(cost),
            rate=round(spec.rate_per_s),
            wait_ms=lent.wait_ms,
            is_owner_silent=_now() < self._silent_until,
        )
        raise RateExceeded(
            "the workspace has exceeded its rate",
            retry_after_ms=max(lent.wait_ms, defaults.RATE_RETRY_MIN_MS),
        )

    def give_back(
        self, spec: WorkspaceSpec, cost: float, owner: int, lent_at: float
    ) -> None:
        """Keep the cost of a request that did not run for the next request here.

        Tokens that expire unused are returned to the owner.
        """
        if spec.rate_per_s > 0:
            advance = self._advances.setdefault(spec.name, Advance())
            advance.add(cost, owner, lent_at, _now())

    def _return_unused(
        self,
        spec: WorkspaceSpec,
        cost: float,
        asked_at: float,
        borrowing: "asyncio.Task[TokensLent]",
    ) -> None:
        """Return tokens that were lent for a request that waits no more.

        They go to the owner: if they were lent ahead, nobody may spend them yet.
        """
        if borrowing.cancelled() or borrowing.exception() is not None:
            return
        lent = borrowing.result()
        if lent.is_lent and lent.owner:
            age_ms = math.ceil((_now() - asked_at) * defaults.MS_PER_S)
            self._return(ReturnTokens(spec.name, cost, lent.owner, age_ms))

    async def _borrow(
        self, spec: WorkspaceSpec, cost: float, max_wait_s: float
    ) -> TokensLent:
        asked_at = _now()
        if _now() < self._silent_until:
            return self._use_emergency(spec, cost)
        request = BorrowTokens(spec.name, cost, int(max_wait_s * defaults.MS_PER_S))
        try:
            lent = await self.kernel.find("controllers").request_repeatable(
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
            self._silent_until = _now() + defaults.OWNER_SILENT_S
            return self._use_emergency(spec, cost)
        self.entries = max(lent.entries, 1)
        if lent.is_lent and lent.advance > 0:
            advance = self._advances[spec.name]
            advance.add(lent.advance, lent.owner, asked_at, _now())
        return lent

    def _use_emergency(self, spec: WorkspaceSpec, cost: float) -> TokensLent:
        bucket = self._emergency.setdefault(spec.name, EmergencyBucket())
        wait_s = bucket.take(spec, self.entries, cost, _now())
        wait_ms = int(wait_s * defaults.MS_PER_S)
        return TokensLent(not wait_s, wait_ms, 0.0, self.entries)


class Charge:
    """The tokens of one request, held from its admission until it is sent.

    A request that waits for its model holds no tokens. Otherwise a workspace at its
    rate would pay for requests that are refused later, and requests that run after the
    wait would exceed the rate.
    """

    def __init__(
        self,
        rates: RateBorrower,
        spec: WorkspaceSpec | None,
        tokens: int,
        request_id: str,
    ) -> None:
        self._rates = rates
        self._spec = spec
        self._cost = rates.cost(spec, tokens) if spec is not None else 0.0
        self._request_id = request_id
        self._owner = 0
        self._taken_at = math.inf

    async def take(self, max_wait_s: float) -> None:
        """Spend the request's cost, unless it is already held.

        Raises:
            RateExceeded: If the workspace's rate does not allow it in time.
        """
        if self._spec is None or self._taken_at < math.inf:
            return
        asked_at = _now()
        self._owner = await self._rates.charge(
            self._spec, self._cost, self._request_id, max_wait_s
        )
        self._taken_at = asked_at

    def release(self) -> None:
        """Return the cost, if it is held."""
        if self._spec is not None and self._taken_at < math.inf:
            self._rates.give_back(self._spec, self._cost, self._owner, self._taken_at)
            self._taken_at = math.inf


def _now() -> float:
    return asyncio.get_running_loop().time()
