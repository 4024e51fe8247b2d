"""Authentication of internal links, with keys that change while running."""

import asyncio
import logging
import weakref
from collections.abc import Callable
from typing import Any, Protocol

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from .. import events
from ..defaults import CURVE_REFRESH_S
from ..exceptions import KeyFileError
from ..metrics import Metrics
from .curve import KeyPair, Trust, load_key_pair

__all__ = ["LinkSecurity", "Rekeyable"]

_logger = logging.getLogger(__name__)

Configure = Callable[[zmq.Socket], None]


class Rekeyable(Protocol):
    """A link that can take up changed keys."""

    def take_new_keys(self) -> None:
        """Use the changed keys, at once or for the next connection."""


class LinkSecurity:
    """Own key pair, trusted keys and the ZAP handler of one ZeroMQ context.

    Args:
        secret_file: The own key pair.
        trusted_folder: Public keys of the fleet's processes.
        context: The context whose servers are to be protected.
        metrics: Where refusals are counted.

    Raises:
        KeyFileError: If the pair or the folder cannot be used.
    """

    def __init__(
        self,
        secret_file: str,
        trusted_folder: str,
        context: zmq.Context,
        metrics: Metrics,
    ) -> None:
        self._secret_file = secret_file
        self._context = context
        self._metrics = metrics
        self._pair = load_key_pair(secret_file)
        self.trust = Trust(trusted_folder)
        self._links: weakref.WeakSet[Any] = weakref.WeakSet()
        self._authenticator: AsyncioAuthenticator | None = None
        self._problem = ""

    @property
    def public_key(self) -> bytes:
        """The own public key in use."""
        return self._pair.public

    def start(self) -> None:
        """Answer the context's authentication requests; call before any bind."""
        self._log_refused_files()
        shared = zmq.asyncio.Context(self._context)
        self._authenticator = AsyncioAuthenticator(shared)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(credentials_provider=self)

    def stop(self) -> None:
        """Stop answering."""
        if self._authenticator is not None:
            self._authenticator.stop()
            self._authenticator = None

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a connecting key is trusted; called by pyzmq."""
        public = key.decode("ascii", "replace")
        if self.trust.is_known(public):
            return True
        self._metrics.count("link_refusals_total", reason="unknown_key")
        events.emit(_logger, events.KEY_REFUSED, public_key=public)
        return False

    def check(self, public: str, role: str, node: str) -> bool:
        """Return whether an authenticated peer may claim ``role`` and ``node``."""
        if self.trust.allows(public, role, node):
            return True
        self._metrics.count("link_refusals_total", reason="wrong_name")
        return False

    def watch_link(self, link: Rekeyable) -> None:
        """Tell ``link`` of changed keys for as long as it exists."""
        self._links.add(link)

    def configure_server(self, socket: zmq.Socket) -> None:
        """Set the keys of a socket that is about to be bound."""
        self._set_own(socket, self._pair)
        socket.curve_server = True

    def client_configurer(self, role: str, node: str) -> Configure:
        """Return a function that sets the keys of a socket about to connect."""

        def configure(socket: zmq.Socket) -> None:
            self._set_own(socket, self._pair)
            key = self.trust.find_key(role, node)
            if key is None:
                self._metrics.count("link_refusals_total", reason="no_server_key")
                events.emit(_logger, events.SERVER_KEY_MISSING, role=role, node=node)
                # With a random key the handshake fails until the file appears.
                key = zmq.curve_keypair()[0]
            socket.curve_serverkey = key

        return configure

    def _set_own(self, socket: zmq.Socket, pair: KeyPair) -> None:
        socket.curve_publickey = pair.public
        socket.curve_secretkey = pair.secret

    async def watch_files(self) -> None:
        """Read changed files again until cancelled."""
        while True:
            await asyncio.sleep(CURVE_REFRESH_S)
            self.refresh()

    def refresh(self) -> None:
        """Read changed files again; files that cannot be used change nothing."""
        try:
            pair = load_key_pair(self._secret_file)
            changed = self.trust.refresh()
        except KeyFileError as error:
            if str(error) != self._problem:
                self._problem = str(error)
                events.emit(_logger, events.KEY_FILE_REFUSED, error=error)
            return
        self._problem = ""
        if changed:
            self._log_refused_files()
        if changed or pair != self._pair:
            self._pair = pair
            events.emit(_logger, events.KEYS_CHANGED)
            for link in list(self._links):
                link.take_new_keys()

    def _log_refused_files(self) -> None:
        for path, reason in self.trust.refused.items():
            events.emit(_logger, events.KEY_FILE_REFUSED, file=path, reason=reason)
