"""What the leader of a group knows of the other members."""

from collections import deque

__all__ = ["Progress"]


class Progress:
    """What the leader knows of another member.

    Attributes:
        match: Last index known to be durable there.
        next: Next index to send.
        probing: Whether the point of agreement is still unknown; then only one
            message is in flight.
        paused: Whether a probe or chunk is in flight.
        heard: Time of the last answer.
        sequence: Newest sequence number that it echoed.
        in_flight: Pairs of last index and bytes of unanswered batches.
        in_flight_bytes: Sum of the bytes in ``in_flight``.
        snapshot_index: Index of the snapshot in transfer, 0 if there is none.
        snapshot_offset: Next byte of that snapshot to send.
    """

    __slots__ = (
        "heard",
        "in_flight",
        "in_flight_bytes",
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
