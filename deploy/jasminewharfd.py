"""Starts the daemon from a checkout, without an installation of the package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "src"))

from jasminewharf.interfaces.daemon import main

if __name__ == "__main__":
    main()
