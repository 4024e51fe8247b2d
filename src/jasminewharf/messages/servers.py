"""Messages about backend servers found while running.

Codes 180 to 209, 215 and 220 to 222.
"""

from typing import NamedTuple

from ..dialects.fleet import HeldModel, ListedServer
from .codec import message

__all__ = [
    "AdapterEnsured",
    "AskColdPermits",
    "AskPermits",
    "AskStore",
    "BorrowTokens",
    "ColdPermitAnswers",
    "ColdPermitAsk",
    "ControlHosts",
    "EngineDigest",
    "EntryCount",
    "EngineLoad",
    "EngineReport",
    "EnsureAdapter",
    "FetchServers",
    "FollowEngines",
    "HoldStore",
    "LeaveAnswer",
    "LeaveMembership",
    "MembershipAnswer",
    "ModelUse",
    "OwnerBegan",
    "PermitAnswer",
    "PermitAnswers",
    "PermitAsk",
    "PermitUnused",
    "ReleaseStore",
    "ReportLent",
    "RequestMembership",
    "ReturnTokens",
    "ServerChanges",
    "ServerColdTime",
    "ServerColdTimes",
    "ServerLimitReport",
    "ServerLimitReports",
    "ServerListAge",
    "Servers",
    "StoreTurn",
    "SubmitConfiguration",
    "TokensLent",
    "WantModel",
    "WantReports",
]


@message(180)
class SubmitConfiguration(NamedTuple):
    """A checked configuration for the fleet's leader; ``body`` is compressed."""

    version: int
    body: bytes


@message(181)
class RequestMembership(NamedTuple):
    """A control host asks to become a member under its disk's identity."""

    host: str
    identity: str
    address: str


@message(182)
class MembershipAnswer(NamedTuple):
    """Answers :class:`RequestMembership`: whether the identity votes already."""

    is_member: bool


@message(208)
class LeaveMembership(NamedTuple):
    """A control host that stops gives up its vote."""

    identity: str


@message(209)
class LeaveAnswer(NamedTuple):
    """Answers :class:`LeaveMembership`: whether the identity is no member any more."""

    has_left: bool


@message(215)
class EntryCount(NamedTuple):
    """Number of entries that were lately linked to a control host."""

    entries: int


@message(183)
class ControlHosts(NamedTuple):
    """IP addresses of the control hosts that are members."""

    ips: list[str]


@message(184)
class Servers(NamedTuple):
    """The platform's list, read ``age_ms`` before the message was sent.

    ``number`` counts the changes that its sender has seen.
    """

    age_ms: int
    servers: list[ListedServer]
    number: int = 0


@message(185)
class ServerListAge(NamedTuple):
    """The list ``number`` was read again, unchanged, ``age_ms`` ago."""

    age_ms: int
    number: int = 0


@message(186)
class EngineReport(NamedTuple):
    """What an agent knows of its engine; sent when it changes.

    ``is_reachable`` is false while the engine does not answer its agent.

    ``changing`` is the model that an order is loading or unloading, with
    ``is_loading``; ``ready_ms`` is the estimate until the engine takes the next
    order. ``wanted`` lists models that wait for an order, each with its urgency.
    ``room_cost`` is what making room for one more model would cost other requests, in
    request-seconds. ``blocked_rate`` is how many requests a second come that have to
    wait while the engine carries out an order.

    ``store_at_once`` is how many loads from the store run at full speed beside each
    other, as the owner of the store's turns said last; 0 if it said nothing.

    ``pace_percent`` is how long work takes on the engine's host, 100 as usual, as a
    mean of the agent's last reads; 0 if the engine does not report it.

    ``life_ms`` is the wall clock at the agent's start and ``number`` rises with each
    report of that life; ``load_number`` is that of the last load before it.
    """

    address: str
    is_reachable: bool
    born_ms: int
    models: list[HeldModel]
    changing: str
    is_loading: bool
    ready_ms: int
    wanted: list[tuple[str, float]]
    room_cost: float
    blocked_rate: float
    in_memory: list[str]
    on_disk: list[str]
    running: int
    queued: int
    used_tokens: int
    total_tokens: int
    life_ms: int = 0
    number: int = 0
    load_number: int = 0
    store_at_once: int = 0
    pace_percent: float = 0.0


@message(187)
class EngineLoad(NamedTuple):
    """The load of an agent's engine; sent between changes of its models.

    ``report_number`` is that of the report which it adds to.
    """

    address: str
    running: int
    queued: int
    used_tokens: int
    room_cost: float
    blocked_rate: float
    life_ms: int = 0
    report_number: int = 0
    number: int = 0
    pace_percent: float = 0.0


@message(188)
class WantModel(NamedTuple):
    """An entry has ``requests`` that wait for a model, worth ``urgency`` in all.

    It is repeated while they wait; with none it tells that callers were refused. One
    without any figure tells that the entry asks another agent from now on.
    ``age_ms`` is how long ago the first caller was refused of those since whom nobody
    was served there; ``returning`` is how many were refused lately.
    """

    model: str
    requests: int
    urgency: float
    age_ms: int = 0
    returning: int = 0


@message(189)
class ModelUse(NamedTuple):
    """An entry's use of an engine: model, requests in flight, begun since the last."""

    uses: list[tuple[str, int, int]]


@message(190)
class EnsureAdapter(NamedTuple):
    """Asks an agent to have an adapter loaded on a model that its engine holds."""

    model: str
    adapter: str


@message(191)
class AdapterEnsured(NamedTuple):
    """Answers :class:`EnsureAdapter`; ``is_loaded`` is false if it could not be."""

    is_loaded: bool


@message(192)
class BorrowTokens(NamedTuple):
    """An entry asks the owner of the rates for a request's tokens.

    ``patience_ms`` is how long the request may wait for them. ``number`` names the
    request at its entry, so that it keeps its place when it asks again; 0 takes none.
    It has waited for ``waited_ms`` before, ``priority`` 0 is the most urgent. The
    request returns ``returned`` tokens that ``returned_owner`` lent it
    ``returned_age_ms`` ago and that are too old to be spent.
    """

    workspace: str
    tokens: float
    patience_ms: int
    number: int = 0
    waited_ms: int = 0
    priority: int = 0
    returned: float = 0.0
    returned_owner: int = 0
    returned_age_ms: int = 0


@message(193)
class TokensLent(NamedTuple):
    """Answers :class:`BorrowTokens`.

    ``wait_ms`` is when lent tokens may be spent, or when to ask again; ``advance`` are
    tokens beyond those asked for, ``entries`` the number of entries that live.
    ``owner`` names the time of leading in which they were lent.

    A request with ``is_queued`` has a place in the workspace's queue and asks again
    after ``wait_ms``. ``is_scarce`` asks the entry to return what it does not need;
    ``is_assumed`` tells that the owner does not know what earlier ones lent, ``level``
    what it had to lend. ``place`` is the entry's place among all.
    """

    is_lent: bool
    wait_ms: int
    advance: float
    entries: int
    owner: int = 0
    is_queued: bool = False
    is_scarce: bool = False
    is_assumed: bool = False
    level: float = 0.0
    place: float = 0.0


@message(194)
class EngineDigest(NamedTuple):
    """What changed at engines, each with its age in milliseconds."""

    reports: list[tuple[int, EngineReport]]
    loads: list[tuple[int, EngineLoad]]


@message(195)
class FollowEngines(NamedTuple):
    """A node asks a control host for digests; it repeats this while it follows."""


@message(196)
class WantReports(NamedTuple):
    """Asks for the whole reports of engines that only loads were heard of."""

    addresses: list[str]


@message(197)
class ServerChanges(NamedTuple):
    """What leads from the sender's list ``base`` to its list ``number``.

    ``gone`` names servers that are no longer listed.
    """

    age_ms: int
    base: int
    number: int
    changed: list[ListedServer]
    gone: list[str]


@message(198)
class FetchServers(NamedTuple):
    """A node that missed a change asks for the whole list."""


@message(199)
class ReturnTokens(NamedTuple):
    """An entry gives back what it was lent and no request has spent.

    ``age_ms`` is how long ago the oldest of the tokens were lent. The request
    ``number`` gives up its place in the queue.
    """

    workspace: str
    tokens: float
    owner: int
    age_ms: int
    number: int = 0


@message(226)
class OwnerBegan(NamedTuple):
    """A new owner of the rates asks entries what they were lent before."""

    owner: int


@message(227)
class ReportLent(NamedTuple):
    """Answers :class:`OwnerBegan`: how long ago an entry was lent which tokens.

    ``entries`` is the number of entries that the last owner told. ``is_complete`` is
    false if the entry has not run for long enough to know.
    """

    owner: int
    entries: int
    is_complete: bool
    grants: list[tuple[str, list[tuple[int, float]]]]


@message(200)
class AskStore(NamedTuple):
    """An agent asks the owner of the store's turns to let its engine load a model.

    It is repeated while the engine waits. ``load_ms`` is what the load takes beside no
    other, ``at_once`` what the last owner said.
    """

    address: str
    model: str
    weight: float
    load_ms: int
    at_once: int = 0


@message(201)
class StoreTurn(NamedTuple):
    """Answers :class:`AskStore`; ``at_once`` loads run at full speed."""

    is_granted: bool
    at_once: int


@message(202)
class HoldStore(NamedTuple):
    """An agent's engine uses its turn at the store; repeated while it does.

    ``is_loading`` is false while the engine makes room for the model.
    """

    address: str
    model: str
    is_loading: bool
    at_once: int = 0


@message(203)
class ReleaseStore(NamedTuple):
    """An agent's engine loads no more; ``is_complete`` if it has the model now."""

    address: str
    is_complete: bool


class ServerLimitReport(NamedTuple):
    """What one answer of a server said of its limit.

    ``per_s`` is None if it named none. The request was sent and the answer came so many
    milliseconds ago. ``observer`` is the incarnation of the node that read it, with its
    ``number`` there.
    """

    server: str
    born_ms: int
    per_s: float | None
    sent_age_ms: int
    received_age_ms: int
    observer: int
    number: int


@message(204)
class ServerLimitReports(NamedTuple):
    """Tells a control host, or a node that follows it, of servers' limits."""

    reports: list[ServerLimitReport]


class PermitAsk(NamedTuple):
    """A request that waits for a permit to be sent to a server with a limit.

    ``number`` names it at its node, ``renewal`` counts how often it was asked before.
    It has waited for ``waited_ms`` and is of no use after ``patience_ms``.
    """

    server: str
    born_ms: int
    number: int
    renewal: int
    workspace: str
    priority: int
    waited_ms: int
    patience_ms: int


@message(205)
class AskPermits(NamedTuple):
    """A node asks the owner of the permits; repeated while the requests wait.

    ``reports`` tells what the node believes of the limits of these servers.
    """

    asks: list[PermitAsk]
    reports: list[ServerLimitReport]


class PermitAnswer(NamedTuple):
    """The decision on a :class:`PermitAsk`.

    ``renewal`` is that of the question after which it was made. ``wait_ms`` is the time
    after which a refused request would have had its permit.
    """

    number: int
    renewal: int
    is_granted: bool
    wait_ms: int


@message(206)
class PermitAnswers(NamedTuple):
    """Answers :class:`AskPermits` as far as decided; later decisions follow alone."""

    answers: list[PermitAnswer]


class ColdPermitAsk(NamedTuple):
    """A :class:`PermitAsk` for a server that can turn cold.

    ``per_s`` is what such a server takes a second, by the configuration.
    """

    ask: PermitAsk
    per_s: float


@message(221)
class AskColdPermits(NamedTuple):
    """Like :class:`AskPermits`, for servers that can turn cold."""

    asks: list[ColdPermitAsk]
    reports: list[ServerLimitReport]


@message(222)
class ColdPermitAnswers(NamedTuple):
    """Answers :class:`AskColdPermits`; later decisions follow as permits' answers.

    A new owner answers nothing else for ``held_ms``, in which permits of the one before
    it may be under way.
    """

    answers: list[PermitAnswer]
    held_ms: int = 0


class ServerColdTime(NamedTuple):
    """How long a server stays cold.

    ``cold_ms`` is what was told ``age_ms`` ago; ``is_direct`` if the server itself or
    its agent said so, and not the platform's list. ``born_ms`` is 0 if unknown.
    """

    address: str
    born_ms: int
    cold_ms: float
    age_ms: int
    is_direct: bool


@message(220)
class ServerColdTimes(NamedTuple):
    """Tells a control host, or a node, which servers are cold or not any more."""

    times: list[ServerColdTime]


@message(207)
class PermitUnused(NamedTuple):
    """A node gives up a request for a permit, or gives back an unused permit."""

    server: str
    born_ms: int
    number: int
