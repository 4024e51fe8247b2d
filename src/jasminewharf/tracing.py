"""Traces: a span for each hop, written as OTLP-shaped JSON lines.

Span and trace identifiers come from the OpenTelemetry library. A process keeps
finished spans in a bounded queue that one task writes to a file; an agent sends
its spans to the entry with the end of the answer.
"""

import time
from collections import deque
from typing import Any

import msgspec
from opentelemetry.sdk.trace.id_generator import RandomIdGenerator

from . import defaults
from .redaction import redact

__all__ = ["Span", "SpanSink", "format_traceparent", "parse_traceparent"]

_VERSION = "00"
_SAMPLED = "01"
_TRACE_DIGITS = 32
_SPAN_DIGITS = 16
_ids = RandomIdGenerator()


def parse_traceparent(value: str | None) -> tuple[str, str] | None:
    """Return trace and parent span identifiers of a ``traceparent`` header."""
    parts = (value or "").strip().split("-")
    if len(parts) < 4 or len(parts[0]) != 2 or parts[0] == "ff":
        return None
    trace, span = parts[1], parts[2]
    if len(trace) != _TRACE_DIGITS or len(span) != _SPAN_DIGITS:
        return None
    try:
        valid = int(trace, 16) != 0 and int(span, 16) != 0
    except ValueError:
        return None
    return (trace, span) if valid else None


def format_traceparent(trace: str, span: str) -> str:
    """Return a ``traceparent`` header's value."""
    return f"{_VERSION}-{trace}-{span}-{_SAMPLED}"


class Span:
    """One hop of a request; times are nanoseconds since the epoch."""

    def __init__(self, name: str, traceparent: str | None, **attributes: Any) -> None:
        parent = parse_traceparent(traceparent)
        self.name = name
        self.trace = parent[0] if parent else f"{_ids.generate_trace_id():032x}"
        self.parent = parent[1] if parent else ""
        self.span = f"{_ids.generate_span_id():016x}"
        self.attributes = attributes
        self._start_ns = time.time_ns()
        self._end_ns = 0
        self._error = ""

    @property
    def traceparent(self) -> str:
        """The header's value for the next hop."""
        return format_traceparent(self.trace, self.span)

    def end(self, error: str = "", **attributes: Any) -> "Span":
        """Finish the span."""
        self._end_ns = time.time_ns()
        self._error = error
        self.attributes.update(attributes)
        return self

    def to_json(self) -> str:
        """Return the span as one line of JSON."""
        record = {
            "traceId": self.trace,
            "spanId": self.span,
            "parentSpanId": self.parent,
            "name": self.name,
            "startTimeUnixNano": str(self._start_ns),
            "endTimeUnixNano": str(self._end_ns),
            "attributes": [
                {"key": key, "value": {"stringValue": str(value)}}
                for key, value in self.attributes.items()
            ],
            "status": {"code": 2, "message": self._error} if self._error else {},
        }
        return redact(msgspec.json.encode(record).decode())


class SpanSink:
    """Finished spans of one process, bounded; the oldest are dropped first.

    Args:
        path: The file that :meth:`write` appends to; empty to keep none.
    """

    def __init__(self, path: str) -> None:
        self._path = path
        self._lines: deque[str] = deque(maxlen=defaults.SPAN_QUEUE)
        self.dropped_count = 0

    def add(self, line: str) -> None:
        """Queue a finished span."""
        if not self._path:
            return
        if len(self._lines) == self._lines.maxlen:
            self.dropped_count += 1
        self._lines.append(line)

    def write(self) -> None:
        """Append all queued spans to the file."""
        if not self._lines:
            return
        lines = list(self._lines)
        self._lines.clear()
        with open(self._path, "a", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
