"""Rates of workspaces over the whole fleet, as shares that entries hold.

Most of a workspace's rate is divided between the entries by their demand; an entry
spends its share without asking anybody. The rest is a reserve from which an entry
whose share is spent borrows for one request. The owner gives a share to another entry
only after its holder has reported a smaller one or its lease has ended.
"""

from typing import NamedTuple

from .configurations import WorkspaceSpec

__all__ = [
    "SHARED_PART",
    "DemandMeter",
    "ReserveBucket",
    "ShareBucket",
    "ShareOwner",
]

# Part of a rate that is divided between the entries; the rest is the reserve.
SHARED_PART = 0.6
# Part of the divided rate that all entries get alike, whatever their demand.
_EVEN_PART = 0.15
# How fast the measured demand follows the real one.
_DEMAND_WINDOW_S = 2.0
_TINY = 1e-9


class ShareBucket:
    """An entry's part of one workspace's rate.

    The level starts full, since a share is first given when the fleet starts or the
    demand of a workspace appears; a larger share later adds no tokens at once.
    """

    def __init__(self) -> None:
        self._level = 0.0
        self._share = 0.0
        self._rate = 0.0
        self._burst = 0.0
        self._at = 0.0

    def set(self, spec: WorkspaceSpec, share: float, now: float, *, fill: bool) -> None:
        """Take a new share or a new rate; ``fill`` adds the burst of added share."""
        self._refill(now)
        added = max(share - self._share, 0.0)
        self._share = share
        self._rate = spec.rate_per_s * share
        self._burst = spec.burst * share
        if fill:
            self._level += spec.burst * added
        self._level = min(self._level, self._burst)

    def take(self, tokens: float, now: float) -> float:
        """Spend up to ``tokens`` and return how many are missing.

        A share may be smaller than one request: what there is counts towards it, and
        only the rest has to be borrowed.
        """
        self._refill(now)
        spent = min(tokens, max(self._level, 0.0))
        self._level -= spent
        return tokens - spent if tokens - spent > _TINY else 0.0

    def give_back(self, tokens: float) -> None:
        """Return what a request that did not run had taken."""
        self._level = min(self._level + tokens, self._burst)

    def _refill(self, now: float) -> None:
        self._level = min(self._level + (now - self._at) * self._rate, self._burst)
        self._at = now


class ReserveBucket:
    """The owner's reserve of one workspace.

    Args:
        spec: The workspace.
        slack: Tokens that the deployment allows beyond rate and burst.
        now: Monotonic seconds.
        is_full: Whether nobody can have spent the reserve: an owner that takes over
            does not know what the last one lent.
    """

    def __init__(
        self, spec: WorkspaceSpec, slack: float, now: float, *, is_full: bool
    ) -> None:
        self._spec = spec
        self._slack = slack
        self._level = self._size if is_full else 0.0
        self._at = now

    @property
    def _size(self) -> float:
        return self._spec.burst * (1 - SHARED_PART) + self._slack

    def set(self, spec: WorkspaceSpec) -> None:
        """Take a new rate."""
        self._spec = spec
        self._level = min(self._level, self._size)

    def lend(self, tokens: float, patience_s: float, now: float) -> tuple[bool, float]:
        """Lend ``tokens`` if they are there within ``patience_s``.

        Returns:
            Whether they are lent, and the seconds until they are there.
        """
        rate = self._spec.rate_per_s * (1 - SHARED_PART)
        self._level = min(self._level + (now - self._at) * rate, self._size)
        self._at = now
        wait_s = max(tokens - self._level, 0.0) / max(rate, _TINY)
        if wait_s > patience_s:
            return False, wait_s
        self._level -= tokens
        return True, wait_s


class DemandMeter:
    """Tokens a second that are asked for, averaged over about two seconds."""

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._tokens = 0.0
        self._at = now

    def add(self, tokens: float) -> None:
        """Count a request."""
        self._tokens += tokens

    def read(self, now: float) -> float:
        """Return the rate."""
        elapsed = now - self._at
        if elapsed > 0:
            weight = min(elapsed / _DEMAND_WINDOW_S, 1.0)
            self._rate += (self._tokens / elapsed - self._rate) * weight
            self._tokens = 0.0
            self._at = now
        return self._rate


class _Holder(NamedTuple):
    incarnation: int
    heard_at: float
    demand: dict[str, float]
    shares: dict[str, float]


class ShareOwner:
    """Divides every workspace's rate between the entries.

    Args:
        lease_s: How long an entry may use what it was told last.
        now: When this owner took over. What entries then say that they hold is
            believed until a lease has passed, and nothing is added to it.
    """

    def __init__(self, lease_s: float, now: float) -> None:
        self._lease_s = lease_s
        self._settled_at = now + lease_s
        self._holders: dict[str, _Holder] = {}

    def skip_settling(self) -> None:
        """Divide at once: the fleet has just been founded, and nobody holds a share."""
        self._settled_at = float("-inf")

    def count(self, now: float) -> int:
        """Return the number of entries whose lease lasts."""
        self._forget(now)
        return len(self._holders)

    def divide(
        self,
        node: str,
        incarnation: int,
        demand: list[tuple[str, float, float]],
        now: float,
    ) -> dict[str, float]:
        """Return the shares of an entry.

        Args:
            node: The entry.
            incarnation: Its life.
            demand: Workspace, tokens a second asked for, share held.
            now: Monotonic seconds.
        """
        self._forget(now)
        wishes = {workspace: rate for workspace, rate, _ in demand}
        held = {workspace: share for workspace, _, share in demand}
        self._holders[node] = _Holder(incarnation, now, wishes, held)
        shares = {
            workspace: self._divide_one(node, workspace, held[workspace], now)
            for workspace in wishes
        }
        self._holders[node] = _Holder(incarnation, now, wishes, shares)
        return shares

    def _divide_one(self, node: str, workspace: str, held: float, now: float) -> float:
        count = len(self._holders)
        total = sum(h.demand.get(workspace, 0.0) for h in self._holders.values())
        own = self._holders[node].demand.get(workspace, 0.0)
        by_demand = own / total if total > _TINY else 1.0 / count
        wished = SHARED_PART * (_EVEN_PART / count + (1 - _EVEN_PART) * by_demand)
        if now < self._settled_at:
            return min(wished, held)
        others = sum(
            holder.shares.get(workspace, 0.0)
            for name, holder in self._holders.items()
            if name != node
        )
        return max(min(wished, SHARED_PART - others), 0.0)

    def _forget(self, now: float) -> None:
        old = now - self._lease_s
        for node in [n for n, h in self._holders.items() if h.heard_at < old]:
            del self._holders[node]
