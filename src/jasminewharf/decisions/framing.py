"""How the end of an answer is told."""

from collections.abc import Iterable

__all__ = ["is_close_delimited", "is_final_status"]

_WITHOUT_BODY = frozenset({204, 304})
_FIRST_FINAL = 200
_FINAL = range(_FIRST_FINAL, 600)
_LENGTHS = frozenset({"content-length", "transfer-encoding"})


def is_final_status(status: int) -> bool:
    """Return whether an answer may have this status (RFC 9110, 15)."""
    return status in _FINAL


def is_close_delimited(
    method: str, status: int, headers: Iterable[tuple[str, str]]
) -> bool:
    """Return whether only the end of the connection ends an answer's body.

    A server that stops early then ends its answer in the same way as a whole one, so
    that nobody who passes it on may state an end.

    Args:
        method: The request's method.
        status: The answer's status.
        headers: The answer's headers as the server sent them, names in lower case.
    """
    if method == "HEAD" or status in _WITHOUT_BODY or status < _FIRST_FINAL:
        return False
    return all(name not in _LENGTHS for name, _ in headers)
