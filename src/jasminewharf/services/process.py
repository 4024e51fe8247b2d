"""What every process has: its identity, its ZeroMQ context and its metrics."""

import random
from typing import Any, ClassVar

import zmq

from ..identifiers import new_incarnation
from ..kernel import Kernel, Service
from ..metrics import Metrics
from .link import Identity, LinkClient
from .requestmemory import RequestMemory, read_memory_bytes
from .security import LinkSecurity

__all__ = ["Process"]


class Process(Service):
    """Holds the objects that the other services of a process share.

    Attributes:
        identity: Who this process is on its links.
        context: The ZeroMQ context; closed after all other services.
        metrics: The metrics that ``/metrics`` and ``status`` show.
        random: The random source handed to decisions.
        request_memory: What all HTTP servers of the process may hold together.
        security: Keys of internal links; None if the settings name none.
    """

    name: ClassVar[str] = "process"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings = kernel.settings
        self.identity = Identity(
            settings.node, settings.role, settings.zone, new_incarnation()
        )
        self.context = zmq.Context()
        self.metrics = Metrics()
        self.random = random.Random()
        self.request_memory = RequestMemory(read_memory_bytes(settings), self.metrics)
        self.security: LinkSecurity | None = None

    async def start(self) -> None:
        """Read the keys of internal links, if the settings name any.

        Raises:
            KeyFileError: If they cannot be used.
        """
        curve = self.kernel.settings.curve
        if curve is None:
            return
        self.security = LinkSecurity(
            curve.secret_file, curve.trusted_folder, self.context, self.metrics
        )
        self.security.start()
        self.spawn(self.security.watch_files(), essential=True)

    def connect(
        self, role: str, node: str, address: str, handlers: dict[type, Any]
    ) -> LinkClient:
        """Return a link to the process ``node``, with keys if there are any."""
        configure = None
        if self.security is not None:
            configure = self.security.client_configurer(role, node)
        link = LinkClient(self.identity, self.context, address, handlers, configure)
        if self.security is not None:
            self.security.watch_link(link)
        return link

    async def stop(self) -> None:
        """End the tasks and close the context."""
        await super().stop()
        if self.security is not None:
            self.security.stop()
        self.context.destroy(linger=0)
