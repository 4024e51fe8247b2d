"""The control host's own copy of the fleet state."""

from typing import ClassVar

from ..decisions.fleet import FleetState
from ..kernel import Kernel, Service

__all__ = ["Fleet"]


class Fleet(Service):
    """Registers the state machine of group ``fleet`` with the log.

    Attributes:
        state: The state at the last applied command.
    """

    name: ClassVar[str] = "fleet"
    requires: ClassVar[tuple[str, ...]] = ("log",)

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.state = FleetState()
        kernel.find("log").register_machine("fleet", self.state)
