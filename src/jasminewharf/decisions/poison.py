"""Poison requests: parts of prompts that crash each backend server they reach.

A server that ends accuses the parts of all requests that were there, also those of
innocent neighbours. An answer that comes back whole clears the parts of its request. So
a bad part is one with several ends and no whole answer since. All nodes keep the same
table: what they tell each other is merged in any order with the same result.
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
    "hash_parts",
    "hash_request",
    "list_unanswered",
]

# What may be done with requests that hold a part.
CLEAR = "clear"
# One request at a time in the fleet, on trial.
SUSPECT = "suspect"
REFUSED = "refused"

_NEVER = -math.inf
# Set in the identities of whole requests, not in those of parts.
_WHOLE_BIT = 1 << 63


class PartEnd(NamedTuple):
    """A server that ended while it had a request with a part, in monotonic seconds.

    ``is_trial`` tells that the request was the only one in the fleet that was on trial
    for the part.
    """

    server: ServerIncarnation
    at: float
    is_trial: bool = False


class PartEvidence(NamedTuple):
    """What is known of a part.

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


def hash_parts(service: str, parts: Sequence[str]) -> tuple[int, ...]:
    """Return the identities of a prompt's parts at a service, each once."""
    considered = parts[: defaults.POISON_PARTS_LIMIT]
    names = (f"{service}\0{part}".encode() for part in considered)
    return tuple(
        dict.fromkeys(xxhash.xxh3_64_intdigest(n) & ~_WHOLE_BIT for n in names)
    )


def hash_request(
    workspace: str, host: str, method: str, target: str, body: bytes
) -> int:
    """Return the identity of a whole request.

    It is that of each repeat by the same caller: the request's identifier, its deadline
    and its other headers are left out.
    """
    head = f"{workspace}\0{host.lower()}\0{method}\0{target}\0"
    digest = xxhash.xxh3_64(head.encode())
    digest.update(body)
    return digest.intdigest() | _WHOLE_BIT


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

    def list_steps(self) -> list[float]:
        """Return the times of the ends that count.

        Those of trials do, and of others that are close together only the first.
        """
        steps: list[float] = []
        for end in sorted(self.ends.values(), key=lambda end: end.at):
            is_apart = not steps or end.at - steps[-1] >= defaults.POISON_SPACING_S
            if end.is_trial or is_apart:
                steps.append(end.at)
        return steps


class PartTable:
    """The parts of prompts under suspicion, the same on all nodes."""

    def __init__(self, limit: int = defaults.POISON_TABLE_LIMIT) -> None:
        self._limit = limit
        self._records: dict[int, _Record] = {}

    def __len__(self) -> int:
        """Return the number of parts with an end that no answer has followed."""
        return sum(bool(record.ends) for record in self._records.values())

    def __contains__(self, part: int) -> bool:
        """Return whether anything is known of a part."""
        return part in self._records

    def merge(self, evidence: PartEvidence) -> bool:
        """Add what another node, or this one, knows; return whether it was news."""
        record = self._records.get(evidence.part)
        if record is None:
            if not evidence.ends:
                return False
            record = self._records[evidence.part] = _Record()
        is_news = False
        if evidence.answered_at > record.answered_at:
            record.answered_at = evidence.answered_at
            is_news = True
        for end in evidence.ends:
            known = record.ends.get(end.server)
            if known is None or (end.is_trial and not known.is_trial):
                record.ends[end.server] = end
                is_news = is_news or end.at > record.answered_at
        _drop_ends(record)
        self._make_room(evidence.part)
        return is_news

    def _make_room(self, kept: int) -> None:
        """Forget the part with the least evidence if there are too many."""
        if len(self._records) <= self._limit:
            return
        others = ((p, r) for p, r in self._records.items() if p != kept)
        part, _ = min(others, key=lambda i: (len(i[1].list_steps()), i[1].last_at))
        del self._records[part]

    def judge(self, part: int, now: float) -> Judgement:
        """Return what may be done with requests that hold a part."""
        record = self._records.get(part)
        if record is None or not record.ends:
            return _INNOCENT
        steps = record.list_steps()
        count = len(steps)
        suspect_ends, refused_ends = 1, defaults.POISON_REFUSED_ENDS
        if record.answered_at > _NEVER:
            suspect_ends = defaults.POISON_ANSWERED_SUSPECT_ENDS
            refused_ends = defaults.POISON_ANSWERED_REFUSED_ENDS
        if count < suspect_ends:
            return Judgement(CLEAR, count)
        if count < refused_ends:
            return Judgement(SUSPECT, count)
        refused_s = defaults.POISON_REFUSED_S * 2 ** (count - refused_ends)
        left_s = steps[-1] + min(refused_s, defaults.POISON_REFUSED_LIMIT_S) - now
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
                kept_s = defaults.POISON_SUSPECT_KEPT_S + left_s
                if len(record.list_steps()) >= defaults.POISON_REFUSED_ENDS:
                    kept_s += defaults.POISON_REFUSED_LIMIT_S
            if now - record.last_at > kept_s:
                del self._records[part]


def _drop_ends(record: _Record) -> None:
    """Drop the ends that an answer has followed, and the oldest of too many."""
    later = [end for end in record.ends.values() if end.at > record.answered_at]
    later.sort(key=lambda end: end.at)
    record.ends = {end.server: end for end in later[-defaults.POISON_ENDS_KEPT :]}


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
