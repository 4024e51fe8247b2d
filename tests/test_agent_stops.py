"""An agent that is stopped while entries send it calls."""

import asyncio
import contextlib
from types import SimpleNamespace

import zmq

from jasminewharf.exceptions import Overloaded
from jasminewharf.fakes.linkproxy import BOTH, LinkProxy
from jasminewharf.messages.feed import BackendReport, NodeReport
from jasminewharf.metrics import Metrics
from jasminewharf.services.agents import Agents
from jasminewharf.services.answers import CallPlan
from jasminewharf.services.backends import Backends
from jasminewharf.services.link import Identity, LinkClient
from jasminewharf.settings import (
    BackendSettings,
    PolicySettings,
    TimingSettings,
)
from support import wait_until

INTERVAL_S = 0.005
DELAY_S = 0.05
# Time for messages that are on their way to arrive.
SETTLED_S = 0.2


class Node:
    """A kernel with what an entry's and an agent's services ask of the others."""

    def __init__(self, role):
        self.context = zmq.Context()
        self.identity = Identity(f"{role}-1", role, "zone-a", 1)
        self.metrics = Metrics()
        self.security = None
        self.settings = SimpleNamespace(
            backends=[BackendSettings("desk-1", "desk", "127.0.0.1:9")],
            policy=PolicySettings(),
            timing=TimingSettings(drain_timeout_s=5.0),
            host_name="host-1",
            listen="127.0.0.1:0",
        )
        self.state = SimpleNamespace(draining=(), all_documents=list)
        self.digest = {}
        self.address = ""
        self.listener = None
        self.sink = SimpleNamespace(add=lambda span: None)

    def find(self, name):
        return self

    def listen(self, listener):
        self.listener = listener

    def is_fresh(self):
        return True

    def leave(self):
        pass

    def connect(self, role, node, address, handlers):
        return LinkClient(self.identity, self.context, address, handlers)


def build_plan(number):
    deadline = asyncio.get_running_loop().time() + 5.0
    return CallPlan(
        f"call-{number}",
        "guild",
        "desk",
        "desk",
        "",
        "",
        "POST",
        "/orders",
        [],
        b"",
        deadline,
        1,
        "normal",
        False,
        False,
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
    )


def build_report(address):
    backend = BackendReport("desk-1", "desk", "plain", True, 0, 0, 0, 0.0, [], [])
    return NodeReport(
        "agent-1",
        "agent",
        "host-1",
        "zone-a",
        1,
        1,
        1,
        address,
        0,
        False,
        [backend],
        [],
    )


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
