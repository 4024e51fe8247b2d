"""The record of one run: what was sent, answered and run, with times."""

import json
import time
from pathlib import Path
from typing import Any

__all__ = ["Record"]


class Record:
    """Keeps events in memory and writes them to a file, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._begun = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self.note("begin", time=time.time())

    def now(self) -> float:
        """Return the seconds since the begin of the run."""
        return time.monotonic() - self._begun

    def note(self, what: str, **fields: Any) -> dict[str, Any]:
        """Add an event; nothing is written any more once the file is closed."""
        event = {"at": round(self.now(), 4), "what": what, **fields}
        self.events.append(event)
        if not self._file.closed:
            self._file.write(json.dumps(event) + "\n")
            self._file.flush()
        return event

    def find(self, what: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the events of a kind with these values."""
        return [
            event
            for event in self.events
            if event["what"] == what
            and all(event.get(name) == value for name, value in fields.items())
        ]

    def close(self) -> None:
        """Close the file."""
        self._file.close()
