"""The operators' tool."""

import asyncio
import sys
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

from ..exceptions import JasminewharfError
from ..logs import configure_logging
from ..settings import LogFormat
from .exits import find_exit_code
from .tool_account import AccountCommand
from .tool_config import ConfigCommand
from .tool_evacuations import EvacuateCommand
from .tool_explain import ExplainCommand
from .tool_keys import KeyCommand
from .tool_losses import LossesCommand
from .tool_members import MemberCommand
from .tool_status import DrainCommand, StatusCommand
from .tool_trace import TraceCommand
from .tool_where import WhereCommand

__all__ = ["Tool", "main"]


@cappa.command(
    name="run",
    help="Run a whole local system with stand-in engines.",
    description="Example: jasminewharf run --port 8080 --data ./state",
)
@dataclass
class RunCommand:
    """Run a whole local system with stand-in engines."""

    port: Annotated[int, cappa.Arg(long=True, help="Port for callers.")] = 8080
    data: Annotated[
        str, cappa.Arg(long=True, help="Folder that keeps the state; else temporary.")
    ] = ""
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"],
        cappa.Arg(long=True, help="Least level of the log lines shown."),
    ] = "warning"

    def __call__(self) -> None:
        """Run until interrupted."""
        # The services of all roles double the tool's start-up time of half a second.
        from .local import LocalOptions, run_local

        configure_logging("local", LogFormat("text", self.log_level))
        options = LocalOptions(self.port, self.data, self.log_level)
        try:
            asyncio.run(run_local(options, lambda line: print(line, flush=True)))
        except JasminewharfError as error:
            print(f"error: {error}", file=sys.stderr)
            raise SystemExit(find_exit_code(error)) from error


@cappa.command(
    name="jasminewharf",
    help="Operate jasminewharf.",
    description=(
        "Every subcommand explains itself with --help. Shell completion: "
        'eval "$(jasminewharf --completion generate)". '
        "Exit codes are listed in docs/OPERATIONS.md."
    ),
)
@dataclass
class Tool:
    """Operate jasminewharf."""

    command: cappa.Subcommands[
        ConfigCommand
        | KeyCommand
        | StatusCommand
        | DrainCommand
        | EvacuateCommand
        | TraceCommand
        | ExplainCommand
        | LossesCommand
        | AccountCommand
        | MemberCommand
        | WhereCommand
        | RunCommand
    ]


def main(arguments: list[str] | None = None) -> None:
    """Run the tool's command line."""
    cappa.invoke(Tool, argv=arguments)
