"""The operators' configuration, as it stands on the wire."""

import json
import re
from typing import Any

import msgspec

from ..decisions.coldservers import ColdRule
from ..decisions.configurations import (
    CONFIGURATION_FORMATS,
    STORED_FORMATS,
    CallerLimits,
    Configuration,
    EngineSpec,
    ModelSpec,
    Route,
    ServiceSpec,
    ServiceWeight,
    WorkspaceSpec,
    check_configuration,
)
from ..exceptions import ConfigurationRefused
from ..registry import register

__all__ = ["read_configuration", "read_stored_configuration"]

_MS_PER_S = 1_000.0
_AMOUNT = re.compile(r"\d{1,9}(\.\d{1,18})?([eE][+-]?\d)?", re.ASCII)
# 30 years; longer times would not fit into messages.
_LONGEST_MS = 1e12


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    # safe, unsafe or stream: what may be repeated.
    route_type: str
    timeout_ms: float
    # A route has either one service or a split, which goes first.
    service: str = ""
    traffic_split: list[_Split] = []
    target_latency_ms: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    # The longest pause between events that counts as in time.
    gap_target_ms: float = 0.0
    # The regions whose servers may be sent its requests; all if there are none.
    allowed_regions: list[str] = []


class _Model(msgspec.Struct, rename="camel"):
    name: str
    weights_mb: float
    load_s: float
    adapter_mb: float = 0.0
    # Load times from the engine's own memory and disk; the store's if left out.
    warm_s: float | None = None
    disk_s: float | None = None


class _Engine(msgspec.Struct, rename="camel"):
    slots: int = 1
    # The accelerator memory for weights and adapters of one replica.
    weights_mb: float = 0.0
    adapter_slots: int = 0
    loads_per_s: float = 1.0
    models: list[_Model] = []
    # Room for copies of weights on one replica's disk.
    disk_mb: float = 0.0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None
    # Servers that have started tolerate few requests a second for a while.
    cold_start_s: msgspec.Raw = msgspec.Raw(b"0")
    cold_per_s: msgspec.Raw = msgspec.Raw(b"0")


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int = 5
    # "tokens", or requests if left out.
    unit: str = ""
    plain_tokens: float = 0.0
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[str] = []


class _Body(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] = []


_decoder = msgspec.json.Decoder(_Body)


@register(CONFIGURATION_FORMATS, "platform")
def read_configuration(body: bytes) -> Configuration:
    """Return the checked configuration in an operator's body.

    Raises:
        ConfigurationRefused: If it cannot be read in full or is not valid.
    """
    configuration = read_stored_configuration(body)
    _check_text(body)
    check_configuration(configuration)
    return configuration


def _check_text(body: bytes) -> None:
    """Check also the parts that this release does not read.

    Raises:
        ConfigurationRefused: If readers could understand the text differently.
    """
    try:
        # Numbers need no conversion, and a very long one is no error.
        json.loads(
            body.decode(),
            object_pairs_hook=_check_names,
            parse_int=str,
            parse_float=str,
        )
    except (ValueError, RecursionError) as error:
        raise ConfigurationRefused(f"cannot be read: {error}") from error


def _check_names(members: list[tuple[str, Any]]) -> None:
    names = {name for name, _ in members}
    if len(names) == len(members):
        return
    for name, _ in members:
        if name not in names:
            raise ConfigurationRefused(f"the name {name!r} is there twice in an object")
        names.remove(name)


@register(STORED_FORMATS, "platform")
def read_stored_configuration(body: bytes) -> Configuration:
    """Return the configuration in a body that was checked when it was accepted.

    It is in force whatever this release would refuse of it.

    Raises:
        ConfigurationRefused: If it cannot be read.
    """
    try:
        read = _decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ConfigurationRefused(f"cannot be read: {error}") from error
    return Configuration(
        read.version,
        tuple(map(_translate_route, read.routes)),
        tuple(map(_translate_service, read.services)),
        tuple(map(_translate_tenant, read.tenants)),
        _translate_limits(read.limits),
    )


def _translate_route(route: _Route) -> Route:
    split = [ServiceWeight(item.service, item.weight) for item in route.traffic_split]
    if split and route.service:
        # It gets nothing, but has to be known.
        split.append(ServiceWeight(route.service, 0.0))
    return Route(
        route.name,
        route.host,
        route.path_prefix,
        route.route_type,
        _read_time(route.timeout_ms),
        max(_read_time(route.target_latency_ms), 0.0),
        route.priority,
        tuple(split or [ServiceWeight(route.service, 1.0)]),
        max(route.max_attempts, 1),
        route.public,
        route.resumable,
        max(_read_time(route.gap_target_ms), 0.0),
        tuple(route.allowed_regions),
    )


def _read_time(ms: float) -> float:
    """Return seconds, bounded by what the system can count."""
    return min(ms, _LONGEST_MS) / _MS_PER_S


def _translate_service(service: _Service) -> ServiceSpec:
    engine = service.engine
    cold = _translate_cold(service)
    if engine is None:
        return ServiceSpec(service.name, service.max_conns, None, cold)
    models = tuple(map(_translate_model, engine.models))
    spec = EngineSpec(
        engine.slots,
        engine.weights_mb,
        engine.adapter_slots,
        engine.loads_per_s,
        models,
        engine.disk_mb,
    )
    return ServiceSpec(service.name, service.max_conns, spec, cold)


def _translate_cold(service: _Service) -> ColdRule | None:
    per_s = _read_amount(service.cold_per_s)
    if per_s <= 0:
        return None
    return ColdRule(per_s, _read_amount(service.cold_start_s))


def _read_amount(raw: msgspec.Raw) -> float:
    """Return a number of an extension of the format; 0 if it cannot be one.

    Whatever it is, the rest of the configuration is valid.
    """
    text = bytes(raw).decode("ascii", "replace")
    if not _AMOUNT.fullmatch(text):
        return 0.0
    return float(text)


def _translate_model(model: _Model) -> ModelSpec:
    return ModelSpec(
        model.name,
        model.weights_mb,
        model.load_s,
        model.load_s if model.disk_s is None else model.disk_s,
        model.load_s if model.warm_s is None else model.warm_s,
        model.adapter_mb,
    )


def _translate_tenant(tenant: _Tenant) -> WorkspaceSpec:
    return WorkspaceSpec(
        tenant.name,
        tuple(tenant.api_keys),
        tenant.priority,
        tenant.rate_per_s,
        tenant.burst,
        tenant.plain_tokens if tenant.unit == "tokens" else 0.0,
        tuple(tenant.allowed_regions),
    )


def _translate_limits(limits: _Limits | None) -> CallerLimits | None:
    if limits is None:
        return None
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        _read_time(limits.header_timeout_ms),
        _read_time(limits.idle_timeout_ms),
    )
