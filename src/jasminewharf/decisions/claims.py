"""The replicated state machine of the log groups ``claims-N``.

A claim records that an order with an idempotency key was accepted, and later its
answer. It is kept for the claim window, measured by time stamps in the commands. The
log's time is the largest value that both an entry's and a leader's clock had reached.
It never decreases, and one clock that runs ahead cannot end a window early. A claim's
time stamp is not earlier than its entry's clock or the log's time. See
docs/decisions/order-claims.md.
"""

import hashlib
from typing import NamedTuple

import xxhash

from ..defaults import (
    CLAIM_ADMIT_SHARE,
    CLAIM_ANSWER_LIMIT_BYTES,
    CLAIM_CLOCK_SKEW_MS,
    CLAIM_EXPIRY_SPAN_MS,
    CLAIM_OVERHEAD_BYTES,
    CLAIM_PARTITION_LIMIT_BYTES,
    CLAIM_RELEASED_IDS,
    CLAIM_WINDOW_MS,
)
from ..exceptions import MalformedMessage
from ..messages.claims import (
    ClaimRecord,
    ClaimsSnapshot,
    EndEntry,
    MakeClaim,
    SettleClaim,
    WithdrawClaim,
)
from ..messages.codec import decode, encode
from ..messages.control import ClaimAnswer

__all__ = ["ClaimLog", "choose_partition", "measure_answer"]

_KEY_BYTES = 16
_KEPT_MS = CLAIM_WINDOW_MS + CLAIM_CLOCK_SKEW_MS


def choose_partition(workspace: str, idempotency_key: str, partitions: int) -> int:
    """Return the number of the partition that holds a claim."""
    name = f"{workspace}\0{idempotency_key}"
    return xxhash.xxh3_64_intdigest(name.encode()) % partitions


def measure_answer(headers: list[tuple[str, str]], body: bytes) -> int:
    """Return the size of an answer in bytes, as compared with the size limit."""
    return len(body) + sum(len(name) + len(value) for name, value in headers)


def _claim_key(workspace: str, idempotency_key: str) -> bytes:
    name = f"{workspace}\0{idempotency_key}".encode()
    return hashlib.blake2b(name, digest_size=_KEY_BYTES).digest()


class _Stored(NamedTuple):
    key: bytes
    record: ClaimRecord | None


class ClaimLog:
    """The claims of one partition.

    Records are kept encoded, since the claims of a whole day must fit in the memory of
    a control host.

    Args:
        limit_bytes: Memory for records. New claims are refused with the state
            ``full`` above ``CLAIM_ADMIT_SHARE`` of it, and answers that would exceed
            it are not kept.
    """

    def __init__(self, limit_bytes: int = CLAIM_PARTITION_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._reset(0)

    def _reset(self, time_ms: int) -> None:
        self._time_ms = time_ms
        self._records: dict[bytes, bytes] = {}
        self._size_bytes = 0
        self._running: dict[int, set[bytes]] = {}
        self._spans: dict[int, list[bytes]] = {}
        self._swept_span = 0

    @property
    def size_bytes(self) -> int:
        """Estimated memory use of the records, in bytes."""
        return self._size_bytes

    def __len__(self) -> int:
        return len(self._records)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return an encoded :class:`ClaimAnswer`.

        A command of another group, or a malformed one, changes nothing.
        """
        try:
            message = decode(command)
        except MalformedMessage:
            message = None
        if isinstance(message, EndEntry):
            return encode(self._end_entry(message))
        if not isinstance(message, MakeClaim | SettleClaim | WithdrawClaim):
            return encode(_answer("malformed"))
        self._advance_time(message.entry_ms, message.leader_ms)
        key = _claim_key(message.workspace, message.idempotency_key)
        stored = _Stored(key, self._load(key))
        if isinstance(message, MakeClaim):
            return encode(self._make(stored, message))
        if isinstance(message, SettleClaim):
            return encode(self._settle(stored, message))
        return encode(self._withdraw(stored, message))

    def find(self, workspace: str, idempotency_key: str) -> ClaimRecord | None:
        """Return the record of a claim, if there is one."""
        return self._load(_claim_key(workspace, idempotency_key))

    def running_incarnations(self) -> list[int]:
        """Return the incarnations of entries that have running claims."""
        return list(self._running)

    def _make(self, stored: _Stored, message: MakeClaim) -> ClaimAnswer:
        record = stored.record
        if record is None:
            return self._claim(stored, message, [])
        if record.digest != message.digest:
            return _answer("conflict")
        if message.request_id in record.released_ids:
            return _answer("released")
        if record.state == "released":
            return self._claim(stored, message, record.released_ids)
        if record.state == "running":
            own = record.request_id == message.request_id
            return _answer("claimed" if own else "running")
        return ClaimAnswer(record.state, record.status, record.headers, record.body)

    def _claim(
        self, stored: _Stored, message: MakeClaim, released_ids: list[str]
    ) -> ClaimAnswer:
        if self._is_full():
            return _answer("full")
        record = ClaimRecord(
            state="running",
            digest=message.digest,
            request_id=message.request_id,
            incarnation=message.incarnation,
            stamp_ms=max(message.entry_ms, self._time_ms),
            status=0,
            headers=[],
            body=b"",
            released_ids=released_ids,
        )
        self._store(stored, record)
        return _answer("claimed")

    def _is_full(self) -> bool:
        return self._size_bytes >= self._limit_bytes * CLAIM_ADMIT_SHARE

    def _settle(self, stored: _Stored, message: SettleClaim) -> ClaimAnswer:
        record = stored.record
        if record is None or record.request_id != message.request_id:
            return _answer("conflict")
        if record.state not in ("running", "unknown"):
            return _answer(record.state)
        if record.state == "unknown" and record.status:
            return _answer(record.state)
        settled = record._replace(
            state="done" if message.outcome == "done" else "unknown",
            status=message.status,
            headers=message.headers,
            body=message.body,
        )
        if not self._has_room(settled):
            settled = settled._replace(state="unknown", headers=[], body=b"")
        self._store(stored, settled)
        return _answer(settled.state)

    def _has_room(self, record: ClaimRecord) -> bool:
        size = measure_answer(record.headers, record.body)
        if size > CLAIM_ANSWER_LIMIT_BYTES:
            return False
        return self._size_bytes + size <= self._limit_bytes

    def _withdraw(self, stored: _Stored, message: WithdrawClaim) -> ClaimAnswer:
        record = stored.record
        if record is None and self._is_full():
            return _answer("full")
        if record is None:
            # The release overtook its claim, which must be rejected on arrival.
            record = ClaimRecord(
                state="released",
                digest=message.digest,
                request_id=message.request_id,
                incarnation=0,
                stamp_ms=max(message.entry_ms, self._time_ms),
                status=0,
                headers=[],
                body=b"",
                released_ids=[message.request_id],
            )
            self._store(stored, record)
            return _answer("released")
        if record.digest != message.digest or record.state == "done":
            return _answer("conflict")
        own = record.request_id == message.request_id
        if message.request_id not in record.released_ids:
            ids = [*record.released_ids, message.request_id][-CLAIM_RELEASED_IDS:]
            record = record._replace(released_ids=ids)
        if own and not record.status:
            record = record._replace(state="released")
        self._store(stored, record)
        return _answer(record.state)

    def _end_entry(self, message: EndEntry) -> ClaimAnswer:
        for key in list(self._running.get(message.incarnation, ())):
            stored = _Stored(key, self._load(key))
            self._store(stored, stored.record._replace(state="unknown"))
        return _answer("unknown")

    def _load(self, key: bytes) -> ClaimRecord | None:
        data = self._records.get(key)
        return None if data is None else decode(data)

    def _store(self, stored: _Stored, record: ClaimRecord) -> None:
        self._forget(stored)
        data = encode(record)
        self._records[stored.key] = data
        self._size_bytes += len(data) + CLAIM_OVERHEAD_BYTES
        if record.state == "running":
            self._running.setdefault(record.incarnation, set()).add(stored.key)
        before = stored.record
        if before is None or before.stamp_ms != record.stamp_ms:
            span = record.stamp_ms // CLAIM_EXPIRY_SPAN_MS
            self._spans.setdefault(span, []).append(stored.key)

    def _forget(self, stored: _Stored) -> None:
        data = self._records.pop(stored.key, None)
        if data is None:
            return
        self._size_bytes -= len(data) + CLAIM_OVERHEAD_BYTES
        if stored.record.state == "running":
            keys = self._running[stored.record.incarnation]
            keys.discard(stored.key)
            if not keys:
                del self._running[stored.record.incarnation]

    def _advance_time(self, entry_ms: int, leader_ms: int) -> None:
        self._time_ms = max(self._time_ms, min(entry_ms, leader_ms))
        span = (self._time_ms - _KEPT_MS) // CLAIM_EXPIRY_SPAN_MS
        if span <= self._swept_span:
            return
        self._swept_span = span
        for ended in [s for s in self._spans if s < span]:
            for key in self._spans.pop(ended):
                self._expire(key, ended)

    def _expire(self, key: bytes, span: int) -> None:
        stored = _Stored(key, self._load(key))
        if stored.record is None:
            return
        if stored.record.stamp_ms // CLAIM_EXPIRY_SPAN_MS == span:
            self._forget(stored)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return encode(ClaimsSnapshot(self._time_ms, sorted(self._records.items())))

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot.

        Raises:
            MalformedMessage: If ``data`` is not a snapshot of this group.
        """
        state = decode(data)
        if not isinstance(state, ClaimsSnapshot):
            raise MalformedMessage("expected a snapshot of a claims group")
        self._reset(state.time_ms)
        for key, encoded in state.records:
            self._store(_Stored(key, None), decode(encoded))


def _answer(state: str) -> ClaimAnswer:
    return ClaimAnswer(state, 0, [], b"")
