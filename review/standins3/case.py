"""Runs one case: its exit code says whether the rule was broken."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .fleet import Fleet

__all__ = ["BROKEN", "HELD", "UNABLE", "has_trouble", "run_case"]

HELD = 0
BROKEN = 1
UNABLE = 2
_LIMIT_S = 112.0

Scenario = Callable[[Fleet], Awaitable[bool]]


def has_trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, build: Callable[[Path], Fleet], scenario: Scenario) -> None:
    """Run a scenario, which returns whether the rule was broken, and exit."""
    sys.exit(asyncio.run(_run(folder, build, scenario)))


async def _run(folder: Path, build: Callable[[Path], Fleet], scenario: Scenario) -> int:
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    fleet = build(folder)
    code = UNABLE
    try:
        async with asyncio.timeout(_LIMIT_S):
            code = BROKEN if await scenario(fleet) else HELD
    except (asyncio.CancelledError, Exception):
        traceback.print_exc()
    finally:
        kept = os.environ.get("KEEP_LOGS")
        for name in fleet.nodes if kept else ():
            Path(kept, f"{name}.log").write_text(fleet.read_log(name))
        fleet.record.note("end", code=code)
        await fleet.stop()
    print({HELD: "held", BROKEN: "broken", UNABLE: "could not run"}[code])
    return code
