"""Reading of files that hold a secret."""

import os
import stat

from ..exceptions import KeyFileError

__all__ = ["check_private", "read_secret"]

_OTHERS = stat.S_IRWXG | stat.S_IRWXO
_SECRET_LIMIT_BYTES = 64 * 1024


def check_private(path: str) -> None:
    """Check that only the file's owner may use it.

    Raises:
        KeyFileError: Naming the file and the reason.
    """
    try:
        mode = os.stat(path).st_mode
    except OSError as error:
        raise KeyFileError(path, f"cannot be read: {error.strerror}") from error
    if not stat.S_ISREG(mode):
        raise KeyFileError(path, "is not a regular file")
    if mode & _OTHERS:
        raise KeyFileError(
            path, f"has mode {stat.S_IMODE(mode):04o}; must be 0600 (chmod 600)"
        )


def read_secret(path: str) -> bytes:
    """Return a secret without surrounding white space.

    Raises:
        KeyFileError: If the file is open to others, unreadable, empty or too long.
    """
    check_private(path)
    try:
        with open(path, "rb") as file:
            content = file.read(_SECRET_LIMIT_BYTES + 1)
    except OSError as error:
        raise KeyFileError(path, f"cannot be read: {error.strerror}") from error
    if len(content) > _SECRET_LIMIT_BYTES:
        raise KeyFileError(path, f"is longer than {_SECRET_LIMIT_BYTES} bytes")
    secret = content.strip()
    if not secret:
        raise KeyFileError(path, "is empty")
    return secret
