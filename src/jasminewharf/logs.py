"""Log set-up: one line per event, as JSON or as text."""

import json
import logging
import math
import os
import sys
import time
from typing import Any

from . import events
from .redaction import redact
from .settings import LogFormat

__all__ = ["BoundedHandler", "JsonFormatter", "TextFormatter", "configure_logging"]


def _render(value: Any) -> Any:
    if isinstance(value, float) and not math.isfinite(value):
        # JSON has no form for it.
        return str(value)
    if isinstance(value, str | int | float | bool) or value is None:
        return value
    if isinstance(value, list | tuple):
        return [_render(item) for item in value]
    if isinstance(value, dict):
        return {str(name): _render(item) for name, item in value.items()}
    return (
        f"{type(value).__name__}: {value}"
        if isinstance(value, Exception)
        else str(value)
    )


def _fields(record: logging.LogRecord) -> dict[str, Any]:
    fields = getattr(record, "fields", {})
    return {name: _render(value) for name, value in fields.items()}


def _number(record: logging.LogRecord) -> int:
    event = getattr(record, "event", None)
    return event.number if event is not None else 0


class JsonFormatter(logging.Formatter):
    """Writes a record as one JSON object."""

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for ``record``."""
        line = {
            "time": record.created,
            "level": record.levelname.lower(),
            "node": self._node,
            "event": _number(record),
            "text": record.getMessage(),
        }
        line.update(_fields(record))
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return redact(json.dumps(line, ensure_ascii=False))


class TextFormatter(logging.Formatter):
    """Writes a record as one readable line."""

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for ``record``."""
        moment = time.strftime("%H:%M:%S", time.localtime(record.created))
        values = " ".join(f"{name}={value}" for name, value in _fields(record).items())
        line = (
            f"{moment} {record.levelname[:4]} {self._node} "
            f"[{_number(record)}] {record.getMessage()} {values}"
        ).rstrip()
        if record.exc_info:
            line = f"{line}\n{self.formatException(record.exc_info)}"
        return redact(line)


_FORMATTERS = {"json": JsonFormatter, "text": TextFormatter}

# Bytes of lines that wait for a reader that does not read; what exceeds it is dropped.
_BACKLOG_BYTES = 256 * 1024
_WINDOW_S = 1.0


class _Budget:
    """Bounds the lines of each event number in each second."""

    def __init__(self, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._window = 0.0
        self._written: dict[int, int] = {}
        self._left_out: dict[int, int] = {}

    def take(self, number: int, now: float) -> dict[int, int] | None:
        """Return None if the line is over the budget, else what was left out before.

        What was left out in a window is told with the first line after it.
        """
        told: dict[int, int] = {}
        if now - self._window >= _WINDOW_S or now < self._window:
            self._window = now
            self._written.clear()
            told, self._left_out = self._left_out, {}
        written = self._written.get(number, 0)
        if self._lines_per_s and written >= self._lines_per_s:
            self._left_out[number] = self._left_out.get(number, 0) + 1
            return None
        self._written[number] = written + 1
        return told


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Args:
        descriptor: Where to write; it is made non-blocking.
        lines_per_s: Lines of one event number in a second; 0 is no bound.

    Attributes:
        dropped: Lines that were lost because the reader did not read.
    """

    def __init__(self, descriptor: int, lines_per_s: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._budget = _Budget(lines_per_s)
        self._backlog = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop and count it."""
        told = self._budget.take(_number(record), record.created)
        if told is None:
            return
        if told:
            self._write(self.format(_summarise(told)))
        self._write(self.format(record))

    def _write(self, line: str) -> None:
        data = line.encode(errors="replace") + b"\n"
        if len(self._backlog) + len(data) > _BACKLOG_BYTES:
            self.dropped += 1
        else:
            self._backlog += data
        try:
            written = os.write(self._descriptor, self._backlog)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more: the lines are lost, the process goes on.
            self.dropped += 1
            self._backlog = b""
            return
        self._backlog = self._backlog[written:]


def _summarise(left_out: dict[int, int]) -> logging.LogRecord:
    record = logging.LogRecord(
        "jasminewharf", logging.WARNING, "", 0, events.LINES_LEFT_OUT.text, None, None
    )
    record.event = events.LINES_LEFT_OUT
    record.fields = {"counts": dict(sorted(left_out.items()))}
    return record


def configure_logging(node: str, settings: LogFormat) -> None:
    """Send the package's log lines where the settings say.

    Args:
        node: The node's name, written in every line.
        settings: Form, level, stream and bound of the lines.
    """
    stream = sys.stdout if settings.stream == "stdout" else sys.stderr
    handler: logging.Handler = logging.StreamHandler(stream)
    if settings.lines_per_s:
        handler = BoundedHandler(stream.fileno(), settings.lines_per_s)
    handler.setFormatter(_FORMATTERS[settings.form](node))
    logger = logging.getLogger("jasminewharf")
    logger.handlers = [handler]
    logger.setLevel(settings.level.upper())
    logger.propagate = False
