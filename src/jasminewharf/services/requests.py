"""A control host's answers to entries: rate grants, order claims and status."""

import asyncio
from typing import Any, ClassVar

import msgspec

from ..decisions.buckets import RateLimits
from ..exceptions import Forbidden
from ..kernel import Kernel, Service
from ..messages.control import (
    ClaimOrder,
    FetchStatus,
    GrantRequest,
    RecordOutcome,
    ReleaseClaim,
    StatusAnswer,
)
from .accounts import AccountOwner
from .claims import ClaimCoordinator
from .control import FLEET_GROUP
from .link import Peer
from .status import describe_fleet

__all__ = ["Requests", "account_name", "build_account_owner", "build_claim_coordinator"]

_SEPARATOR = "/"


def account_name(service: str, workspace: str) -> str:
    """Return the name of a workspace's account with a service."""
    return f"{service}{_SEPARATOR}{workspace}"


def build_account_owner(kernel: Kernel) -> AccountOwner:
    """Return the owner of rate accounts, with limits from the documents."""
    identity = kernel.find("process").identity

    def find_limits(account: str) -> RateLimits | None:
        service, _, workspace = account.partition(_SEPARATOR)
        document = kernel.find("fleet").state.document(service)
        access = document.find_access(workspace) if document else None
        if access is None:
            return None
        return RateLimits(access.rate_tokens_per_s, access.burst_tokens)

    return AccountOwner(
        kernel,
        kernel.find("log"),
        find_limits,
        identity.node,
        identity.incarnation,
    )


def build_claim_coordinator(kernel: Kernel) -> ClaimCoordinator:
    """Return the keeper of order claims; lives of entries come from reports."""

    def is_gone(incarnation: int) -> bool:
        now = asyncio.get_running_loop().time()
        return kernel.find("gathering").membership.is_life_over(incarnation, now)

    return ClaimCoordinator(
        kernel, kernel.find("log"), is_gone, kernel.settings.claim_partitions
    )


class Requests(Service):
    """Registers the handlers of entries' and the tool's requests."""

    name: ClassVar[str] = "requests"
    requires: ClassVar[tuple[str, ...]] = (
        "control",
        "gathering",
        "account-owner",
        "claim-keeper",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._started = 0.0

    async def start(self) -> None:
        """Answer requests."""
        self._started = asyncio.get_running_loop().time()
        control = self.kernel.find("control")
        control.handle(GrantRequest, self._grant)
        for kind in (ClaimOrder, RecordOutcome, ReleaseClaim):
            control.handle(kind, self._claim)
        control.handle(FetchStatus, self._fetch_status)

    def _grant(self, peer: Peer, message: GrantRequest) -> Any:
        _check_entry(peer)
        return self.kernel.find("account-owner").answer(message)

    def _claim(self, peer: Peer, message: Any) -> Any:
        _check_entry(peer)
        return self.kernel.find("claim-keeper").answer(message)

    async def _fetch_status(self, peer: Peer, message: FetchStatus) -> StatusAnswer:
        if peer.hello is None or peer.hello.role != "tool":
            raise Forbidden("only the operator's tool may read the status")
        await self.kernel.find("log").read_barrier(FLEET_GROUP)
        return StatusAnswer(msgspec.json.encode(self._describe()))

    def _describe(self) -> dict[str, Any]:
        return describe_fleet(self.kernel, self._started)


def _check_entry(peer: Peer) -> None:
    if peer.hello is None or peer.hello.role != "entry":
        raise Forbidden("only an entry may ask for this")
