"""Splitting streams into whole events."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jasminewharf.decisions.eventstream import EventSplitter
from jasminewharf.exceptions import BackendError

BODY = b"id: 1\ndata: a\n\nx-weights: 3\nid: 2\ndata: b\n\nid: 3\ndata: c"


@given(st.lists(st.integers(1, len(BODY) - 1), max_size=8))
def test_any_chunking_gives_the_same_events(cuts):
    """A server may flush part of an event or several events at once."""
    splitter = EventSplitter()
    edges = [0, *sorted(set(cuts)), len(BODY)]
    events = []
    for start, end in itertools.pairwise(edges):
        events += splitter.feed(BODY[start:end])
    assert [event.number for event in events] == [1, 2]
    assert b"".join(event.data for event in events) + splitter.rest == BODY


def test_partial_event_is_kept_back():
    """A stream resumed at another server must not start with a partial event."""
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\nda") == []
    assert splitter.rest == b"id: 1\nda"


def test_event_without_number_is_marked():
    assert EventSplitter().feed(b"data: x\n\n")[0].number == -1


def test_event_above_the_size_limit_is_an_error():
    """A faulty server sends bytes without an end until the connection closes."""
    splitter = EventSplitter()
    with pytest.raises(BackendError):
        for _ in range(100):
            splitter.feed(b"a" * 65_536)
    assert len(splitter.rest) < 2 * 1024 * 1024


def test_number_with_thousands_of_digits_is_ignored():
    """Its conversion would raise an error that ends the request."""
    events = EventSplitter().feed(b"id: " + b"9" * 5_000 + b"\n\n")
    assert [event.number for event in events] == [-1]
