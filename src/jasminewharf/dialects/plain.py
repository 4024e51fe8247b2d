"""Plain services: calls over HTTP, no models, a load report at ``/load``."""

import msgspec

from ..exceptions import BackendError
from ..registry import register
from .base import (
    DIALECTS,
    AdapterOrder,
    CacheFeed,
    EngineLoad,
    EngineState,
    HttpCall,
    ModelOrder,
    OrderResult,
)
from .jsonanswers import decode_answer

__all__ = ["PlainDialect"]


class _LoadBody(msgspec.Struct):
    running: int
    queued: int = 0


class PlainDialect:
    """See :class:`.base.Dialect`."""

    has_models = False

    def _refuse(self, *arguments: object) -> HttpCall:
        raise BackendError("a plain service takes no orders for models")

    def load_model(self, order: ModelOrder, token: str) -> HttpCall:
        """Raise ``BackendError``."""
        return self._refuse()

    def unload_model(self, order: ModelOrder, token: str) -> HttpCall:
        """Raise ``BackendError``."""
        return self._refuse()

    def change_version(self, order: ModelOrder, token: str) -> HttpCall:
        """Raise ``BackendError``."""
        return self._refuse()

    def load_adapter(self, order: AdapterOrder, token: str) -> HttpCall:
        """Raise ``BackendError``."""
        return self._refuse()

    def unload_adapter(self, order: AdapterOrder, token: str) -> HttpCall:
        """Raise ``BackendError``."""
        return self._refuse()

    def change_role(self, role: str, fence: int, token: str) -> HttpCall:
        """Raise ``BackendError``."""
        return self._refuse()

    def cancel_call(self, request_id: str, token: str) -> HttpCall:
        """Raise ``BackendError``; close the connection instead."""
        return self._refuse()

    def resume_stream(self, request_id: str, offset: int, token: str) -> HttpCall:
        """Raise ``BackendError``."""
        return self._refuse()

    def fetch_state(self, token: str) -> HttpCall:
        """Return the call for the load, which also tells that the server is up."""
        return self.fetch_load(token)

    def fetch_load(self, token: str) -> HttpCall:
        """Return the call for the service's load."""
        headers = (("x-agent-token", token),) if token else ()
        return HttpCall("GET", "/load", b"", headers)

    def fetch_cache_events(self, after: int, token: str) -> HttpCall | None:
        """Return None."""
        return None

    def call_headers(
        self, request_id: str, model: str, adapter: str, priority: str, token: str
    ) -> list[tuple[str, str]]:
        """Return the headers that a caller's request is given."""
        headers = [("x-request-id", request_id)]
        return headers + ([("x-agent-token", token)] if token else [])

    def read_result(self, status: int, body: bytes) -> OrderResult:
        """Raise ``BackendError``."""
        raise BackendError("a plain service takes no orders for models")

    def read_state(self, status: int, body: bytes) -> EngineState:
        """Return an empty state if the server answers."""
        self.read_load(status, body)
        return EngineState()

    def read_load(self, status: int, body: bytes) -> EngineLoad:
        """Read the answer to :meth:`fetch_load`."""
        if status != 200:
            raise BackendError(f"status {status}")
        load = decode_answer(body, _LoadBody)
        return EngineLoad(load.running, load.queued, 0.0)

    def read_cache_events(self, status: int, body: bytes) -> CacheFeed:
        """Return an empty feed."""
        return CacheFeed((), 0)

    def read_tokens(self, tail: bytes) -> int:
        """Return -1: a plain service states no cost."""
        return -1


register(DIALECTS, "plain")(PlainDialect())
