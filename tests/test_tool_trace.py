"""The span tree must survive damaged files, foreign spans and cycles."""

import json

import pytest

from jasminewharf.exceptions import TraceNotFound
from jasminewharf.interfaces.tool_trace import build_tree, read_spans, render_tree
from jasminewharf.tracing import Span


def test_tree_holds_the_spans_below_the_request_and_no_others(tmp_path):
    entry = Span("entry", None, request_id="r-1")
    agent = Span("agent", entry.traceparent)
    engine = Span("backend", agent.traceparent)
    sibling = Span("entry", entry.traceparent, request_id="r-10")
    loop = json.loads(Span("loop", engine.traceparent).end().to_json())
    loop["parentSpanId"] = loop["spanId"]
    lines = [span.end().to_json() for span in (engine, sibling, agent, entry)]
    lines += [Span("other", None, request_id="r-2").end().to_json(), json.dumps(loop)]
    path = tmp_path / "traces.jsonl"
    path.write_text("\n".join([*lines, "[]", '"r-1"', lines[0][:40]]))
    tree = build_tree(read_spans([str(path)], "r-1"), "r-1")
    children = {child.span["name"]: child for child in tree.children}
    assert tree.span["name"] == "entry"
    assert set(children) == {"agent", "entry"}
    assert [c.span["name"] for c in children["agent"].children] == ["backend"]
    assert "loop" not in render_tree(tree)
    with pytest.raises(TraceNotFound):
        build_tree(read_spans([str(path)], "r-3"), "r-3")
    with pytest.raises(TraceNotFound):
        list(read_spans([str(tmp_path / "missing")], "r-1"))
