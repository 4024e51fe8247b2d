"""The per-host pressure rule, kept for comparison with the chosen pacing rule."""

from ..decisions.pacing import PACING_RULES
from ..registry import register

__all__ = ["HostPressureRule"]

_PER_LOAD = 1.0
_PER_FAILURE = 10.0
_PER_SLOW_LOAD = 5.0
_SLOW_FACTOR = 1.75
_HALF_LIFE_S = 30.0
_SPACING_MAX_S = 30.0


@register(PACING_RULES, "host-pressure")
class HostPressureRule:
    """Spacing per host that grows with recent loads, failures and slowness.

    The spacing is ``base x (1 + pressure / 10)``, at most 30 s. A load adds 1 to the
    pressure, a slow one 5 more and a failed one 10 more; the pressure decays by half
    in 30 s.
    """

    per_host = True

    def __init__(self, loads_per_s: float, burst: int) -> None:
        self._base_s = 1 / loads_per_s
        self._pressure: dict[str, tuple[float, float]] = {}
        self._last: dict[str, float] = {}

    def pressure(self, host: str, now: float) -> float:
        """Return the decayed pressure of ``host``."""
        value, at = self._pressure.get(host, (0.0, now))
        halvings = max(0.0, now - at) / _HALF_LIFE_S
        return value * 0.5**halvings

    def earliest(self, host: str, running: int, now: float) -> float:
        """Return when the host's spacing since its last load has passed."""
        spacing = self._base_s * (1 + self.pressure(host, now) / 10)
        spacing = min(spacing, _SPACING_MAX_S)
        return self._last.get(host, float("-inf")) + spacing

    def note_start(self, host: str, now: float) -> None:
        """Add the pressure of one load."""
        self._last[host] = now
        self._add(host, _PER_LOAD, now)

    def note_end(self, host: str, slowdown: float, failed: bool, now: float) -> None:
        """Add pressure after a failed or slow load."""
        if failed:
            self._add(host, _PER_FAILURE, now)
        elif slowdown > _SLOW_FACTOR:
            self._add(host, _PER_SLOW_LOAD, now)

    def _add(self, host: str, amount: float, now: float) -> None:
        self._pressure[host] = (self.pressure(host, now) + amount, now)
