"""Refusals as HTTP answers."""

import json
import math

from .. import defaults
from ..exceptions import Refusal

__all__ = ["describe_refusal", "render_refusal"]


def describe_refusal(refusal: Refusal, request_id: str) -> dict:
    """Return the JSON object that tells a caller of a refusal."""
    return {
        "error": {
            "type": refusal.kind,
            "message": refusal.message,
            "not_run": refusal.not_run,
            "retry_after_ms": refusal.retry_after_ms,
            "request_id": request_id,
        }
    }


def render_refusal(
    refusal: Refusal, request_id: str = "", *, is_fractional: bool = False
) -> tuple[list[tuple[str, str]], bytes]:
    """Return headers and body of a refusal.

    Args:
        refusal: The refusal.
        request_id: The request's identifier; left out if empty.
        is_fractional: Whether callers read fractions of a second in ``Retry-After``.
    """
    headers = [("content-type", "application/json")]
    if request_id:
        headers.append(("x-request-id", request_id))
    if refusal.retry_after_ms is not None:
        seconds = refusal.retry_after_ms / defaults.MS_PER_S
        if is_fractional:
            headers.append(("retry-after", f"{seconds:.3f}"))
        else:
            headers.append(("retry-after", str(max(math.ceil(seconds), 1))))
    if refusal.status == 401:
        headers.append(("www-authenticate", "Bearer"))
    body = json.dumps(describe_refusal(refusal, request_id)).encode()
    return headers, body
