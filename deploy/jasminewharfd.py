"""Starts the daemon from a checkout; its argument is the settings file.

The command line of an installed daemon would take a fifth of the process's memory.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "src"))

from jasminewharf.interfaces.running import run_daemon

if __name__ == "__main__":
    run_daemon(sys.argv[1])
