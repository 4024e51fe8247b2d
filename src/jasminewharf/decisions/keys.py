"""Caller keys: format, digest and verification.

A key is ``jw_<id>_<secret>``. Only its HMAC-SHA256 under the fleet's hash secret
is stored, so that neither the log nor a snapshot reveals a usable key.
"""

import hashlib
import hmac
import re
from typing import NamedTuple

__all__ = ["KeyRecord", "compute_digest", "format_key", "match_key", "parse_key_id"]

_KEY = re.compile(r"jw_([0-9a-f]{8,32})_([0-9a-f]{16,128})")


class KeyRecord(NamedTuple):
    """A granted or withdrawn key."""

    key_id: str
    digest: str
    workspace: str
    withdrawn: bool


def format_key(key_id: str, secret: str) -> str:
    """Return the text of a key."""
    return f"jw_{key_id}_{secret}"


def parse_key_id(key: str) -> str | None:
    """Return the identifier in ``key``, or None if the form is wrong."""
    found = _KEY.fullmatch(key)
    return found.group(1) if found else None


def compute_digest(key: str, hash_secret: bytes) -> str:
    """Return the HMAC-SHA256 of ``key`` in hexadecimal."""
    return hmac.new(hash_secret, key.encode(), hashlib.sha256).hexdigest()


def match_key(key: str, record: KeyRecord | None, hash_secret: bytes) -> bool:
    """Return whether ``record`` grants ``key`` and is not withdrawn.

    The comparison takes the same time for every digest.
    """
    if record is None or record.withdrawn:
        return False
    return hmac.compare_digest(compute_digest(key, hash_secret), record.digest)
