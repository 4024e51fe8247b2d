"""Starts one stand-in in this process: ``python -m jasminewharf.fakes``."""

import asyncio
import signal
from dataclasses import dataclass
from typing import Annotated

import cappa

from .engine import EngineConfig, FakeEngine, ModelSpec
from .hosts import FakeHostList
from .plain import FakePlainService
from .server import FakeServer
from .store import FakeStore, StoreConfig

_Listen = Annotated[str, cappa.Arg(long=True, help="address as HOST:PORT")]


@dataclass
class Engine:
    """A model engine."""

    listen: _Listen = "127.0.0.1:0"
    name: Annotated[str, cappa.Arg(long=True)] = "engine"
    model: Annotated[
        list[str], cappa.Arg(long=True, help="NAME[:MEMORY_MB[:TIER]], repeatable")
    ] = ()
    memory_mb: Annotated[int, cappa.Arg(long=True)] = 32_000
    ignore_fencing: Annotated[bool, cappa.Arg(long=True)] = False
    command_token: Annotated[str, cappa.Arg(long=True)] = ""
    store: Annotated[str, cappa.Arg(long=True, help="URL of the weight store")] = ""
    load_disk_s: Annotated[float, cappa.Arg(long=True)] = 0.3
    load_remote_s: Annotated[float, cappa.Arg(long=True)] = 0.3
    seed: Annotated[int, cappa.Arg(long=True)] = 0

    def build(self) -> FakeServer:
        """Return the server."""
        config = EngineConfig(
            name=self.name,
            memory_mb=self.memory_mb,
            check_fencing=not self.ignore_fencing,
            command_token=self.command_token,
            store_url=self.store,
            load_disk_s=self.load_disk_s,
            load_remote_s=self.load_remote_s,
            seed=self.seed,
        )
        return FakeEngine(config, [_parse_model(text) for text in self.model] or None)


@dataclass
class Plain:
    """A plain service."""

    listen: _Listen = "127.0.0.1:0"
    name: Annotated[str, cappa.Arg(long=True)] = "plain"
    work_s: Annotated[float, cappa.Arg(long=True)] = 0.005
    command_token: Annotated[str, cappa.Arg(long=True)] = ""

    def build(self) -> FakeServer:
        """Return the server."""
        return FakePlainService(self.name, self.work_s, self.command_token)


@dataclass
class Store:
    """A weight store."""

    listen: _Listen = "127.0.0.1:0"
    rate: Annotated[float, cappa.Arg(long=True, help="loads a second")] = 2.0
    concurrency: Annotated[int, cappa.Arg(long=True)] = 4
    load_s: Annotated[float, cappa.Arg(long=True)] = 1.0

    def build(self) -> FakeServer:
        """Return the server."""
        return FakeStore(
            StoreConfig(
                rate_per_s=self.rate, concurrency=self.concurrency, load_s=self.load_s
            )
        )


@dataclass
class Hosts:
    """A host list."""

    listen: _Listen = "127.0.0.1:0"
    lag_s: Annotated[float, cappa.Arg(long=True)] = 0.5
    host: Annotated[
        list[str], cappa.Arg(long=True, help="NAME:ZONE, live at the start; repeatable")
    ] = ()

    def build(self) -> FakeServer:
        """Return the server."""
        server = FakeHostList(self.lag_s)
        for text in self.host:
            name, _, zone = text.partition(":")
            server.set_host(name, zone)
        return server


@dataclass
class Fakes:
    """Stand-ins for backend servers and the platform, on loopback."""

    command: cappa.Subcommands[Engine | Plain | Store | Hosts]


def _parse_model(text: str) -> ModelSpec:
    name, memory, tier = [*text.split(":"), "", ""][:3]
    return ModelSpec(name, int(memory or 8_000), tier or "remote")


async def _run(server: FakeServer, listen: str) -> None:
    host, _, port = listen.rpartition(":")
    await server.start(host, int(port))
    print(f"listening on {server.host}:{server.port}", flush=True)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, server.killed.set)
    await server.killed.wait()
    await server.stop()


def main() -> None:
    """Parse the command line and serve until a signal or ``/fake/kill``."""
    command = cappa.parse(Fakes).command
    asyncio.run(_run(command.build(), command.listen))


if __name__ == "__main__":
    main()
