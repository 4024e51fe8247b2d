"""Replication progress of the other members, as tracked by the leader."""

from collections import deque

__all__ = ["Progress"]


class Progress:
    """Replication progress of one member.

    Attributes:
        match: Last index known to be durable on the member.
        next: Next index to send.
        probing: Whether the last matching index is still unknown; only one message
            is then in flight.
        paused: Whether a probe or chunk is in flight.
        last_answer_at: Time of the member's last answer.
        sequence: Highest sequence number echoed by the member.
        in_flight: Pairs of last index and bytes of unacknowledged batches.
        in_flight_bytes: Sum of the bytes in ``in_flight``.
        snapshot_index: Index of the snapshot being transferred, 0 if none.
        snapshot_offset: Next byte of that snapshot to send.
    """

    __slots__ = (
        "in_flight",
        "in_flight_bytes",
        "last_answer_at",
        "match",
        "next",
        "paused",
        "probing",
        "sequence",
        "snapshot_index",
        "snapshot_offset",
    )

    def __init__(self, next_index: int, now: float) -> None:
        self.match = 0
        self.next = next_index
        self.probing = True
        self.paused = False
        self.last_answer_at = now
        self.sequence = 0
        self.in_flight: deque[tuple[int, int]] = deque()
        self.in_flight_bytes = 0
        self.snapshot_index = 0
        self.snapshot_offset = 0
