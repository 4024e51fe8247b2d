"""Takes up a changed settings file: the seeds of the control hosts."""

import asyncio
import logging
from pathlib import Path
from typing import ClassVar

from .. import defaults, events
from ..exceptions import SettingsError
from ..kernel import Kernel, Service
from ..settings import load_settings, split_address

__all__ = ["SettingsReload"]

_logger = logging.getLogger(__name__)


class SettingsReload(Service):
    """Reads the settings again on SIGHUP, and when the file has changed without one.

    Only the seeds are taken up while running; the rest counts from the next start.
    """

    name: ClassVar[str] = "reload"
    requires: ClassVar[tuple[str, ...]] = ("controllers",)

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._text = ""
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Watch the file, which may have changed since the settings were loaded."""
        self._wake.set()
        self.spawn(self._watch(), essential=True)

    def reload(self) -> None:
        """Look at the file at once."""
        self._wake.set()

    def _read(self) -> str:
        file = self.kernel.settings_file
        if not file:
            return ""
        try:
            return Path(file).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            events.emit(_logger, events.SETTINGS_REFUSED, error=error)
            return self._text

    async def _watch(self) -> None:
        while True:
            try:
                async with asyncio.timeout(defaults.SETTINGS_REFRESH_S):
                    await self._wake.wait()
                self._wake.clear()
                is_asked = True
            except TimeoutError:
                is_asked = False
            text = self._read()
            if is_asked or text != self._text:
                self._text = text
                self._take()

    def _take(self) -> None:
        try:
            settings = load_settings(self.kernel.settings_file)
        except SettingsError as error:
            events.emit(_logger, events.SETTINGS_REFUSED, error=error)
            return
        seeds = settings.fleet.seeds if settings.fleet else []
        ips = sorted({split_address(seed)[0] for seed in seeds})
        events.emit(_logger, events.SETTINGS_RELOADED, seeds=ips)
        self.kernel.find("controllers").set_hosts(ips)
