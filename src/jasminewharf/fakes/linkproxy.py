"""A TCP link between two processes that can be cut, frozen, silenced or delayed."""

import asyncio
import contextlib
from collections.abc import Iterable

__all__ = ["BACKWARD", "BOTH", "FORWARD", "LinkProxy"]

_READ_BYTES = 65536
_CHUNKS_ON_THE_WAY = 256

FORWARD = "forward"
BACKWARD = "backward"
BOTH = (FORWARD, BACKWARD)


class _Way:
    """One direction of all connections of a link."""

    def __init__(self) -> None:
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.delay_s = 0.0


class LinkProxy:
    """Forwards connections to one address.

    ``cut`` refuses and closes connections, as a host that is gone does; ``silence``
    keeps them open and forwards nothing one way, ``freeze`` both ways, as a silent
    partition does. What was sent meanwhile arrives when the link is healed.

    Attributes:
        address: Where the proxy listens.
        bytes_forwarded: Payload bytes in both directions.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._ways = {name: _Way() for name in BOTH}
        self._is_cut = False
        self.address = ""
        self.bytes_forwarded = 0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a port of ``host``; on a free one if it is 0."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Close everything."""
        self.cut()
        if self._server is not None:
            self._server.close()

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        self._is_cut = True
        for connection in self._connections:
            connection.cancel()

    def freeze(self) -> None:
        """Forward nothing more, without closing anything."""
        self.silence(BOTH)

    def silence(self, ways: Iterable[str]) -> None:
        """Forward nothing more in the directions ``ways``, and close nothing."""
        for name in ways:
            self._ways[name].flowing.clear()

    def delay(self, ways: Iterable[str], seconds: float) -> None:
        """Forward what is sent from now on in the directions ``ways`` later."""
        for name in ways:
            self._ways[name].delay_s = seconds

    def heal(self) -> None:
        """Forward again, at once."""
        self._is_cut = False
        for way in self._ways.values():
            way.delay_s = 0.0
            way.flowing.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        connection = asyncio.current_task()
        assert connection is not None
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(reader, far_writer, self._ways[FORWARD]),
                self._forward(far_reader, writer, self._ways[BACKWARD]),
            )
        except asyncio.CancelledError:
            # The link is cut.
            pass
        finally:
            self._connections.discard(connection)
            for item in (writer, far_writer):
                item.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: _Way
    ) -> None:
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(_CHUNKS_ON_THE_WAY)
        reading = asyncio.create_task(_read_all(reader, chunks, way))
        try:
            with contextlib.suppress(OSError):
                await self._write_all(chunks, writer, way)
        finally:
            reading.cancel()
        writer.close()

    async def _write_all(
        self,
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
        way: _Way,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await chunks.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            await way.flowing.wait()
            if not data:
                return
            self.bytes_forwarded += len(data)
            writer.write(data)
            await writer.drain()


async def _read_all(
    reader: asyncio.StreamReader,
    chunks: asyncio.Queue[tuple[float, bytes]],
    way: _Way,
) -> None:
    """Queue each chunk with the time from which on it may arrive; b"" is the end."""
    loop = asyncio.get_running_loop()
    data = b"x"
    while data:
        try:
            data = await reader.read(_READ_BYTES)
        except OSError:
            data = b""
        await chunks.put((loop.time() + way.delay_s, data))
