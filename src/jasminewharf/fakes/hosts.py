"""The platform's list of hosts: live, leaving or gone, with a lag.

``GET /hosts`` answers what was true ``lag_s`` ago. ``POST /fake/hosts`` with
``{"host", "zone", "state"}`` changes the truth.
"""

import time

from .connection import Answer, Request, answer_json
from .server import FakeServer

__all__ = ["FakeHostList"]

_STATES = ("live", "leaving", "gone")


class FakeHostList(FakeServer):
    """The lagging list.

    Args:
        lag_s: Age of what the list shows.
    """

    def __init__(self, lag_s: float = 0.5) -> None:
        super().__init__()
        self.lag_s = lag_s
        self._history: list[tuple[float, str, str, str]] = []
        self.route("GET", "/hosts", self._serve_hosts)
        self.route("POST", "/fake/hosts", self._change_host)

    def set_host(self, host: str, zone: str, state: str = "live") -> None:
        """Change what is true of a host from now on."""
        self._history.append((time.monotonic(), host, zone, state))

    async def _serve_hosts(self, request: Request) -> Answer:
        horizon = time.monotonic() - self.lag_s
        shown: dict[str, tuple[str, str]] = {}
        for at, host, zone, state in self._history:
            if at <= horizon:
                shown[host] = (zone, state)
        hosts = [
            {"host": host, "zone": zone, "state": state}
            for host, (zone, state) in sorted(shown.items())
            if state != "gone"
        ]
        return answer_json(200, {"hosts": hosts})

    async def _change_host(self, request: Request) -> Answer:
        change = request.json()
        if change.get("state", "live") not in _STATES or "host" not in change:
            return answer_json(400, {"error": f"state must be one of {_STATES}"})
        self.set_host(
            change["host"], change.get("zone", ""), change.get("state", "live")
        )
        return answer_json(200, {})
