"""Exit codes of the command line programs, for scripts.

docs/OPERATIONS.md lists them; a test compares the two.
"""

from ..exceptions import (
    ConfigurationError,
    ConsensusError,
    EvacuationOvertaken,
    JasminewharfError,
    KeyFileError,
    LinesNotFound,
    LinkError,
    ListenFailed,
    MemberChangeRefused,
    NotKnown,
    ProposalRejected,
    QuorumLost,
    SubmissionUnconfirmed,
    TraceNotFound,
    VersionConflict,
    WaitTimeout,
)

__all__ = ["EXIT_CODES", "find_exit_code"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_REJECTED = 5
EXIT_UNAVAILABLE = 6
EXIT_UNCONFIRMED = 7
EXIT_TIMEOUT = 8
EXIT_NOT_FOUND = 9
EXIT_DIFFERENT = 10
EXIT_CANNOT_LISTEN = 11
EXIT_INTERRUPTED = 130

EXIT_CODES: dict[int, str] = {
    EXIT_OK: "done",
    EXIT_FAILED: "any other failure",
    EXIT_USAGE: "the command line is not valid",
    EXIT_INVALID: "a document, settings file or key file is not acceptable",
    EXIT_CONFLICT: "another submission against the same version won",
    EXIT_REJECTED: "the control hosts refused the order",
    EXIT_UNAVAILABLE: "no quorum of control hosts answered; nothing was ordered",
    EXIT_UNCONFIRMED: "no answer to an order; it may have been accepted",
    EXIT_TIMEOUT: "accepted, but what --wait waits for has not happened in time",
    EXIT_NOT_FOUND: "no such service, version, key, host or trace",
    EXIT_DIFFERENT: "config diff found a difference",
    EXIT_CANNOT_LISTEN: "an address is in use or not of this host",
    EXIT_INTERRUPTED: "interrupted from the keyboard",
}

# The first match counts, so that subclasses stand before their bases.
_CODES_BY_TYPE: tuple[tuple[type[JasminewharfError], int], ...] = (
    (ConfigurationError, EXIT_INVALID),
    (KeyFileError, EXIT_INVALID),
    (VersionConflict, EXIT_CONFLICT),
    (EvacuationOvertaken, EXIT_CONFLICT),
    (SubmissionUnconfirmed, EXIT_UNCONFIRMED),
    (WaitTimeout, EXIT_TIMEOUT),
    (NotKnown, EXIT_NOT_FOUND),
    (TraceNotFound, EXIT_NOT_FOUND),
    (LinesNotFound, EXIT_NOT_FOUND),
    (ListenFailed, EXIT_CANNOT_LISTEN),
    (ProposalRejected, EXIT_REJECTED),
    (MemberChangeRefused, EXIT_REJECTED),
    (QuorumLost, EXIT_UNAVAILABLE),
    (ConsensusError, EXIT_UNAVAILABLE),
    (LinkError, EXIT_UNAVAILABLE),
)


def find_exit_code(error: JasminewharfError) -> int:
    """Return the exit code that stands for ``error``."""
    for kind, code in _CODES_BY_TYPE:
        if isinstance(error, kind):
            return code
    return EXIT_FAILED
