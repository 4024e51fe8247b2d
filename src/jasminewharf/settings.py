"""Settings of a process, read from one YAML file."""

import ipaddress
import re
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from . import defaults
from .exceptions import SettingsError
from .schema import Matches, Range, load_yaml

__all__ = [
    "BackendSettings",
    "BoundSettings",
    "ControlHost",
    "CurveSettings",
    "FleetSettings",
    "LimitSettings",
    "LogFormat",
    "PolicySettings",
    "Settings",
    "StoreSettings",
    "TimingSettings",
    "TlsSettings",
    "ToolSettings",
    "is_address",
    "load_settings",
    "load_tool_settings",
    "parse_settings",
    "split_address",
]

_PORT_DIGITS = 5
_PORT_MAX = 65_535
# Offsets from the first internal port of a host.
_LINK_PORT = 0
_PEER_PORT = 1
_METRICS_PORT = 2


def is_address(text: str) -> bool:
    """Return whether ``text`` is an IP address and a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    is_plain = port.isascii() and port.isdigit() and len(port) <= _PORT_DIGITS
    return is_plain and int(port) <= _PORT_MAX


_ADDRESS = Matches(
    is_address,
    "an IP address and a port, such as 127.0.0.1:7100",
)
_NODE_NAME = Matches(
    re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}").fullmatch,
    "1 to 100 letters, digits, dots, dashes or underscores",
)
Address = Annotated[str, _ADDRESS]
NodeName = Annotated[str, _NODE_NAME]
Seconds = Annotated[float, Range(0.001, 86_400)]


class ControlHost(NamedTuple):
    """A control host: where nodes and where the other control hosts reach it."""

    name: NodeName
    address: Address
    peer_address: Address


class CurveSettings(NamedTuple):
    """CURVE keys of internal links.

    ``secret_file`` holds this process' key pair, written by ``jasminewharf key
    pair``; ``trusted_folder`` holds a file ``ROLE-NODE.key`` for each process of
    the fleet. Both are read again while running.
    """

    secret_file: str
    trusted_folder: str


class TlsSettings(NamedTuple):
    """Certificate and key towards callers, in PEM files."""

    certificate_file: str
    key_file: str


class BackendSettings(NamedTuple):
    """A backend server on this agent's host.

    ``checks_fencing`` tells whether it refuses orders with an old fencing number.
    ``token_file`` holds the secret that it asks of whoever gives it an order; empty
    if it does not check that.
    """

    name: str
    pool: str
    address: Address
    dialect: str = "openai"
    checks_fencing: bool = False
    token_file: str = ""
    concurrency: Annotated[int, Range(1, 10_000)] = 16


class StoreSettings(NamedTuple):
    """Budgets of the weight store over the whole fleet."""

    address: str = ""
    loads_per_s: Annotated[float, Range(0.001, 100_000)] = 2.0
    concurrent_loads: Annotated[int, Range(1, 100_000)] = 4
    concurrent_adapter_loads: Annotated[int, Range(1, 100_000)] = 30


class PolicySettings(NamedTuple):
    """Weights of the deployment and names of the policies in use.

    ``cold_start_weight`` is the cost of one second that a caller waits for a cold
    model, ``idle_weight`` the cost of one idle accelerator second. ``balancing`` says
    when backend servers found while running are chosen by their pace: ``auto`` as soon
    as one of the service reports its pace, ``pace`` always, ``load`` never.
    """

    cold_start_weight: Annotated[float, Range(0, 1_000_000)] = 1.0
    idle_weight: Annotated[float, Range(0, 1_000_000)] = 0.01
    routing: str = "two_choices"
    queue: str = "fair"
    eviction: str = "expected-cost"
    pacing: str = "aimd"
    balancing: Literal["auto", "pace", "load"] = "auto"


class LimitSettings(NamedTuple):
    """Limits towards callers, each for one entry."""

    head_bytes: Annotated[int, Range(256, 1_000_000)] = 32 * 1024
    body_bytes: Annotated[int, Range(1, 1_000_000_000)] = 8 * 1024 * 1024
    connections: Annotated[int, Range(1, 1_000_000)] = 4096
    workspace_connections: Annotated[int, Range(1, 1_000_000)] = 1024
    workspace_requests: Annotated[int, Range(1, 1_000_000)] = 1024
    waiting_requests: Annotated[int, Range(1, 1_000_000)] = 1024
    head_timeout_s: Seconds = 10.0
    body_timeout_s: Seconds = 30.0
    idle_timeout_s: Seconds = 60.0


class TimingSettings(NamedTuple):
    """Leases, intervals and time-outs in seconds."""

    freshness_lease_s: Seconds = defaults.FRESHNESS_LEASE_S
    report_interval_s: Seconds = defaults.REPORT_INTERVAL_S
    election_timeout_s: Seconds = 1.0
    heartbeat_s: Seconds = 0.1
    suspicion_s: Seconds = defaults.SUSPECT_AFTER_S
    host_lost_s: Seconds = defaults.LOST_AFTER_S
    order_settle_s: Seconds = 0.5
    drain_timeout_s: Seconds = 60.0


class LogFormat(NamedTuple):
    """How log lines are written.

    ``label`` names the process in each line; its node name if empty.
    ``lines_per_s`` bounds the lines of one event number; 0 is no bound.
    """

    form: Literal["json", "text"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"
    stream: Literal["stdout", "stderr"] = "stderr"
    label: str = ""
    lines_per_s: Annotated[int, Range(0, 1_000_000)] = 0


class BoundSettings(NamedTuple):
    """Times and shares that the deployment asks of the fleet as a whole.

    A process that is stopped has ``grace_s`` until it is killed. Requests sent once
    more stay within ``retry_share`` of all requests plus ``retry_slack`` over
    ``retry_window_s``; the tokens of a workspace within its rate over
    ``rate_window_s``, ``rate_overrun`` as a share and ``rate_slack_tokens``.

    A request beyond its workspace's rate and burst waits for tokens in a queue, for
    ``rate_wait_share`` of its latency target; 0 is no queue, and a short wait for those
    that come first. A workspace keeps its unused rate of ``rate_carry_s`` beyond its
    burst, within what the window allows.
    """

    grace_s: Seconds = 8.0
    retry_share: Annotated[float, Range(0, 1)] = 0.2
    retry_slack: Annotated[float, Range(0, 1_000_000)] = 50
    retry_window_s: Seconds = 10.0
    rate_window_s: Seconds = 8.0
    rate_overrun: Annotated[float, Range(0, 10)] = 0.1
    rate_slack_tokens: Annotated[float, Range(0, 1_000_000_000)] = 0
    rate_wait_share: Annotated[float, Range(0, 1)] = 0
    rate_carry_s: Annotated[float, Range(0, 3_600)] = 0


class FleetSettings(NamedTuple):
    """A fleet whose backend servers and control hosts are found while it runs.

    ``dialect`` names the registered formats of the platform. ``seeds`` are addresses
    of some control hosts; internal ports count from ``first_port`` on all hosts.
    ``first_start`` is true only when the whole fleet starts with empty disks.
    ``own_server`` is the backend server beside an agent. ``metrics_port`` replaces the
    internal port of the metrics. ``regions`` names the region of each availability zone
    where there are several regions; all processes need the same.
    """

    dialect: str
    address: str
    seeds: list[Address]
    first_port: Annotated[int, Range(1, _PORT_MAX)]
    list_address: Address
    first_start: bool = False
    tolerated_losses: Annotated[int, Range(0, 3)] = 1
    operator_listen: str = ""
    ready_listen: str = ""
    own_server: str = ""
    metrics_port: Annotated[int, Range(0, _PORT_MAX)] = 0
    bounds: BoundSettings = BoundSettings()
    regions: dict[str, str] = {}

    def control_host(self, ip: str) -> ControlHost:
        """Return the control host at an IP address."""
        return ControlHost(
            ip,
            f"{ip}:{self.first_port + _LINK_PORT}",
            f"{ip}:{self.first_port + _PEER_PORT}",
        )

    @property
    def agent_listen(self) -> str:
        """Where an agent listens for other nodes."""
        return f"{self.address}:{self.first_port + _LINK_PORT}"

    @property
    def metrics_listen(self) -> str:
        """Where a process serves its metrics."""
        port = self.metrics_port or self.first_port + _METRICS_PORT
        return f"{self.address}:{port}"

    @property
    def seed_ips(self) -> list[str]:
        """The seeds' IP addresses."""
        return sorted({split_address(seed)[0] for seed in self.seeds})


class Settings(NamedTuple):
    """Settings of one process.

    ``listen`` is the address for callers on an entry and for internal links on an
    agent; a control host listens where its line in ``control`` says.

    ``memory_mb`` is the memory of an agent's engines, and on other processes the
    memory that they may use; 0 for that of the machine. A quarter of it, at least 32
    MB, is what requests may hold that a process reads or serves; half of the file
    descriptors that it may open is what connections of callers take.
    """

    node: NodeName
    role: Literal["entry", "agent", "control"]
    zone: str
    control: list[ControlHost]
    host: str = ""
    region: str = ""
    listen: Address = "127.0.0.1:0"
    data_folder: str = ""
    hash_secret_file: str = ""
    trace_file: str = ""
    memory_mb: Annotated[int, Range(0, 1_000_000_000)] = 0
    claim_partitions: Annotated[int, Range(1, 256)] = 2
    backends: list[BackendSettings] = []
    host_list_address: str = ""
    host_list_dialect: str = "http"
    store: StoreSettings = StoreSettings()
    policy: PolicySettings = PolicySettings()
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    logs: LogFormat = LogFormat()
    tls: TlsSettings | None = None
    curve: CurveSettings | None = None
    fleet: FleetSettings | None = None

    @property
    def host_name(self) -> str:
        """The host's name; the node's name if none is set."""
        return self.host or self.node

    @property
    def own_control_host(self) -> ControlHost:
        """The line of ``control`` that names this node."""
        return next(host for host in self.control if host.name == self.node)


class ToolSettings(NamedTuple):
    """Settings of the operators' tool.

    ``timeout_s`` is how long an order may take, over all attempts.
    """

    control: list[ControlHost]
    hash_secret_file: str = ""
    trace_file: str = ""
    curve: CurveSettings | None = None
    timeout_s: Seconds = 10.0
    node: NodeName = "tool"
    role: Literal["tool"] = "tool"
    zone: str = ""


def split_address(address: str) -> tuple[str, int]:
    """Return IP address and port of ``address``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def parse_settings(text: str, file: str) -> Settings:
    """Return the checked settings in the YAML ``text``.

    Raises:
        SettingsError: Naming file, line, path and the allowed values.
    """
    settings = load_yaml(text, Settings, file, SettingsError)
    if settings.fleet is not None:
        settings = _find_control(settings, settings.fleet)
    if not settings.control:
        raise SettingsError(file, 0, "control", "at least one control host is needed")
    if settings.role == "control":
        _check_control(settings, file)
    if settings.fleet is not None:
        return settings
    if settings.role == "agent" and not settings.backends:
        raise SettingsError(file, 0, "backends", "an agent needs a backend server")
    if settings.role == "entry" and not settings.hash_secret_file:
        raise SettingsError(file, 0, "hash_secret_file", "is required for an entry")
    return settings


def _find_control(settings: Settings, fleet: FleetSettings) -> Settings:
    """Add the control hosts at the seeds, and this host if it is one."""
    ips = set(fleet.seed_ips)
    if settings.role == "control":
        ips.add(fleet.address)
    hosts = [fleet.control_host(ip) for ip in sorted(ips)]
    return settings._replace(control=hosts)


def _check_control(settings: Settings, file: str) -> None:
    if settings.node not in [host.name for host in settings.control]:
        raise SettingsError(file, 0, "control", f"does not list {settings.node!r}")
    if not settings.data_folder:
        raise SettingsError(file, 0, "data_folder", "is required for a control host")


def load_settings(path: str) -> Settings:
    """Return the settings in the file at ``path``.

    Raises:
        SettingsError: If the file cannot be read or is not acceptable.
    """
    return parse_settings(_read_text(path), path)


def load_tool_settings(path: str) -> ToolSettings:
    """Return the tool's settings in the file at ``path``.

    Raises:
        SettingsError: If the file cannot be read or is not acceptable.
    """
    return load_yaml(_read_text(path), ToolSettings, path, SettingsError)


def _read_text(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, 0, "", f"cannot be read: {error}") from error
