"""Typed messages between the processes."""

from . import accounts, calls, claims, commands, control, evacuations, feed, link, log
from .codec import MESSAGE_TYPES, decode, encode, message, message_code

__all__ = [
    "MESSAGE_TYPES",
    "accounts",
    "calls",
    "claims",
    "commands",
    "control",
    "decode",
    "encode",
    "evacuations",
    "feed",
    "link",
    "log",
    "message",
    "message_code",
]
