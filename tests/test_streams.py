"""Reassembled answers are complete or explicitly broken under any frame loss."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jasminewharf import defaults
from jasminewharf.decisions.streams import (
    BROKEN,
    COMPLETE,
    OPEN,
    Reassembly,
    ReplayBuffer,
)
from jasminewharf.exceptions import StreamInterrupted


class Exchange:
    """Sends one answer over a link that loses, duplicates and reorders frames."""

    def __init__(self, seed, loss, buffer_bytes, reassembly=None):
        self.source = random.Random(seed)
        self.loss = loss
        self.replay = ReplayBuffer(buffer_bytes)
        self.entry = reassembly or Reassembly(0.0)
        self.delivered = b""
        self.flight = []
        self.now = 0.0

    def send(self, frame):
        if self.source.random() >= self.loss:
            self.flight.append(frame)
        if self.source.random() < 0.2:
            self.flight.append(frame)

    def deliver(self, kind, offset, data):
        if kind == "chunk":
            self.delivered += b"".join(self.entry.accept(offset, data, self.now))
        else:
            self.entry.end(offset, data, self.now)

    def settle(self):
        self.source.shuffle(self.flight)
        while self.flight:
            self.deliver(*self.flight.pop())

    def resume(self, offset):
        try:
            for at, data in self.replay.read(offset):
                self.send(("chunk", at, data))
        except StreamInterrupted as error:
            self.entry.end(0, error.message, self.now)
            return
        self.send(("end", self.replay.length, ""))

    def run(self, chunks, rounds=60):
        for chunk in chunks:
            self.send(("chunk", self.replay.append(chunk), chunk))
            if self.source.random() < 0.5:
                self.settle()
        self.send(("end", self.replay.length, ""))
        self.settle()
        for _ in range(rounds):
            if self.entry.status != OPEN:
                return
            self.now = self.entry.next_check()
            needed = self.entry.check(self.now)
            if needed is not None:
                self.resume(needed.offset)
            self.settle()


def check_answer(exchange, sent):
    """Check that delivered bytes are a prefix, and all bytes if complete."""
    if exchange.entry.status == COMPLETE and exchange.delivered != sent:
        raise AssertionError("a truncated or altered answer is marked complete")
    if not sent.startswith(exchange.delivered):
        raise AssertionError("delivered bytes are not a prefix of the answer")


_chunks = st.lists(st.binary(min_size=1, max_size=40), max_size=30)


@settings(deadline=None)
@given(_chunks, st.integers(0, 2**32), st.floats(0, 0.6), st.integers(40, 2000))
def test_answer_is_whole_or_explicitly_broken(chunks, seed, loss, buffer_bytes):
    exchange = Exchange(seed, loss, buffer_bytes)
    exchange.run(chunks)
    check_answer(exchange, b"".join(chunks))
    assert exchange.entry.status in (COMPLETE, BROKEN)
    assert (exchange.entry.error != "") == (exchange.entry.status == BROKEN)


@settings(deadline=None)
@given(_chunks, st.integers(0, 2**32))
def test_answer_without_loss_is_complete(chunks, seed):
    exchange = Exchange(seed, 0.0, 1)
    exchange.run(chunks)
    assert exchange.entry.status == COMPLETE
    assert exchange.delivered == b"".join(chunks)


@given(st.integers(0, 2**32), st.integers(0, 20))
def test_overlapping_chunks_with_other_boundaries_give_the_same_bytes(seed, chunks):
    """A resumed stream has other chunk boundaries than the original one."""
    source = random.Random(seed)
    answer = bytes(range(60))
    entry = Reassembly(0.0)
    cuts = [sorted(source.sample(range(61), 2)) for _ in range(chunks)]
    delivered = b""
    for first, last in [*cuts, (0, 30), (20, 60)]:
        delivered += b"".join(entry.accept(first, answer[first:last], 0.0))
        assert answer.startswith(delivered)
    entry.end(len(answer), "", 0.0)
    assert delivered == answer and entry.status == COMPLETE


def test_missing_tail_is_requested_after_the_gap_timeout():
    entry = Reassembly(0.0)
    entry.accept(0, b"abc", 0.0)
    entry.end(10, "", 0.0)
    assert entry.check(defaults.STREAM_GAP_S).offset == 3


def test_read_of_evicted_bytes_is_refused():
    replay = ReplayBuffer(10)
    for _ in range(5):
        replay.append(b"x" * 6)
    assert replay.start > 0
    with pytest.raises(StreamInterrupted):
        replay.read(0)
    with pytest.raises(StreamInterrupted):
        replay.read(31)
    assert b"".join(data for _, data in replay.read(replay.start + 1)) == b"x" * 5


class _IgnoresGaps(Reassembly):
    """An injected fault: delivers chunks as received and accepts any end."""

    def accept(self, offset, data, now):
        return [data]

    def end(self, length, error, now):
        self.status = COMPLETE


def test_answer_check_rejects_a_reassembly_that_ignores_gaps():
    exchange = Exchange(3, 0.5, 2000, _IgnoresGaps(0.0))
    exchange.run([b"one ", b"two ", b"three ", b"four "])
    with pytest.raises(AssertionError):
        check_answer(exchange, b"one two three four ")


def test_gap_that_cannot_be_closed_breaks_the_answer():
    entry = Reassembly(0.0)
    entry.accept(10, b"late", 0.0)
    offsets = []
    while entry.status == OPEN:
        needed = entry.check(entry.next_check())
        offsets += [needed.offset] if needed else []
    assert offsets == [0] * defaults.STREAM_RESUME_ATTEMPTS
    assert entry.status == BROKEN


def test_lost_end_is_requested_again():
    """Without the request, an answer whose end frame is lost would hang."""
    entry = Reassembly(0.0)
    entry.accept(0, b"abc", 0.0)
    assert entry.check(1.0) is None
    assert entry.check(defaults.STREAM_IDLE_S).offset == 3


@pytest.mark.parametrize(
    "frames",
    [
        [("accept", 0, b"abcdef"), ("end", 4, "")],
        [("end", 4, ""), ("accept", 0, b"abcdef")],
        [("accept", 8, b"x"), ("end", 4, "")],
        [("end", 4, ""), ("end", 5, "")],
        [("accept", -1, b"x")],
    ],
)
def test_contradictory_frames_break_the_answer(frames):
    entry = Reassembly(0.0)
    for method, first, second in frames:
        getattr(entry, method)(first, second, 0.0)
    assert entry.status == BROKEN


def test_memory_for_out_of_order_chunks_is_bounded():
    entry = Reassembly(0.0, limit_bytes=100)
    for offset in range(1, 1000):
        entry.accept(offset, b"x", 0.0)
    assert entry._ahead_bytes <= 100
