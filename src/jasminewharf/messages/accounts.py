"""Commands of the log group ``accounts``. Codes 140 to 159."""

from typing import NamedTuple

from .codec import message

__all__ = [
    "AccountBounds",
    "AccountsSnapshot",
    "AccountsTaken",
    "CheckpointAccounts",
    "CheckpointResult",
    "TakeAccounts",
]


class AccountBounds(NamedTuple):
    """What an account's owner promises to a successor, in tokens.

    The level never sinks below ``floor``, the outstanding grants never exceed
    ``ceiling``. The floor ``UNTOUCHED`` removes the account: its bucket is full and
    nothing is granted.
    """

    account: str
    floor: int
    ceiling: int

    UNTOUCHED = -1


@message(140)
class TakeAccounts(NamedTuple):
    """Makes the proposer the owner; the log index is its fencing number."""

    owner: str
    incarnation: int


@message(141)
class AccountsTaken(NamedTuple):
    """Answers :class:`TakeAccounts` with the bounds that the predecessor left.

    ``predecessor`` is the fencing number of the owner before; 0 if there was none.
    """

    fence: int
    predecessor: int
    bounds: list[AccountBounds]


@message(142)
class CheckpointAccounts(NamedTuple):
    """Sets bounds of accounts; ``number`` rises with each checkpoint of an owner."""

    fence: int
    number: int
    bounds: list[AccountBounds]


@message(143)
class CheckpointResult(NamedTuple):
    """``accepted`` is false if the proposer is no longer the owner."""

    accepted: bool


@message(144)
class AccountsSnapshot(NamedTuple):
    """The state of the group."""

    fence: int
    number: int
    bounds: list[AccountBounds]
