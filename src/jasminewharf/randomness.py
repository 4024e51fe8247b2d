"""The random source that decision modules are given.

``random.Random`` satisfies the protocol. Decision modules never create one, so
that a seed reproduces every run.
"""

from collections.abc import Sequence
from typing import Protocol, TypeVar

_T = TypeVar("_T")

__all__ = ["RandomSource"]


class RandomSource(Protocol):
    """The part of ``random.Random`` that decisions use."""

    def random(self) -> float:
        """Return a float in [0, 1)."""

    def uniform(self, a: float, b: float) -> float:
        """Return a float between ``a`` and ``b``."""

    def randrange(self, start: int, stop: int | None = None) -> int:
        """Return an integer of the given range."""

    def sample(self, population: Sequence[_T], k: int) -> list[_T]:
        """Return ``k`` distinct members of ``population``."""
