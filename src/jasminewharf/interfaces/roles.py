"""Which services make up a role."""

from collections.abc import Callable

from ..kernel import Kernel
from ..registry import lookup, register
from ..services.adapterloads import AdapterLoads
from ..services.adapterslots import AdapterSlotOwner
from ..services.backends import Backends
from ..services.control import ControlServer
from ..services.controllers import Controllers
from ..services.feed import Feed
from ..services.fleet import Fleet
from ..services.gathering import Gathering
from ..services.loader import Loader
from ..services.log import LogService
from ..services.planner import PlannerService
from ..services.process import Process
from ..services.publisher import Publisher
from ..services.reports import Reporter
from ..services.router import Router
from ..services.traces import Traces
from ..settings import Settings
from .callers import Callers

__all__ = ["ROLES", "build_kernel"]

RoleBuilder = Callable[[Kernel], None]
ROLES: dict[str, RoleBuilder] = {}


def build_kernel(settings: Settings) -> Kernel:
    """Return a kernel with the services of the settings' role."""
    kernel = Kernel(settings)
    lookup(ROLES, settings.role)(kernel)
    return kernel


def _register_all(kernel: Kernel, kinds: tuple[type, ...]) -> None:
    for kind in kinds:
        kernel.register(kind(kernel))


@register(ROLES, "entry")
def build_entry(kernel: Kernel) -> None:
    """Register the services of an entry."""
    _register_all(
        kernel, (Process, Traces, Controllers, Feed, Reporter, Router, Callers)
    )


@register(ROLES, "agent")
def build_agent(kernel: Kernel) -> None:
    """Register the services of an agent."""
    _register_all(
        kernel,
        (
            Process,
            Traces,
            Controllers,
            Feed,
            Reporter,
            AdapterLoads,
            Backends,
            Loader,
        ),
    )


@register(ROLES, "control")
def build_control(kernel: Kernel) -> None:
    """Register the services of a control host."""
    _register_all(
        kernel,
        (
            Process,
            LogService,
            Controllers,
            Fleet,
            ControlServer,
            Publisher,
            Gathering,
            PlannerService,
            AdapterSlotOwner,
        ),
    )
