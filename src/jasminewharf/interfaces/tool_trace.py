"""``jasminewharf trace``: the spans of one request as a tree."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Annotated, Any, NamedTuple

import cappa

from ..exceptions import SettingsError, TraceNotFound
from .tool_base import Progress, ToolCommand

__all__ = ["SpanNode", "TraceCommand", "build_tree", "read_spans", "render_tree"]

_NS_PER_MS = 1_000_000
_REQUEST_ID = "request_id"


class SpanNode(NamedTuple):
    """A span and those that it caused, in the order of their start."""

    span: dict[str, Any]
    children: list["SpanNode"]


def read_spans(paths: list[str], request_id: str) -> Iterator[dict[str, Any]]:
    """Yield the spans of the traces that ``request_id`` belongs to.

    The files are read twice, so that only these spans are held in memory. A line
    cut by a crash is left out.

    Raises:
        TraceNotFound: If a file cannot be read.
    """
    traces = {
        span["trace"]
        for span in _read_lines(paths, {request_id})
        if span["attributes"].get(_REQUEST_ID) == request_id
    }
    return _read_lines(paths, traces)


def _read_lines(paths: list[str], marks: set[str]) -> Iterator[dict[str, Any]]:
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                for line in file:
                    if any(mark in line for mark in marks):
                        span = _parse_span(line)
                        if span is not None:
                            yield span
        except OSError as error:
            raise TraceNotFound(f"{path}: {error.strerror}") from error


def _parse_span(line: str) -> dict[str, Any] | None:
    try:
        record = json.loads(line)
        return {
            "trace": record["traceId"],
            "span": record["spanId"],
            "parent": record["parentSpanId"],
            "name": record["name"],
            "start_ns": int(record["startTimeUnixNano"]),
            "end_ns": int(record["endTimeUnixNano"]),
            "error": record["status"].get("message", ""),
            "attributes": {
                item["key"]: item["value"]["stringValue"]
                for item in record["attributes"]
            },
        }
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def build_tree(spans: Iterable[dict[str, Any]], request_id: str) -> SpanNode:
    """Return the tree below the entry's span of ``request_id``.

    A caller's trace may hold several requests, so that only the spans below the
    request's own are taken.

    Raises:
        TraceNotFound: If there is no such span.
    """
    found = {span["span"]: span for span in spans}
    own = [s for s in found.values() if s["attributes"].get(_REQUEST_ID) == request_id]
    ids = {span["span"] for span in own}
    roots = [span for span in own if span["parent"] not in ids]
    if not roots:
        raise TraceNotFound(f"no span of request {request_id}")
    children: dict[str, list[dict[str, Any]]] = {}
    for span in found.values():
        children.setdefault(span["parent"], []).append(span)
    return _grow(min(roots, key=lambda span: span["start_ns"]), children)


def _grow(span: dict[str, Any], children: dict[str, list[dict[str, Any]]]) -> SpanNode:
    # Popped, so that a file with spans that name each other as parents ends.
    below = children.pop(span["span"], [])
    ordered = sorted(below, key=lambda item: item["start_ns"])
    return SpanNode(span, [_grow(child, children) for child in ordered])


def render_tree(root: SpanNode) -> str:
    """Return the tree with start and duration in milliseconds."""
    return "\n".join(_render(root, root.span["start_ns"], "", ""))


def _render(node: SpanNode, origin_ns: int, head: str, tail: str) -> Iterator[str]:
    span = node.span
    start_ms = (span["start_ns"] - origin_ns) / _NS_PER_MS
    duration_ms = (span["end_ns"] - span["start_ns"]) / _NS_PER_MS
    details = " ".join(f"{key}={value}" for key, value in span["attributes"].items())
    error = f" error={span['error']}" if span["error"] else ""
    times = f"+{start_ms:.1f} ms {duration_ms:.1f} ms"
    yield f"{head}{span['name']} {times}{error} {details}".rstrip()
    for position, child in enumerate(node.children):
        is_last = position == len(node.children) - 1
        yield from _render(
            child,
            origin_ns,
            tail + ("└─ " if is_last else "├─ "),
            tail + ("   " if is_last else "│  "),
        )


def _to_json(node: SpanNode) -> dict[str, Any]:
    return {**node.span, "children": [_to_json(child) for child in node.children]}


@cappa.command(
    name="trace",
    help="Draw the tree of spans of one request.",
    description=(
        "The identifier is in the answer's X-Request-Id header and in every refusal. "
        "Example: jasminewharf trace 5f0c2a9e11d04b7c-1a --file entry.jsonl"
    ),
)
@dataclass(kw_only=True)
class TraceCommand(ToolCommand):
    """Draw the tree of spans of one request."""

    request_id: Annotated[str, cappa.Arg(help="The request's identifier.")]
    file: Annotated[
        list[str],
        cappa.Arg(long=True, help="A trace file; else `trace_file` of the settings."),
    ] = None

    async def run(self, progress: Progress) -> None:
        """Show the tree."""
        paths = self.file or [self.load_settings().trace_file]
        if not paths[0]:
            raise SettingsError(self.settings, 0, "trace_file", "is required")
        root = build_tree(read_spans(paths, self.request_id), self.request_id)
        self.show(_to_json(root), render_tree(root))
