"""Runs the example deployment as real processes on free loopback ports."""

import json
import os
import re
import socket
import subprocess
import sys
import time
from pathlib import Path

import jasminewharf
from jasminewharf.services.curve import write_key_pair

EXAMPLES = Path(__file__).parent.parent / "examples" / "three-control"
NODES = [
    *(f"control-{n}" for n in (1, 2, 3)),
    *(f"agent-{n}" for n in (1, 2, 3)),
    *(f"entry-{n}" for n in (1, 2)),
]
AGENT_TOKEN = "planted-agent-token-6b1f"
HASH_SECRET = "planted-hash-secret-93ae"
_ADDRESS = re.compile(r"127\.0\.0\.(\d+):(\d+)")
_SOURCE = str(Path(jasminewharf.__file__).parent.parent.absolute())
ENVIRONMENT = {
    **os.environ,
    "PYTHONPATH": _SOURCE,
    "JASMINEWHARF_SETTINGS": "tool.yaml",
    "COLUMNS": "88",
}
_START = "import sys; from jasminewharf.interfaces.{0} import main; main()"


class Deployment:
    """The processes of examples/three-control in a folder of their own."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.processes = {}
        self._ports = {}
        for name in ("keys", "data", "logs"):
            (self.folder / name).mkdir()
        self.write_secret("keys/hash-secret", HASH_SECRET)
        self.write_secret("keys/agent-token", AGENT_TOKEN)
        for path in EXAMPLES.glob("*.yaml"):
            text = _ADDRESS.sub(self._replace, path.read_text(encoding="utf-8"))
            (self.folder / path.name).write_text(text, encoding="utf-8")
        for name in (*NODES, "tool"):
            role = name.partition("-")[0]
            write_key_pair(str(self.folder / "keys"), role, name)

    def _replace(self, found):
        address = found.group(0)
        if address not in self._ports:
            with socket.socket() as probe:
                probe.bind((f"127.0.0.{found.group(1)}", 0))
                self._ports[address] = probe.getsockname()[1]
        return f"127.0.0.{found.group(1)}:{self._ports[address]}"

    def address(self, example):
        """Return the address that stands for one in the examples."""
        return f"{example.partition(':')[0]}:{self._ports[example]}"

    def write_secret(self, name, text):
        path = self.folder / name
        path.touch(mode=0o600)
        path.write_text(text, encoding="utf-8")

    def start(self):
        """Start everything and wait until the entries are ready."""
        self.start_engines()
        self.start_fake("desk-1", "plain", self.address("127.0.0.33:9000"), [])
        for node in NODES:
            self.start_daemon(node)
        for number in (1, 2):
            self.wait_ready(self.address(f"127.0.0.2{number}:8080"))

    def start_engines(self):
        for number in (1, 2):
            listen = self.address(f"127.0.0.3{number}:9000")
            options = ["--model", "menu-vi-en:10500:disk"]
            options += ["--model", "allergen-notes:5000:disk"]
            options += ["--command-token", AGENT_TOKEN, "--name", f"engine-{number}"]
            self.start_fake(f"engine-{number}", "engine", listen, options)

    def _spawn(self, name, arguments):
        assert name not in self.processes, f"{name} runs already"
        with open(self.folder / "logs" / name, "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                cwd=self.folder,
                env=ENVIRONMENT,
            )

    def start_fake(self, name, kind, listen, options):
        arguments = ["-m", "jasminewharf.fakes", kind, "--listen", listen, *options]
        self._spawn(name, arguments)

    def start_daemon(self, node, name=""):
        arguments = ["-c", _START.format("daemon"), "--settings", f"{node}.yaml"]
        self._spawn(name or node, arguments)

    def wait_ready(self, address, timeout_s=30):
        host, _, port = address.partition(":")
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            try:
                with socket.create_connection((host, int(port)), 1) as link:
                    link.sendall(b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n")
                    if b" 200 " in link.recv(100):
                        return
            except OSError:
                pass
            time.sleep(0.1)
        raise AssertionError(f"{address} is not ready: {self.logs()[-3000:]}")

    def tool(self, *arguments, code=0):
        """Run the operators' tool; return its output, checked for its exit code."""
        run = self.run_tool(*arguments)
        assert run.returncode == code, (run.returncode, run.stdout, run.stderr)
        return run.stdout

    def run_tool(self, *arguments):
        return subprocess.run(
            [sys.executable, "-c", _START.format("tool"), *arguments],
            capture_output=True,
            text=True,
            cwd=self.folder,
            env=ENVIRONMENT,
            timeout=100,
        )

    def read(self, *arguments):
        """Return the tool's answer in JSON."""
        return json.loads(self.tool(*arguments, "--output", "json"))

    def set_up(self, author="an"):
        """Submit the example documents and return a key."""
        for name in ("translation", "orders"):
            options = ["--author", author, "--wait"]
            self.tool("config", "submit", f"{name}.yaml", *options)
        return self.tool("key", "grant", "hanoi-kitchens").strip()

    def logs(self):
        return "".join(
            path.read_text(encoding="utf-8", errors="replace")
            for path in sorted((self.folder / "logs").iterdir())
        )

    def stop(self, name):
        """Stop one process and return its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        try:
            return process.wait(20)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def close(self):
        """Stop everything."""
        for name in reversed(list(self.processes)):
            self.processes[name].terminate()
        for name in list(self.processes):
            self.stop(name)
