"""Order claims: the client on an entry.

The control host's part is :mod:`.claimcoordinator`.
"""

import asyncio
import hashlib
import logging
from collections.abc import Callable
from typing import NamedTuple

from .. import events
from ..decisions.claims import measure_answer
from ..decisions.framing import is_final_status
from ..defaults import (
    CLAIM_ANSWER_LIMIT_BYTES,
    CLAIM_PARTITIONS,
    CLAIM_POLL_FIRST_S,
    CLAIM_POLL_LIMIT_S,
    CLAIM_RECORD_RETRY_S,
    CLAIM_REQUEST_TIMEOUT_S,
    CLAIM_RETRY_AFTER_MS,
)
from ..eventloop import read_clock
from ..exceptions import (
    ClaimConflict,
    ClaimStoreFull,
    ClaimsUnavailable,
    JasminewharfError,
    OutcomeUnknown,
)
from ..kernel import Kernel, Service
from ..messages.control import ClaimAnswer, ClaimOrder, RecordOutcome, ReleaseClaim
from .claimcoordinator import (
    ClaimCoordinator,
    choose_claims_group,
    claims_group,
    wall_ms,
)
from .groups import GroupRequester

__all__ = [
    "ClaimCoordinator",
    "OrderClaims",
    "RecordedAnswer",
    "claims_group",
    "read_recorded",
]

_MS = 1000
_DIGEST_HEADER = "x-body-sha256"

_logger = logging.getLogger(__name__)


class RecordedAnswer(NamedTuple):
    """The recorded answer to an earlier call with the same idempotency key."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class OrderClaims(Service):
    """Claims orders for an entry before it forwards them.

    Args:
        kernel: The process's kernel.
        requester: Sends requests to the leaders of the groups.
        entry: This entry's node name.
        incarnation: The incarnation of this process.
        partitions: Number of claim log groups, as on the control hosts.
        clock: Returns seconds that never go back.
    """

    name = "claims"

    def __init__(
        self,
        kernel: Kernel,
        requester: GroupRequester,
        entry: str,
        incarnation: int,
        partitions: int = CLAIM_PARTITIONS,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        super().__init__(kernel)
        self._clock = clock
        self._requester = requester
        self._entry = entry
        self._incarnation = incarnation
        self._partitions = partitions
        self._in_doubt: dict[str, bool] = {}

    async def claim(
        self,
        workspace: str,
        idempotency_key: str,
        digest: str,
        request_id: str,
        deadline: float,
    ) -> RecordedAnswer | None:
        """Claim an order, or wait for the outcome of the call that claimed it.

        Args:
            workspace: The workspace that the key belongs to.
            idempotency_key: The key that the caller sent.
            digest: A digest of method, target and body.
            request_id: Identifies this call.
            deadline: Monotonic seconds.

        Returns:
            None if this call has claimed the order and must forward it once.

        Raises:
            ClaimConflict: If the key was used with another body.
            OutcomeUnknown: If an earlier call may have run and its answer is unknown.
            ClaimStoreFull: If the claim store is full.
            ClaimsUnavailable: If no quorum answered; the order is not forwarded.
        """
        message = ClaimOrder(
            workspace=workspace,
            idempotency_key=idempotency_key,
            digest=digest,
            request_id=request_id,
            entry=self._entry,
            incarnation=self._incarnation,
            entry_ms=wall_ms(),
        )
        claimed = False
        self._in_doubt[request_id] = False
        try:
            answer = await self._claim_until(message, deadline)
            claimed = answer is None
            return answer
        finally:
            if self._in_doubt.pop(request_id) and not claimed:
                # An unanswered claim may still be committed, and no call would run it.
                self.spawn(self.release(workspace, idempotency_key, digest, request_id))

    async def _claim_until(
        self, message: ClaimOrder, deadline: float
    ) -> RecordedAnswer | None:
        pause_s = CLAIM_POLL_FIRST_S
        state = ""
        while True:
            left_s = deadline - self._clock()
            if left_s <= 0:
                raise _make_timeout(state)
            answer = await self._request_claim(message, left_s)
            if answer is not None:
                state = answer.state
                if state == "claimed":
                    return None
                if state != "running":
                    return read_recorded(answer)
            await asyncio.sleep(min(pause_s, left_s))
            pause_s = min(2 * pause_s, CLAIM_POLL_LIMIT_S)
            message = message._replace(entry_ms=wall_ms())

    async def _request_claim(
        self, message: ClaimOrder, left_s: float
    ) -> ClaimAnswer | None:
        group = choose_claims_group(message, self._partitions)
        timeout_s = min(CLAIM_REQUEST_TIMEOUT_S, left_s)
        doubted = self._in_doubt[message.request_id]
        self._in_doubt[message.request_id] = True
        try:
            answer = await self._requester.request(group, message, timeout_s)
        except JasminewharfError:
            return None
        self._in_doubt[message.request_id] = doubted
        return answer

    async def record(
        self,
        workspace: str,
        idempotency_key: str,
        request_id: str,
        answer: RecordedAnswer,
    ) -> bool:
        """Record the answer to a claimed order; return whether it is durable.

        For an answer above the size limit, only its status and a digest are recorded.
        """
        status, headers, body = answer
        outcome = "done"
        if measure_answer(headers, body) > CLAIM_ANSWER_LIMIT_BYTES:
            outcome = "unknown"
            headers = [(_DIGEST_HEADER, hashlib.sha256(body).hexdigest())]
            body = b""
        message = RecordOutcome(
            workspace=workspace,
            idempotency_key=idempotency_key,
            request_id=request_id,
            outcome=outcome,
            status=status,
            headers=headers,
            body=body,
            entry_ms=wall_ms(),
        )
        return await self._send_until_accepted(message, events.CLAIM_NOT_RECORDED)

    async def record_unknown(
        self, workspace: str, idempotency_key: str, request_id: str
    ) -> bool:
        """Record that the call may have run and its answer is lost."""
        message = RecordOutcome(
            workspace=workspace,
            idempotency_key=idempotency_key,
            request_id=request_id,
            outcome="unknown",
            status=0,
            headers=[],
            body=b"",
            entry_ms=wall_ms(),
        )
        return await self._send_until_accepted(message, events.CLAIM_NOT_RECORDED)

    async def release(
        self, workspace: str, idempotency_key: str, digest: str, request_id: str
    ) -> bool:
        """Release a claim; only allowed if no backend server can have run the call."""
        message = ReleaseClaim(
            workspace=workspace,
            idempotency_key=idempotency_key,
            digest=digest,
            request_id=request_id,
            entry_ms=wall_ms(),
        )
        return await self._send_until_accepted(message, events.CLAIM_NOT_RELEASED)

    async def _send_until_accepted(
        self, message: RecordOutcome | ReleaseClaim, failure: events.Event
    ) -> bool:
        group = choose_claims_group(message, self._partitions)
        give_up_at = self._clock() + CLAIM_RECORD_RETRY_S
        pause_s = CLAIM_POLL_FIRST_S
        while self._clock() < give_up_at:
            try:
                await self._requester.request(group, message, CLAIM_REQUEST_TIMEOUT_S)
            except JasminewharfError:
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, CLAIM_POLL_LIMIT_S)
            else:
                return True
        events.emit(_logger, failure, request_id=message.request_id)
        return False


def _make_timeout(state: str) -> JasminewharfError:
    """Return the error for a claim whose deadline has passed."""
    if state == "running":
        return OutcomeUnknown(
            "an earlier call with this idempotency key is still running",
            not_run=False,
            retry_after_ms=CLAIM_RETRY_AFTER_MS,
        )
    return ClaimsUnavailable(
        "the order could not be claimed in time", retry_after_ms=CLAIM_RETRY_AFTER_MS
    )


def read_recorded(answer: ClaimAnswer) -> RecordedAnswer:
    """Return the recorded answer, or raise the error for the claim's state."""
    if answer.state == "done":
        # A process of an earlier release may have recorded any.
        if not is_final_status(answer.status):
            raise OutcomeUnknown(
                f"the recorded answer has the status {answer.status}", not_run=False
            )
        return RecordedAnswer(answer.status, answer.headers, answer.body)
    if answer.state == "conflict":
        raise ClaimConflict("the idempotency key was used with another body")
    if answer.state == "unknown":
        status = f" (status {answer.status})" if answer.status else ""
        raise OutcomeUnknown(
            f"an earlier call with this key may have run{status}", not_run=False
        )
    if answer.state == "full":
        raise ClaimStoreFull(
            "the claim store is full", retry_after_ms=CLAIM_RETRY_AFTER_MS
        )
    raise ClaimsUnavailable(
        "the claim was not accepted", retry_after_ms=CLAIM_RETRY_AFTER_MS
    )
