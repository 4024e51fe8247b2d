"""An agent that is stopped while entries send it calls."""

import asyncio
import contextlib

from documentnodes import Node, build_plan, build_report
from jasminewharf.exceptions import Overloaded
from jasminewharf.fakes.linkproxy import BOTH, LinkProxy
from jasminewharf.services.agents import Agents
from jasminewharf.services.backends import Backends
from support import wait_until

INTERVAL_S = 0.005
DELAY_S = 0.05
# Time for messages that are on their way to arrive.
SETTLED_S = 0.2


def test_calls_that_arrive_while_an_agent_stops_are_refused_as_not_run():
    """An agent closed its link before it had read the calls that were on their way."""

    async def main():
        entry, agent = Node("entry"), Node("agent")
        backends, agents = Backends(agent), Agents(entry)
        await backends.start()
        await agents.start()
        proxy = LinkProxy(agent.address)
        await proxy.start()
        proxy.delay(BOTH, DELAY_S)
        report = build_report(proxy.address)
        entry.digest = {"agent-1": report}
        entry.listener()
        await wait_until(lambda: agents.can_take_calls(report))
        calls = []

        def send_call():
            with contextlib.suppress(Overloaded):
                plan = build_plan(len(calls))
                calls.append(agents.forward(plan, "agent-1", "desk-1"))

        draining = asyncio.create_task(backends.drain())
        while not draining.done():
            send_call()
            await asyncio.sleep(INTERVAL_S)
        send_call()
        await backends.stop()
        await asyncio.sleep(SETTLED_S)
        unanswered = [call for call in calls if call.failure is None]
        assert not unanswered, f"{len(unanswered)} of {len(calls)} calls have no answer"
        assert all(call.failure.not_run for call in calls)
        assert not agents.can_take_calls(report)
        await agents.stop()
        await proxy.stop()
        entry.context.destroy(linger=0)
        agent.context.destroy(linger=0)

    asyncio.run(main())
