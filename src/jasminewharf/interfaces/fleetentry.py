"""The services of an entry that finds its backend servers."""

from ..kernel import Kernel
from ..registry import register
from ..services.coldservers import ColdServers
from ..services.controllers import Controllers
from ..services.demand import DemandService
from ..services.directory import DirectoryService
from ..services.evacuationview import EvacuationView
from ..services.feed import Feed
from ..services.forwarding import Forwarder
from ..services.lending import RateBorrower
from ..services.permits import Permits
from ..services.poisonguard import PoisonGuard
from ..services.process import Process
from ..services.reload import SettingsReload
from ..services.reports import Reporter
from ..services.retrybudgets import RetryBudgets
from ..services.serverchooser import ServerChooser
from ..services.serverlimits import ServerLimits
from ..services.upstream import Upstream
from ..services.view import ConfigurationView
from .gateway import Gateway
from .probes import MetricsHttp, Readiness
from .roles import FLEET_ROLES, register_all

__all__ = ["build_fleet_entry"]


@register(FLEET_ROLES, "entry")
def build_fleet_entry(kernel: Kernel) -> None:
    """Register the services of an entry that finds its backend servers."""
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
            RateBorrower,
            RetryBudgets,
            ServerLimits,
            ColdServers,
            Permits,
            Upstream,
            DemandService,
            ServerChooser,
            PoisonGuard,
            Forwarder,
            Gateway,
            Readiness,
        ),
    )
