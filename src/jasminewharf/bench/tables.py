"""Text tables of measures."""

from statistics import fmean
from typing import Any

__all__ = ["COLUMNS", "average", "format_policies", "format_table"]

# Heading, path of the measure, whether less is better.
COLUMNS = [
    ("cost", ("weighted_cost",), True),
    ("start p99", ("start_wait_s", "p99"), True),
    ("colds", ("cold_starts",), True),
    ("cold p50", ("cold_start_s", "p50"), True),
    ("p95", ("cold_start_s", "p95"), True),
    ("p99", ("cold_start_s", "p99"), True),
    ("idle h", ("idle_accelerator_hours",), True),
    ("share", ("worst_workspace_share",), False),
    ("wait p95", ("worst_workspace_wait_p95_s",), True),
    ("refused", ("refused_within_rate",), True),
    ("late", ("answered_late",), True),
    ("failed", ("failed",), True),
    ("goodput", ("goodput_tokens_per_s",), False),
    ("decided", ("replicas_decided",), True),
    ("reloads", ("reloads_within_60_s",), True),
    ("st.refus", ("store_refusals",), True),
    ("timeouts", ("store_timeouts",), True),
    ("broken", ("broken_promises",), True),
]


def average(runs: dict[str, Any], path: tuple[str, ...]) -> float:
    """Return a measure's mean over the seeds of a policy."""
    values = []
    for run in runs.values():
        value: Any = run
        for name in path:
            value = value[name]
        values.append(value)
    return fmean(values)


def format_table(headings: list[str], rows: list[list[str]]) -> str:
    """Return rows under headings, the first column left-aligned."""
    columns = list(zip(headings, *rows, strict=True))
    widths = [max(len(cell) for cell in column) for column in columns]
    lines = []
    for row in [headings, *rows]:
        cells = [row[0].ljust(widths[0])]
        cells += [c.rjust(w) for c, w in zip(row[1:], widths[1:], strict=True)]
        lines.append("  ".join(cells))
    return "\n".join(lines)


def format_policies(result: dict[str, Any]) -> str:
    """Return a table with a line for each policy, means over the seeds."""
    rows = [
        [name, *(f"{average(runs, path):.4g}" for _, path, _ in COLUMNS)]
        for name, runs in result["policies"].items()
    ]
    faults = ", ".join(result["faults"]) or "none"
    title = f"{result['scenario']} {result['case']}, faults: {faults}"
    return f"{title}\n{format_table(['policy', *(c[0] for c in COLUMNS)], rows)}"
