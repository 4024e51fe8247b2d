"""The operators' calls."""

from urllib.parse import unquote

from ..dialects.fleet import OPERATOR_DIALECTS, EvacuationCall
from ..registry import register

__all__ = ["PlatformOperators"]

_CALLS = {("POST", "/Config.Put"): "replace", ("GET", "/Config.Get"): "read"}
_EVACUATIONS = {"/Evacuations.Start/": True, "/Evacuations.Stop/": False}


class PlatformOperators:
    """See :class:`..dialects.fleet.OperatorDialect`."""

    def read_call(self, method: str, target: str) -> str:
        """Return replace, read or, for any other call, an empty text."""
        return _CALLS.get((method, target.partition("?")[0]), "")

    def read_evacuation(self, method: str, target: str) -> EvacuationCall | None:
        """Return what a call says about an evacuation; None for any other call."""
        path = target.partition("?")[0]
        for prefix, is_evacuated in _EVACUATIONS.items():
            if method == "POST" and path.startswith(prefix):
                zone = unquote(path.removeprefix(prefix))
                return EvacuationCall(zone, is_evacuated)
        return None


register(OPERATOR_DIALECTS, "platform")(PlatformOperators())
