"""The operators' calls."""

from ..dialects.fleet import OPERATOR_DIALECTS
from ..registry import register

__all__ = ["PlatformOperators"]

_CALLS = {("POST", "/Config.Put"): "replace", ("GET", "/Config.Get"): "read"}


class PlatformOperators:
    """See :class:`..dialects.fleet.OperatorDialect`."""

    def read_call(self, method: str, target: str) -> str:
        """Return replace, read or, for an unknown call, an empty text."""
        return _CALLS.get((method, target.partition("?")[0]), "")


register(OPERATOR_DIALECTS, "platform")(PlatformOperators())
