"""Faults of a trial, by name."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from ..interfaces.operator import OperatorClient
from ..registry import register
from .checks import Fault
from .cluster import Cluster

__all__ = ["FAULTS", "FaultAction"]

FaultAction = Callable[[Cluster, Random], Awaitable[list[Fault]]]
FAULTS: dict[str, FaultAction] = {}

_DOWN_S = 0.5
_FROZEN_S = 2.5
_CUT_S = 3.0
_SLOW_S = 3.0
_SLOW_FACTOR = 5.0
# A restarted entry needs this long until its callers count on it again.
_RESTART_S = 2.0


def _now() -> float:
    return asyncio.get_running_loop().time()


def _pick(random: Random, names: list[str]) -> str:
    return names[random.randrange(len(names))]


def _nodes(cluster: Cluster, prefix: str) -> list[str]:
    return [node for node in cluster.nodes if node.startswith(prefix)]


async def find_leader(cluster: Cluster) -> str:
    """Return the control host that leads the group ``fleet``."""
    async with OperatorClient(cluster.tool_settings) as operator:
        status = await operator.fetch_status()
    return status["control"]["leader"].partition("/")[0]


async def _kill_and_restart(cluster: Cluster, node: str) -> list[Fault]:
    started = _now()
    cluster.kill(node)
    await asyncio.sleep(_DOWN_S)
    cluster.spawn(node)
    if node in cluster.entry_addresses:
        await cluster.wait_ready({node: cluster.entry_addresses[node]})
    else:
        await asyncio.sleep(_RESTART_S)
    return [Fault("kill", node, started, _now())]


@register(FAULTS, "kill-entry")
async def kill_entry(cluster: Cluster, random: Random) -> list[Fault]:
    """Kill an entry and start it again."""
    return await _kill_and_restart(cluster, _pick(random, _nodes(cluster, "entry-")))


@register(FAULTS, "kill-agent")
async def kill_agent(cluster: Cluster, random: Random) -> list[Fault]:
    """Kill an agent and start it again; its backend server goes on."""
    return await _kill_and_restart(cluster, _pick(random, _nodes(cluster, "agent-")))


@register(FAULTS, "kill-leader")
async def kill_leader(cluster: Cluster, random: Random) -> list[Fault]:
    """Kill the control host that leads, and start it again."""
    return await _kill_and_restart(cluster, await find_leader(cluster))


@register(FAULTS, "kill-engine")
async def kill_engine(cluster: Cluster, random: Random) -> list[Fault]:
    """Kill an engine, which comes back empty."""
    host = _pick(random, sorted(cluster.engines))
    started = _now()
    await cluster.engines[host].kill()
    await asyncio.sleep(_DOWN_S)
    await cluster.engines[host].start()
    return [Fault("engine", host, started, _now())]


@register(FAULTS, "freeze-agent")
async def freeze_agent(cluster: Cluster, random: Random) -> list[Fault]:
    """Stop an agent for longer than the suspicion of its peers."""
    return await _freeze(cluster, _pick(random, _nodes(cluster, "agent-")))


@register(FAULTS, "freeze-leader")
async def freeze_leader(cluster: Cluster, random: Random) -> list[Fault]:
    """Stop the control host that leads; another one is elected meanwhile."""
    return await _freeze(cluster, await find_leader(cluster))


async def _freeze(cluster: Cluster, node: str) -> list[Fault]:
    started = _now()
    cluster.freeze(node)
    await asyncio.sleep(_FROZEN_S)
    cluster.thaw(node)
    return [Fault("freeze", node, started, _now())]


@register(FAULTS, "isolate-leader")
async def isolate_leader(cluster: Cluster, random: Random) -> list[Fault]:
    """Cut the leader off from everybody, silently."""
    node = await find_leader(cluster)
    started = _now()
    cluster.isolate_control(node, silent=True)
    await asyncio.sleep(_CUT_S)
    cluster.heal()
    return [Fault("isolate", node, started, _now())]


@register(FAULTS, "stop-entry")
async def stop_entry(cluster: Cluster, random: Random) -> list[Fault]:
    """Stop an entry gracefully and start it again."""
    return await _stop(cluster, _pick(random, _nodes(cluster, "entry-")))


@register(FAULTS, "stop-agent")
async def stop_agent(cluster: Cluster, random: Random) -> list[Fault]:
    """Stop an agent gracefully and start it again."""
    return await _stop(cluster, _pick(random, _nodes(cluster, "agent-")))


@register(FAULTS, "stop-leader")
async def stop_leader(cluster: Cluster, random: Random) -> list[Fault]:
    """Stop the control host that leads gracefully and start it again."""
    return await _stop(cluster, await find_leader(cluster))


async def _stop(cluster: Cluster, node: str) -> list[Fault]:
    started = _now()
    await cluster.terminate(node)
    cluster.spawn(node)
    if node in cluster.entry_addresses:
        await cluster.wait_ready({node: cluster.entry_addresses[node]})
    return [Fault("terminate", node, started, _now())]


@register(FAULTS, "slow-engines")
async def slow_engines(cluster: Cluster, random: Random) -> list[Fault]:
    """Make all engines and their loads several times slower."""
    started = _now()
    for engine in cluster.engines.values():
        engine.set_faults(slow=_SLOW_FACTOR)
    await asyncio.sleep(_SLOW_S)
    for engine in cluster.engines.values():
        engine.set_faults()
    return [Fault("slow", "engines", started, _now())]
