"""Retries that one entry may send, as a part of those of all entries."""

import asyncio
from typing import ClassVar

from ..decisions.presence import RecentPeak
from ..decisions.retries import EntryRetryBudget, RetryAllowance, divide_retries
from ..kernel import Kernel, Service
from ..messages.servers import EntryCount

__all__ = ["RetryBudgets"]


class RetryBudgets(Service):
    """Keeps a budget of retries for each service."""

    name: ClassVar[str] = "retry-budgets"
    requires: ClassVar[tuple[str, ...]] = ("process", "controllers")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._budgets: dict[str, EntryRetryBudget] = {}
        self._entries = RecentPeak(kernel.settings.fleet.bounds.retry_window_s)
        self._counts: dict[str, int] = {}
        self._metrics = kernel.find("process").metrics

    async def start(self) -> None:
        """Listen for the number of entries."""
        self.kernel.find("controllers").handle(EntryCount, self._take_count)

    @property
    def entries(self) -> int:
        """Number of entries that share the retries; 0 while it is unknown."""
        return self._entries.read(_now())

    def deposit(self, service: str) -> None:
        """Count a request's first attempt at a service."""
        self._find(service).deposit(self._allowance(), _now())

    def withdraw(self, service: str) -> bool:
        """Take one retry at a service; return False if there is none."""
        if self._find(service).withdraw(self._allowance(), _now()):
            return True
        self._metrics.count("retry_budget_spent_total", service=service)
        return False

    def _find(self, service: str) -> EntryRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            is_first = self.kernel.settings.fleet.first_start
            budget = EntryRetryBudget(_now(), is_first=is_first)
            self._budgets[service] = budget
        return budget

    def _allowance(self) -> RetryAllowance:
        return divide_retries(self.kernel.settings.fleet.bounds, self.entries)

    def _take_count(self, host: str, count: EntryCount) -> None:
        links = self.kernel.find("controllers").links
        self._counts = {h: n for h, n in self._counts.items() if h in links}
        self._counts[host] = count.entries
        self._entries.note(max(self._counts.values()), _now())


def _now() -> float:
    return asyncio.get_running_loop().time()
