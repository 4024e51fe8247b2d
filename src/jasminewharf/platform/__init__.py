"""The adapter to a platform that lists its backend servers and takes one document.

It translates and decides nothing: each module registers the platform's form of one
interface under the name ``platform``. Nothing outside this folder knows a name of the
platform's wire; ``deploy/settings.yaml.template`` translates its settings.
"""

from .callers import PlatformCallers
from .configurations import read_configuration, read_stored_configuration
from .engines import PlatformEngines
from .operators import PlatformOperators
from .servers import PlatformServers

__all__ = [
    "PlatformCallers",
    "PlatformEngines",
    "PlatformOperators",
    "PlatformServers",
    "read_configuration",
    "read_stored_configuration",
]
