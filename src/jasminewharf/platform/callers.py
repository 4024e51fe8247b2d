"""Heads of callers' requests and of backend servers' answers."""

from ..dialects.fleet import (
    CALLER_DIALECTS,
    AnswerHead,
    CallHead,
    ForwardedHead,
)
from ..exceptions import BadRequest
from ..registry import register
from .answers import (
    list_unknown_headers,
    read_cold_header,
    read_limit,
    read_pause_s,
    says_leaving,
)
from .loads import read_load

__all__ = ["PlatformCallers"]

_ID = "x-attempt-id"
_DEADLINE = "x-deadline-ms"
_KEY = "api-key"
_WORKSPACE = "x-tenant"
_LAST_EVENT = "last-event-id"
# More tokens than any engine holds.
_TOKENS_LIMIT = 10_000_000
_SINGLE = frozenset(
    {_ID, _DEADLINE, _KEY, _LAST_EVENT, "x-model", "x-prompt-prefix", "x-token-counts"}
)
_MS_PER_S = 1_000.0
_NOT_RUN_STATUS = 421
_SUCCESS = range(200, 300)

# Headers that concern one connection, and those that are the system's own to set.
_NOT_FORWARDED = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "kv-fetch",
        "kv-from",
        "x-expect-instance",
        "x-expect-version",
        "x-hold",
        "x-kv-backup",
        "x-pin-ms",
        "x-request-priority",
        _DEADLINE,
        _KEY,
        _LAST_EVENT,
        _WORKSPACE,
    }
)


class PlatformCallers:
    """See :class:`..dialects.fleet.CallerDialect`."""

    def read_call(
        self, method: str, target: str, headers: list[tuple[str, str]]
    ) -> CallHead:
        """Read a request's head.

        Raises:
            BadRequest: If a number cannot be read or be true, or a header that
                counts once is there twice.
        """
        fields = dict(headers)
        if len(fields) < len(headers):
            _check_single(headers)
        model, _, adapter = fields.get("x-model", "").partition("/")
        # Prompt tokens and the largest number of output tokens; more may follow.
        prompt, output, *_ = [*fields.get("x-token-counts", "").split(",", 2), ""]
        try:
            return CallHead(
                fields.get(_ID, ""),
                fields.get("host", ""),
                target.partition("?")[0],
                fields.get(_KEY, ""),
                float(fields.get(_DEADLINE, "") or 0) / _MS_PER_S,
                model,
                adapter,
                _read_count(prompt),
                _read_count(output),
                int(fields.get(_LAST_EVENT, "") or -1),
                _list_shared_parts(fields.get("x-prompt-prefix", "")),
            )
        except ValueError as error:
            raise BadRequest(f"a header holds no number: {error}") from error

    def forward_headers(
        self, headers: list[tuple[str, str]], forwarded: ForwardedHead
    ) -> list[tuple[str, str]]:
        """Return the head for a backend server."""
        named = {
            name.strip().lower()
            for key, value in headers
            if key == "connection"
            for name in value.split(",")
        }
        head = [
            (name, value)
            for name, value in headers
            if name not in _NOT_FORWARDED and name not in named
        ]
        left_ms = max(int(forwarded.time_left_s * _MS_PER_S), 1)
        head.append((_DEADLINE, str(left_ms)))
        head.append(("x-expect-instance", forwarded.server))
        if forwarded.workspace:
            head.append((_WORKSPACE, forwarded.workspace))
        if forwarded.priority >= 0:
            head.append(("x-request-priority", str(forwarded.priority)))
        if forwarded.last_event >= 0:
            head.append((_LAST_EVENT, str(forwarded.last_event)))
        return head

    def read_answer(self, status: int, headers: list[tuple[str, str]]) -> AnswerHead:
        """Read the head of an answer."""
        fields = dict(headers)
        load = read_load(fields)
        return AnswerHead(
            fields.get(_ID, ""),
            "x-response-signature" in fields,
            "x-not-executed" in fields or status == _NOT_RUN_STATUS,
            load.running,
            load.waiting,
            load.slots,
            "content-encoding" in fields,
            says_leaving(fields),
            read_pause_s(status, fields),
            read_limit(headers),
            list_unknown_headers(headers),
            load.pace_percent,
            read_cold_header(headers),
        )

    def read_answer_id(self, headers: list[tuple[str, str]]) -> str:
        """Return which request an answer belongs to."""
        return dict(headers).get(_ID, "")

    def refusal_headers(self, request_id: str) -> list[tuple[str, str]]:
        """Return headers that an answer of the fleet's own carries."""
        return [(_ID, request_id)] if request_id else []


def _check_single(headers: list[tuple[str, str]]) -> None:
    """Refuse a request that the backend server could read differently."""
    names = [name for name, _ in headers if name in _SINGLE]
    if len(set(names)) < len(names):
        raise BadRequest("a header that counts once is there twice")


def _list_shared_parts(text: str) -> tuple[str, ...]:
    """Return the names of all parts but the last, which is the request's own.

    A prompt is a list of pairs of name and number of tokens.
    """
    names = [part.partition(":")[0].strip().lower() for part in text.split(",")]
    return tuple(name for name in names[:-1] if name)


def _read_count(text: str) -> int:
    count = int(text or 0)
    if not 0 <= count <= _TOKENS_LIMIT:
        raise ValueError(f"{text!r} tokens")
    return count


register(CALLER_DIALECTS, "platform")(PlatformCallers())
