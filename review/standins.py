"""Stand-ins and helpers that the scripts of the review share.

Everything listens on loopback addresses. The daemons are the project's own programs,
started with the command of the deploy file and settings made from its template.
"""

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

__all__ = [
    "Daemon",
    "Deployment",
    "FakeList",
    "HttpAnswer",
    "Recorder",
    "exchange",
    "find_base_port",
    "is_troubled",
    "run_case",
]

REPOSITORY = Path(__file__).resolve().parent.parent
_TEMPLATE = REPOSITORY / "deploy" / "settings.yaml.template"
_PORTS = 16
_LIST_PORT = 12
_CONTROL_PORT = 13
_FRONT_PORT = 14
_READY_PORT = 15
_TAG = re.compile(r"\{\{([#^/]?)([A-Za-z0-9.@,]+)\}\}")

HELD, BROKEN, NOT_RUN = 0, 1, 2
# After which a script is given up.
_LIMIT_S = 110.0

# The bounds that the pages give the smallest deployments.
BOUNDS = {
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "retrySlack": 56,
    "quotaWindowS": 8,
    "quotaOverrun": 0.1,
    "quotaSlack": 11_000,
}


def is_troubled(kind: str = "") -> bool:
    """Return whether a disruption is to be made; TROUBLE=0 turns all of them off."""
    chosen = os.environ.get("TROUBLE", "")
    return chosen in ("", "1") or (bool(kind) and chosen == kind)


def find_base_port(ips: list[str]) -> int:
    """Return the first of 16 ports that are free on all addresses."""
    for base in range(21_000, 30_000, _PORTS):
        with contextlib.ExitStack() as held:
            try:
                for ip in ips:
                    for port in range(base, base + _PORTS):
                        probe = held.enter_context(socket.socket())
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((ip, port))
            except OSError:
                continue
            return base
    raise OSError("no free ports")


class Recorder:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, file: Path) -> None:
        self._file = file.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line."""
        line = f"{time.monotonic() - self._began_at:9.3f} s  {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


def _render(template: str, values: dict) -> str:
    """Fill in the platform's template: values, and sections that are there or not."""
    while (found := re.search(r"\{\{#([A-Za-z.]+)\}\}", template)) is not None:
        name = found.group(1)
        end = template.index(f"{{{{/{name}}}}}", found.end())
        inner = template[found.end() : end]
        value = _look_up(values, name)
        if isinstance(value, list):
            inner = ",".join(
                inner.replace("{{.}}", item).replace("{{,}}", "") for item in value
            )
        elif not value:
            inner = ""
        rest = template[end + len(name) + 5 :]
        template = template[: found.start()] + inner + rest
    return _TAG.sub(lambda tag: _show(_look_up(values, tag.group(2))), template)


def _look_up(values: dict, name: str) -> object:
    value: object = values
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def _show(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value)


class Daemon:
    """One process of the deployment, on a loopback address of its own."""

    def __init__(self, deployment: "Deployment", ip: str, role: str, **extra) -> None:
        self._deployment = deployment
        self.ip = ip
        self.role = role
        self.extra = extra
        self.folder = deployment.folder / ip
        self.folder.mkdir()
        self.process: asyncio.subprocess.Process | None = None

    @property
    def data_folder(self) -> Path:
        """Where a control host keeps its files."""
        return self.folder / "data"

    def _write_settings(self, *, is_first: bool) -> Path:
        base = self._deployment.base
        listen = {}
        if self.role == "entry":
            listen["front"] = f"{self.ip}:{base + _FRONT_PORT}"
            listen["ready"] = f"{self.ip}:{base + _READY_PORT}"
        if self.role == "control":
            listen["control"] = f"{self.ip}:{base + _CONTROL_PORT}"
        values = {
            "ip": self.ip,
            "node": f"{self.role}-{self.ip}",
            "role": self.role,
            "zone": self.extra.get("zone", "zone-a"),
            "region": "region-a",
            "listen": listen,
            "dataDir": str(self.data_folder) if self.role == "control" else None,
            "seeds": [f"{ip}:{base + _CONTROL_PORT}" for ip in self._deployment.seeds],
            "portRange": [str(base), str(base + _LIST_PORT - 1)],
            "bootstrap": is_first,
            "faultTolerance": {"machines": 1},
            "bounds": BOUNDS,
            "app": self.extra.get("app"),
            "cloud": {"address": self._deployment.list.address},
        }
        text = _render(_TEMPLATE.read_text(encoding="utf-8"), values)
        # One port for metrics would clash with other programs on this machine.
        text = text.replace("metrics_port: 9464", "metrics_port: 0")
        path = self.folder / "settings.yaml"
        path.write_text(text, encoding="utf-8")
        return path

    async def start(self, *, is_first: bool = False) -> None:
        """Start the process as the deploy file does."""
        path = self._write_settings(is_first=is_first)
        if self.role == "control":
            self.data_folder.mkdir(exist_ok=True)
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "deploy/jasminewharfd.py",
                str(path),
                stdout=log,
                stderr=log,
                cwd=REPOSITORY,
                env=_build_environment(),
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> bool:
        """Return whether the process ends in time; it is killed if not."""
        try:
            await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            return False
        return True

    async def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()

    def lose_disk(self) -> None:
        """Empty the data folder."""
        shutil.rmtree(self.data_folder)


def _build_environment() -> dict[str, str]:
    kept = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
    return {**kept, "PYTHONPATH": str(REPOSITORY / "target" / "deps")}


class FakeList:
    """The platform's list of replicas; ``instances`` is what it answers."""

    def __init__(self, ip: str, port: int) -> None:
        self.address = f"{ip}:{port}"
        self.instances: list[dict] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        ip, _, port = self.address.partition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def stop(self) -> None:
        """Close the listening socket."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                page = {"instances": self.instances, "nextToken": None}
                body = json.dumps(page).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n" % len(body) + body
                )
                await writer.drain()
        writer.close()


class HttpAnswer:
    """A whole answer to a call; status 0 stands for none."""

    def __init__(self, status: int = 0, body: bytes = b"") -> None:
        self.status = status
        self.body = body


async def exchange(
    address: str, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
) -> HttpAnswer:
    """Make one call on a new connection and return its answer."""
    ip, _, port = address.partition(":")
    head = (
        f"{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n"
        f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                writer.write(head.encode() + body)
                data = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return HttpAnswer()
    first, _, content = data.partition(b"\r\n\r\n")
    words = first.split()
    if len(words) < 2 or not words[1].isdigit():
        return HttpAnswer()
    return HttpAnswer(int(words[1]), content)


class Deployment:
    """A small deployment in a temporary folder."""

    def __init__(self, recorder: Recorder, seeds: list[str], others: list[str]) -> None:
        self.recorder = recorder
        self.seeds = seeds
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.base = find_base_port([*seeds, *others])
        self.list = FakeList(others[0], self.base + _LIST_PORT)
        self.daemons: dict[str, Daemon] = {}

    def add(self, ip: str, role: str, **extra) -> Daemon:
        """Add a process; it is not started."""
        daemon = self.daemons[ip] = Daemon(self, ip, role, **extra)
        return daemon

    def control_address(self, ip: str) -> str:
        """Return where a control host takes the operator's calls."""
        return f"{ip}:{self.base + _CONTROL_PORT}"

    def front_address(self, ip: str) -> str:
        """Return where an entry takes clients' connections."""
        return f"{ip}:{self.base + _FRONT_PORT}"

    def ready_address(self, ip: str) -> str:
        """Return where an entry tells that it is ready."""
        return f"{ip}:{self.base + _READY_PORT}"

    async def put(
        self, configuration: dict, ips: list[str], within_s: float = 20.0
    ) -> str:
        """Send a configuration until it is acknowledged.

        Returns:
            The address that acknowledged it, empty if none did in time.
        """
        body = json.dumps(configuration).encode()
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            for ip in ips:
                address = self.control_address(ip)
                answer = await exchange(address, "POST", "/Config.Put", body, 3.0)
                self.recorder.note(
                    f"Config.Put of version {configuration['version']} to {ip}: "
                    f"{answer.status or 'no answer'}"
                )
                if answer.status == 200:
                    return ip
            await asyncio.sleep(0.3)
        return ""

    async def read_version(self, ip: str) -> int:
        """Return the version that a control host answers a read with, -1 if none."""
        answer = await exchange(self.control_address(ip), "GET", "/Config.Get")
        version = json.loads(answer.body)["version"] if answer.status == 200 else -1
        shown = f"version {version}" if version >= 0 else answer.status or "no answer"
        self.recorder.note(f"Config.Get at {ip}: {shown}")
        return version

    async def wait_ready(self, ip: str, within_s: float = 20.0) -> bool:
        """Return whether an entry becomes ready in time."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            answer = await exchange(self.ready_address(ip), "GET", "/readiness")
            if answer.status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def close(self) -> None:
        """End all processes and remove the folder."""
        for daemon in self.daemons.values():
            await daemon.kill()
        self.list.stop()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, case, record: str = "record.txt") -> None:
    """Run a case and exit with 0 if the rule held, 1 if not, 2 if it did not run.

    Args:
        folder: Where the record is written.
        case: A coroutine function of the recorder that returns one of these.
        record: The name of the record.
    """
    recorder = Recorder(folder / record)

    async def run() -> int:
        # A script that is ended ends its processes first.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(_LIMIT_S):
            return await case(recorder)

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        recorder.note(f"the case could not run: {error!r}")
        code = NOT_RUN
    recorder.note(("rule held", "RULE BROKEN", "case did not run")[code])
    raise SystemExit(code)
