"""The owner's service: lends tokens of workspaces' rates to the entries."""

import asyncio
import contextlib
import logging
import math
from collections import defaultdict
from typing import ClassVar

from .. import defaults, events
from ..decisions.configurations import WorkspaceSpec
from ..decisions.lending import Loan, OverrunLimits, TokenLender, TokenTicket
from ..exceptions import NotLeader
from ..identifiers import new_incarnation
from ..kernel import Kernel, Service
from ..messages.servers import (
    BorrowTokens,
    OwnerBegan,
    ReportLent,
    ReturnTokens,
    TokensLent,
)
from .control import FLEET_GROUP
from .link import Peer

__all__ = ["RateLender"]

_logger = logging.getLogger(__name__)
_Grants = list[tuple[float, float]]


class RateLender(Service):
    """Lends tokens to entries while this host leads the fleet's log group."""

    name: ClassVar[str] = "rate-lender"
    requires: ClassVar[tuple[str, ...]] = ("log", "control", "view-on-control")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._lender: TokenLender | None = None
        self._owner = 0
        self._began = 0.0
        self._started = _now()
        # What entries were granted before this owner began, with when they told it.
        self._reports: dict[str, tuple[float, ReportLent]] = {}
        self._decided: dict[str, list[int]] = {}

    async def start(self) -> None:
        """Register the handlers and start to acquire the ownership."""
        control = self.kernel.find("control")
        control.handle(BorrowTokens, self._lend)
        control.handle(ReturnTokens, self._take_back)
        control.handle(ReportLent, self._take_report)
        self.spawn(self._take_over_forever(), essential=True)
        self.spawn(self._log_forever(), essential=True)

    async def _take_over_forever(self) -> None:
        """Create the lender as soon as this host leads, not at the first request."""
        while True:
            with contextlib.suppress(NotLeader):
                lender = self._require_lender()
                lender.note_linked(set(self._linked_entries()))
                if lender.is_assumed:
                    self._ask_reports()
            await asyncio.sleep(defaults.RATE_OWNER_POLL_S)

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
                bounds.rate_window_s,
                bounds.rate_overrun,
                bounds.rate_slack_tokens,
                bounds.rate_carry_s,
            )
            age_s = _now() - self._started
            is_first = fleet.first_start and age_s < defaults.FOUNDING_S
            self._began = _now()
            self._lender = TokenLender(limits, self._began, is_first=is_first)
            self._owner = new_incarnation()
            self._reports.clear()
            events.emit(
                _logger,
                events.RATE_OWNER_BEGAN,
                owner=self._owner,
                is_first=is_first,
                is_restored=False,
                reports=0,
            )
        return self._lender

    # What earlier owners lent.

    def _linked_entries(self) -> dict[str, Peer]:
        return {
            peer.node: peer
            for peer in self.kernel.find("control").peers()
            if peer.hello is not None and peer.hello.role == "entry"
        }

    def _ask_reports(self) -> None:
        """Ask the linked entries that have not reported, while the news is of use."""
        if _now() - self._began > defaults.RATE_REPORTS_S:
            return
        for node, peer in self._linked_entries().items():
            if node not in self._reports:
                peer.send(OwnerBegan(self._owner))

    def _take_report(self, peer: Peer, report: ReportLent) -> None:
        lender = self._lender
        if lender is None or report.owner != self._owner or not lender.is_assumed:
            return
        self._reports[peer.node] = _now(), report
        linked = self._linked_entries()
        expected = max(report.entries for _, report in self._reports.values())
        is_complete = all(report.is_complete for _, report in self._reports.values())
        if linked.keys() - self._reports.keys() or len(self._reports) < expected:
            return
        if not is_complete:
            return
        lender.restore(self._merge_reports(), _now())
        events.emit(
            _logger,
            events.RATE_OWNER_BEGAN,
            owner=self._owner,
            is_first=False,
            is_restored=True,
            reports=len(self._reports),
        )

    def _merge_reports(self) -> dict[str, _Grants]:
        merged: dict[str, _Grants] = defaultdict(list)
        for told_at, report in self._reports.values():
            for workspace, grants in report.grants:
                merged[workspace] += [
                    (min(told_at - age_ms / defaults.MS_PER_S, self._began), tokens)
                    for age_ms, tokens in grants
                ]
        return dict(merged)

    # Tokens.

    def _lend(self, peer: Peer, request: BorrowTokens) -> TokensLent:
        lender = self._require_lender()
        now = _now()
        entries = lender.count_entries(peer.node, now)
        spec = self._find_workspace(request.workspace)
        if spec is None:
            return TokensLent(False, 0, 0.0, entries, self._owner)
        if not lender.is_known(spec, peer.node, request.number):
            self._take_outdated(lender, spec, request)
        patience_s = request.patience_ms / defaults.MS_PER_S
        if request.number:
            ticket = TokenTicket(
                peer.node,
                request.number,
                request.tokens,
                patience_s,
                request.waited_ms / defaults.MS_PER_S,
                request.priority,
            )
            loan = lender.ask(spec, ticket, now)
        else:
            loan = lender.lend(spec, request.tokens, patience_s, now)
        self._count(spec.name, loan)
        return TokensLent(
            loan.is_lent,
            math.ceil(loan.wait_s * defaults.MS_PER_S),
            loan.advance,
            entries,
            self._owner,
            loan.is_queued,
            lender.is_scarce(spec.name),
            lender.is_assumed,
            lender.read_level(spec.name),
            lender.find_place(peer.node),
        )

    def _take_outdated(
        self, lender: TokenLender, spec: WorkspaceSpec, request: BorrowTokens
    ) -> None:
        """Take tokens back that a request exchanges for others."""
        if request.returned > 0 and request.returned_owner == self._owner:
            lent_at = _now() - request.returned_age_ms / defaults.MS_PER_S
            lender.take_back(spec, request.returned, lent_at, _now())

    def _take_back(self, peer: Peer, returned: ReturnTokens) -> None:
        """Accept returned tokens; tokens lent by other owners are ignored."""
        if self._lender is None or returned.owner != self._owner:
            return
        if not self.kernel.find("log").is_leader(FLEET_GROUP):
            return
        spec = self._find_workspace(returned.workspace)
        if spec is None:
            return
        if returned.number:
            self._lender.withdraw(spec, peer.node, returned.number, _now())
        if returned.tokens > 0:
            lent_at = _now() - returned.age_ms / defaults.MS_PER_S
            self._lender.take_back(spec, returned.tokens, lent_at, _now())

    def _find_workspace(self, name: str) -> WorkspaceSpec | None:
        table = self.kernel.find("view-on-control").table
        if table is None:
            return None
        workspaces = table.configuration.workspaces
        return next((item for item in workspaces if item.name == name), None)

    # The account.

    def _count(self, workspace: str, loan: Loan) -> None:
        """Count an answer that was not a loan at once, for the account."""
        if loan.is_lent:
            return
        counts = self._decided.setdefault(workspace, [0, 0, 0])
        counts[0] += loan.is_queued
        counts[1] += not loan.is_queued
        wait_ms = math.ceil(loan.wait_s * defaults.MS_PER_S)
        counts[2] = max(counts[2], wait_ms)

    async def _log_forever(self) -> None:
        while True:
            await asyncio.sleep(defaults.ACCOUNT_LOG_S)
            decided, self._decided = self._decided, {}
            if self._lender is None or not decided:
                continue
            busiest = sorted(decided.items(), key=lambda item: -item[1][1])
            events.emit(
                _logger,
                events.RATE_OWNED,
                owner=self._owner,
                is_assumed=self._lender.is_assumed,
                workspaces={
                    name: {
                        "queued": queued,
                        "refused": refused,
                        "longest_ms": longest_ms,
                        "level": round(self._lender.read_level(name)),
                    }
                    for name, (queued, refused, longest_ms) in busiest[
                        : defaults.RATE_WORKSPACES_SHOWN
                    ]
                },
            )


def _now() -> float:
    return asyncio.get_running_loop().time()
