"""Memory accounting per host.

Memory is reserved before the command that needs it is proposed, and released only
after the engine has confirmed that it is free.
"""

from collections.abc import Hashable

from ..exceptions import MemoryOvercommit

__all__ = ["MemoryLedger"]


class MemoryLedger:
    """Memory reservations in MB by host and holder."""

    def __init__(self) -> None:
        self._capacity: dict[str, int] = {}
        self._reserved: dict[str, int] = {}
        self._holders: dict[tuple[str, Hashable], int] = {}

    def set_capacity(self, host: str, memory_mb: int) -> None:
        """Set the memory size of a host."""
        self._capacity[host] = memory_mb

    def free_mb(self, host: str) -> int:
        """Return the unreserved memory; negative if the capacity has shrunk."""
        return self._capacity.get(host, 0) - self._reserved.get(host, 0)

    def fill(self, host: str) -> float:
        """Return the reserved share of the host's memory."""
        capacity = self._capacity.get(host, 0)
        return self._reserved.get(host, 0) / capacity if capacity else 1.0

    def reserve(self, host: str, holder: Hashable, memory_mb: int) -> None:
        """Reserve memory; a holder that already has a reservation keeps it.

        Raises:
            MemoryOvercommit: If the host has too little unreserved memory.
        """
        if (host, holder) in self._holders:
            return
        if memory_mb > self.free_mb(host):
            raise MemoryOvercommit(
                f"{host}: {memory_mb} MB requested, {self.free_mb(host)} MB free"
            )
        self.restore(host, holder, memory_mb)

    def restore(self, host: str, holder: Hashable, memory_mb: int) -> None:
        """Record a reservation that is committed in the log, without a check."""
        if (host, holder) in self._holders:
            return
        self._holders[host, holder] = memory_mb
        self._reserved[host] = self._reserved.get(host, 0) + memory_mb

    def release(self, host: str, holder: Hashable) -> None:
        """Release a reservation after the engine's confirmation."""
        memory_mb = self._holders.pop((host, holder), 0)
        if memory_mb:
            self._reserved[host] -= memory_mb

    def find_overcommitted(self) -> list[str]:
        """Return the hosts whose reservations exceed their capacity."""
        return [
            host
            for host, reserved in self._reserved.items()
            if reserved > self._capacity.get(host, reserved)
        ]
