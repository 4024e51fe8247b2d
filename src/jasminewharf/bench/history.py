"""What happened in a run, and checks of what must always hold."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..registry import register

__all__ = ["CHECKS", "Event", "Limits", "find_violations"]


class Event(NamedTuple):
    """Something that happened.

    ``kind`` is decided, load-started, load-ended, freed, gone, host-lost, arrived,
    answered, refused or failed. ``number`` is a replica's or a call's number,
    ``model`` and ``host`` belong to replicas, ``amount`` is memory in MB, or the
    latest time of the outcome for a call that arrived.
    """

    at: float
    kind: str
    number: int
    model: str = ""
    host: str = ""
    amount: float = 0.0
    tier: str = ""


class Limits(NamedTuple):
    """Limits that the checks compare with; memory in MB by host."""

    memory_mb: dict[str, int]
    store_concurrent: int
    end: float


Check = Callable[[Iterable[Event], Limits], list[str]]

CHECKS: dict[str, Check] = {}

_OUTCOMES = frozenset({"answered", "refused", "failed"})


def find_violations(events: list[Event], limits: Limits) -> dict[str, list[str]]:
    """Run every check and return what each one found."""
    return {name: check(events, limits) for name, check in CHECKS.items()}


@register(CHECKS, "replicas-decided")
def check_replicas(events: Iterable[Event], limits: Limits) -> list[str]:
    """Return loads of replicas that were not decided, or that were gone (P1)."""
    open_numbers: set[int] = set()
    found = []
    for event in events:
        if event.kind == "decided":
            open_numbers.add(event.number)
        elif event.kind == "gone":
            open_numbers.discard(event.number)
        elif event.kind == "load-started" and event.number not in open_numbers:
            found.append(f"{event.at:.2f}: replica {event.number} was not decided")
    return found


@register(CHECKS, "memory")
def check_memory(events: Iterable[Event], limits: Limits) -> list[str]:
    """Return times at which engines held more memory than their host has (P2)."""
    used: Counter[str] = Counter()
    found = []
    for event in events:
        if event.kind == "load-started":
            used[event.host] += int(event.amount)
            if used[event.host] > limits.memory_mb[event.host]:
                found.append(f"{event.at:.2f}: {event.host} holds {used[event.host]}")
        elif event.kind == "freed":
            used[event.host] -= int(event.amount)
        elif event.kind == "host-lost":
            used[event.host] = 0
    return found


@register(CHECKS, "store-slots")
def check_slots(events: Iterable[Event], limits: Limits) -> list[str]:
    """Return times at which more remote loads ran than the store serves at once."""
    running: dict[int, str] = {}
    found = []
    for event in events:
        if event.kind == "load-started" and event.tier == "remote":
            running[event.number] = event.host
            if len(running) > limits.store_concurrent:
                found.append(f"{event.at:.2f}: {len(running)} loads at once")
        elif event.kind == "load-ended":
            running.pop(event.number, None)
        elif event.kind == "host-lost":
            lost = [n for n, host in running.items() if host == event.host]
            for number in lost:
                del running[number]
    return found


@register(CHECKS, "answers")
def check_answers(events: Iterable[Event], limits: Limits) -> list[str]:
    """Return calls without exactly one outcome in time (P3)."""
    due: dict[int, float] = {}
    found = []
    for event in events:
        if event.kind == "arrived":
            due[event.number] = event.amount
        elif event.kind in _OUTCOMES:
            latest = due.pop(event.number, None)
            if latest is None:
                found.append(f"{event.at:.2f}: call {event.number} ended twice")
            elif event.at > latest + 1e-6:
                found.append(f"{event.at:.2f}: call {event.number} ended late")
    found += [
        f"call {number} was dropped"
        for number, latest in due.items()
        if latest < limits.end
    ]
    return found
