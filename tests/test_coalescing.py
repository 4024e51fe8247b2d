"""Coalescing keeps frames in order and limits their delay and message rate."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from jasminewharf import defaults
from jasminewharf.decisions.coalescing import Coalescer, choose_delay


def run_streams(seed, streams, interval_s, peers, seconds, delay_s):
    """Return the number of messages per second and the delay of each frame."""
    source = random.Random(seed)
    coalescer = Coalescer(delay_s)
    phases = [source.uniform(0, interval_s) for _ in range(streams)]
    ticks = sorted(
        (phases[stream] + step * interval_s, stream)
        for stream in range(streams)
        for step in range(int(seconds / interval_s))
    )
    messages, waits = 0, []
    for at, stream in ticks:
        while (due := coalescer.next_due()) is not None and due <= at:
            for batch in coalescer.flush(due):
                messages += 1
                waits += [due - added for added in batch.frames]
        batch = coalescer.add(f"e{stream % peers}", at, 60, at)
        if batch:
            messages += 1
            waits += [at - added for added in batch.frames]
    return messages / seconds, waits


@settings(deadline=None)
@given(st.integers(0, 1000))
def test_3100_tokens_a_second_to_two_entries_need_under_110_messages(seed):
    interval_s = 0.015
    delay_s = choose_delay(interval_s)
    rate, waits = run_streams(seed, 46, interval_s, 2, 1.0, delay_s)
    assert rate < 110
    assert max(waits) + interval_s < defaults.COALESCE_TOKEN_GAP_S


def test_large_or_urgent_batches_go_at_once_in_order():
    coalescer = Coalescer(0.02, limit_bytes=100)
    assert coalescer.add("e", 1, 60, 0.0) is None
    assert coalescer.add("e", 2, 60, 0.0).frames == [1, 2]
    assert coalescer.add("e", 3, 1, 0.0) is None
    assert coalescer.add("e", 4, 1, 0.0, urgent=True).frames == [3, 4]
    assert coalescer.next_due() is None


def test_graceful_stop_sends_pending_frames():
    coalescer = Coalescer(0.02)
    coalescer.add("a", 1, 1, 0.0)
    coalescer.add("b", 2, 1, 0.0)
    assert {batch.peer for batch in coalescer.flush_all()} == {"a", "b"}
    assert coalescer.flush_all() == []
