"""Rate policies to compare: the product's grants and two simple baselines."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from ..decisions.buckets import RateLimits
from ..exceptions import LinkTimeout, RateExceeded
from ..kernel import Kernel
from ..registry import register
from ..services.accounts import ACCOUNTS_GROUP, AccountHolder, AccountOwner
from .ideal import IdealBucket
from .virtual import MemoryLog, MemoryNetwork

__all__ = ["POLICIES", "RatePolicy"]

_COMMIT_S = 0.004
_DELAY_S = 0.0005
_ELECTION_S = 1.0
_ASK_TIMEOUT_S = 2.5


class RatePolicy(Protocol):
    """Admission to accounts over a fleet of entries."""

    messages: int

    async def start(self) -> None:
        """Start the processes."""

    async def charge(self, entry: int, account: str, tokens: int) -> Any:
        """Charge a call at an entry; raises a refusal if it is not admitted."""

    def refund(self, entry: int, account: str, charge: Any, spent: int) -> None:
        """End a call's charge."""

    async def kill_owner(self) -> None:
        """Stop the process that owns the accounts and let another take over."""

    async def stop(self) -> None:
        """Stop the processes."""


PolicyFactory = Callable[[random.Random, int, dict[str, RateLimits]], RatePolicy]
POLICIES: dict[str, PolicyFactory] = {}


@register(POLICIES, "grants")
class GrantsPolicy:
    """The product's services over a log and a network in memory."""

    def __init__(
        self, source: random.Random, entries: int, limits: dict[str, RateLimits]
    ) -> None:
        self._source = source
        self._limits = limits
        self._entry_count = entries
        self._owners: list[AccountOwner] = []
        self._entries: list[AccountHolder] = []

    @property
    def messages(self) -> int:
        """Requests to the owner, resends included."""
        return self._network.requests

    async def start(self) -> None:
        """Start two control hosts and the entries."""
        clock = asyncio.get_running_loop().time
        kernel = Kernel(None)
        self._log = MemoryLog(self._source, _COMMIT_S)
        self._network = MemoryNetwork(self._source, _DELAY_S, 0.0)
        self._members = [self._log.add_member() for _ in range(2)]
        for number, member in enumerate(self._members):
            owner = AccountOwner(
                kernel, member, self._limits.get, f"control-{number}", number, clock
            )
            self._owners.append(owner)
            await owner.start()
        for number in range(self._entry_count):
            holder = AccountHolder(
                kernel, self._network, f"entry-{number}", number, clock
            )
            self._entries.append(holder)
        self._network.serve(ACCOUNTS_GROUP, self._owners[0].answer)
        await asyncio.sleep(0.5)

    async def charge(self, entry: int, account: str, tokens: int) -> str:
        """Charge a call through the entry's holder."""
        deadline = asyncio.get_running_loop().time() + 10.0
        return await self._entries[entry].charge(account, tokens, deadline)

    def refund(self, entry: int, account: str, charge: str, spent: int) -> None:
        """End a call's charge at its entry."""
        self._entries[entry].refund(account, charge, spent)

    async def kill_owner(self) -> None:
        """Stop the leader; after an election the other host leads."""
        self._network.serve(ACCOUNTS_GROUP, _refuse)
        self._log.leader = None
        await self._owners[0].stop()
        await asyncio.sleep(_ELECTION_S)
        self._log.leader = self._members[1]
        self._network.serve(ACCOUNTS_GROUP, self._owners[1].answer)

    async def stop(self) -> None:
        """Stop all services."""
        for service in [*self._entries, *self._owners]:
            await service.stop()


async def _refuse(message: Any) -> Any:
    raise LinkTimeout("no leader")


@register(POLICIES, "static-shares")
class StaticShares:
    """Every entry has an ideal bucket with an equal share of rate and burst."""

    def __init__(
        self, source: random.Random, entries: int, limits: dict[str, RateLimits]
    ) -> None:
        self.messages = 0
        self._buckets = {
            (entry, account): IdealBucket(
                RateLimits(limit.rate / entries, limit.burst // entries), 0.0
            )
            for entry in range(entries)
            for account, limit in limits.items()
        }

    async def start(self) -> None:
        """Nothing to start."""

    async def charge(self, entry: int, account: str, tokens: int) -> int:
        """Charge the entry's own bucket."""
        bucket = self._buckets[(entry, account)]
        now = asyncio.get_running_loop().time()
        if not bucket.holds(tokens, now):
            raise RateExceeded("the entry's share is spent")
        return bucket.charge(tokens, now)

    def refund(self, entry: int, account: str, charge: int, spent: int) -> None:
        """End the charge at the entry's own bucket."""
        now = asyncio.get_running_loop().time()
        self._buckets[(entry, account)].end(charge, spent, now)

    async def kill_owner(self) -> None:
        """There is no owner."""

    async def stop(self) -> None:
        """Nothing to stop."""


class _Charge(NamedTuple):
    """A charge at the bucket of one owner's life."""

    bucket: IdealBucket
    number: int


@register(POLICIES, "ask-every-request")
class AskEveryRequest:
    """One ideal bucket in one process; every call asks it, every end tells it.

    Unlike the grants it needs a working owner for every call.
    """

    def __init__(
        self, source: random.Random, entries: int, limits: dict[str, RateLimits]
    ) -> None:
        self._network = MemoryNetwork(source, _DELAY_S, 0.0)
        self._limits = limits
        self._buckets: dict[str, IdealBucket] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def messages(self) -> int:
        """Requests to the owner."""
        return self._network.requests

    async def start(self) -> None:
        """Start with full buckets."""
        self._open(full=True)

    def _open(self, *, full: bool) -> None:
        now = asyncio.get_running_loop().time()
        self._buckets = {
            account: IdealBucket(limit, now) for account, limit in self._limits.items()
        }
        if not full:
            for account, limit in self._limits.items():
                bucket = self._buckets[account]
                bucket.end(bucket.charge(limit.burst, now), limit.burst, now)
        self._network.serve(ACCOUNTS_GROUP, self._answer)

    async def _answer(self, message: tuple[str, int, _Charge | None]) -> _Charge | None:
        account, tokens, charge = message
        bucket = self._buckets[account]
        now = asyncio.get_running_loop().time()
        if charge is not None:
            if charge.bucket is bucket:
                bucket.end(charge.number, tokens, now)
            return None
        if not bucket.holds(tokens, now):
            return None
        return _Charge(bucket, bucket.charge(tokens, now))

    async def charge(self, entry: int, account: str, tokens: int) -> _Charge:
        """Ask the owner, again until it answers or the wait is over."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + _ASK_TIMEOUT_S
        while loop.time() < give_up_at:
            try:
                charge = await self._network.request(
                    ACCOUNTS_GROUP, (account, tokens, None), 0.25
                )
            except LinkTimeout:
                await asyncio.sleep(0.05)
                continue
            if charge is not None:
                return charge
            break
        raise RateExceeded("the rate is spent")

    def refund(self, entry: int, account: str, charge: _Charge, spent: int) -> None:
        """Tell the owner what the call spent."""
        task = asyncio.create_task(self._tell((account, spent, charge)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tell(self, message: tuple[str, int, _Charge]) -> None:
        try:
            await self._network.request(ACCOUNTS_GROUP, message, 0.25)
        except LinkTimeout:
            return

    async def kill_owner(self) -> None:
        """Lose the buckets; a successor may not grant a burst again."""
        self._network.serve(ACCOUNTS_GROUP, _refuse)
        await asyncio.sleep(_ELECTION_S)
        self._open(full=False)

    async def stop(self) -> None:
        """Nothing to stop."""
