"""Platform interfaces: the host list and the weight store.

``HOST_LISTS`` and ``WEIGHT_STORES`` hold one client per name. Another platform is
one more module in this folder that registers itself; all modules are imported.
"""

import importlib
import pkgutil

from .base import (
    HOST_LISTS,
    WEIGHT_STORES,
    HostListClient,
    ListedHost,
    StoreStatus,
    WeightStoreClient,
)

__all__ = [
    "HOST_LISTS",
    "WEIGHT_STORES",
    "HostListClient",
    "ListedHost",
    "StoreStatus",
    "WeightStoreClient",
]

for _module in pkgutil.iter_modules(__path__):
    importlib.import_module(f"{__name__}.{_module.name}")
