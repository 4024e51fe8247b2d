"""From a request's identifier to the decision that ended it."""

import json

import pytest

from jasminewharf.exceptions import LinesNotFound
from jasminewharf.interfaces.tool_explain import (
    explain_request,
    read_log_lines,
    render_explanation,
)


def write_logs(folder):
    lines = [
        {"time": 5.2, "node": "entry-2", "event": 850, "request_id": "id-1",
         "text": "request ended", "outcome": "backend_failed", "runs": 1},
        {"time": 5.0, "node": "entry-2", "event": 853, "request_id": "id-1",
         "text": "request waits for its model", "ready_ms": 10},
        {"time": 5.1, "node": "entry-2", "event": 850, "request_id": "id-2",
         "text": "request ended", "outcome": "answered"},
    ]  # fmt: skip
    first = folder / "entry-2.log"
    first.write_text(
        "\n".join([*(f"12.5 entry-2 {json.dumps(line)}" for line in lines), '{"id-1'])
    )
    second = folder / "entry-1.log"
    second.write_text("not a line of id-1\n")
    return [str(first), str(second)]


def test_lines_of_one_request_are_gathered_in_order(tmp_path):
    """A mixed-up order or a foreign line would lead to the wrong cause."""
    files = write_logs(tmp_path)
    explanation = explain_request(read_log_lines(files, "id-1"))
    assert explanation.decision["outcome"] == "backend_failed"
    assert [line["event"] for line in explanation.lines] == [853, 850]
    text = render_explanation(explanation)
    assert text.splitlines()[0].startswith("ended:")
    assert "+200 ms" in text
    assert "id-2" not in text


def test_unknown_request_or_file_is_an_error(tmp_path):
    files = write_logs(tmp_path)
    with pytest.raises(LinesNotFound):
        explain_request(read_log_lines(files, "id-9"))
    with pytest.raises(LinesNotFound):
        explain_request(read_log_lines([str(tmp_path / "none.log")], "id-1"))
