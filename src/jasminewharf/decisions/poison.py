"""Poison requests: whole requests, or parts of prompts, that crash backend servers.

A server that ends accuses all requests that were there and their parts, also those of
innocent neighbours. An answer that comes back whole clears its request and the parts of
it. So what is bad has several ends and no whole answer since. All nodes keep the same
table: what they tell each other is merged in any order with the same result.

Whole requests and parts are both known by a number, their identity; one bit tells them
apart. A whole request has a second identity, for ends that came late in its answer.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

import xxhash

from .. import defaults
from .backpressure import ServerIncarnation

__all__ = [
    "CLEAR",
    "REFUSED",
    "SUSPECT",
    "AnsweredParts",
    "Judgement",
    "PartEnd",
    "PartEvidence",
    "PartTable",
    "TrialBook",
    "count_trial_slots",
    "find_late_identity",
    "hash_parts",
    "hash_request",
    "hash_trial_slot",
    "is_whole",
    "list_unanswered",
]

# What may be done with a request, or with all that hold a part.
CLEAR = "clear"
# One request at a time in the fleet, on trial.
SUSPECT = "suspect"
REFUSED = "refused"

_NEVER = -math.inf
# Set in the identities of whole requests, not in those of parts.
_WHOLE_BIT = 1 << 63
# Tells the two identities of a whole request apart.
_LATE_BIT = 1 << 62


class PartEnd(NamedTuple):
    """A server that ended while it had such a request, in monotonic seconds.

    ``is_trial`` tells that the request was the only one in the fleet that was on trial
    for its part, or for itself.
    """

    server: ServerIncarnation
    at: float
    is_trial: bool = False


class PartEvidence(NamedTuple):
    """What is known of a part or a whole request.

    ``answered_at`` is when the last request with it was answered whole, -inf if none
    was; all ``ends`` are later.
    """

    part: int
    answered_at: float
    ends: tuple[PartEnd, ...]


class Judgement(NamedTuple):
    """What may be done with a part; ``left_s`` is how long it is refused yet."""

    standing: str
    ends: int
    left_s: float = 0.0


_INNOCENT = Judgement(CLEAR, 0)
_NONE: frozenset[ServerIncarnation] = frozenset()


class _Rules(NamedTuple):
    """From how many ends on something is suspected and refused, and for how long.

    The time grows by ``growth`` with each further end. ``kept_s`` is how long an end is
    remembered that does not lead to a refusal.
    """

    suspect_ends: int
    refused_ends: int
    refused_s: float
    growth: int
    limit_s: float
    kept_s: float


_PART_RULES = _Rules(
    1,
    defaults.POISON_REFUSED_ENDS,
    defaults.POISON_REFUSED_S,
    2,
    defaults.POISON_REFUSED_LIMIT_S,
    defaults.POISON_SUSPECT_KEPT_S,
)
_ANSWERED_PART_RULES = _PART_RULES._replace(
    suspect_ends=defaults.POISON_ANSWERED_SUSPECT_ENDS,
    refused_ends=defaults.POISON_ANSWERED_REFUSED_ENDS,
)
# An answer to an earlier repeat says nothing for a request that has turned bad.
_WHOLE_RULES = _Rules(
    1,
    defaults.POISON_REFUSED_ENDS,
    defaults.POISON_WHOLE_REFUSED_S,
    defaults.POISON_WHOLE_REFUSED_GROWTH,
    defaults.POISON_WHOLE_REFUSED_LIMIT_S,
    defaults.POISON_WHOLE_KEPT_S,
)
# A long answer meets many ends of its server that it has nothing to do with.
_LATE_RULES = _WHOLE_RULES._replace(suspect_ends=defaults.POISON_LATE_SUSPECT_ENDS)


def is_whole(identity: int) -> bool:
    """Return whether an identity is that of a whole request."""
    return bool(identity & _WHOLE_BIT)


def _find_rules(identity: int, answered_at: float) -> _Rules:
    if is_whole(identity):
        return _LATE_RULES if identity & _LATE_BIT else _WHOLE_RULES
    return _PART_RULES if answered_at == _NEVER else _ANSWERED_PART_RULES


def hash_parts(service: str, parts: Sequence[str]) -> tuple[int, ...]:
    """Return the identities of a prompt's parts at a service, each once."""
    considered = parts[: defaults.POISON_PARTS_LIMIT]
    names = (f"{service}\0{part}".encode() for part in considered)
    return tuple(
        dict.fromkeys(xxhash.xxh3_64_intdigest(n) & ~_WHOLE_BIT for n in names)
    )


def hash_request(
    workspace: str, route: str, method: str, target: str, body: bytes
) -> int:
    """Return the identity of a whole request.

    It is that of each repeat by the same caller: the request's identifier, its deadline
    and its other headers are left out.
    """
    head = f"{workspace}\0{route}\0{method}\0{target}\0"
    digest = xxhash.xxh3_64(head.encode())
    digest.update(body)
    return digest.intdigest() & ~_LATE_BIT | _WHOLE_BIT


def find_late_identity(whole: int) -> int:
    """Return the identity of a whole request for ends that came late in its answer."""
    return whole | _LATE_BIT


def count_trial_slots(servers: int) -> int:
    """Return how many servers of a service may be put at risk by trials at a time."""
    return max(servers - defaults.POISON_SPARED_SERVERS, 1)


def hash_trial_slot(service: str, slot: int) -> int:
    """Return the identity that all trials in a slot of a service have in common."""
    return xxhash.xxh3_64_intdigest(f"{service}\0slot {slot}".encode()) & ~_WHOLE_BIT


class AnsweredParts:
    """When requests with a part were last answered whole, as one node has seen it.

    The parts that were answered longest ago are forgotten first.
    """

    def __init__(self, limit: int = defaults.POISON_ANSWERED_LIMIT) -> None:
        self._limit = limit
        self._answered: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of parts that are known."""
        return len(self._answered)

    def note(self, parts: Iterable[int], now: float) -> None:
        """Record a whole answer to a request with these parts."""
        for part in parts:
            self._answered[part] = now
            self._answered.move_to_end(part)
        while len(self._answered) > self._limit:
            self._answered.popitem(last=False)

    def find(self, part: int) -> float:
        """Return when a part was last answered; -inf if that is not known."""
        return self._answered.get(part, _NEVER)


def list_unanswered(parts: Iterable[int], answered: AnsweredParts) -> list[int]:
    """Return the parts without a whole answer that is known."""
    return [part for part in parts if answered.find(part) == _NEVER]


class _Record:
    __slots__ = ("answered_at", "ends")

    def __init__(self) -> None:
        self.answered_at = _NEVER
        self.ends: dict[ServerIncarnation, PartEnd] = {}

    @property
    def last_at(self) -> float:
        return max((end.at for end in self.ends.values()), default=self.answered_at)

    def add(self, end: PartEnd) -> None:
        """Add an end, unless another request has told of it."""
        known = self.ends.get(end.server)
        if known is None:
            self.ends[end.server] = end
        elif end.is_trial:
            self.ends[end.server] = known._replace(is_trial=True)

    def drop_ends(self) -> None:
        """Drop the ends that an answer has followed, and the oldest of too many."""
        later = [end for end in self.ends.values() if end.at > self.answered_at]
        later.sort(key=lambda end: (end.at, end.server))
        kept = later[-defaults.POISON_ENDS_KEPT :]
        self.ends = {end.server: end for end in kept}

    def list_steps(self, explained: frozenset[ServerIncarnation]) -> list[float]:
        """Return the times of the ends that count.

        Those of trials do, and of others that are close together only the first. Those
        of ``explained`` servers count once together.
        """
        steps: list[float] = []
        is_explained = False
        for end in self.ends.values():
            if end.server in explained:
                if is_explained:
                    continue
                is_explained = True
            is_apart = not steps or end.at - steps[-1] >= defaults.POISON_SPACING_S
            if end.is_trial or is_apart:
                steps.append(end.at)
        return steps


class PartTable:
    """The parts of prompts and whole requests under suspicion, as on all nodes."""

    def __init__(self, limit: int = defaults.POISON_TABLE_LIMIT) -> None:
        self._limit = limit
        self._records: dict[int, _Record] = {}
        # Whole requests with enough ends to be refused.
        self._guilty: set[int] = set()

    def __len__(self) -> int:
        """Return the number of parts with an end that no answer has followed."""
        return sum(bool(record.ends) for record in self._records.values())

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of anything."""
        return not self._records

    def __contains__(self, part: int) -> bool:
        """Return whether anything is known of a part or a whole request."""
        return part in self._records

    def merge(self, evidence: PartEvidence) -> bool:
        """Add what another node, or this one, knows; return whether it was news."""
        record = self._records.get(evidence.part)
        if record is None:
            if not evidence.ends:
                return False
            record = self._records[evidence.part] = _Record()
        before = record.answered_at, record.ends
        record.answered_at = max(record.answered_at, evidence.answered_at)
        record.ends = dict(record.ends)
        for end in evidence.ends:
            record.add(end)
        record.drop_ends()
        self._note_guilt(evidence.part, record)
        self._make_room(evidence.part)
        return (record.answered_at, record.ends) != before

    def _note_guilt(self, part: int, record: _Record) -> None:
        if is_whole(part):
            is_guilty = len(self._list_steps(part, record)) >= _WHOLE_RULES.refused_ends
            (self._guilty.add if is_guilty else self._guilty.discard)(part)

    def _list_steps(self, part: int, record: _Record) -> list[float]:
        return record.list_steps(self._list_explained(part, record))

    def _list_explained(
        self, part: int, record: _Record
    ) -> frozenset[ServerIncarnation]:
        """Return the servers of a part's ends that one bad request explains.

        It may have the part from sound requests. Several bad requests accuse the part
        that they have in common.
        """
        if is_whole(part) or not self._guilty:
            return _NONE
        causes = []
        for whole in self._guilty:
            common = record.ends.keys() & self._records[whole].ends.keys()
            if len(common) > 1:
                causes.append(frozenset(common))
        return causes[0] if len(causes) == 1 else _NONE

    def _make_room(self, kept: int) -> None:
        """Forget the part with the least evidence if there are too many."""
        if len(self._records) <= self._limit:
            return
        others = (item for item in self._records.items() if item[0] != kept)
        part, _ = min(others, key=lambda i: (len(self._list_steps(*i)), i[1].last_at))
        self._forget(part)

    def _forget(self, part: int) -> None:
        del self._records[part]
        self._guilty.discard(part)

    def judge(self, part: int, now: float) -> Judgement:
        """Return what may be done with requests that hold a part."""
        record = self._records.get(part)
        if record is None or not record.ends:
            return _INNOCENT
        steps = self._list_steps(part, record)
        count = len(steps)
        rules = _find_rules(part, record.answered_at)
        if count < rules.suspect_ends:
            return Judgement(CLEAR, count)
        if count < rules.refused_ends:
            return Judgement(SUSPECT, count)
        refused_s = rules.refused_s * rules.growth ** (count - rules.refused_ends)
        left_s = steps[-1] + min(refused_s, rules.limit_s) - now
        if left_s <= 0:
            return Judgement(SUSPECT, count)
        return Judgement(REFUSED, count, left_s)

    def find(self, part: int) -> PartEvidence | None:
        """Return what is known of a part."""
        record = self._records.get(part)
        if record is None:
            return None
        return PartEvidence(part, record.answered_at, tuple(record.ends.values()))

    def parts(self) -> Iterator[int]:
        """Iterate over the parts of which anything is known."""
        return iter(list(self._records))

    def forget_old(self, now: float) -> None:
        """Drop what no longer matters; a part that is refused is kept meanwhile."""
        for part, record in list(self._records.items()):
            kept_s = defaults.POISON_CLEARED_KEPT_S
            if record.ends:
                left_s = self.judge(part, now).left_s
                kept_s = _find_rules(part, record.answered_at).kept_s + left_s
                if len(self._list_steps(part, record)) >= defaults.POISON_REFUSED_ENDS:
                    kept_s += _find_rules(part, record.answered_at).limit_s
            if now - record.last_at > kept_s:
                self._forget(part)


class TrialBook:
    """The trials that are under way: one request at a time for each suspected part."""

    def __init__(self) -> None:
        self._held: dict[int, tuple[object, float]] = {}

    def __len__(self) -> int:
        """Return the number of parts on trial."""
        return len(self._held)

    def take(self, holder: object, parts: Sequence[int], now: float) -> bool:
        """Begin a trial of all parts unless one of them is on trial."""
        for part in parts:
            held = self._held.get(part)
            if held is not None and held[0] != holder and held[1] > now:
                return False
        for part in parts:
            self._held[part] = holder, now + defaults.POISON_TRIAL_S
        return True

    def end(self, holder: object) -> None:
        """End a holder's trial."""
        self._held = {p: held for p, held in self._held.items() if held[0] != holder}

    def forget_old(self, now: float) -> None:
        """Drop trials whose node has not ended them in time."""
        self._held = {p: held for p, held in self._held.items() if held[1] > now}
