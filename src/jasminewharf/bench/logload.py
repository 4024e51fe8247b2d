"""Load on the replicated log, and its figures."""

import asyncio
import os
import time

from hdrh.histogram import HdrHistogram

from ..services.log import LogService

__all__ = ["GROUP", "Digest", "make_histogram", "propose_for", "record", "summarize"]

GROUP = "fleet"
_MICROSECONDS = 1e6
_LONGEST_US = 60_000_000


class Digest:
    """A state machine that counts commands."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Count a command."""
        self.count += 1
        return b""

    def snapshot(self) -> bytes:
        """Return the count."""
        return b"%d" % self.count

    def restore(self, state: bytes) -> None:
        """Set the count."""
        self.count = int(state)


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds."""
    return HdrHistogram(1, _LONGEST_US, 3)


def record(histogram: HdrHistogram, before: float) -> None:
    """Record the time since ``before``, in seconds of the performance counter."""
    elapsed = time.perf_counter() - before
    histogram.record_value(max(1, int(elapsed * _MICROSECONDS)))


def summarize(histogram: HdrHistogram, seconds: float) -> dict[str, float]:
    """Return rate and percentiles of what was recorded in ``seconds``."""
    return {
        "per_s": round(histogram.get_total_count() / seconds, 1),
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "max_ms": histogram.get_max_value() / 1000,
    }


async def propose_for(
    service: LogService, callers: int, size: int, seconds: float
) -> HdrHistogram:
    """Propose from ``callers`` tasks, each one command of ``size`` bytes at a time."""
    histogram = make_histogram()
    command = os.urandom(size)
    end = time.perf_counter() + seconds

    async def propose() -> None:
        while (before := time.perf_counter()) < end:
            await service.propose(GROUP, command)
            record(histogram, before)

    await asyncio.gather(*[propose() for _ in range(callers)])
    return histogram
