"""What a control host knows of the fleet, for the operators' tool."""

import asyncio
from typing import Any

from .. import defaults
from ..decisions.fleet import FleetState
from ..decisions.membership import Membership
from ..kernel import Kernel
from ..messages.feed import NodeReport
from .control import FLEET_GROUP

__all__ = ["describe_fleet"]


def describe_fleet(kernel: Kernel, started: float) -> dict[str, Any]:
    """Return the fields of ``jasminewharf status``; see docs/OPERATIONS.md.

    Args:
        kernel: A control host's kernel.
        started: When this control host began to collect reports, in seconds of the
            event loop's clock.
    """
    now = asyncio.get_running_loop().time()
    gathering = kernel.find("gathering")
    state = kernel.find("fleet").state
    membership = gathering.membership
    reports = [membership.report(node) for node in membership.nodes()]
    over_rate = kernel.find("account-owner").list_over_rate()
    return {
        "version": state.version,
        "control": _describe_control(kernel, now - started),
        "nodes": [
            _describe_node(kernel, state, membership, report, now)
            for report in reports
            if report is not None
        ],
        "replicas": [item._asdict() for item in state.replicas.values()],
        "cold": _list_cold(state, gathering.live().values()),
        "draining": sorted(state.draining),
        "evacuated": sorted(state.evacuations.evacuated),
        "accounts_owner": over_rate is not None,
        "over_rate": [
            {"account": name, "level": level} for name, level in over_rate or []
        ],
        "services": [
            {"service": name, "version": record.version, "author": record.author}
            for name, record in state.documents.items()
        ],
    }


def _describe_control(kernel: Kernel, age_s: float) -> dict[str, Any]:
    log = kernel.find("log")
    return {
        "answered_by": kernel.settings.node,
        "leader": log.leader(FLEET_GROUP),
        "members": [member._asdict() for member in log.members(FLEET_GROUP)],
        # A host that has collected for less than a lease may not yet have heard
        # from a node whose lease still runs.
        "dropped": kernel.find("control").count_dropped(),
        "complete": age_s > lease_bound_s(kernel.settings.timing),
    }


def lease_bound_s(timing: Any) -> float:
    """Return an age of a node's last report at which its lease has run out.

    A node confirms its view at least as often as it reports, so that its last
    confirmation is at most one report interval younger than its last report.
    """
    drift = 1 + defaults.CLOCK_DRIFT_BOUND
    return (timing.freshness_lease_s + timing.report_interval_s) * drift


def _describe_node(
    kernel: Kernel,
    state: FleetState,
    membership: Membership,
    report: NodeReport,
    now: float,
) -> dict[str, Any]:
    age_s = membership.age_s(report.node, now)
    return {
        "node": report.node,
        "role": report.role,
        "incarnation": report.incarnation,
        "sequence": report.sequence,
        "host": report.host,
        "zone": report.zone,
        "state": membership.state(report.node, now),
        "lease_ended": age_s > lease_bound_s(kernel.settings.timing),
        "leaving": report.leaving or report.host in state.draining,
        "version": report.version,
        "behind": max(state.version - report.version, 0),
        "age_ms": int(age_s * defaults.MS_PER_S),
        "memory_mb": report.memory_mb,
        "backends": [item._asdict() for item in report.backends],
        "demands": [item._asdict() for item in report.demands],
    }


def _list_cold(state: FleetState, live: Any) -> list[dict[str, Any]]:
    """Return the models without a loaded replica, and what waits for them."""
    loaded = {
        (replica.service, replica.model)
        for replica in state.replicas.values()
        if replica.phase == "loaded"
    }
    waiting: dict[tuple[str, str], int] = {}
    for report in live:
        for demand in report.demands:
            key = (demand.service, demand.model)
            waiting[key] = waiting.get(key, 0) + demand.requests
    cold = []
    for document in state.all_documents():
        for model in document.models:
            key = (document.service, model.name)
            if key not in loaded:
                cold.append(
                    {
                        "service": document.service,
                        "model": model.name,
                        "waiting": waiting.get(key, 0),
                    }
                )
    return cold
