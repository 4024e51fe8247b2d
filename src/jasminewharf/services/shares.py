"""The services that divide and spend the workspaces' rates."""

import asyncio
import logging
import math
from typing import ClassVar

from .. import defaults, events
from ..decisions.configurations import WorkspaceSpec
from ..decisions.routes import RouteTable
from ..decisions.shares import DemandMeter, ReserveBucket, ShareBucket, ShareOwner
from ..exceptions import (
    ConsensusError,
    JasminewharfError,
    LinkError,
    NotLeader,
    RateExceeded,
)
from ..kernel import Kernel, Service
from ..messages.servers import BorrowTokens, RateShares, ShareUsage, TokensLent
from .control import FLEET_GROUP
from .link import Peer

__all__ = ["ShareHolder", "ShareKeeper"]

_logger = logging.getLogger(__name__)


class ShareKeeper(Service):
    """The owner of the rates: the leader of the fleet's log."""

    name: ClassVar[str] = "share-keeper"
    requires: ClassVar[tuple[str, ...]] = ("log", "control", "view-on-control")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._owner: ShareOwner | None = None
        self._reserves: dict[str, ReserveBucket] = {}
        self._started = _now()

    async def start(self) -> None:
        """Answer entries."""
        control = self.kernel.find("control")
        control.handle(ShareUsage, self._divide)
        control.handle(BorrowTokens, self._lend)
        self.kernel.find("view-on-control").listen(self._take_configuration)

    def _lead(self) -> ShareOwner:
        """Return the owner's state, new in each time of leading.

        Raises:
            NotLeader: If this host does not lead.
        """
        log = self.kernel.find("log")
        if not log.is_leader(FLEET_GROUP):
            self._owner = None
            self._reserves.clear()
            raise NotLeader(FLEET_GROUP, log.leader(FLEET_GROUP))
        if self._owner is None:
            self._owner = ShareOwner(defaults.SHARE_LEASE_S, _now())
            if self._is_founding:
                self._owner.skip_settling()
        return self._owner

    @property
    def _is_founding(self) -> bool:
        """Whether the fleet starts for the first time, so that nobody holds a share."""
        age_s = _now() - self._started
        return self.kernel.settings.fleet.first_start and age_s < (
            defaults.SHARE_LEASE_S / 2
        )

    def _divide(self, peer: Peer, usage: ShareUsage) -> RateShares:
        owner = self._lead()
        shares = owner.divide(usage.node, usage.incarnation, usage.demand, _now())
        return RateShares(
            int(defaults.SHARE_LEASE_S * defaults.SHARE_HOLDER_PART * 1000),
            owner.count(_now()),
            list(shares.items()),
        )

    def _lend(self, peer: Peer, wish: BorrowTokens) -> TokensLent:
        self._lead()
        spec = self._find_workspace(wish.workspace)
        if spec is None:
            return TokensLent(False, 0)
        reserve = self._reserves.get(wish.workspace)
        if reserve is None:
            # A new owner does not know what the last one lent: it starts empty.
            slack = self._slack(spec)
            reserve = ReserveBucket(spec, slack, _now(), is_full=self._is_founding)
            self._reserves[wish.workspace] = reserve
        patience_s = wish.patience_ms / defaults.MS_PER_S
        is_lent, wait_s = reserve.lend(wish.tokens, patience_s, _now())
        return TokensLent(is_lent, math.ceil(wait_s * defaults.MS_PER_S))

    def _slack(self, spec: WorkspaceSpec) -> float:
        """Return the part of the allowed overrun that requests may use."""
        bounds = self.kernel.settings.fleet.bounds
        owed = spec.rate_per_s * bounds.rate_window_s + spec.burst
        overrun = owed * bounds.rate_overrun + bounds.rate_slack_tokens
        return overrun * defaults.SHARE_SLACK_PART

    def _find_workspace(self, name: str) -> WorkspaceSpec | None:
        table = self.kernel.find("view-on-control").table
        if table is None:
            return None
        return next((w for w in table.configuration.workspaces if w.name == name), None)

    def _take_configuration(self, table: RouteTable) -> None:
        for workspace in table.configuration.workspaces:
            reserve = self._reserves.get(workspace.name)
            if reserve is not None:
                reserve.set(workspace)


class ShareHolder(Service):
    """An entry's shares of the rates.

    Attributes:
        entries: Number of entries that the owner counts.
    """

    name: ClassVar[str] = "shares"
    requires: ClassVar[tuple[str, ...]] = ("process", "controllers", "view")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.entries = defaults.SHARE_ENTRIES_GUESS
        self._buckets: dict[str, ShareBucket] = {}
        self._meters: dict[str, DemandMeter] = {}
        self._shares: dict[str, float] = {}
        self._specs: dict[str, WorkspaceSpec] = {}
        self._lease_ends = 0.0
        self._has_contact = False
        self._metrics = kernel.find("process").metrics

    async def start(self) -> None:
        """Ask for shares at intervals."""
        self.kernel.find("view").listen(self._take_configuration)
        self.spawn(self._ask_forever(), essential=True)

    def cost(self, spec: WorkspaceSpec, tokens: int) -> float:
        """Return what a request counts against its workspace's rate."""
        if spec.default_tokens <= 0:
            return 1.0
        return float(tokens) if tokens > 0 else spec.default_tokens

    async def charge(
        self, spec: WorkspaceSpec, cost: float, request_id: str, patience_s: float
    ) -> None:
        """Spend a request's cost from the share or, if that is spent, the reserve.

        Waits at most ``patience_s`` for tokens of the reserve.

        Raises:
            RateExceeded: If the workspace's rate does not allow the request now.
        """
        if spec.rate_per_s <= 0:
            return
        self._meter(spec.name).add(cost)
        bucket = self._buckets.get(spec.name)
        missing = cost if bucket is None else bucket.take(cost, _now())
        if not missing:
            return
        lent = await self._borrow(spec, missing, patience_s)
        if lent.is_lent and lent.wait_ms:
            await asyncio.sleep(lent.wait_ms / defaults.MS_PER_S)
        if not lent.is_lent:
            self.give_back(spec, cost - missing)
            events.emit(
                _logger,
                events.RATE_REFUSED,
                request_id=request_id,
                workspace=spec.name,
                cost=round(cost),
                missing=round(missing),
                share=round(self._shares.get(spec.name, 0.0), 4),
                rate=round(spec.rate_per_s),
                wait_ms=lent.wait_ms,
                lease_left_ms=int((self._lease_ends - _now()) * defaults.MS_PER_S),
            )
            self._metrics.count("rate_refusals_total", workspace=spec.name)
            raise RateExceeded(
                "the workspace has spent its rate",
                retry_after_ms=max(lent.wait_ms, defaults.RATE_RETRY_MIN_MS),
            )

    def give_back(self, spec: WorkspaceSpec, cost: float) -> None:
        """Return the cost of a request that did not run."""
        bucket = self._buckets.get(spec.name)
        if spec.rate_per_s > 0 and bucket is not None:
            bucket.give_back(cost)

    async def _borrow(
        self, spec: WorkspaceSpec, cost: float, patience_s: float
    ) -> TokensLent:
        wish = BorrowTokens(spec.name, cost, int(patience_s * defaults.MS_PER_S))
        try:
            return await self.kernel.find("controllers").request_repeatable(
                FLEET_GROUP,
                wish,
                defaults.BORROW_TIMEOUT_S,
                defaults.CONTROL_QUICK_ATTEMPT_S,
            )
        except (ConsensusError, LinkError) as error:
            self._metrics.count("rate_owner_unreachable_total")
            events.emit(_logger, events.RATE_REFUSED, workspace=spec.name, error=error)
            return TokensLent(False, int(defaults.BORROW_TIMEOUT_S * 1000))

    def _meter(self, workspace: str) -> DemandMeter:
        meter = self._meters.get(workspace)
        if meter is None:
            meter = self._meters[workspace] = DemandMeter(_now())
        return meter

    async def _ask_forever(self) -> None:
        while True:
            if self._specs:
                await self._ask()
            self._check_lease()
            await asyncio.sleep(defaults.SHARE_INTERVAL_S)

    async def _ask(self) -> None:
        identity = self.kernel.find("process").identity
        now = _now()
        demand = [
            (name, self._meter(name).read(now), self._shares.get(name, 0.0))
            for name in self._specs
        ]
        usage = ShareUsage(identity.node, identity.incarnation, demand)
        try:
            answer = await self.kernel.find("controllers").request_repeatable(
                FLEET_GROUP,
                usage,
                defaults.CONTROL_ATTEMPT_S,
                defaults.CONTROL_QUICK_ATTEMPT_S,
            )
        except JasminewharfError as error:
            self._metrics.count("rate_share_failures_total")
            events.emit(_logger, events.GRANT_REQUEST_FAILED, error=error)
            return
        self._lease_ends = now + answer.lease_ms / defaults.MS_PER_S
        self.entries = max(answer.entries, 1)
        self._set_shares(dict(answer.shares))

    def _set_shares(self, shares: dict[str, float]) -> None:
        # An earlier life may have spent the burst of its shares, but for the fleet's
        # first start.
        is_first = self.kernel.settings.fleet.first_start and not self._has_contact
        for name, share in shares.items():
            spec = self._specs.get(name)
            if spec is None:
                continue
            bucket = self._buckets.setdefault(name, ShareBucket())
            bucket.set(spec, share, _now(), fill=is_first)
            self._shares[name] = share
        self._has_contact = self._has_contact or bool(shares)

    def _check_lease(self) -> None:
        if not self._shares or _now() < self._lease_ends:
            return
        events.emit(_logger, events.SHARES_EXPIRED, workspaces=len(self._shares))
        for name in self._shares:
            self._buckets[name].set(self._specs[name], 0.0, _now(), fill=False)
        self._shares = {}

    def _take_configuration(self, table: RouteTable) -> None:
        now = _now()
        self._specs = {
            workspace.name: workspace
            for workspace in table.configuration.workspaces
            if workspace.rate_per_s > 0
        }
        for name in [name for name in self._buckets if name not in self._specs]:
            del self._buckets[name]
            self._shares.pop(name, None)
        for name, share in self._shares.items():
            self._buckets[name].set(self._specs[name], share, now, fill=False)


def _now() -> float:
    return asyncio.get_running_loop().time()
