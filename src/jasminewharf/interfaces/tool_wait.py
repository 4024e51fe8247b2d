"""Waiting of the operators' tool until an order is in force."""

import asyncio
from collections.abc import Callable
from typing import Any

from .. import defaults
from ..exceptions import ConsensusError, LinkError, WaitTimeout
from .operator import OperatorClient
from .tool_base import Progress

__all__ = ["count_work", "list_lagging", "wait_in_force", "wait_until"]


def list_lagging(status: dict[str, Any], index: int) -> list[str]:
    """Return the nodes that may still act on a version older than ``index``."""
    return [
        f"{node['node']} at {node['version']}"
        for node in status["nodes"]
        if node["version"] < index and not node["lease_ended"]
    ]


def count_work(status: dict[str, Any], host: str) -> int:
    """Return the calls that run or wait on ``host``, from its last report."""
    return sum(
        backend["running"] + backend["queued"]
        for node in status["nodes"]
        if node["host"] == host and node["state"] == "live"
        for backend in node["backends"]
    )


async def wait_until(
    operator: OperatorClient,
    find_reason: Callable[[dict[str, Any]], str],
    timeout_s: float,
    progress: Progress,
) -> dict[str, Any]:
    """Read the status until ``find_reason`` returns no reason to wait.

    Raises:
        WaitTimeout: With the last reason, after ``timeout_s``.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        try:
            status = await operator.fetch_status()
            reason = find_reason(status)
        except (ConsensusError, LinkError) as error:
            reason = str(error)
        if not reason:
            return status
        progress.text = reason
        if loop.time() > deadline:
            raise WaitTimeout(f"accepted, but after {timeout_s:g} s: {reason}")
        await asyncio.sleep(defaults.WAIT_POLL_S)


async def wait_in_force(
    operator: OperatorClient, index: int, timeout_s: float, progress: Progress
) -> dict[str, Any]:
    """Wait until every node has reported ``index`` or its lease has ended."""

    def find_reason(status: dict[str, Any]) -> str:
        lagging = list_lagging(status, index)
        if lagging:
            return f"version {index} is awaited from: {', '.join(lagging)}"
        if not status["control"]["complete"]:
            return "the control host has not yet heard from every node"
        return ""

    return await wait_until(operator, find_reason, timeout_s, progress)
