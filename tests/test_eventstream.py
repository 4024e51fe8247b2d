"""Splitting streams into whole events."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jasminewharf.decisions.eventstream import (
    EventSplitter,
    StreamEvent,
    StreamPosition,
)
from jasminewharf.exceptions import AnswerBroken, BackendError

BODY = b"id: 1\ndata: a\n\nx-weights: 3\nid: 2\ndata: b\n\nid: 3\ndata: c"


@given(
    st.sampled_from([BODY, BODY.replace(b"\n", b"\r\n")]),
    st.lists(st.integers(1, len(BODY) - 1), max_size=8),
)
def test_any_chunking_gives_the_same_events(body, cuts):
    """A server may flush part of an event or several events at once."""
    splitter = EventSplitter()
    edges = [0, *sorted(set(cuts)), len(body)]
    events = []
    for start, end in itertools.pairwise(edges):
        events += splitter.feed(body[start:end])
    assert [event.number for event in events] == [1, 2]
    assert b"".join(event.data for event in events) + splitter.rest == body


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


@pytest.mark.parametrize(
    ("first", "second", "is_taken"),
    [
        ([1, 2, 3], [4, 5], True),
        ([1, 2, 3], [1, 2, 3, 4], True),
        ([1, 2, 3], [5], False),
        ([1], [3], False),
        # Numbers that rise by more than one tell nothing about what is missing.
        ([6, 12], [24], True),
        ([1, 2, 5], [9], True),
        ([1, 2, 3], [-1, 4], False),
        ([1, 2, 3], [4, -1, 5], True),
        ([1, 2, 3], [], False),
        ([1, 2, 3], [3], False),
    ],
)
def test_events_of_another_server_follow_those_the_caller_has(first, second, is_taken):
    """Events were missing or of unknown place where a stream went on elsewhere."""
    position = StreamPosition(-1)
    assert all(position.accept(StreamEvent(n, b"data: x\n\n")) for n in first)
    position.resume()
    try:
        for number in second:
            position.accept(StreamEvent(number, b"data: x\n\n"))
        position.check_end()
    except AnswerBroken:
        assert not is_taken
    else:
        assert is_taken


def test_stream_without_numbers_is_not_resumed():
    """The second server would send the events that the caller has once more."""
    position = StreamPosition(-1)
    position.accept(StreamEvent(-1, b": comment\n\n"))
    assert position.can_resume
    position.accept(StreamEvent(-1, b"data: x\n\n"))
    assert not position.can_resume


@pytest.mark.parametrize(
    "rest",
    [
        b"HTTP/1.1 500 Error\r\ncontent-length: 4\r\n\r\n",
        b"HTTP/1.1 500 Error\n\n",
        b'{"error": "failed"}\n\n',
        b"<html>\n\n",
    ],
)
def test_error_behind_the_events_of_a_server_is_none_of_them(rest):
    """A server that failed wrote its error, at times its head, into its own stream."""
    splitter, position = EventSplitter(), StreamPosition(-1)
    for sent in splitter.feed(b"id: 1\ndata: a\n\nretry: 5\n\n"):
        assert position.accept(sent)
    with pytest.raises(AnswerBroken):
        for sent in splitter.feed(rest):
            position.accept(sent)
        # What completes no event is not passed on.
        if splitter.rest:
            raise AnswerBroken("the stream ended inside an event")


def test_head_of_an_error_inside_the_first_event_is_no_event():
    """It ended the event, which was passed on with the head in it."""
    with pytest.raises(BackendError):
        EventSplitter().feed(b"id: 1\ndHTTP/1.1 500 Error\r\ncontent-length: 4\r\n\r\n")
