"""Sound servers that fall silent for a moment with requests in flight, and go on."""

import asyncio

import pytest

from fleets import run_with_fleet
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
