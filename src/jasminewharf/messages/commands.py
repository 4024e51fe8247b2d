"""Commands of the log group ``fleet``. Codes 40 to 59."""

from typing import NamedTuple

from .codec import message

__all__ = [
    "AdvanceReplica",
    "CommandResult",
    "DecideReplica",
    "GrantKey",
    "ReplaceConfiguration",
    "SetDraining",
    "SubmitDocument",
    "WithdrawKey",
]


@message(40)
class SubmitDocument(NamedTuple):
    """Replaces a service's document if ``expected_version`` is current.

    Version 0 means that the service has no document yet. ``submission_id`` makes
    a resend return the first verdict. ``body`` is the YAML text; ``document`` is
    its checked form, which the control host adds so that nodes need not parse YAML.
    """

    submission_id: str
    service: str
    expected_version: int
    body: str
    author: str
    document: bytes = b""


@message(41)
class GrantKey(NamedTuple):
    """Adds a key; ``digest`` is its HMAC-SHA256 in hexadecimal."""

    submission_id: str
    key_id: str
    digest: str
    workspace: str


@message(42)
class WithdrawKey(NamedTuple):
    """Withdraws a key for good."""

    submission_id: str
    key_id: str


@message(43)
class SetDraining(NamedTuple):
    """Marks a host as leaving, or takes the mark back.

    ``source`` is operator or platform; a host is leaving while either says so.
    """

    submission_id: str
    host: str
    draining: bool
    source: str = "operator"


@message(44)
class DecideReplica(NamedTuple):
    """Decides a replica of ``model`` on ``backend``; its number is its log index.

    ``memory_mb`` covers weights, adapter set-aside and KV cache. ``from_tier`` is
    memory, disk or remote. ``agent_incarnation`` is the agent life that the
    planner saw.
    """

    service: str
    model: str
    backend: str
    host: str
    memory_mb: int
    from_tier: str


@message(45)
class AdvanceReplica(NamedTuple):
    """Moves a replica on: loaded, failed, unloading or gone."""

    replica: int
    phase: str
    reason: str


@message(46)
class CommandResult(NamedTuple):
    """What a command did: ``error`` is empty or an exception type's name.

    ``version`` is the document's version for a submission and the replica's
    number for a decision. ``winner`` names the author that a conflict lost to.
    """

    error: str
    text: str
    version: int
    winner: str = ""


@message(47)
class ReplaceConfiguration(NamedTuple):
    """Replaces the whole configuration if the acceptance rule allows it.

    ``body`` is the operator's text, compressed; the control host that proposes the
    command has checked it.
    """

    version: int
    rule: str
    body: bytes
