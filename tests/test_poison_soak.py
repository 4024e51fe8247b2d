"""Bad parts of prompts come while entries and control hosts are killed and frozen.

Real processes on loopback addresses: control hosts, entries and one agent per engine.
``JASMINEWHARF_SOAK_SEEDS=10-60`` plays these seeds in place of the fixed ones.
"""

import asyncio
import random
import signal

import pytest

from crashingengines import Play
from fleets import pick_base
from processfleet import ProcessFleet, read_seeds

_FIXED_SEEDS = "1-2"
_PLAY_S = 16.0
_QUIET_S = 6.0
_CONTACT_S = 3.0
# Of a strike, until the process is back and has heard of the parts.
_STRUCK_S = 8.0
_FAULTS = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)


class Soak:
    """Load and faults of one seed."""

    def __init__(self, fleet, load, seed):
        self._fleet = fleet
        self._load = load
        self._random = random.Random(seed)
        self._seed = seed
        # When entries were struck.
        self._struck = {f"e{n}": [] for n in range(len(fleet.entries))}

    async def run(self):
        parts = self._random.choice((0.05, 0.15, 0.3))
        play = self._load.run(
            self._fleet, _PLAY_S, per_s=30, bad_share=parts, seed=self._seed
        )
        await asyncio.gather(play, self._strike())

    async def _strike(self):
        """Strike in series that overlap, one control host at a time."""
        strikes = []
        until = now() + _PLAY_S - _QUIET_S
        while now() < until:
            await asyncio.sleep(self._random.uniform(0.5, 2.5))
            kind = self._random.choice(_FAULTS)
            if self._random.random() < 0.5:
                entry = self._random.randrange(len(self._fleet.entries))
                self._struck[f"e{entry}"].append(now())
                ip = self._fleet.entry_ips[entry]
                strikes.append(asyncio.create_task(self._fleet.strike(ip, kind)))
            else:
                host = self._random.choice(self._fleet.controls)
                await self._fleet.strike(host, kind)
        await asyncio.gather(*strikes)

    def list_late(self):
        """Return what reached engines late, but for entries that were struck then."""
        return [
            arrival
            for arrival in self._load.list_late(_CONTACT_S)
            if not any(
                at <= arrival.at <= at + _STRUCK_S
                for at in self._struck[arrival.request_id.partition("-")[0]]
            )
        ]


def now():
    return asyncio.get_running_loop().time()


@pytest.mark.timeout(150)
@pytest.mark.parametrize("seed", read_seeds(_FIXED_SEEDS))
def test_bad_parts_are_found_out_while_processes_are_killed(tmp_path, seed):
    """Entries and leaders come and go; few requests with a bad part go on."""
    load = Play([f"bad{n}bad{n}:64" for n in range(1 + seed % 2)], engines=3)

    async def main():
        fleet = ProcessFleet(pick_base(), tmp_path / "fleet", 4, engines=load.engines)
        try:
            await fleet.start()
            soak = Soak(fleet, load, seed)
            await soak.run()
        finally:
            await fleet.stop()
        assert load.ends
        assert len(soak.list_late()) <= 3
        ran = {arrival.request_id for arrival in load.received}
        not_run = {o.request_id for o in load.outcomes if o.status == 503}
        assert not not_run & ran
        for path in fleet.folder.glob("*.log"):
            text = path.read_text()
            assert "Traceback" not in text, path
            assert '"event": 102' not in text, path

    asyncio.run(main())
