"""Which services make up a role."""

from collections.abc import Callable
from importlib import import_module

from .. import platform  # noqa: F401  Registers its dialects.
from ..kernel import Kernel, Service
from ..registry import lookup
from ..settings import Settings

__all__ = ["DOCUMENT_ROLES", "FLEET_ROLES", "build_kernel", "register_all"]

ServiceBuilder = Callable[[Kernel], Service]
RoleBuilder = Callable[[Kernel], None]
# Roles of a fleet that is run by service documents.
DOCUMENT_ROLES: dict[str, RoleBuilder] = {}
# Roles of a fleet whose control hosts and backend servers are found while it runs.
FLEET_ROLES: dict[str, RoleBuilder] = {}


def build_kernel(settings: Settings, settings_file: str = "") -> Kernel:
    """Return a kernel with the services of the settings' role.

    Each role registers itself in a module of its own, which is imported here: a process
    that holds the code of all roles takes a quarter more memory.
    """
    kernel = Kernel(settings, settings_file)
    family, roles = ("document", DOCUMENT_ROLES)
    if settings.fleet is not None:
        family, roles = ("fleet", FLEET_ROLES)
    import_module(f".{family}{settings.role}", __package__)
    lookup(roles, settings.role)(kernel)
    return kernel


def register_all(kernel: Kernel, kinds: tuple[ServiceBuilder, ...]) -> None:
    """Register services in the order in which they start."""
    for kind in kinds:
        kernel.register(kind(kernel))
