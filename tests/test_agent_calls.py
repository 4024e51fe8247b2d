"""Calls of an entry at an agent whose engine or link misbehaves."""

import asyncio
import contextlib

from documentnodes import Node, build_plan, build_report
from jasminewharf.exceptions import Overloaded
from jasminewharf.messages.calls import CallRefused, LoadState
from jasminewharf.services.agents import Agents
from jasminewharf.services.backends import Backends
from support import wait_until


async def open_nodes():
    """Return nodes and services of an entry and of an agent, and the agent's report."""
    entry, agent = Node("entry"), Node("agent")
    backends, agents = Backends(agent), Agents(entry)
    await backends.start()
    await agents.start()
    report = build_report(agent.address)
    entry.digest = {"agent-1": report}
    entry.listener()
    await wait_until(lambda: agents.can_take_calls(report))
    return entry, agent, backends, agents


def forward_waiting(backends, agents):
    """Return a call at an agent that accepts it and starts none."""
    backends.backends["desk-1"].reachable = True
    backends._start_ready = lambda backend: None
    return agents.forward(build_plan(0), "agent-1", "desk-1")


async def close_nodes(entry, agent, backends, agents):
    await agents.stop()
    await backends.stop()
    entry.context.destroy(linger=0)
    agent.context.destroy(linger=0)


def test_call_gets_no_answer_of_an_earlier_call():
    """An engine that wrote an answer once more gave it to the next caller."""

    async def serve(reader, writer):
        with contextlib.closing(writer), contextlib.suppress(EOFError, OSError):
            await answer_all(reader, writer)

    async def answer_all(reader, writer):
        earlier = b""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            own = head.partition(b" ")[2].partition(b" ")[0]
            length = b"content-length: %d" % len(own)
            answer = b"HTTP/1.1 200 OK\r\n" + length + b"\r\n\r\n" + own
            writer.write(earlier or answer)
            await asyncio.sleep(0.03)
            writer.write(answer if earlier else b"")
            earlier = answer

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        nodes = await open_nodes()
        _, _, backends, agents = nodes
        backend = backends.backends["desk-1"]
        backend.client.address = "{}:{}".format(*server.sockets[0].getsockname())
        backend.reachable = True
        for number in range(3):
            target = f"/menus/{number}"
            plan = build_plan(number)._replace(target=target, idempotent=True)
            call = agents.forward(plan, "agent-1", "desk-1")
            await call.wait_head()
            assert await call.read_chunk() == target.encode()
            agents.finish(call)
        server.close()
        await close_nodes(*nodes)

    asyncio.run(main())


def test_call_at_an_agent_that_is_no_longer_reported_is_answered():
    """Its link was closed, and the call waited until its deadline."""

    async def main():
        nodes = await open_nodes()
        entry, _, backends, agents = nodes
        call = forward_waiting(backends, agents)
        await wait_until(lambda: backends._calls)
        entry.digest = {}
        entry.listener()
        accepted = backends._calls["call-0"]
        refusal = Overloaded("the engine is gone", not_run=False)
        backends._refuse(accepted.peer, "call-0", refusal, accepted.backend)
        await wait_until(lambda: call.failure is not None)
        agents.finish(call)
        entry.listener()
        assert not agents._links
        await close_nodes(*nodes)

    asyncio.run(main())


def test_call_at_an_agent_that_listens_elsewhere_now_counts_as_lost():
    """Its link was closed, and the call waited until its deadline."""

    async def main():
        nodes = await open_nodes()
        entry, _, backends, agents = nodes
        call = forward_waiting(backends, agents)
        entry.digest = {"agent-1": build_report("127.0.0.1:9")}
        entry.listener()
        assert call.is_lost
        await close_nodes(*nodes)

    asyncio.run(main())


def test_answer_of_another_agent_is_not_that_of_the_call():
    """A call that was tried again elsewhere took the first agent's late refusal."""

    async def main():
        nodes = await open_nodes()
        _, _, backends, agents = nodes
        call = forward_waiting(backends, agents)
        load = LoadState(0, 0, 0, 0.0)
        late = CallRefused("call-0", "Overloaded", "full", True, 100, load)
        agents._take_refusal("agent-2", late)
        assert call.failure is None
        agents._take_refusal("agent-1", late)
        assert call.failure is not None
        await close_nodes(*nodes)

    asyncio.run(main())
