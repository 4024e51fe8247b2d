"""Platforms that publish the host list and the store's state as JSON over HTTP."""

from typing import TypeVar

import msgspec

from ..exceptions import BackendError
from ..registry import register
from .base import HttpCall
from .hostlists import HOST_LISTS, WEIGHT_STORES, ListedHost, StoreStatus

__all__ = ["HttpHostList", "HttpWeightStore"]

_T = TypeVar("_T")


class _HostBody(msgspec.Struct):
    host: str
    zone: str
    state: str


class _HostsBody(msgspec.Struct):
    hosts: list[_HostBody]


class _StatusBody(msgspec.Struct):
    rate_per_s: float
    concurrency: int
    in_flight: int
    adapters_in_flight: int = 0


def _read(status: int, body: bytes, kind: type[_T]) -> _T:
    if status != 200:
        raise BackendError(f"status {status}")
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise BackendError(f"answer does not fit: {error}") from error


class HttpHostList:
    """See :class:`.hostlists.HostListClient`."""

    def fetch_hosts(self) -> HttpCall:
        """Return the call for the list."""
        return HttpCall("GET", "/hosts")

    def read_hosts(self, status: int, body: bytes) -> tuple[ListedHost, ...]:
        """Read its answer."""
        hosts = _read(status, body, _HostsBody).hosts
        return tuple(ListedHost(item.host, item.zone, item.state) for item in hosts)


class HttpWeightStore:
    """See :class:`.base.WeightStoreClient`."""

    def fetch_status(self) -> HttpCall:
        """Return the call for limits and use."""
        return HttpCall("GET", "/status")

    def read_status(self, status: int, body: bytes) -> StoreStatus:
        """Read its answer."""
        store = _read(status, body, _StatusBody)
        return StoreStatus(
            store.rate_per_s,
            store.concurrency,
            store.in_flight,
            store.adapters_in_flight,
        )


register(HOST_LISTS, "http")(HttpHostList())
register(WEIGHT_STORES, "http")(HttpWeightStore())
