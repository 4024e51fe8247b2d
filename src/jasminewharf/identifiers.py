"""Identifiers of processes and requests."""

import secrets

__all__ = ["RequestIds", "new_incarnation", "new_token"]

_INCARNATION_BITS = 63


def new_incarnation() -> int:
    """Return a random number that tells this process life from all others."""
    return secrets.randbits(_INCARNATION_BITS)


def new_token(byte_count: int = 16) -> str:
    """Return a random hexadecimal token of ``byte_count`` bytes."""
    return secrets.token_hex(byte_count)


class RequestIds:
    """Issues request identifiers of one process life.

    An identifier is the incarnation in hexadecimal, a dash and a counter, so that
    an answer to an earlier life of the process never matches a later request.
    """

    def __init__(self, incarnation: int) -> None:
        self._prefix = f"{incarnation:016x}"
        self._counter = 0

    def issue(self) -> str:
        """Return the next identifier."""
        self._counter += 1
        return f"{self._prefix}-{self._counter:x}"
