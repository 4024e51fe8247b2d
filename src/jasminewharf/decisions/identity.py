"""When hosts, path prefixes and keys are the same.

The check of a configuration and the lookup of requests both use these functions, so
that routes and keys are told apart exactly if requests can tell them apart.
"""

import re
from typing import NamedTuple

__all__ = [
    "HostIdentity",
    "can_hold_host",
    "can_match_prefix",
    "identify_host",
    "identify_key",
]

_WHITE_SPACE = " \t"
_DEFAULT_PORTS = frozenset({"", "80"})
# What no header value holds: NUL and line breaks of every kind.
_NOT_IN_HEADERS = re.compile(r"[\x00\n\v\f\r]")
# Visible characters but the question mark, at which the path of a request ends.
_PREFIX = re.compile(r"/(?:[!->@-~]*/)?")


class HostIdentity(NamedTuple):
    """A host's name and port; the port is empty if it is the default one."""

    name: str
    port: str = ""


def identify_host(text: str) -> HostIdentity:
    """Return the identity of a route's host or of a request's Host header.

    Case, white space around it, a dot at its end, and a port that is empty or the
    default one make no difference.
    """
    text = text.strip(_WHITE_SPACE).lower()
    start = text.find("]") + 1 if text.startswith("[") else 0
    name, _, port = text[start:].partition(":")
    port = port.lstrip("0")
    name = text[:start] + name
    return HostIdentity(name.removesuffix("."), "" if port in _DEFAULT_PORTS else port)


def identify_key(text: str) -> str:
    """Return the identity of a workspace's key or of a request's key.

    White space around the value of a header is not part of it.
    """
    return text.strip(_WHITE_SPACE)


def can_hold_host(text: str) -> bool:
    """Return whether a request's header can hold this host."""
    return _NOT_IN_HEADERS.search(text) is None


def can_match_prefix(text: str) -> bool:
    """Return whether the path of a request can have this prefix.

    Prefixes are compared as they are spelled: a path and its percent-encoded form
    are two paths, since a request's path is forwarded unchanged.
    """
    return _PREFIX.fullmatch(text) is not None
