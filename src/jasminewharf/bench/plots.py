"""Plots of measures."""

from typing import Any

from .tables import COLUMNS, average

__all__ = ["plot_policies"]

_SHOWN = ("p99", "idle h", "share", "refused", "goodput")


def plot_policies(result: dict[str, Any], path: str) -> None:
    """Write bars of the main measures, one panel each, to an image file."""
    # Imported here: matplotlib takes 0.5 s to import and few runs plot.
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    policies = result["policies"]
    shown = [column for column in COLUMNS if column[0] in _SHOWN]
    figure = Figure(figsize=(3 * len(shown), 4), layout="constrained")
    FigureCanvasAgg(figure)
    figure.suptitle(f"{result['scenario']} {result['case']}")
    for axes, (heading, measure, _) in zip(
        figure.subplots(1, len(shown)), shown, strict=True
    ):
        values = [average(runs, measure) for runs in policies.values()]
        axes.bar(list(policies), values)
        axes.set_title(heading)
        axes.tick_params(axis="x", rotation=90)
    figure.savefig(path)
