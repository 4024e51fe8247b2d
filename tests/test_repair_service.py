"""Control hosts that are replaced by empty ones at other addresses."""

import asyncio

from fleets import build_body, pick_base
from jasminewharf.interfaces.roles import build_kernel
from jasminewharf.settings import load_settings
from processfleet import ProcessFleet
from support import wait_until

_REPLACED_S = 20.0
_NEW = "127.0.0.60"


async def start_control(fleet, ip, first_start):
    path = fleet.write_settings(ip, "control", operator_listen=f"{ip}:{fleet.base + 8}")
    text = path.read_text()
    path.write_text(
        text.replace("first_start: true", f"first_start: {str(first_start).lower()}")
    )
    kernel = build_kernel(load_settings(str(path)))
    await kernel.start()
    fleet.kernels.append(kernel)
    return kernel


async def stop_control(fleet, kernel):
    fleet.kernels.remove(kernel)
    await kernel.stop()


async def stop_all(fleet):
    for kernel in fleet.kernels:
        await kernel.stop()
    await fleet.list.stop()


def list_voters(kernels):
    """Return the hosts that vote, by the leader; none while there is no leader."""
    for kernel in kernels:
        log = kernel.find("log")
        if log.is_leader("fleet"):
            return [m.identity.split("/")[0] for m in log.members("fleet") if m.voter]
    return []


async def wait_for_successor(fleet, kernels):
    """Wait until the third control host has lost its vote to the new one."""
    left = sorted([*fleet.controls[:2], _NEW])
    await wait_until(lambda: sorted(list_voters(kernels)) == left, _REPLACED_S)


def run_with_lost_host(scenario, tmp_path):
    """Run a scenario with two control hosts that vote beside one that was lost."""

    async def main():
        fleet = ProcessFleet(pick_base(), tmp_path / "fleet", 2)
        fleet.folder.mkdir()
        await fleet.list.start()
        try:
            first, second, lost = [
                await start_control(fleet, ip, True) for ip in fleet.controls
            ]
            assert (await fleet.submit(build_body(1)))[0] == 200
            await stop_control(fleet, lost)
            await scenario(fleet, first, second)
        finally:
            await stop_all(fleet)

    asyncio.run(main())


def test_successor_of_a_lost_control_host_votes(tmp_path):
    """After a second loss no configuration was acknowledged any more.

    The successor of a lost control host was to vote only if all others answered, and
    the lost one was to be removed only once the successor voted.
    """

    async def scenario(fleet, first, second):
        new = await start_control(fleet, _NEW, False)
        await wait_for_successor(fleet, [first, second, new])
        await stop_control(fleet, second)
        async with asyncio.timeout(5.0):
            assert (await fleet.submit(build_body(2)))[0] == 200

    run_with_lost_host(scenario, tmp_path)


def test_newcomer_that_leaves_again_does_not_hold_up_the_next(tmp_path):
    """The next newcomer waited for 30 s, as long as for the vote of the one before."""

    async def scenario(fleet, first, second):
        gone = await start_control(fleet, "127.0.0.59", False)
        leader = first if first.find("log").is_leader("fleet") else second
        await wait_until(lambda: len(leader.find("log").members("fleet")) == 4)
        await stop_control(fleet, gone)
        new = await start_control(fleet, _NEW, False)
        await wait_for_successor(fleet, [first, second, new])

    run_with_lost_host(scenario, tmp_path)
