"""Conversion of exceptions to and from wire messages: type name, text and detail."""

from .. import exceptions
from ..exceptions import (
    JasminewharfError,
    LinkError,
    NotLeader,
    Refusal,
    VersionConflict,
)
from ..messages.link import Failure

__all__ = ["describe_failure", "restore_failure"]

_DETAIL_SEPARATOR = "|"


def describe_failure(error: JasminewharfError) -> Failure:
    """Convert ``error`` to its wire message."""
    return Failure(type(error).__name__, str(error), _describe_detail(error))


def _describe_detail(error: JasminewharfError) -> str:
    if isinstance(error, NotLeader):
        return _DETAIL_SEPARATOR.join((error.group, error.leader))
    if isinstance(error, VersionConflict):
        fields = (error.service, str(error.expected), str(error.current), error.winner)
        return _DETAIL_SEPARATOR.join(fields)
    if isinstance(error, Refusal):
        retry = "" if error.retry_after_ms is None else str(error.retry_after_ms)
        return _DETAIL_SEPARATOR.join((str(int(error.not_run)), retry))
    return ""


def restore_failure(failure: Failure) -> JasminewharfError:
    """Convert a wire message to its exception.

    Unknown types and malformed details become a :class:`LinkError`.
    """
    kind = getattr(exceptions, failure.error, None)
    if not isinstance(kind, type) or not issubclass(kind, JasminewharfError):
        return LinkError(failure.text)
    fields = failure.detail.split(_DETAIL_SEPARATOR)
    try:
        return _restore(kind, failure.text, fields)
    except (TypeError, ValueError):
        return LinkError(f"{failure.error}: {failure.text}")


def _restore(
    kind: type[JasminewharfError], text: str, fields: list[str]
) -> JasminewharfError:
    if kind is NotLeader:
        return NotLeader(fields[0], fields[1])
    if kind is VersionConflict:
        return VersionConflict(fields[0], int(fields[1]), int(fields[2]), fields[3])
    if issubclass(kind, Refusal):
        retry = int(fields[1]) if fields[1] else None
        return kind(text, not_run=fields[0] == "1", retry_after_ms=retry)
    return kind(text)
