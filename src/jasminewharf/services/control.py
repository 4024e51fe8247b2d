"""A control host's listener for nodes, other control hosts and the tool."""

import asyncio
from typing import Any, ClassVar

from ..documents import encode_document, parse_document
from ..exceptions import DocumentError, Forbidden, ProposalRejected
from ..kernel import Kernel, Service
from ..messages import decode, encode
from ..messages.commands import SubmitDocument
from ..messages.control import (
    Propose,
    Proposed,
    ReadState,
    StateAnswer,
)
from .link import Handler, LinkServer, Peer

__all__ = ["FLEET_GROUP", "ControlServer"]

FLEET_GROUP = "fleet"
_OPERATOR_ROLES = frozenset({"tool"})


class ControlServer(Service):
    """Owns the socket; other services add the messages that they answer."""

    name: ClassVar[str] = "control"
    requires: ClassVar[tuple[str, ...]] = ("process", "log", "fleet")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._handlers: dict[type, Handler] = {
            Propose: self._propose,
            ReadState: self._read_state,
        }
        self._checks: dict[SubmitDocument, asyncio.Future[SubmitDocument]] = {}
        self._server: LinkServer | None = None
        self.address = ""

    def handle(self, kind: type, handler: Handler) -> None:
        """Answer messages of ``kind`` by ``handler(peer, message)``."""
        self._handlers[kind] = handler

    def peers(self) -> list[Peer]:
        """Return the connected processes."""
        return self._server.peers() if self._server else []

    def count_dropped(self) -> dict[str, int]:
        """Return how many messages and peers were not accepted."""
        server = self._server
        if server is None:
            return {}
        return {
            "malformed_messages": server.malformed_count,
            "malformed_batches": self.kernel.find("log").malformed_count,
            "unexpected_messages": server.unexpected_count,
            "refused_peers": server.refused_count,
        }

    async def start(self) -> None:
        """Listen where the settings say."""
        process = self.kernel.find("process")
        self._server = LinkServer(
            process.identity, process.context, self._handlers, process.security
        )
        self.address = await self._server.listen(
            self.kernel.settings.own_control_host.address
        )

    async def stop(self) -> None:
        """Close the socket."""
        await super().stop()
        if self._server is not None:
            self._server.close()

    async def _propose(self, peer: Peer, message: Propose) -> Any:
        if peer.hello is None or peer.hello.role not in _OPERATOR_ROLES:
            raise Forbidden("only the operator's tool may propose")
        if message.group != FLEET_GROUP:
            raise ProposalRejected(f"group {message.group} takes no proposals")
        command = decode(message.command)
        if isinstance(command, SubmitDocument):
            command = await self._check_once(command)
        index, result = await self.kernel.find("log").propose(
            message.group, encode(command)
        )
        return Proposed(index, result)

    async def _check_once(self, command: SubmitDocument) -> SubmitDocument:
        """Check a document; resends that arrive meanwhile share the check."""
        check = self._checks.get(command)
        if check is None:
            check = asyncio.ensure_future(asyncio.to_thread(_check_document, command))
            self._checks[command] = check
            check.add_done_callback(lambda _: self._checks.pop(command, None))
        return await asyncio.shield(check)

    async def _read_state(self, peer: Peer, message: ReadState) -> StateAnswer:
        if peer.hello is None or peer.hello.role not in _OPERATOR_ROLES:
            raise Forbidden("only the operator's tool may read the state")
        await self.kernel.find("log").read_barrier(FLEET_GROUP)
        state = self.kernel.find("fleet").state
        return StateAnswer(state.version, state.snapshot())


def _check_document(command: SubmitDocument) -> SubmitDocument:
    document = parse_document(command.body, command.service)
    if document.service != command.service:
        raise DocumentError(
            command.service, 0, "service", f"must be {command.service!r}"
        )
    return command._replace(document=encode_document(document))
