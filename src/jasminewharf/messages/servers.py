"""Messages about backend servers found while running. Codes 180 to 199."""

from typing import NamedTuple

from ..dialects.fleet import HeldModel, ListedServer
from .codec import message

__all__ = [
    "AdapterEnsured",
    "BorrowTokens",
    "ControlHosts",
    "EngineLoad",
    "EngineReport",
    "EnsureAdapter",
    "MembershipAnswer",
    "ModelUse",
    "RequestMembership",
    "ServerListAge",
    "Servers",
    "SubmitConfiguration",
    "TokensLent",
    "WantModel",
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


@message(183)
class ControlHosts(NamedTuple):
    """IP addresses of the control hosts that are members."""

    ips: list[str]


@message(184)
class Servers(NamedTuple):
    """The platform's list, read ``age_ms`` before the message was sent."""

    age_ms: int
    servers: list[ListedServer]


@message(185)
class ServerListAge(NamedTuple):
    """The list sent last was read again, unchanged, ``age_ms`` ago."""

    age_ms: int


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


@message(187)
class EngineLoad(NamedTuple):
    """The load of an agent's engine; sent between changes of its models."""

    address: str
    running: int
    queued: int
    used_tokens: int
    room_cost: float
    blocked_rate: float


@message(188)
class WantModel(NamedTuple):
    """An entry has ``requests`` that wait for a model, worth ``urgency`` in all.

    It is repeated while they wait.
    """

    model: str
    requests: int
    urgency: float


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

    ``patience_ms`` is how long the request may wait for them.
    """

    workspace: str
    tokens: float
    patience_ms: int


@message(193)
class TokensLent(NamedTuple):
    """Answers :class:`BorrowTokens`.

    ``wait_ms`` is when lent tokens may be spent, or when to ask again; ``advance`` are
    tokens beyond those asked for, ``entries`` the number of entries that live.
    """

    is_lent: bool
    wait_ms: int
    advance: float
    entries: int
