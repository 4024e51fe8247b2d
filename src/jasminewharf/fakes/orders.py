"""Orders under ``/admin`` that the stand-in engine takes."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .engine import FakeEngine

__all__ = ["EngineOrders", "Order"]

Order = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


class EngineOrders:
    """The orders of one engine.

    Attributes:
        table: The function behind each path; it returns the answer's fields.
    """

    def __init__(self, engine: "FakeEngine") -> None:
        self._engine = engine
        self.table: dict[str, Order] = {
            "/admin/models/load": self._load_model,
            "/admin/models/unload": self._unload_model,
            "/admin/models/version": self._change_version,
            "/admin/adapters/load": self._load_adapter,
            "/admin/adapters/unload": self._unload_adapter,
            "/admin/role": self._change_role,
            "/admin/cancel": self._cancel_call,
        }

    async def _load_model(self, order: dict[str, Any]) -> dict[str, Any]:
        model = self._engine.models.load(
            order["model"], str(order.get("version", "")), int(order["fence"])
        )
        return {"state": model.state}

    async def _unload_model(self, order: dict[str, Any]) -> dict[str, Any]:
        name = order["model"]
        self._engine.models.unload(name, int(order["fence"]))
        for job in self._engine.jobs.values():
            if job.model == name:
                self._engine.batch.cancel(job)
        return {"state": "gone"}

    async def _change_version(self, order: dict[str, Any]) -> dict[str, Any]:
        await self._engine.models.change_version(
            order["model"], str(order["version"]), int(order["fence"])
        )
        return {"state": "loaded"}

    async def _load_adapter(self, order: dict[str, Any]) -> dict[str, Any]:
        await self._engine.models.load_adapter(
            order["model"], order["adapter"], int(order["fence"])
        )
        return {"state": "loaded"}

    async def _unload_adapter(self, order: dict[str, Any]) -> dict[str, Any]:
        self._engine.models.unload_adapter(
            order["model"], order["adapter"], int(order["fence"])
        )
        return {"state": "gone"}

    async def _change_role(self, order: dict[str, Any]) -> dict[str, Any]:
        self._engine.models.check_role_fence(int(order["fence"]))
        self._engine.role = str(order["role"])
        return {"state": self._engine.role}

    async def _cancel_call(self, order: dict[str, Any]) -> dict[str, Any]:
        job = self._engine.jobs.get(order["request_id"])
        if job is None or job.done:
            return {"state": "unknown"}
        self._engine.batch.cancel(job)
        return {"state": "cancelled"}
