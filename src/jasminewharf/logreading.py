"""Reading of the JSON lines that processes have logged."""

import json
from collections.abc import Collection, Iterable, Iterator
from typing import Any

__all__ = ["read_lines"]


def read_lines(
    paths: Iterable[str], numbers: Collection[int]
) -> Iterator[dict[str, Any]]:
    """Yield the lines of some events; text before a line's JSON object is skipped.

    Raises:
        OSError: If a file cannot be read.
    """
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            for text in file:
                line = _parse_line(text)
                if line is not None and line.get("event") in numbers:
                    yield line


def _parse_line(text: str) -> dict[str, Any] | None:
    start = text.find('{"time"')
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        # A line cut by a crash or by the log's own bound.
        return None
    return line if isinstance(line, dict) else None
