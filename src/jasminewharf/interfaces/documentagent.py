"""The services of an agent of a fleet run by service documents."""

from ..kernel import Kernel
from ..registry import register
from ..services.adapterloads import AdapterLoader
from ..services.backends import Backends
from ..services.cachefeed import CacheFeedReader
from ..services.controllers import Controllers
from ..services.feed import Feed
from ..services.loader import Loader
from ..services.process import Process
from ..services.reports import Reporter
from ..services.traces import Traces
from .roles import DOCUMENT_ROLES, register_all

__all__ = ["build_agent"]


@register(DOCUMENT_ROLES, "agent")
def build_agent(kernel: Kernel) -> None:
    """Register the services of an agent."""
    register_all(
        kernel,
        (
            Process,
            Traces,
            Controllers,
            Feed,
            Reporter,
            AdapterLoader,
            Backends,
            Loader,
            CacheFeedReader,
        ),
    )
