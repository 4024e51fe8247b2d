"""The tree of exceptions.

Every failure that the system reports has a type here. A :class:`Refusal` is
what a caller is told; it carries the HTTP status and whether a backend server
can have begun the call.
"""

import errno

__all__ = [
    "AccountOwnerUnavailable",
    "AnswerBroken",
    "BackendError",
    "BackendFailed",
    "BackendSilent",
    "BackendUnreachable",
    "BadRequest",
    "BodyTooLarge",
    "CallerLeft",
    "ClaimConflict",
    "ClaimStoreFull",
    "ClaimsUnavailable",
    "ConfigurationError",
    "ConfigurationRefused",
    "ConsensusError",
    "CorruptLog",
    "DeadlineExceeded",
    "DocumentError",
    "DuplicateRegistration",
    "EvacuationOvertaken",
    "FenceRejected",
    "Forbidden",
    "HeadTooLarge",
    "HomesUnavailable",
    "ImplausibleDemand",
    "IncarnationMismatch",
    "JasminewharfError",
    "KernelError",
    "KeyFileError",
    "KeyWithdrawn",
    "LeaseExpired",
    "LimitReached",
    "LinesNotFound",
    "LinkError",
    "LinkTimeout",
    "ListenFailed",
    "LogDivergence",
    "MalformedMessage",
    "MemberChangeRefused",
    "MemoryFull",
    "MemoryOvercommit",
    "MissingService",
    "ModelUnavailable",
    "NotFound",
    "NotKnown",
    "NotLeader",
    "NotRunThere",
    "OutcomeUnknown",
    "Overloaded",
    "PeerUnavailable",
    "PromptRefused",
    "ProposalRejected",
    "QueueFull",
    "QuorumLost",
    "RateExceeded",
    "Refusal",
    "RequestTimeout",
    "ScenarioError",
    "ServersEvacuated",
    "ServiceFailed",
    "SettingsError",
    "ShuttingDown",
    "StorageError",
    "StorageFull",
    "StreamInterrupted",
    "SubmissionUnconfirmed",
    "TooManyConnections",
    "TrialBusy",
    "TraceNotFound",
    "TrialError",
    "Unauthorized",
    "Unconfirmed",
    "UnknownRegistration",
    "UnknownZone",
    "VersionConflict",
    "WaitTimeout",
    "WorkspaceBusy",
    "ZoneEvacuated",
    "ZonesUnknown",
]


class JasminewharfError(Exception):
    """Base of all errors of this package."""


class KernelError(JasminewharfError):
    """A service could not be found, started or kept running."""


class MissingService(KernelError):
    """A service that another one requires is not registered."""

    def __init__(self, name: str) -> None:
        self.name = name
        super().__init__(f"service {name!r} is not registered")


class ServiceFailed(KernelError):
    """A task of a service ended with an unexpected error."""

    def __init__(self, name: str) -> None:
        self.name = name
        super().__init__(f"service {name!r} failed")


class DuplicateRegistration(JasminewharfError):
    """Two targets were registered under one name."""

    def __init__(self, name: object) -> None:
        self.name = name
        super().__init__(f"{name!r} is already registered")


class UnknownRegistration(JasminewharfError):
    """No target is registered under the name."""

    def __init__(self, name: str, known: list[str]) -> None:
        self.name = name
        self.known = known
        super().__init__(f"{name!r} is unknown; known are: {', '.join(known)}")


class ConfigurationError(JasminewharfError):
    """A settings file or a document is not acceptable.

    Attributes:
        file: The file's name, or the name of the input.
        line: The line, counted from 1; 0 if unknown.
        path: The dotted path of the value.
        reason: What is wrong and what is allowed.
    """

    def __init__(self, file: str, line: int, path: str, reason: str) -> None:
        self.file = file
        self.line = line
        self.path = path
        self.reason = reason
        super().__init__(f"{file}:{line}: {path or '(root)'}: {reason}")


class SettingsError(ConfigurationError):
    """A settings file is not acceptable."""


class DocumentError(ConfigurationError):
    """A service document is not acceptable."""


class ConfigurationRefused(JasminewharfError):
    """A whole configuration cannot be read or its parts do not fit together."""


class ScenarioError(JasminewharfError):
    """A scenario file of the bench tool is not acceptable."""


class VersionConflict(JasminewharfError):
    """A document was submitted against a version that is no longer current."""

    def __init__(self, service: str, expected: int, current: int, winner: str) -> None:
        self.service = service
        self.expected = expected
        self.current = current
        self.winner = winner
        super().__init__(
            f"{service}: expected version {expected}, current is {current}, "
            f"submitted by {winner}"
        )


class SubmissionUnconfirmed(JasminewharfError):
    """No answer came to an operator's order; it may have been accepted.

    Attributes:
        submission_id: Sending the order again under this identifier is safe.
    """

    def __init__(self, submission_id: str, reason: str) -> None:
        self.submission_id = submission_id
        self.reason = reason
        super().__init__(
            f"the outcome is unknown ({reason}); "
            f"to send it again safely, add --submission {submission_id}"
        )


class NotKnown(JasminewharfError):
    """The named thing does not exist in the fleet's state."""


class UnknownZone(NotKnown):
    """No availability zone of this name is known; nothing has changed."""


class WaitTimeout(JasminewharfError):
    """What the operator waits for has not happened in time.

    The order itself was accepted.
    """


class TraceNotFound(JasminewharfError):
    """No span of the request is in the trace files."""


class LinesNotFound(JasminewharfError):
    """No log line of the request is in the files, or a file cannot be read."""


class KeyFileError(JasminewharfError):
    """A file that holds a secret cannot be used.

    Attributes:
        file: The file's path.
        reason: What is wrong, without the file's content.
    """

    def __init__(self, file: str, reason: str) -> None:
        self.file = file
        self.reason = reason
        super().__init__(f"{file}: {reason}")


class StorageError(JasminewharfError):
    """The disk did not do what it was asked."""


class StorageFull(StorageError):
    """The disk has no space left; nothing was acknowledged."""


class CorruptLog(StorageError):
    """A record inside the log fails its checksum; the log is not used."""


class ConsensusError(JasminewharfError):
    """The replicated log could not take a command."""


class NotLeader(ConsensusError):
    """This control host does not lead the group; the command is not committed.

    Attributes:
        group: The log group's name.
        leader: The leader's member identity, or an empty string if unknown.
    """

    def __init__(self, group: str, leader: str) -> None:
        self.group = group
        self.leader = leader
        super().__init__(f"not the leader of {group}; leader is {leader or 'unknown'}")


class QuorumLost(ConsensusError):
    """No quorum of control hosts answered in time.

    A proposed command may still be committed later: its outcome is unknown.
    """


class ProposalRejected(ConsensusError):
    """The state machine refused a command."""


class EvacuationOvertaken(ConsensusError):
    """A later call has changed the state of the availability zone meanwhile."""


class ZonesUnknown(ConsensusError):
    """This control host cannot tell yet which availability zones there are."""


class LogDivergence(ConsensusError):
    """A leader sent another entry in place of a committed one."""

    def __init__(self, group: str, index: int) -> None:
        self.group = group
        self.index = index
        super().__init__(f"{group}: committed entry {index} would be replaced")


class MemberChangeRefused(ConsensusError):
    """A change of members is in progress, or the member cannot be reached."""


class LinkError(JasminewharfError):
    """An internal link failed."""


class LinkTimeout(LinkError):
    """A peer did not answer in time; the outcome is unknown."""


class PeerUnavailable(LinkError):
    """The peer cannot be reached; nothing was sent."""


class ListenFailed(LinkError):
    """A process cannot listen where its settings say.

    Attributes:
        is_passing: Whether it may soon be able to: the address is in use, or not
            configured yet.
    """

    def __init__(self, address: str, reason: str, number: int | None = None) -> None:
        self.address = address
        self.reason = reason
        self.is_passing = number in (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
        super().__init__(f"cannot listen on {address}: {reason}")


class MalformedMessage(LinkError):
    """Bytes on an internal link are not a message of this protocol."""


class ImplausibleDemand(LinkError):
    """An entry asks for more than it can have callers for."""

    def __init__(self, node: str, model: str) -> None:
        self.node = node
        self.model = model
        super().__init__(f"{node}: the demand for model {model!r} is not plausible")


class IncarnationMismatch(LinkError):
    """A message was addressed to an earlier life of this process."""


class BackendError(JasminewharfError):
    """A backend server answered with an error or not at all."""


class BackendSilent(BackendError):
    """A backend server gave no answer in time; the call may have begun."""


class BackendUnreachable(BackendError):
    """No connection to the backend server; the call did not begin."""


class LimitReached(BackendUnreachable):
    """A server's limit on requests a second allows no send now; nothing was sent.

    Attributes:
        wait_s: Seconds until a request may be sent, as far as known.
    """

    def __init__(self, server: str, wait_s: float) -> None:
        self.server = server
        self.wait_s = wait_s
        super().__init__(f"{server} takes no request within {wait_s:.2f} s")


class ZoneEvacuated(LimitReached):
    """The server's availability zone is evacuated; nothing was sent."""

    def __init__(self, server: str) -> None:
        super().__init__(server, 0.0)


class TrialBusy(JasminewharfError):
    """A request under suspicion can't be sent to a server now; nothing was sent."""

    def __init__(self, server: str) -> None:
        self.server = server
        super().__init__(f"{server} is left out of trials now")


class AnswerBroken(BackendError):
    """An answer ended early or was not that of the request; the request may have run.

    Attributes:
        began: Whether bytes of the answer had arrived.
        is_silent: Whether the server sent nothing for too long.
        may_be_poison: Whether the server has ended and the request may be the cause.
    """

    def __init__(
        self, reason: str, *, began: bool = False, is_silent: bool = False
    ) -> None:
        self.began = began
        self.is_silent = is_silent
        self.may_be_poison = False
        super().__init__(reason)


class NotRunThere(BackendError):
    """A backend server has not run a request and never will.

    Attributes:
        is_full: Whether it had no place for it.
        is_absent: Whether it does not hold the model, or is not the server meant.
    """

    def __init__(
        self, reason: str, *, is_full: bool = False, is_absent: bool = False
    ) -> None:
        self.is_full = is_full
        self.is_absent = is_absent
        super().__init__(reason)


class FenceRejected(BackendError):
    """The engine refused an order because of its fencing number."""


class MemoryOvercommit(JasminewharfError):
    """An order would reserve more memory than the host has."""


class TrialError(JasminewharfError):
    """A trial could not be set up."""


class Refusal(JasminewharfError):
    """What a caller is told instead of an answer.

    Attributes:
        status: The HTTP status.
        kind: The ``type`` in the error body.
        not_run: Whether no backend server can have begun the call.
        retry_after_ms: When to come back, in milliseconds; None if pointless.
    """

    status = 500
    kind = "internal_error"

    def __init__(
        self,
        message: str,
        *,
        not_run: bool = True,
        retry_after_ms: int | None = None,
    ) -> None:
        self.message = message
        self.not_run = not_run
        self.retry_after_ms = retry_after_ms
        super().__init__(message)


class BadRequest(Refusal):
    """The call is not valid."""

    status = 400
    kind = "invalid_request"


class Unauthorized(Refusal):
    """No key, or a key that is not known."""

    status = 401
    kind = "unauthorized"


class KeyWithdrawn(Unauthorized):
    """The key was withdrawn while the connection was open."""

    kind = "key_withdrawn"


class Forbidden(Refusal):
    """The key's workspace may not use this service or model."""

    status = 403
    kind = "forbidden"


class NotFound(Refusal):
    """No such route, service or model."""

    status = 404
    kind = "not_found"


class ClaimConflict(Refusal):
    """The idempotency key was used with another body."""

    status = 409
    kind = "idempotency_conflict"


class OutcomeUnknown(Refusal):
    """An earlier call under this key may have run; it is not repeated."""

    status = 409
    kind = "outcome_unknown"


class ClaimStoreFull(Refusal):
    """No room for another claim; nothing was claimed or forwarded."""

    status = 503
    kind = "claims_full"


class ClaimsUnavailable(Refusal):
    """The claim could not be made durable; nothing was forwarded."""

    status = 503
    kind = "claims_unavailable"


class BodyTooLarge(Refusal):
    """The body is longer than the limit."""

    status = 413
    kind = "body_too_large"


class RequestTimeout(Refusal):
    """The request did not arrive in time."""

    status = 408
    kind = "request_timeout"


class TooManyConnections(Refusal):
    """The entry holds as many connections as it may."""

    status = 503
    kind = "connections_full"


class MemoryFull(Refusal):
    """The process has no memory left for what the request still has to send."""

    status = 503
    kind = "memory_full"


class WorkspaceBusy(Refusal):
    """The workspace has as many connections or requests here as it may."""

    status = 429
    kind = "workspace_busy"


class HeadTooLarge(Refusal):
    """The head is longer than the limit."""

    status = 431
    kind = "head_too_large"


class RateExceeded(Refusal):
    """The workspace has spent its rate and burst."""

    status = 429
    kind = "rate_exceeded"


class QueueFull(Refusal):
    """The waiting queue is full."""

    status = 503
    kind = "queue_full"


class Overloaded(Refusal):
    """The call cannot be served before its deadline."""

    status = 503
    kind = "overloaded"


class ModelUnavailable(Refusal):
    """No replica is loaded and none can be before the deadline."""

    status = 503
    kind = "model_unavailable"


class ServersEvacuated(Refusal):
    """All backend servers are in evacuated availability zones or leaving."""

    kind = "servers_evacuated"
    status = 503


class HomesUnavailable(Refusal):
    """No backend server is in a region that the request is confined to."""

    kind = "homes_unavailable"
    status = 503


class PromptRefused(Refusal):
    """A part of the prompt has crashed backend servers, or may have."""

    status = 503
    kind = "prompt_refused"


class AccountOwnerUnavailable(Refusal):
    """The rate account's owner did not answer and no grant is held."""

    status = 503
    kind = "rate_unavailable"


class LeaseExpired(Refusal):
    """This node cannot confirm that its configuration is current."""

    status = 503
    kind = "configuration_unconfirmed"


class Unconfirmed(Refusal):
    """This control host cannot confirm what a quorum holds."""

    status = 503
    kind = "unconfirmed"


class ShuttingDown(Refusal):
    """This process takes no new work."""

    status = 503
    kind = "shutting_down"


class CallerLeft(Refusal):
    """The caller closed its sending side before a backend server began."""

    status = 503
    kind = "caller_left"


class BackendFailed(Refusal):
    """A backend server may have run the request, and its answer is lost."""

    status = 502
    kind = "backend_failed"


class DeadlineExceeded(Refusal):
    """The deadline passed."""

    status = 504
    kind = "deadline_exceeded"


class StreamInterrupted(Refusal):
    """The answer was cut and could not be resumed."""

    status = 502
    kind = "stream_interrupted"
