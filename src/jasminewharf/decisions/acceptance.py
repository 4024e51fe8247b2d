"""Acceptance of service documents: compare-and-set with resend detection."""

from typing import NamedTuple

from ..messages.commands import CommandResult, SubmitDocument

__all__ = ["DocumentRecord", "Revision", "judge_submission"]


class Revision(NamedTuple):
    """One accepted version of a document."""

    version: int
    index: int
    author: str
    body: str


class DocumentRecord(NamedTuple):
    """A service's current document and its history.

    ``document`` is the validated form of the last revision. ``history`` is bounded;
    the oldest revisions are dropped first.
    """

    service: str
    version: int
    author: str
    document: bytes
    history: list[Revision]


def judge_submission(
    command: SubmitDocument, current: DocumentRecord | None
) -> CommandResult:
    """Accept or reject a submission.

    The first submission against a version wins; a later one against the same
    version is a conflict, reported with the author of the accepted one.
    """
    version = current.version if current else 0
    if command.expected_version != version:
        winner = current.author if current else ""
        text = f"expected version {command.expected_version}, current is {version}"
        return CommandResult("VersionConflict", text, version, winner)
    if not command.document:
        return CommandResult("DocumentError", "the document was not checked", version)
    return CommandResult("", "accepted", version + 1)
