"""The services of an agent beside one engine that it finds."""

from ..kernel import Kernel
from ..registry import register
from ..services.coldservers import ColdServers
from ..services.controllers import Controllers
from ..services.directory import DirectoryService
from ..services.engine import EngineManager
from ..services.evacuationview import EvacuationView
from ..services.feed import Feed
from ..services.permits import Permits
from ..services.process import Process
from ..services.reload import SettingsReload
from ..services.reports import Reporter
from ..services.serverlimits import ServerLimits
from ..services.view import ConfigurationView
from .probes import MetricsHttp
from .roles import FLEET_ROLES, register_all

__all__ = ["build_fleet_agent"]


@register(FLEET_ROLES, "agent")
def build_fleet_agent(kernel: Kernel) -> None:
    """Register the services of an agent beside one engine."""
    register_all(
        kernel,
        (
            Process,
            MetricsHttp,
            Controllers,
            SettingsReload,
            Feed,
            Reporter,
            ConfigurationView,
            DirectoryService,
            EvacuationView,
            ServerLimits,
            ColdServers,
            Permits,
            EngineManager,
        ),
    )
