"""A deadly request and a bad part come while processes are killed and frozen.

Real processes on loopback addresses: control hosts, entries and one agent per engine.
``JASMINEWHARF_SOAK_SEEDS=10-60`` plays these seeds in place of the fixed ones.
"""

import asyncio
import random
import signal

import pytest

import crashingengines
from crashingservers import SAFE, UNSAFE, Arrival, End, Load, Outcome, build_kinds_body
from deadlychecks import Day, Strike, find_breaches, find_entry
from fleets import pick_base
from processfleet import ProcessFleet, read_seeds

_FIXED_SEEDS = "1-2"
_PLAY_S = 14.0
_QUIET_S = 4.0
_CONTACT_S = 3.0
# From the third end on, until sound requests are served as before.
_SETTLED_S = 2 * _CONTACT_S
# Of a strike at an entry, until it is back and has heard of bad parts.
_STRUCK_S = 8.0
_FAULTS = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)


def now():
    return asyncio.get_running_loop().time()


class Soak:
    """Load and faults of one seed."""

    def __init__(self, fleet, load, parts, seed):
        self._fleet = fleet
        self._load = load
        self._parts = parts
        self._random = random.Random(seed)
        self._seed = seed
        self.strikes = []

    async def run(self):
        every = self._random.choice((5, 10, 20))
        share = self._random.choice((0.05, 0.15))
        await asyncio.gather(
            self._load.run(self._fleet, _PLAY_S, per_s=20, deadly_every=every),
            self._parts.run(
                self._fleet, _PLAY_S, per_s=15, bad_share=share, seed=self._seed
            ),
            self._strike(),
        )

    async def _strike(self):
        """Strike in series that overlap, one control host at a time."""
        tasks = []
        until = now() + _PLAY_S - _QUIET_S
        while now() < until:
            await asyncio.sleep(self._random.uniform(0.5, 2.5))
            kind = self._random.choice(_FAULTS)
            if self._random.random() < 0.5:
                number = self._random.randrange(len(self._fleet.entries))
                tasks.append(asyncio.create_task(self._strike_entry(number, kind)))
            else:
                host = self._random.choice(self._fleet.controls)
                await self._fleet.strike(host, kind)
        await asyncio.gather(*tasks)

    async def _strike_entry(self, number, kind):
        begin = now()
        await self._fleet.strike(self._fleet.entry_ips[number], kind)
        is_freeze = kind == signal.SIGSTOP
        self.strikes.append(Strike(f"e{number}", begin, now(), is_freeze))

    def build_day(self):
        load = self._load
        began = {name for server in load.servers for name in server.runs}
        return Day(
            load.deadly,
            load.record.arrivals,
            load.record.ends,
            load.outcomes,
            began,
            self.strikes,
        )

    def list_late_parts(self):
        """Return what came late with a bad part, but for entries struck then."""
        return [
            arrival
            for arrival in self._parts.list_late(_CONTACT_S)
            if not any(
                strike.entry == find_entry(arrival.request_id)
                and strike.begin <= arrival.at <= strike.begin + _STRUCK_S
                for strike in self.strikes
            )
        ]


@pytest.mark.timeout(150)
@pytest.mark.parametrize("seed", read_seeds(_FIXED_SEEDS))
def test_deadly_request_is_kept_from_servers_while_processes_are_killed(tmp_path, seed):
    """Entries and leaders come and go; what they knew of the request went with them."""
    kind = SAFE if seed % 2 else UNSAFE
    load = Load(kind, keeps_name=seed % 4 < 2)
    parts = crashingengines.Play(["bad0bad0:64"], engines=3)
    desks = list(load.servers)
    if kind is not SAFE:
        # The fleet's start asks one.
        desks += Load(SAFE, servers=1).servers

    async def main():
        fleet = ProcessFleet(
            pick_base(),
            tmp_path / "fleet",
            4,
            engines=parts.engines,
            desks=desks,
            body=build_kinds_body(),
        )
        try:
            await fleet.start()
            soak = Soak(fleet, load, parts, seed)
            await soak.run()
        finally:
            await fleet.stop()
        assert find_breaches(soak.build_day(), _CONTACT_S, _SETTLED_S) == []
        assert parts.ends
        assert len(soak.list_late_parts()) <= 3
        for path in fleet.folder.glob("*.log"):
            text = path.read_text()
            assert "Traceback" not in text, path
            assert '"event": 102' not in text, path

    asyncio.run(main())


# The checks themselves.

DEADLY = SAFE.build_call(0)
SOUND = SAFE.build_call(1)
ENDS = [End(at, DEADLY, "i-1") for at in (10.0, 11.0, 12.0)]


def arrive(at, entry=0):
    return Arrival(at, DEADLY, "i-1", f"e{entry}-{at}")


def answer(at, status=200, call=SOUND, entry=0):
    is_not_run = status == 503
    return Outcome(at, call, f"e{entry}-{at}", status, "", is_not_run, 0.1)


def build_day(*, late=0, entry=0, outcomes=(), began=(), strikes=()):
    """Return a day whose deadly request came ``late`` times at 16 s."""
    arrivals = [arrive(end.at - 0.1) for end in ENDS]
    arrivals += [arrive(16.0 + n / 10, entry) for n in range(late)]
    outcomes = [answer(5.0), answer(20.0, entry=3), *outcomes]
    return Day(DEADLY, arrivals, ENDS, outcomes, set(began), list(strikes))


def check(day):
    return find_breaches(day, _CONTACT_S, _SETTLED_S)


def test_check_allows_three_late_sends_and_finds_a_fourth():
    """A check that finds nothing would let every play pass."""
    assert check(build_day(late=3)) == []
    assert len(check(build_day(late=4))) == 1


def test_check_excuses_frozen_entries_only():
    """An entry that starts again has to know before it serves."""
    frozen, killed = Strike("e0", 15.0, 15.5, True), Strike("e0", 15.0, 15.5)
    assert check(build_day(late=9, strikes=[frozen])) == []
    assert len(check(build_day(late=9, entry=1, strikes=[frozen]))) == 1
    assert len(check(build_day(late=9, strikes=[killed]))) == 1


def test_check_finds_a_request_that_ran_and_was_called_not_run():
    """Callers repeat what was not run."""
    refused = answer(13.0, 503, DEADLY)
    assert check(build_day(outcomes=[refused])) == []
    assert len(check(build_day(outcomes=[refused], began=[refused.request_id]))) == 1


def test_check_finds_sound_requests_that_are_not_served():
    """To refuse everything would keep the bound of late sends."""
    refused = answer(20.5, 503, entry=1)
    assert len(check(build_day(outcomes=[refused]))) == 1
    struck = Strike("e1", 18.0, 19.0)
    assert check(build_day(outcomes=[refused], strikes=[struck])) == []
    assert len(check(build_day()._replace(ends=[]))) == 1
