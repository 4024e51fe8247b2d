"""Writing one response to a caller."""

from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from .httpconnections import Connection

__all__ = ["Responder"]


class Responder:
    """Writes one response.

    Attributes:
        has_started: Whether its head was sent.
        has_length: Whether the head states the length of the body.
        is_finished: Whether its body has ended.
    """

    def __init__(self, connection: "Connection") -> None:
        self._connection = connection
        self.has_started = False
        self.has_length = False
        self.is_finished = False

    @property
    def may_be_unread(self) -> bool:
        """Whether the caller has ended its sending side, as one does that has left."""
        return self._connection.is_half_closed

    def start(
        self,
        status: int,
        headers: list[tuple[str, str]],
        *,
        is_close_delimited: bool = False,
    ) -> None:
        """Send status and headers.

        Without a ``content-length`` the body is sent in chunks, or, if it
        ``is_close_delimited``, ends with the connection.

        Raises:
            BackendFailed: If the head cannot be sent; another one still can.
        """
        # The head waits for the first bytes of the body: one write, one packet.
        self._connection.hold()
        self._connection.send_head(status, headers, is_close_delimited)
        self.has_started = True
        self.has_length = any(name == "content-length" for name, _ in headers)

    async def write(self, data: bytes) -> None:
        """Send body bytes; waits while the caller reads slowly."""
        self._connection.send_event(h11.Data(data=data))
        self._connection.release()
        await self._connection.wait_writable()

    def finish(self) -> None:
        """End the body."""
        self._connection.send_event(h11.EndOfMessage())
        self._connection.release()
        self._connection.note_end()
        self.is_finished = True

    def respond(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        is_close_delimited: bool = False,
    ) -> None:
        """Send a whole response; see :meth:`start`."""
        if not is_close_delimited:
            headers = [*headers, ("content-length", str(len(body)))]
        self.start(status, headers, is_close_delimited=is_close_delimited)
        if body:
            self._connection.send_event(h11.Data(data=body))
        self.finish()

    def cut(self) -> None:
        """Close without the end of the body, so that it is not taken for whole."""
        self._connection.cut()
