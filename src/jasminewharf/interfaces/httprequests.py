"""Requests of callers, and the checks of their heads."""

import re
from typing import NamedTuple

import h11

from ..exceptions import BadRequest, HeadTooLarge, Refusal

__all__ = [
    "Request",
    "check_framing",
    "classify",
    "measure_head",
    "read_length",
    "read_target",
]

# Colon, space and line end of a header field.
_FIELD_BYTES = 4
# A whole URL as request target: its authority, and path with query.
_ABSOLUTE_TARGET = re.compile(r"https?://([^/?#]*)(.*)", re.IGNORECASE)


class Request(NamedTuple):
    """A whole request. Header names are lower-case."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    peer: str

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


def classify(error: h11.RemoteProtocolError) -> Refusal:
    """Return the refusal of bytes that are not a request."""
    if error.error_status_hint == HeadTooLarge.status:
        return HeadTooLarge("the request head is too large")
    return BadRequest(f"not a valid request: {error}")


def measure_head(head: h11.Request) -> int:
    """Return the length of a head in bytes, but for white space."""
    fields = sum(len(name) + len(value) + _FIELD_BYTES for name, value in head.headers)
    return len(head.method) + len(head.target) + fields


def check_framing(head: h11.Request) -> None:
    """Refuse heads whose body length another server could read differently."""
    names = [name for name, _ in head.headers]
    has_length = b"content-length" in names
    if has_length and b"transfer-encoding" in names:
        raise BadRequest("a request may not have both a length and chunks")
    if names.count(b"content-length") > 1:
        raise BadRequest("a request may not have two lengths")
    if names.count(b"authorization") > 1:
        raise BadRequest("a request may not have two authorization headers")


def read_target(
    target: str, headers: list[tuple[str, str]]
) -> tuple[str, list[tuple[str, str]]]:
    """Return path with query, and headers with the host that the target names.

    A target that is a whole URL replaces the Host header (RFC 9112, 3.2.2).
    """
    absolute = _ABSOLUTE_TARGET.fullmatch(target)
    if absolute is None:
        return target, headers
    host, path = absolute.groups()
    if not host or "@" in host:
        raise BadRequest("the request's URL must name a host and no user")
    others = [(name, value) for name, value in headers if name != "host"]
    target = path if path.startswith("/") else f"/{path}"
    return target, [("host", host), *others]


def read_length(head: h11.Request) -> int:
    """Return the announced length of a body, 0 if there is none."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0
