"""A deadly request comes while entries, leaders and links between them are lost.

Real processes on loopback addresses, with a proxy on each link.
"""

import asyncio
import signal

import pytest

from crashingservers import LATE_LIMIT, SAFE, SERVED_PART, Kind, Load, build_kinds_body
from fleets import pick_base
from linkedfleet import LinkedFleet

_PLAY_S = 10.0
_PER_S = 10
_DEADLY_EVERY = 4
_CONTACT_S = 3.0
_FIRST_END_S = 5.0


async def cut_leader(fleet):
    """Cut all entries' links to the leader, which goes on leading."""
    await cut(fleet, [(ip, fleet.find_leader()) for ip in fleet.entry_ips])


async def isolate_entry(fleet):
    """Cut all links of one entry."""
    await cut(fleet, [(fleet.entry_ips[0], host) for host in fleet.controls])


async def cut(fleet, pairs):
    fleet.harm_links(pairs, "cut", "", 0.0)
    await asyncio.sleep(4.0)
    fleet.heal_links(pairs)


async def restart_entries(fleet):
    """End one entry between the ends, and another one when all know."""
    await fleet.restart(fleet.entry_ips[0], signal.SIGKILL, 0.2)
    await asyncio.sleep(_CONTACT_S)
    await fleet.restart(fleet.entry_ips[1], signal.SIGKILL, 0.2)


async def lose_leader(fleet):
    await fleet.restart(fleet.find_leader(), signal.SIGKILL, 3.0)


_STRIKES = {
    "leader-link": cut_leader,
    "isolated-entry": isolate_entry,
    "restarted-entries": restart_entries,
    "lost-leader": lose_leader,
}


@pytest.fixture(scope="module")
def loads(tmp_path_factory):
    """Play each strike from the first end on, with servers of its own."""
    loads = {
        name: Load(Kind(name, "safe", f"desk-{name}"), keeps_name=number % 2 == 0)
        for number, name in enumerate(_STRIKES)
    }
    folder = tmp_path_factory.mktemp("faults")
    status = Load(SAFE, servers=1)

    async def play(fleet, load, strike):
        running = asyncio.create_task(
            load.run(
                fleet, _PLAY_S, per_s=_PER_S, deadly_every=_DEADLY_EVERY, calm_s=1.0
            )
        )
        async with asyncio.timeout(_FIRST_END_S):
            while not load.record.ends:
                await asyncio.sleep(0.01)
        await strike(fleet)
        await running

    async def main():
        fleet = LinkedFleet(pick_base(), folder / "fleet", 3)
        fleet.engines = []
        fleet.desks = [s for load in (status, *loads.values()) for s in load.servers]
        fleet.first_body = build_kinds_body(
            [load.kind for load in (status, *loads.values())]
        )
        try:
            await fleet.start()
            for name, strike in _STRIKES.items():
                await play(fleet, loads[name], strike)
        finally:
            await fleet.stop()

    asyncio.run(main())
    return loads


@pytest.mark.parametrize("name", _STRIKES)
def test_deadly_request_is_kept_from_servers_over_a_fault(loads, name):
    """What some process knew of an end was lost with it, or reached nobody."""
    load = loads[name]
    assert len(load.record.list_late(load.deadly, _CONTACT_S)) <= LATE_LIMIT


@pytest.mark.parametrize("name", ["leader-link", "lost-leader"])
def test_sound_requests_are_served_over_a_fault(loads, name):
    """Without a leader to ask, requests beside a deadly one waited or were refused."""
    load = loads[name]
    ends = load.record.list_ends(load.deadly)
    before = load.measure_served(load.began, ends[0].at)
    settled = ends[:3][-1].at + _CONTACT_S
    after = load.measure_served(settled, load.ended)
    assert after >= before * SERVED_PART
