"""An adversarial model of rate accounts for seeded schedules.

One true time drives processes with clocks of their own. Messages are lost,
duplicated, reordered and delayed without bound; holders crash; the owner changes
while its predecessor still answers; proposals are lost or committed late. Every
step is one call, so that random walks and hypothesis share the model.
"""

import random
from typing import Any

from ..decisions.accounts import AccountLog
from ..decisions.buckets import RateLimits
from ..decisions.grants import GrantAllocator, add_drift_margin
from ..decisions.holders import Charged, SendRequest
from ..defaults import (
    GRANT_ASK_INTERVAL_S,
    GRANT_LEASE_S,
    OWNER_LEASE_S,
)
from ..messages.accounts import CheckpointAccounts, TakeAccounts
from ..messages.codec import decode, encode
from ..messages.control import GrantRequest
from .processes import Clock, Entry, Owner, Proposal
from .rate_checks import LimitsTimeline, Overshoot, Spending, find_overshoot

__all__ = ["RateModel"]

_DEADLINE_S = 5.0
_START_LIMITS = RateLimits(100.0, 500)
_OTHER_LIMITS = (RateLimits(100.0, 500), RateLimits(30.0, 900), RateLimits(200.0, 150))
_BOUND_HOLDERS = 4
_MESSAGE_LIMIT = 60
_SLICE_S = 0.2
_WORK_STEPS = 30
_BURST_ROUNDS = 6


class RateModel:
    """The whole fleet; every public method named ``do_*`` is one step.

    Args:
        source: Decides delays, amounts and choices.
        entries: Number of holder processes.
    """

    def __init__(self, source: random.Random, entries: int = _BOUND_HOLDERS) -> None:
        self.time = 0.0
        self.random = source
        self.admitted = 0
        self.health = 0.9
        self.accounts = ["service/one", "service/two"]
        self.limits = dict.fromkeys(self.accounts, _START_LIMITS)
        grace_s = 2 * add_drift_margin(GRANT_LEASE_S)
        self._timelines = {
            name: LimitsTimeline(_START_LIMITS, grace_s) for name in self.accounts
        }
        self._spent: dict[str, list[Spending]] = {name: [] for name in self.accounts}
        self._lives = 0
        self._calls = 0
        self.entries = [self._make_entry(f"entry-{n}") for n in range(entries)]
        self.owners = [Owner(f"control-{n}", Clock(self, source)) for n in range(3)]
        self._leader = self.owners[0]
        self._term = 1
        self._machine = AccountLog()
        self._log_index = 0
        self._proposals: list[Proposal] = []
        self._messages: list[tuple[Owner | int, Any]] = []
        self._limits_changed_at = 0.0
        self._cut: set[int] = set()
        self._steered_to: Owner | None = None

    def _make_entry(self, name: str) -> Entry:
        self._lives += 1
        return Entry(name, self._lives, Clock(self, self.random))

    def do_wait(self, seconds: float) -> None:
        """Let true time pass while processes work, in a healthy fleet or not."""
        end = self.time + seconds
        while self.time < end:
            self.time = min(end, self.time + _SLICE_S)
            self._poll()
            if self.random.random() < self.health:
                self.do_work()

    def do_work(self) -> None:
        """Renew the ownership, commit what is proposed, deliver what was sent."""
        self.do_begin_barrier()
        self.do_end_barrier()
        for _ in range(_WORK_STEPS):
            if not self._messages and not self._proposals:
                return
            self.do_deliver_newest()
            self.do_commit()

    def do_charge(self) -> None:
        """A call arrives at an entry."""
        entry = self.random.choice(self.entries)
        account = self.random.choice(self.accounts)
        tokens = self.random.choice((1, 10, 50, 120))
        self.charge(entry, account, tokens)

    def charge(self, entry: Entry, account: str, tokens: int) -> str:
        """Charge a call at an entry and return its identifier."""
        self._calls += 1
        charge_id = str(self._calls)
        entry.waiting[charge_id] = (account, tokens)
        now = entry.clock.now()
        actions = entry.holder.charge(
            account, charge_id, tokens, now + _DEADLINE_S, now
        )
        self._act(entry, actions)
        return charge_id

    def do_burst(self) -> None:
        """Calls arrive at all entries until the account is spent."""
        account = self.random.choice(self.accounts)
        for _ in range(_BURST_ROUNDS):
            for entry in self.entries:
                self.charge(entry, account, 50)
            for _ in range(4 * len(self.entries)):
                self.do_deliver_newest()
                self.do_commit()
            self.time += 1.1 * GRANT_ASK_INTERVAL_S
            self._poll()

    def _poll(self) -> None:
        for entry in self.entries:
            for account in entry.holder.accounts():
                self._act(entry, entry.holder.poll(account, entry.clock.now()))

    def do_strand(self) -> None:
        """An entry is cut off while it holds tokens, and calls arrive later."""
        self.do_rest()
        entry = self.random.choice(self.entries)
        account = self.random.choice(self.accounts)
        for _ in range(3):
            self.charge(entry, account, 50)
            self.do_work()
        self._cut.add(entry.incarnation)
        self.do_wait(self.random.uniform(0.2, 1.1 * GRANT_LEASE_S))
        self.do_burst()

    def do_usurp(self) -> None:
        """Another control host leads while entries still reach the old one."""
        self.do_rest()
        if self.random.random() < 0.5:
            self.do_burst()
        self.do_work()
        old = self._leader
        self.do_elect()
        for _ in range(2):
            self.do_begin_barrier()
            self.do_end_barrier()
            self.do_commit()
        self._steered_to = old
        self.do_wait(self.random.uniform(0, 1.2 * OWNER_LEASE_S))
        self.do_burst()
        self._steered_to = self._leader if self.random.random() < 0.8 else None
        self.do_wait(self.random.uniform(0, 1.2 * GRANT_LEASE_S))
        self.do_burst()
        self._steered_to = None

    def do_cut(self) -> None:
        """An entry loses its connection to the control hosts, or gets it back."""
        entry = self.random.choice(self.entries)
        self._cut ^= {entry.incarnation}

    def do_finish(self) -> None:
        """The running calls of an entry end, each having spent its charge or none."""
        entry = self.random.choice(self.entries)
        share = self.random.choice((0, 1, 1))
        for charge_id in list(entry.running):
            self._finish(entry, charge_id, share)

    def _finish(self, entry: Entry, charge_id: str, share: int) -> None:
        account, tokens, began = entry.running.pop(charge_id)
        spent = tokens * share
        self._spent[account].append(Spending(began, spent))
        now = entry.clock.now()
        self._act(entry, entry.holder.refund(account, charge_id, spent, now))

    def do_rest(self) -> None:
        """All calls end and the accounts fill up."""
        self._cut.clear()
        for entry in self.entries:
            for charge_id in list(entry.running):
                self._finish(entry, charge_id, 1)
        health, self.health = self.health, 1.0
        self.do_wait(8.0)
        self.health = health

    def _act(self, entry: Entry, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, SendRequest):
                if entry.incarnation in self._cut:
                    continue
                self._send(self._choose_owner(), action.request)
                continue
            account, tokens = entry.waiting.pop(action.charge_id)
            if isinstance(action, Charged):
                self.admitted += 1
                entry.running[action.charge_id] = (account, tokens, self.time)

    def _choose_owner(self) -> Owner:
        if self._steered_to is not None:
            return self._steered_to
        if self.random.random() < 0.8:
            return self._leader
        return self.random.choice(self.owners)

    def _send(self, target: Owner | int, message: Any) -> None:
        self._messages.append((target, message))
        if len(self._messages) > _MESSAGE_LIMIT:
            del self._messages[self.random.randrange(len(self._messages))]

    def do_deliver(self) -> None:
        """Deliver any message in flight."""
        if self._messages:
            at = self.random.randrange(len(self._messages))
            self._receive(*self._messages.pop(at))

    def do_deliver_newest(self) -> None:
        """Deliver the newest message, as a healthy network would."""
        if self._messages:
            self._receive(*self._messages.pop())

    def do_lose(self) -> None:
        """Lose any message in flight."""
        if self._messages:
            del self._messages[self.random.randrange(len(self._messages))]

    def do_duplicate(self) -> None:
        """Deliver any message in flight and keep it."""
        if self._messages:
            self._receive(*self.random.choice(self._messages))

    def _receive(self, target: Owner | int, message: Any) -> None:
        if isinstance(target, Owner):
            self._answer(target, message)
            return
        for entry in self.entries:
            if entry.incarnation == target and target not in self._cut:
                self._act(entry, entry.holder.handle_answer(message, entry.clock.now()))

    def _answer(self, owner: Owner, request: GrantRequest) -> None:
        if owner.allocator is None:
            return
        limits = self.limits[request.account]
        answer = owner.allocator.answer(request, limits, owner.clock.now())
        if answer is None:
            owner.deferred[request.incarnation, request.sequence] = request
        else:
            self._send(request.incarnation, answer)
        self._checkpoint(owner)

    def _checkpoint(self, owner: Owner) -> None:
        if owner.checkpoint in self._proposals:
            return
        allocator, now = owner.allocator, owner.clock.now()
        bounds = allocator.list_due_bounds(now)
        if not bounds:
            return
        number = allocator.begin_checkpoint(bounds, now)
        command = encode(CheckpointAccounts(owner.fence, number, bounds))

        def end(result: Any) -> None:
            if owner.allocator is allocator and result.accepted:
                allocator.end_checkpoint(bounds, number)
            self._retry_deferred(owner)

        owner.checkpoint = Proposal(owner, command, end)
        self._proposals.append(owner.checkpoint)

    def _retry_deferred(self, owner: Owner) -> None:
        deferred, owner.deferred = owner.deferred, {}
        for request in deferred.values():
            if owner.allocator is not None:
                self._answer(owner, request)

    def do_commit(self) -> None:
        """Commit the oldest proposal if its proposer still leads."""
        if not self._proposals:
            return
        proposal = self._proposals.pop(0)
        if proposal.proposer is self._leader:
            self._apply(proposal, lost=self.random.random() < 0.1)

    def _apply(self, proposal: Proposal, *, lost: bool) -> None:
        self._log_index += 1
        result = self._machine.apply(self._log_index, proposal.command)
        if not lost:
            proposal.ended(decode(result))

    def do_elect(self) -> None:
        """Another control host leads; some late proposals were already replicated."""
        survivors = self.random.randrange(len(self._proposals) + 1)
        for proposal in self._proposals[:survivors]:
            if proposal.proposer is self._leader:
                self._apply(proposal, lost=self.random.random() < 0.5)
        self._proposals.clear()
        self._leader = self.random.choice(self.owners)
        self._term += 1

    def do_restart_owner(self) -> None:
        """A control host loses its memory."""
        owner = self.random.choice(self.owners)
        owner.allocator = None
        owner.fence = 0
        owner.taking = False
        owner.barrier = None
        owner.deferred.clear()
        self._proposals = [p for p in self._proposals if p.proposer is not owner]

    def do_begin_barrier(self) -> None:
        """The leader starts a quorum read."""
        self._leader.barrier = (self._leader.clock.now(), self._term)

    def do_end_barrier(self) -> None:
        """A quorum read ends; it fails if the leadership changed meanwhile."""
        owner = self._leader
        if owner.barrier is None:
            return
        (started, term), owner.barrier = owner.barrier, None
        if term != self._term:
            return
        if owner.allocator is not None and owner.fence == self._machine.fence:
            owner.allocator.extend(started)
            return
        owner.allocator = None
        self._take(owner, started)

    def _take(self, owner: Owner, confirmed_at: float) -> None:
        def end(taken: Any) -> None:
            owner.fence = taken.fence
            owner.deferred.clear()
            owner.allocator = GrantAllocator(
                taken.bounds,
                has_predecessor=taken.predecessor != 0,
                now=owner.clock.now(),
            )
            owner.allocator.extend(confirmed_at)

        self._proposals = [p for p in self._proposals if p.proposer is not owner]
        command = encode(TakeAccounts(owner.name, 0))
        self._proposals.append(Proposal(owner, command, end))

    def do_crash_entry(self) -> None:
        """An entry dies; its running calls spend all they were charged."""
        at = self.random.randrange(len(self.entries))
        entry = self.entries[at]
        for account, tokens, began in entry.running.values():
            self._spent[account].append(Spending(began, tokens))
        self.entries[at] = self._make_entry(entry.name)

    def do_change_limits(self) -> None:
        """Settings change an account's limits; at most once in two leases."""
        if self.time - self._limits_changed_at < 2 * add_drift_margin(GRANT_LEASE_S):
            return
        self._limits_changed_at = self.time
        account = self.random.choice(self.accounts)
        self.limits[account] = self.random.choice(_OTHER_LIMITS)
        self._timelines[account].change(self.time, self.limits[account])
        for owner in self.owners:
            if owner.allocator is not None:
                owner.allocator.refresh_limits(self.limits.get, owner.clock.now())

    def find_overshoots(self) -> dict[str, Overshoot]:
        """Return accounts with a window of too much true spending."""
        found = {}
        for account in self.accounts:
            history = list(self._spent[account])
            for entry in self.entries:
                history += [
                    Spending(began, tokens)
                    for name, tokens, began in entry.running.values()
                    if name == account
                ]
            overshoot = find_overshoot(history, self._timelines[account])
            if overshoot is not None:
                found[account] = overshoot
        return found

    def heal(self, seconds: float) -> None:
        """Run without faults."""
        self.health = 1.0
        self._cut.clear()
        end = self.time + seconds
        while self.time < end:
            for entry in self.entries:
                for charge_id in list(entry.running):
                    self._finish(entry, charge_id, 1)
            self.do_wait(0.5)
