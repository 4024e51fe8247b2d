"""Retries of a fleet whose entries start again while all its servers shed."""

import asyncio
from itertools import count

from fleets import run_with_fleet
from jasminewharf.interfaces.roles import build_kernel
from jasminewharf.settings import parse_settings
from support import wait_until

_SLACK = 50
_SHARE = 0.2
_LONG = 5_000


async def send_requests(fleet, entry, numbers, total):
    """Send requests one after the other, each until its entry gives up on it."""
    for number in range(total):
        request_id = f"r-{entry}-{next(numbers)}-{number}"
        status, _, _ = await fleet.call(
            "/status/1",
            ("x-deadline-ms", "900"),
            entry=entry,
            request_id=request_id,
        )
        assert status != 200


async def restart_entry(fleet, entry):
    kernel = fleet.entry_kernels[entry]
    ip = fleet.entry_ips[entry]
    position = fleet.kernels.index(kernel)
    await kernel.stop()
    text = fleet.settings_text(ip, "entry", ready_listen=f"{ip}:{fleet.base + 7}")
    text = text.replace("first_start: true", "first_start: false")
    kernel = build_kernel(parse_settings(text, "test.yaml"))
    await kernel.start()
    fleet.kernels[position] = kernel
    await wait_until(kernel.find("gateway").is_ready)


def test_restarted_entries_do_not_start_with_new_retries(tmp_path):
    """With each start of an entry the servers got as many retries as before it.

    A window had more than the share of its requests and the slack of the fleet.
    """

    async def scenario(fleet):
        for desk in fleet.desks:
            desk.fails_next = ["full"] * _LONG
        numbers = count()
        began_at = asyncio.get_running_loop().time()
        for _ in range(4):
            await asyncio.gather(
                *(send_requests(fleet, entry, numbers, 2) for entry in (0, 1))
            )
            await asyncio.gather(*(restart_entry(fleet, entry) for entry in (0, 1)))
        window = [
            head["x-attempt-id"]
            for desk in fleet.desks
            for head, at in zip(desk.heads, desk.arrivals, strict=True)
            if began_at <= at < began_at + 10.0
        ]
        requests = len(set(window))
        assert len(window) - requests <= _SHARE * 16 + _SLACK

    run_with_fleet(scenario, tmp_path)


def test_request_is_refused_before_a_round_that_would_come_too_late(tmp_path):
    """The last send crossed the deadline: 504 in place of a refusal as not run."""

    async def scenario(fleet):
        for desk in fleet.desks:
            desk.fails_next = ["full"] * _LONG
        began_at = asyncio.get_running_loop().time()
        status, _, body = await fleet.call("/status/1", ("x-deadline-ms", "800"))
        assert status == 503
        assert b'"not_run": true' in body or b'"not_run":true' in body
        assert asyncio.get_running_loop().time() - began_at < 0.65

    run_with_fleet(scenario, tmp_path)


def test_request_is_not_sent_to_shedding_servers_again_and_again(tmp_path):
    """Each of two servers got a request every 57 ms, which spent the entry's budget."""

    async def scenario(fleet):
        for desk in fleet.desks:
            desk.fails_next = ["full"] * _LONG
        began_at = asyncio.get_running_loop().time()
        status, headers, _ = await fleet.call("/status/1", ("x-deadline-ms", "900"))
        assert status == 503
        assert float(headers["retry-after"]) > 0
        assert asyncio.get_running_loop().time() - began_at < 0.9
        for desk in fleet.desks:
            assert len(desk.heads) <= 5

    run_with_fleet(scenario, tmp_path)
