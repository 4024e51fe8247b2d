"""Counters, gauges and histograms in Prometheus' text format.

Histograms are HDR histograms of microseconds with two significant digits, from
1 µs to one hour.
"""

from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1_000_000
_QUANTILES = (0.5, 0.95, 0.99, 1.0)

_Labels = tuple[tuple[str, str], ...]


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, _Labels], float] = {}
        self._gauges: dict[tuple[str, _Labels], Callable[[], float]] = {}
        self._histograms: dict[tuple[str, _Labels], HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + amount

    def counter_value(self, name: str, **labels: str) -> float:
        """Return a counter's value; 0 if it was never counted."""
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def watch(self, name: str, read: Callable[[], float], **labels: str) -> None:
        """Register a gauge that is read when the metrics are rendered."""
        self._gauges[(name, tuple(sorted(labels.items())))] = read

    def unwatch(self, name: str, **labels: str) -> None:
        """Remove a gauge, if there is one."""
        self._gauges.pop((name, tuple(sorted(labels.items()))), None)

    def read_gauge(self, name: str, **labels: str) -> float:
        """Return a gauge's value now; raises ``KeyError`` if there is none."""
        return self._gauges[(name, tuple(sorted(labels.items())))]()

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        value = int(seconds * _US_PER_S)
        histogram.record_value(min(max(value, _LOWEST_US), _HIGHEST_US))

    def render(self) -> str:
        """Return all metrics in Prometheus' text format."""
        return "\n".join([*self._render_values(), *self._render_histograms(), ""])

    def _render_values(self) -> Iterator[str]:
        kinds = (
            ("counter", sorted(self._counters.items())),
            ("gauge", [(key, read()) for key, read in sorted(self._gauges.items())]),
        )
        for kind, samples in kinds:
            last = ""
            for (name, labels), value in samples:
                if name != last:
                    yield f"# TYPE jasminewharf_{name} {kind}"
                    last = name
                yield f"jasminewharf_{name}{_format_labels(labels)} {value:g}"

    def _render_histograms(self) -> Iterator[str]:
        last = ""
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            if name != last:
                yield f"# TYPE jasminewharf_{name} summary"
                last = name
            for quantile in _QUANTILES:
                value = histogram.get_value_at_percentile(quantile * 100) / _US_PER_S
                quantile_labels = (*labels, ("quantile", f"{quantile:g}"))
                yield f"jasminewharf_{name}{_format_labels(quantile_labels)} {value:g}"
            total = histogram.get_total_count()
            seconds = histogram.get_mean_value() * total / _US_PER_S if total else 0.0
            yield f"jasminewharf_{name}_sum{_format_labels(labels)} {seconds:g}"
            yield f"jasminewharf_{name}_count{_format_labels(labels)} {total}"


def _format_labels(labels: _Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return "{" + pairs + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
