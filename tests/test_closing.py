"""Closing a link during a connection event."""

import asyncio
import threading
import time

import zmq

from jasminewharf.services.link import Identity, LinkClient, LinkServer

# Time for ZeroMQ's own threads to notice a closed socket.
NOTICED_S = 0.2


def test_event_while_the_link_closes_does_not_block_it():
    """A process must not hang on shutdown.

    ZeroMQ delivers an event under a lock and waits for its reader; if the reader is
    closed, disabling the monitor waits for that lock forever.
    """

    async def main():
        context = zmq.Context()
        server = LinkServer(Identity("b", "agent", "z", 2), context, {})
        address = server.bind("127.0.0.1:0")
        link = LinkClient(Identity("a", "entry", "z", 1), context, address)
        await link.wait_connected(5)
        close_events = link._monitor.close

        def close_slowly():
            close_events()
            time.sleep(NOTICED_S)
            server.close()
            time.sleep(NOTICED_S)

        link._monitor.close = close_slowly
        link.close()
        context.term()

    thread = threading.Thread(target=lambda: asyncio.run(main()), daemon=True)
    thread.start()
    thread.join(10)
    assert not thread.is_alive()
