"""The platform's list of backend servers."""

from typing import Annotated, Any
from urllib.parse import quote

import msgspec

from ..dialects.base import HttpCall
from ..dialects.fleet import (
    SERVER_LISTS,
    HeldModel,
    ListedColdTime,
    ListedServer,
    ListPage,
)
from ..dialects.jsonanswers import decode_entries, decode_entry
from ..exceptions import BackendError
from ..registry import register
from ..settings import is_address
from .answers import read_cold_ms

__all__ = ["Number", "Model", "PlatformServers", "translate_models"]

# Greater ones do not fit into the messages between nodes.
_LIMIT = 2**53
Number = Annotated[int, msgspec.Meta(ge=-_LIMIT, le=_LIMIT)]
_Duration = Annotated[float, msgspec.Meta(ge=-_LIMIT, le=_LIMIT)]
_STATES = frozenset({"ready", "draining"})


class Model(msgspec.Struct):
    """A model in an engine's accelerator memory, as reports and the list tell it."""

    name: str
    version: Number = 0
    adapters: list[str] = []


class _Instance(msgspec.Struct, rename="camel"):
    id: str
    service: str
    address: str
    # ready or draining; a server that is about to stop shows draining first.
    state: str
    # An entry without one of these is of another writer, whatever else it says.
    zone: str
    # The version of its software, not of its weights.
    version: str
    slots: Number
    # How long it still is there, if it was given short notice.
    remaining_ms: _Duration | None = None
    # Unix milliseconds of its start.
    born: Number = 0
    models: list[Model] = []
    # How long it stays cold; whatever else it holds leaves the entry readable.
    cold_remaining_ms: msgspec.Raw = msgspec.Raw(b"")


class _Page(msgspec.Struct, rename="camel"):
    instances: list[msgspec.Raw]
    # The following page; null on the last one.
    next_token: str | None = None


def translate_models(models: list[Model]) -> tuple[HeldModel, ...]:
    """Return the models in the product's type."""
    return tuple(
        HeldModel(model.name, model.version, tuple(model.adapters)) for model in models
    )


class PlatformServers:
    """See :class:`..dialects.fleet.ServerList`."""

    def fetch_page(self, page: str) -> HttpCall:
        """Return the call for a page."""
        query = f"?pageToken={quote(page)}" if page else ""
        return HttpCall("GET", f"/instances{query}")

    def read_page(self, status: int, body: bytes) -> ListPage:
        """Read a page; entries of another writer are skipped and counted."""
        if status != 200:
            raise BackendError(f"status {status}")
        page, entries = decode_entries(body, _Page, "instances")
        read = [_read_instance(raw) for raw in entries]
        found = [pair for pair in read if pair is not None]
        servers = tuple(server for server, _ in found)
        cold = tuple(
            ListedColdTime(server.address, server.born_ms, cold_ms)
            for server, cold_ms in found
            if cold_ms is not None
        )
        return ListPage(servers, page.next_token or "", len(read) - len(found), cold)


def _read_instance(raw: Any) -> tuple[ListedServer, float | None] | None:
    """Return a server and how long it stays cold; None if it cannot be read."""
    entry = decode_entry(raw, _Instance)
    if (
        entry is None
        or entry.state not in _STATES
        or not entry.id
        or not is_address(entry.address)
    ):
        return None
    server = ListedServer(
        entry.id,
        entry.service,
        entry.address,
        entry.zone,
        entry.version,
        entry.slots,
        entry.state == "draining",
        -1 if entry.remaining_ms is None else int(entry.remaining_ms),
        entry.born,
        translate_models(entry.models),
    )
    return server, read_cold_ms(
        bytes(entry.cold_remaining_ms).decode("ascii", "replace")
    )


register(SERVER_LISTS, "platform")(PlatformServers())
