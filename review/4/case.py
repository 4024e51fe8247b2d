"""Orders with a lower fencing token, where replicas don't check it."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import staleagent
import standins


async def _case(recorder: standins.Recorder) -> int:
    return await staleagent.play(recorder, checks_fences=False)


if __name__ == "__main__":
    standins.run_case(Path(__file__).resolve().parent, _case)
