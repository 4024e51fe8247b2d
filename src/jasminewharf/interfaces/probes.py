"""What the platform asks of a process besides its work: readiness and metrics."""

from typing import Any, ClassVar

from ..kernel import Kernel, Service
from ..settings import LimitSettings, split_address
from .http import HttpServer, Request, Responder
from .refusals import render_refusal

__all__ = ["MetricsHttp", "Readiness"]

# Nobody needs a body to ask these questions, nor many connections.
_BODY_BYTES = 64 * 1024
_CONNECTIONS = 64


def _limit(limits: LimitSettings) -> LimitSettings:
    return limits._replace(
        body_bytes=min(limits.body_bytes, _BODY_BYTES),
        connections=min(limits.connections, _CONNECTIONS),
    )


class Readiness(Service):
    """Tells the balancer whether this entry takes new connections."""

    name: ClassVar[str] = "readiness"
    requires: ClassVar[tuple[str, ...]] = ("process", "gateway")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._http = HttpServer(
            self._handle,
            render_refusal,
            _limit(kernel.settings.limits),
            memory=kernel.find("process").request_memory,
        )

    async def start(self) -> None:
        """Listen for the balancer."""
        host, port = split_address(self.kernel.settings.fleet.ready_listen)
        await self._http.listen(host, port)

    async def stop(self) -> None:
        """Close all connections."""
        await super().stop()
        await self._http.close()

    async def _handle(self, request: Request, responder: Responder) -> None:
        is_ready = self.kernel.find("gateway").is_ready()
        text = [("content-type", "text/plain")]
        if is_ready:
            responder.respond(200, text, b"ready\n")
        else:
            responder.respond(503, text, b"not ready\n")


class MetricsHttp(Service):
    """Serves a process' metrics, and at ``/ready`` whether a control host can work."""

    name: ClassVar[str] = "metrics-http"
    requires: ClassVar[tuple[str, ...]] = ("process",)

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._http = HttpServer(
            self._handle,
            render_refusal,
            _limit(kernel.settings.limits),
            memory=kernel.find("process").request_memory,
        )

    async def start(self) -> None:
        """Listen for scrapes."""
        host, port = split_address(self.kernel.settings.fleet.metrics_listen)
        await self._http.listen(host, port)

    async def stop(self) -> None:
        """Close all connections."""
        await super().stop()
        await self._http.close()

    async def _handle(self, request: Request, responder: Responder) -> None:
        if request.target == "/ready" and self.kernel.has("log"):
            self._answer_ready(responder)
            return
        metrics: Any = self.kernel.find("process").metrics
        text = [("content-type", "text/plain; version=0.0.4")]
        responder.respond(200, text, metrics.render().encode())

    def _answer_ready(self, responder: Responder) -> None:
        text = [("content-type", "text/plain")]
        log: Any = self.kernel.find("log")
        if any(not log.leader(group) for group in log.groups):
            responder.respond(503, text, b"no leader\n")
        else:
            responder.respond(200, text, b"ready\n")
