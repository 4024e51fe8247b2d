"""A weight store with a limited rate and concurrency.

``GET /checkpoints/NAME`` takes as long as a load from the store; beyond the
limits it answers 429 with ``retry-after``. ``GET /adapters/NAME`` takes a few
milliseconds, and proportionally longer beyond ``adapter_slots`` in flight.
"""

import asyncio
import time
from typing import NamedTuple

from .connection import Answer, Request, answer_json
from .server import FakeServer

__all__ = ["FakeStore", "StoreConfig"]


class StoreConfig(NamedTuple):
    """Limits and times of the store; two loads a second, four at once."""

    rate_per_s: float = 2.0
    burst: int = 2
    concurrency: int = 4
    load_s: float = 1.0
    adapter_s: float = 0.004
    adapter_slots: int = 30


class FakeStore(FakeServer):
    """The weight store.

    Attributes:
        loads: Names of the checkpoints served.
        refused: Loads refused because of the rate or the concurrency.
        max_in_flight: Most checkpoint loads at once.
        max_adapters: Most adapter loads at once.
    """

    def __init__(self, config: StoreConfig | None = None) -> None:
        super().__init__()
        self.config = config or StoreConfig()
        self.loads: list[str] = []
        self.refused = 0
        self.in_flight = 0
        self.max_in_flight = 0
        self.adapters_in_flight = 0
        self.max_adapters = 0
        self._level = float(self.config.burst)
        self._level_at = time.monotonic()
        self.route("GET", "/checkpoints/", self._serve_checkpoint)
        self.route("GET", "/adapters/", self._serve_adapter)
        self.route("GET", "/status", self._serve_status)

    async def _serve_checkpoint(self, request: Request) -> Answer:
        config = self.config
        self._refill()
        if self.in_flight >= config.concurrency or self._level < 1:
            self.refused += 1
            return answer_json(
                429, {"error": "rate or concurrency exceeded"}, retry_after="1"
            )
        self._level -= 1
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            await self._work(config.load_s)
        finally:
            self.in_flight -= 1
        name = request.path.removeprefix("/checkpoints/")
        self.loads.append(name)
        return answer_json(200, {"checkpoint": name})

    async def _serve_adapter(self, request: Request) -> Answer:
        config = self.config
        self.adapters_in_flight += 1
        self.max_adapters = max(self.max_adapters, self.adapters_in_flight)
        try:
            crowding = max(1.0, self.adapters_in_flight / config.adapter_slots)
            await self._work(config.adapter_s * crowding)
        finally:
            self.adapters_in_flight -= 1
        return answer_json(200, {"adapter": request.path.removeprefix("/adapters/")})

    async def _serve_status(self, request: Request) -> Answer:
        return answer_json(
            200,
            {
                "rate_per_s": self.config.rate_per_s,
                "concurrency": self.config.concurrency,
                "in_flight": self.in_flight,
                "adapters_in_flight": self.adapters_in_flight,
                "refused": self.refused,
                "max_in_flight": self.max_in_flight,
                "max_adapters": self.max_adapters,
            },
        )

    async def _work(self, seconds: float) -> None:
        """Take ``seconds`` times the slow-down, also if that changes meanwhile."""
        done = 0.0
        while done < seconds:
            step = min(seconds - done, max(seconds / 20, 0.001))
            await asyncio.sleep(step * self.faults.slow)
            done += step

    def _refill(self) -> None:
        now = time.monotonic()
        gained = (now - self._level_at) * self.config.rate_per_s
        self._level = min(float(self.config.burst), self._level + gained)
        self._level_at = now
