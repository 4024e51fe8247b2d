"""The operator's side of the control hosts' protocol."""

import asyncio
from typing import Any, NamedTuple

import msgspec

from .. import defaults
from ..decisions.fleet import FleetState
from ..decisions.keys import compute_digest, format_key
from ..exceptions import QuorumLost, SubmissionUnconfirmed, VersionConflict
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
from ..messages.control import (
    AddMember,
    FetchMembers,
    FetchStatus,
    GroupMembers,
    Propose,
    ReadState,
    RemoveMember,
    StatusAnswer,
)
from ..messages.evacuations import EvacuateZone, EvacuationAnswer
from ..messages.link import Failure
from ..services.control import FLEET_GROUP
from ..services.controllers import Controllers
from ..services.failures import restore_failure
from ..services.process import Process
from ..settings import ToolSettings

__all__ = ["Accepted", "OperatorClient"]

_KEY_ID_BYTES = 6
_KEY_SECRET_BYTES = 24


class Accepted(NamedTuple):
    """A committed order.

    ``index`` is a version of the fleet state that contains it; ``version`` the
    version that the result names, for a document that of the document.
    """

    version: int
    index: int
    result: CommandResult


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
            SubmissionUnconfirmed: If no answer came.
        """
        command = SubmitDocument(new_token(), service, expected_version, body, author)
        return (await self.submit(command)).version

    async def submit(self, command: SubmitDocument) -> Accepted:
        """Submit a document under the submission identifier in ``command``.

        Raises:
            VersionConflict: If another submission won.
            DocumentError: If the document is not acceptable.
            SubmissionUnconfirmed: If no answer came.
        """
        accepted = await self._propose(command)
        result = accepted.result
        if result.error == VersionConflict.__name__:
            raise VersionConflict(
                command.service,
                command.expected_version,
                result.version,
                result.winner,
            )
        _raise_failure(result)
        return accepted

    async def grant_key(self, workspace: str, hash_secret: bytes) -> tuple[str, str]:
        """Grant a new key and return its identifier and its text."""
        key_id = new_token(_KEY_ID_BYTES)
        key = format_key(key_id, new_token(_KEY_SECRET_BYTES))
        digest = compute_digest(key, hash_secret)
        await self._order(GrantKey(new_token(), key_id, digest, workspace))
        return key_id, key

    async def withdraw_key(self, key_id: str, submission_id: str = "") -> int:
        """Withdraw a key and return the log index of the withdrawal."""
        return await self._order(WithdrawKey(submission_id or new_token(), key_id))

    async def set_draining(
        self, host: str, draining: bool, submission_id: str = ""
    ) -> int:
        """Mark a host as leaving, or take the mark back; return the log index."""
        return await self._order(
            SetDraining(submission_id or new_token(), host, draining)
        )

    async def evacuate(self, zone: str, is_evacuated: bool) -> EvacuationAnswer:
        """Evacuate an availability zone, or end that.

        The call names the revision that it was made on, so that repeating it is safe.

        Raises:
            UnknownZone: If there is no such zone.
            EvacuationOvertaken: If another call has changed it meanwhile.
            QuorumLost: If no answer came.
        """
        held = (await self.read_state()).evacuations.find(zone)
        call = EvacuateZone(zone, is_evacuated, held.revision)
        return await self._controllers.request_repeatable(
            FLEET_GROUP, call, self._settings.timeout_s, defaults.OPERATOR_ATTEMPT_S
        )

    async def fetch_members(self) -> list[GroupMembers]:
        """Return the members of every log group."""
        answer = await self._controllers.request_repeatable(
            FLEET_GROUP, FetchMembers(), self._settings.timeout_s
        )
        return answer.groups

    async def add_member(self, group: str, host: str, address: str) -> list[str]:
        """Add a control host to a group and return its identity.

        Raises:
            MemberChangeRefused: If the host cannot be reached or does not catch up.
        """
        return await self._change_members(group, AddMember(group, host, address))

    async def remove_member(self, group: str, host: str) -> list[str]:
        """Remove a control host from a group and return its identities."""
        return await self._change_members(group, RemoveMember(group, host))

    async def _change_members(self, group: str, message: object) -> list[str]:
        # Both changes state the wanted membership, so that repeating them is safe.
        answer = await self._controllers.request_repeatable(
            group,
            message,
            2 * defaults.MEMBER_REQUEST_TIMEOUT_S,
            defaults.MEMBER_REQUEST_TIMEOUT_S,
        )
        return answer.identities

    async def read_state(self) -> FleetState:
        """Return the fleet state that a quorum confirmed."""
        answer = await self._controllers.request_repeatable(
            FLEET_GROUP, ReadState(FLEET_GROUP), self._settings.timeout_s
        )
        state = FleetState()
        state.restore(answer.state)
        return state

    async def fetch_status(self) -> dict:
        """Return what a control host knows of the fleet.

        Accounts over their rate come from the control host that owns them.
        """
        answer = await self._controllers.request_repeatable(
            FLEET_GROUP, FetchStatus(), self._settings.timeout_s
        )
        status = msgspec.json.decode(answer.body)
        if not status["accounts_owner"]:
            status["over_rate"] = await self._fetch_over_rate()
        return status

    async def _fetch_over_rate(self) -> list[dict] | None:
        links = self._controllers.links.values()
        requests = [link.request(FetchStatus()) for link in links if link.is_connected]
        for answer in await asyncio.gather(*requests, return_exceptions=True):
            if isinstance(answer, StatusAnswer):
                status = msgspec.json.decode(answer.body)
                if status["accounts_owner"]:
                    return status["over_rate"]
        return None

    async def _order(self, command: Any) -> int:
        accepted = await self._propose(command)
        _raise_failure(accepted.result)
        return accepted.index

    async def _propose(self, command: Any) -> Accepted:
        message = Propose(FLEET_GROUP, encode(command))
        try:
            answer = await self._controllers.request_repeatable(
                FLEET_GROUP,
                message,
                self._settings.timeout_s,
                defaults.OPERATOR_ATTEMPT_S,
            )
        except QuorumLost as error:
            raise SubmissionUnconfirmed(command.submission_id, str(error)) from error
        result = decode(answer.result)
        return Accepted(result.version, answer.index, result)


def _raise_failure(result: CommandResult) -> None:
    if result.error:
        raise restore_failure(Failure(result.error, result.text))
