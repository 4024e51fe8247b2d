"""Log set-up: one line per event, as JSON or as text."""

import json
import logging
import sys
import time
from typing import Any

from .redaction import redact

__all__ = ["JsonFormatter", "TextFormatter", "configure_logging"]


def _render(value: Any) -> Any:
    if isinstance(value, str | int | float | bool) or value is None:
        return value
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


def configure_logging(node: str, form: str, level: str) -> None:
    """Send the package's log lines to standard error.

    Args:
        node: The node's name, written in every line.
        form: ``json`` or ``text``.
        level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_FORMATTERS[form](node))
    logger = logging.getLogger("jasminewharf")
    logger.handlers = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
