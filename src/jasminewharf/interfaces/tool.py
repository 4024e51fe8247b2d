"""The operators' tool."""

import asyncio
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from ..exceptions import JasminewharfError
from ..logs import configure_logging
from .local import LocalOptions, run_local

__all__ = ["Tool", "main"]

EXIT_FAILED = 1


@cappa.command(name="run", help="Run a whole local system with stand-in engines.")
@dataclass
class RunCommand:
    """Run a whole local system with stand-in engines."""

    port: Annotated[int, cappa.Arg(long=True, help="Port for callers.")] = 8080
    data: Annotated[
        str, cappa.Arg(long=True, help="Folder that keeps the state; else temporary.")
    ] = ""
    log_level: Annotated[
        str, cappa.Arg(long=True, help="debug, info, warning or error.")
    ] = "warning"

    def __call__(self) -> None:
        """Run until interrupted."""
        configure_logging("local", "text", self.log_level)
        options = LocalOptions(self.port, self.data, self.log_level)
        asyncio.run(run_local(options, lambda line: print(line, flush=True)))


@cappa.command(name="jasminewharf", help="Operate jasminewharf.")
@dataclass
class Tool:
    """Operate jasminewharf."""

    command: cappa.Subcommands[RunCommand]


def main(arguments: list[str] | None = None) -> None:
    """Run the tool's command line."""
    try:
        cappa.invoke(Tool, argv=arguments)
    except JasminewharfError as error:
        print(f"error: {error}", file=sys.stderr)
        raise SystemExit(EXIT_FAILED) from error
