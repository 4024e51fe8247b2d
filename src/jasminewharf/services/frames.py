"""Checksummed frames: the unit of writing to a log segment."""

import struct
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec
import xxhash

from ..decisions.records import Entry, HardState, LogReset
from ..exceptions import CorruptLog

__all__ = ["Frame", "encode_frame", "has_frame_after", "read_frame", "unpack_records"]

_MAGIC = b"JwF1"
_HEADER = struct.Struct(">4sIQQ")
_CHECKED = struct.Struct(">IQ")
_HARD_STATE = 0
_ENTRY = 1
_RESET = 2

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[list[Any]])


class Frame(NamedTuple):
    """A valid frame in a segment; ``end`` is the position after it."""

    sequence: int
    payload: bytes
    end: int


def _checksum(payload: bytes, sequence: int, seed: int) -> int:
    digest = xxhash.xxh3_64(_CHECKED.pack(len(payload), sequence), seed=seed)
    digest.update(payload)
    return digest.intdigest()


def encode_frame(records: list[Any], sequence: int, seed: int) -> bytes:
    """Return the bytes of one frame.

    Args:
        records: ``HardState``, ``Entry`` and ``LogReset`` values.
        sequence: Number of the frame, one more than that of the frame before.
        seed: Seed of the checksum. It is private to the disk, so that no command
            can contain bytes that are mistaken for a frame.
    """
    payload = _encoder.encode([_pack(record) for record in records])
    checksum = _checksum(payload, sequence, seed)
    return _HEADER.pack(_MAGIC, len(payload), sequence, checksum) + payload


def _pack(record: Any) -> tuple[Any, ...]:
    if type(record) is Entry:
        return (_ENTRY, *record)
    if type(record) is HardState:
        return (_HARD_STATE, *record)
    return (_RESET, *record)


def unpack_records(payload: bytes) -> Iterator[Any]:
    """Yield the records of a frame.

    Raises:
        CorruptLog: If the payload is not a list of records.
    """
    try:
        for kind, *fields in _decoder.decode(payload):
            yield _TYPES[kind](*fields)
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
        raise CorruptLog(f"unreadable records: {error}") from error


_TYPES: dict[int, Any] = {_HARD_STATE: HardState, _ENTRY: Entry, _RESET: LogReset}


def read_frame(data: bytes, position: int, seed: int) -> Frame | None:
    """Return the frame at ``position``, or None if it is not valid."""
    start = position + _HEADER.size
    if start > len(data):
        return None
    magic, length, sequence, checksum = _HEADER.unpack_from(data, position)
    if magic != _MAGIC or start + length > len(data):
        return None
    payload = data[start : start + length]
    if _checksum(payload, sequence, seed) != checksum:
        return None
    return Frame(sequence, payload, start + length)


def has_frame_after(data: bytes, position: int, seed: int) -> bool:
    """Return whether a valid frame starts at ``position`` or later."""
    found = data.find(_MAGIC, position)
    while found >= 0:
        if read_frame(data, found, seed) is not None:
            return True
        found = data.find(_MAGIC, found + 1)
    return False
