"""What one entry knows of the workspaces' rates: tokens held and granted."""

from typing import NamedTuple

from .advances import ISOLATED_PART, Advance, EmergencyBucket, TokenLot
from .configurations import WorkspaceSpec
from .ratebuckets import LATE_SEND_S
from .ratehistory import GrantHistory

__all__ = ["EntryRates", "Unspent"]

# Grants count for the rule's window, tokens sent late, and news on its way.
_KEPT_MARGIN_S = 2 * LATE_SEND_S


class Unspent(NamedTuple):
    """Tokens of a workspace that go back to their owner."""

    workspace: str
    tokens: float
    owner: int
    lent_at: float


class EntryRates:
    """Tokens and grants of one entry, by workspace.

    Args:
        window_s: The window of the rule.
        entries: How many entries to assume until the owner has told it.
        began: When the entry started.

    Attributes:
        entries: Number of entries that the owner told last, or the assumed one.
        told_entries: The same; 0 if no owner has told it.
    """

    def __init__(self, window_s: float, entries: int, began: float) -> None:
        self._kept_s = window_s + _KEPT_MARGIN_S
        self._began = began
        self.entries = entries
        self.told_entries = 0
        self._place = 0.0
        self._advances: dict[str, Advance] = {}
        self._emergency: dict[str, EmergencyBucket] = {}
        self._silent_at = float("-inf")
        # By workspace and owner; 0 is this entry's own share.
        self._history: dict[tuple[str, int], GrantHistory] = {}
        self._scarce: set[str] = set()

    def note_entries(self, entries: int, place: float) -> None:
        """Take from the owner how many entries there are, and this one's place."""
        self.entries = self.told_entries = max(entries, 1)
        self._place = place

    def take_held(
        self, spec: WorkspaceSpec, tokens: float, now: float
    ) -> TokenLot | None:
        """Spend tokens that lie here."""
        advance = self._advances.get(spec.name)
        return advance.spend(tokens, now) if advance is not None else None

    def note_loan(self, workspace: str, tokens: float, owner: int, now: float) -> None:
        """Record tokens that an owner lent."""
        key = (workspace, owner)
        history = self._history.get(key)
        if history is None:
            history = self._history[key] = GrantHistory(self._kept_s)
        history.forget(now)
        history.add(tokens, now)

    def hold(
        self, workspace: str, tokens: float, owner: int, lent_at: float, now: float
    ) -> Unspent | None:
        """Keep tokens for the next request; return those that go back at once.

        While tokens are scarce, they are missed at other entries.
        """
        if owner and (workspace in self._scarce or now - lent_at >= LATE_SEND_S):
            return self.note_returned(Unspent(workspace, tokens, owner, lent_at))
        advance = self._advances.setdefault(workspace, Advance())
        advance.add(tokens, owner, lent_at, now)
        return None

    def set_scarce(self, workspace: str, is_scarce: bool) -> None:
        """Take from the owner whether tokens of a workspace are scarce."""
        if is_scarce:
            self._scarce.add(workspace)
        else:
            self._scarce.discard(workspace)

    def expire(self, now: float) -> list[Unspent]:
        """Return expired tokens, and all those of workspaces that are short of them."""
        unspent = []
        for workspace, advance in self._advances.items():
            drain = workspace in self._scarce
            tokens, lent_at = advance.drain() if drain else advance.expire(now)
            # Tokens of an emergency bucket were not lent by an owner.
            if tokens > 0 and advance.owner:
                found = Unspent(workspace, tokens, advance.owner, lent_at)
                unspent.append(self.note_returned(found))
        return unspent

    def note_returned(self, unspent: Unspent) -> Unspent:
        """Record that tokens go back to the owner."""
        history = self._history.get((unspent.workspace, unspent.owner))
        if history is not None:
            history.add(-unspent.tokens, unspent.lent_at)
        return unspent

    def use_emergency(
        self,
        spec: WorkspaceSpec,
        tokens: float,
        now: float,
        *,
        is_isolated: bool,
    ) -> float:
        """Spend tokens of this entry's own share, or return the seconds to wait."""
        if now - self._silent_at > self._kept_s:
            # Full buckets of all entries would otherwise each spend a request at once.
            self._emergency.clear()
        self._silent_at = now
        bucket = self._emergency.setdefault(spec.name, EmergencyBucket(self._place))
        if is_isolated:
            wait_s = bucket.take(spec, self.entries, tokens, now, ISOLATED_PART)
        else:
            wait_s = bucket.take(spec, self.entries, tokens, now)
        if not wait_s:
            self.note_loan(spec.name, tokens, 0, now)
        return wait_s

    def report(
        self, owner: int, now: float
    ) -> list[tuple[str, list[tuple[float, float]]]]:
        """Return how long ago which tokens were granted, by workspace.

        An owner that asks knows of its own loans.
        """
        reported = []
        for key, history in list(self._history.items()):
            history.forget(now)
            if not history:
                del self._history[key]
            elif key[1] != owner:
                items = [(now - at, tokens) for at, tokens in history.items()]
                reported.append((key[0], items))
        return reported

    def is_complete(self, now: float) -> bool:
        """Return whether this entry has run for as long as grants count."""
        return now - self._began >= self._kept_s
