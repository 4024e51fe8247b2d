"""A caller's request on its way to a backend server."""

from typing import NamedTuple

from .. import defaults
from ..decisions.configurations import Route, ServiceSpec, WorkspaceSpec
from ..dialects.fleet import CallHead
from .lending import Charge, TokenPatience
from .upstream import UpstreamRequest

__all__ = ["Job"]


class Job(NamedTuple):
    """A request on its way; times are on the event loop's clock."""

    call: CallHead
    route: Route
    service: ServiceSpec
    workspace: WorkspaceSpec | None
    outgoing: UpstreamRequest
    charge: Charge
    started: float
    deadline: float

    @property
    def leaves_at(self) -> float:
        """When the caller leaves if no part of an answer has come by then."""
        if self.route.kind != "stream":
            return self.deadline
        patience_s = self.route.patience_s * defaults.PATIENCE_PART
        return min(self.deadline, self.started + patience_s)

    @property
    def sent_by(self) -> float:
        """When it has to be sent for an answer to be expected before the caller leaves.

        A caller that leaves soon still waits for half of its time.
        """
        half_s = (self.leaves_at - self.started) / 2
        return self.leaves_at - min(self.route.target_s, half_s)

    def find_token_patience(self, waited_s: float) -> TokenPatience:
        """Return how long it waits for tokens after it has waited for its model.

        Args:
            waited_s: How long it has waited, which counts in the queue for tokens.
        """
        wait_s = defaults.RATE_WAITED_PATIENCE_S
        return TokenPatience(wait_s, wait_s, waited_s)

    @property
    def priority(self) -> int:
        """The request's rank; 0 is the most urgent."""
        if self.workspace is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def needs_model(self) -> bool:
        """Whether only a server that holds the request's model can run it."""
        return self.service.engine is not None and bool(self.call.model)
