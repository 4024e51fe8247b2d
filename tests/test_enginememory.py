"""Engines are not sent more than their memory holds."""

import asyncio

import pytest

from fleets import run_with_fleet
from jasminewharf import defaults
from jasminewharf.decisions.enginememory import EngineMemory, is_too_large
from support import wait_until


def build_memory(used=0, total=1_000, at=10.0):
    memory = EngineMemory()
    memory.note_told(used, total, at)
    return memory


def test_engine_of_which_nothing_is_known_takes_any_request():
    assert EngineMemory().fits(10**9, 0.0)


@pytest.mark.parametrize(("used", "tokens"), [(0, 1_000), (400, 600), (1_200, 0)])
def test_request_that_fits_is_sent(used, tokens):
    assert build_memory(used).fits(tokens, 10.0)


def test_request_beside_others_does_not_fit():
    """An engine crashed by a large prompt beside the requests that it held."""
    assert not build_memory(401).fits(600, 10.0)


def test_requests_begun_since_the_report_count():
    """Several were sent at once by the same old report."""
    memory = build_memory(100)
    memory.begin(500, 10.5)
    assert not memory.fits(500, 10.6)
    memory.note_told(600, 1_000, 10.5 + defaults.ENGINE_MEMORY_LAG_S)
    assert memory.fits(400, 10.9)


def test_own_requests_count_with_what_they_may_still_need():
    """The report counts only the tokens made so far."""
    memory = build_memory()
    memory.begin(800, 10.5)
    memory.note_told(50, 1_000, 20.0)
    assert not memory.fits(300, 20.0)
    memory.end(800)
    assert memory.fits(300, 20.0)


def test_late_report_changes_nothing():
    memory = build_memory(900, at=10.0)
    memory.note_told(0, 1_000, 9.0)
    assert not memory.fits(200, 10.0)


@pytest.mark.parametrize(
    ("totals", "expected"),
    [((500, 900), True), ((500, 1_000), False), ((0, 500), False), ((), False)],
)
def test_request_larger_than_every_engine_is_known(totals, expected):
    memories = [build_memory(0, total) for total in totals]
    assert is_too_large(1_000, memories) is expected


def test_use_without_a_fresh_report_is_not_believed():
    """An engine whose agent was lost while it was full got nothing any more."""
    memory = build_memory(1_000)
    assert not memory.fits(200, 10.5)
    assert memory.fits(200, 10.1 + defaults.AGENT_FRESH_S)


def test_requests_to_a_service_without_reports_are_forgotten():
    """Each request to a plain service was remembered for good."""
    memory = EngineMemory()
    for number in range(1_000):
        memory.begin(10, float(number))
    assert len(memory._begun) <= defaults.AGENT_FRESH_S + 1


MODEL = (("x-model", "m0"), ("x-token-counts", "800,200"))


async def wait_told(fleet, engine, used):
    for kernel in fleet.entry_kernels:
        directory = kernel.find("directory").directory
        await wait_until(
            lambda d=directory: d.at_address(engine.address).report.used_tokens == used
        )


def test_engine_without_memory_gets_no_request(tmp_path):
    """The engine that came first took the request and crashed."""

    async def scenario(fleet):
        full, free = fleet.engines
        full.kv_used = 89_500
        await wait_told(fleet, full, 89_500)
        for number in range(6):
            request_id = f"r{number}"
            answer = await fleet.call("/chat/x", *MODEL, request_id=request_id)
            assert answer[0] == 200
        assert full.arrivals == []
        assert len(free.arrivals) == 6
        free.kv_used = 89_500
        await wait_told(fleet, free, 89_500)
        call = asyncio.create_task(fleet.call("/chat/x", *MODEL, request_id="late"))
        await asyncio.sleep(0.5)
        assert len(free.arrivals) == 6
        assert not call.done()
        free.kv_used = 0
        assert (await call)[0] == 200

    run_with_fleet(scenario, tmp_path)


def test_request_larger_than_any_engine_is_refused_at_once(tmp_path):
    """It was sent, and crashed the engine."""

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.kv_used = 10
            await wait_told(fleet, engine, 10)
        large = (("x-model", "m0"), ("x-token-counts", "90000,1"))
        began_at = asyncio.get_running_loop().time()
        status, _, _ = await fleet.call("/chat/x", *large, request_id="large")
        assert status == 503
        assert asyncio.get_running_loop().time() - began_at < 0.5
        assert fleet.runs("large") == 0

    run_with_fleet(scenario, tmp_path)
