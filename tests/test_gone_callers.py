"""Callers that leave while their requests wait; what was held for them comes back."""

import asyncio
import contextlib
import json
import math

import pytest

from crashingengines import Play
from fleets import build_body, run_with_fleet
from jasminewharf.decisions.backpressure import ServerIncarnation
from jasminewharf.decisions.poison import PartEnd, PartEvidence, hash_parts
from jasminewharf.messages.poison import AskTrial
from jasminewharf.messages.servers import BorrowTokens
from support import wait_until

LATE_S = 0.2
END = PartEnd(ServerIncarnation("i-before", 1), 0.0)
PROMPT = (
    ("x-model", "m0"),
    ("x-token-counts", "600,60"),
    ("x-prompt-prefix", "f1:172,c1:9"),
)


async def answer_late(answer):
    await asyncio.sleep(LATE_S)
    return answer


async def leave(asking):
    """Have a caller leave; return once its connection is closed."""
    asking.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asking


def test_trial_that_is_granted_to_a_caller_that_has_left_is_ended(tmp_path):
    """Nobody else got a trial of the part for 10 s, and was refused meanwhile."""
    load = Play([], engines=3)

    async def scenario(fleet):
        control = fleet.kernels[0].find("control")
        owner = fleet.kernels[0].find("poison-owner")
        asks = []

        def grant_late(peer, message):
            asks.append(message)
            return answer_late(owner._take_ask(peer, message))

        control.handle(AskTrial, grant_late)
        for kernel in fleet.entry_kernels:
            for part in hash_parts("llm", ["f1"]):
                evidence = PartEvidence(part, -math.inf, (END,))
                kernel.find("poison-guard")._table.merge(evidence)
        asking = asyncio.create_task(fleet.call("/plan/x", *PROMPT))
        await wait_until(lambda: asks)
        await leave(asking)
        await asyncio.sleep(LATE_S)
        assert len(owner._trials) == 0
        assert load.received == []
        status, _, _ = await fleet.call("/plan/x", *PROMPT, entry=1, request_id="id-2")
        assert status == 200

    run_with_fleet(scenario, tmp_path, engines=load.engines, desks=[])


@pytest.mark.parametrize("moment", ["asked", "lent"])
def test_tokens_lent_for_a_caller_that_has_left_come_back(tmp_path, moment):
    """The workspace paid for requests that were never sent."""

    async def scenario(fleet):
        tenant = json.loads(build_body())["tenants"][0]
        tenant |= {"ratePerS": 100, "burst": 1_000}
        routes = json.loads(build_body())["routes"]
        routes[1]["targetLatencyMs"] = 4_000
        await fleet.submit(build_body(2, tenants=[tenant], routes=routes))
        view = fleet.entry_kernels[0].find("view")
        await wait_until(lambda: view.table.version == 2)
        lender = fleet.kernels[0].find("rate-lender")
        asks = []

        def lend_late(peer, message):
            asks.append(message)
            lent = lender._lend(peer, message)
            return answer_late(lent) if moment == "asked" else lent

        fleet.kernels[0].find("control").handle(BorrowTokens, lend_late)
        bucket = await empty_bucket(lender, view.table)
        emptied_at = asyncio.get_running_loop().time()
        counts = ("x-token-counts", "10,10")
        asking = asyncio.create_task(fleet.call("/plan/x", ("x-model", "m0"), counts))
        await wait_until(lambda: asks)
        # Half of the wait for the tokens themselves.
        await asyncio.sleep(0.0 if moment == "asked" else 0.1)
        await leave(asking)
        await asyncio.sleep(LATE_S + 0.1)
        now = asyncio.get_running_loop().time()
        bucket.refill(now)
        assert bucket.level == pytest.approx(100 * (now - emptied_at), abs=1.0)
        assert not any(engine.runs for engine in fleet.engines)

    run_with_fleet(scenario, tmp_path)


async def empty_bucket(lender, table):
    """Leave the owner of the tokens with none, so that requests wait for them."""
    await wait_until(lambda: lender._lender is not None)
    spec = table.configuration.workspaces[0]
    now = asyncio.get_running_loop().time()
    bucket = lender._lender._find_bucket(spec, now)
    bucket.refill(now)
    bucket.level = 0.0
    bucket._peaks.clear()
    return bucket
