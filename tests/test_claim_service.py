"""Claim services in virtual time: lost answers, ended entries and no quorum."""

import asyncio
import random

import pytest

from jasminewharf.bench.virtual import MemoryLog, MemoryNetwork, run_virtual
from jasminewharf.exceptions import ClaimConflict, ClaimsUnavailable, OutcomeUnknown
from jasminewharf.kernel import Kernel
from jasminewharf.services.claims import (
    ClaimCoordinator,
    OrderClaims,
    RecordedAnswer,
    claims_group,
)

ANSWER = RecordedAnswer(201, [("content-type", "text/plain")], b"paid")


class Fleet:
    def __init__(self, loss):
        source = random.Random(3)
        kernel = Kernel(None)
        self.clock = asyncio.get_running_loop().time
        self.dead = set()
        self.log = MemoryLog(source, 0.002)
        self.network = MemoryNetwork(source, 0.001, loss)
        self.coordinator = ClaimCoordinator(
            kernel, self.log.add_member(), self.dead.__contains__, 2
        )
        self.entries = [
            OrderClaims(kernel, self.network, f"e{n}", n, 2, self.clock)
            for n in range(2)
        ]

    async def start(self):
        await self.coordinator.start()
        for number in range(2):
            self.network.serve(claims_group(number), self.coordinator.answer)

    async def claim(self, entry, request, digest="d", timeout_s=3.0):
        deadline = self.clock() + timeout_s
        return await self.entries[entry].claim("w", "k", digest, request, deadline)

    async def stop(self):
        for service in [*self.entries, self.coordinator]:
            await service.stop()


def run(scenario, loss=0.0):
    async def main():
        fleet = Fleet(loss)
        await fleet.start()
        try:
            await scenario(fleet)
        finally:
            await fleet.stop()

    run_virtual(main)


def test_resend_at_another_entry_waits_for_the_recorded_answer():
    async def scenario(fleet):
        assert await fleet.claim(0, "r1") is None
        resend = asyncio.ensure_future(fleet.claim(1, "r2"))
        await asyncio.sleep(0.5)
        assert not resend.done()
        assert await fleet.entries[0].record("w", "k", "r1", ANSWER)
        assert await resend == ANSWER
        with pytest.raises(ClaimConflict):
            await fleet.claim(1, "r3", digest="other")

    run(scenario)


def test_only_one_of_many_simultaneous_calls_claims_despite_loss():
    async def scenario(fleet):
        calls = [fleet.claim(n % 2, f"r{n}", timeout_s=20.0) for n in range(6)]
        tasks = [asyncio.ensure_future(call) for call in calls]
        await asyncio.sleep(4)
        claimed = [n for n, task in enumerate(tasks) if task.done()]
        assert len(claimed) == 1 and tasks[claimed[0]].result() is None
        winner = claimed[0]
        await fleet.entries[winner % 2].record("w", "k", f"r{winner}", ANSWER)
        answers = await asyncio.gather(*tasks)
        assert answers.count(ANSWER) == 5

    run(scenario, loss=0.2)


def test_order_of_an_ended_entry_is_unknown_and_not_repeated():
    async def scenario(fleet):
        await fleet.claim(0, "r1")
        fleet.dead.add(0)
        with pytest.raises(OutcomeUnknown) as refused:
            await fleet.claim(1, "r2")
        assert refused.value.not_run is False

    run(scenario)


def test_released_order_is_run_by_the_resend():
    async def scenario(fleet):
        await fleet.claim(0, "r1")
        assert await fleet.entries[0].release("w", "k", "d", "r1")
        assert await fleet.claim(1, "r2") is None

    run(scenario)


def test_claim_without_quorum_is_refused_as_not_run_and_released():
    async def scenario(fleet):
        fleet.network.loss = 1.0
        with pytest.raises(ClaimsUnavailable) as refused:
            await fleet.claim(0, "r1")
        assert refused.value.not_run is True
        fleet.network.loss = 0.0
        await asyncio.sleep(3)
        assert await fleet.claim(1, "r2") is None

    run(scenario)


def test_claim_whose_answers_are_lost_is_released():
    async def scenario(fleet):
        carry = fleet.coordinator.answer

        async def lose_answer(message):
            await carry(message)
            await asyncio.sleep(3600)

        for number in range(2):
            fleet.network.serve(claims_group(number), lose_answer)
        with pytest.raises(ClaimsUnavailable):
            await fleet.claim(0, "r1", timeout_s=1.5)
        for number in range(2):
            fleet.network.serve(claims_group(number), carry)
        await asyncio.sleep(2)
        assert await fleet.claim(1, "r2") is None

    run(scenario)


def test_answer_above_the_limit_is_unknown_with_its_status():
    async def scenario(fleet):
        await fleet.claim(0, "r1")
        large = ANSWER._replace(body=b"x" * 100_000)
        await fleet.entries[0].record("w", "k", "r1", large)
        with pytest.raises(OutcomeUnknown, match="status 201"):
            await fleet.claim(1, "r2")

    run(scenario)


def test_wait_for_a_running_order_ends_at_the_deadline_as_possibly_run():
    async def scenario(fleet):
        await fleet.claim(0, "r1")
        with pytest.raises(OutcomeUnknown) as refused:
            await fleet.claim(1, "r2", timeout_s=0.6)
        assert refused.value.not_run is False and refused.value.retry_after_ms

    run(scenario)
