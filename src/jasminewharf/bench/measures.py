"""What a run measures."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

from .history import Event
from .scenario import Scenario
from .traffic import Call

__all__ = ["Measures"]

_MS_PER_S = 1000
_LONGEST_MS = 24 * 3600 * 1000
_DIGITS = 3
_S_PER_HOUR = 3600.0
# An outcome may come this long after the deadline: an answer under way is not cut.
_OUTCOME_SLACK_S = 3600.0


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _LONGEST_MS, _DIGITS)


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.get_total_count():
        return {"p50": 0.0, "p95": 0.0, "p99": 0.0}
    return {
        f"p{p}": round(histogram.get_value_at_percentile(p) / _MS_PER_S, 3)
        for p in (50, 95, 99)
    }


class Measures:
    """Collects outcomes of calls and use of accelerators.

    A call whose last refusal was for a cold model enters the cold-start histogram
    with its whole deadline, so that refusing does not look like a fast start.
    """

    def __init__(self, scenario: Scenario, note: Callable[[Event], None]) -> None:
        self.entries = scenario.entries
        self.idle_s = 0.0
        self._note = note
        self._weights = (scenario.cold_start_weight, scenario.idle_hour_weight)
        self._cold = _histogram()
        self._cold_s = 0.0
        self._starts = _histogram()
        self._waits = {w.name: _histogram() for w in scenario.workspaces}
        self._offered: Counter[str] = Counter()
        self._served: Counter[str] = Counter()
        self._counts: Counter[str] = Counter()

    def note_arrival(self, call: Call) -> bool:
        """Count a call; return whether it is within its workspace's rate."""
        if not call.within_rate:
            self._counts["over rate"] += 1
            return False
        self._counts["within rate"] += 1
        self._offered[call.workspace] += call.tokens
        latest = call.at + call.deadline_s + _OUTCOME_SLACK_S
        self._note(Event(call.at, "arrived", call.number, amount=latest))
        return True

    def note_idle(self, accelerator_s: float) -> None:
        """Add idle accelerator seconds."""
        self.idle_s += accelerator_s

    def note_cold_start(self, seconds: float) -> None:
        """Record the wait of a call for a model that was not loaded."""
        self._cold_s += seconds
        self._cold.record_value(max(1, int(seconds * _MS_PER_S)))

    def note_dispatch(self, call: Call, seconds: float) -> None:
        """Record how long a call waited before it reached an engine."""
        self._starts.record_value(max(1, int(seconds * _MS_PER_S)))
        self._waits[call.workspace].record_value(max(1, int(seconds * _MS_PER_S)))

    def note_answer(self, call: Call, now: float, deadline: float) -> None:
        """Count an answered call; its tokens are goodput if it was in time."""
        self._note(Event(now, "answered", call.number))
        if now <= deadline:
            self._counts["in time"] += 1
            self._served[call.workspace] += call.tokens
        else:
            self._counts["late"] += 1

    def note_refusal(self, call: Call, now: float, reason: str, final: bool) -> None:
        """Count a refusal of a call that is within its rate."""
        self._counts["refusals"] += 1
        if final:
            self._note(Event(now, "refused", call.number))
            self._counts[f"refused: {reason}"] += 1
            if reason != "overloaded":
                self.note_cold_start(call.deadline_s)

    def note_failure(self, call: Call, now: float) -> None:
        """Count a call that ended with an error."""
        self._note(Event(now, "failed", call.number))
        self._counts["failed"] += 1

    def summarise(self, duration_s: float) -> dict[str, Any]:
        """Return the measures as plain data."""
        counts = self._counts
        shares = {
            name: self._served[name] / offered
            for name, offered in self._offered.items()
        }
        waits = {name: _percentiles(h)["p95"] for name, h in self._waits.items()}
        refused = sum(n for key, n in counts.items() if key.startswith("refused: "))
        cold_weight, idle_weight = self._weights
        idle_h = self.idle_s / _S_PER_HOUR
        return {
            "weighted_cost": round(
                cold_weight * self._cold_s + idle_weight * idle_h, 1
            ),
            "start_wait_s": _percentiles(self._starts),
            "calls_within_rate": counts["within rate"],
            "cold_start_s": _percentiles(self._cold),
            "cold_starts": self._cold.get_total_count(),
            "idle_accelerator_hours": round(idle_h, 3),
            "worst_workspace_share": round(min(shares.values(), default=1.0), 4),
            "worst_workspace_wait_p95_s": max(waits.values()),
            "refused_within_rate": refused,
            "refusals_with_retries": counts["refusals"],
            "answered_late": counts["late"],
            "failed": counts["failed"],
            "goodput_tokens_per_s": round(sum(self._served.values()) / duration_s, 1),
        }
