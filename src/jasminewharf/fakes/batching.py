"""Continuous batching and the prefix cache of the stand-in engine."""

import asyncio
import heapq
import json
import time
from collections import OrderedDict, deque
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

import xxhash

__all__ = ["Batch", "BatchConfig", "Job", "PrefixCache", "expected_tokens"]

_WORDS = 4096
_STALL_POLL_S = 0.01


def expected_tokens(
    model: str, adapter: str, prompt: bytes, max_tokens: int, ignore_eos: bool = False
) -> list[str]:
    """Return the tokens that the engine generates for a prompt.

    They follow from the arguments alone, so that a checker can tell whether an
    answer belongs to its request and is whole.
    """
    seed = xxhash.xxh3_64_intdigest(f"{model}\0{adapter}\0".encode() + prompt)
    count = max_tokens
    if not ignore_eos and max_tokens > 8:
        half = max_tokens // 2
        count = half + seed % (max_tokens - half + 1)
    return [f" w{(seed + 31 * index) % _WORDS}" for index in range(count)]


class BatchConfig(NamedTuple):
    """Times of the engine, in seconds, and its largest batch."""

    slots: int = 16
    step_s: float = 0.012
    step_per_call_s: float = 0.0004
    prefill_per_token_s: float = 0.00005
    kv_tokens: int = 200_000


class Job:
    """A call in the engine and what it has generated.

    ``output`` holds the bytes of the streamed answer so far; ``changed`` wakes
    every reader.
    """

    def __init__(
        self,
        request_id: str,
        model: str,
        tokens: list[str],
        prompt_tokens: int,
        cached_tokens: int,
        kind: str,
        created: int,
        streamed: bool,
    ) -> None:
        self.request_id = request_id
        self.model = model
        self.tokens = tokens
        self.prompt_tokens = prompt_tokens
        self.cached_tokens = cached_tokens
        self.kind = kind
        self.created = created
        self.generated = 0
        self.output = bytearray()
        self.done = False
        self.cancelled = False
        self.finished_at = 0.0
        self.readers = 0
        self._streamed = streamed
        self._listeners: set[asyncio.Event] = set()
        self._before, self._after = self._split_chunk()

    @property
    def cost(self) -> int:
        """Tokens of KV cache that the call needs at its end."""
        return self.prompt_tokens + len(self.tokens)

    @property
    def usage(self) -> dict[str, object]:
        """The ``usage`` object of the answer."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.generated,
            "total_tokens": self.prompt_tokens + self.generated,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def emit_token(self) -> None:
        """Generate the next token; the last one ends the stream."""
        text = self.tokens[self.generated] if self.tokens else ""
        self.generated = min(self.generated + 1, len(self.tokens))
        if self._streamed:
            self.output += self._before + json.dumps(text).encode() + self._after
        if self.generated == len(self.tokens):
            self._append_end()
            self.finish()
        elif self._streamed:
            self._notify()

    def _append_end(self) -> None:
        if self._streamed:
            final = self._build_chunk("", "stop")
            final["usage"] = self.usage
            self.output += b"data: " + json.dumps(final).encode() + b"\n\n"
            self.output += b"data: [DONE]\n\n"

    def _split_chunk(self) -> tuple[bytes, bytes]:
        """Return what comes before and after the text in the event of a token."""
        chunk = json.dumps(self._build_chunk("@", None))
        before, after = chunk.split('"@"')
        return b"data: " + before.encode(), after.encode() + b"\n\n"

    def finish(self) -> None:
        """Mark the job as ended, by its last token or by a cancel."""
        self.done = True
        self.finished_at = time.monotonic()
        self._notify()

    async def read(self, offset: int) -> AsyncIterator[bytes]:
        """Yield the streamed answer from a byte offset to its end.

        Raises:
            ConnectionAbortedError: If the job was cancelled.
        """
        changed = asyncio.Event()
        self._listeners.add(changed)
        self.readers += 1
        try:
            while True:
                if offset < len(self.output):
                    data = bytes(self.output[offset:])
                    offset += len(data)
                    yield data
                    continue
                if self.cancelled:
                    raise ConnectionAbortedError
                if self.done:
                    return
                changed.clear()
                await changed.wait()
        finally:
            self.readers -= 1
            self._listeners.discard(changed)

    def build_answer(self) -> dict[str, object]:
        """Return the answer that is not streamed."""
        text = "".join(self.tokens[: self.generated])
        choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
        if self.kind == "chat":
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.kind == "chat" else "text_completion"
        return {
            "id": self.request_id,
            "object": kind,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": self.usage,
        }

    def _notify(self) -> None:
        for listener in self._listeners:
            listener.set()

    def _build_chunk(self, text: str, reason: str | None) -> dict[str, object]:
        choice: dict[str, object] = {"index": 0, "finish_reason": reason}
        if self.kind == "chat":
            choice["delta"] = {"content": text} if reason is None else {}
        else:
            choice["text"] = text
        suffix = "chat.completion.chunk" if self.kind == "chat" else "text_completion"
        return {
            "id": self.request_id,
            "object": suffix,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        }


class Batch:
    """Runs jobs in steps; a step takes longer the more calls share it.

    Attributes:
        waiting: Number of jobs that no slot was free for.
        running: Jobs in the batch.
        generated: Tokens generated since the start.
    """

    def __init__(
        self,
        config: BatchConfig,
        slow: Callable[[], float],
        is_stalled: Callable[[], bool],
    ) -> None:
        self.config = config
        self.running: list[Job] = []
        self.generated = 0
        self._slow = slow
        self._is_stalled = is_stalled
        self._heap: list[tuple[int, int, Job]] = []
        self._counter = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> int:
        """Number of jobs that wait for a place in the batch."""
        return sum(1 for _, _, job in self._heap if not job.done)

    @property
    def kv_used(self) -> int:
        """Tokens of KV cache reserved by running jobs."""
        return sum(job.cost for job in self.running)

    def submit(self, job: Job, priority: int) -> None:
        """Add a job; a lower priority number runs first."""
        self._counter += 1
        heapq.heappush(self._heap, (priority, self._counter, job))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def cancel(self, job: Job) -> None:
        """End a job at once; its slot is free from the next step."""
        if not job.done:
            job.cancelled = True
            job.finish()

    def clear(self) -> None:
        """Drop everything, as a crash would."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        for job in [*self.running, *(job for _, _, job in self._heap)]:
            self.cancel(job)
        self.running.clear()
        self._heap.clear()

    async def _run(self) -> None:
        while self.running or self._heap:
            while self._is_stalled():
                await asyncio.sleep(_STALL_POLL_S)
            entered = self._admit()
            await asyncio.sleep(self._measure_step(entered) * self._slow())
            self.running = [job for job in self.running if not job.done]
            for job in self.running:
                job.emit_token()
            self.generated += len(self.running)
            self.running = [job for job in self.running if not job.done]

    def _admit(self) -> list[Job]:
        entered = []
        used = self.kv_used
        while self._heap and len(self.running) < self.config.slots:
            job = self._heap[0][2]
            if job.done:
                heapq.heappop(self._heap)
                continue
            if self.running and used + job.cost > self.config.kv_tokens:
                break
            heapq.heappop(self._heap)
            self.running.append(job)
            used += job.cost
            entered.append(job)
        return entered

    def _measure_step(self, entered: list[Job]) -> float:
        config = self.config
        prefill = sum(job.prompt_tokens - job.cached_tokens for job in entered)
        return (
            config.step_s
            + config.step_per_call_s * len(self.running)
            + config.prefill_per_token_s * prefill
        )


class PrefixCache:
    """Prompt blocks in limited memory, least recently used evicted first.

    Events are published ``lag_s`` late, and a share of them is lost; ``sequence``
    is the number of the last one.
    """

    def __init__(
        self, blocks: int, lag_s: float, lose: Callable[[], bool], log_limit: int = 4096
    ) -> None:
        self.lag_s = lag_s
        self._limit = blocks
        self._lose = lose
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, int, str, int]] = deque(maxlen=log_limit)
        self.sequence = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def use(self, hashes: list[int]) -> int:
        """Take a prompt's blocks into the cache; return how many were there."""
        cached = 0
        for block in hashes:
            if block not in self._blocks:
                break
            cached += 1
        for block in hashes:
            if block not in self._blocks:
                self._log("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            evicted, _ = self._blocks.popitem(last=False)
            self._log("evicted", evicted)
        return cached

    def restart(self) -> None:
        """Empty the cache and count events from 1 again, as a new process does."""
        self._blocks.clear()
        self._events.clear()
        self.sequence = 0

    def read_events(self, after: int, limit: int) -> list[tuple[int, str, int]]:
        """Return published events with a sequence above ``after``."""
        horizon = time.monotonic() - self.lag_s
        return [
            (sequence, kind, block)
            for at, sequence, kind, block in self._events
            if sequence > after and at <= horizon
        ][:limit]

    def _log(self, kind: str, block: int) -> None:
        self.sequence += 1
        if not self._lose():
            self._events.append((time.monotonic(), self.sequence, kind, block))
