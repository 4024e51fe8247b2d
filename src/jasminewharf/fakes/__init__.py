"""Stand-ins for what the platform provides, for tests, benchmarks and ``run``.

Each is an asyncio and h11 server on loopback that can be started in a process
(``python -m jasminewharf.fakes``) or as an object, and told to fail over HTTP
under ``/fake/`` or by its attributes.
"""

from .client import fetch
from .engine import EngineConfig, FakeEngine, ModelSpec
from .hosts import FakeHostList
from .plain import FakePlainService
from .server import Faults
from .store import FakeStore, StoreConfig

__all__ = [
    "EngineConfig",
    "FakeEngine",
    "FakeHostList",
    "FakePlainService",
    "FakeStore",
    "Faults",
    "ModelSpec",
    "StoreConfig",
    "fetch",
]
