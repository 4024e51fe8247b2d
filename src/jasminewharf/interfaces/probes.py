"""What the platform asks of a process besides its work: readiness and metrics."""

import json
from typing import Any, ClassVar
from urllib.parse import parse_qsl, urlsplit

from ..kernel import Kernel, Service
from ..services.preview import PreviewQuestion, preview_request
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
    """Serves a process' metrics, and what else operators ask of one process.

    At ``/ready`` it tells whether a control host can work, and at ``/where`` where an
    entry would send a request.
    """

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
        if request.target.startswith("/where?") and self.kernel.has("server-chooser"):
            self._answer_where(request, responder)
            return
        metrics: Any = self.kernel.find("process").metrics
        text = [("content-type", "text/plain; version=0.0.4")]
        responder.respond(200, text, metrics.render().encode())

    def _answer_where(self, request: Request, responder: Responder) -> None:
        given = dict(parse_qsl(urlsplit(request.target).query))
        try:
            tokens = max(int(given.pop("tokens", "0")), 0)
            question = PreviewQuestion(
                **{"host": "", "path": "/", **given}, tokens=tokens
            )
        except (TypeError, ValueError) as error:
            text = [("content-type", "text/plain")]
            responder.respond(400, text, f"{error}\n".encode())
            return
        preview = preview_request(self.kernel, question)
        head = [("content-type", "application/json")]
        responder.respond(200, head, json.dumps(preview).encode())

    def _answer_ready(self, responder: Responder) -> None:
        text = [("content-type", "text/plain")]
        log: Any = self.kernel.find("log")
        if any(not log.leader(group) for group in log.groups):
            responder.respond(503, text, b"no leader\n")
        else:
            responder.respond(200, text, b"ready\n")
