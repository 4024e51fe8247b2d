"""What the subcommands of the operators' tool share."""

import asyncio
import contextlib
import json
import os
import sys
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import cappa

from .. import defaults
from ..exceptions import ConfigurationError, JasminewharfError, SettingsError
from ..settings import ToolSettings, load_tool_settings
from .exits import EXIT_FAILED, EXIT_INTERRUPTED, find_exit_code
from .operator import OperatorClient

__all__ = ["Progress", "ToolCommand", "WaitOptions", "describe_error", "format_table"]

SETTINGS_VARIABLE = "JASMINEWHARF_SETTINGS"


def describe_error(error: JasminewharfError) -> dict[str, Any]:
    """Return the object that ``--output json`` prints for an error."""
    described: dict[str, Any] = {
        "type": type(error).__name__,
        "message": str(error),
        "exit_code": find_exit_code(error),
    }
    if isinstance(error, ConfigurationError):
        described.update(
            file=error.file, line=error.line, path=error.path, reason=error.reason
        )
    return described


def format_table(head: list[str], rows: list[list[Any]]) -> str:
    """Return rows in aligned columns."""
    cells = [head, *([str(value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(head))]
    return "\n".join(
        "  ".join(
            value.ljust(width) for value, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


class Progress:
    """Tells on standard error what a command waits for, after the first second.

    Attributes:
        text: What is shown next.
    """

    def __init__(self, text: str) -> None:
        self.text = text
        self._width = 0

    async def tick(self) -> None:
        """Show the text at each interval until cancelled."""
        elapsed_s = 0.0
        try:
            while True:
                await asyncio.sleep(defaults.PROGRESS_INTERVAL_S)
                elapsed_s += defaults.PROGRESS_INTERVAL_S
                self._show(f"{self.text} ({elapsed_s:.0f} s)")
        finally:
            if self._width:
                print(file=sys.stderr)

    def _show(self, line: str) -> None:
        if sys.stderr.isatty():
            print(f"\r{line.ljust(self._width)}", end="", file=sys.stderr, flush=True)
            self._width = len(line)
        else:
            print(line, file=sys.stderr, flush=True)


@dataclass(kw_only=True)
class ToolCommand(ABC):
    """Options of every subcommand, and how its result and errors are shown."""

    settings: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(SETTINGS_VARIABLE, default=""),
            help=f"The tool's settings file; else ${SETTINGS_VARIABLE}.",
        ),
    ] = ""
    output: Annotated[
        Literal["text", "json"],
        cappa.Arg(long=True, help="Form of the result on standard output."),
    ] = "text"

    def __call__(self) -> None:
        """Run the subcommand and exit with its code."""
        try:
            code = asyncio.run(self._run_shown())
        except KeyboardInterrupt:
            raise SystemExit(EXIT_INTERRUPTED) from None
        except BrokenPipeError:
            # The reader has gone; Python would complain again when it flushes.
            os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
            raise SystemExit(EXIT_FAILED) from None
        except JasminewharfError as error:
            self._show_error(error)
            raise SystemExit(find_exit_code(error)) from error
        if code:
            raise SystemExit(code)

    async def _run_shown(self) -> int:
        progress = Progress("waiting for the control hosts")
        ticker = asyncio.ensure_future(progress.tick())
        try:
            return await self.run(progress) or 0
        finally:
            ticker.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await ticker

    @abstractmethod
    async def run(self, progress: Progress) -> int | None:
        """Carry the subcommand out; return its exit code, or None for 0."""

    def load_settings(self) -> ToolSettings:
        """Return the tool's settings.

        Raises:
            SettingsError: If no file is named or it is not acceptable.
        """
        if not self.settings:
            reason = f"name a file with --settings or ${SETTINGS_VARIABLE}"
            raise SettingsError("--settings", 0, "", reason)
        return load_tool_settings(self.settings)

    @contextlib.asynccontextmanager
    async def connect(self) -> AsyncIterator[OperatorClient]:
        """Open links to the control hosts."""
        async with OperatorClient(self.load_settings()) as operator:
            yield operator

    def show(self, payload: Any, text: str) -> None:
        """Print the result in the form that was asked for."""
        if self.output == "json":
            text = json.dumps(payload, ensure_ascii=False, indent=2)
        print(text, flush=True)

    def _show_error(self, error: JasminewharfError) -> None:
        if self.output == "json":
            body = {"error": describe_error(error)}
            print(json.dumps(body, ensure_ascii=False), file=sys.stderr)
        else:
            print(f"error: {error}", file=sys.stderr)


@dataclass(kw_only=True)
class WaitOptions(ToolCommand):
    """Options of subcommands that can wait until their order is in force."""

    wait: Annotated[
        bool, cappa.Arg(long=True, help="Wait until it is in force everywhere.")
    ] = False
    wait_timeout: Annotated[
        float, cappa.Arg(long=True, help="How long --wait waits, in seconds.")
    ] = defaults.WAIT_TIMEOUT_S
    submission: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Identifier that an earlier attempt without an answer named.",
        ),
    ] = ""
