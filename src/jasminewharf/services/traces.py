"""Writes the process' finished spans to its trace file."""

import asyncio
from typing import ClassVar

from .. import defaults
from ..kernel import Kernel, Service
from ..tracing import SpanSink

__all__ = ["Traces"]


class Traces(Service):
    """Owns the span sink of a process."""

    name: ClassVar[str] = "traces"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.sink = SpanSink(kernel.settings.trace_file)

    async def start(self) -> None:
        """Start writing at intervals."""
        self.spawn(self._write_forever())

    async def stop(self) -> None:
        """Write what is left."""
        await super().stop()
        self.sink.write()

    async def _write_forever(self) -> None:
        while True:
            await asyncio.sleep(defaults.SPAN_WRITE_INTERVAL_S)
            await asyncio.to_thread(self.sink.write)
