"""What a dialect provides; pure functions without sockets."""

from typing import NamedTuple, Protocol

from ..decisions.prefixes import CacheEvent

__all__ = [
    "DIALECTS",
    "AdapterOrder",
    "CacheFeed",
    "Dialect",
    "EngineLoad",
    "EngineState",
    "HttpCall",
    "ModelOrder",
    "ModelState",
    "OrderResult",
]


class HttpCall(NamedTuple):
    """One HTTP request to a backend server."""

    method: str
    target: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class ModelOrder(NamedTuple):
    """Loads or unloads a model; ``replica`` is the fencing number."""

    model: str
    replica: int
    version: str = ""
    tier: str = ""
    memory_mb: int = 0


class AdapterOrder(NamedTuple):
    """Loads or unloads an adapter on a replica of its base model."""

    model: str
    adapter: str
    replica: int


class OrderResult(NamedTuple):
    """The engine took an order; ``state`` is loading, loaded, gone or unknown."""

    state: str


class ModelState(NamedTuple):
    """A model as the engine reports it; ``state`` is loading, loaded or failed."""

    model: str
    version: str
    replica: int
    state: str
    reason: str
    memory_mb: int
    adapters: tuple[str, ...]


class EngineState(NamedTuple):
    """A backend server's state; ``cached`` has pairs of checkpoint and tier.

    ``incarnation`` changes when the server restarts; 0 if it does not tell.
    """

    incarnation: int = 0
    role: str = ""
    memory_mb: int = 0
    used_mb: int = 0
    models: tuple[ModelState, ...] = ()
    cached: tuple[tuple[str, str], ...] = ()


class EngineLoad(NamedTuple):
    """A backend server's own load report, which lags."""

    running: int
    queued: int
    tokens_per_s: float


class CacheFeed(NamedTuple):
    """Cache events and the sequence number to ask after next time."""

    events: tuple[CacheEvent, ...]
    after: int


class Dialect(Protocol):
    """How to talk to one kind of backend server.

    ``has_models`` tells whether it takes orders for models; a plain service does
    not and its order functions are never called. ``token`` is the secret of the
    settings for servers that check who orders, else empty. The ``read_`` functions
    raise ``BackendError`` for an answer that does not fit, and ``FenceRejected``
    for a fencing number that is too low.
    """

    has_models: bool

    def load_model(self, order: ModelOrder, token: str) -> HttpCall:
        """Return the order to begin a load."""

    def unload_model(self, order: ModelOrder, token: str) -> HttpCall:
        """Return the order to unload a model."""

    def change_version(self, order: ModelOrder, token: str) -> HttpCall:
        """Return the order to replace the weights of a loaded model."""

    def load_adapter(self, order: AdapterOrder, token: str) -> HttpCall:
        """Return the order to load an adapter; answered when it is loaded."""

    def unload_adapter(self, order: AdapterOrder, token: str) -> HttpCall:
        """Return the order to unload an adapter."""

    def change_role(self, role: str, fence: int, token: str) -> HttpCall:
        """Return the order to change the role: prefill, decode or both."""

    def cancel_call(self, request_id: str, token: str) -> HttpCall:
        """Return the order to cancel a call."""

    def resume_stream(self, request_id: str, offset: int, token: str) -> HttpCall:
        """Return the call that continues a stream at a byte offset."""

    def fetch_state(self, token: str) -> HttpCall:
        """Return the call for the server's state."""

    def fetch_load(self, token: str) -> HttpCall:
        """Return the call for the server's load."""

    def fetch_cache_events(self, after: int, token: str) -> HttpCall | None:
        """Return the call for cache events; None if there is no such feed."""

    def call_headers(
        self, request_id: str, model: str, adapter: str, priority: str, token: str
    ) -> list[tuple[str, str]]:
        """Return the headers that a caller's request is given."""

    def read_result(self, status: int, body: bytes) -> OrderResult:
        """Read the answer to an order."""

    def read_state(self, status: int, body: bytes) -> EngineState:
        """Read the answer to :meth:`fetch_state`."""

    def read_load(self, status: int, body: bytes) -> EngineLoad:
        """Read the answer to :meth:`fetch_load`."""

    def read_cache_events(self, status: int, body: bytes) -> CacheFeed:
        """Read the answer to :meth:`fetch_cache_events`."""

    def read_tokens(self, tail: bytes) -> int:
        """Return the cost in tokens from the end of an answer; -1 if not stated.

        Args:
            tail: The last bytes of the answer, streamed or not; 4 KiB suffice.
        """


DIALECTS: dict[str, Dialect] = {}
