"""Connecting to a host that drops the first SYN packet.

Hosts of a site start while others are still down, for example after a power failure.
The kernel repeats a lost SYN only after 1 s and 3 s, so the client must retry sooner.
"""

import asyncio
import contextlib
import socket
import time

import pytest
import zmq

from jasminewharf.defaults import LOG_PEER_FORGET_S, LOG_PEERS_LIMIT
from jasminewharf.services.link import Identity, LinkClient
from jasminewharf.services.peers import ZmqPeers

# The kernel repeats a lost SYN no sooner than this.
REPEATED_S = 1.0


@contextlib.contextmanager
def deaf_listener():
    """Yield a listener that drops SYN packets because its backlog is full."""
    with socket.socket() as listener, contextlib.ExitStack() as stack:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(listener.getsockname())
        yield listener


async def accept_from(listener, own):
    """Return the seconds until a connection other than the filling ones arrives."""
    listener.setblocking(False)
    loop = asyncio.get_running_loop()
    began = time.monotonic()
    while True:
        link, _ = await asyncio.wait_for(loop.sock_accept(listener), 5)
        with link:
            link.settimeout(0.0)
            await asyncio.sleep(0.02)
            with contextlib.suppress(BlockingIOError, ConnectionError):
                if link.recv(1) == own:
                    return time.monotonic() - began


# First byte of every ZeroMQ connection.
GREETING = b"\xff"


@pytest.mark.parametrize("kind", ["link", "peers"])
def test_lost_opening_packet_is_sent_again_within_a_second(kind):
    async def main():
        context = zmq.Context()
        with deaf_listener() as listener:
            host, port = listener.getsockname()
            address = f"{host}:{port}"
            if kind == "link":
                link = LinkClient(Identity("a", "entry", "z", "1"), context, address)
                close = link.close
            else:
                peers = ZmqPeers("127.0.0.1:0")
                await peers.start(lambda frames: None)
                peers.connect("b", address)
                close = peers.stop
            await asyncio.sleep(0.05)
            took_s = await accept_from(listener, GREETING)
            ended = close()
            if ended is not None:
                await ended
        context.term()
        return took_s

    assert asyncio.run(main()) < REPEATED_S - 0.2


def test_hosts_that_were_replaced_make_room_for_their_successors():
    """Guards against members that are never heard after many replacements."""

    async def main():
        peers = ZmqPeers("127.0.0.1:0")
        await peers.start(lambda frames: None)
        try:
            for number in range(LOG_PEERS_LIMIT):
                peers.connect(f"h{number}", "127.0.0.1:1")
            peers.connect("stranger", "127.0.0.1:1")
            assert "stranger" not in peers._senders
            now = asyncio.get_running_loop().time()
            peers._named_at["h3"] = now - LOG_PEER_FORGET_S
            peers.connect("successor", "127.0.0.1:1")
            assert "successor" in peers._senders
            assert "h3" not in peers._senders
        finally:
            await peers.stop()

    asyncio.run(main())
