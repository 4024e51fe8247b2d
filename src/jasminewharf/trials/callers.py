"""Callers of a trial: send calls, judge answers, record both."""

import asyncio
import json
from random import Random
from typing import Any, NamedTuple

from ..dialects.openai import read_prompt
from ..exceptions import BackendError, BackendUnreachable
from ..fakes.batching import expected_tokens
from ..services.client import HttpClient
from .records import Record

__all__ = ["CallerKey", "TrialCallers"]

_CLIENT_GRACE_S = 5.0
_RESEND_PAUSE_S = 0.2
_RESENDS = 4


class CallerKey(NamedTuple):
    """A granted key."""

    workspace: str
    key_id: str
    key: str


class TrialCallers:
    """Sends calls to the entries and keeps their records.

    Args:
        addresses: Entries by name.
        seed: Seed of all choices.

    Attributes:
        records: What happened, in the order of the calls' ends.
    """

    def __init__(self, addresses: dict[str, str], seed: int) -> None:
        self.records: list[Record] = []
        self._addresses = addresses
        self._random = Random(seed)
        self._counter = 0

    def _pick_entry(self) -> str:
        names = sorted(self._addresses)
        return names[self._random.randrange(len(names))]

    def _name(self, kind: str) -> str:
        self._counter += 1
        return f"{kind}-{self._counter}"

    async def chat(
        self,
        key: CallerKey,
        model: str,
        *,
        stream: bool = False,
        max_tokens: int = 8,
        deadline_s: float = 10.0,
        entry: str = "",
        prompt: str = "",
    ) -> Record:
        """Send a chat call and check that the answer is the expected one."""
        kind = "stream" if stream else "chat"
        name = self._name(kind)
        body = {
            "model": model,
            "max_tokens": max_tokens,
            "stream": stream,
            "messages": [{"role": "user", "content": prompt or f"{name} pho bo"}],
        }
        return await self._send(
            kind,
            entry or self._pick_entry(),
            key,
            name,
            "POST",
            "/v1/chat/completions",
            body,
            deadline_s,
        )

    async def read(
        self, key: CallerKey, service: str, path: str, *, deadline_s: float = 5.0
    ) -> Record:
        """Send an idempotent call to a plain service."""
        target = f"/services/{service}{path}"
        return await self._send(
            "read",
            self._pick_entry(),
            key,
            self._name("read"),
            "GET",
            target,
            None,
            deadline_s,
        )

    async def order(
        self, key: CallerKey, service: str, *, deadline_s: float = 5.0
    ) -> list[Record]:
        """Send an order, and again under the same key until its outcome is told."""
        name = self._name("order")
        records = []
        for _ in range(_RESENDS + 1):
            record = await self._send(
                "order",
                self._pick_entry(),
                key,
                name,
                "POST",
                f"/services/{service}/orders",
                {"order": name},
                deadline_s,
                [("idempotency-key", name)],
            )
            records.append(record)
            if record.status == 201 or record.error == "outcome_unknown":
                break
            pause_s = (record.retry_after_ms or 0) / 1000 or _RESEND_PAUSE_S
            await asyncio.sleep(min(pause_s, 1.0))
        return records

    async def _send(
        self,
        kind: str,
        entry: str,
        key: CallerKey,
        name: str,
        method: str,
        target: str,
        body: dict[str, Any] | None,
        deadline_s: float,
        headers: list[tuple[str, str]] | None = None,
    ) -> Record:
        loop = asyncio.get_running_loop()
        record = Record(
            kind,
            entry,
            key.workspace,
            key.key_id,
            name,
            loop.time(),
            0.0,
            deadline_s,
            0,
        )
        head = [
            ("authorization", f"Bearer {key.key}"),
            ("x-request-deadline-ms", str(int(deadline_s * 1000))),
            # The workspace must come from the key, whatever a header says.
            ("x-workspace", "workspace-0"),
            *(headers or []),
        ]
        data = b"" if body is None else json.dumps(body).encode()
        try:
            async with asyncio.timeout(deadline_s + _CLIENT_GRACE_S):
                record = await self._exchange(
                    record, method, target, head, data, body or {}
                )
        except TimeoutError:
            record = record._replace(error="no answer")
        except BackendUnreachable as error:
            record = record._replace(error=f"unreachable: {error}")
        except BackendError as error:
            record = record._replace(error=f"connection: {error}")
        record = record._replace(ended=loop.time())
        self.records.append(record)
        return record

    async def _exchange(
        self,
        record: Record,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        data: bytes,
        body: dict[str, Any],
    ) -> Record:
        loop = asyncio.get_running_loop()
        client = HttpClient(self._addresses[record.entry])
        response = await client.open(method, target, headers, data)
        names = dict(response.headers)
        record = record._replace(
            status=response.status, request_id=names.get("x-request-id", "")
        )
        parts = []
        try:
            async for chunk in response.chunks():
                if not parts:
                    elapsed_s = loop.time() - record.started
                    record = record._replace(first_byte_s=elapsed_s)
                parts.append(chunk)
        except BackendError as error:
            return _judge_broken(record, b"".join(parts), str(error))
        finally:
            client.close()
        return _judge(record, b"".join(parts), body)


def _judge(record: Record, content: bytes, body: dict[str, Any]) -> Record:
    if record.status >= 400:
        return _read_refusal(record, content)
    if record.kind == "stream":
        return _judge_stream(record, content, body)
    if record.kind == "chat":
        answer = json.loads(content)
        text = answer["choices"][0]["message"]["content"]
        tokens = answer["usage"]["total_tokens"]
        return record._replace(whole=text == _expect(body), tokens=tokens)
    return record._replace(whole=True)


def _judge_broken(record: Record, content: bytes, error: str) -> Record:
    """Judge an answer whose connection was cut: was the caller told why?"""
    last = content.rstrip().rpartition(b"data: ")[2]
    try:
        told = json.loads(last)["error"]
        return record._replace(error=told["type"], not_run=told["not_run"])
    except (ValueError, KeyError, TypeError):
        return record._replace(status=0, error=f"connection: {error}")


def _read_refusal(record: Record, content: bytes) -> Record:
    try:
        error = json.loads(content)["error"]
        return record._replace(
            error=error["type"],
            not_run=error["not_run"],
            retry_after_ms=error["retry_after_ms"],
            request_id=error["request_id"] or record.request_id,
        )
    except (ValueError, KeyError, TypeError):
        return record._replace(error="malformed refusal")


def _judge_stream(record: Record, content: bytes, body: dict[str, Any]) -> Record:
    text = ""
    tokens = 0
    lines = [line[6:] for line in content.split(b"\n") if line.startswith(b"data: ")]
    for line in lines:
        if line == b"[DONE]":
            continue
        event = json.loads(line)
        if "error" in event:
            return record._replace(error=event["error"]["type"], not_run=False)
        text += event["choices"][0].get("delta", {}).get("content", "")
        tokens = event.get("usage", {}).get("total_tokens", tokens)
    is_ended = bool(lines) and lines[-1] == b"[DONE]"
    return record._replace(whole=is_ended and text == _expect(body), tokens=tokens)


def _expect(body: dict[str, Any]) -> str:
    tokens = expected_tokens(
        body["model"], "", read_prompt(body), body["max_tokens"], False
    )
    return "".join(tokens)
