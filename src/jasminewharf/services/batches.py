"""Batches of log messages: collected per peer, encoded, decoded and checked."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec

from .. import events
from ..decisions.records import COMMAND, MEMBERS, NOOP, decode_members, host_name
from ..exceptions import MalformedMessage
from ..messages import codec
from ..messages import log as messages
from ..settings import is_address
from .peers import PeerTransport

__all__ = ["Batches", "decode_batch"]

_logger = logging.getLogger(__name__)

_KNOWN = (
    messages.RequestVote,
    messages.VoteAnswer,
    messages.AppendEntries,
    messages.AppendAnswer,
    messages.SnapshotChunk,
    messages.SnapshotAnswer,
    messages.TimeoutNow,
    messages.ReadIndex,
    messages.ReadIndexAnswer,
    messages.DiskProbe,
    messages.DiskAnswer,
)


def decode_batch(frames: list[bytes]) -> tuple[messages.BatchHeader, list[Any]]:
    """Return the header and the messages of a batch.

    Raises:
        MalformedMessage: If a frame is no log message or holds values that no
            member sends.
    """
    decoded = [codec.decode(frame) for frame in frames]
    if not decoded or not isinstance(decoded[0], messages.BatchHeader):
        raise MalformedMessage("batch without a header")
    if not is_address(decoded[0].address):
        raise MalformedMessage("batch without the sender's address")
    for message in decoded[1:]:
        _check(message)
    return decoded[0], decoded[1:]


def _check(message: Any) -> None:
    if not isinstance(message, _KNOWN):
        raise MalformedMessage(f"{type(message).__name__} is no log message")
    # -1 stands for a refused read.
    lowest = -1 if isinstance(message, messages.ReadIndexAnswer) else 0
    if any(isinstance(field, int) and field < lowest for field in message):
        raise MalformedMessage(f"{type(message).__name__} with a negative number")
    if isinstance(message, messages.AppendEntries):
        for _, kind, data in message.entries:
            _check_entry(kind, data)


def _check_entry(kind: int, data: bytes) -> None:
    if kind not in (COMMAND, NOOP, MEMBERS):
        raise MalformedMessage(f"entry of unknown kind {kind}")
    if kind == MEMBERS:
        try:
            decode_members(data)
        except msgspec.MsgspecError as error:
            raise MalformedMessage(f"entry with unreadable members: {error}") from error


class Batches:
    """Sends the messages of one turn of the event loop as one batch per peer.

    Args:
        transport: Links to the other control hosts.
        make_header: Returns the header of a batch for a member identity.
        on_message: Called with the header and each message that arrives.

    Attributes:
        malformed_count: Batches dropped because they were no log messages.
    """

    def __init__(
        self,
        transport: PeerTransport,
        make_header: Callable[[str], messages.BatchHeader],
        on_message: Callable[[messages.BatchHeader, Any], None],
    ) -> None:
        self._transport = transport
        self._make_header = make_header
        self._on_message = on_message
        self._outbox: dict[str, list[Any]] = {}
        self.malformed_count = 0

    def send(self, receiver: str, message: Any) -> None:
        """Add a message for a member to its next batch."""
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outbox.setdefault(receiver, []).append(message)

    def _flush(self) -> None:
        outbox, self._outbox = self._outbox, {}
        for receiver, batch in outbox.items():
            self.send_batch(host_name(receiver), receiver, batch)

    def send_batch(self, host: str, receiver: str, batch: list[Any]) -> None:
        """Send messages to a host; ``receiver`` is empty if its disk is unknown."""
        frames = [codec.encode(self._make_header(receiver))]
        frames.extend(codec.encode(message) for message in batch)
        if not self._transport.send(host, frames):
            events.emit(_logger, events.PEER_QUEUE_FULL, host=host)

    def take(self, frames: list[bytes]) -> None:
        """Decode a batch and hand its messages over."""
        try:
            header, batch = decode_batch(frames)
        except MalformedMessage as error:
            self.malformed_count += 1
            events.emit(_logger, events.BATCH_MALFORMED, error=error)
            return
        if host_name(header.sender) == host_name(self._make_header("").sender):
            events.emit(_logger, events.BATCH_REFUSED, sender=header.sender)
            return
        self._transport.connect(host_name(header.sender), header.address)
        for message in batch:
            self._on_message(header, message)
