"""Messages about parts of prompts that crash backend servers. Codes 210 to 219."""

from typing import NamedTuple

from .codec import message

__all__ = [
    "AskTrial",
    "EndReport",
    "PartReport",
    "PartReports",
    "TrialAnswer",
    "TrialEnded",
]


class EndReport(NamedTuple):
    """A server that ended so many milliseconds ago with a request that had a part.

    ``is_trial`` tells that this was the part's trial.
    """

    server: str
    born_ms: int
    age_ms: int
    is_trial: bool


class PartReport(NamedTuple):
    """What a node knows of a part.

    ``answered_age_ms`` is the age of the last whole answer to a request with it, -1 if
    none is known.
    """

    part: int
    answered_age_ms: int
    ends: list[EndReport]


@message(210)
class PartReports(NamedTuple):
    """Tells a control host, or a node that follows it, of parts of prompts."""

    reports: list[PartReport]


@message(211)
class AskTrial(NamedTuple):
    """An entry asks for the only trial of suspected parts; ``number`` is its own."""

    number: int
    parts: list[int]


@message(212)
class TrialAnswer(NamedTuple):
    """Answers :class:`AskTrial`."""

    is_granted: bool


@message(213)
class TrialEnded(NamedTuple):
    """The trial of that number has ended or gone well."""

    number: int
