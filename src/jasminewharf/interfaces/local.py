"""A whole local system in one process, with stand-ins for what it serves."""

import asyncio
import contextlib
import json
import logging
import secrets
import signal
import socket
import tempfile
from collections.abc import AsyncIterator, Callable
from importlib import resources
from pathlib import Path
from typing import NamedTuple

from .. import events
from ..documents import parse_document
from ..exceptions import JasminewharfError
from ..fakes.engine import EngineConfig, FakeEngine, ModelSpec
from ..fakes.plain import FakePlainService
from ..fakes.server import FakeServer
from ..kernel import Kernel
from ..settings import (
    BackendSettings,
    ControlHost,
    LogFormat,
    Settings,
    ToolSettings,
)
from .operator import OperatorClient
from .roles import build_kernel
from .signals import SignalHandlers

__all__ = ["LocalOptions", "LocalSystem", "run_local"]

_logger = logging.getLogger(__name__)

_LOOPBACK = "127.0.0.1"
_ENGINE_HOSTS = 2
_ENGINE_MEMORY_MB = 32_000
_WORKSPACE = "hanoi-kitchens"
_READY_TIMEOUT_S = 20.0
_SECRET_BYTES = 32
_DOCUMENTS = ("translation.yaml", "orders.yaml")


class LocalOptions(NamedTuple):
    """What ``jasminewharf run`` is told.

    ``data_folder`` keeps the state; empty for a temporary folder.
    """

    port: int = 8080
    data_folder: str = ""
    log_level: str = "warning"


def _choose_inner_address() -> str:
    """Return a loopback address for the internal links of this run.

    A random one keeps two runs on a machine apart, since a port that was free when
    it was chosen may be taken before it is used. Not every system has more than
    one loopback address.
    """
    address = ".".join(["127", *(str(1 + secrets.randbelow(250)) for _ in range(3))])
    with socket.socket() as item:
        try:
            item.bind((address, 0))
        except OSError:
            return _LOOPBACK
    return address


def _find_free_ports(address: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((address, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def read_example(name: str) -> str:
    """Return an example document that comes with the package."""
    folder = resources.files("jasminewharf.interfaces") / "examples"
    return (folder / name).read_text(encoding="utf-8")


class LocalSystem:
    """One control host, two engine hosts, a plain service's host and an entry.

    Attributes:
        tool_settings: Settings with which the operators' tool reaches the system.
        address: Where the entry listens.
        key: A granted key; empty if the state was kept from an earlier run.
    """

    def __init__(self, options: LocalOptions, folder: Path) -> None:
        self._options = options
        self._folder = folder
        self._fakes: list[FakeServer] = []
        self._kernels: list[Kernel] = []
        inner = _choose_inner_address()
        client_port, peer_port = _find_free_ports(inner, 2)
        self._control = [
            ControlHost(
                "control-1",
                f"{inner}:{client_port}",
                f"{inner}:{peer_port}",
            )
        ]
        self._secret_file = folder / "hash-secret"
        self.tool_settings = ToolSettings(
            self._control,
            str(self._secret_file.absolute()),
            str((folder / "traces.jsonl").absolute()),
        )
        self.tool_settings_file = folder.absolute() / "tool.yaml"
        self.address = ""
        self.key = ""

    async def start(self) -> None:
        """Start everything and wait until a call can be served."""
        self._write_secret()
        self._write_tool_settings()
        backends = await self._start_fakes()
        await self._start_kernel(self._settings("control-1", "control"))
        for number, backend in enumerate(backends, 1):
            settings = self._settings(f"agent-{number}", "agent")
            await self._start_kernel(
                settings._replace(backends=[backend], memory_mb=_ENGINE_MEMORY_MB)
            )
        await self._set_up()
        entry = await self._start_kernel(
            self._settings("entry-1", "entry")._replace(
                listen=f"{_LOOPBACK}:{self._options.port}"
            )
        )
        if not await entry.find("feed").wait_fresh(_READY_TIMEOUT_S):
            raise JasminewharfError("the entry did not become ready")
        self.address = entry.find("callers").address

    def _write_secret(self) -> None:
        if not self._secret_file.exists():
            self._secret_file.touch(mode=0o600)
            self._secret_file.write_text(secrets.token_hex(_SECRET_BYTES))

    def _write_tool_settings(self) -> None:
        host = self._control[0]
        lines = [
            "control:",
            f"  - name: {host.name}",
            f"    address: {host.address}",
            f"    peer_address: {host.peer_address}",
            f"hash_secret_file: {json.dumps(self.tool_settings.hash_secret_file)}",
            f"trace_file: {json.dumps(self.tool_settings.trace_file)}",
        ]
        text = "\n".join(lines) + "\n"
        self.tool_settings_file.write_text(text, encoding="utf-8")

    def _settings(self, node: str, role: str) -> Settings:
        return Settings(
            node=node,
            role=role,
            zone="local-a",
            control=self._control,
            data_folder=str(self._folder / node),
            hash_secret_file=str(self._secret_file),
            trace_file=str(self._folder / "traces.jsonl"),
            logs=LogFormat("text", self._options.log_level),
        )

    async def _start_fakes(self) -> list[BackendSettings]:
        models = parse_document(read_example("translation.yaml"), "translation").models
        specs = [
            ModelSpec(model.name, model.replica_memory_mb, "disk") for model in models
        ]
        backends = []
        for number in range(1, _ENGINE_HOSTS + 1):
            config = EngineConfig(name=f"engine-{number}", memory_mb=_ENGINE_MEMORY_MB)
            address = await self._start_fake(FakeEngine(config, specs))
            backends.append(
                BackendSettings(
                    config.name, "lingua-pool", address, checks_fencing=True
                )
            )
        address = await self._start_fake(FakePlainService())
        backends.append(BackendSettings("desk-1", "order-desk", address, "plain"))
        return backends

    async def _start_fake(self, fake: FakeServer) -> str:
        await fake.start()
        self._fakes.append(fake)
        return f"{_LOOPBACK}:{fake.port}"

    async def _start_kernel(self, settings: Settings) -> Kernel:
        kernel = build_kernel(settings)
        # Appended first, so that a start that fails half-way is stopped too.
        self._kernels.append(kernel)
        await kernel.start()
        return kernel

    async def _set_up(self) -> None:
        """Submit the example documents, unless the state has them, and grant a key."""
        async with OperatorClient(self.tool_settings) as operator:
            state = await operator.read_state()
            for name in _DOCUMENTS:
                body = read_example(name)
                service = parse_document(body, name).service
                if service not in state.documents:
                    await operator.submit_document(service, 0, body, "local")
            secret = self._secret_file.read_bytes().strip()
            _, self.key = await operator.grant_key(_WORKSPACE, secret)

    async def stop(self) -> None:
        """Stop everything: the entry first, the control host last."""
        for kernel in reversed(self._kernels):
            await kernel.stop()
        for fake in self._fakes:
            await fake.stop()

    def format_curl(self) -> str:
        """Return a command that calls a chat model."""
        body = {
            "model": "menu-vi-en",
            "max_tokens": 16,
            "messages": [{"role": "user", "content": "Translate: phở bò tái"}],
        }
        return (
            f"curl -s http://{self.address}/v1/chat/completions"
            f" -H 'Authorization: Bearer {self.key}'"
            " -H 'Content-Type: application/json'"
            f" -d '{json.dumps(body, ensure_ascii=False)}'"
        )


@contextlib.contextmanager
def _open_folder(path: str):
    if path:
        Path(path).mkdir(parents=True, exist_ok=True)
        yield Path(path)
        return
    with tempfile.TemporaryDirectory(prefix="jasminewharf-") as name:
        yield Path(name)


@contextlib.asynccontextmanager
async def open_local_system(options: LocalOptions) -> AsyncIterator[LocalSystem]:
    """Start a local system and stop it at the end."""
    with _open_folder(options.data_folder) as folder:
        system = LocalSystem(options, folder)
        try:
            await system.start()
            yield system
        finally:
            await system.stop()


async def run_local(options: LocalOptions, show: Callable[[str], None]) -> None:
    """Run a local system until SIGTERM or SIGINT.

    Args:
        options: What to run.
        show: Called with each line for the user.
    """
    ended = asyncio.Event()
    handlers = {signal.SIGTERM: ended.set, signal.SIGINT: ended.set}
    with SignalHandlers(handlers):
        async with open_local_system(options) as system:
            events.emit(_logger, events.PROCESS_READY, address=system.address)
            show(system.format_curl())
            show(f"export JASMINEWHARF_SETTINGS={system.tool_settings_file}")
            await ended.wait()
            events.emit(_logger, events.PROCESS_STOPPING)
