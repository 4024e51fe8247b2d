"""The operator's side of the control hosts' protocol."""

import msgspec

from .. import defaults
from ..decisions.fleet import FleetState
from ..decisions.keys import compute_digest, format_key
from ..exceptions import VersionConflict
from ..identifiers import new_token
from ..kernel import Kernel
from ..messages import decode, encode
from ..messages.commands import (
    CommandResult,
    GrantKey,
    SetDraining,
    SubmitDocument,
    WithdrawKey,
)
from ..messages.control import FetchStatus, Propose, ReadState
from ..messages.link import Failure
from ..services.control import FLEET_GROUP
from ..services.controllers import Controllers
from ..services.failures import restore_failure
from ..services.process import Process
from ..settings import ToolSettings

__all__ = ["OperatorClient"]

_KEY_ID_BYTES = 6
_KEY_SECRET_BYTES = 24


class OperatorClient:
    """Carries out an operator's orders; use it as an async context manager.

    Every order has a submission identifier, so that it can be sent again after a
    lost answer and still counts once.
    """

    def __init__(self, settings: ToolSettings) -> None:
        self._settings = settings
        self._kernel = Kernel(settings)
        self._kernel.register(Process(self._kernel))
        self._controllers = Controllers(self._kernel)
        self._kernel.register(self._controllers)

    async def __aenter__(self) -> "OperatorClient":
        """Connect to the control hosts."""
        await self._kernel.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        """Close the links."""
        await self._kernel.stop()

    async def submit_document(
        self, service: str, expected_version: int, body: str, author: str
    ) -> int:
        """Submit a document and return its new version.

        Raises:
            VersionConflict: If another submission won.
            DocumentError: If the document is not acceptable.
        """
        result = await self._propose(
            SubmitDocument(new_token(), service, expected_version, body, author)
        )
        if result.error == VersionConflict.__name__:
            raise VersionConflict(
                service, expected_version, result.version, result.winner
            )
        _raise_failure(result)
        return result.version

    async def grant_key(self, workspace: str, hash_secret: bytes) -> tuple[str, str]:
        """Grant a new key and return its identifier and its text."""
        key_id = new_token(_KEY_ID_BYTES)
        key = format_key(key_id, new_token(_KEY_SECRET_BYTES))
        digest = compute_digest(key, hash_secret)
        result = await self._propose(GrantKey(new_token(), key_id, digest, workspace))
        _raise_failure(result)
        return key_id, key

    async def withdraw_key(self, key_id: str) -> int:
        """Withdraw a key and return the log index of the withdrawal."""
        result = await self._propose(WithdrawKey(new_token(), key_id))
        _raise_failure(result)
        return result.version

    async def set_draining(self, host: str, draining: bool) -> int:
        """Mark a host as leaving, or take the mark back; return the log index."""
        result = await self._propose(SetDraining(new_token(), host, draining))
        _raise_failure(result)
        return result.version

    async def read_state(self) -> FleetState:
        """Return the fleet state that a quorum confirmed."""
        answer = await self._controllers.request_repeatable(
            FLEET_GROUP, ReadState(FLEET_GROUP), self._settings.timeout_s
        )
        state = FleetState()
        state.restore(answer.state)
        return state

    async def fetch_status(self) -> dict:
        """Return what the leader knows of the fleet."""
        answer = await self._controllers.request_repeatable(
            FLEET_GROUP, FetchStatus(), self._settings.timeout_s
        )
        return msgspec.json.decode(answer.body)

    async def _propose(self, command: object) -> CommandResult:
        answer = await self._controllers.request_repeatable(
            FLEET_GROUP,
            Propose(FLEET_GROUP, encode(command)),
            self._settings.timeout_s,
            defaults.OPERATOR_ATTEMPT_S,
        )
        return decode(answer.result)


def _raise_failure(result: CommandResult) -> None:
    if result.error:
        raise restore_failure(Failure(result.error, result.text))
