"""Account owner and holder services in virtual time, with an in-memory log."""

import asyncio
import random

import pytest

from jasminewharf.bench.virtual import MemoryLog, MemoryNetwork, run_virtual
from jasminewharf.decisions.buckets import RateLimits
from jasminewharf.exceptions import AccountOwnerUnavailable, Forbidden, RateExceeded
from jasminewharf.kernel import Kernel
from jasminewharf.services.accounts import ACCOUNTS_GROUP, AccountHolder, AccountOwner

LIMITS = {"service/one": RateLimits(100.0, 500)}


class Fleet:
    def __init__(self, loss=0.0, entries=2):
        source = random.Random(7)
        loop = asyncio.get_running_loop()
        self.kernel = Kernel(None)
        self.log = MemoryLog(source, 0.005)
        self.network = MemoryNetwork(source, 0.001, loss)
        self.owners = [
            AccountOwner(
                self.kernel, self.log.add_member(), LIMITS.get, f"c{n}", n, loop.time
            )
            for n in range(2)
        ]
        self.entries = [
            AccountHolder(self.kernel, self.network, f"e{n}", n, loop.time)
            for n in range(entries)
        ]
        self.network.serve(ACCOUNTS_GROUP, self.owners[0].answer)

    async def start(self):
        for owner in self.owners:
            await owner.start()
        await asyncio.sleep(0.1)
        return self

    async def charge(self, entry, tokens, account="service/one"):
        deadline = asyncio.get_running_loop().time() + 10
        return await self.entries[entry].charge(account, tokens, deadline)

    def change_leader(self):
        members = [owner._log for owner in self.owners]
        self.log.leader = members[1]
        self.network.serve(ACCOUNTS_GROUP, self.owners[1].answer)

    async def stop(self):
        for service in [*self.entries, *self.owners]:
            await service.stop()


def run(scenario, **options):
    async def main():
        fleet = await Fleet(**options).start()
        try:
            await scenario(fleet)
        finally:
            await fleet.stop()

    run_virtual(main)


def test_whole_burst_can_be_spent_at_any_entry_and_no_more():
    async def scenario(fleet):
        await fleet.charge(0, 300)
        await fleet.charge(1, 200)
        with pytest.raises(RateExceeded) as refused:
            await fleet.charge(0, 100)
        assert refused.value.not_run
        # The owner refills 0.1% below the rate, as its clock may run fast.
        assert 800 < refused.value.retry_after_ms <= 1002

    run(scenario)


def test_refund_is_spendable_and_counts_only_once():
    async def scenario(fleet):
        charge = await fleet.charge(0, 500)
        fleet.entries[0].refund("service/one", charge, 100)
        fleet.entries[0].refund("service/one", charge, 100)
        await asyncio.sleep(0.3)
        await fleet.charge(1, 400)
        with pytest.raises(RateExceeded):
            await fleet.charge(1, 200)

    run(scenario)


def test_lost_messages_delay_a_charge_but_debit_it_once():
    async def scenario(fleet):
        for _ in range(4):
            await fleet.charge(0, 100)
        fleet.network.loss = 0.0
        await fleet.charge(0, 90)

    run(scenario, loss=0.3)


def test_charge_larger_than_the_burst_is_refused_without_retry():
    async def scenario(fleet):
        with pytest.raises(RateExceeded) as refused:
            await fleet.charge(0, 501)
        assert refused.value.retry_after_ms is None

    run(scenario)


def test_unknown_account_is_forbidden():
    async def scenario(fleet):
        with pytest.raises(Forbidden):
            await fleet.charge(0, 1, account="service/none")

    run(scenario)


def test_successor_grants_only_tokens_that_its_predecessor_did_not():
    async def scenario(fleet):
        await fleet.charge(0, 450)
        fleet.change_leader()
        with pytest.raises(AccountOwnerUnavailable):
            await fleet.charge(1, 400)
        # The running call's charge counts until the predecessor's leases expire.
        await asyncio.sleep(9)
        await fleet.charge(1, 400)

    run(scenario)


def test_without_an_owner_held_tokens_are_spent_and_then_refused_as_not_run():
    async def scenario(fleet):
        charge = await fleet.charge(0, 200)
        fleet.network.loss = 1.0
        fleet.entries[0].refund("service/one", charge, 0)
        await fleet.charge(0, 150)
        with pytest.raises(AccountOwnerUnavailable) as refused:
            await fleet.charge(0, 150)
        assert refused.value.not_run and refused.value.retry_after_ms

    run(scenario)


def test_cancelled_charge_returns_its_tokens():
    async def scenario(fleet):
        task = asyncio.ensure_future(fleet.charge(0, 400))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await asyncio.sleep(1)
        await fleet.charge(1, 490)

    run(scenario)


def test_drain_returns_the_grants_of_a_stopping_entry():
    async def scenario(fleet):
        charge = await fleet.charge(0, 400)
        fleet.entries[0].refund("service/one", charge, 0)
        await fleet.entries[0].drain()
        await fleet.charge(1, 450)

    run(scenario)
