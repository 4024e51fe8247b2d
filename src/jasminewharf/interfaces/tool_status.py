"""``jasminewharf status`` and ``jasminewharf drain``."""

from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from ..exceptions import NotKnown
from .tool_base import Progress, ToolCommand, WaitOptions, format_table
from .tool_wait import count_work, wait_in_force, wait_until

__all__ = ["DrainCommand", "StatusCommand", "render_status"]

_NONE = "  none"


def _indent(lines: list[str]) -> str:
    return "\n".join(f"  {line}" for line in lines) or _NONE


def _render_nodes(status: dict[str, Any]) -> str:
    rows = []
    for node in sorted(status["nodes"], key=lambda item: (item["role"], item["node"])):
        marks = [
            "" if node["state"] == "live" else node["state"],
            "leaving" if node["leaving"] else "",
            f"behind by {node['behind']}" if node["behind"] else "",
        ]
        rows.append(
            [
                node["node"],
                node["role"],
                node["host"],
                node["zone"],
                node["version"],
                ", ".join(mark for mark in marks if mark) or "ok",
            ]
        )
    head = ["NODE", "ROLE", "HOST", "ZONE", "VERSION", "STATE"]
    return _indent(format_table(head, rows).splitlines())


def _render_backends(status: dict[str, Any]) -> str:
    loaded: dict[str, list[str]] = {}
    for replica in status["replicas"]:
        phase = "" if replica["phase"] == "loaded" else f" ({replica['phase']})"
        loaded.setdefault(replica["backend"], []).append(f"{replica['model']}{phase}")
    rows = [
        [
            backend["backend"],
            node["host"],
            backend["pool"],
            backend["running"],
            backend["queued"],
            "" if backend["reachable"] else "unreachable",
            ", ".join(sorted(loaded.get(backend["backend"], []))) or "-",
        ]
        for node in sorted(status["nodes"], key=lambda item: item["node"])
        for backend in node["backends"]
    ]
    head = ["BACKEND", "HOST", "POOL", "RUNNING", "QUEUED", "", "LOADED"]
    return _indent(format_table(head, rows).splitlines())


def _render_cold(status: dict[str, Any]) -> str:
    waiting = [item for item in status["cold"] if item["waiting"]]
    idle = [item["model"] for item in status["cold"] if not item["waiting"]]
    lines = [
        f"{item['model']} ({item['service']}): {item['waiting']} requests wait"
        for item in waiting
    ]
    if idle:
        lines.append(f"without requests: {', '.join(idle)}")
    return _indent(lines)


def _render_over_rate(status: dict[str, Any]) -> str:
    if status["over_rate"] is None:
        return "  unknown: the owner of the rate accounts did not answer"
    return _indent(
        [f"{item['account']}: {item['level']} tokens" for item in status["over_rate"]]
    )


def _render_evacuated(status: dict[str, Any]) -> list[str]:
    # Control hosts of earlier releases do not tell.
    zones = status.get("evacuated", [])
    return [f"evacuated: {', '.join(zones)}"] if zones else []


def render_status(status: dict[str, Any]) -> str:
    """Return the status as one screen of text."""
    control = status["control"]
    leader = control["leader"].partition("/")[0] or "unknown"
    members = [member["identity"].partition("/")[0] for member in control["members"]]
    services = [f"{item['service']} {item['version']}" for item in status["services"]]
    return "\n".join(
        [
            f"version {status['version']}, leader {leader},"
            f" control hosts {', '.join(members)}",
            f"services: {', '.join(services) or 'none'}",
            f"draining: {', '.join(status['draining']) or 'none'}",
            *_render_evacuated(status),
            "nodes:",
            _render_nodes(status),
            "backend servers:",
            _render_backends(status),
            "cold models:",
            _render_cold(status),
            "over rate:",
            _render_over_rate(status),
        ]
    )


@cappa.command(
    name="status",
    help="Show what is loaded where, queued, cold, leaving, over rate and behind.",
    description="Example: jasminewharf status --output json",
)
@dataclass(kw_only=True)
class StatusCommand(ToolCommand):
    """Show what a control host knows of the fleet."""

    async def run(self, progress: Progress) -> None:
        """Show the status."""
        async with self.connect() as operator:
            status = await operator.fetch_status()
        self.show(status, render_status(status))


@cappa.command(
    name="drain",
    help="Give a host no new work.",
    description=(
        "With --wait, waits until its calls have ended. "
        "Examples: jasminewharf drain host-7 --wait; jasminewharf drain host-7 --undo"
    ),
)
@dataclass(kw_only=True)
class DrainCommand(WaitOptions):
    """Mark a host as leaving, or take the mark back."""

    host: Annotated[str, cappa.Arg(help="The host's name, as `status` shows it.")]
    undo: Annotated[bool, cappa.Arg(long=True, help="Give the host work again.")] = (
        False
    )

    async def run(self, progress: Progress) -> None:
        """Set the mark, and wait if asked to."""
        async with self.connect() as operator:
            status = await operator.fetch_status()
            hosts = sorted({node["host"] for node in status["nodes"]})
            if self.host not in hosts and self.host not in status["draining"]:
                raise NotKnown(f"no host {self.host!r}; known are: {', '.join(hosts)}")
            index = await operator.set_draining(
                self.host, not self.undo, self.submission
            )
            if self.wait:
                await self._wait(operator, index, progress)
        state = "live" if self.undo else "draining"
        payload = {"host": self.host, "state": state, "index": index}
        self.show(payload, f"{self.host}: {state}")

    async def _wait(self, operator: Any, index: int, progress: Progress) -> None:
        await wait_in_force(operator, index, self.wait_timeout, progress)
        if self.undo:
            return

        def find_reason(status: dict[str, Any]) -> str:
            work = count_work(status, self.host)
            return f"{work} calls run or wait on {self.host}" if work else ""

        await wait_until(operator, find_reason, self.wait_timeout, progress)
