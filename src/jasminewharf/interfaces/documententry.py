"""The services of an entry of a fleet run by service documents."""

from ..kernel import Kernel
from ..registry import register
from ..services.accounts import AccountHolder
from ..services.agents import Agents
from ..services.claims import OrderClaims
from ..services.controllers import Controllers
from ..services.feed import Feed
from ..services.process import Process
from ..services.reports import Reporter
from ..services.router import Router
from ..services.traces import Traces
from .callers import Callers
from .roles import DOCUMENT_ROLES, register_all

__all__ = ["build_entry"]


def build_account_holder(kernel: Kernel) -> AccountHolder:
    """Return the entry's part of rate accounts."""
    identity = kernel.find("process").identity
    return AccountHolder(
        kernel, kernel.find("controllers"), identity.node, identity.incarnation
    )


def build_order_claims(kernel: Kernel) -> OrderClaims:
    """Return the entry's part of order claims."""
    identity = kernel.find("process").identity
    return OrderClaims(
        kernel,
        kernel.find("controllers"),
        identity.node,
        identity.incarnation,
        kernel.settings.claim_partitions,
    )


@register(DOCUMENT_ROLES, "entry")
def build_entry(kernel: Kernel) -> None:
    """Register the services of an entry."""
    register_all(
        kernel,
        (
            Process,
            Traces,
            Controllers,
            Feed,
            Reporter,
            build_account_holder,
            build_order_claims,
            Agents,
            Router,
            Callers,
        ),
    )
