"""Evacuations of availability zones: command 122, other messages 216 to 218."""

from typing import NamedTuple

from .codec import message

__all__ = ["EvacuateZone", "SetEvacuation", "SubmitEvacuation", "EvacuationAnswer"]


@message(122)
class SetEvacuation(NamedTuple):
    """A command of the log group ``fleet``: evacuates a zone, or ends that.

    It takes effect only while ``revision`` is that of the zone's state.
    """

    zone: str
    is_evacuated: bool
    revision: int


@message(216)
class EvacuateZone(NamedTuple):
    """The tool asks a control host to evacuate a zone, or to end that.

    ``revision`` is that of the zone's state, which the tool has read before.
    """

    zone: str
    is_evacuated: bool
    revision: int


@message(217)
class EvacuationAnswer(NamedTuple):
    """Answers :class:`EvacuateZone` once the state is committed."""

    zone: str
    is_evacuated: bool
    revision: int


@message(218)
class SubmitEvacuation(NamedTuple):
    """A control host asks the leader to commit a call that it has checked."""

    zone: str
    is_evacuated: bool
    revision: int
