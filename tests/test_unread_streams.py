"""Streams that their callers leave unread."""

import asyncio

from fleets import run_with_fleet
from platformfakes import FakeReplica
from support import wait_until

HEAD = (
    b"POST /plan/x HTTP/1.1\r\nhost: a.example\r\napi-key: key-1\r\n"
    b"x-attempt-id: id-%d\r\nx-deadline-ms: 4000\r\nx-model: m0\r\n"
    b"x-token-counts: 100,20\r\ncontent-length: 2\r\n\r\n{}"
)
EVENT = b"id: %d\ndata: " + b"x" * 64 * 1024 + b"\n\n"


async def leave(responder, signed):
    """Send until nobody reads for a while, and give up."""
    responder.start(200, [*signed, ("content-type", "text/event-stream")])
    for number in range(1, 2_000):
        try:
            async with asyncio.timeout(0.4):
                await responder.write(EVENT % number)
        except TimeoutError:
            break
    responder.cut()


def test_server_that_gives_up_on_an_unread_stream_has_not_failed(tmp_path):
    """Callers that read nothing had the server ejected for all others."""

    async def read_late(fleet, number):
        host, _, port = fleet.entries[0].partition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
        writer.write(HEAD % number)
        await asyncio.sleep(2.0)
        while await reader.read(1 << 20):
            pass
        writer.close()

    async def scenario(fleet):
        fleet.engines[0].fails_next = [leave] * 6
        metrics = fleet.entry_kernels[0].find("process").metrics
        await asyncio.gather(*(read_late(fleet, number) for number in range(6)))
        await wait_until(
            lambda: metrics.counter_value("failed_attempts_total", kind="unread") == 6
        )
        assert not metrics.counter_value("failed_attempts_total", kind="broken")
        assert not metrics.counter_value("servers_ejected_total")

    engine = FakeReplica("127.0.0.1", "i-e1", "llm", ["m0"])
    run_with_fleet(scenario, tmp_path, engines=[engine])
