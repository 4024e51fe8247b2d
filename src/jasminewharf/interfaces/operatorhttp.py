"""Operators' calls for configurations and evacuations over HTTP."""

import json
from typing import ClassVar

from ..dialects.fleet import OPERATOR_DIALECTS, EvacuationCall
from ..exceptions import (
    ConfigurationRefused,
    ConsensusError,
    LinkError,
    Refusal,
    ShuttingDown,
    StorageFull,
    Unconfirmed,
    UnknownZone,
)
from ..kernel import Kernel, Service
from ..registry import lookup
from ..settings import LimitSettings, split_address
from .http import HttpServer, Request, Responder
from .refusals import render_refusal

__all__ = ["OperatorHttp"]

_JSON = [("content-type", "application/json")]
_RETRY_MS = 500
# A configuration at the target size has 1,000 routes of 300 bytes.
_BODY_LIMIT_BYTES = 16 * 1024 * 1024


class OperatorHttp(Service):
    """Takes operators' calls in the platform's dialect."""

    name: ClassVar[str] = "operator-http"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "configurations",
        "evacuations",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._dialect = lookup(OPERATOR_DIALECTS, kernel.settings.fleet.dialect)
        limits = LimitSettings(body_bytes=_BODY_LIMIT_BYTES)
        self._http = HttpServer(
            self._handle,
            render_refusal,
            limits,
            memory=kernel.find("process").request_memory,
        )
        self._is_draining = False

    async def start(self) -> None:
        """Listen for operators."""
        host, port = split_address(self.kernel.settings.fleet.operator_listen)
        await self._http.listen(host, port, None)

    async def drain(self) -> None:
        """Answer what is in progress and take nothing new."""
        self._is_draining = True
        await self._http.drain(self.kernel.settings.timing.drain_timeout_s / 2)

    async def stop(self) -> None:
        """Close all connections."""
        await super().stop()
        await self._http.close()

    async def _handle(self, request: Request, responder: Responder) -> None:
        action = self._dialect.read_call(request.method, request.target)
        evacuation = self._dialect.read_evacuation(request.method, request.target)
        if self._is_draining:
            raise ShuttingDown("the control host stops", retry_after_ms=_RETRY_MS)
        if action == "replace":
            await self._replace(request, responder)
        elif action == "read":
            await self._read(responder)
        elif evacuation is not None:
            await self._evacuate(evacuation, responder)
        else:
            responder.respond(404, _JSON, b'{"error":"no such call"}')

    async def _replace(self, request: Request, responder: Responder) -> None:
        configurations = self.kernel.find("configurations")
        try:
            version = await configurations.replace(request.body)
        except ConfigurationRefused as error:
            body = json.dumps({"error": str(error)}).encode()
            responder.respond(400, _JSON, body)
            return
        except (ConsensusError, LinkError, StorageFull) as error:
            raise _unconfirmed(error) from error
        body = json.dumps({"version": version}).encode()
        responder.respond(200, _JSON, body)

    async def _evacuate(self, call: EvacuationCall, responder: Responder) -> None:
        evacuations = self.kernel.find("evacuations")
        try:
            await evacuations.evacuate(
                *call, is_wanted=lambda: not responder.may_be_unread
            )
        except UnknownZone as error:
            body = json.dumps({"error": str(error)}).encode()
            responder.respond(400, _JSON, body)
            return
        except (ConsensusError, LinkError, StorageFull) as error:
            raise _unconfirmed(error) from error
        # A call that is sent again gets the same answer.
        responder.respond(200, _JSON, json.dumps(call._asdict()).encode())

    async def _read(self, responder: Responder) -> None:
        try:
            body = await self.kernel.find("configurations").read()
        except (ConsensusError, LinkError) as error:
            raise _unconfirmed(error) from error
        if not body:
            raise Unconfirmed("there is no configuration yet", retry_after_ms=_RETRY_MS)
        responder.respond(200, _JSON, body)


def _unconfirmed(error: Exception) -> Refusal:
    return Unconfirmed(str(error), not_run=False, retry_after_ms=_RETRY_MS)
