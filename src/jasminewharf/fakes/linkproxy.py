"""A TCP link between two processes that can be cut or frozen."""

import asyncio
import contextlib

__all__ = ["LinkProxy"]

_READ_BYTES = 65536


class LinkProxy:
    """Forwards connections to one address.

    ``cut`` refuses and closes connections, as a host that is gone does; ``freeze``
    keeps them open and forwards nothing, as a silent partition does.

    Attributes:
        address: Where the proxy listens.
        bytes_forwarded: Payload bytes in both directions.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._is_cut = False
        self.address = ""
        self.bytes_forwarded = 0

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port of ``host``."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Close everything."""
        self.cut()
        if self._server is not None:
            self._server.close()

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        self._is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    def freeze(self) -> None:
        """Forward nothing more, without closing anything."""
        self._flowing.clear()

    def heal(self) -> None:
        """Forward again."""
        self._is_cut = False
        self._flowing.set()

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
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pump(reader, far_writer), self._pump(far_reader, writer)
            )
        finally:
            self._writers -= pair
            for item in pair:
                item.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                await self._flowing.wait()
                self.bytes_forwarded += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()
