"""What a platform provides; pure functions without sockets."""

from typing import NamedTuple, Protocol

from .base import HttpCall

__all__ = [
    "HOST_LISTS",
    "WEIGHT_STORES",
    "HostListClient",
    "ListedHost",
    "StoreStatus",
    "WeightStoreClient",
]


class ListedHost(NamedTuple):
    """A host on the platform's list; ``state`` is live or leaving."""

    host: str
    zone: str
    state: str


class StoreStatus(NamedTuple):
    """Limits and use of the weight store; ``in_flight`` counts checkpoint loads."""

    rate_per_s: float
    concurrency: int
    in_flight: int
    adapters_in_flight: int


class HostListClient(Protocol):
    """How to read a host list."""

    def fetch_hosts(self) -> HttpCall:
        """Return the call for the list."""

    def read_hosts(self, status: int, body: bytes) -> tuple[ListedHost, ...]:
        """Read its answer; raises ``BackendError`` if it does not fit."""


class WeightStoreClient(Protocol):
    """How to read a weight store's state."""

    def fetch_status(self) -> HttpCall:
        """Return the call for limits and use."""

    def read_status(self, status: int, body: bytes) -> StoreStatus:
        """Read its answer; raises ``BackendError`` if it does not fit."""


HOST_LISTS: dict[str, HostListClient] = {}
WEIGHT_STORES: dict[str, WeightStoreClient] = {}
