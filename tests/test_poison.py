"""Requests with a part in their prompts that crashes each engine they reach."""

import asyncio
import contextlib
import json
import math

import pytest

from crashingengines import RESTART_S, Play
from fleets import run_with_fleet
from jasminewharf.decisions.backpressure import ServerIncarnation
from jasminewharf.decisions.poison import REFUSED, PartEnd, PartEvidence, hash_parts
from jasminewharf.exceptions import JasminewharfError
from jasminewharf.services import poisonguard
from platformfakes import answer_raw, stream_body
from support import wait_until

# The bounds of the platform's pages are several seconds; here all is on one machine.
CONTACT_S = 1.0
BAD = "bad0bad0:64"
DURATION_S = 11.0
PARTS = hash_parts("llm", ["f1", "bad0bad0"])
END = PartEnd(ServerIncarnation("i-before", 1), 0.0)
PROMPT = (
    ("x-model", "m0"),
    ("x-token-counts", "600,60"),
    ("x-prompt-prefix", "f1:172,c1:9"),
)
WITHOUT_END = b"HTTP/1.1 200 OK\r\n%scontent-type: text/event-stream\r\n\r\n"


def play(tmp_path, bad_parts, *, place=1, seed=1, duration_s=DURATION_S, entries=4):
    """Play a load and return it with the time at which it began."""
    load = Play(bad_parts)
    began = []

    async def scenario(fleet):
        began.append(asyncio.get_running_loop().time())
        await load.run(
            fleet, duration_s, per_s=40, bad_share=0.15, seed=seed, place=place
        )

    run_with_fleet(scenario, tmp_path, entries=entries, engines=load.engines, desks=[])
    return load, began[0]


def check(load, began):
    """Check what the platform's rules ask: few late arrivals, sound ones served."""
    assert load.ends
    assert len(load.list_late(CONTACT_S)) <= 3
    first, fifth = load.ends[0][0], load.ends[:5][-1][0]
    before = load.measure_served(began, first)
    after = load.measure_served(fifth + 2 * CONTACT_S, began + DURATION_S)
    assert after >= before / 2


@pytest.mark.parametrize("place", [0, 1, 2])
def test_part_that_crashes_engines_is_kept_from_them(tmp_path, place):
    """Each entry went on sending such requests until no engine was left."""
    check(*play(tmp_path, [BAD], place=place))


def test_several_parts_that_crash_engines_are_kept_from_them(tmp_path):
    """The ends of one part hid those of the others."""
    check(*play(tmp_path, [BAD, "bad1bad1:64", "bad2bad2:64"]))


async def ask_bad(fleet, entry, request_id):
    headers = [
        ("x-model", "m0"),
        ("x-token-counts", "600,60"),
        ("x-prompt-prefix", f"f1:172,{BAD},c1:9"),
    ]
    return await fleet.call(
        "/chat/x", *headers, entry=entry, request_id=f"{request_id}-{entry}"
    )


async def accuse(fleet):
    """Have the entries find out the bad part; return once all refuse it."""
    for number in range(20):
        with contextlib.suppress(JasminewharfError):
            await ask_bad(fleet, number % len(fleet.entries), f"bad-{number}")
        guards = [kernel.find("poison-guard") for kernel in fleet.entry_kernels]
        if all(REFUSED in guard._standings.values() for guard in guards):
            return
        # The engines come back, with their models.
        await asyncio.sleep(RESTART_S / 2)
    raise AssertionError("the part was not found out")


async def check_refused(fleet, load, entry):
    """Check that a bad request is refused as not run and reaches no engine."""
    before = len(load.received)
    began = asyncio.get_running_loop().time()
    status, fields, body = await ask_bad(fleet, entry, f"later-{began}")
    assert (status, json.loads(body)["error"]["type"]) == (503, "prompt_refused")
    assert json.loads(body)["error"]["not_run"] is True
    assert float(fields["retry-after"]) > 5
    assert asyncio.get_running_loop().time() - began < 0.5
    assert len(load.received) == before


def test_entry_that_starts_again_knows_the_bad_parts(tmp_path):
    """A restarted entry would end as many engines again before it knew."""
    load = Play([BAD], engines=3)

    async def scenario(fleet):
        await accuse(fleet)
        await check_refused(fleet, load, 0)
        await fleet.entry_kernels[0].stop()
        ip = fleet.entry_ips[0]
        await fleet.add(ip, "entry", ready_listen=f"{ip}:{fleet.base + 7}")
        # In the place of the one that was stopped.
        fleet.kernels[1] = fleet.kernels.pop()
        await wait_until(fleet.entry_kernels[0].find("gateway").is_ready)
        await check_refused(fleet, load, 0)

    run_with_fleet(scenario, tmp_path, engines=load.engines, desks=[])


def test_bad_parts_are_known_after_all_control_hosts_have_started_again(tmp_path):
    """Entries that start later would hear of none from control hosts without any."""
    load = Play([BAD], engines=3)

    async def scenario(fleet):
        await accuse(fleet)
        control = fleet.kernels[0]
        await control.stop()
        await fleet.add("127.0.0.2", "control", operator_listen=fleet.operator)
        fleet.kernels[0] = fleet.kernels.pop()
        owner = fleet.kernels[0].find("poison-owner")
        await wait_until(lambda: len(owner._table) > 0)
        await check_refused(fleet, load, 1)

    run_with_fleet(scenario, tmp_path, engines=load.engines, desks=[])


def test_bad_request_is_not_sent_to_a_second_engine(tmp_path):
    """The route allows a second attempt, which ended a second engine."""
    load = Play([BAD], engines=3)

    async def scenario(fleet):
        with contextlib.suppress(JasminewharfError):
            await ask_bad(fleet, 0, "once")
        await asyncio.sleep(0.5)
        assert len(load.received) == len(load.ends) == 1

    run_with_fleet(scenario, tmp_path, engines=load.engines, desks=[])


def test_reset_connections_of_a_sound_engine_accuse_no_part(tmp_path):
    """A broken link would have its requests' parts kept from all engines."""
    load = Play([], engines=3)

    async def scenario(fleet):
        faults = ["break"]
        for engine in fleet.engines:
            # The first of them to be asked breaks off.
            engine.fails_next = faults
        status, _, _ = await ask_bad(fleet, 0, "sound")
        assert status == 200
        assert len(load.received) == 2
        assert len(fleet.entry_kernels[0].find("poison-guard")._table) == 0

    run_with_fleet(scenario, tmp_path, engines=load.engines, desks=[])


def test_sound_answer_clears_a_part_at_all_entries(tmp_path):
    """A part that was beside a crash would be tried one request at a time."""
    load = Play([], engines=3)

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.event_pause_s = 0.1
        asking = asyncio.create_task(ask_bad(fleet, 0, "beside"))
        await wait_until(lambda: load.received)
        busy = next(engine for engine in fleet.engines if engine.runs)
        busy.crash()
        with contextlib.suppress(JasminewharfError):
            await asking
        guards = [kernel.find("poison-guard") for kernel in fleet.entry_kernels]
        await wait_until(lambda: all(len(guard._table) for guard in guards))
        status, _, _ = await ask_bad(fleet, 1, "sound")
        assert status == 200
        await wait_until(lambda: not any(len(guard._table) for guard in guards))

    run_with_fleet(scenario, tmp_path, engines=load.engines, desks=[])


async def serve_without_end(responder, signed):
    await answer_raw(WITHOUT_END, stream_body())(responder, signed)


def test_answers_that_state_no_end_clear_the_parts_of_sound_engines(tmp_path):
    """Of engines that never state an end every part would be refused in time."""
    load = Play([], engines=3)

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.fails_next = [serve_without_end] * 50
        guards = [kernel.find("poison-guard") for kernel in fleet.entry_kernels]
        assert (await ask_bad(fleet, 0, "first"))[0] == 200
        await wait_until(lambda: len(guards[0].answered) == len(PARTS))
        for guard in guards:
            for part in PARTS:
                guard._table.merge(PartEvidence(part, -math.inf, (END,)))
        assert (await ask_bad(fleet, 1, "sound"))[0] == 200
        await wait_until(lambda: not any(len(guard._table) for guard in guards))

    run_with_fleet(scenario, tmp_path, engines=load.engines, desks=[])


@pytest.mark.parametrize("ending", ["deadline", "stop"])
def test_whole_answer_is_not_reset_while_its_server_is_asked_for(
    tmp_path, monkeypatch, ending
):
    """Its deadline passed after the answer, and the caller got a reset."""
    load = Play([], engines=3)

    async def ask_slowly(address):
        await asyncio.sleep(1.0)
        return False

    monkeypatch.setattr(poisonguard, "_is_refused", ask_slowly)

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.fails_next = [serve_without_end] * 50
        deadline = ("x-deadline-ms", "500" if ending == "deadline" else "4000")
        calling = asyncio.create_task(fleet.call("/chat/x", *PROMPT, deadline))
        await wait_until(lambda: any(engine.runs for engine in load.engines))
        await asyncio.sleep(0.3)
        if ending == "stop":
            fleet.entry_kernels[0].find("gateway")._end_running()
        status, _, body = await calling
        assert (status, body) == (200, stream_body())

    run_with_fleet(scenario, tmp_path, engines=load.engines, desks=[])


def test_end_between_two_events_without_a_stated_end_accuses(tmp_path):
    """The close of a crashed engine was taken for a whole answer, which clears."""
    load = Play([], engines=3)

    async def scenario(fleet):
        async def serve_and_end(responder, signed):
            await answer_raw(WITHOUT_END, b"id: 1\ndata: x1\n\n")(responder, signed)
            responder._connection.close()
            next(engine for engine in fleet.engines if engine.runs).crash()

        faults = [serve_and_end]
        for engine in fleet.engines:
            engine.fails_next = faults
        await ask_bad(fleet, 0, "ended")
        guards = [kernel.find("poison-guard") for kernel in fleet.entry_kernels]
        await wait_until(lambda: all(len(guard._table) for guard in guards))

    run_with_fleet(scenario, tmp_path, engines=load.engines, desks=[])
