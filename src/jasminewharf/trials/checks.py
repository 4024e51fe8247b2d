"""Checks of the promises over a recorded history.

Each check returns the violations that it found, as text; an empty list is a pass.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from ..fakes.server import SeenRequest
from ..registry import register
from .records import Record

__all__ = ["CHECKS", "Evidence", "Fault", "check_all"]

# Time that a refusal may take beyond the deadline: the entry's grace and a slow
# machine.
_ANSWER_GRACE_S = 1.5
_WITHDRAWAL_S = 2.0
_LEAVING_S = 3.0
_KEY_PREFIX = "jw_"


class Fault(NamedTuple):
    """Something that was done to a process; ``ended`` is when it was over."""

    kind: str
    node: str
    started: float
    ended: float


class Charge(NamedTuple):
    """Tokens that an account was charged at a time, at their true cost."""

    account: str
    at: float
    tokens: int
    request_id: str = ""


class Evidence(NamedTuple):
    """All that a trial knows after its end.

    Attributes:
        records: The callers' records.
        faults: What was done to the processes.
        seen: Requests that each backend server saw.
        order_runs: How often each order ran, by its name.
        engine_runs: How often each request ran at an engine, by request id.
        overcommits: Times that an engine was asked for more memory than it has.
        replica_samples: Samples of (engine, model, replica number) loaded at once.
        decided_limit: Largest number of replicas per model.
        withdrawals: Key identifiers with the time at which withdrawal returned.
        drains: Hosts with the time at which the order to drain returned.
        charges: Charges at their true cost.
        limits: Rate and burst by account.
        versions: Incarnation, report sequence and version, by node.
    """

    records: Sequence[Record]
    faults: Sequence[Fault] = ()
    seen: Mapping[str, Sequence[SeenRequest]] = {}
    order_runs: Mapping[str, int] = {}
    engine_runs: Mapping[str, int] = {}
    overcommits: int = 0
    replica_samples: Sequence[Sequence[tuple[str, str, int]]] = ()
    decided_limit: Mapping[str, int] = {}
    withdrawals: Mapping[str, float] = {}
    drains: Mapping[str, float] = {}
    charges: Sequence[Charge] = ()
    limits: Mapping[str, tuple[int, int]] = {}
    versions: Mapping[str, Sequence[tuple[int, int, int]]] = {}

    def is_excused(self, record: Record) -> bool:
        """Return whether the caller's own entry was killed or frozen meanwhile."""
        return any(
            fault.node == record.entry
            and fault.kind in ("kill", "freeze")
            and fault.started <= record.ended
            and record.started <= fault.ended
            for fault in self.faults
        )

    def is_down(self, record: Record) -> bool:
        """Return whether the entry could not be reached since it was stopped."""
        if not record.error.startswith("unreachable"):
            return False
        return any(
            fault.node == record.entry
            and fault.started <= record.ended
            and record.started <= fault.ended
            for fault in self.faults
        )


Check = Callable[[Evidence], list[str]]
CHECKS: dict[str, Check] = {}


def check_all(evidence: Evidence) -> dict[str, list[str]]:
    """Run every check and return the violations by promise."""
    return {name: check(evidence) for name, check in CHECKS.items()}


@register(CHECKS, "P1 replicas")
def check_replicas(evidence: Evidence) -> list[str]:
    """No more replicas are loaded than were decided, and each only once."""
    violations = []
    for sample in evidence.replica_samples:
        models = Counter(model for _, model, _ in sample)
        for model, count in models.items():
            if count > evidence.decided_limit.get(model, count):
                violations.append(f"{count} replicas of {model} are loaded")
        numbers = Counter(number for _, _, number in sample)
        violations += [f"replica {n} twice" for n, c in numbers.items() if c > 1]
    return violations


@register(CHECKS, "P2 memory")
def check_memory(evidence: Evidence) -> list[str]:
    """No engine was asked for more memory than it has."""
    count = evidence.overcommits
    return [f"{count} orders exceeded an engine's memory"] if count else []


@register(CHECKS, "P3 answered in time")
def check_answered(evidence: Evidence) -> list[str]:
    """Every request is answered or refused before its deadline, and a grace."""
    violations = []
    for record in evidence.records:
        if evidence.is_excused(record):
            continue
        late_s = record.ended - record.started - record.deadline_s
        if record.status == 0 and not evidence.is_down(record):
            violations.append(f"{record.name}: no answer: {record.error}")
        elif late_s > _ANSWER_GRACE_S:
            violations.append(f"{record.name}: {late_s:.2f} s late")
    return violations


@register(CHECKS, "P4 workspace")
def check_workspace(evidence: Evidence) -> list[str]:
    """A request runs, and is paid for, by the workspace whose key came with it."""
    workspaces = {r.request_id: r.workspace for r in evidence.records if r.request_id}
    violations = []
    for charge in evidence.charges:
        payer = charge.account.rpartition("/")[2]
        workspace = workspaces.get(charge.request_id, payer)
        if payer != workspace:
            violations.append(f"{charge.request_id} of {workspace} charged to {payer}")
    return violations


@register(CHECKS, "P5 keys hidden")
def check_keys_hidden(evidence: Evidence) -> list[str]:
    """No backend server saw a key."""
    violations = []
    for backend, requests in evidence.seen.items():
        for request in requests:
            head = f"{request.path}?{request.query} {request.headers}"
            if _KEY_PREFIX in head or _KEY_PREFIX.encode() in request.body:
                violations.append(f"{backend} saw a key at {request.path}")
    return violations


@register(CHECKS, "P6 withdrawal")
def check_withdrawal(evidence: Evidence) -> list[str]:
    """A withdrawn key gets no answer that begins, or goes on, after the bound."""
    violations = []
    for record in evidence.records:
        withdrawn = evidence.withdrawals.get(record.key_id)
        if withdrawn is None or record.status == 0 or record.status >= 400:
            continue
        if record.whole and record.ended > withdrawn + _WITHDRAWAL_S:
            late_s = record.ended - withdrawn
            violations.append(f"{record.name}: served {late_s:.2f} s after withdrawal")
    return violations


@register(CHECKS, "P7 rates")
def check_rates(evidence: Evidence) -> list[str]:
    """No window of an account's charges exceeds burst and rate."""
    violations = []
    for account, (rate, burst) in evidence.limits.items():
        charges = sorted(c for c in evidence.charges if c.account == account)
        level = float(burst)
        last = charges[0].at if charges else 0.0
        # A bucket that starts full and never runs dry admits every window.
        for charge in charges:
            level = min(level + rate * (charge.at - last), float(burst))
            last = charge.at
            level -= charge.tokens
            if level < -1:
                violations.append(f"{account}: {-level:.0f} tokens over at {last:.3f}")
    return violations


@register(CHECKS, "P8 whole answers")
def check_whole(evidence: Evidence) -> list[str]:
    """An answer that ended as one is whole and the expected one."""
    return [
        f"{record.name}: wrong or short answer"
        for record in evidence.records
        if 200 <= record.status < 300 and not record.error and not record.whole
    ]


@register(CHECKS, "P9 not run is true")
def check_not_run(evidence: Evidence) -> list[str]:
    """Nothing that was refused as "not run" has run."""
    ran = set(evidence.engine_runs)
    for requests in evidence.seen.values():
        ran |= {request.headers.get("x-request-id", "") for request in requests}
    return [
        f"{record.name}: refused as not run, but {record.request_id} ran"
        for record in evidence.records
        if record.not_run and record.request_id in ran
    ]


@register(CHECKS, "P10 at most once")
def check_once(evidence: Evidence) -> list[str]:
    """No order ran twice, and one that was answered has run."""
    violations = [
        f"{name} ran {count} times"
        for name, count in evidence.order_runs.items()
        if count > 1
    ]
    for record in evidence.records:
        answered = record.kind == "order" and record.status == 201
        if answered and record.name not in evidence.order_runs:
            violations.append(f"{record.name} was answered and never ran")
    return violations


@register(CHECKS, "P11 leaving")
def check_leaving(evidence: Evidence) -> list[str]:
    """A leaving host's backend server gets no new call after the bound."""
    violations = []
    for host, drained in evidence.drains.items():
        for request in evidence.seen.get(host, ()):
            is_call = not request.path.startswith(("/admin/", "/feeds/", "/load"))
            if is_call and request.at > drained + _LEAVING_S:
                late_s = request.at - drained
                violations.append(f"{host}: call {late_s:.2f} s after it was drained")
    return violations


@register(CHECKS, "P12 graceful stop")
def check_graceful(evidence: Evidence) -> list[str]:
    """A process that is stopped gracefully breaks no call."""
    stops = [fault for fault in evidence.faults if fault.kind == "terminate"]
    others = [fault for fault in evidence.faults if fault.kind != "terminate"]
    violations = []
    for record in evidence.records:
        touched = [f for f in stops if _overlaps(f, record)]
        if not touched or any(_overlaps(f, record) for f in others):
            continue
        broke = record.status == 0 and not record.error.startswith("unreachable")
        if broke or record.error in ("stream_interrupted", "outcome_unknown"):
            violations.append(f"{record.name}: {record.error} during a graceful stop")
    return violations


def _overlaps(fault: Fault, record: Record) -> bool:
    return fault.started <= record.ended and record.started <= fault.ended


@register(CHECKS, "P13 versions")
def check_versions(evidence: Evidence) -> list[str]:
    """The version of a node's life never goes back.

    Control hosts may show an older report than one that another has shown before,
    so that a life's reports are put in the order in which the node made them.
    """
    violations = []
    for node, samples in evidence.versions.items():
        highest: dict[int, int] = {}
        for incarnation, _, version in sorted(samples):
            if version < highest.get(incarnation, 0):
                violations.append(f"{node}: version went back to {version}")
            highest[incarnation] = max(version, highest.get(incarnation, 0))
    return violations


def count_violations(results: Mapping[str, Iterable[str]]) -> int:
    """Return the number of violations over all checks."""
    return sum(len(list(found)) for found in results.values())
