"""Non-idempotent calls with an Idempotency-Key: claimed, run once, recorded."""

import asyncio
import hashlib
from collections.abc import AsyncIterator
from typing import NamedTuple

from ..exceptions import JasminewharfError, Refusal, StreamInterrupted
from ..services.claims import OrderClaims, RecordedAnswer
from ..services.router import Answer, CallPlan

__all__ = ["Claim", "OrderRelay", "digest_call"]


class Claim(NamedTuple):
    """What identifies a claimed order."""

    workspace: str
    idempotency_key: str
    digest: str
    request_id: str


def digest_call(plan: CallPlan) -> str:
    """Return a digest of all that makes two calls the same order."""
    digest = hashlib.sha256()
    for part in (plan.service, plan.model, plan.adapter, plan.method, plan.target):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(plan.body)
    return digest.hexdigest()


class OrderRelay:
    """Reads a claimed order's answer to its end, whether or not its caller stays.

    The outcome is recorded before the caller is told that the answer is complete.
    """

    def __init__(self, claims: OrderClaims, claim: Claim, answer: Answer) -> None:
        self.status = answer.status
        self.headers = answer.headers
        self.tokens = -1
        self._claims = claims
        self._claim = claim
        self._answer = answer
        self._queue: asyncio.Queue[bytes | Refusal | None] = asyncio.Queue()
        self._body: list[bytes] = []

    async def run(self) -> None:
        """Read and record; must not be cancelled by the caller's leaving."""
        try:
            await self._read_and_record()
        except Exception as error:
            # The caller waits for the queue alone.
            self._queue.put_nowait(StreamInterrupted(str(error), not_run=False))
            raise

    async def _read_and_record(self) -> None:
        claim = self._claim
        try:
            async for chunk in self._answer.chunks():
                self._body.append(chunk)
                self._queue.put_nowait(chunk)
        except JasminewharfError as error:
            await self._claims.record_unknown(
                claim.workspace, claim.idempotency_key, claim.request_id
            )
            text = f"the answer broke off: {error}"
            self._queue.put_nowait(StreamInterrupted(text, not_run=False))
            return
        self.tokens = self._answer.tokens
        recorded = RecordedAnswer(self.status, self.headers, b"".join(self._body))
        await self._claims.record(
            claim.workspace, claim.idempotency_key, claim.request_id, recorded
        )
        self._queue.put_nowait(None)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            StreamInterrupted: If the answer broke off.
        """
        while True:
            item = await self._queue.get()
            if item is None:
                return
            if isinstance(item, Refusal):
                raise item
            yield item
