"""Services for rate accounts: the owner on the control leader, holders on entries."""

import asyncio
import itertools
import logging
from collections.abc import Callable

from .. import events
from ..decisions.accounts import AccountLog
from ..decisions.buckets import RateLimits
from ..decisions.grants import GrantAllocator, build_starting_answer
from ..decisions.holders import Action, Charged, GrantHolder, Refused, SendRequest
from ..defaults import (
    ACCOUNT_DRAIN_S,
    ACCOUNT_SWEEP_INTERVAL_S,
    GRANT_LEASE_S,
    GRANT_RESEND_S,
    OWNER_LEASE_S,
    OWNER_RENEW_INTERVAL_S,
    STATUS_OVER_RATE_S,
)
from ..eventloop import read_clock
from ..exceptions import (
    AccountOwnerUnavailable,
    ConsensusError,
    Forbidden,
    JasminewharfError,
    LinkError,
    NotLeader,
    ProposalRejected,
    RateExceeded,
    Refusal,
)
from ..kernel import Kernel, Service
from ..messages.accounts import (
    AccountBounds,
    CheckpointAccounts,
    TakeAccounts,
)
from ..messages.codec import decode, encode
from ..messages.control import GrantAnswer, GrantRequest
from .groups import GroupLog, GroupRequester

__all__ = ["ACCOUNTS_GROUP", "AccountHolder", "AccountOwner"]

ACCOUNTS_GROUP = "accounts"

_logger = logging.getLogger(__name__)


class AccountOwner(Service):
    """Grants tokens while this control host leads the log group ``accounts``.

    Args:
        kernel: The process's kernel.
        log: The log groups of this host.
        limits: Returns the limits in force of an account; None if there is no such
            account.
        owner: This host's node name.
        incarnation: The incarnation of this process.
        clock: Returns seconds that never go back.
    """

    name = "account-owner"

    def __init__(
        self,
        kernel: Kernel,
        log: GroupLog,
        limits: Callable[[str], RateLimits | None],
        owner: str,
        incarnation: int,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        super().__init__(kernel)
        self._clock = clock
        self._log = log
        self._limits = limits
        self._owner = owner
        self._incarnation = incarnation
        self._machine = AccountLog()
        self._allocator: GrantAllocator | None = None
        self._fence = 0
        self._checkpoint: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Join the group and renew the ownership while leading."""
        self._log.register_machine(ACCOUNTS_GROUP, self._machine)
        self.spawn(self._keep_ownership(), essential=True)
        self.spawn(self._sweep(), essential=True)

    async def answer(self, request: GrantRequest) -> GrantAnswer:
        """Answer a holder's request.

        Raises:
            NotLeader: If this host does not lead the group.
            ConsensusError: If a checkpoint that the grant needs cannot be committed.
        """
        while True:
            if not self._log.is_leader(ACCOUNTS_GROUP):
                raise NotLeader(ACCOUNTS_GROUP, "")
            allocator = self._allocator
            if allocator is None:
                return build_starting_answer(request)
            limits = self._limits(request.account)
            answer = allocator.answer(request, limits, self._clock())
            checkpoint = self._start_checkpoint(allocator)
            if answer is not None:
                return answer
            if checkpoint is None:
                raise ProposalRejected(
                    f"no checkpoint allows the grant from {request.account}"
                )
            await asyncio.shield(checkpoint)

    def list_over_rate(self) -> list[tuple[str, int]] | None:
        """Return accounts that lack tokens; None if this host is not the owner."""
        if self._allocator is None or not self._log.is_leader(ACCOUNTS_GROUP):
            return None
        return self._allocator.list_over_rate(self._clock(), STATUS_OVER_RATE_S)

    async def _keep_ownership(self) -> None:
        while True:
            if self._log.is_leader(ACCOUNTS_GROUP):
                try:
                    await self._renew_ownership()
                except (ConsensusError, LinkError, TimeoutError) as error:
                    events.emit(_logger, events.ACCOUNTS_LOST, error=repr(error))
            await asyncio.sleep(OWNER_RENEW_INTERVAL_S)

    async def _renew_ownership(self) -> None:
        confirmed_at = self._clock()
        # A confirmation after the lease time would be too old to permit grants.
        # asyncio.wait_for loses a cancellation that coincides with the result.
        async with asyncio.timeout(OWNER_LEASE_S):
            await self._log.read_barrier(ACCOUNTS_GROUP)
        if self._allocator is None or self._machine.fence != self._fence:
            self._allocator = None
            self._allocator = await self._take_accounts()
        self._allocator.extend(confirmed_at)

    async def _take_accounts(self) -> GrantAllocator:
        command = encode(TakeAccounts(self._owner, self._incarnation))
        _, result = await self._log.propose(ACCOUNTS_GROUP, command)
        taken = decode(result)
        self._fence = taken.fence
        events.emit(_logger, events.ACCOUNTS_TAKEN, fence=taken.fence)
        has_predecessor = taken.predecessor != 0
        return GrantAllocator(
            taken.bounds, has_predecessor=has_predecessor, now=self._clock()
        )

    def _start_checkpoint(self, allocator: GrantAllocator) -> asyncio.Task[None] | None:
        """Start a checkpoint if one is due; return the running one, if any."""
        if self._checkpoint is None or self._checkpoint.done():
            bounds = allocator.list_due_bounds(self._clock())
            if not bounds:
                return None
            self._spawn_checkpoint(allocator, bounds)
        return self._checkpoint

    def _spawn_checkpoint(
        self, allocator: GrantAllocator, bounds: list[AccountBounds]
    ) -> None:
        work = self._commit_bounds(allocator, self._fence, bounds)
        self._checkpoint = self.spawn(work)
        self._checkpoint.add_done_callback(_read_exception)

    async def _commit_bounds(
        self, allocator: GrantAllocator, fence: int, bounds: list[AccountBounds]
    ) -> None:
        number = allocator.begin_checkpoint(bounds, self._clock())
        command = encode(CheckpointAccounts(fence, number, bounds))
        try:
            _, result = await self._log.propose(ACCOUNTS_GROUP, command)
        except JasminewharfError as error:
            events.emit(_logger, events.CHECKPOINT_FAILED, error=repr(error))
            raise
        if not decode(result).accepted:
            if self._allocator is allocator:
                self._allocator = None
            raise NotLeader(ACCOUNTS_GROUP, "")
        allocator.end_checkpoint(bounds, number)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(ACCOUNT_SWEEP_INTERVAL_S)
            allocator = self._allocator
            running = self._checkpoint is not None and not self._checkpoint.done()
            if allocator is None or running or not allocator.may_grant(self._clock()):
                continue
            allocator.refresh_limits(self._limits, self._clock())
            removals = allocator.list_idle_removals(self._clock())
            if removals:
                self._spawn_checkpoint(allocator, removals)


class AccountHolder(Service):
    """Charges calls on an entry to tokens granted by the owner.

    Args:
        kernel: The process's kernel.
        requester: Sends requests to the leader of the group.
        holder: This entry's node name.
        incarnation: The incarnation of this process.
        clock: Returns seconds that never go back.
    """

    name = "accounts"

    def __init__(
        self,
        kernel: Kernel,
        requester: GroupRequester,
        holder: str,
        incarnation: int,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        super().__init__(kernel)
        self._clock = clock
        self._requester = requester
        self._holder = GrantHolder(holder, incarnation)
        self._counter = itertools.count(1)
        self._waiting: dict[str, asyncio.Future[None]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    async def charge(self, account: str, tokens: int, deadline: float) -> str:
        """Charge a call's maximum cost and return the charge's identifier.

        Args:
            account: The account's name.
            tokens: The maximum cost in tokens.
            deadline: Monotonic seconds.

        Raises:
            RateExceeded: If the account does not have the tokens.
            AccountOwnerUnavailable: If no owner answered in time.
            Forbidden: If there is no such account.
        """
        charge_id = f"{next(self._counter):x}"
        future = asyncio.get_running_loop().create_future()
        self._waiting[charge_id] = future
        now = self._clock()
        actions = self._holder.charge(account, charge_id, tokens, deadline, now)
        self._carry_out(account, actions)
        try:
            await future
        except asyncio.CancelledError:
            self.refund(account, charge_id, 0)
            raise
        finally:
            self._waiting.pop(charge_id, None)
        return charge_id

    def refund(self, account: str, charge_id: str, spent: int) -> None:
        """End a charge of which ``spent`` tokens were used; repeats have no effect."""
        now = self._clock()
        actions = self._holder.refund(account, charge_id, spent, now)
        self._carry_out(account, actions)

    async def drain(self) -> None:
        """Return the unspent tokens to the owner."""
        now = self._clock()
        for account in self._holder.accounts():
            self._carry_out(account, self._holder.drain(account, now))
        give_up_at = now + ACCOUNT_DRAIN_S
        while not self._holder.is_drained():
            if self._clock() >= give_up_at:
                events.emit(_logger, events.GRANTS_NOT_RETURNED)
                return
            await asyncio.sleep(GRANT_RESEND_S / 10)

    async def stop(self) -> None:
        """Cancel timers and requests."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        await super().stop()

    def _carry_out(self, account: str, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendRequest):
                self.spawn(self._ask(action.request))
            else:
                self._end_wait(action)
        self._set_timer(account)

    def _end_wait(self, action: Charged | Refused) -> None:
        future = self._waiting.get(action.charge_id)
        if future is None or future.done():
            return
        if isinstance(action, Charged):
            future.set_result(None)
        else:
            future.set_exception(_make_refusal(action))

    def _set_timer(self, account: str) -> None:
        """Schedule the next wake-up, unless an earlier timer is pending.

        An earlier timer schedules the next one when it fires. Nearly every call
        delays the wake-up a little, and replacing the timer each time would fill the
        event loop's heap with cancelled timers.
        """
        now = self._clock()
        next_wakeup = self._holder.next_wakeup(account, now)
        if next_wakeup is None:
            return
        loop = asyncio.get_running_loop()
        due = loop.time() + min(max(0.0, next_wakeup - now), GRANT_LEASE_S)
        timer = self._timers.get(account)
        if timer is not None and timer.when() <= due:
            return
        if timer is not None:
            timer.cancel()
        self._timers[account] = loop.call_at(due, self._wake, account)

    def _wake(self, account: str) -> None:
        self._timers.pop(account, None)
        self._carry_out(account, self._holder.poll(account, self._clock()))

    async def _ask(self, request: GrantRequest) -> None:
        try:
            answer = await self._requester.request(
                ACCOUNTS_GROUP, request, GRANT_LEASE_S
            )
        except JasminewharfError as error:
            events.emit(_logger, events.GRANT_REQUEST_FAILED, error=repr(error))
            actions = self._holder.handle_failure(request.account, self._clock())
        else:
            actions = self._holder.handle_answer(answer, self._clock())
        self._carry_out(request.account, actions)


def _make_refusal(action: Refused) -> Refusal:
    retry_after_ms = action.retry_after_ms
    if action.reason == "account":
        return Forbidden("the workspace has no rate for this service")
    if action.reason == "rate":
        return RateExceeded(
            "the workspace has exceeded its rate", retry_after_ms=retry_after_ms
        )
    return AccountOwnerUnavailable(
        "the owner of the rate account did not answer", retry_after_ms=retry_after_ms
    )


def _read_exception(task: asyncio.Task[None]) -> None:
    """Mark a failed checkpoint's error as retrieved; its waiters receive it too."""
    if not task.cancelled():
        task.exception()
