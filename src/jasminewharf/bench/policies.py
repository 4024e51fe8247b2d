"""Planner settings by policy name, for comparison in the same run."""

from collections.abc import Callable

from ..decisions.eviction import EvictionWeights
from ..decisions.planner import PlannerSettings
from ..registry import lookup, register
from . import pressure as _pressure  # noqa: F401  # enters its pacing rule
from .scenario import Scenario

__all__ = ["POLICIES", "create_settings"]

POLICIES: dict[str, Callable[[PlannerSettings], PlannerSettings]] = {}


def create_settings(name: str, scenario: Scenario) -> PlannerSettings:
    """Return the settings of a policy with the scenario's limits and weights.

    Raises:
        UnknownRegistration: If there is no such policy.
    """
    weights = EvictionWeights(scenario.cold_start_weight, scenario.idle_hour_weight)
    chosen = PlannerSettings(
        scenario.store.loads_per_s, scenario.store.concurrent, weights=weights
    )
    return lookup(POLICIES, name)(chosen)


@register(POLICIES, "default")
def _keep_defaults(chosen: PlannerSettings) -> PlannerSettings:
    return chosen


@register(POLICIES, "evict-lru")
def _evict_least_recently_used(chosen: PlannerSettings) -> PlannerSettings:
    return chosen._replace(eviction="least-recently-used")


@register(POLICIES, "evict-ttl")
def _evict_by_time_to_live(chosen: PlannerSettings) -> PlannerSettings:
    return chosen._replace(eviction="time-to-live")


@register(POLICIES, "order-first-come")
def _order_first_come(chosen: PlannerSettings) -> PlannerSettings:
    return chosen._replace(load_order="first-come")


@register(POLICIES, "pace-token-bucket")
def _pace_token_bucket(chosen: PlannerSettings) -> PlannerSettings:
    return chosen._replace(pacing="token-bucket")


@register(POLICIES, "pace-aimd")
def _pace_aimd(chosen: PlannerSettings) -> PlannerSettings:
    return chosen._replace(pacing="aimd")


@register(POLICIES, "pace-host-pressure")
def _pace_host_pressure(chosen: PlannerSettings) -> PlannerSettings:
    return chosen._replace(pacing="host-pressure")
