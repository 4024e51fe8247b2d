"""Reads JSON of servers and platforms, parts of which others may have written."""

import re
from typing import Any, TypeVar

import msgspec

from ..exceptions import BackendError

__all__ = ["decode_answer", "decode_entries", "decode_entry", "split_array"]

_T = TypeVar("_T")
# What a decoder raises at bytes that are no JSON, or nested deeper than it goes.
_UNREADABLE = (msgspec.MsgspecError, ValueError, RecursionError)

# A string, or a character that gives the text its structure.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)
_OPENING = frozenset({b"[", b"{"})
_CLOSING = frozenset({b"]", b"}"})
# Inside an object, and inside an array that is one of its fields.
_OBJECT_DEPTH = 1
_ARRAY_DEPTH = 2


def decode_answer(body: bytes, kind: type[_T]) -> _T:
    """Return the value in an answer.

    Raises:
        BackendError: If it is no JSON or not of this kind.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except _UNREADABLE as error:
        raise BackendError(f"answer does not fit: {error}") from error


def decode_entries(body: bytes, kind: type[_T], name: str) -> tuple[_T, list[Any]]:
    """Return an answer with a list of raw entries, and these entries.

    An entry that is no JSON or too deeply nested leaves the others readable.

    Args:
        body: The answer.
        kind: Its type, in which the list holds ``msgspec.Raw``.
        name: The list's name in the answer.

    Raises:
        BackendError: If more than entries cannot be read.
    """
    try:
        value = decode_answer(body, kind)
        return value, getattr(value, name)
    except BackendError:
        try:
            rest, entries = split_array(body, name)
        except ValueError as error:
            raise BackendError(f"answer does not fit: {error}") from error
        return decode_answer(rest, kind), entries


def decode_entry(raw: Any, kind: type[_T]) -> _T | None:
    """Return an entry, or None if it is of another writer."""
    try:
        return msgspec.json.decode(raw, type=kind)
    except _UNREADABLE:
        return None


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
