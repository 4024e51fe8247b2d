"""Bounds on the sends to a server that crashes above a rate, in any second.

The bound of a server is split into three parts, so that their sum holds whatever the
nodes know of the server and of each other: permits of the one owner in the fleet, a
send now and then by a few entries that need not ask, and a small rate for the entries
that reach no owner.
"""

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from .. import defaults

__all__ = ["SendBound", "SendBudget", "SpacedShare", "rank_entry", "split_budget"]


class SendBudget(NamedTuple):
    """How the sends that a server takes in a second are split.

    Attributes:
        permits: Sends in a second by permits of the owner.
        holders: Entries that may send once in a second without asking.
        local_per_s: Sends a second by all other entries that reach no owner.
        warm_per_s: The same to a server that was warm a moment ago.
    """

    permits: int
    holders: int
    local_per_s: float
    warm_per_s: float


def split_budget(per_s: float, overrun: float, slack: float) -> SendBudget:
    """Return the parts of what a server takes in a second.

    Args:
        per_s: Requests a second that the server tolerates.
        overrun: Factor by which that may be exceeded in a second.
        slack: Requests beyond that in a second.
    """
    # A server that never got a request would never be of use.
    total = max(math.floor(per_s * overrun + slack), 1)
    holders = int(total * defaults.COLD_HOLDERS_PART)
    local = int(total * defaults.COLD_LOCAL_PART)
    return SendBudget(
        total - holders - local,
        holders,
        local * defaults.COLD_LOCAL_USED_PART,
        local / defaults.COLD_WARM_LAG_S,
    )


def rank_entry(server: str, node: str, entries: Iterable[str]) -> int:
    """Return the place of an entry among those that may send without asking.

    All entries compute the same order for a server, and different ones for different
    servers.
    """
    own = _hash_pair(server, node)
    return sum(_hash_pair(server, other) < own for other in entries)


def _hash_pair(server: str, node: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{server}\0{node}".encode()), node


class SendBound:
    """Bounds the permits of one server in any second, as the owner issues them.

    A permit counts for as long as its request can arrive within a second of that of
    another permit.

    Args:
        permits: Permits in a second.
        held_until: Until when none is issued, as a previous owner's may be under way.
            After that they become free one by one, beside the sends without an owner.
    """

    def __init__(self, permits: int, held_until: float) -> None:
        self.permits = permits
        self.held_until = held_until
        span_s = defaults.COLD_COUNTED_S
        first = held_until - span_s
        self._issued = deque(first + span_s * n / permits for n in range(permits))

    @property
    def per_s(self) -> float:
        """The permits a second in the long run."""
        return self.permits / defaults.COLD_COUNTED_S

    def find_room(self, now: float) -> float:
        """Return the seconds until a permit may be issued; 0 if it may be now."""
        self._forget(now)
        wait_s = max(self.held_until - now, 0.0)
        if len(self._issued) >= self.permits:
            oldest = self._issued[-self.permits]
            wait_s = max(wait_s, oldest + defaults.COLD_COUNTED_S - now)
        return wait_s

    def note_issued(self, now: float) -> None:
        """Count a permit."""
        self._issued.append(now)

    def note_returned(self, issued_at: float) -> None:
        """Take back a permit that was not used."""
        if issued_at in self._issued:
            self._issued.remove(issued_at)

    def is_idle(self, now: float) -> bool:
        """Return whether no permit counts any more."""
        self._forget(now)
        return not self._issued and now >= self.held_until

    def _forget(self, now: float) -> None:
        horizon = now - defaults.COLD_COUNTED_S
        while self._issued and self._issued[0] <= horizon:
            self._issued.popleft()


class SpacedShare:
    """Allows one send in a while, without anybody's permission.

    The first one does not come at once: the node may have sent right before it was
    restarted.

    Args:
        first_at: When the first one may be sent, in monotonic seconds.
        spacing_s: Seconds between two of them.
    """

    def __init__(
        self, first_at: float, spacing_s: float = defaults.COLD_SPACING_S
    ) -> None:
        self._spacing_s = spacing_s
        self._next_at = first_at
        self._before = first_at

    def take(self, now: float) -> bool:
        """Return whether a request may be sent now, and reserve it if so."""
        if now < self._next_at:
            return False
        self._before = self._next_at
        spent_by = now + defaults.COLD_PERMIT_VALID_S
        self._next_at = spent_by + self._spacing_s
        return True

    def note_spent(self, now: float) -> None:
        """Record that the reserved request is sent now."""
        self._next_at = now + self._spacing_s

    def give_back(self) -> None:
        """End a reservation that was not used."""
        self._next_at = self._before
