"""Limits on what one workspace may hold at an entry."""

import contextlib
from collections import Counter
from collections.abc import Iterator

from ..exceptions import WorkspaceBusy
from ..settings import LimitSettings

__all__ = ["WorkspaceLimits"]

_RETRY_MS = 1_000


class WorkspaceLimits:
    """Counts connections and requests in flight by workspace.

    Callers of open routes have no workspace and share one count.
    """

    def __init__(self, limits: LimitSettings) -> None:
        self._limits = limits
        self._running: Counter[str] = Counter()
        self._connections: dict[str, set[str]] = {}

    @contextlib.contextmanager
    def admit(self, workspace: str, peer: str) -> Iterator[None]:
        """Count a request on the connection from ``peer`` while it runs.

        Raises:
            WorkspaceBusy: If the workspace has reached a limit.
        """
        self._check(workspace, peer)
        self._connections.setdefault(workspace, set()).add(peer)
        self._running[workspace] += 1
        try:
            yield
        finally:
            self._running[workspace] -= 1
            if not self._running[workspace]:
                del self._running[workspace]

    def _check(self, workspace: str, peer: str) -> None:
        if self._running[workspace] >= self._limits.workspace_requests:
            raise WorkspaceBusy(
                "the workspace has too many requests in flight",
                retry_after_ms=_RETRY_MS,
            )
        known = self._connections.get(workspace, ())
        if peer not in known and len(known) >= self._limits.workspace_connections:
            raise WorkspaceBusy(
                "the workspace has too many connections", retry_after_ms=_RETRY_MS
            )

    def forget(self, peer: str) -> None:
        """Note that the connection from ``peer`` has ended."""
        for workspace in list(self._connections):
            peers = self._connections[workspace]
            peers.discard(peer)
            if not peers:
                del self._connections[workspace]
