"""Which services make up a role."""

from collections.abc import Callable

from .. import platform  # noqa: F401  Registers its dialects.
from ..kernel import Kernel, Service
from ..registry import lookup, register
from ..services.accounts import ACCOUNTS_GROUP, AccountHolder
from ..services.adapterloads import AdapterLoads
from ..services.adapterslots import AdapterSlotOwner
from ..services.agents import Agents
from ..services.backends import Backends
from ..services.broadcast import Broadcast
from ..services.cachefeed import CacheFeedReader
from ..services.claims import OrderClaims, claims_group
from ..services.configurations import ConfigurationService
from ..services.control import FLEET_GROUP, ControlServer
from ..services.controllers import Controllers
from ..services.demand import DemandService
from ..services.directory import DirectoryService
from ..services.engine import EngineKeeper
from ..services.feed import Feed
from ..services.fleet import Fleet
from ..services.forwarding import Forwarder
from ..services.gathering import Gathering
from ..services.hostlist import HostList
from ..services.lending import RateBorrower, RateLender
from ..services.loader import Loader
from ..services.log import CurveSettings, LogService, LogSettings
from ..services.members import Members
from ..services.planner import PlannerService
from ..services.process import Process
from ..services.publisher import Publisher
from ..services.relay import EngineRelay
from ..services.reload import SettingsReload
from ..services.repair import Repair
from ..services.reports import Reporter
from ..services.requests import (
    Requests,
    build_account_owner,
    build_claim_keeper,
)
from ..services.router import Router
from ..services.serverlist import ServerListReader
from ..services.traces import Traces
from ..services.upstream import Upstream
from ..services.view import ConfigurationView, ControlConfigurationView
from ..settings import Settings
from .callers import Callers
from .gateway import Gateway
from .operatorhttp import OperatorHttp
from .probes import MetricsHttp, Readiness

__all__ = ["FLEET_ROLES", "ROLES", "build_kernel"]

ServiceBuilder = Callable[[Kernel], Service]
RoleBuilder = Callable[[Kernel], None]
ROLES: dict[str, RoleBuilder] = {}
# Roles of a fleet whose control hosts and backend servers are found while it runs.
FLEET_ROLES: dict[str, RoleBuilder] = {}


def build_kernel(settings: Settings, settings_file: str = "") -> Kernel:
    """Return a kernel with the services of the settings' role."""
    kernel = Kernel(settings, settings_file)
    roles = ROLES if settings.fleet is None else FLEET_ROLES
    lookup(roles, settings.role)(kernel)
    return kernel


def _register_all(kernel: Kernel, kinds: tuple[ServiceBuilder, ...]) -> None:
    for kind in kinds:
        kernel.register(kind(kernel))


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


def build_account_holder(kernel: Kernel) -> AccountHolder:
    """Return the entry's part of rate accounts."""
    identity = kernel.find("process").identity
    return AccountHolder(
        kernel, kernel.find("controllers"), identity.node, identity.incarnation
    )


def build_order_claims(kernel: Kernel) -> OrderClaims:
    """Return the entry's part of order claims."""
    identity = kernel.find("process").identity
    return OrderClaims(
        kernel,
        kernel.find("controllers"),
        identity.node,
        identity.incarnation,
        kernel.settings.claim_partitions,
    )


@register(ROLES, "entry")
def build_entry(kernel: Kernel) -> None:
    """Register the services of an entry."""
    _register_all(
        kernel,
        (
            Process,
            Traces,
            Controllers,
            Feed,
            Reporter,
            build_account_holder,
            build_order_claims,
            Agents,
            Router,
            Callers,
        ),
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
            CacheFeedReader,
        ),
    )


@register(ROLES, "control")
def build_control(kernel: Kernel) -> None:
    """Register the services of a control host."""
    _register_all(
        kernel,
        (
            Process,
            build_log,
            Controllers,
            Fleet,
            ControlServer,
            Publisher,
            Gathering,
            PlannerService,
            HostList,
            AdapterSlotOwner,
            build_account_owner,
            build_claim_keeper,
            Requests,
            Members,
        ),
    )


@register(FLEET_ROLES, "entry")
def build_fleet_entry(kernel: Kernel) -> None:
    """Register the services of an entry that finds its backend servers."""
    _register_all(
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
            RateBorrower,
            Upstream,
            DemandService,
            Forwarder,
            Gateway,
            Readiness,
        ),
    )


@register(FLEET_ROLES, "agent")
def build_fleet_agent(kernel: Kernel) -> None:
    """Register the services of an agent beside one engine."""
    _register_all(
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
            EngineKeeper,
        ),
    )


@register(FLEET_ROLES, "control")
def build_fleet_control(kernel: Kernel) -> None:
    """Register the services of a control host that finds the others."""
    _register_all(
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
            Gathering,
            EngineRelay,
            ControlConfigurationView,
            ServerListReader,
            RateLender,
            ConfigurationService,
            Repair,
            OperatorHttp,
        ),
    )
