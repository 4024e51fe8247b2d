"""``jasminewharf explain``: the log lines of one request, with what ended it on top."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Annotated, Any, NamedTuple

import cappa

from .. import events
from ..exceptions import LinesNotFound
from .tool_base import Progress, ToolCommand

__all__ = [
    "ExplainCommand",
    "Explanation",
    "explain_request",
    "read_log_lines",
    "render_explanation",
]

_REQUEST_ID = "request_id"
# Events that end a request, the most telling first.
_DECISIONS = tuple(
    event.number
    for event in (
        events.REQUEST_ENDED,
        events.RATE_REFUSED,
        events.PERMIT_REFUSED,
        events.REQUEST_REFUSED,
        events.REQUEST_FINISHED,
    )
)
_COMMON = ("time", "level", "node", "event", "text", _REQUEST_ID)


class Explanation(NamedTuple):
    """The line that tells how a request ended, and all its lines by time."""

    decision: dict[str, Any]
    lines: list[dict[str, Any]]


def read_log_lines(paths: list[str], request_id: str) -> Iterator[dict[str, Any]]:
    """Yield the lines of a request; text before a line's JSON object is skipped.

    Raises:
        LinesNotFound: If a file cannot be read.
    """
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                for line in file:
                    if request_id in line:
                        yield from _parse_line(line, request_id)
        except OSError as error:
            raise LinesNotFound(f"{path}: {error.strerror}") from error


def _parse_line(line: str, request_id: str) -> Iterator[dict[str, Any]]:
    start = line.find("{")
    if start < 0:
        return
    try:
        record = json.loads(line[start:])
    except ValueError:
        # A line cut by a crash or by the log's own bound.
        return
    if record.get(_REQUEST_ID) == request_id and "event" in record:
        yield record


def explain_request(lines: Iterable[dict[str, Any]]) -> Explanation:
    """Return a request's lines in order, and the one that tells how it ended.

    Raises:
        LinesNotFound: If there is no line.
    """
    ordered = sorted(lines, key=lambda line: line.get("time", 0.0))
    if not ordered:
        raise LinesNotFound("no line of this request")
    for number in _DECISIONS:
        for line in reversed(ordered):
            if line["event"] == number:
                return Explanation(line, ordered)
    return Explanation(ordered[-1], ordered)


def _render_line(line: dict[str, Any], start: float) -> str:
    offset_ms = (line.get("time", start) - start) * 1_000
    values = " ".join(f"{k}={v}" for k, v in line.items() if k not in _COMMON)
    head = f"{offset_ms:+9.0f} ms {line.get('node', '')} [{line['event']}]"
    return f"{head} {line.get('text', '')} {values}".rstrip()


def render_explanation(explanation: Explanation) -> str:
    """Return the explanation as text; times count from the first line."""
    start = explanation.lines[0].get("time", 0.0)
    lines = [_render_line(line, start) for line in explanation.lines]
    return "\n".join([f"ended: {_render_line(explanation.decision, start)}", *lines])


@cappa.command(
    name="explain",
    help="Gather the log lines of one request.",
    description=(
        "The decision that ended the request comes first, then its lines by time. "
        "Example: jasminewharf explain REQUEST-ID /var/log/jasminewharf/*.log"
    ),
)
@dataclass(kw_only=True)
class ExplainCommand(ToolCommand):
    """Gather the log lines of one request."""

    request_id: Annotated[str, cappa.Arg(help="The request's identifier.")]
    files: Annotated[list[str], cappa.Arg(num_args=-1, help="Log files.")]

    async def run(self, progress: Progress) -> None:
        """Show the explanation."""
        found = read_log_lines(self.files, self.request_id)
        explanation = explain_request(found)
        self.show(explanation._asdict(), render_explanation(explanation))
