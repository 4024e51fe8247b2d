"""An HTTP/1.1 client on h11 for backend servers and the platform."""

import asyncio
import collections
from collections.abc import AsyncIterator
from typing import Any

import h11

from .. import defaults
from ..exceptions import BackendError, BackendUnreachable
from ..settings import split_address

__all__ = ["ClientResponse", "HttpClient"]


class _Wire:
    def __init__(self, reader: Any, writer: Any) -> None:
        self.reader = reader
        self.writer = writer
        self.h11 = h11.Connection(h11.CLIENT)

    async def next_event(self) -> Any:
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.h11.receive_data(await self.reader.read(defaults.HTTP_READ_BYTES))

    def close(self) -> None:
        self.writer.close()


class ClientResponse:
    """A response whose body is read as it arrives.

    Attributes:
        status: The HTTP status.
        headers: Names in lower case and values.
    """

    def __init__(self, client: "HttpClient", wire: _Wire, head: h11.Response) -> None:
        self._client = client
        self._wire = wire
        self._finished = False
        self._closed = False
        self.status = head.status_code
        self.headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers
        ]

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raises:
            BackendError: If the body ends early.
        """
        try:
            while True:
                event = await self._wire.next_event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self._finished = True
                    return
                else:
                    raise BackendError("the backend server closed the connection")
        except (OSError, h11.RemoteProtocolError) as error:
            raise BackendError(f"the answer broke off: {error}") from error
        finally:
            self.close()

    async def read(self) -> bytes:
        """Return the whole body."""
        return b"".join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        """Give the connection back if the body was read, else close it."""
        if self._closed:
            return
        self._closed = True
        if self._finished:
            self._client.give_back(self._wire)
        else:
            self._wire.close()


class HttpClient:
    """Connections to one HTTP server.

    Args:
        address: IP address and port.
        connect_timeout_s: Time to connect, in seconds.
    """

    def __init__(
        self, address: str, connect_timeout_s: float = defaults.HTTP_CONNECT_TIMEOUT_S
    ) -> None:
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle: collections.deque[_Wire] = collections.deque()

    async def open(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        repeatable: bool = False,
    ) -> ClientResponse:
        """Send a request and return the response once its head has arrived.

        A kept connection may have been closed by the server just before the
        request is written, and then nobody knows whether the request was read.
        Only a repeatable request therefore uses a kept connection.

        Raises:
            BackendUnreachable: If no connection was made; the call did not begin.
            BackendError: If a connection broke; the call may have begun.
        """
        wire = self._take_idle() if repeatable else None
        if wire is not None:
            try:
                return await self._exchange(wire, method, target, headers, body)
            except BackendError as error:
                return await self._repeat(error, method, target, headers, body)
        wire = await self._connect()
        return await self._exchange(wire, method, target, headers, body)

    async def _repeat(
        self,
        first: BackendError,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> ClientResponse:
        """Send a request again that may have begun on a kept connection."""
        try:
            wire = await self._connect()
        except BackendUnreachable as error:
            raise BackendError(f"{first}; {error}") from error
        return await self._exchange(wire, method, target, headers, body)

    async def fetch(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = defaults.HTTP_FETCH_TIMEOUT_S,
        headers: list[tuple[str, str]] | None = None,
    ) -> tuple[int, bytes]:
        """Send a request and return status and whole body.

        Raises:
            BackendUnreachable: If the call did not begin.
            BackendError: If it may have begun.
        """
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.open(
                    method, target, headers or [], body, repeatable=method == "GET"
                )
                return response.status, await response.read()
        except TimeoutError:
            raise BackendError(f"no answer within {timeout_s:g} s") from None

    def _take_idle(self) -> _Wire | None:
        while self._idle:
            wire = self._idle.pop()
            if not wire.reader.at_eof() and not wire.writer.is_closing():
                return wire
            wire.close()
        return None

    async def _connect(self) -> _Wire:
        host, port = split_address(self.address)
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as error:
            raise BackendUnreachable(f"{self.address}: {error}") from error
        return _Wire(reader, writer)

    async def _exchange(
        self,
        wire: _Wire,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> ClientResponse:
        head = [("host", self.address), *headers]
        if body or method in ("POST", "PUT", "PATCH"):
            head.append(("content-length", str(len(body))))
        try:
            request = h11.Request(method=method, target=target, headers=head)
            data = wire.h11.send(request)
            if body:
                data += wire.h11.send(h11.Data(data=body))
            data += wire.h11.send(h11.EndOfMessage())
            wire.writer.write(data)
            await wire.writer.drain()
            event = await wire.next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await wire.next_event()
        except (OSError, h11.ProtocolError) as error:
            wire.close()
            raise BackendError(f"{self.address}: {error}") from error
        except asyncio.CancelledError:
            wire.close()
            raise
        if not isinstance(event, h11.Response):
            wire.close()
            raise BackendError(f"{self.address} closed the connection")
        return ClientResponse(self, wire, event)

    def give_back(self, wire: _Wire) -> None:
        """Keep a connection for the next request, if it can be kept."""
        try:
            wire.h11.start_next_cycle()
        except h11.ProtocolError:
            wire.close()
            return
        self._idle.append(wire)
        while len(self._idle) > defaults.HTTP_IDLE_CONNECTIONS:
            self._idle.popleft().close()

    def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            self._idle.pop().close()
