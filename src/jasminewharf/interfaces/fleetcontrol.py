"""The services of a control host that finds the others."""

from ..kernel import Kernel
from ..registry import register
from ..services.broadcast import Broadcast
from ..services.configurations import ConfigurationService
from ..services.control import FLEET_GROUP, ControlServer
from ..services.controllers import Controllers
from ..services.entrycounter import EntryCounter
from ..services.evacuations import EvacuationService
from ..services.fleet import Fleet
from ..services.gathering import Gathering
from ..services.log import LogService, LogSettings
from ..services.permitowner import PermitOwner
from ..services.poisonowner import PoisonOwner
from ..services.process import Process
from ..services.publisher import Publisher
from ..services.ratelender import RateLender
from ..services.relay import EngineRelay
from ..services.reload import SettingsReload
from ..services.repair import Repair
from ..services.serverlist import ServerListReader
from ..services.storeslots import StoreSlotOwner
from ..services.view import ControlConfigurationView
from .operatorhttp import OperatorHttp
from .probes import MetricsHttp
from .roles import FLEET_ROLES, register_all

__all__ = ["build_fleet_control"]


def build_fleet_log(kernel: Kernel) -> LogService:
    """Return the log service of a control host that finds the others by seeds."""
    settings = kernel.settings
    fleet = settings.fleet
    seeds = fleet.seed_ips
    return LogService(
        kernel,
        LogSettings(
            name=settings.node,
            folder=settings.data_folder,
            address=settings.own_control_host.peer_address,
            peers={
                ip: fleet.control_host(ip).peer_address
                for ip in seeds
                if ip != settings.node
            },
            groups=(FLEET_GROUP,),
            election_s=settings.timing.election_timeout_s,
            heartbeat_s=settings.timing.heartbeat_s,
            may_found=fleet.first_start and settings.node in seeds,
        ),
    )


@register(FLEET_ROLES, "control")
def build_fleet_control(kernel: Kernel) -> None:
    """Register the services of a control host that finds the others."""
    register_all(
        kernel,
        (
            Process,
            MetricsHttp,
            build_fleet_log,
            Controllers,
            SettingsReload,
            Fleet,
            ControlServer,
            Publisher,
            Broadcast,
            EntryCounter,
            Gathering,
            EngineRelay,
            PermitOwner,
            PoisonOwner,
            ControlConfigurationView,
            ServerListReader,
            RateLender,
            StoreSlotOwner,
            ConfigurationService,
            EvacuationService,
            Repair,
            OperatorHttp,
        ),
    )
