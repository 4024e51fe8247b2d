"""What heads of backend servers' answers ask of the host that reads them."""

import math
import re
import time
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

__all__ = [
    "list_unknown_headers",
    "read_cold_header",
    "read_cold_ms",
    "read_limit",
    "read_pause_s",
    "says_leaving",
]

_OVERLOADED_STATUS = 503
# Longer numbers are no times; Python refuses to convert thousands of digits.
_SECONDS = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
# A float's shortest decimal text has up to 17 digits.
_RATE = re.compile(r"\d{1,9}(\.\d{1,18})?", re.ASCII)
# JSON's numbers, and those of headers.
_COLD_MS = re.compile(r"-?\d{1,300}(\.\d{1,300})?([eE][+-]?\d{1,3})?", re.ASCII)
_LIMIT = "server-limit"
_COLD = "x-cold-ms"
_KNOWN_HEADERS = frozenset(
    {
        "accept-ranges",
        "age",
        "allow",
        "cache-control",
        "connection",
        "content-encoding",
        "content-language",
        "content-length",
        "content-type",
        "date",
        "etag",
        "expires",
        "keep-alive",
        "last-modified",
        "location",
        "retry-after",
        "server",
        "server-leaving",
        "transfer-encoding",
        "vary",
        "x-attempt-id",
        "x-instance-id",
        "x-not-executed",
        "x-response-signature",
        "x-server-load",
        "x-weight-versions",
        _COLD,
        _LIMIT,
    }
)


def says_leaving(fields: Mapping[str, str]) -> bool:
    """Return whether the server says that it is about to stop."""
    return fields.get("server-leaving", "").strip() == "1"


def read_pause_s(status: int, fields: Mapping[str, str]) -> float:
    """Return for how many seconds an overloaded server wants no request.

    Args:
        status: The HTTP status.
        fields: The headers, names in lower case.

    Returns:
        0 if it does not ask for it, not a number if what it says cannot be read.
    """
    text = fields.get("retry-after", "").strip()
    if status != _OVERLOADED_STATUS or not text:
        return 0.0
    if _SECONDS.fullmatch(text):
        return float(text)
    until = _read_date(text)
    if until is None:
        return math.nan
    # The server's own clock tells what its date means.
    sent = _read_date(fields.get("date", "")) or datetime.fromtimestamp(
        time.time(), UTC
    )
    return max((until - sent).total_seconds(), 0.0)


def read_limit(headers: Sequence[tuple[str, str]]) -> float | None:
    """Return how many requests a second a server takes from all hosts together.

    Args:
        headers: The headers, names in lower case.

    Returns:
        None if it names no limit, not a number if what it says cannot be read.
    """
    texts = [value.strip() for name, value in headers if name == _LIMIT]
    if not texts:
        return None
    if len(texts) > 1 or not _RATE.fullmatch(texts[0]):
        return math.nan
    return float(texts[0])


def read_cold_ms(text: str) -> float | None:
    """Return the milliseconds for which a server stays cold.

    Args:
        text: What it says, as a number in text; empty or null if nothing.

    Returns:
        None if it says nothing, not a number if what it says cannot be read.
    """
    text = text.strip()
    if text in ("", "null"):
        return None
    return float(text) if _COLD_MS.fullmatch(text) else math.nan


def read_cold_header(headers: Sequence[tuple[str, str]]) -> float | None:
    """Return how long a server stays cold; see :func:`read_cold_ms`."""
    texts = [value for name, value in headers if name == _COLD]
    if len(texts) > 1:
        return math.nan
    return read_cold_ms(texts[0]) if texts else None


def list_unknown_headers(headers: Sequence[tuple[str, str]]) -> tuple[str, ...]:
    """Return the names of headers that nothing here knows."""
    return tuple(name for name, _ in headers if name not in _KNOWN_HEADERS)


def _read_date(text: str) -> datetime | None:
    try:
        date = parsedate_to_datetime(text)
    except (ValueError, TypeError, OverflowError, IndexError):
        return None
    return date if date.tzinfo is not None else date.replace(tzinfo=UTC)
