"""Encoding of typed messages.

A message on the wire is a two-byte code, most significant byte first, and the
MessagePack array of the fields of its ``NamedTuple``. Decoding checks every
field's type; anything else raises :class:`MalformedMessage`.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import msgspec

from ..exceptions import DuplicateRegistration, MalformedMessage

__all__ = ["CODE_BYTES", "MESSAGE_TYPES", "decode", "encode", "message", "message_code"]

CODE_BYTES = 2

_T = TypeVar("_T", bound=type)


class _Entry(NamedTuple):
    message_type: type
    decoder: msgspec.msgpack.Decoder


MESSAGE_TYPES: dict[int, _Entry] = {}
_CODES: dict[type, bytes] = {}
_encoder = msgspec.msgpack.Encoder()


def message(code: int) -> Callable[[_T], _T]:
    """Return a class decorator that enters a ``NamedTuple`` under ``code``.

    Raises:
        DuplicateRegistration: If the code is taken.
    """

    def enter(message_type: _T) -> _T:
        if code in MESSAGE_TYPES:
            raise DuplicateRegistration(code)
        MESSAGE_TYPES[code] = _Entry(
            message_type, msgspec.msgpack.Decoder(message_type)
        )
        _CODES[message_type] = code.to_bytes(CODE_BYTES, "big")
        return message_type

    return enter


def message_code(message_type: type) -> int:
    """Return the code under which ``message_type`` was entered."""
    return int.from_bytes(_CODES[message_type], "big")


def encode(value: Any) -> bytes:
    """Return the wire form of a message."""
    return _CODES[type(value)] + _encoder.encode(value)


def decode(data: bytes) -> Any:
    """Return the message in ``data``.

    Raises:
        MalformedMessage: If the code is unknown or a field has the wrong type.
    """
    entry = MESSAGE_TYPES.get(int.from_bytes(data[:CODE_BYTES], "big"))
    if entry is None or len(data) <= CODE_BYTES:
        raise MalformedMessage("unknown message code")
    try:
        return entry.decoder.decode(memoryview(data)[CODE_BYTES:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        name = entry.message_type.__name__
        raise MalformedMessage(f"bad {name}: {error}") from error
