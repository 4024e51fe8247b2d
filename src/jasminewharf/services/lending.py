"""The services that lend and spend the workspaces' rates."""

import asyncio
import contextlib
import logging
from typing import ClassVar

from .. import defaults, events
from ..decisions.configurations import WorkspaceSpec
from ..decisions.lending import (
    Advance,
    EmergencyBucket,
    OverrunLimits,
    TokenLender,
)
from ..exceptions import ConsensusError, LinkError, NotLeader, RateExceeded
from ..kernel import Kernel, Service
from ..messages.servers import BorrowTokens, TokensLent
from .control import FLEET_GROUP
from .link import Peer

__all__ = ["RateBorrower", "RateLender"]

_logger = logging.getLogger(__name__)


class RateLender(Service):
    """The owner of the rates: the leader of the fleet's log."""

    name: ClassVar[str] = "rate-lender"
    requires: ClassVar[tuple[str, ...]] = ("log", "control", "view-on-control")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._lender: TokenLender | None = None
        self._started = _now()

    async def start(self) -> None:
        """Answer entries."""
        self.kernel.find("control").handle(BorrowTokens, self._lend)
        self.spawn(self._take_over_forever(), essential=True)

    async def _take_over_forever(self) -> None:
        """Begin to count as soon as this host leads, not at the first request."""
        while True:
            with contextlib.suppress(NotLeader):
                self._lead()
            await asyncio.sleep(defaults.REPAIR_INTERVAL_S)

    def _lead(self) -> TokenLender:
        """Return the owner's state, new in each time of leading.

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
        return self._lender

    def _lend(self, peer: Peer, wish: BorrowTokens) -> TokensLent:
        lender = self._lead()
        entries = lender.count_entries(peer.node, _now())
        spec = self._find_workspace(wish.workspace)
        if spec is None:
            return TokensLent(False, 0, 0.0, entries)
        patience_s = wish.patience_ms / defaults.MS_PER_S
        loan = lender.lend(spec, wish.tokens, patience_s, _now())
        wait_ms = int(loan.wait_s * defaults.MS_PER_S)
        return TokensLent(loan.is_lent, wait_ms, loan.advance, entries)

    def _find_workspace(self, name: str) -> WorkspaceSpec | None:
        table = self.kernel.find("view-on-control").table
        if table is None:
            return None
        workspaces = table.configuration.workspaces
        return next((item for item in workspaces if item.name == name), None)


class RateBorrower(Service):
    """An entry's loans.

    Attributes:
        entries: Number of entries that the owner counts.
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

    def cost(self, spec: WorkspaceSpec, tokens: int) -> float:
        """Return what a request counts against its workspace's rate."""
        if spec.default_tokens <= 0:
            return 1.0
        return float(tokens) if tokens > 0 else spec.default_tokens

    async def charge(
        self, spec: WorkspaceSpec, cost: float, request_id: str, patience_s: float
    ) -> None:
        """Spend a request's cost; waits at most ``patience_s`` for its tokens.

        Raises:
            RateExceeded: If the workspace's rate does not allow the request now.
        """
        if spec.rate_per_s <= 0:
            return
        advance = self._advances.setdefault(spec.name, Advance())
        if advance.take(cost, _now()):
            return
        lent = await self._borrow(spec, cost, patience_s)
        if lent.is_lent:
            advance.add(lent.advance, _now())
            await asyncio.sleep(lent.wait_ms / defaults.MS_PER_S)
            return
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
            "the workspace has spent its rate",
            retry_after_ms=max(lent.wait_ms, defaults.RATE_RETRY_MIN_MS),
        )

    def give_back(self, spec: WorkspaceSpec, cost: float) -> None:
        """Keep the cost of a request that did not run for the next one here."""
        if spec.rate_per_s > 0:
            self._advances.setdefault(spec.name, Advance()).add(cost, _now())

    async def _borrow(
        self, spec: WorkspaceSpec, cost: float, patience_s: float
    ) -> TokensLent:
        if _now() < self._silent_until:
            return self._use_emergency(spec, cost)
        wish = BorrowTokens(spec.name, cost, int(patience_s * defaults.MS_PER_S))
        try:
            lent = await self.kernel.find("controllers").request_repeatable(
                FLEET_GROUP,
                wish,
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
        return lent

    def _use_emergency(self, spec: WorkspaceSpec, cost: float) -> TokensLent:
        bucket = self._emergency.setdefault(spec.name, EmergencyBucket())
        wait_s = bucket.take(spec, self.entries, cost, _now())
        wait_ms = int(wait_s * defaults.MS_PER_S)
        return TokensLent(not wait_s, wait_ms, 0.0, self.entries)


def _now() -> float:
    return asyncio.get_running_loop().time()
