"""One process of one role, from its settings to its end."""

import asyncio
import contextlib
import functools
import logging
import os
import signal
import sys
import time

from .. import defaults, events
from ..eventloop import EventLoop
from ..exceptions import JasminewharfError, SettingsError
from ..kernel import Kernel
from ..logs import configure_logging
from ..settings import Settings, load_settings
from .exits import find_exit_code
from .roles import build_kernel
from .signals import SignalHandlers

__all__ = ["load_written_settings", "run_daemon", "run_process"]

_logger = logging.getLogger(__name__)


async def run_process(settings: Settings, settings_file: str = "") -> None:
    """Run until SIGTERM or SIGINT, then finish the work in flight and stop."""
    kernel = build_kernel(settings, settings_file)
    # Unhandled, the notice of changed settings would end the process.
    reload = kernel.find("reload").reload if kernel.has("reload") else _note_hangup
    stop = functools.partial(_stop, kernel)
    handlers = {signal.SIGTERM: stop, signal.SIGINT: stop, signal.SIGHUP: reload}
    with SignalHandlers(handlers):
        events.emit(
            _logger, events.PROCESS_STARTING, role=settings.role, zone=settings.zone
        )
        await kernel.run()


def _stop(kernel: Kernel) -> None:
    events.emit(_logger, events.PROCESS_STOPPING)
    kernel.request_stop()


def _note_hangup() -> None:
    events.emit(_logger, events.SETTINGS_NOT_READ)


def load_written_settings(path: str) -> Settings:
    """Return the settings; a file that is just being written is read again.

    Raises:
        SettingsError: If the file cannot be used and has not been changed for a second.
    """
    deadline = time.monotonic() + 2 * defaults.SETTINGS_WRITTEN_S
    while True:
        try:
            return load_settings(path)
        except SettingsError:
            if not _has_just_changed(path) or time.monotonic() > deadline:
                raise
        time.sleep(defaults.SETTINGS_READ_AGAIN_S)


def _has_just_changed(path: str) -> bool:
    try:
        age_s = time.time() - os.stat(path).st_mtime
    except OSError:
        return False
    return 0 <= age_s < defaults.SETTINGS_WRITTEN_S


def run_daemon(settings_file: str) -> None:
    """Run the process that a settings file describes.

    Raises:
        SystemExit: With the exit code, if the settings or the process failed.
    """
    try:
        settings = load_written_settings(settings_file)
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        raise SystemExit(find_exit_code(error)) from error
    configure_logging(settings.logs.label or settings.node, settings.logs)
    try:
        with (
            contextlib.suppress(KeyboardInterrupt),
            asyncio.Runner(loop_factory=EventLoop) as runner,
        ):
            runner.run(run_process(settings, settings_file))
    except JasminewharfError as error:
        print(f"error: {error}", file=sys.stderr)
        raise SystemExit(find_exit_code(error)) from error
