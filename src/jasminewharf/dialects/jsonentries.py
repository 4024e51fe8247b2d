"""Splits JSON of which several writers wrote parts, without reading these parts."""

import re

__all__ = ["split_array"]

# A string, or a character that gives the text its structure.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)
_OPENING = frozenset({b"[", b"{"})
_CLOSING = frozenset({b"]", b"}"})
# Inside an object, and inside an array that is one of its fields.
_OBJECT_DEPTH = 1
_ARRAY_DEPTH = 2


def split_array(body: bytes, name: str) -> tuple[bytes, list[bytes]]:
    """Return a JSON object with one of its arrays emptied, and the array's entries.

    Whatever an entry holds concerns only that entry, as long as its brackets and quotes
    are closed.

    Raises:
        ValueError: If the object has no such array or does not end it.
    """
    key = f'"{name}"'.encode()
    depth = 0
    begin = -1
    last = b""
    before_last = b""
    entries: list[bytes] = []
    for match in _TOKEN.finditer(body):
        token = match.group()
        if token in _OPENING:
            depth += 1
            is_value = (before_last, last) == (key, b":")
            if begin < 0 and depth == _ARRAY_DEPTH and token == b"[" and is_value:
                begin = entry_begin = match.end()
        elif token in _CLOSING:
            depth -= 1
            if begin >= 0 and depth == _OBJECT_DEPTH:
                _add_entry(entries, body[entry_begin : match.start()])
                return body[:begin] + body[match.start() :], entries
        elif begin >= 0 and token == b"," and depth == _ARRAY_DEPTH:
            _add_entry(entries, body[entry_begin : match.start()])
            entry_begin = match.end()
        before_last, last = last, token
    raise ValueError(f"no array {name!r} that ends")


def _add_entry(entries: list[bytes], text: bytes) -> None:
    if text := text.strip():
        entries.append(text)
