"""Checks of what operators and callers of a fleet saw of its configurations.

A version is in force from its sending on at the earliest, and from a bound after its
acknowledgement on at every entry in touch. What a version allows is a function that
maps a request's target to the outcome seen from outside.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

__all__ = [
    "CORE",
    "LEFT",
    "QUORUM",
    "Call",
    "Change",
    "Read",
    "Send",
    "Span",
    "find_breaches",
    "find_unrecovered",
]

# Of the rules, in seconds: until a version is in force, the calm before a process
# counts as in touch, what an unstable core adds, how soon a process may not go back,
# and until a change is acknowledged.
IN_FORCE_S = 2.0
CONTACT_S = 3.0
OUTER_S = 5.0
ROLLBACK_SLACK_S = 0.25
ACKNOWLEDGED_S = 4.0
# How long after the return of all hosts this part of the requests is served.
RECOVERY_S = 12.0
SERVED_PART = 0.25
# Of so many requests on routes that were added later, this part of the share on the
# first routes is served.
ADDED_REQUESTS = 20
ADDED_PART = 0.25

# Outcomes that say that a configuration does not allow a request.
REFUSALS = frozenset({"401", "403", "404"})

# Status of a sending whose operator left.
LEFT = -1

# Subjects of spans beside the names of hosts: moments at which the core is not stable,
# and times in which not more than half of it runs and is connected.
CORE = "core"
QUORUM = "quorum"


class Span(NamedTuple):
    """A time in which a subject was disturbed."""

    subject: str
    begin: float
    end: float


class Send(NamedTuple):
    """One sending of a change to a control host.

    ``status`` 0 is no clear answer, ``LEFT`` that the operator did not wait for it.
    """

    at: float
    host: str
    status: int
    answered_at: float


class Change(NamedTuple):
    """A configuration and what became of its sendings.

    ``allows`` returns the outcome of a target under this version. One that is not
    ``is_valid`` must be refused and never be in force.
    """

    version: int
    sends: Sequence[Send]
    allows: Callable[[str], str]
    is_valid: bool = True


class Read(NamedTuple):
    """A reading of the configuration; ``version`` is None if there was no answer."""

    at: float
    host: str
    version: int | None
    is_as_sent: bool = True


class Call(NamedTuple):
    """A caller's request; ``outcome`` is empty if it shows no configuration."""

    at: float
    ended_at: float
    host: str
    incarnation: int
    target: str
    outcome: str


class _Record:
    """The changes in order of their versions, and the disturbed times."""

    def __init__(self, changes: Iterable[Change], spans: Iterable[Span]) -> None:
        self.changes = sorted(changes, key=lambda change: change.version)
        self.spans = list(spans)
        self.valid = [change for change in self.changes if change.is_valid]
        self._sent = {
            change.version: min((send.at for send in change.sends), default=0.0)
            for change in self.changes
        }
        self._acknowledged = sorted(
            (answered_at, change.version)
            for change in self.valid
            if (answered_at := _first_answer(change)) is not None
        )

    def is_disturbed(self, subject: str, begin: float, end: float) -> bool:
        return any(
            span.subject == subject and span.begin <= end and span.end >= begin
            for span in self.spans
        )

    def newest_acknowledged(self, until: float) -> int:
        """Return the newest version acknowledged before ``until``; 0 if none."""
        return max((v for at, v in self._acknowledged if at < until), default=0)

    def list_possible(self, call: Call) -> list[int]:
        """Return the versions under which the call has its outcome."""
        return [
            change.version
            for change in self.valid
            if self._sent[change.version] <= call.ended_at
            and change.allows(call.target) == call.outcome
        ]

    def is_owed(self, call: Call) -> bool:
        """Return whether every version that may be in force serves the call."""
        bound = self.newest_acknowledged(call.at - IN_FORCE_S)
        return bound > 0 and not any(
            change.allows(call.target) in REFUSALS
            for change in self.valid
            if bound <= change.version and self._sent[change.version] <= call.ended_at
        )


def _first_answer(change: Change) -> float | None:
    return min((s.answered_at for s in change.sends if s.status == 200), default=None)


def find_breaches(
    changes: Iterable[Change],
    reads: Iterable[Read],
    calls: Iterable[Call],
    spans: Iterable[Span],
) -> list[str]:
    """Return a line for each broken promise, in order of time.

    Args:
        changes: The first one counts as sent before everything else.
        reads: Of all control hosts.
        calls: Of all entries.
        spans: See :data:`CORE` and :data:`QUORUM`; any other subject is the host that
            was disturbed itself or on its links to the control hosts.
    """
    record = _Record(changes, spans)
    calls = list(calls)
    found = [
        *_check_answers(record),
        *_check_reads(record, reads),
        *_check_calls(record, calls),
        *_check_added_routes(record, calls),
    ]
    return [line for _, line in sorted(found)]


def _check_answers(record: _Record) -> Iterable[tuple[float, str]]:
    for change in record.changes:
        for send in change.sends:
            if send.status == 200 and not change.is_valid:
                yield (
                    send.answered_at,
                    f"{send.answered_at:.3f} {send.host} acknowledged the invalid "
                    f"version {change.version}",
                )
            if 400 <= send.status < 500 and change.is_valid:
                yield (
                    send.answered_at,
                    f"{send.answered_at:.3f} {send.host} refused the valid version "
                    f"{change.version} with {send.status}",
                )
        if change.is_valid:
            yield from _check_duty(record, change)


def _check_duty(record: _Record, change: Change) -> Iterable[tuple[float, str]]:
    first = min(change.sends, default=None)
    is_left = any(send.status == LEFT for send in change.sends)
    if first is None or not first.host or is_left:
        return
    until = first.at + ACKNOWLEDGED_S
    answered_at = _first_answer(change)
    if answered_at is not None and answered_at <= until:
        return
    subjects = (CORE, QUORUM, first.host)
    if not any(record.is_disturbed(s, first.at - CONTACT_S, until) for s in subjects):
        yield (
            first.at,
            f"{first.at:.3f} version {change.version} sent to {first.host} has no "
            f"acknowledgement within {ACKNOWLEDGED_S:g} s",
        )


def _check_reads(record: _Record, reads: Iterable[Read]) -> Iterable[tuple[float, str]]:
    for read in reads:
        if read.version is None:
            continue
        newest = record.newest_acknowledged(read.at - IN_FORCE_S)
        if read.version < newest:
            yield (
                read.at,
                f"{read.at:.3f} {read.host} read back version {read.version} though "
                f"{newest} was acknowledged",
            )
        if not read.is_as_sent:
            yield (
                read.at,
                f"{read.at:.3f} {read.host} read back version {read.version}, but "
                "not as it was sent",
            )


def _check_calls(record: _Record, calls: Iterable[Call]) -> Iterable[tuple[float, str]]:
    # For each incarnation, the times at which it showed a version at least so new.
    shown: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for call in sorted(calls, key=lambda call: call.at):
        if not call.outcome:
            continue
        possible = record.list_possible(call)
        if not possible:
            yield (
                call.at,
                f"{call.at:.3f} {call.host} answered {call.outcome} to {call.target}, "
                "as no version that was sent allows",
            )
            continue
        bound = _find_bound(record, call)
        if bound and max(possible) < bound:
            yield (
                call.at,
                f"{call.at:.3f} {call.host} answered {call.outcome} to {call.target} "
                f"by version {max(possible)} though {bound} has to be in force",
            )
        life = shown.setdefault((call.host, call.incarnation), [])
        before = max(
            (v for at, v in life if at < call.at - ROLLBACK_SLACK_S), default=0
        )
        if max(possible) < before:
            yield (
                call.at,
                f"{call.at:.3f} {call.host} went back to version {max(possible)} from "
                f"{before} or newer",
            )
        life.append((call.ended_at, min(possible)))


def _check_added_routes(
    record: _Record, calls: Iterable[Call]
) -> Iterable[tuple[float, str]]:
    """Compare how often first and added routes are served by entries in touch."""
    served = {False: 0, True: 0}
    asked = {False: 0, True: 0}
    for call in calls:
        if not _is_in_touch(record, call) or not record.is_owed(call):
            continue
        is_added = record.valid[0].allows(call.target) in REFUSALS
        asked[is_added] += 1
        served[is_added] += call.outcome != ""
    if asked[True] < ADDED_REQUESTS or not asked[False]:
        return
    first = served[False] / asked[False]
    if served[True] / asked[True] < ADDED_PART * first:
        yield (
            float("inf"),
            f"{served[True]} of {asked[True]} requests on added routes are served, "
            f"{served[False]} of {asked[False]} on the first ones",
        )


def _is_in_touch(record: _Record, call: Call) -> bool:
    since = call.at - CONTACT_S
    return not any(
        record.is_disturbed(subject, since, call.ended_at)
        for subject in (CORE, QUORUM, call.host)
    )


def _find_bound(record: _Record, call: Call) -> int:
    """Return the oldest version that an entry may still work by; 0 for any."""
    calm_since = call.at - CONTACT_S
    if record.is_disturbed(call.host, calm_since, call.ended_at):
        return 0
    if _is_in_touch(record, call):
        return record.newest_acknowledged(call.at - IN_FORCE_S)
    since = call.at - IN_FORCE_S - OUTER_S
    if record.is_disturbed(QUORUM, since, call.ended_at):
        return 0
    return record.newest_acknowledged(since)


def find_unrecovered(
    served: Iterable[tuple[float, bool]], returned_at: float
) -> list[str]:
    """Return a line if too few requests are served after the return of all hosts.

    Args:
        served: When each request was sent and whether it was served.
        returned_at: When the last host was started.
    """
    late = [is_served for at, is_served in served if at > returned_at + RECOVERY_S]
    if late and sum(late) >= SERVED_PART * len(late):
        return []
    return [f"{sum(late)} of {len(late)} requests are served after the return"]
