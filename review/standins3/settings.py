"""Configurations that the operator of these runs sends."""

from typing import Any

__all__ = [
    "DISK_MB",
    "HOST",
    "HOST_MB",
    "KEY",
    "LLM",
    "PLAIN",
    "build",
    "model",
    "route",
]

HOST = "shop.example"
KEY = "k1abcdefgh0123456789"
LLM = "gulong-llm"
PLAIN = "gulong-app"
# Disk and memory for copies of weights, as on gulong-host.
DISK_MB = 1_400_000.0
HOST_MB = 150_000.0


def model(name: str, **fields: Any) -> dict[str, Any]:
    """Return a model of the deployment's usual size."""
    usual = {
        "name": name,
        "weightsMb": 70_000.0,
        "loadS": 6.0,
        "adapters": 4,
        "adapterMb": 66.0,
        "warmS": 0.6,
        "diskS": 1.3,
    }
    return {**usual, **fields}


def route(name: str, prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route."""
    usual = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": PLAIN,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return {**usual, **fields}


def build(
    version: int,
    models: list[dict[str, Any]],
    *,
    routes: list[dict[str, Any]] | None = None,
    plain: tuple[str, ...] = (),
    rate_per_s: float = 0,
    burst: float = 0,
    weights_mb: float = 230_000.0,
) -> dict[str, Any]:
    """Return a whole configuration, with further routes and plain services."""
    stream = {"timeoutMs": 12_000, "service": LLM, "gapTargetMs": 300, "sticky": True}
    usual = [
        route("r-safe", "/lookup/", "safe"),
        route("r-unsafe", "/charge/", "unsafe", maxAttempts=1),
        route("r-stream", "/advice/", "stream", resumable=True, **stream),
        route("r-once", "/summary/", "stream", maxAttempts=1, **stream),
    ]
    engine = {
        "slots": 16,
        "kvCapacity": 90_000,
        "models": models,
        "weightsMb": weights_mb,
        "adapterSlots": 8,
        "loadsPerS": 7.0,
        "diskMb": DISK_MB,
        "hostMb": HOST_MB,
    }
    tenant = {
        "name": "tenant-a",
        "apiKeys": [KEY],
        "priority": 1,
        "unit": "tokens",
        "plainTokens": 200,
        "ratePerS": rate_per_s,
        "burst": burst,
    }
    served = {"healthCheck": "/health", "protocol": "h1", "tls": False}
    services = [
        {"name": LLM, "maxConns": 370, "engine": engine, **served},
        *({"name": name, "maxConns": 110, **served} for name in (PLAIN, *plain)),
    ]
    return {
        "version": version,
        "routes": usual + (routes or []),
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [tenant],
    }
