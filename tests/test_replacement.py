"""A leader that was added later is replaced, while entries and agents go on."""

import asyncio
import signal

import pytest

from fleets import build_body, pick_base
from linkedfleet import LinkedFleet
from support import wait_until

_REPAIRED_S = 25.0
_ELECTED_S = 3.0
_ATTEMPTS = 12


async def replace(fleet, ip):
    fleet.first_start = False
    new = await fleet.replace_control(ip, 0.5)
    for host in fleet.hosts:
        fleet.rewrite_settings(host)
    await wait_until(lambda: not fleet.list_members_left(), _REPAIRED_S)
    # The successor votes right after the removal.
    await asyncio.sleep(1.0)
    return new


async def make_leader(fleet, ip):
    for _ in range(_ATTEMPTS):
        leader = fleet.find_leader()
        if leader == ip:
            return
        await fleet.restart(leader, signal.SIGKILL, _ELECTED_S)
        await asyncio.sleep(_ELECTED_S)
    raise AssertionError(f"{ip} was never elected")


@pytest.mark.timeout(180)
def test_entries_serve_after_an_added_leader_is_replaced(tmp_path):
    """Every request with a rate failed, until the entries were started again.

    They went on to ask a leader whose link they had closed (KeyError).
    """

    async def main():
        fleet = LinkedFleet(pick_base(), tmp_path / "fleet", 2)
        fleet.first_body = build_body(1, services=[{"name": "llm"}, {"name": "desk-a"}])
        fleet.first_body = fleet.first_body.replace(b'"desk"', b'"desk-a"')
        try:
            await fleet.start()
            added = await replace(fleet, "127.0.0.9")
            await make_leader(fleet, added)
            for entry in range(2):
                assert (await fleet.call("/status/1", entry=entry))[0] == 200
            await replace(fleet, added)
            for entry in range(2):
                answers = [
                    (await fleet.call("/status/1", entry=entry))[0] for _ in range(5)
                ]
                assert answers == [200] * 5
        finally:
            await fleet.stop()

    asyncio.run(main())
