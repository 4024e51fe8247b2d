"""The services of a control host of a fleet run by service documents."""

from ..kernel import Kernel
from ..registry import register
from ..services.accounts import ACCOUNTS_GROUP
from ..services.adapterslots import AdapterSlotOwner
from ..services.claims import claims_group
from ..services.control import FLEET_GROUP, ControlServer
from ..services.controllers import Controllers
from ..services.evacuations import EvacuationService
from ..services.fleet import Fleet
from ..services.gathering import Gathering
from ..services.hostlist import HostList
from ..services.log import CurveSettings, LogService, LogSettings
from ..services.members import Members
from ..services.planner import PlannerService
from ..services.process import Process
from ..services.publisher import Publisher
from ..services.requests import Requests, build_account_owner, build_claim_coordinator
from .roles import DOCUMENT_ROLES, register_all

__all__ = ["build_control"]


def build_log(kernel: Kernel) -> LogService:
    """Return the log service with its groups."""
    settings = kernel.settings
    partitions = range(settings.claim_partitions)
    curve = None
    if settings.curve is not None:
        curve = CurveSettings(settings.curve.secret_file, settings.curve.trusted_folder)
    return LogService(
        kernel,
        LogSettings(
            name=settings.node,
            folder=settings.data_folder,
            address=settings.own_control_host.peer_address,
            peers={
                host.name: host.peer_address
                for host in settings.control
                if host.name != settings.node
            },
            groups=(FLEET_GROUP, ACCOUNTS_GROUP, *map(claims_group, partitions)),
            election_s=settings.timing.election_timeout_s,
            heartbeat_s=settings.timing.heartbeat_s,
            curve=curve,
        ),
    )


@register(DOCUMENT_ROLES, "control")
def build_control(kernel: Kernel) -> None:
    """Register the services of a control host."""
    register_all(
        kernel,
        (
            Process,
            build_log,
            Controllers,
            Fleet,
            ControlServer,
            Publisher,
            Gathering,
            EvacuationService,
            PlannerService,
            HostList,
            AdapterSlotOwner,
            build_account_owner,
            build_claim_coordinator,
            Requests,
            Members,
        ),
    )
