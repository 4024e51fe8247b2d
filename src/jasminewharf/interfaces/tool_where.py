"""``jasminewharf where``: where an entry would send a request now, and why."""

import json
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import urlencode

import cappa

from ..exceptions import BackendError
from ..services.client import HttpClient
from .tool_base import Progress, ToolCommand, format_table

__all__ = ["WhereCommand", "render_preview"]

_SHOWN = (
    "name",
    "zone",
    "load",
    "own",
    "slots",
    "load_age_ms",
    "report_age_ms",
    "pace",
    "window",
    "relative_load",
    "limit_per_s",
    "excluded",
)
_SECTIONS = ("route", "workspace", "service", "balancing", "load", "configuration")


def render_preview(preview: dict[str, Any]) -> str:
    """Return an entry's answer as text: the choice first, then what it rests on."""
    lines = []
    for name, share in preview.get("choice", {}).items():
        lines.append(f"goes to {name} with probability {share:.2f}")
    lines += [f"refused: {reason}" for reason in preview["refusals"]]
    for section in _SECTIONS:
        value = preview.get(section)
        if isinstance(value, dict):
            value = " ".join(f"{key}={item}" for key, item in value.items())
        if value is not None:
            lines.append(f"{section}: {value}")
    rows = [[row[name] for name in _SHOWN] for row in preview.get("servers", [])]
    if rows:
        lines.append(format_table(list(_SHOWN), rows))
    return "\n".join(lines)


@cappa.command(
    name="where",
    help="Tell where an entry would send a request now, and why.",
    description=(
        "Nothing is sent to a backend server. The address is the entry's metrics port. "
        "Example: jasminewharf where 10.0.0.5:9464 a.example /chat/ --model m0 "
        "--workspace guild"
    ),
)
@dataclass(kw_only=True)
class WhereCommand(ToolCommand):
    """Tell where an entry would send a request now, and why."""

    entry: Annotated[str, cappa.Arg(help="Address of the entry's metrics.")]
    host: Annotated[str, cappa.Arg(help="Host that the request names.")]
    path: Annotated[str, cappa.Arg(help="Its path.")]
    model: Annotated[str, cappa.Arg(long=True, help="Its model.")] = ""
    adapter: Annotated[str, cappa.Arg(long=True, help="Its adapter.")] = ""
    workspace: Annotated[str, cappa.Arg(long=True, help="Its workspace.")] = ""
    tokens: Annotated[int, cappa.Arg(long=True, help="Of prompt and output.")] = 0
    request_id: Annotated[str, cappa.Arg(long=True, help="Its identifier.")] = ""

    async def run(self, progress: Progress) -> None:
        """Ask the entry and show its answer."""
        progress.text = "waiting for the entry"
        names = ("host", "path", "model", "adapter", "workspace", "tokens")
        query = {name: getattr(self, name) for name in (*names, "request_id")}
        client = HttpClient(self.entry)
        try:
            answer = await client.fetch_answer("GET", f"/where?{urlencode(query)}")
        finally:
            client.close()
        if answer.status != 200:
            raise BackendError(f"{self.entry} answered {answer.status}")
        preview = json.loads(answer.body)
        self.show(preview, render_preview(preview))
