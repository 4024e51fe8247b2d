"""Engines' reports and the orders given to them."""

import msgspec

from ..dialects.base import HttpCall
from ..dialects.fleet import (
    ENGINE_ORDERS,
    EngineOrder,
    EngineStatus,
    OrderAnswer,
)
from ..dialects.jsonanswers import decode_answer
from ..exceptions import BackendError
from ..registry import register
from .answers import read_cold_header, read_cold_ms, read_limit, read_pause_s
from .loads import read_load
from .servers import Model, Number, translate_models

__all__ = ["PlatformEngines"]

_OUTCOMES = {
    200: "done",
    202: "accepted",
    409: "conflict",
    412: "fenced",
}


class _AtHand(msgspec.Struct, rename="camel"):
    in_memory: list[str] = []
    on_disk: list[str] = []


class _Report(msgspec.Struct, rename="camel"):
    # An order is being carried out.
    busy: bool
    # The number of orders accepted since the start.
    seq: Number
    models: list[Model]
    queued: Number = 0
    running: Number = 0
    # Tokens in memory that cannot yield, and the memory for tokens in all.
    kv_used: Number = 0
    kv_total: Number = 0
    # Unix milliseconds of the start.
    born: Number = 0
    state: str = "ready"
    at_hand: _AtHand | None = None
    # Adapters on their way, MODEL/NAME@VERSION.
    incoming: list[str] = []
    # How long it stays cold.
    cold_remaining_ms: msgspec.Raw = msgspec.Raw(b"")


class _Order(msgspec.Struct, omit_defaults=True):
    op: str
    model: str
    expected: int
    holder: str
    fence: int
    adapter: str = ""


class PlatformEngines:
    """See :class:`..dialects.fleet.EngineOrders`."""

    def fetch_status(self) -> HttpCall:
        """Return the call for the report."""
        return HttpCall("GET", "/report")

    def read_status(self, status: int, body: bytes) -> EngineStatus:
        """Read a report."""
        if status != 200:
            raise BackendError(f"status {status}")
        report = decode_answer(body, _Report)
        copies = report.at_hand or _AtHand()
        return EngineStatus(
            report.born,
            report.busy,
            report.seq,
            translate_models(report.models),
            tuple(map(_read_incoming, report.incoming)),
            report.running,
            report.queued,
            report.kv_used,
            report.kv_total,
            tuple(copies.in_memory),
            tuple(copies.on_disk),
            report.state == "draining",
            read_cold_ms(bytes(report.cold_remaining_ms).decode("ascii", "replace")),
        )

    def give_order(self, order: EngineOrder, server: str) -> HttpCall:
        """Return the call that gives an order."""
        body = _Order(
            "load" if order.loads else "unload",
            order.model,
            order.expected,
            order.holder,
            order.fence,
            order.adapter,
        )
        headers = [("content-type", "application/json")]
        if server:
            headers.append(("x-expect-instance", server))
        return HttpCall("POST", "/order", msgspec.json.encode(body), tuple(headers))

    def read_order(self, status: int, body: bytes) -> OrderAnswer:
        """Read the answer to an order."""
        return OrderAnswer(_OUTCOMES.get(status, "refused"))

    def read_pause_s(self, status: int, headers: list[tuple[str, str]]) -> float:
        """Return for how long the engine wants no call from this host."""
        return read_pause_s(status, dict(headers))

    def read_pace(self, headers: list[tuple[str, str]]) -> float:
        """Return how long work takes on the engine's host; see :class:`AnswerHead`."""
        return read_load(dict(headers)).pace_percent

    def read_limit(self, headers: list[tuple[str, str]]) -> float | None:
        """Return how many requests a second the engine takes from all hosts."""
        return read_limit(headers)

    def read_cold_ms(self, headers: list[tuple[str, str]]) -> float | None:
        """Return how long the engine stays cold."""
        return read_cold_header(headers)


def _read_incoming(text: str) -> tuple[str, str]:
    model, _, adapter = text.partition("@")[0].partition("/")
    return model, adapter


register(ENGINE_ORDERS, "platform")(PlatformEngines())
