"""Sound servers that fall silent for a moment with requests in flight, and go on."""

import asyncio
import logging

import pytest

from fleets import build_body, run_with_fleet
from jasminewharf import events
from platformfakes import FakeReplica, stream_body
from support import wait_until

SILENT_S = 1.2
MODEL = (("x-model", "m1"), ("x-token-counts", "100,20"))
# What may follow from a server that is thought to hang.
CONSEQUENCES = (
    events.ATTEMPT_FAILED,
    events.STREAM_RESUMED,
    events.SERVER_EJECTED,
    events.ENGINE_LOST,
    events.SERVER_ENDED,
)


@pytest.fixture(autouse=True)
def _log_decisions(caplog):
    """Capture the events of level INFO, which most decisions have."""
    caplog.set_level(logging.INFO, "jasminewharf")


class SilentReplica(FakeReplica):
    """A replica that writes nothing at all while it is not awake."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.awake = asyncio.Event()
        self.awake.set()

    async def answer(self, request, responder):
        await self.awake.wait()
        await super().answer(request, responder)

    async def fall_silent(self):
        self.awake.clear()
        await asyncio.sleep(SILENT_S)
        self.awake.set()

    async def send_halves(self, responder, signed):
        """Write an answer in two halves, with any silence between them."""
        responder.start(200, [*signed, ("content-type", "text/event-stream")])
        body = stream_body()
        await responder.write(body[: len(body) // 2])
        await asyncio.sleep(0.1)
        await self.awake.wait()
        await responder.write(body[len(body) // 2 :])
        responder.finish()


def build_engines():
    return [
        SilentReplica("127.0.0.1", "i-e1", "llm", ["m1"]),
        SilentReplica("127.0.0.1", "i-e2", "llm", ["m0"]),
    ]


def list_consequences(caplog):
    return [
        record.getMessage()
        for record in caplog.records
        if getattr(record, "event", None) in CONSEQUENCES
    ]


@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("begins", ["before", "during"])
@pytest.mark.parametrize("route", ["chat", "plan"])
def test_engine_that_falls_silent_keeps_its_requests(
    tmp_path, caplog, route, begins, count
):
    """Streams were ended and resumed, and the engine got no more requests."""
    engines = build_engines()
    silent, other = engines

    async def scenario(fleet):
        silent.fails_next = [silent.send_halves] * count
        silence = None
        if begins == "during":
            silence = asyncio.create_task(silent.fall_silent())
            await asyncio.sleep(0.0)
        ids = [f"id-{number}" for number in range(count)]
        calls = [
            asyncio.create_task(fleet.call(f"/{route}/x", *MODEL, request_id=name))
            for name in ids
        ]
        if silence is None:
            await wait_until(lambda: len(silent.runs) == count)
            silence = asyncio.create_task(silent.fall_silent())
        await asyncio.sleep(SILENT_S - 0.1)
        late = asyncio.create_task(
            fleet.call(f"/{route}/x", *MODEL, request_id="id-late")
        )
        await silence
        began_at = asyncio.get_running_loop().time()
        after = await fleet.call(f"/{route}/x", *MODEL, request_id="id-after")
        took_s = asyncio.get_running_loop().time() - began_at
        answers = [*await asyncio.gather(*calls), await late, after]
        assert [body for _, _, body in answers] == [stream_body()] * (count + 2)
        assert sorted(silent.runs) == sorted([*ids, "id-late", "id-after"])
        assert took_s < 0.5
        assert other.orders == []
        assert list_consequences(caplog) == []

    run_with_fleet(scenario, tmp_path, engines=engines)


@pytest.mark.parametrize("count", [1, 2])
def test_plain_server_that_falls_silent_keeps_its_requests(tmp_path, caplog, count):
    """A request that may be repeated was sent to a second server after 1 s."""

    async def scenario(fleet):
        for desk in fleet.desks:
            desk.answer_s = SILENT_S
        ids = [f"id-{number}" for number in range(count)]
        answers = await asyncio.gather(
            *(fleet.call("/status/1", request_id=name) for name in ids)
        )
        assert [status for status, _, _ in answers] == [200] * count
        assert [fleet.runs(name) for name in ids] == [1] * count
        assert list_consequences(caplog) == []

    run_with_fleet(scenario, tmp_path)


# Longer than the silence after which another server is asked.
LONG_SILENT_S = 1.9


class LongSilentReplica(SilentReplica):
    """A replica that is silent for so long that another one is asked meanwhile."""

    async def fall_silent(self, seconds=LONG_SILENT_S):
        self.awake.clear()
        await asyncio.sleep(seconds)
        self.awake.set()


def build_pair(*models):
    """Return the engine that falls silent and another one with ``models``."""
    return [
        LongSilentReplica("127.0.0.1", "i-e1", "llm", ["m1"]),
        LongSilentReplica("127.0.0.1", "i-e2", "llm", list(models)),
    ]


async def stream_halves(fleet, engines, count, meanwhile=None):
    """Return the bodies of streams whose engine falls silent after their first half."""
    for engine in engines:
        engine.fails_next = [engine.send_halves] * count
    calls = [
        asyncio.create_task(fleet.call("/chat/x", *MODEL, request_id=f"id-{number}"))
        for number in range(count)
    ]
    await wait_until(lambda: sum(len(engine.runs) for engine in engines) == count)
    silent = [engine for engine in engines if engine.runs]
    for engine in engines:
        if engine not in silent:
            engine.fails_next = []
    silences = [asyncio.create_task(engine.fall_silent()) for engine in silent]
    if meanwhile is not None:
        await meanwhile()
    answers = await asyncio.gather(*calls)
    await asyncio.gather(*silences)
    return [body for _, _, body in answers]


@pytest.mark.parametrize("is_changed", [False, True])
@pytest.mark.parametrize("count", [1, 8])
def test_stream_is_not_cut_where_only_its_silent_engine_has_the_model(
    tmp_path, caplog, count, is_changed
):
    """A stream was ended before it was known whether another engine can go on."""
    engines = build_pair("m0")
    engines[1].refuses_orders = True

    async def scenario(fleet):
        async def change():
            if is_changed:
                await fleet.submit(build_body(2))

        bodies = await stream_halves(fleet, engines, count, change)
        assert bodies == [stream_body()] * count
        assert len(engines[0].runs) == count
        ends = [r.fields for r in list_events(caplog, events.REQUEST_ENDED)]
        assert [(end["outcome"], end["read_under"]) for end in ends] == [
            ("answered", 1)
        ] * count
        assert len(list_events(caplog, events.ATTEMPT_SILENT)) >= count

    run_with_fleet(scenario, tmp_path, engines=engines)


@pytest.mark.parametrize("refusal", ["full", "break-before", "error", "foreign"])
def test_stream_is_not_cut_where_the_other_engine_fails(tmp_path, refusal):
    """The silent engine was given up before the other one had answered."""
    engines = build_pair("m1")

    async def scenario(fleet):
        for engine in engines:
            engine.fails_next = [engine.send_halves]
        call = asyncio.create_task(fleet.call("/chat/x", *MODEL))
        await wait_until(lambda: any(engine.runs for engine in engines))
        silent = next(engine for engine in engines if engine.runs)
        other = next(engine for engine in engines if engine is not silent)
        failure = break_before if refusal == "break-before" else refusal
        other.fails_next = [failure] * 10
        silence = asyncio.create_task(silent.fall_silent())
        _, _, body = await call
        await silence
        assert body == stream_body()
        assert silent.runs == ["id-1"]
        assert len(other.fails_next) < 10

    run_with_fleet(scenario, tmp_path, engines=engines)


def test_stream_is_not_cut_where_no_retry_is_left(tmp_path):
    """A stream was cut for want of a retry, although its engine went on."""
    engines = build_pair("m1")

    async def scenario(fleet):
        for kernel in fleet.entry_kernels:
            kernel.find("retry-budgets").withdraw = lambda service: False
        bodies = await stream_halves(fleet, engines, 4)
        assert bodies == [stream_body()] * 4
        assert len(engines[0].runs) + len(engines[1].runs) == 4

    run_with_fleet(scenario, tmp_path, engines=engines)


def test_streams_of_two_silent_engines_are_whole(tmp_path):
    """A stream was cut since the engine that was to go on with it was silent too."""
    engines = build_pair("m1")

    async def scenario(fleet):
        for engine in engines:
            engine.fails_next = [engine.send_halves] * 16
        calls = [
            asyncio.create_task(fleet.call("/chat/x", *MODEL, request_id=f"id-{n}"))
            for n in range(8)
        ]
        await wait_until(lambda: sum(len(engine.runs) for engine in engines) == 8)
        await asyncio.gather(*(engine.fall_silent() for engine in engines))
        answers = await asyncio.gather(*calls)
        assert [body for _, _, body in answers] == [stream_body()] * 8

    run_with_fleet(scenario, tmp_path, engines=engines)


def test_stream_goes_on_at_another_engine_while_the_first_stays_silent(
    tmp_path, caplog
):
    """A stream waited for a silent engine although another one could go on."""
    engines = build_pair("m1")

    async def scenario(fleet):
        began_at = asyncio.get_running_loop().time()
        for engine in engines:
            engine.fails_next = [engine.send_halves]
        call = asyncio.create_task(fleet.call("/chat/x", *MODEL))
        await wait_until(lambda: any(engine.runs for engine in engines))
        silent = next(engine for engine in engines if engine.runs)
        other = next(engine for engine in engines if engine is not silent)
        other.fails_next = []
        silence = asyncio.create_task(silent.fall_silent(3.0))
        _, _, body = await call
        assert body == stream_body()
        assert asyncio.get_running_loop().time() - began_at < 2.5
        assert other.heads[0]["last-event-id"] == "4"
        assert len(list_events(caplog, events.STREAM_RESUMED)) == 1
        await silence

    run_with_fleet(scenario, tmp_path, engines=engines)


def test_silent_engine_that_goes_on_first_keeps_its_stream(tmp_path, caplog):
    """Events of two engines must not be mixed while both have the request."""
    engines = build_pair("m1")

    async def scenario(fleet):
        for engine in engines:
            engine.fails_next = [engine.send_halves]
        call = asyncio.create_task(fleet.call("/chat/x", *MODEL))
        await wait_until(lambda: any(engine.runs for engine in engines))
        silent = next(engine for engine in engines if engine.runs)
        other = next(engine for engine in engines if engine is not silent)
        other.fails_next = ["mute"]
        await silent.fall_silent()
        _, _, body = await call
        assert body == stream_body()
        assert other.runs == ["id-1"]
        assert len(list_events(caplog, events.ATTEMPT_WENT_ON)) == 1
        assert list_events(caplog, events.STREAM_RESUMED) == []

    run_with_fleet(scenario, tmp_path, engines=engines)


@pytest.mark.parametrize("answer_s", [1.8, 2.6])
def test_slow_servers_answer_within_the_deadline(tmp_path, answer_s):
    """The first attempt was ended, and the second had too little time: 504."""

    async def scenario(fleet):
        for desk in fleet.desks:
            desk.answer_s = answer_s
        began_at = asyncio.get_running_loop().time()
        answers = await asyncio.gather(
            *(fleet.call("/status/1", request_id=f"id-{n}") for n in range(4))
        )
        assert [status for status, _, _ in answers] == [200] * 4
        assert asyncio.get_running_loop().time() - began_at < answer_s + 0.5
        assert max(fleet.runs(f"id-{n}") for n in range(4)) <= 2

    run_with_fleet(scenario, tmp_path)


def test_failure_of_the_second_server_does_not_replace_the_first_answer(tmp_path):
    """A slow server's success was lost to another server's failure."""

    async def scenario(fleet):
        for desk in fleet.desks:
            desk.answer_s = LONG_SILENT_S
        call = asyncio.create_task(fleet.call("/status/1"))
        await wait_until(lambda: any(desk.runs for desk in fleet.desks))
        other = next(desk for desk in fleet.desks if not desk.runs)
        other.fails_next = ["error"]
        status, _, _ = await call
        assert status == 200
        assert other.runs == ["id-1"]

    run_with_fleet(scenario, tmp_path)


async def break_before(responder, signed):
    """Close the connection before any event."""
    responder.start(200, [*signed, ("content-type", "text/event-stream")])
    await responder.write(b"id: 5\nda")
    responder.cut()


def list_events(caplog, event):
    return [r for r in caplog.records if getattr(r, "event", None) == event]
