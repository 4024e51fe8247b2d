"""The load and the pace that backend servers report with each answer."""

import re
from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["ServerLoad", "read_load"]

# More requests than any server has at a time.
_LOAD_LIMIT = 1_000_000
# Values of the load header that this release reads.
_LOAD_VALUES = 4
# Characters of the load header that are looked at; four values take less.
_LOAD_TEXT_LIMIT = 100
_LOAD_COUNT = re.compile(r"\d{1,9}", re.ASCII)
_PACE = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)


class ServerLoad(NamedTuple):
    """The values of a load header; -1 for what is absent or cannot be read."""

    running: int
    waiting: int
    slots: int
    pace_percent: float


def read_load(fields: Mapping[str, str]) -> ServerLoad:
    """Return what a server says of its load; later releases may add values.

    Args:
        fields: The headers of its answer, names in lower case.
    """
    text = fields.get("x-server-load", "")
    parts = text[:_LOAD_TEXT_LIMIT].split(",", _LOAD_VALUES)[:_LOAD_VALUES]
    parts += [""] * (_LOAD_VALUES - len(parts))
    running, waiting, slots = map(_read_load_count, parts[:3])
    return ServerLoad(running, waiting, slots, _read_pace(parts[3]))


def _read_load_count(text: str) -> int:
    number = int(text) if _LOAD_COUNT.fullmatch(text.strip()) else -1
    return number if number <= _LOAD_LIMIT else -1


def _read_pace(text: str) -> float:
    percent = float(text) if _PACE.fullmatch(text.strip()) else -1.0
    return percent if percent > 0 else -1.0
