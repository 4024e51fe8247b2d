"""Fixed seeds for hypothesis, and the list of known failures.

Tests that KNOWN-RED.txt lists are passed over and printed;
``JASMINEWHARF_KNOWN_RED=run`` runs them all the same. Hypothesis draws the same
examples in every run, so that a run's verdict can be repeated;
``JASMINEWHARF_RANDOM_EXAMPLES=1`` lets it draw new ones.
"""

import os
from pathlib import Path

import zmq
from hypothesis import settings

_LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"

settings.register_profile(
    "repeatable",
    # Slow machines must not fail a test for its speed.
    deadline=None,
    derandomize=not os.environ.get("JASMINEWHARF_RANDOM_EXAMPLES"),
    database=None,
)
settings.load_profile("repeatable")


def _leave_context_open(context):
    """Do not end a context that a failed test has left open.

    A garbage collection that frees it together with its sockets no longer finds them,
    so that the context waits for ever for them to be closed, and the worker hangs.
    """


zmq.Context.__del__ = _leave_context_open


def read_known_red():
    """Return the node identifiers in the list: lines that begin with tests/."""
    if not _LIST.exists():
        return []
    lines = _LIST.read_text(encoding="utf-8").splitlines()
    return [line.strip() for line in lines if line.startswith("tests/")]


def pytest_collection_modifyitems(config, items):
    known = set(read_known_red())
    if os.environ.get("JASMINEWHARF_KNOWN_RED") == "run":
        return
    passed_over = [item for item in items if item.nodeid in known]
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)
        items[:] = [item for item in items if item.nodeid not in known]


def pytest_terminal_summary(terminalreporter):
    for name in read_known_red():
        terminalreporter.write_line(f"known red, passed over: {name}")
