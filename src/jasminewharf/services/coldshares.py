"""An entry's sends to servers that can turn cold without a permit of the owner."""

import asyncio

from .. import defaults
from ..decisions.sendbounds import (
    SendBudget,
    SpacedShare,
    rank_entry,
    split_budget,
)
from ..decisions.serverlimits import ServerLimit
from ..kernel import Kernel

__all__ = ["ColdShares"]

# Sends a second, where a budget is too small for any.
_LOWEST = 0.01


class ColdShares:
    """Finds whether this entry may send to a server without asking."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        # By name: a server that starts again takes no more for it.
        self._shares: dict[str, SpacedShare] = {}
        # The same for servers that were warm when the owner fell silent.
        self._warm: dict[str, SpacedShare] = {}
        self._random = kernel.find("process").random
        self._holds: dict[str, tuple[float, bool]] = {}

    def find_budget(self, limit: ServerLimit) -> SendBudget | None:
        """Return how a server's bound is split; None if it never turns cold."""
        per_s = limit.cold_per_s
        if per_s is None:
            return None
        bounds = self._kernel.settings.fleet.bounds
        return split_budget(per_s, bounds.cold_overrun, bounds.cold_slack)

    def find_local_limit(self, limit: ServerLimit) -> float:
        """Return the limit that entries that reach no owner share among themselves."""
        limits = [limit.per_s or 0.0] if limit.is_limited else []
        if (budget := self.find_budget(limit)) is not None:
            limits.append(budget.local_per_s / defaults.LOCAL_SHARE_PART)
        return min(limits, default=0.0)

    def take(
        self, limit: ServerLimit, *, is_silent: bool, held_until: float
    ) -> SpacedShare | None:
        """Return the share by which a request may be sent now; None if it may not.

        While no owner issues permits, the other entries send now and then to a server
        that its agent has just said to be warm.

        Args:
            limit: The server's limit; one that the server names has no such share.
            is_silent: Whether no owner issues permits now.
            held_until: When a new owner begins to issue permits, if that is known.
        """
        budget = self.find_budget(limit)
        if budget is None or limit.is_limited or limit.cold is None:
            return None
        now = _now()
        name = limit.server.server
        share = self._shares.get(name)
        if share is None:
            first_at = now + defaults.COLD_SPACING_S
            share = self._shares[name] = SpacedShare(first_at)
            self._forget()
        if self._is_holder(name, budget, now):
            by = "place"
        elif (
            is_silent
            and limit.cold.is_known_warm(now)
            and not now < held_until < now + defaults.COLD_SPACING_S
        ):
            by = "warmth"
            share = self._find_warm(name, budget, now)
        else:
            return None
        if not share.take(now):
            return None
        self._kernel.find("process").metrics.count("cold_spaced_sends_total", by=by)
        return share

    def note_owner(self) -> None:
        """Record that the owner answers."""
        self._warm.clear()

    def _find_warm(self, server: str, budget: SendBudget, now: float) -> SpacedShare:
        """Return the share at a warm server; entries begin at different times."""
        share = self._warm.get(server)
        if share is None:
            others = max(len(self._list_entries()) - budget.holders, 1)
            spacing_s = others / max(budget.warm_per_s, budget.local_per_s, _LOWEST)
            spacing_s = max(spacing_s, defaults.COLD_SPACING_S)
            first_at = now + spacing_s * self._random.random()
            share = self._warm[server] = SpacedShare(first_at, spacing_s)
        return share

    def _is_holder(self, server: str, budget: SendBudget, now: float) -> bool:
        known = self._holds.get(server)
        if known is not None and now < known[0]:
            return known[1]
        directory = self._kernel.find("directory")
        # Before that, this entry may not know of the others that come before it.
        is_holder = directory.is_settled() and self._find_place(server) < budget.holders
        self._holds[server] = (now + defaults.COLD_RANK_KEPT_S, is_holder)
        return is_holder

    def _find_place(self, server: str) -> int:
        return rank_entry(server, self._kernel.settings.node, self._list_entries())

    def _list_entries(self) -> list[str]:
        digest = self._kernel.find("reports").digest.values()
        return [report.node for report in digest if report.role == "entry"]

    def _forget(self) -> None:
        listed = self._kernel.find("directory").directory.servers
        for name in [name for name in self._shares if name not in listed]:
            del self._shares[name]
            self._holds.pop(name, None)


def _now() -> float:
    return asyncio.get_running_loop().time()
