"""Starts the daemon from a checkout; its argument is the settings file.

The command line of an installed daemon would take a fifth of the process's memory.
"""

import signal

# Settings that change while modules are loaded must not end the process; the file is
# looked at once it has started.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402
from pathlib import Path  # noqa: E402

sys.path.insert(0, str(Path(__file__).parents[1] / "src"))

from jasminewharf.interfaces.running import run_daemon  # noqa: E402

if __name__ == "__main__":
    run_daemon(sys.argv[1])
