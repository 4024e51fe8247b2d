"""The pace of backend servers: how long work takes on each, and how much it is given.

A server may report how long work takes on its host at this moment. Where it does not,
its pace is learned from its answers, compared with those of the other servers of the
service at a similar load. A server that is new or has returned gets few requests at
first; the share of its slots that is used, its window, grows with timely answers.

Each node keeps its own estimates. One that has heard nothing takes each server for a
usual one.
"""

import math
from collections import OrderedDict
from typing import NamedTuple

from .. import defaults

__all__ = [
    "AnswerSample",
    "BALANCING_MODES",
    "PaceChange",
    "PaceMean",
    "ServerPace",
    "ServicePace",
]

# ``load``: by load alone; ``pace``: always by pace; ``auto``: by pace from the first
# report of a pace by a server of the service on.
BALANCING_MODES = ("auto", "pace", "load")

_NEVER = float("-inf")
_PERCENT = 100.0
# A pace outside of this range is taken for a measuring fault and bounded.
_FACTOR_MIN = 0.2
_FACTOR_MAX = 10.0
# The same of what is learned from answers, which other causes disturb as well.
_LEARNED_MAX = math.log(3.0)
# How fast a reported pace is outdated: hosts change theirs many times a second.
_TOLD_DECAY_S = 0.3
# Reports that the mean of reports counts for at most; one report is mostly noise.
_TOLD_SAMPLES = 16
# The same of answers, for the server and for the service's baselines.
_LEARNED_GAIN = 0.1
_BASELINE_SAMPLES = 50
# Largest step by one answer, in units of the logarithm.
_OUTLIER = 1.0
# Pull of a learned pace towards the usual one; without it, the paces of all servers
# and the baselines could drift in opposite directions.
_LEARNED_PULL = 0.002
_LEARNED_DECAY_S = 300.0
# Load levels whose answers are compared with each other.
_LOAD_LEVELS = 4
_BASELINES_LIMIT = 256
# Share of its slots that a server is given at first.
_WINDOW_FIRST = 0.125
# The least that late answers leave.
_WINDOW_LEAST = 0.2
# Part of the window from which on its size can be why an answer was late.
_USED_PART = 0.5
# Time to double the window, below the share at which an answer was last late and above.
_FAST_DOUBLING_S = 1.0
_SLOW_DOUBLING_S = 8.0
# Factors of the window for a timely and for a late answer.
_TIMELY_GROWTH = 1.15
_LATE_CUT = 0.75
# Answers to requests sent before a cut say nothing of the smaller window.
_CUT_INTERVAL_S = 1.0
# How long a report of waiting requests keeps the window from growing.
_QUEUE_HOLD_S = 0.5
# Ratio of neighbouring steps in which a pace is logged and compared between engines.
_STEP = math.log(1.25)
# Part of a step by which the pace has to pass a step's edge.
_STEP_MARGIN = 0.2


class AnswerSample(NamedTuple):
    """The time that a part of an answer took.

    ``kind`` names what is comparable, such as the gap between events. ``load`` is the
    server's load per slot when the request was sent. ``target_s`` is the time in which
    the caller expects it; 0 if there is none.
    """

    kind: str
    seconds: float
    load: float
    target_s: float = 0.0

    @property
    def is_late(self) -> bool:
        """Whether it took longer than the caller expects."""
        return 0 < self.target_s < self.seconds


class PaceChange(NamedTuple):
    """A change to be logged: ``kind`` is pace, restarted, cut or full."""

    kind: str
    reason: str
    factor: float
    window: float


class PaceMean:
    """Mean of the paces that an agent has lately read from its engine.

    Attributes:
        percent: The mean, 100 as usual; 0 before the first read.
    """

    __slots__ = ("_samples", "percent")

    def __init__(self) -> None:
        self.percent = 0.0
        self._samples = 0

    def add(self, percent: float) -> None:
        """Count a reported pace."""
        self._samples = min(self._samples + 1, defaults.PACE_AGENT_SAMPLES)
        self.percent += (percent - self.percent) / self._samples


class _Baseline:
    """Logarithm of the usual server's time for one kind of answer and level of load."""

    __slots__ = ("samples", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def update(self, value: float) -> float:
        """Count a measured value; return its deviation from the baseline before."""
        if self.samples == 0:
            self.value = value
        error = _bound(value - self.value, -_OUTLIER, _OUTLIER)
        self.samples = min(self.samples + 1, _BASELINE_SAMPLES)
        self.value += error / self.samples
        return error


class ServicePace:
    """What the paces of a service's servers have in common.

    Attributes:
        is_active: Whether decisions about the service's servers consider their pace.
    """

    __slots__ = ("_baselines", "_mode", "is_active")

    def __init__(self, mode: str = "auto") -> None:
        self._mode = mode
        self.is_active = mode == "pace"
        self._baselines: OrderedDict[tuple[str, int], _Baseline] = OrderedDict()

    def note_told(self) -> None:
        """Note that a server has reported its pace."""
        self.is_active = self._mode != "load"

    def compare(self, sample: AnswerSample, known: float) -> float:
        """Return by how much a server that is known so far deviates in an answer.

        Args:
            sample: The answer.
            known: Logarithm of the server's pace as known.

        Returns:
            The deviation, as a logarithm.
        """
        level = min(int(max(sample.load, 0.0) * _LOAD_LEVELS), _LOAD_LEVELS)
        key = (sample.kind, level)
        baseline = self._baselines.pop(key, None) or _Baseline()
        self._baselines[key] = baseline
        if len(self._baselines) > _BASELINES_LIMIT:
            self._baselines.popitem(last=False)
        return baseline.update(math.log(max(sample.seconds, 1e-6)) - known)


class ServerPace:
    """The pace and the window of one incarnation of a server, as a node knows them."""

    __slots__ = (
        "_changes",
        "_full_reported",
        "_grown_at",
        "_held_until",
        "_late_at",
        "_learned",
        "_learned_at",
        "_step",
        "_threshold",
        "_told",
        "_told_at",
        "_told_samples",
        "_usual",
        "_window",
        "service",
    )

    def __init__(self, service: ServicePace | None = None) -> None:
        self.service = service or ServicePace()
        self._told = 1.0
        self._told_at = _NEVER
        # Mean of what was reported; an assumed first report of the usual pace counts.
        self._usual = 1.0
        self._told_samples = 1
        self._learned = 0.0
        self._learned_at = _NEVER
        self._window = 1.0
        self._grown_at = _NEVER
        self._threshold = 1.0
        self._late_at = _NEVER
        self._held_until = _NEVER
        self._step = 0
        self._full_reported = True
        self._changes: list[PaceChange] = []

    @property
    def is_active(self) -> bool:
        """Whether decisions consider the pace of the server."""
        return self.service.is_active

    # Pace.

    def note_told(self, percent: float, at: float) -> None:
        """Record a pace that the server or its agent has reported.

        Args:
            percent: How long work takes; 100 as usual.
            at: When it was measured; an older report than the last is dropped.
        """
        if at <= self._told_at or not percent > 0:
            return
        self.service.note_told()
        self._told = _bound(percent / _PERCENT, _FACTOR_MIN, _FACTOR_MAX)
        self._told_at = at
        self._told_samples = min(self._told_samples + 1, _TOLD_SAMPLES)
        self._usual += (self._told - self._usual) / self._told_samples

    def note_answer(self, sample: AnswerSample, now: float) -> None:
        """Learn from the time that a part of an answer took."""
        if not self.service.is_active or not sample.seconds > 0:
            return
        learned = self._read_learned(now)
        error = self.service.compare(sample, learned + math.log(self._usual))
        learned += _LEARNED_GAIN * error - _LEARNED_PULL * learned
        self._learned = _bound(learned, -_LEARNED_MAX, _LEARNED_MAX)
        self._learned_at = now
        self._note_timeliness(sample, now)

    def usual_factor(self, now: float) -> float:
        """Return the server's usual pace; 1.0 is that of the service's usual server."""
        if not self.service.is_active:
            return 1.0
        return self._usual * math.exp(self._read_learned(now))

    def factor(self, now: float) -> float:
        """Return the pace at this moment; 2.0 if work takes twice as long as usual.

        The last reported pace fades into the server's usual one.
        """
        usual = self.usual_factor(now)
        age_s = now - self._told_at
        if not self.service.is_active or age_s > 10 * _TOLD_DECAY_S:
            return usual
        part = math.exp(-max(age_s, 0.0) / _TOLD_DECAY_S)
        return usual * (1.0 + (self._told / self._usual - 1.0) * part)

    def step_factor(self, now: float) -> float:
        """Return the usual pace, rounded to steps so that nodes mostly agree on it."""
        self._update_step(now)
        return math.exp(self._step * _STEP)

    def _read_learned(self, now: float) -> float:
        if self._learned_at == _NEVER:
            return 0.0
        return self._learned * math.exp(-(now - self._learned_at) / _LEARNED_DECAY_S)

    def _update_step(self, now: float) -> None:
        place = math.log(self.usual_factor(now)) / _STEP
        if abs(place - self._step) > 0.5 + _STEP_MARGIN:
            self._step = round(place)
            self._note_change("pace", self._describe_source(now), now)

    # Window.

    def restart(self, now: float, reason: str) -> None:
        """Begin with a small window: the server is new here or has returned."""
        self._window = _WINDOW_FIRST
        self._grown_at = now
        self._threshold = 1.0
        self._full_reported = False
        self._note_change("restarted", reason, now)

    def window(self, now: float) -> float:
        """Return the share of the server's slots that requests may use, up to 1.0."""
        if not self.service.is_active:
            return 1.0
        if self._window < 1.0:
            self._grow(now)
        return self._window

    def note_queue(self, waiting: int, at: float) -> None:
        """Keep the window from growing while requests wait at the server."""
        if waiting > 0 and self._window < 1.0:
            self._held_until = max(self._held_until, at + _QUEUE_HOLD_S)

    def _note_timeliness(self, sample: AnswerSample, now: float) -> None:
        if not sample.target_s:
            return
        window = self.window(now)
        if not sample.is_late:
            if window < self._threshold:
                self._window = min(window * _TIMELY_GROWTH, self._threshold)
            return
        if now - self._late_at < _CUT_INTERVAL_S:
            return
        if sample.load < _USED_PART * window:
            # With so few requests it was late for another reason, such as its length.
            return
        self._late_at = now
        self._grown_at = now
        used = min(window, sample.load)
        self._window = max(used * _LATE_CUT, _WINDOW_LEAST)
        self._threshold = self._window
        self._full_reported = False
        self._note_change("cut", sample.kind, now)

    def _grow(self, now: float) -> None:
        """Grow the window with the time since it was last read."""
        start = max(self._grown_at, self._held_until)
        elapsed_s = now - start
        if elapsed_s <= 0:
            return
        self._grown_at = now
        if self._window < self._threshold:
            needed = math.log2(self._threshold / self._window) * _FAST_DOUBLING_S
            fast_s = min(elapsed_s, needed)
            self._window *= 2.0 ** (fast_s / _FAST_DOUBLING_S)
            elapsed_s -= fast_s
        self._window = min(self._window * 2.0 ** (elapsed_s / _SLOW_DOUBLING_S), 1.0)

    # Changes to be logged.

    def take_changes(self, now: float) -> list[PaceChange]:
        """Return the changes since the last call."""
        if not self.service.is_active:
            self._changes.clear()
            return []
        self._update_step(now)
        if not self._full_reported and self.window(now) >= 1.0:
            self._full_reported = True
            self._note_change("full", "", now)
        changes, self._changes = self._changes, []
        return changes

    def _describe_source(self, now: float) -> str:
        told = abs(math.log(self._usual))
        return "reported" if told >= abs(self._read_learned(now)) else "answers"

    def _note_change(self, kind: str, reason: str, now: float) -> None:
        if len(self._changes) < defaults.PACE_CHANGES_LIMIT:
            change = PaceChange(kind, reason, self.usual_factor(now), self._window)
            self._changes.append(change)


def _bound(value: float, low: float, high: float) -> float:
    return min(max(value, low), high)
