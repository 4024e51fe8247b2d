"""A whole deployment as real processes on loopback, with stand-in backends."""

import asyncio
import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterable
from io import StringIO
from pathlib import Path
from typing import Any, NamedTuple

from ruamel.yaml import YAML

from ..exceptions import TrialError
from ..fakes.engine import EngineConfig, FakeEngine, ModelSpec
from ..fakes.linkproxy import LinkProxy
from ..fakes.plain import FakePlainService
from ..fakes.server import FakeServer
from ..services.client import HttpClient
from ..settings import (
    BackendSettings,
    ControlHost,
    LogFormat,
    Settings,
    StoreSettings,
    TimingSettings,
    ToolSettings,
)

__all__ = ["Cluster", "ClusterSpec", "ProcessUsage", "dump_settings"]

_ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
_READY_TIMEOUT_S = 30.0
_EXIT_TIMEOUT_S = 30.0
_POLL_S = 0.05
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_MB_BYTES = 1024 * 1024
_RUN_DAEMON = "from jasminewharf.interfaces.daemon import main; main()"


class ClusterSpec(NamedTuple):
    """Numbers of hosts and what the engines can load."""

    controls: int = 3
    entries: int = 2
    engine_hosts: int = 3
    desk_hosts: int = 2
    models: tuple[ModelSpec, ...] = ()
    engine_memory_mb: int = 32_000
    checks_fencing: bool = True
    timing: TimingSettings = TimingSettings()
    store: StoreSettings = StoreSettings(loads_per_s=20.0, concurrent_loads=4)
    engine: EngineConfig = EngineConfig()
    with_proxies: bool = False
    pool: str = "lingua-pool"
    desk_pool: str = "order-desk"


class ProcessUsage(NamedTuple):
    """Resident memory and open files of a process at a time in seconds."""

    at: float
    pid: int
    resident_mb: float
    files: int


def _to_plain(value: Any) -> Any:
    """Return NamedTuples as dicts, without fields that hold their default."""
    if hasattr(value, "_fields"):
        defaults = value._field_defaults
        return {
            name: _to_plain(item)
            for name, item in zip(value._fields, value, strict=True)
            if name not in defaults or item != defaults[name]
        }
    if isinstance(value, list | tuple):
        return [_to_plain(item) for item in value]
    return value


def dump_settings(settings: NamedTuple) -> str:
    """Return settings as YAML."""
    text = StringIO()
    YAML(typ="safe", pure=True).dump(_to_plain(settings), text)
    return text.getvalue()


def _find_free_port(host: str) -> int:
    with socket.socket() as item:
        item.bind((host, 0))
        return item.getsockname()[1]


class Cluster:
    """Starts, breaks and ends the processes of a deployment.

    Attributes:
        engines: Stand-in engines by host.
        desks: Stand-in plain services by host.
        proxies: Links by (node, control host); empty without proxies.
        entry_addresses: Where callers reach each entry.
    """

    def __init__(self, spec: ClusterSpec, folder: Path) -> None:
        self.spec = spec
        self.folder = folder
        self.engines: dict[str, FakeEngine] = {}
        self.desks: dict[str, FakePlainService] = {}
        self.proxies: dict[tuple[str, str], LinkProxy] = {}
        self.peer_proxies: dict[tuple[str, str], LinkProxy] = {}
        self.entry_addresses: dict[str, str] = {}
        self._settings: dict[str, Settings] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._secret_file = folder / "hash-secret"
        self.control = [
            ControlHost(
                f"control-{n}",
                f"127.0.1.{n}:{_find_free_port(f'127.0.1.{n}')}",
                f"127.0.1.{n}:{_find_free_port(f'127.0.1.{n}')}",
            )
            for n in range(1, spec.controls + 1)
        ]
        self.tool_settings = ToolSettings(self.control, str(self._secret_file))

    @property
    def hash_secret(self) -> bytes:
        """The secret under which keys are hashed."""
        return self._secret_file.read_bytes().strip()

    @property
    def nodes(self) -> list[str]:
        """Names of all processes."""
        return list(self._settings)

    async def start(self) -> None:
        """Start everything and wait until every entry is ready."""
        self._secret_file.touch(mode=0o600)
        self._secret_file.write_text(secrets.token_hex(32))
        await self._start_fakes()
        await self._write_settings()
        for node in self._settings:
            self.spawn(node)
        await self.wait_ready(self.entry_addresses)

    async def _start_fakes(self) -> None:
        for number in range(1, self.spec.engine_hosts + 1):
            host = f"engine-host-{number}"
            config = self.spec.engine._replace(
                name=f"engine-{number}",
                memory_mb=self.spec.engine_memory_mb,
                check_fencing=self.spec.checks_fencing,
                seed=number,
            )
            self.engines[host] = FakeEngine(config, list(self.spec.models))
            await self.engines[host].start()
        for number in range(1, self.spec.desk_hosts + 1):
            host = f"desk-host-{number}"
            self.desks[host] = FakePlainService(f"desk-{number}")
            await self.desks[host].start()

    async def _write_settings(self) -> None:
        for number, control in enumerate(self.control):
            await self._add(control.name, "control", number)
        for number in range(1, self.spec.entries + 1):
            node = f"entry-{number}"
            host = f"127.0.2.{number}"
            address = f"{host}:{_find_free_port(host)}"
            self.entry_addresses[node] = address
            await self._add(node, "entry", number, listen=address)
        for number, host in enumerate([*self.engines, *self.desks], 1):
            address = f"127.0.3.{number}"
            await self._add(
                f"agent-{host}",
                "agent",
                number,
                host=host,
                listen=f"{address}:{_find_free_port(address)}",
                memory_mb=self.spec.engine_memory_mb,
                backends=[self._describe_backend(host)],
            )

    def _describe_backend(self, host: str) -> BackendSettings:
        if host in self.engines:
            engine = self.engines[host]
            return BackendSettings(
                engine.config.name,
                self.spec.pool,
                f"127.0.0.1:{engine.port}",
                checks_fencing=self.spec.checks_fencing,
            )
        desk = self.desks[host]
        return BackendSettings(
            desk.name, self.spec.desk_pool, f"127.0.0.1:{desk.port}", "plain"
        )

    async def _add(self, node: str, role: str, number: int, **fields: Any) -> None:
        settings = Settings(
            node=node,
            role=role,
            zone=_ZONES[number % len(_ZONES)],
            control=await self._route_control(node),
            data_folder=str(self.folder / node),
            hash_secret_file=str(self._secret_file),
            trace_file=str(self.folder / f"{node}.traces.jsonl"),
            timing=self.spec.timing,
            store=self.spec.store,
            logs=LogFormat("json", "info"),
            **fields,
        )
        self._settings[node] = settings
        path = self.folder / f"{node}.yaml"
        path.write_text(dump_settings(settings), encoding="utf-8")

    async def _route_control(self, node: str) -> list[ControlHost]:
        """Return the control hosts as ``node`` reaches them."""
        if not self.spec.with_proxies:
            return self.control
        routed = []
        for control in self.control:
            if control.name == node:
                routed.append(control)
                continue
            client, peer = LinkProxy(control.address), LinkProxy(control.peer_address)
            await client.start()
            await peer.start()
            self.proxies[(node, control.name)] = client
            self.peer_proxies[(node, control.name)] = peer
            routed.append(ControlHost(control.name, client.address, peer.address))
        return routed

    def spawn(self, node: str) -> None:
        """Start the process of a node."""
        log = (self.folder / f"{node}.log").open("ab")
        self._processes[node] = subprocess.Popen(
            [
                sys.executable,
                "-c",
                _RUN_DAEMON,
                "--settings",
                str(self.folder / f"{node}.yaml"),
            ],
            stdout=log,
            stderr=log,
        )
        log.close()

    def read_log(self, node: str) -> str:
        """Return what a node has logged."""
        return (self.folder / f"{node}.log").read_text(encoding="utf-8")

    def pid(self, node: str) -> int:
        """Return the process number of a node."""
        return self._processes[node].pid

    def read_usage(self, node: str) -> ProcessUsage | None:
        """Return a node's use of memory and files; None if it is not running."""
        pid = self.pid(node)
        try:
            pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
            files = len(os.listdir(f"/proc/{pid}/fd"))
        except (OSError, IndexError):
            return None
        resident_mb = round(pages * _PAGE_BYTES / _MB_BYTES, 1)
        return ProcessUsage(time.monotonic(), pid, resident_mb, files)

    def kill(self, node: str) -> None:
        """End a process at once."""
        self._processes[node].kill()
        self._processes[node].wait()

    def freeze(self, node: str) -> None:
        """Stop a process without ending it."""
        os.kill(self.pid(node), signal.SIGSTOP)

    def thaw(self, node: str) -> None:
        """Let a stopped process go on."""
        os.kill(self.pid(node), signal.SIGCONT)

    async def terminate(self, node: str) -> int:
        """Stop a process gracefully and return its exit code."""
        process = self._processes[node]
        process.terminate()
        return await asyncio.to_thread(process.wait, _EXIT_TIMEOUT_S)

    def isolate_control(self, name: str, *, silent: bool) -> None:
        """Cut a control host off from all others and from all nodes."""
        for (node, control), proxy in self._all_proxies():
            if name in (node, control):
                if silent:
                    proxy.freeze()
                else:
                    proxy.cut()

    def heal(self) -> None:
        """Heal all links."""
        for _, proxy in self._all_proxies():
            proxy.heal()

    def _all_proxies(self) -> Iterable[tuple[tuple[str, str], LinkProxy]]:
        yield from self.proxies.items()
        yield from self.peer_proxies.items()

    async def wait_ready(self, addresses: dict[str, str]) -> None:
        """Wait until every address answers that it is ready.

        Raises:
            TrialError: If one does not.
        """
        deadline = asyncio.get_running_loop().time() + _READY_TIMEOUT_S
        for node, address in addresses.items():
            while not await self._is_ready(address):
                if asyncio.get_running_loop().time() > deadline:
                    raise TrialError(f"{node} is not ready:\n{self.read_log(node)}")
                await asyncio.sleep(_POLL_S)

    async def _is_ready(self, address: str) -> bool:
        try:
            status, _ = await HttpClient(address).fetch("GET", "/readyz")
        except Exception:
            return False
        return status == 200

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for proxy in [*self.proxies.values(), *self.peer_proxies.values()]:
            await proxy.stop()
        fakes: list[FakeServer] = [*self.engines.values(), *self.desks.values()]
        for fake in fakes:
            await fake.stop()
