"""Dynamically discovered backend servers and a node's view of their state.

Three sources are merged: the platform's list, which lags; the reports of the agents
beside engines, which are fresh while the agent is up; and the answers to the node's
own requests.
"""

from collections import deque
from typing import NamedTuple

from .. import defaults
from ..dialects.fleet import HeldModel, ListedServer
from ..messages.servers import EngineLoad, EngineReport
from .backpressure import BackpressureTable, ServerBackpressure, ServerIncarnation
from .coldservers import ColdServerTable
from .configurations import ServiceSpec
from .enginememory import EngineMemory
from .enginereports import TAKEN, EngineReportTable
from .homes import RegionMap
from .pace import ServerPace, ServicePace
from .serverlimits import ServerLimit, ServerLimitTable

__all__ = ["Directory", "ListChange", "Server"]


# Pace below which a server is not filled further: its memory and slots stay the same.
_FASTEST_FACTOR = 0.87


class ListChange(NamedTuple):
    """Result of a new list: servers added, and servers removed or now leaving."""

    found: list[ListedServer]
    left: list[ListedServer]


class Server:
    """One incarnation of a backend server.

    Attributes:
        listed: Its entry on the list.
        found_at: When this node first saw it on the list.
        own: Requests of this node in flight to the server.
        in_flight_by_model: The same, by model and by model and adapter.
        running: Number of running requests last reported.
        waiting: Number of queued requests last reported.
        load_at: Time of that report, in seconds.
        report: The agent's last report; None without an agent.
        report_at: Time of that report.
        missing: Models that it refused as not loaded, with the time of refusal.
        heard_at: When the last bytes of an answer were received from it.
        left_unread: Own requests whose caller has to read before more is received.
        proved_at: When the last request was sent that it has begun to answer.
        avoided_until: Until when it gets no requests because it stopped answering.
        backpressure: What its answers have asked of this node.
        limit: The request rate that it names for all nodes together.
        is_evacuated: Whether its availability zone is evacuated.
        memory: How much of its memory is in use.
        pace: How long work takes on it, and the share of its slots that is used.
    """

    def __init__(
        self,
        listed: ListedServer,
        found_at: float,
        backpressure: ServerBackpressure | None = None,
        limit: ServerLimit | None = None,
        pace: ServerPace | None = None,
    ) -> None:
        self.listed = listed
        self.found_at = found_at
        self.backpressure = backpressure or ServerBackpressure()
        incarnation = ServerIncarnation(listed.server, listed.born_ms)
        self.limit = limit or ServerLimit(incarnation)
        self.is_evacuated = False
        self.memory = EngineMemory()
        self.pace = pace or ServerPace()
        self.own = 0
        self.in_flight_by_model: dict[str, int] = {}
        self.running = 0
        self.waiting = 0
        self.load_at = float("-inf")
        self._begun_since_load: deque[float] = deque()
        self.report: EngineReport | None = None
        self.report_at = float("-inf")
        self.missing: dict[str, float] = {}
        self.heard_at = float("-inf")
        self.left_unread = 0
        self.proved_at = float("-inf")
        self.avoided_until = float("-inf")
        # When the server was last found silent, and when its agent heard it again.
        self._avoided_at = float("-inf")
        self._found_at = float("-inf")
        self._busy_since = float("-inf")
        # When the engine's order in progress was first expected to end.
        self._order_due_at = float("inf")

    @property
    def name(self) -> str:
        """The server's identifier."""
        return self.listed.server

    @property
    def incarnation(self) -> str:
        """The identifier with the time of the start, which a restart changes."""
        return f"{self.listed.server}@{self.listed.born_ms}"

    @property
    def is_leaving(self) -> bool:
        """Whether the list or the server itself reports that it is shutting down."""
        return self.listed.is_leaving or self.backpressure.is_leaving

    def is_open(self, now: float) -> bool:
        """Return whether the server accepts requests of this node."""
        if self.listed.is_leaving or self.is_evacuated:
            return False
        return self.backpressure.allows(now)

    @property
    def load(self) -> int:
        """Estimated load: the reported one plus requests this node started since."""
        begun = len(self._begun_since_load)
        return max(self.running + self.waiting + begun, self.own)

    def capacity(self, now: float) -> float:
        """Return how many requests it runs as fast as a usual server's slots would.

        A fast server has no more slots for that.
        """
        slots = max(self.listed.slots, 1)
        slower = max(self.pace.factor(now), _FASTEST_FACTOR)
        return slots * self.pace.window(now) / slower

    def relative_load(self, now: float) -> float:
        """Return the load per slot, adjusted for the pace."""
        return self.load / self.capacity(now)

    def note_load(self, running: int, waiting: int, at: float) -> None:
        """Record a load reported by the server or its agent, measured at ``at``.

        A relayed report may be older than the load in a later answer and is dropped.
        """
        if at < self.load_at:
            return
        self.running = running
        self.waiting = waiting
        self.load_at = at
        self.pace.note_queue(waiting, at)
        while self._begun_since_load and self._begun_since_load[0] <= at:
            self._begun_since_load.popleft()

    def silent_s(self, now: float) -> float:
        """Return the time without received bytes while requests are in flight."""
        # What waits for its caller is not read, so that nothing of it can be heard.
        if self.own <= self.left_unread:
            return 0.0
        return now - max(self.heard_at, self._busy_since)

    def excuse(self, late_s: float, now: float) -> None:
        """Leave time out of the silence in which this node itself did not read."""
        self.heard_at = min(self.heard_at + late_s, now)
        self._avoided_at = min(self._avoided_at + late_s, now)
        self._busy_since = min(self._busy_since + late_s, now)

    def avoid(self, until: float, now: float) -> None:
        """Send the silent server no requests until then, or until it is heard again."""
        self.avoided_until = until
        self._avoided_at = now

    def is_avoided(self, now: float) -> bool:
        """Return whether the server fell silent and was not heard since."""
        return now < self.avoided_until and not self.has_spoken

    @property
    def has_spoken(self) -> bool:
        """Whether it was heard, here or by its agent, since it was found silent."""
        return max(self.heard_at, self._found_at) > self._avoided_at

    def note_report(self, report: EngineReport, at: float) -> None:
        """Record its agent's report, measured at ``at``.

        Agents repeat what they know while an engine is silent, so that only the report
        that it answers again shows that it does.
        """
        if report.is_reachable and self.report and not self.report.is_reachable:
            self._found_at = at
        due_at = at + report.ready_ms / defaults.MS_PER_S
        if not self.report or _name_order(report) != _name_order(self.report):
            self._order_due_at = due_at
        self.report = report
        self.report_at = at
        if report.is_reachable:
            self.memory.note_told(report.used_tokens, report.total_tokens, at)

    def begin(self, model: str, adapter: str, now: float, tokens: int = 0) -> None:
        """Count a request sent to the server, with the tokens that it may need."""
        self.memory.begin(tokens, now)
        if self.own == 0:
            self._busy_since = now
        self.own += 1
        self._begun_since_load.append(now)
        for name in _use_names(model, adapter):
            self.in_flight_by_model[name] = self.in_flight_by_model.get(name, 0) + 1

    def end(self, model: str, adapter: str, tokens: int = 0) -> None:
        """Count the end of a request."""
        self.memory.end(tokens)
        self.own -= 1
        for name in _use_names(model, adapter):
            left = self.in_flight_by_model.get(name, 0) - 1
            if left > 0:
                self.in_flight_by_model[name] = left
            else:
                self.in_flight_by_model.pop(name, None)

    def busy_s(self, now: float) -> float:
        """Return the seconds until the engine accepts its next load order.

        An order that is overdue is expected to take as long again as it is late. A load
        from an overloaded store takes several times its usual time, and other engines
        can load a model meanwhile.
        """
        if self.report is None:
            return 0.0
        told_s = self.report.ready_ms / defaults.MS_PER_S
        left_s = max(told_s - (now - self.report_at), 0.0)
        if not self.report.changing:
            return left_s
        return max(left_s, now - self._order_due_at)

    def holds(self, model: str, now: float, fresh_s: float) -> bool:
        """Return whether the server has a model loaded and may get requests for it."""
        if self.is_evacuated or self.is_avoided(now):
            return False
        if not self.backpressure.allows(now):
            return False
        return self.has_model(model, now, fresh_s)

    def has_model(self, model: str, now: float, fresh_s: float) -> bool:
        """Return whether a model is loaded according to the freshest source."""
        refused_at = self.missing.get(model, float("-inf"))
        if now - self.report_at <= fresh_s and self.report is not None:
            if refused_at > self.report_at:
                return False
            if self.report.changing == model:
                return False
            return any(held.model == model for held in self.report.models)
        if now - refused_at <= fresh_s:
            return False
        return any(held.model == model for held in self._known_models())

    def is_loading(self, model: str, now: float, fresh_s: float) -> bool:
        """Return whether the engine loads a model, by a report that is not too old."""
        report = self.report
        if report is None or now - self.report_at > fresh_s:
            return False
        return report.is_loading and report.changing == model

    def holds_adapter(self, model: str, adapter: str) -> bool:
        """Return whether an adapter is known to be loaded on a model."""
        return any(
            held.model == model and adapter in held.adapters
            for held in self._known_models()
        )

    def _known_models(self) -> tuple[HeldModel, ...] | list[HeldModel]:
        return self.report.models if self.report is not None else self.listed.models


def _name_order(report: EngineReport) -> tuple[int, str, bool]:
    """Return what identifies the engine's order in progress."""
    return report.born_ms, report.changing, report.is_loading


def _use_names(model: str, adapter: str) -> tuple[str, ...]:
    if not model:
        return ()
    return (model, f"{model}/{adapter}") if adapter else (model,)


class Directory:
    """All backend servers that a node knows.

    Attributes:
        servers: The listed servers by name.
        board: The last report of each agent.
        list_at: When the list was read.
        limits: The request rates that servers name for all nodes together.
        evacuated: The names of the evacuated availability zones.
        regions: The regions of all availability zones.
        cold: Which servers are cold.

    Args:
        balancing: Whether servers are chosen by their pace; see
            :data:`.pace.BALANCING_MODES`.
    """

    def __init__(self, balancing: str = "auto") -> None:
        self.servers: dict[str, Server] = {}
        self._by_service: dict[str, list[Server]] = {}
        self._by_address: dict[str, Server] = {}
        self.board = EngineReportTable()
        self._births: dict[str, int] = {}
        self.list_at = float("-inf")
        self._backpressure = BackpressureTable()
        self.limits = ServerLimitTable()
        self.evacuated: frozenset[str] = frozenset()
        self.regions = RegionMap({}, "")
        self.cold = ColdServerTable()
        self._balancing = balancing
        self._service_paces: dict[str, ServicePace] = {}

    def service_pace(self, service: str) -> ServicePace:
        """Return what the paces of a service's servers have in common."""
        pace = self._service_paces.get(service)
        if pace is None:
            pace = self._service_paces[service] = ServicePace(self._balancing)
        return pace

    def in_service(self, service: str) -> list[Server]:
        """Return the servers of a service, including leaving ones."""
        return self._by_service.get(service, [])

    def count_by_service(self) -> dict[str, int]:
        """Return the number of servers of each service, with leaving ones."""
        return {name: len(servers) for name, servers in self._by_service.items()}

    def at_address(self, address: str) -> Server | None:
        """Return the server at an address."""
        return self._by_address.get(address)

    def set_evacuated(self, zones: frozenset[str]) -> None:
        """Replace the evacuated availability zones."""
        self.evacuated = zones
        for server in self.servers.values():
            server.is_evacuated = server.listed.zone in zones

    def in_homes(self, service: ServiceSpec) -> list[Server]:
        """Return the servers of a service in the homes of the request that uses it."""
        servers = self.in_service(service.name)
        if service.homes is None:
            return servers
        return [
            server
            for server in servers
            if self.regions.is_home(service.homes, server.listed.zone)
        ]

    def find_obstacle(self, service: ServiceSpec) -> str:
        """Return why no server of a service can take a request before others come.

        Returns:
            ``evacuated``, ``homes`` if none is in the request's homes, else empty.
        """
        staying = [s for s in self.in_homes(service) if not s.is_leaving]
        if not staying:
            return "homes" if service.homes is not None else ""
        return "evacuated" if all(s.is_evacuated for s in staying) else ""

    def take_list(self, servers: list[ListedServer], read_at: float) -> ListChange:
        """Replace the list; one read before the current one is ignored."""
        if read_at < self.list_at:
            return ListChange([], [])
        self.list_at = read_at
        found: list[ListedServer] = []
        left: list[ListedServer] = []
        kept: dict[str, Server] = {}
        for listed in servers:
            server = self.servers.get(listed.server)
            if server is None or server.listed.born_ms != listed.born_ms:
                life = ServerIncarnation(listed.server, listed.born_ms)
                server = Server(
                    listed,
                    read_at,
                    self._backpressure.find(life),
                    self.limits.find(life),
                    ServerPace(self.service_pace(listed.service)),
                )
                server.limit.cold = self.cold.find(life, listed.service, read_at)
                found.append(listed)
            elif listed.is_leaving and not server.listed.is_leaving:
                left.append(listed)
            server.listed = listed
            server.is_evacuated = listed.zone in self.evacuated
            kept[listed.server] = server
        left.extend(
            server.listed for name, server in self.servers.items() if name not in kept
        )
        self.servers = kept
        lives = {ServerIncarnation(name, s.listed.born_ms) for name, s in kept.items()}
        self._backpressure.forget_unlisted(lives, read_at)
        self.limits.forget_unlisted(lives, read_at)
        self.cold.retain(lives)
        self._index()
        return ListChange(found, left)

    def _index(self) -> None:
        self._by_service = {}
        self._by_address = {}
        for server in self.servers.values():
            listed = server.listed
            self._by_service.setdefault(listed.service, []).append(server)
            known = self._by_address.get(listed.address)
            # Addresses are reused: the younger incarnation owns the address.
            if known is None or listed.born_ms >= known.listed.born_ms:
                self._by_address[listed.address] = server
        for address, posted in self.board.items():
            self._attach(address, posted.at, posted.report)

    def unheard(self, service: str, now: float, fresh_s: float) -> list[Server]:
        """Return newly listed servers of a service that have no fresh report yet."""
        return [
            server
            for server in self.in_service(service)
            if not (server.is_leaving or server.is_evacuated)
            and now - server.report_at > fresh_s
            and now - server.found_at <= fresh_s
        ]

    def knows_all(
        self, service: str, now: float, *, settled_s: float, fresh_s: float
    ) -> bool:
        """Return whether the engines of a service and their reports are known.

        While a fleet starts, the list names its engines one after the other.

        Args:
            service: The service.
            now: Monotonic seconds.
            settled_s: How long the list must have named no new engine.
            fresh_s: How long reports count.
        """
        grew = any(now - s.found_at < settled_s for s in self.in_service(service))
        return not grew and not self.unheard(service, now, fresh_s)

    def take_report(self, report: EngineReport, at: float) -> str:
        """Record an agent's report on its engine, measured at ``at``."""
        return self._note(report.address, self.board.update_report(report, at))

    def take_load(self, load: EngineLoad, at: float) -> str:
        """Record an engine's load; the rest of its last report remains valid."""
        return self._note(load.address, self.board.update_load(load, at))

    def _note(self, address: str, outcome: str) -> str:
        posted = self.board.find(address)
        if outcome == TAKEN and posted is not None:
            self._attach(address, posted.at, posted.report)
        return outcome

    def _attach(self, address: str, at: float, report: EngineReport) -> None:
        server = self._by_address.get(address)
        if server is None or at < server.report_at:
            return
        is_same_life = (
            not server.listed.born_ms
            or not report.born_ms
            or (server.listed.born_ms == report.born_ms)
        )
        if not is_same_life:
            return
        if server.report_at != at and report.is_reachable:
            server.note_load(report.running, report.queued, at)
            server.pace.note_told(report.pace_percent, at)
        server.note_report(report, at)

    def forget_agent(self, address: str) -> None:
        """Drop an agent's report; the platform's list applies again."""
        self.board.remove(address)
        server = self._by_address.get(address)
        if server is not None:
            server.report = None
            server.report_at = float("-inf")
