"""Turns a caller's request into a checked call plan."""

import json
import re
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote, unquote_plus, urlencode

from .. import defaults
from ..decisions.fleet import FleetState
from ..decisions.prefixes import hash_prefixes, prefix_scope
from ..dialects.openai import read_prompt
from ..documents import Access, Adapter, Document, Route
from ..exceptions import BadRequest, Forbidden, NotFound
from ..services.router import CallPlan
from .http import Request

__all__ = ["Caller", "plan_model_call", "plan_service_call", "split_service_target"]

_CHAT_TARGET = "/v1/chat/completions"
_PROMPT_FIELDS = {_CHAT_TARGET: "messages", "/v1/completions": "prompt"}
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_ESCAPE = re.compile(r"\\u(00[0-7][0-9a-fA-F])")
_SERVICES_PREFIX = "/services/"
# Headers that end at this hop, and those that carry the caller's key.
_DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "cookie",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "traceparent",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-api-key",
        "x-request-deadline-ms",
        "x-workspace",
    }
)


class Caller(NamedTuple):
    """Who calls: the workspace of the key, and the key's identifier.

    Both are empty on a route that is open to all. ``key`` is kept only to remove
    it from what is forwarded.
    """

    workspace: str
    key_id: str
    key: str


def _parse_json(body: bytes) -> dict[str, Any]:
    try:
        # Decoded here, since json would also take UTF-16, which an engine may not.
        value = json.loads(body.decode("utf-8"), object_pairs_hook=_read_unique)
        if b"\\u" in body:
            json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError):
        raise BadRequest("the body must be JSON in UTF-8") from None
    if not isinstance(value, dict):
        raise BadRequest("the body must be a JSON object")
    return value


def _read_unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Refuse a name that is given twice: an engine might read the other value."""
    value = dict(pairs)
    if len(value) != len(pairs):
        raise BadRequest("a name in the body is given twice")
    return value


def _read_deadline_ms(request: Request, default_ms: int) -> int:
    value = request.header("x-request-deadline-ms")
    if value is None:
        return default_ms
    if not value.isascii() or not value.isdigit() or len(value) > 9 or int(value) == 0:
        raise BadRequest("X-Request-Deadline-Ms must be a positive whole number")
    return int(value)


def _forwarded_headers(request: Request, caller: Caller) -> list[tuple[str, str]]:
    named = (request.header("connection") or "").lower().split(",")
    dropped = _DROPPED_HEADERS | {name.strip() for name in named}
    return [
        (name, value)
        for name, value in request.headers
        if name not in dropped and not (caller.key and caller.key in value)
    ]


def _clean_target(target: str, caller: Caller) -> str:
    """Return the target without query parameters that hold the caller's key."""
    path, mark, query = target.partition("?")
    if caller.key and caller.key in unquote(path):
        raise BadRequest("the path must not hold the key")
    if not mark or not caller.key or caller.key not in unquote_plus(query):
        return target
    kept = [
        (name, value)
        for name, value in parse_qsl(query, keep_blank_values=True)
        if caller.key not in value and caller.key not in name
    ]
    return f"{path}?{urlencode(kept)}" if kept else path


def _count_positive(body: dict[str, Any], name: str, default: int) -> int:
    value = body.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise BadRequest(f"{name} must be a positive whole number")
    return value


def _largest_cost(body: dict[str, Any], prompt_field: str, context: int) -> int:
    """Return the most tokens that a model call can cost.

    A token covers at least one byte of UTF-8, so the prompt's bytes bound its
    tokens; a model cannot read and write more than its context.
    """
    prompt = body.get(prompt_field)
    if not prompt:
        raise BadRequest(f"{prompt_field} is required")
    prompt_bytes = len(json.dumps(prompt, ensure_ascii=False).encode())
    limit = _count_positive(body, "max_tokens", defaults.DEFAULT_MAX_TOKENS)
    limit = _count_positive(body, "max_completion_tokens", limit)
    choices = _count_positive(body, "n", 1)
    return min(prompt_bytes + limit * choices, context * choices)


def plan_model_call(
    request: Request,
    caller: Caller,
    state: FleetState,
    request_id: str,
    now: float,
    traceparent: str,
) -> tuple[CallPlan, Access]:
    """Return the plan for a chat or completion call.

    Raises:
        Refusal: If the body is not valid or the model may not be used.
    """
    path = request.target.partition("?")[0]
    prompt_field = _PROMPT_FIELDS[path]
    body = _parse_json(request.body)
    name = body.get("model")
    if not isinstance(name, str):
        raise BadRequest("model is required")
    offer = state.find_offer(name, caller.workspace)
    if offer is None:
        if state.offers_named(name):
            raise Forbidden(f"the workspace may not use model {name!r}")
        raise NotFound(f"no model {name!r}")
    access = offer.document.find_access(caller.workspace)
    assert access is not None
    model = offer.model
    deadline_ms = _read_deadline_ms(request, model.deadline_ms)
    is_stream = body.get("stream", False)
    if not isinstance(is_stream, bool):
        raise BadRequest("stream must be true or false")
    plan = CallPlan(
        request_id=request_id,
        workspace=caller.workspace,
        service=offer.service,
        pool=offer.document.pool,
        model=model.name,
        adapter=offer.adapter.name if offer.adapter else "",
        method="POST",
        target=path,
        headers=_forwarded_headers(request, caller),
        body=_prepare_body(request.body, body, caller),
        deadline=now + deadline_ms / defaults.MS_PER_S,
        cost_tokens=_largest_cost(body, prompt_field, model.context_tokens),
        priority=_read_priority(request, model.priority),
        idempotent=request.header("idempotency-key") is None,
        stream=is_stream,
        traceparent=traceparent,
        prefix_hashes=_hash_prompt(body, model.name, offer.adapter),
    )
    return plan, access


def _hash_prompt(
    body: dict[str, Any], model: str, adapter: Adapter | None
) -> tuple[int, ...]:
    scope = prefix_scope(model, adapter.name if adapter else "")
    return tuple(hash_prefixes(scope, read_prompt(body)))


def _prepare_body(raw: bytes, body: dict[str, Any], caller: Caller) -> bytes:
    """Ask the engine for its token count at a stream's end, and keep the key out.

    The true cost of a streamed answer is known only if the engine states it.
    """
    if not body.get("stream"):
        return _redact(raw, caller)
    options = body.get("stream_options")
    body["stream_options"] = {
        **(options if isinstance(options, dict) else {}),
        "include_usage": True,
    }
    return _redact(json.dumps(body, ensure_ascii=False).encode(), caller)


def _redact(body: bytes, caller: Caller) -> bytes:
    if not caller.key:
        return body
    is_escaped = b"\\u" in body and caller.key in _unescape(body)
    if is_escaped or caller.key.encode() in body:
        raise BadRequest("the body must not hold the key")
    return body


def _unescape(body: bytes) -> str:
    """Return ``body`` with the JSON escapes of ASCII characters replaced."""
    return _ESCAPE.sub(
        lambda found: chr(int(found.group(1), 16)), body.decode("utf-8", "replace")
    )


def _read_priority(request: Request, default: str) -> str:
    value = request.header("x-request-priority")
    if value is None:
        return default
    if value not in ("interactive", "batch"):
        raise BadRequest("X-Request-Priority must be interactive or batch")
    return value


def split_service_target(target: str) -> tuple[str, str]:
    """Return service and remaining path of a ``/services/...`` target.

    Raises:
        NotFound: If no service is named.
    """
    rest = target.removeprefix(_SERVICES_PREFIX)
    service, slash, path = rest.partition("/")
    if "?" in service:
        service, mark, query = service.partition("?")
        return service, f"/{mark}{query}"
    if not service:
        raise NotFound("no service is named")
    _check_segments(path.partition("?")[0])
    return service, f"/{path}" if slash else "/"


def _check_segments(path: str) -> None:
    """Refuse paths that a backend server could take for those of another route."""
    segments = unquote(path).replace("\\", "/").split("/")
    if "." in segments or ".." in segments:
        raise BadRequest("a path may not hold the segments . and ..")


def find_route(document: Document, method: str, path: str) -> Route:
    """Return the route with the longest matching path.

    Raises:
        NotFound: If no route matches.
    """
    matching = [
        route
        for route in document.routes
        if method in route.methods and _covers(route.path, path)
    ]
    if not matching:
        raise NotFound("no such route")
    return max(matching, key=lambda route: len(route.path))


def _covers(prefix: str, path: str) -> bool:
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path == prefix or path.startswith(prefix + "/")


def plan_service_call(
    request: Request,
    caller: Caller,
    document: Document,
    route: Route,
    path: str,
    request_id: str,
    now: float,
    traceparent: str,
) -> CallPlan:
    """Return the plan for a call of a plain service."""
    deadline_ms = _read_deadline_ms(request, route.deadline_ms)
    return CallPlan(
        request_id=request_id,
        workspace=caller.workspace,
        service=document.service,
        pool=document.pool,
        model="",
        adapter="",
        method=request.method,
        target=_clean_target(path, caller),
        headers=_forwarded_headers(request, caller),
        body=_redact(request.body, caller),
        deadline=now + deadline_ms / defaults.MS_PER_S,
        cost_tokens=route.cost_tokens,
        priority=_read_priority(request, route.priority),
        idempotent=route.idempotent,
        stream=False,
        traceparent=traceparent,
    )
