"""Platforms that publish the host list and the store's state as JSON over HTTP."""

import msgspec

from ..exceptions import BackendError
from ..registry import register
from .base import HttpCall
from .hostlists import HOST_LISTS, WEIGHT_STORES, ListedHost, StoreStatus
from .jsonanswers import decode_answer, decode_entries, decode_entry

__all__ = ["HttpHostList", "HttpWeightStore"]


class _HostBody(msgspec.Struct):
    host: str
    zone: str
    state: str


class _HostsBody(msgspec.Struct):
    hosts: list[msgspec.Raw]


class _StatusBody(msgspec.Struct):
    rate_per_s: float
    concurrency: int
    in_flight: int
    adapters_in_flight: int = 0


def _check(status: int) -> None:
    if status != 200:
        raise BackendError(f"status {status}")


class HttpHostList:
    """See :class:`.hostlists.HostListClient`."""

    def fetch_hosts(self) -> HttpCall:
        """Return the call for the list."""
        return HttpCall("GET", "/hosts")

    def read_hosts(self, status: int, body: bytes) -> tuple[ListedHost, ...]:
        """Read its answer; entries of another writer are skipped."""
        _check(status)
        _, entries = decode_entries(body, _HostsBody, "hosts")
        hosts = (decode_entry(entry, _HostBody) for entry in entries)
        return tuple(
            ListedHost(item.host, item.zone, item.state)
            for item in hosts
            if item is not None
        )


class HttpWeightStore:
    """See :class:`.base.WeightStoreClient`."""

    def fetch_status(self) -> HttpCall:
        """Return the call for limits and use."""
        return HttpCall("GET", "/status")

    def read_status(self, status: int, body: bytes) -> StoreStatus:
        """Read its answer."""
        _check(status)
        store = decode_answer(body, _StatusBody)
        return StoreStatus(
            store.rate_per_s,
            store.concurrency,
            store.in_flight,
            store.adapters_in_flight,
        )


register(HOST_LISTS, "http")(HttpHostList())
register(WEIGHT_STORES, "http")(HttpWeightStore())
