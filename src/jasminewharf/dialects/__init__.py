"""Engine dialects: how orders and answers look on a backend server's HTTP.

``DIALECTS`` holds one :class:`Dialect` per name. Another dialect is one more
module in this folder that registers itself; all modules here are imported.
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

__all__ = [
    "DIALECTS",
    "AdapterOrder",
    "CacheFeed",
    "Dialect",
    "EngineLoad",
    "EngineState",
    "HttpCall",
    "ModelOrder",
    "ModelState",
    "OrderResult",
]

for _module in pkgutil.iter_modules(__path__):
    importlib.import_module(f"{__name__}.{_module.name}")
