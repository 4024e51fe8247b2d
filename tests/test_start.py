"""Signals and changes of settings that meet a process while it starts."""

import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from jasminewharf.exceptions import SettingsError
from jasminewharf.interfaces.running import load_written_settings

_ROOT = Path(__file__).parents[1]
_SCRIPT = _ROOT / "deploy" / "jasminewharfd.py"
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
