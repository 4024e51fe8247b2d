"""A control host is replaced as planned, then another one loses its disk.

With TROUBLE=kill the replaced one is removed without SIGTERM; with TROUBLE=replace no
disk is lost, and with TROUBLE=wipe no host is replaced.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins

_A, _B, _C, _D = "127.0.0.41", "127.0.0.42", "127.0.0.43", "127.0.0.44"
_LIST = "127.0.0.40"
# Bounds of the deployments, in seconds.
_CATCH_UP_S = 4.0
_CONTACT_S = 3.0
_GRACE_S = 8.0
_RECOVERY_S = 12.0
# Beyond each bound, for this machine.
_MARGIN_S = 1.0


def _configuration(version: int) -> dict:
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": "shop.example",
                "pathPrefix": "/status/",
                "routeType": "safe",
                "timeoutMs": 3000,
                "targetLatencyMs": 400,
                "priority": 2,
                "service": "desk",
                "maxAttempts": 2,
                "public": True,
            }
        ],
        "services": [{"name": "desk", "healthCheck": "/health", "maxConns": 110}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [],
    }


async def _play(recorder: standins.Recorder, fleet: standins.Deployment) -> int:
    await fleet.list.start()
    for ip in (_A, _B, _C):
        await fleet.add(ip, "control").start(is_first=True)
    if not await fleet.put(_configuration(1), [_A, _B, _C], 30.0):
        return standins.NOT_RUN
    if os.environ.get("TROUBLE") != "wipe":
        if not await _replace(recorder, fleet):
            return standins.NOT_RUN
        members = [_A, _B, _D]
    else:
        members = [_A, _B, _C]
    # The core has been calm for longer than contactMs.
    await asyncio.sleep(_CONTACT_S + _MARGIN_S)
    if not await fleet.put(_configuration(2), [_B]):
        return standins.NOT_RUN
    if standins.is_troubled("wipe") or standins.is_troubled("kill"):
        await _lose_disk(recorder, fleet.daemons[_B])
    return await _read_back(fleet, members)


async def _replace(recorder: standins.Recorder, fleet: standins.Deployment) -> bool:
    """Add a control host at another address, then stop one for good."""
    recorder.note(f"{_D} starts, new and with an empty disk")
    await fleet.add(_D, "control").start()
    await asyncio.sleep(_CATCH_UP_S + _MARGIN_S)
    if await fleet.read_version(_D) != 1:
        return False
    if os.environ.get("TROUBLE") == "kill":
        await fleet.daemons[_C].kill()
        recorder.note(f"{_C} is removed without SIGTERM")
        return True
    recorder.note(f"SIGTERM to {_C}, which is removed")
    fleet.daemons[_C].send_signal(signal.SIGTERM)
    has_ended = await fleet.daemons[_C].wait(_GRACE_S)
    recorder.note(f"{_C} has ended {'by itself' if has_ended else 'by SIGKILL'}")
    return True


async def _lose_disk(recorder: standins.Recorder, daemon: standins.Daemon) -> None:
    """Have a control host lose its disk, and start at its old address."""
    await daemon.kill()
    daemon.lose_disk()
    recorder.note(f"{daemon.ip} is killed and has lost its disk")
    await asyncio.sleep(1.0)
    await daemon.start()
    recorder.note(f"{daemon.ip} starts again with an empty disk")


async def _read_back(fleet: standins.Deployment, ips: list[str]) -> int:
    """Read the configuration at all control hosts, far beyond the recovery time."""
    deadline = time.monotonic() + 3 * _RECOVERY_S
    while time.monotonic() < deadline:
        for ip in ips:
            version = await fleet.read_version(ip)
            if version >= 0:
                return standins.HELD if version == 2 else standins.BROKEN
        await asyncio.sleep(1.0)
    return standins.BROKEN


async def _case(recorder: standins.Recorder) -> int:
    fleet = standins.Deployment(recorder, [_A, _B, _C], [_LIST, _D])
    try:
        return await _play(recorder, fleet)
    finally:
        await fleet.close()


if __name__ == "__main__":
    standins.run_case(Path(__file__).resolve().parent, _case)
