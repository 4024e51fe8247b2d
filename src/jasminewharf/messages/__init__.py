"""Typed messages between the processes."""

from . import calls, commands, control, feed, link, log
from .codec import MESSAGE_TYPES, decode, encode, message, message_code

__all__ = [
    "MESSAGE_TYPES",
    "calls",
    "commands",
    "control",
    "decode",
    "encode",
    "feed",
    "link",
    "log",
    "message",
    "message_code",
]
