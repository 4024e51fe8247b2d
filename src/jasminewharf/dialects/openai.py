"""Engines with an OpenAI-compatible interface and orders under ``/admin``."""

import json
import re
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from ..decisions.prefixes import CacheEvent
from ..exceptions import BackendError, FenceRejected
from ..registry import register
from .base import (
    DIALECTS,
    AdapterOrder,
    CacheFeed,
    EngineLoad,
    EngineState,
    HttpCall,
    ModelOrder,
    ModelState,
    OrderResult,
)
from .jsonanswers import decode_answer

__all__ = ["OpenAiDialect", "read_prompt"]

_TOTAL_TOKENS = re.compile(rb'"total_tokens"\s*:\s*(\d{1,12})')

_T = TypeVar("_T")


class _ResultBody(msgspec.Struct):
    state: str


class _ModelBody(msgspec.Struct):
    model: str
    replica: int
    state: str
    version: str = ""
    reason: str = ""
    memory_mb: int = 0
    adapters: tuple[str, ...] = ()


class _StateBody(msgspec.Struct):
    models: list[_ModelBody]
    cached: tuple[tuple[str, str], ...] = ()
    incarnation: int = 0
    role: str = ""
    memory_mb: int = 0
    used_mb: int = 0


class _LoadBody(msgspec.Struct):
    running: int
    queued: int = 0
    tokens_per_s: float = 0.0


class _EventBody(msgspec.Struct):
    events: list[tuple[int, str, int]]
    next: int


def read_prompt(body: dict[str, Any]) -> bytes:
    """Return the prompt's bytes in the order in which the engine sees them.

    Entries and engines hash prefixes of the same bytes.
    """
    messages = body.get("messages")
    if isinstance(messages, list):
        lines = [
            f"{item.get('role', '')}:{item.get('content', '')}"
            for item in messages
            if isinstance(item, dict)
        ]
        return "\n".join(lines).encode("utf-8", "replace")
    prompt = body.get("prompt", "")
    text = prompt if isinstance(prompt, str) else json.dumps(prompt)
    return text.encode("utf-8", "replace")


def _send(target: str, token: str, **fields: Any) -> HttpCall:
    headers = [("content-type", "application/json"), *_authorise(token)]
    return HttpCall("POST", target, json.dumps(fields).encode(), tuple(headers))


def _get(target: str, token: str) -> HttpCall:
    return HttpCall("GET", target, b"", tuple(_authorise(token)))


def _authorise(token: str) -> list[tuple[str, str]]:
    return [("x-agent-token", token)] if token else []


def _read(status: int, body: bytes, kind: type[_T]) -> _T:
    if status == 409:
        raise FenceRejected(_describe(status, body))
    if status != 200:
        raise BackendError(_describe(status, body))
    return decode_answer(body, kind)


def _describe(status: int, body: bytes) -> str:
    return f"status {status}: {body[:200].decode('utf-8', 'replace')}"


class OpenAiDialect:
    """See :class:`.base.Dialect`."""

    has_models = True

    def load_model(self, order: ModelOrder, token: str) -> HttpCall:
        """Return the order to begin a load."""
        return _send(
            "/admin/models/load",
            token,
            model=order.model,
            version=order.version,
            fence=order.replica,
            tier=order.tier,
        )

    def unload_model(self, order: ModelOrder, token: str) -> HttpCall:
        """Return the order to unload a model."""
        return _send(
            "/admin/models/unload", token, model=order.model, fence=order.replica
        )

    def change_version(self, order: ModelOrder, token: str) -> HttpCall:
        """Return the order to replace the weights of a loaded model."""
        return _send(
            "/admin/models/version",
            token,
            model=order.model,
            version=order.version,
            fence=order.replica,
        )

    def load_adapter(self, order: AdapterOrder, token: str) -> HttpCall:
        """Return the order to load an adapter."""
        return _send(
            "/admin/adapters/load",
            token,
            model=order.model,
            adapter=order.adapter,
            fence=order.replica,
        )

    def unload_adapter(self, order: AdapterOrder, token: str) -> HttpCall:
        """Return the order to unload an adapter."""
        return _send(
            "/admin/adapters/unload",
            token,
            model=order.model,
            adapter=order.adapter,
            fence=order.replica,
        )

    def change_role(self, role: str, fence: int, token: str) -> HttpCall:
        """Return the order to change the role."""
        return _send("/admin/role", token, role=role, fence=fence)

    def cancel_call(self, request_id: str, token: str) -> HttpCall:
        """Return the order to cancel a call."""
        return _send("/admin/cancel", token, request_id=request_id)

    def resume_stream(self, request_id: str, offset: int, token: str) -> HttpCall:
        """Return the call that continues a stream at a byte offset."""
        name = quote(request_id, safe="")
        return _get(f"/admin/streams/{name}?offset={offset}", token)

    def fetch_state(self, token: str) -> HttpCall:
        """Return the call for the engine's state."""
        return _get("/admin/state", token)

    def fetch_load(self, token: str) -> HttpCall:
        """Return the call for the engine's load."""
        return _get("/feeds/load", token)

    def fetch_cache_events(self, after: int, token: str) -> HttpCall | None:
        """Return the call for cache events."""
        return _get(f"/feeds/cache?after={after}", token)

    def call_headers(
        self, request_id: str, model: str, adapter: str, priority: str, token: str
    ) -> list[tuple[str, str]]:
        """Return the headers that a caller's request is given."""
        headers = [("x-request-id", request_id), ("x-priority", priority)]
        if adapter:
            headers += [("x-base-model", model), ("x-adapter", adapter)]
        return headers + _authorise(token)

    def read_result(self, status: int, body: bytes) -> OrderResult:
        """Read the answer to an order."""
        return OrderResult(_read(status, body, _ResultBody).state)

    def read_state(self, status: int, body: bytes) -> EngineState:
        """Read the answer to :meth:`fetch_state`."""
        state = _read(status, body, _StateBody)
        models = tuple(
            ModelState(
                item.model,
                item.version,
                item.replica,
                item.state,
                item.reason,
                item.memory_mb,
                item.adapters,
            )
            for item in state.models
        )
        return EngineState(
            state.incarnation,
            state.role,
            state.memory_mb,
            state.used_mb,
            models,
            state.cached,
        )

    def read_load(self, status: int, body: bytes) -> EngineLoad:
        """Read the answer to :meth:`fetch_load`."""
        load = _read(status, body, _LoadBody)
        return EngineLoad(load.running, load.queued, load.tokens_per_s)

    def read_cache_events(self, status: int, body: bytes) -> CacheFeed:
        """Read the answer to :meth:`fetch_cache_events`."""
        feed = _read(status, body, _EventBody)
        return CacheFeed(tuple(CacheEvent(*item) for item in feed.events), feed.next)

    def read_tokens(self, tail: bytes) -> int:
        """Return ``total_tokens`` of the last ``usage`` object; -1 if none."""
        found = _TOTAL_TOKENS.findall(tail)
        return int(found[-1]) if found else -1


register(DIALECTS, "openai")(OpenAiDialect())
