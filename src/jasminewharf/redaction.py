"""Removal of callers' keys from text that is kept or shown."""

import re

__all__ = ["redact"]

_MARK = "jw_"
_KEY = re.compile(r"(jw_[0-9a-f]{8,32})_[0-9a-fA-F]{4,}")


def redact(text: str) -> str:
    """Return ``text`` with the secret part of every caller key left out.

    A caller may put a key where none belongs, such as in a path, an idempotency
    key or a model's name.
    """
    if _MARK not in text:
        return text
    return _KEY.sub(r"\1_***", text)
