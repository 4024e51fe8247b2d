"""Callers that leave while their requests wait; what was held for them comes back."""

import asyncio
import contextlib
import math

from crashingengines import Play
from fleets import run_with_fleet
from jasminewharf.decisions.backpressure import ServerIncarnation
from jasminewharf.decisions.poison import PartEnd, PartEvidence, hash_parts
from jasminewharf.messages.poison import AskTrial
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
