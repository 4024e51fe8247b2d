"""Requests end in an answer or a refusal while real processes stop, die and freeze.

Control hosts, entries and agents are processes on loopback addresses. Callers use their
open connections until these are closed; signals, restarts and changes of configuration
and settings come in series that overlap; sound servers fall silent, and
one zone is evacuated. At the end all are killed and control hosts lose their disks.
``JASMINEWHARF_SOAK_SEEDS=10-60`` plays these seeds in place of the fixed ones,
``JASMINEWHARF_SOAK_S`` sets the length of a play in seconds,
``JASMINEWHARF_SOAK_ENTRIES`` the number of entries and ``JASMINEWHARF_SOAK_CALLERS``
that of callers.
"""

import asyncio
import collections
import os
import signal

import pytest

from fleets import pick_base
from processfleet import read_seeds
from processsoak import (
    ZONE,
    Evacuation,
    Sent,
    Soak,
    SoakFleet,
    Strike,
    Work,
    build_parts,
    find_broken_promises,
    find_evacuated_sends,
    find_lost,
)

_FIXED_SEEDS = "2-3"
_PLAY_S = float(os.environ.get("JASMINEWHARF_SOAK_S", "12"))
_ENTRIES = int(os.environ.get("JASMINEWHARF_SOAK_ENTRIES", "3"))
_CALLERS = int(os.environ.get("JASMINEWHARF_SOAK_CALLERS", "24"))
# Each third seed has five control hosts, two of which may lose their disks.
_WIDE = 3
# Has a stopping entry close its connections without regard to requests.
_DROP_AT_STOP = """
from jasminewharf.interfaces.http import HttpServer

async def close_at_once(self, timeout_s):
    await self.close()

HttpServer.drain = close_at_once
"""

_IGNORE_ZONES = """
from jasminewharf.decisions.directory import Directory

Directory.set_evacuated = lambda directory, zones: None
"""


@pytest.mark.timeout(300)
@pytest.mark.parametrize("seed", read_seeds(_FIXED_SEEDS))
def test_no_request_or_configuration_is_lost_between_processes(tmp_path, seed):
    """A request was cut beside a stop or a change, or a configuration was lost."""

    async def main():
        fleet = SoakFleet(
            pick_base(),
            tmp_path / "fleet",
            _ENTRIES,
            controls=3 if seed % _WIDE else 5,
            **build_parts(seed, ZONE),
        )
        try:
            await fleet.start()
            soak = Soak(fleet, seed, _CALLERS)
            await soak.play(_PLAY_S)
            forgotten = await soak.find_forgotten()
        finally:
            await fleet.stop()
        outcomes = collections.Counter(sent.outcome for sent in soak.requests)
        kinds = collections.Counter(strike.kind.name for strike in fleet.strikes)
        print(f"seed {seed}: {dict(outcomes)}, {dict(kinds)}")
        lost = find_lost(soak.requests, soak.works, fleet.strikes)
        lost += find_broken_promises(soak.requests, soak.works, "orders-")
        lost += find_evacuated_sends(
            soak.requests, soak.works, fleet.strikes, soak.evacuations
        )
        assert not lost + forgotten, "\n".join(map(str, lost + forgotten))
        assert outcomes["answered"] > 50
        for path in fleet.folder.glob("*.log"):
            text = path.read_text()
            assert "Traceback" not in text, path
            assert '"event": 102' not in text, path

    asyncio.run(main())


def test_soak_finds_requests_that_a_stop_drops(tmp_path):
    """A judge that finds nothing would pass any soak."""

    async def main():
        seed = 1
        fleet = SoakFleet(
            pick_base(),
            tmp_path / "fleet",
            2,
            planted=_DROP_AT_STOP,
            **build_parts(seed),
        )
        try:
            await fleet.start()
            soak = Soak(fleet, seed)
            ip = fleet.entry_ips[0]
            stop = asyncio.create_task(_hit_after(fleet, 1.0, ip, signal.SIGTERM))
            await soak.call_until(4.0)
            await stop
        finally:
            await fleet.stop()
        lost = find_lost(soak.requests, soak.works, fleet.strikes)
        assert lost and {sent.entry for sent in lost} == {ip}

    asyncio.run(main())


def test_soak_finds_requests_to_an_evacuated_zone(tmp_path):
    """Entries that hear nothing of an evacuation pass for sound ones."""

    async def main():
        fleet = SoakFleet(
            pick_base(),
            tmp_path / "fleet",
            2,
            planted=_IGNORE_ZONES,
            **build_parts(1, ZONE),
        )
        try:
            await fleet.start()
            soak = Soak(fleet, 1)
            until = asyncio.get_running_loop().time() + 9.0
            await asyncio.gather(soak.call_until(9.0), soak.evacuate(until))
        finally:
            await fleet.stop()
        assert find_evacuated_sends(soak.requests, soak.works, [], soak.evacuations)

    asyncio.run(main())


async def _hit_after(fleet, wait_s, ip, kind):
    await asyncio.sleep(wait_s)
    await fleet.hit(ip, kind)


SOUND = Work("x", "s", 1.1, 2.0, "whole")
CUT = Sent("x", "e", 1.0, 2.0, "cut", is_kept=True)
BROKEN = CUT._replace(outcome="broken", status=200)
STOP = Strike("e", signal.SIGTERM, 0.5, 4.0)


@pytest.mark.parametrize(
    ("sent", "works", "strikes"),
    [
        (CUT, [SOUND], []),
        (CUT, [], []),
        (CUT, [], [STOP]),
        (CUT, [Work("x", "s", 1.1, 1.2, "failed")], []),
        (BROKEN, [SOUND], []),
        (BROKEN, [Work("x", "s", 1.1, 1.3, "failed"), SOUND], []),
        (BROKEN, [SOUND], [STOP]),
        (BROKEN, [SOUND], [Strike("other", signal.SIGKILL, 1.0, 1.5)]),
        (BROKEN, [SOUND], [Strike("e", signal.SIGHUP, 1.0, 1.0)]),
        (CUT._replace(outcome="late", ended_at=10.0), [SOUND], [STOP]),
    ],
)
def test_judge_finds_what_is_lost(sent, works, strikes):
    """A request without an answer was passed over for something beside it."""
    assert find_lost([sent], works, strikes, grace_s=3.0) == [sent]


@pytest.mark.parametrize(
    ("sent", "works", "strikes"),
    [
        (BROKEN, [Work("x", "s", 1.1, 1.9, "failed")], []),
        (BROKEN._replace(ended_at=8.9), [SOUND], []),
        (CUT._replace(ended_at=1.15), [], [STOP]),
        (CUT, [SOUND], [Strike("e", signal.SIGKILL, 1.8, 3.0)]),
        (CUT, [SOUND], [Strike("e", signal.SIGSTOP, 0.2, 0.9)]),
        (BROKEN._replace(ended_at=3.3), [Work("x", "s", 1.1, 3.3, "dropped")], [STOP]),
        (CUT._replace(outcome="left"), [SOUND], []),
    ],
)
def test_judge_passes_what_is_allowed(sent, works, strikes):
    """A judge that refuses everything would find the planted faults too."""
    assert find_lost([sent], works, strikes, grace_s=3.0) == []


@pytest.mark.parametrize(
    ("arrived_at", "strike", "found"),
    [
        (6.0, STOP._replace(kind=signal.SIGTERM), 1),
        (6.0, Strike("other", signal.SIGSTOP, 5.0, 5.5), 1),
        (6.0, Strike("e", signal.SIGSTOP, 5.0, 5.5), 0),
        (4.0, STOP, 0),
        (9.0, STOP, 0),
    ],
)
def test_judge_knows_evacuations(arrived_at, strike, found):
    """A request reached an evacuated zone, or one that was not evacuated yet."""
    works = [SOUND._replace(arrived_at=arrived_at)]
    evacuations = [Evacuation(("s",), 5.0, 8.0)]
    sends = find_evacuated_sends([CUT], works, [strike], evacuations)
    assert len(sends) == found


@pytest.mark.parametrize(
    ("sent", "runs"),
    [
        (CUT._replace(request_id="orders-1", outcome="answered", status=200), 2),
        (CUT._replace(request_id="status-1", outcome="refused", status=503), 1),
    ],
)
def test_judge_finds_broken_promises(sent, runs):
    """An order ran twice, or a request that was refused as not run had run."""
    works = [SOUND._replace(request_id=sent.request_id)] * runs
    assert len(find_broken_promises([sent], works, "orders-")) == 1
