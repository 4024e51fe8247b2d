"""The daemon's command line."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from .running import run_daemon

__all__ = ["DaemonCommand", "run_command"]


@dataclass
class DaemonCommand:
    """Run one process of jasminewharf; its role is in the settings."""

    settings: Annotated[
        str, cappa.Arg(long=True, help="The settings file (see docs/configuration.md).")
    ]


def run_command(arguments: list[str] | None = None) -> None:
    """Run the process that the command line names."""
    run_daemon(cappa.parse(DaemonCommand, argv=arguments).settings)
