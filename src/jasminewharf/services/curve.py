"""CURVE keys of internal links.

A key pair is a secret file ``ROLE-NODE.key_secret`` and a public file
``ROLE-NODE.key``. The trusted folder holds the public files of all processes of
the fleet; a process may claim only the role and node in the name of the file that
holds its key. ``ROLE-NODE.next.key`` announces the key that a process changes to.
"""

import os
import stat
from pathlib import Path
from typing import NamedTuple

import zmq
import zmq.auth

from ..exceptions import KeyFileError
from .secretfiles import check_private

__all__ = ["KeyPair", "Trust", "load_key_pair", "write_key_pair"]

_PUBLIC_SUFFIX = ".key"
_SECRET_SUFFIX = ".key_secret"
_NEXT_SUFFIX = ".next"
_SECRET_MODE = 0o600
_PUBLIC_MODE = 0o644
_KEY_CHARACTERS = 40
_WRITABLE_BY_OTHERS = stat.S_IWGRP | stat.S_IWOTH


class KeyPair(NamedTuple):
    """A public and a secret key in Z85 form."""

    public: bytes
    secret: bytes

    def __repr__(self) -> str:
        """Return a text without the secret, for tracebacks and logs."""
        return f"KeyPair(public={self.public!r})"


def load_key_pair(path: str) -> KeyPair:
    """Return the pair in a secret file.

    Raises:
        KeyFileError: If the file is open to others or holds no pair.
    """
    check_private(path)
    public, secret = _load_certificate(path)
    if secret is None or len(secret) != _KEY_CHARACTERS:
        raise KeyFileError(path, "holds no secret key")
    # A secret file joined with another pair's public key would only fail at the
    # first handshake, without a reason.
    if zmq.curve_public(secret) != public:
        raise KeyFileError(path, "public and secret key do not belong together")
    return KeyPair(public, secret)


def _load_certificate(path: str) -> tuple[bytes, bytes | None]:
    try:
        public, secret = zmq.auth.load_certificate(path)
    except (OSError, ValueError) as error:
        raise KeyFileError(path, "holds no key of pyzmq's format") from error
    if len(public) != _KEY_CHARACTERS:
        raise KeyFileError(path, "holds no public key")
    return public, secret


def write_key_pair(folder: str, role: str, node: str) -> tuple[str, str]:
    """Write a new pair and return the paths of the secret and the public file.

    Raises:
        KeyFileError: If a file exists or cannot be written.
    """
    public, secret = zmq.curve_keypair()
    stem = Path(folder) / f"{role}-{node}"
    secret_file = f"{stem}{_SECRET_SUFFIX}"
    public_file = f"{stem}{_PUBLIC_SUFFIX}"
    public_line = f'curve\n    public-key = "{public.decode()}"\n'
    secret_line = f'    secret-key = "{secret.decode()}"\n'
    _create(secret_file, public_line + secret_line, _SECRET_MODE)
    _create(public_file, public_line, _PUBLIC_MODE)
    return secret_file, public_file


def _create(path: str, text: str, mode: int) -> None:
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    except OSError as error:
        raise KeyFileError(path, f"cannot be written: {error.strerror}") from error
    with open(descriptor, "w", encoding="ascii") as file:
        os.fchmod(descriptor, mode)
        file.write(text)


class Trust:
    """The public keys in a folder.

    Attributes:
        refused: What is wrong with files that were left out, by path.
    """

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self._names: dict[str, set[str]] = {}
        self._keys: dict[str, bytes] = {}
        self._seen: dict[str, tuple[int, int, int]] = {}
        self.refused: dict[str, str] = {}
        self.refresh()

    def refresh(self) -> bool:
        """Read the folder again if a file has changed; return whether one has.

        Raises:
            KeyFileError: If the folder cannot be read; what is known is kept.
        """
        seen = self._scan()
        if seen == self._seen:
            return False
        names: dict[str, set[str]] = {}
        keys: dict[str, bytes] = {}
        self.refused = {}
        for path in seen:
            try:
                public = self._read(path)
            except KeyFileError as error:
                self.refused[path] = error.reason
                continue
            name = Path(path).name.removesuffix(_PUBLIC_SUFFIX)
            names.setdefault(public.decode(), set()).add(
                name.removesuffix(_NEXT_SUFFIX)
            )
            keys[name] = public
        self._names, self._keys, self._seen = names, keys, seen
        return True

    def _scan(self) -> dict[str, tuple[int, int, int]]:
        try:
            with os.scandir(self._folder) as entries:
                files = [e for e in entries if e.name.endswith(_PUBLIC_SUFFIX)]
                stats = {entry.path: entry.stat() for entry in files}
        except OSError as error:
            raise KeyFileError(
                self._folder, f"cannot be read: {error.strerror}"
            ) from error
        return {
            path: (status.st_mtime_ns, status.st_ino, status.st_mode)
            for path, status in sorted(stats.items())
        }

    def _read(self, path: str) -> bytes:
        mode = os.stat(path).st_mode
        if mode & _WRITABLE_BY_OTHERS:
            raise KeyFileError(
                path, f"has mode {stat.S_IMODE(mode):04o}; others may write it"
            )
        return _load_certificate(path)[0]

    def is_known(self, public: str) -> bool:
        """Return whether a process with this public key may connect."""
        return public in self._names

    def names(self, public: str) -> frozenset[str]:
        """Return the names under which ``public`` is trusted."""
        return frozenset(self._names.get(public, ()))

    def allows(self, public: str, role: str, node: str) -> bool:
        """Return whether the holder of ``public`` may claim role and node."""
        return f"{role}-{node}" in self._names.get(public, ())

    def find_key(self, role: str, node: str) -> bytes | None:
        """Return the public key with which ``node`` serves; None if unknown."""
        return self._keys.get(f"{role}-{node}")
