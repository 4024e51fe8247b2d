"""Dialects: how backend servers and platforms speak HTTP.

``DIALECTS`` holds one :class:`Dialect` per kind of engine, ``HOST_LISTS`` and
``WEIGHT_STORES`` one client per kind of platform. Another one is one more module in
this folder that registers itself; all modules here are imported.
"""

import importlib
import pkgutil

from .base import (
    DIALECTS,
    AdapterOrder,
    CacheFeed,
    Dialect,
    EngineLoad,
    EngineState,
    HttpCall,
    ModelOrder,
    ModelState,
    OrderResult,
)
from .hostlists import (
    HOST_LISTS,
    WEIGHT_STORES,
    HostListClient,
    ListedHost,
    StoreStatus,
    WeightStoreClient,
)

__all__ = [
    "DIALECTS",
    "HOST_LISTS",
    "WEIGHT_STORES",
    "AdapterOrder",
    "CacheFeed",
    "Dialect",
    "EngineLoad",
    "EngineState",
    "HostListClient",
    "HttpCall",
    "ListedHost",
    "ModelOrder",
    "ModelState",
    "OrderResult",
    "StoreStatus",
    "WeightStoreClient",
]

for _module in pkgutil.iter_modules(__path__):
    importlib.import_module(f"{__name__}.{_module.name}")
