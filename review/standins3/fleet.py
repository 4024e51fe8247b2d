"""A small deployment of the project's own programs on loopback addresses."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from .backends import Backend, Engine, Platform
from .record import Record
from .template import fill
from .web import Refused, exchange

__all__ = ["Fleet", "ROOT"]

ROOT = Path(__file__).resolve().parents[2]
_ZONES = ("luzon-a", "luzon-b", "luzon-c")
_CLASSES = {"entry": "front", "agent": "side", "control": "core"}
# Those of the deployment gulong-host.
_BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 56,
    "quotaWindowS": 8,
    "quotaOverrun": 0.1,
    "quotaSlack": 11000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "fencingEnforced": False,
    "leaseMs": 3000,
    "thawMs": 300,
    "ceilingWindowS": 5,
    "ceilingOverrun": 1.1,
}


class Node:
    """One process of the fleet, and the machine it runs on."""

    def __init__(self, name: str, role: str, ip: str, zone: str) -> None:
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.app: Engine | None = None
        self.starts = 0
        self.process: subprocess.Popen[bytes] | None = None


class Fleet:
    """Starts, signals and ends the processes; speaks as operator and client.

    Args:
        folder: Where the record is written.
        record: The record of another fleet of the same run, if there is one.
        cores: Number of control machines.
        fronts: Number of entries.
    """

    def __init__(
        self,
        folder: Path,
        cores: int = 3,
        fronts: int = 2,
        record: Record | None = None,
    ) -> None:
        self.record = record or Record(folder / "record.txt")
        self._temporary = tempfile.TemporaryDirectory(prefix="review3-")
        self.folder = Path(self._temporary.name)
        self._net = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.ports = self._find_ports()
        self.nodes: dict[str, Node] = {}
        self.backends: list[Backend] = []
        for number in range(cores):
            self._add(f"core-{number + 1}", "control", 10 + number, number)
        for number in range(fronts):
            self._add(f"front-{number + 1}", "entry", 30 + number, number)
        self.seeds = [node.ip for node in self.of_role("control")][:3]
        self.platform = Platform(f"{self._net}.200:{self.ports['cloud']}")
        self.platform.backends = self.backends
        self.is_later = False
        self.thawed_at = float("-inf")
        self._attempts = 0

    def _find_ports(self) -> dict[str, int]:
        """Return free ports; internal ones are consecutive."""
        names = ("front", "ready", "control", "cloud", "app")
        found: dict[str, int] = {}
        base = random.randint(20_000, 50_000)
        for number, name in enumerate(names):
            found[name] = base + number
        found["internal"] = base + 20
        with socket.socket() as probe:
            probe.bind((f"{self._net}.10", base))
        return found

    def _add(self, name: str, role: str, host: int, number: int) -> Node:
        zone = _ZONES[number % len(_ZONES)]
        node = self.nodes[name] = Node(name, role, f"{self._net}.{host}", zone)
        return node

    def of_role(self, role: str) -> list[Node]:
        """Return the nodes of a role."""
        return [node for node in self.nodes.values() if node.role == role]

    def address(self, name: str, port: str) -> str:
        """Return an address of a node."""
        return f"{self.nodes[name].ip}:{self.ports[port]}"

    def add_engine(self, service: str, **settings: Any) -> Engine:
        """Add a model server with its side machine."""
        number = len(self.of_role("agent"))
        node = self._add(f"side-{number + 1}", "agent", 60 + number, number)
        address = f"{node.ip}:{self.ports['app']}"
        node.app = Engine(self.record, address, service, node.zone, **settings)
        self.backends.append(node.app)
        return node.app

    def add_backend(self, service: str, **settings: Any) -> Backend:
        """Add a plain backend server."""
        number = len(self.backends)
        address = f"{self._net}.{100 + number}:{self.ports['app']}"
        zone = _ZONES[number % len(_ZONES)]
        backend = Backend(self.record, address, service, zone, **settings)
        self.backends.append(backend)
        return backend

    # Processes.

    def _describe(self, node: Node) -> dict[str, Any]:
        """Return the fields that the platform fills into a process's settings."""
        listen: dict[str, str] = {}
        if node.role == "entry":
            listen["front"] = self.address(node.name, "front")
            listen["ready"] = self.address(node.name, "ready")
        elif node.role == "control":
            listen["control"] = self.address(node.name, "control")
        data = self.folder / node.name / "data"
        internal = self.ports["internal"]
        return {
            "node": node.name,
            "role": node.role,
            "machineClass": _CLASSES[node.role],
            "ip": node.ip,
            "zone": node.zone,
            "region": "luzon",
            "listen": listen,
            "portRange": [internal, internal + 15],
            "seeds": [f"{ip}:{self.ports['control']}" for ip in self.seeds],
            "bootstrap": not (self.is_later or node.starts),
            "dataDir": str(data) if node.role == "control" else None,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": _BOUNDS,
            "app": node.app.address if node.app else None,
            "cloud": {"address": self.platform.address, "ratePerS": 44.0},
        }

    def start_node(self, name: str) -> None:
        """Start a process with the command of the deploy file."""
        node = self.nodes[name]
        role = self._deploy["roles"][node.role]
        place = self.folder / name
        place.mkdir(exist_ok=True)
        text = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings = place / "settings.yaml"
        settings.write_text(fill(text, self._describe(node)), encoding="utf-8")
        words = role["run"].split()
        words = [str(settings) if w.endswith("settings.yaml") else w for w in words]
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "JASMINEWHARF_BOOT": str(settings),
        }
        with (place / "log.txt").open("ab") as log:
            node.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        node.starts += 1
        self.record.note("start", node=name, pid=node.process.pid)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of the fleet."""
        process = self.nodes[name].process
        assert process is not None
        process.send_signal(number)
        self.record.note("signal", node=name, number=signal.Signals(number).name)
        if number == signal.SIGKILL:
            process.wait()

    def find_leader(self) -> Node:
        """Return the control machine that leads, by the logs."""
        newest = (-1.0, "")
        for node in self.of_role("control"):
            for line in self.read_log(node.name).splitlines():
                if '"leader changed"' not in line:
                    continue
                event = json.loads(line)
                if event.get("leader"):
                    newest = max(newest, (event["time"], event["leader"]))
        ip = newest[1].partition("/")[0]
        return next(node for node in self.of_role("control") if node.ip == ip)

    def exit_code(self, name: str) -> int | None:
        """Return the exit code of a process; None while it runs."""
        process = self.nodes[name].process
        return process.poll() if process else None

    def read_log(self, name: str) -> str:
        """Return what a process has written."""
        return (self.folder / name / "log.txt").read_text(encoding="utf-8")

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start everything, put the first configuration and wait for the entries."""
        await self.platform.start()
        for backend in self.backends:
            await backend.start()
        for name in self.nodes:
            self.start_node(name)
        await self.put(configuration, patience_s=20.0)
        for node in self.of_role("entry"):
            await self.wait_ready(node.name)

    async def wait_ready(self, name: str, patience_s: float = 15.0) -> None:
        """Wait until an entry says that it is ready.

        Raises:
            Refused: If it does not in time.
        """
        until = self.record.now() + patience_s
        while True:
            try:
                address = self.address(name, "ready")
                if (await exchange(address, "GET", "/readiness")).status == 200:
                    return
            except Refused:
                pass
            if self.record.now() > until:
                raise Refused(f"{name} is not ready")
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for backend in self.backends:
            await backend.stop()
        await self.platform.stop()
        self.record.close()
        self._temporary.cleanup()

    # The operator.

    async def put(
        self,
        configuration: dict[str, Any],
        patience_s: float = 10.0,
        nodes: list[str] | None = None,
    ) -> bool:
        """Send a configuration until it is acknowledged; return whether it was."""
        body = json.dumps(configuration).encode()
        names = nodes or [node.name for node in self.of_role("control")]
        until = self.record.now() + patience_s
        version = configuration["version"]
        self.record.note("put", version=version)
        number = 0
        while self.record.now() < until:
            name = names[number % len(names)]
            number += 1
            try:
                answer = await exchange(
                    self.address(name, "control"),
                    "POST",
                    "/Config.Put",
                    {"Content-Type": "application/json"},
                    body,
                    1.0,
                )
            except Refused:
                await asyncio.sleep(0.1)
                continue
            if answer.status == 200:
                self.record.note("acknowledged", version=version, node=name)
                return True
            if answer.status in (400, 409, 412, 413, 422):
                self.record.note("rejected", version=version, status=answer.status)
                return False
            await asyncio.sleep(0.2)
        return False

    async def get(self, name: str) -> tuple[int, int]:
        """Return status and version of a configuration that is read back."""
        try:
            address = self.address(name, "control")
            answer = await exchange(address, "GET", "/Config.Get", timeout_s=1.5)
        except Refused:
            return 0, -1
        if answer.status != 200:
            return answer.status, -1
        return 200, json.loads(answer.body)["version"]

    # Clients.

    def name_attempt(self) -> str:
        """Return the identifier of another client attempt."""
        self._attempts += 1
        return f"{random.getrandbits(32):08x}{self._attempts:08x}"
