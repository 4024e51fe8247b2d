"""TLS towards callers, with certificates that change while running."""

import asyncio
import logging
import os
import ssl

from .. import events
from ..defaults import TLS_REFRESH_S
from ..exceptions import KeyFileError
from ..services.secretfiles import check_private
from ..settings import TlsSettings

__all__ = ["CallerTls"]

_logger = logging.getLogger(__name__)


class CallerTls:
    """The TLS context of an entry.

    Attributes:
        context: New connections use the certificate that was loaded last.

    Raises:
        KeyFileError: If the files cannot be used.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._seen = self._stat()
        # Files that do not belong together would leave the live context without a
        # usable pair, so that each load is tried on a context of its own first.
        self.context = _load(_new_context(), settings)

    def _stat(self) -> tuple[tuple[int, int], ...]:
        seen = []
        for path in (self._settings.certificate_file, self._settings.key_file):
            try:
                status = os.stat(path)
            except OSError as error:
                raise KeyFileError(path, f"cannot be read: {error.strerror}") from error
            seen.append((status.st_mtime_ns, status.st_ino))
        return tuple(seen)

    async def watch_files(self) -> None:
        """Take up changed files until cancelled."""
        while True:
            await asyncio.sleep(TLS_REFRESH_S)
            self.refresh()

    def refresh(self) -> None:
        """Take up changed files; what cannot be used changes nothing."""
        try:
            seen = self._stat()
            if seen == self._seen:
                return
            self._seen = seen
            _load(_new_context(), self._settings)
            _load(self.context, self._settings)
        except KeyFileError as error:
            events.emit(_logger, events.CERTIFICATE_REFUSED, error=error)
            return
        events.emit(_logger, events.CERTIFICATE_CHANGED)


def _new_context() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["http/1.1"])
    return context


def _load(context: ssl.SSLContext, settings: TlsSettings) -> ssl.SSLContext:
    check_private(settings.key_file)
    try:
        # A password is never asked for on the terminal of a daemon.
        context.load_cert_chain(
            settings.certificate_file, settings.key_file, password=lambda: ""
        )
    except (ssl.SSLError, OSError, ValueError) as error:
        reason = f"certificate and key cannot be used: {type(error).__name__}"
        raise KeyFileError(settings.key_file, reason) from error
    return context
