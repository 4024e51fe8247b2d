"""The daemon: one process of one role."""

import asyncio
import contextlib
import logging
import signal
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from .. import events
from ..exceptions import JasminewharfError, SettingsError
from ..kernel import Kernel
from ..logs import configure_logging
from ..settings import Settings, load_settings
from .exits import find_exit_code
from .roles import build_kernel

__all__ = ["DaemonCommand", "main", "run_process"]

_logger = logging.getLogger(__name__)


@dataclass
class DaemonCommand:
    """Run one process of jasminewharf; its role is in the settings."""

    settings: Annotated[
        str, cappa.Arg(long=True, help="The settings file (see docs/configuration.md).")
    ]


async def run_process(settings: Settings, settings_file: str = "") -> None:
    """Run until SIGTERM or SIGINT, then finish the work in flight and stop."""
    kernel = build_kernel(settings, settings_file)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _stop, kernel)
    if kernel.has("reload"):
        loop.add_signal_handler(signal.SIGHUP, kernel.find("reload").reload)
    events.emit(
        _logger, events.PROCESS_STARTING, role=settings.role, zone=settings.zone
    )
    await kernel.run()


def _stop(kernel: Kernel) -> None:
    events.emit(_logger, events.PROCESS_STOPPING)
    kernel.request_stop()


def main(arguments: list[str] | None = None) -> None:
    """Run the daemon's command line."""
    command = cappa.parse(DaemonCommand, argv=arguments)
    try:
        settings = load_settings(command.settings)
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        raise SystemExit(find_exit_code(error)) from error
    configure_logging(settings.logs.label or settings.node, settings.logs)
    try:
        with contextlib.suppress(KeyboardInterrupt):
            asyncio.run(run_process(settings, command.settings))
    except JasminewharfError as error:
        print(f"error: {error}", file=sys.stderr)
        raise SystemExit(find_exit_code(error)) from error
