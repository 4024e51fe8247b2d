"""What every process has: its identity, its ZeroMQ context and its metrics."""

import random
from typing import ClassVar

import zmq

from ..identifiers import new_incarnation
from ..kernel import Kernel, Service
from ..metrics import Metrics
from .link import Identity

__all__ = ["Process"]


class Process(Service):
    """Holds the objects that the other services of a process share.

    Attributes:
        identity: Who this process is on its links.
        context: The ZeroMQ context; closed after all other services.
        metrics: The metrics that ``/metrics`` and ``status`` show.
        random: The random source handed to decisions.
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

    async def stop(self) -> None:
        """End the tasks and close the context."""
        await super().stop()
        self.context.destroy(linger=0)
