"""What a platform provides whose backend servers are found while running.

Pure functions without sockets; each registry holds one implementation per platform.
"""

from typing import NamedTuple, Protocol

from .base import HttpCall

__all__ = [
    "CALLER_DIALECTS",
    "ENGINE_ORDERS",
    "OPERATOR_DIALECTS",
    "SERVER_LISTS",
    "AnswerHead",
    "CallHead",
    "CallerDialect",
    "EngineOrder",
    "EngineOrders",
    "EngineStatus",
    "EvacuationCall",
    "ForwardedHead",
    "HeldModel",
    "ListPage",
    "ListedColdTime",
    "ListedServer",
    "OperatorDialect",
    "OrderAnswer",
    "ServerList",
]


class HeldModel(NamedTuple):
    """A model in an engine's accelerator memory, with the adapters loaded on it."""

    model: str
    version: int
    adapters: tuple[str, ...]


class ListedServer(NamedTuple):
    """A backend server on the platform's list.

    ``server`` names one life, but for servers that restart under their former name;
    ``born_ms`` tells those apart, 0 if unknown. ``remaining_ms`` is the time until a
    server that was given short notice is gone, -1 if none was given.
    """

    server: str
    service: str
    address: str
    zone: str
    software: str
    slots: int
    is_leaving: bool
    remaining_ms: int
    born_ms: int
    models: tuple[HeldModel, ...]


class ListedColdTime(NamedTuple):
    """How long a server on the list stays cold, NaN if that cannot be read."""

    address: str
    born_ms: int
    cold_ms: float


class ListPage(NamedTuple):
    """Part of the list; ``following`` names the next page, empty at the end.

    ``skipped`` counts entries that could not be read. ``cold`` is what the others say
    of the servers' cold times.
    """

    servers: tuple[ListedServer, ...]
    following: str
    skipped: int
    cold: tuple[ListedColdTime, ...] = ()


class ServerList(Protocol):
    """How to read the list of backend servers."""

    def fetch_page(self, page: str) -> HttpCall:
        """Return the call for a page; the first one is called by an empty name."""

    def read_page(self, status: int, body: bytes) -> ListPage:
        """Read its answer; raises ``BackendError`` if it does not fit."""


class CallHead(NamedTuple):
    """What a request's head says.

    ``time_left_s`` is how long the caller waits, 0 if not told. ``last_event`` is
    the last event of a stream that the caller has, -1 if it begins the stream.
    ``shared_parts`` names the parts of the prompt that other requests may have too.
    """

    request_id: str
    host: str
    path: str
    key: str
    time_left_s: float
    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    last_event: int
    shared_parts: tuple[str, ...] = ()


class ForwardedHead(NamedTuple):
    """What the fleet adds to a request for one backend server.

    ``priority`` 0 is the most urgent, -1 leaves it out. ``last_event`` -1 begins the
    stream.
    """

    server: str
    workspace: str
    time_left_s: float
    priority: int
    last_event: int


class AnswerHead(NamedTuple):
    """What the head of a backend server's answer says.

    ``is_genuine`` tells that the server itself signed it. ``has_not_run`` is the
    server's own word; without it the request may have run. ``running``, ``waiting``
    and ``slots`` are its load, each -1 if not told. ``is_encoded`` marks a body that is
    not the server's own bytes. ``is_leaving`` tells that the server is about to stop.
    ``pause_s`` is for how long it wants no request from this host, 0 if it does not
    say so and not a number if that cannot be read. ``limit_per_s`` is how many requests
    a second it takes from all hosts together, None if it names no limit and not a
    number if that cannot be read. ``unknown_headers`` names what the dialect cannot
    read. ``pace_percent`` is how long work takes on its host at this moment, 100 as
    usual and -1 if not told. ``cold_ms`` is how long it stays cold, None if it does not
    say so and not a number if that cannot be read.
    """

    request_id: str
    is_genuine: bool
    has_not_run: bool
    running: int
    waiting: int
    slots: int
    is_encoded: bool
    is_leaving: bool
    pause_s: float
    limit_per_s: float | None
    unknown_headers: tuple[str, ...]
    pace_percent: float = -1.0
    cold_ms: float | None = None


class CallerDialect(Protocol):
    """How callers' requests and backend servers' answers look."""

    def read_call(self, method: str, target: str, headers: list) -> CallHead:
        """Read a request's head; raises ``BadRequest`` if it is not valid."""

    def forward_headers(
        self, headers: list[tuple[str, str]], forwarded: ForwardedHead
    ) -> list[tuple[str, str]]:
        """Return the head for a backend server: the caller's, and what is added."""

    def read_answer(self, status: int, headers: list[tuple[str, str]]) -> AnswerHead:
        """Read the head of an answer."""

    def read_answer_id(self, headers: list[tuple[str, str]]) -> str:
        """Return which request an answer belongs to; empty if it does not say."""

    def refusal_headers(self, request_id: str) -> list[tuple[str, str]]:
        """Return headers that an answer of the fleet's own carries."""


class EvacuationCall(NamedTuple):
    """A call to evacuate an availability zone, or to end its evacuation."""

    zone: str
    is_evacuated: bool


class OperatorDialect(Protocol):
    """How operators' calls look."""

    def read_call(self, method: str, target: str) -> str:
        """Return replace, read or, for any other call, an empty text."""

    def read_evacuation(self, method: str, target: str) -> EvacuationCall | None:
        """Return what a call says about an evacuation; None for any other call."""


class EngineStatus(NamedTuple):
    """An engine's own report.

    ``is_busy`` tells that an order is being carried out; ``orders`` counts those
    accepted since ``born_ms``. ``incoming`` lists pairs of model and adapter that are
    being fetched. Copies of weights are at hand ``in_memory`` and ``on_disk``.
    ``cold_ms`` is how long the engine stays cold; see :class:`AnswerHead`.
    """

    born_ms: int
    is_busy: bool
    orders: int
    models: tuple[HeldModel, ...]
    incoming: tuple[tuple[str, str], ...]
    running: int
    queued: int
    used_tokens: int
    total_tokens: int
    in_memory: tuple[str, ...]
    on_disk: tuple[str, ...]
    is_leaving: bool
    cold_ms: float | None = None


class EngineOrder(NamedTuple):
    """An order to an engine; ``adapter`` is empty for the model itself.

    ``expected`` is the count of orders that the engine must have accepted before,
    ``fence`` the fencing number and ``holder`` who gives the order.
    """

    loads: bool
    model: str
    adapter: str
    expected: int
    holder: str
    fence: int


class OrderAnswer(NamedTuple):
    """What became of an order: done, accepted, conflict, fenced or refused."""

    outcome: str


class EngineOrders(Protocol):
    """How an engine's report is read and how it is given orders."""

    def fetch_status(self) -> HttpCall:
        """Return the call for the engine's report."""

    def read_status(self, status: int, body: bytes) -> EngineStatus:
        """Read its answer; raises ``BackendError`` if it does not fit."""

    def give_order(self, order: EngineOrder, server: str) -> HttpCall:
        """Return the call that gives an order to the life ``server`` of the engine."""

    def read_order(self, status: int, body: bytes) -> OrderAnswer:
        """Read its answer."""

    def read_pause_s(self, status: int, headers: list[tuple[str, str]]) -> float:
        """Return for how long the engine wants no call; see :class:`AnswerHead`."""

    def read_pace(self, headers: list[tuple[str, str]]) -> float:
        """Return how long work takes on the engine's host; see :class:`AnswerHead`."""

    def read_limit(self, headers: list[tuple[str, str]]) -> float | None:
        """Return the limit that the engine names; see :class:`AnswerHead`."""

    def read_cold_ms(self, headers: list[tuple[str, str]]) -> float | None:
        """Return how long the engine stays cold; see :class:`AnswerHead`."""


CALLER_DIALECTS: dict[str, CallerDialect] = {}
ENGINE_ORDERS: dict[str, EngineOrders] = {}
OPERATOR_DIALECTS: dict[str, OperatorDialect] = {}
SERVER_LISTS: dict[str, ServerList] = {}
