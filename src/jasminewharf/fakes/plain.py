"""A plain service: orders that must not run twice, beside harmless routes.

Paths may carry a ``/services/NAME`` prefix.

- ``POST /orders`` runs an order; the JSON field ``order`` identifies it.
- ``GET`` and ``HEAD`` on any path, ``PUT /items/NAME``: idempotent.
- ``POST`` on any other path counts as an order without a name.
- ``GET /load``: calls running now and in all.
"""

import asyncio
import time
from collections import Counter
from typing import NamedTuple

from .connection import Answer, Request, answer_json
from .server import FakeServer

__all__ = ["ExecutedOrder", "FakePlainService"]


class ExecutedOrder(NamedTuple):
    """An order that ran."""

    at: float
    order: str
    request_id: str
    idempotency_key: str
    workspace: str


class FakePlainService(FakeServer):
    """The service.

    Args:
        name: Appears in answers.
        work_s: Time that a call takes.
        command_token: If set, calls must carry it in ``x-agent-token``.

    Attributes:
        orders: Orders that ran, in order.
        items: What ``PUT`` stored.
    """

    def __init__(
        self, name: str = "plain", work_s: float = 0.005, command_token: str = ""
    ) -> None:
        super().__init__()
        self.name = name
        self.work_s = work_s
        self.command_token = command_token
        self.orders: list[ExecutedOrder] = []
        self.items: dict[str, bytes] = {}
        self.running = 0
        self.calls = 0
        for method in ("GET", "HEAD", "PUT", "POST", "DELETE", "PATCH"):
            self.route(method, "/", self._serve_call)
        self.route("GET", "/load", self._serve_load)
        self.route("GET", "/fake/orders", self._list_orders)

    def count_repeated(self) -> dict[str, int]:
        """Return the orders that ran more than once, with their counts."""
        counts = Counter(item.order for item in self.orders if item.order)
        return {order: count for order, count in counts.items() if count > 1}

    async def _serve_call(self, request: Request) -> Answer:
        if self.command_token:
            token = request.headers.get("x-agent-token", "")
            if token != self.command_token:
                return answer_json(401, {"error": "unknown agent"})
        path = _strip_prefix(request.path)
        self.running += 1
        self.calls += 1
        try:
            if request.method in ("POST", "PATCH", "DELETE"):
                return await self._run_order(request, path)
            await asyncio.sleep(self.work_s * self.faults.slow)
            return self._serve_harmless(request, path)
        finally:
            self.running -= 1

    async def _run_order(self, request: Request, path: str) -> Answer:
        """Run an order; it takes effect at its start, as a charge would."""
        headers = request.headers
        order = request.json()
        name = str(order.get("order", "")) if isinstance(order, dict) else ""
        executed = ExecutedOrder(
            time.monotonic(),
            name,
            headers.get("x-request-id", ""),
            headers.get("idempotency-key", ""),
            headers.get("x-workspace", ""),
        )
        self.orders.append(executed)
        number = len(self.orders)
        await asyncio.sleep(self.work_s * self.faults.slow)
        return answer_json(
            201, {"service": self.name, "order": name, "number": number, "path": path}
        )

    def _serve_harmless(self, request: Request, path: str) -> Answer:
        if request.method == "PUT":
            self.items[path] = request.body
            return answer_json(200, {"service": self.name, "stored": path})
        if path in self.items:
            return Answer(200, self.items[path], "application/octet-stream")
        return answer_json(
            200, {"service": self.name, "path": path, "query": request.query}
        )

    async def _serve_load(self, request: Request) -> Answer:
        return answer_json(
            200, {"running": self.running, "queued": 0, "calls": self.calls}
        )

    async def _list_orders(self, request: Request) -> Answer:
        orders = [item._asdict() for item in self.orders]
        return answer_json(200, {"orders": orders, "repeated": self.count_repeated()})


def _strip_prefix(path: str) -> str:
    if path.startswith("/services/"):
        parts = path.split("/", 3)
        return "/" + (parts[3] if len(parts) > 3 else "")
    return path
