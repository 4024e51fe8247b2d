"""Signals and changes of settings that meet a process while it starts."""

import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from deployment import ENVIRONMENT
from jasminewharf.exceptions import SettingsError
from jasminewharf.interfaces.running import load_written_settings

_ROOT = Path(__file__).parents[1]
_SCRIPT = _ROOT / "deploy" / "jasminewharfd.py"
_DAEMON = "from jasminewharf.interfaces.daemon import main; main()"
_STUB = """
import pathlib, time
folder = pathlib.Path(__file__).parent
(folder / "begun").touch()
while not (folder / "go-on").exists():
    time.sleep(0.01)
raise SystemExit(7)
"""


def test_hangup_while_modules_are_loaded_does_not_end_the_process(tmp_path):
    """A notice of changed settings killed a process that was just starting."""
    (tmp_path / "msgspec.py").write_text(_STUB)
    process = subprocess.Popen(
        [sys.executable, str(_SCRIPT), "none.yaml"],
        env={**os.environ, "PYTHONPATH": str(tmp_path)},
    )
    try:
        deadline = time.monotonic() + 20
        while not (tmp_path / "begun").exists():
            assert time.monotonic() < deadline
            time.sleep(0.01)
        process.send_signal(signal.SIGHUP)
        (tmp_path / "go-on").touch()
        assert process.wait(20) == 7
    finally:
        process.kill()
        process.wait()


SETTINGS = """\
node: control-1
role: control
zone: zone-a
data_folder: data
control: [{name: control-1, address: "127.0.0.1:7100", peer_address: "127.0.0.1:7200"}]
"""


def test_settings_that_are_being_written_are_read_again(tmp_path):
    """A process that started meanwhile ended for an empty file, and stayed away."""
    path = tmp_path / "settings.yaml"
    path.write_text("")
    writer = threading.Timer(0.2, path.write_text, [SETTINGS])
    writer.start()
    try:
        assert load_written_settings(str(path)).node == "control-1"
    finally:
        writer.join()


def test_settings_that_stay_wrong_end_the_start(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text("node: [")
    with pytest.raises(SettingsError):
        load_written_settings(str(path))
    os.utime(path, (1.0, 1.0))
    began_at = time.monotonic()
    with pytest.raises(SettingsError):
        load_written_settings(str(path))
    assert time.monotonic() - began_at < 0.5


ENTRY_SETTINGS = """\
node: entry-1
role: entry
zone: zone-a
listen: "127.0.0.1:{port}"
hash_secret_file: "{folder}/secret"
control: [{{name: control-1, address: "127.0.0.1:9", peer_address: "127.0.0.1:9"}}]
"""


def test_hangup_does_not_end_an_entry_that_reads_no_changed_settings(tmp_path):
    """The notice of changed settings killed it, with all requests in progress."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    secret = tmp_path / "secret"
    secret.touch(mode=0o600)
    secret.write_text("a" * 64)
    settings = tmp_path / "entry.yaml"
    settings.write_text(ENTRY_SETTINGS.format(port=port, folder=tmp_path))
    process = subprocess.Popen(
        [sys.executable, "-c", _DAEMON, "--settings", str(settings)], env=ENVIRONMENT
    )
    try:
        link = connect(port)
        link.sendall(b"GET /healthz HTTP/1.1\r\n")
        process.send_signal(signal.SIGHUP)
        time.sleep(0.2)
        link.sendall(b"host: x\r\n\r\n")
        assert link.recv(1_000).startswith(b"HTTP/1.1 200 ")
        link.close()
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.wait()


def connect(port):
    """Return a connection to a process that is starting."""
    deadline = time.monotonic() + 20
    while True:
        try:
            return socket.create_connection(("127.0.0.1", port), timeout=20)
        except OSError:
            assert time.monotonic() < deadline
            time.sleep(0.05)
