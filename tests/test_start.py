"""Signals that reach a process while it starts."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

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


@pytest.mark.skipif(not hasattr(signal, "SIGHUP"), reason="no such signal")
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
