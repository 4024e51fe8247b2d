"""The proxy between two processes harms their link as told."""

import asyncio
import time

from jasminewharf.fakes.linkproxy import BACKWARD, FORWARD, LinkProxy


async def _echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data.upper())
    writer.close()


def run_with_link(scenario):
    async def main():
        server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        proxy = LinkProxy("{}:{}".format(*server.sockets[0].getsockname()))
        await proxy.start()
        host, _, port = proxy.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            await scenario(proxy, reader, writer)
        finally:
            writer.close()
            await proxy.stop()
            server.close()
            # The connections' ends are seen before the loop is closed.
            await asyncio.sleep(0.05)

    asyncio.run(main())


async def is_silent(reader):
    try:
        await asyncio.wait_for(reader.read(1), 0.1)
    except TimeoutError:
        return True
    return False


def test_silence_is_one_way_and_ends_with_what_was_sent():
    async def scenario(proxy, reader, writer):
        proxy.silence([BACKWARD])
        writer.write(b"a")
        assert await is_silent(reader)
        # It reached the server, and its answer arrives once the link is healed.
        proxy.silence([FORWARD])
        proxy.heal()
        assert await reader.read(1) == b"A"

    run_with_link(scenario)


def test_delay_keeps_the_order():
    async def scenario(proxy, reader, writer):
        proxy.delay([FORWARD], 0.2)
        begin = time.monotonic()
        writer.write(b"a")
        await asyncio.sleep(0.05)
        proxy.delay([FORWARD], 0.0)
        writer.write(b"b")
        assert await reader.readexactly(2) == b"AB"
        assert time.monotonic() - begin >= 0.19

    run_with_link(scenario)


def test_cut_closes_also_what_is_silent():
    async def scenario(proxy, reader, writer):
        proxy.freeze()
        writer.write(b"a")
        assert await is_silent(reader)
        proxy.cut()
        try:
            assert await reader.read(1) == b""
        except ConnectionError:
            pass

    run_with_link(scenario)
