"""Registries: plain dicts that a decorator fills."""

from collections.abc import Callable
from typing import TypeVar

from .exceptions import DuplicateRegistration, UnknownRegistration

_T = TypeVar("_T")

__all__ = ["lookup", "register"]


def register(registry: dict[str, _T], name: str) -> Callable[[_T], _T]:
    """Return a decorator that enters its target into ``registry``.

    Args:
        registry: The dict to fill.
        name: The key under which the target is found.

    Raises:
        DuplicateRegistration: If the name is taken.
    """

    def enter(target: _T) -> _T:
        if name in registry:
            raise DuplicateRegistration(name)
        registry[name] = target
        return target

    return enter


def lookup(registry: dict[str, _T], name: str) -> _T:
    """Return the entry called ``name``.

    Raises:
        UnknownRegistration: If there is none; the error lists the known names.
    """
    try:
        return registry[name]
    except KeyError:
        raise UnknownRegistration(name, sorted(registry)) from None
