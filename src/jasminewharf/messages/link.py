"""Messages that every internal link carries. Codes 1 to 19."""

from typing import NamedTuple

from .codec import message

__all__ = ["Failure", "Hello", "Part", "Welcome"]


@message(1)
class Hello(NamedTuple):
    """Opens a link: who the client is."""

    node: str
    role: str
    zone: str
    incarnation: int


@message(2)
class Welcome(NamedTuple):
    """Answers :class:`Hello`: who the server is."""

    node: str
    role: str
    incarnation: int
    zone: str = ""


@message(3)
class Failure(NamedTuple):
    """A request failed; ``error`` is the name of the exception type.

    ``detail`` is a type-specific value, for :class:`NotLeader` the leader's
    member identity.
    """

    error: str
    text: str
    detail: str = ""


@message(4)
class Part(NamedTuple):
    """A part of a payload that is too large for one frame.

    ``number`` tells the payload from others of the connection, ``index`` counts its
    ``count`` parts from 0.
    """

    number: int
    index: int
    count: int
    data: bytes
