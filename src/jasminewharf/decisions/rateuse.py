"""What an entry granted and refused of the workspaces' rates since its last account."""

import enum
import math
from typing import Any

from .configurations import WorkspaceSpec

__all__ = ["RateUse", "RefusalCause"]

# Grants of one workspace within this time are one item of the account.
_SPAN_S = 0.1
_MS_PER_S = 1_000


class RefusalCause(enum.StrEnum):
    """Why an entry refused a request for its rate, in the words of the log.

    While the owner is new, it assumes a low level until the entries have reported.
    """

    OVER_RATE = "over_rate"
    OWNER_SILENT = "owner_silent"
    OWNER_NEW = "owner_new"


class _WorkspaceUse:
    def __init__(self, spec: WorkspaceSpec) -> None:
        self.spec = spec
        self.requests = 0
        self.waited = 0
        self.granted: dict[int, float] = {}
        self.refused: dict[str, list[float]] = {}


class RateUse:
    """Sums of each workspace; the times are those from which tokens could be spent."""

    def __init__(self) -> None:
        self._uses: dict[str, _WorkspaceUse] = {}

    def note_granted(
        self, spec: WorkspaceSpec, tokens: float, at: float, *, has_waited: bool = False
    ) -> None:
        """Count a request that got its tokens."""
        use = self._find(spec)
        use.requests += 1
        use.waited += has_waited
        self._add(use, tokens, at)

    def note_unspent(self, spec: WorkspaceSpec, tokens: float, at: float) -> None:
        """Take back tokens that were granted at ``at`` and not spent."""
        self._add(self._find(spec), -tokens, at)

    def note_refused(self, spec: WorkspaceSpec, tokens: float, cause: str) -> None:
        """Count a refused request."""
        counts = self._find(spec).refused.setdefault(cause, [0, 0.0])
        counts[0] += 1
        counts[1] += tokens

    def _find(self, spec: WorkspaceSpec) -> _WorkspaceUse:
        use = self._uses.get(spec.name)
        if use is None:
            use = self._uses[spec.name] = _WorkspaceUse(spec)
        use.spec = spec
        return use

    def _add(self, use: _WorkspaceUse, tokens: float, at: float) -> None:
        span = math.floor(at / _SPAN_S)
        use.granted[span] = use.granted.get(span, 0.0) + tokens

    def take(self, now: float, limit: int) -> list[dict[str, dict[str, Any]]]:
        """Return the sums in parts of at most ``limit`` workspaces, and begin anew.

        ``granted`` lists how many milliseconds before ``now`` how many tokens were
        granted.
        """
        uses, self._uses = self._uses, {}
        described = [(name, _describe(use, now)) for name, use in sorted(uses.items())]
        return [
            dict(described[first : first + limit])
            for first in range(0, len(described), limit)
        ]


def _describe(use: _WorkspaceUse, now: float) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "rate": round(use.spec.rate_per_s, 3),
        "burst": round(use.spec.burst, 3),
        "requests": use.requests,
        "granted": [
            [round((now - span * _SPAN_S) * _MS_PER_S), round(tokens, 1)]
            for span, tokens in sorted(use.granted.items())
            if round(tokens, 1)
        ],
    }
    if use.waited:
        fields["waited"] = use.waited
    if use.refused:
        fields["refused"] = {
            cause: [int(count), round(tokens)]
            for cause, (count, tokens) in use.refused.items()
        }
    return fields
