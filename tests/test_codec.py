"""Malformed bytes on an internal link must raise the typed error, nothing else."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jasminewharf.exceptions import MalformedMessage
from jasminewharf.messages import decode, encode
from jasminewharf.messages.calls import AnswerChunk, AnswerHead, LoadState


def test_round_trip_restores_nested_types():
    head = AnswerHead("r-1", 200, [("a", "b")], LoadState(1, 2, 3, 4.5))
    assert decode(encode(head)) == head


@given(st.binary(max_size=64))
def test_arbitrary_bytes_raise_the_typed_error_or_decode(data):
    try:
        value = decode(data)
    except MalformedMessage:
        return
    assert decode(encode(value)) == value


@pytest.mark.parametrize("cut", range(12))
def test_truncated_message_is_refused(cut):
    data = encode(AnswerChunk("request", 5, b"data"))
    with pytest.raises(MalformedMessage):
        decode(data[:cut])
