"""Which ends of servers accuse a request, and when the next trial may begin."""

import asyncio

from crashingservers import (
    LATE_LIMIT,
    RESTART_S,
    RESUMABLE,
    UNSAFE,
    Load,
    ask,
    build_kinds_body,
    list_servers,
)
from fleets import run_with_fleet

_SEEN_S = 1.0


def play(load, scenario, tmp_path):
    run_with_fleet(
        scenario, tmp_path, 3, body=build_kinds_body(), **list_servers([load])
    )


def test_next_trial_waits_for_the_news_of_the_last_one(tmp_path):
    """It took the last server while two others were down."""
    load = Load(UNSAFE, ends_after_s=0.1)

    async def scenario(fleet):
        # The entries have heard from all control hosts.
        await asyncio.sleep(1.5)
        await ask(fleet, load.deadly, 0)
        await asyncio.sleep(0.3)
        tasks = []
        for number in range(24):
            tasks.append(asyncio.create_task(ask(fleet, load.deadly, number % 3)))
            await asyncio.sleep(0.013)
        await asyncio.gather(*tasks)

    play(load, scenario, tmp_path)
    assert max(load.record.count_down(end.at) for end in load.record.ends) < 3


def test_answer_that_only_the_close_ends_accuses(tmp_path):
    """A server that ended inside such an answer seemed to have answered whole."""
    load = Load(UNSAFE)
    for server in load.servers:
        server.crash_answer = b"half"

    async def scenario(fleet):
        await asyncio.sleep(_SEEN_S)
        for number in range(14):
            await ask(fleet, load.deadly, number % 3)
            await asyncio.sleep(0.8)

    play(load, scenario, tmp_path)
    assert len(load.record.list_late(load.deadly)) <= LATE_LIMIT


def test_request_that_was_given_up_before_the_end_is_accused(tmp_path):
    """Callers with short deadlines left before the server had ended."""
    load = Load(UNSAFE, ends_after_s=0.4)

    async def scenario(fleet):
        await asyncio.sleep(_SEEN_S)
        for number in range(16):
            # A sound request at each entry sees the server end.
            others = [
                ask(fleet, UNSAFE.build_call(f"sound-{number}-{entry}-{n}"), entry)
                for entry in range(3)
                for n in range(3)
            ]
            waits = [asyncio.create_task(other) for other in others]
            await ask(fleet, load.deadly, number % 3, deadline_ms=250)
            await asyncio.sleep(0.35)
            await asyncio.gather(*waits)

    for server in load.servers:
        server.answer_s = 0.45
    play(load, scenario, tmp_path)
    assert len(load.record.list_late(load.deadly)) <= LATE_LIMIT


def test_broken_answer_of_a_server_that_is_back_is_no_end(tmp_path):
    """Its former end was taken for one under each request that broke later."""
    load = Load(UNSAFE, servers=1, keeps_name=True)
    load.record.deadly.clear()
    [server] = load.servers
    call = UNSAFE.build_call("sound")
    statuses = []

    async def scenario(fleet):
        server.answer_s = 0.3
        first = asyncio.create_task(ask(fleet, UNSAFE.build_call("other"), 0))
        await asyncio.sleep(0.1)
        server.crash()
        await first
        await asyncio.sleep(RESTART_S + 0.5)
        server.answer_s = 0.01
        for _ in range(3):
            server.fails_next.append("short")
            await ask(fleet, call, 0)
            await asyncio.sleep(1.1)
        statuses.extend([(await ask(fleet, call, 0)).status for _ in range(3)])

    play(load, scenario, tmp_path)
    assert statuses == [200] * 3


def test_request_is_known_under_each_name_of_its_host(tmp_path):
    """A repeat at another port was another request."""
    load = Load(UNSAFE)

    async def scenario(fleet):
        await asyncio.sleep(_SEEN_S)
        for number in range(24):
            host = [("host", f"a.example:{9000 + number % 6}")]
            await ask(
                fleet,
                load.deadly,
                number % 3,
                change=lambda head, host=host: host + head[1:],
            )
            await asyncio.sleep(0.5)

    play(load, scenario, tmp_path)
    assert load.record.ends
    assert len(load.record.list_late(load.deadly)) <= LATE_LIMIT


def test_request_that_ends_servers_late_in_its_answer_is_found_out(tmp_path):
    """One that did so a second after its first event was sent on for ever."""
    load = Load(RESUMABLE, ends_after_s=1.2)

    async def scenario(fleet):
        await asyncio.sleep(_SEEN_S)
        for number in range(14):
            await ask(fleet, load.deadly, number % 3)
            # Answers to others clear the parts of the prompt.
            for entry in range(3):
                await ask(fleet, RESUMABLE.build_call(f"s{number}-{entry}"), entry)

    play(load, scenario, tmp_path)
    assert len(load.record.list_ends(load.deadly)) >= 3
    assert len(load.record.list_late(load.deadly)) <= LATE_LIMIT
