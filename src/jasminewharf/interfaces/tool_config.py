"""``jasminewharf config``: service documents."""

import difflib
import getpass
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import cappa

from ..decisions.acceptance import DocumentRecord, Revision
from ..decisions.fleet import FleetState
from ..documents import parse_document
from ..exceptions import ConfigurationError, DocumentError, NotKnown
from ..identifiers import new_token
from ..messages.commands import SubmitDocument
from ..settings import load_settings, load_tool_settings
from .exits import EXIT_DIFFERENT, EXIT_INVALID
from .tool_base import Progress, ToolCommand, WaitOptions, describe_error, format_table
from .tool_wait import wait_in_force

__all__ = ["ConfigCommand"]

Service = Annotated[str, cappa.Arg(help="The service's name.")]


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError(path, 0, "", f"cannot be read: {error}") from error


def _find_record(state: FleetState, service: str) -> DocumentRecord:
    record = state.documents.get(service)
    if record is None:
        known = ", ".join(sorted(state.documents)) or "none"
        raise NotKnown(f"no service {service!r}; known are: {known}")
    return record


def _find_revision(record: DocumentRecord, version: int) -> Revision:
    wanted = version or record.version
    for revision in record.history:
        if revision.version == wanted:
            return revision
    kept = ", ".join(str(revision.version) for revision in record.history)
    raise NotKnown(f"{record.service} has no version {wanted}; kept are: {kept}")


_CHECKS = {
    "document": lambda path: parse_document(_read_file(path), path),
    "settings": load_settings,
    "tool": load_tool_settings,
}


@cappa.command(
    name="check",
    help="Check files without a connection.",
    description="Example: jasminewharf config check translation.yaml",
)
@dataclass(kw_only=True)
class CheckCommand(ToolCommand):
    """Check files; nothing is submitted."""

    files: Annotated[list[str], cappa.Arg(num_args=-1, required=True, help="Files.")]
    kind: Annotated[
        Literal["document", "settings", "tool"],
        cappa.Arg(
            long=True,
            help="A service's document, or settings of a process or of this tool.",
        ),
    ] = "document"

    async def run(self, progress: Progress) -> int:
        """Show all errors, one for each file that is not acceptable."""
        results = [(path, self._find_error(path)) for path in self.files]
        payload = [
            {
                "file": path,
                "ok": error is None,
                "error": error and describe_error(error),
            }
            for path, error in results
        ]
        lines = [
            f"{path}: ok" if error is None else f"error: {error}"
            for path, error in results
        ]
        self.show(payload, "\n".join(lines))
        return EXIT_INVALID if any(error for _, error in results) else 0

    def _find_error(self, path: str) -> ConfigurationError | None:
        try:
            _CHECKS[self.kind](path)
        except ConfigurationError as error:
            return error
        return None


@cappa.command(
    name="submit",
    help="Submit a service's document.",
    description=(
        "Example: jasminewharf config submit translation.yaml --expect-version 3 --wait"
    ),
)
@dataclass(kw_only=True)
class SubmitCommand(WaitOptions):
    """Submit a document; it wins only against the version it was written for."""

    file: Annotated[str, cappa.Arg(help="The document.")]
    expect_version: Annotated[
        int | None,
        cappa.Arg(long=True, help="The current version; else the file's `version`."),
    ] = None
    author: Annotated[
        str, cappa.Arg(long=True, help="Who submits; else the user's name.")
    ] = ""

    async def run(self, progress: Progress) -> None:
        """Submit and show the new version."""
        body = _read_file(self.file)
        document = parse_document(body, self.file)
        expected = (
            document.version if self.expect_version is None else self.expect_version
        )
        command = SubmitDocument(
            self.submission or new_token(),
            document.service,
            expected,
            body,
            self.author or getpass.getuser(),
        )
        async with self.connect() as operator:
            accepted = await operator.submit(command)
            if self.wait:
                await wait_in_force(
                    operator, accepted.index, self.wait_timeout, progress
                )
        state = "in force everywhere" if self.wait else "accepted"
        self.show(
            {
                "service": document.service,
                "version": accepted.version,
                "index": accepted.index,
                "in_force": self.wait,
            },
            f"{document.service}: version {accepted.version} {state}",
        )


@cappa.command(
    name="get",
    help="Print a service's document.",
    description="Example: jasminewharf config get translation > translation.yaml",
)
@dataclass(kw_only=True)
class GetCommand(ToolCommand):
    """Print a document as it was submitted."""

    service: Service
    version: Annotated[
        int, cappa.Arg(long=True, help="An earlier version; else the current one.")
    ] = 0

    async def run(self, progress: Progress) -> None:
        """Show the document."""
        async with self.connect() as operator:
            state = await operator.read_state()
        revision = _find_revision(_find_record(state, self.service), self.version)
        payload = {"service": self.service, **revision._asdict()}
        self.show(payload, revision.body.rstrip("\n"))


@cappa.command(
    name="history",
    help="List the versions of a service's document.",
    description="Example: jasminewharf config history translation --output json",
)
@dataclass(kw_only=True)
class HistoryCommand(ToolCommand):
    """List the versions that are kept, newest first."""

    service: Service

    async def run(self, progress: Progress) -> None:
        """Show version, log index and author of each."""
        async with self.connect() as operator:
            state = await operator.read_state()
        history = _find_record(state, self.service).history[::-1]
        payload = [
            {"version": item.version, "index": item.index, "author": item.author}
            for item in history
        ]
        rows = [list(item.values()) for item in payload]
        self.show(payload, format_table(["VERSION", "INDEX", "AUTHOR"], rows))


@cappa.command(
    name="diff",
    help="Compare a file or an earlier version with the current document.",
    description=(
        "Exits with 10 if they differ. Examples: "
        "jasminewharf config diff translation translation.yaml; "
        "jasminewharf config diff translation --from 2 --to 3"
    ),
)
@dataclass(kw_only=True)
class DiffCommand(ToolCommand):
    """Compare documents line by line."""

    service: Service
    file: Annotated[str, cappa.Arg(help="A file to compare with; else use --from.")] = (
        ""
    )
    from_version: Annotated[
        int, cappa.Arg(long="--from", help="The older version; else the current one.")
    ] = 0
    to_version: Annotated[
        int, cappa.Arg(long="--to", help="The newer version; else the current one.")
    ] = 0

    async def run(self, progress: Progress) -> int:
        """Show a unified diff."""
        async with self.connect() as operator:
            state = await operator.read_state()
        record = _find_record(state, self.service)
        old = _find_revision(record, self.from_version)
        old_name = f"{self.service} version {old.version}"
        if self.file:
            new_body, new_name = _read_file(self.file), self.file
        else:
            new = _find_revision(record, self.to_version)
            new_body, new_name = new.body, f"{self.service} version {new.version}"
        lines = list(
            difflib.unified_diff(
                old.body.splitlines(),
                new_body.splitlines(),
                old_name,
                new_name,
                "",
                "",
                lineterm="",
            )
        )
        self.show({"different": bool(lines), "lines": lines}, "\n".join(lines))
        return EXIT_DIFFERENT if lines else 0


@cappa.command(name="config", help="Check, submit and read service documents.")
@dataclass
class ConfigCommand:
    """Check, submit and read service documents."""

    command: cappa.Subcommands[
        CheckCommand | SubmitCommand | GetCommand | HistoryCommand | DiffCommand
    ]
