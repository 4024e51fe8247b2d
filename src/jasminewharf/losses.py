"""Where requests were lost: an account of the log lines of a run.

Read from the lines of entries and agents; lines of other events and text before a
line's JSON object are passed over.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from . import events
from .logreading import read_lines

__all__ = [
    "Losses",
    "ModelLoss",
    "OrderUse",
    "OutcomeCount",
    "UnservedModel",
    "WaitBand",
    "gather_losses",
    "read_events",
    "render_losses",
]

# Models asked for most that are counted apart from the rest.
_BUSIEST = 8
# Unserved models that the text shows, the most asked for first.
_UNSERVED_SHOWN = 20
# Upper ends of the bands of told waits, in ms; the last one is open.
_BANDS_MS = (1_000, 2_000, 4_000, 8_000)
_ANSWERED = "answered"
_WANTED_EVENTS = frozenset(
    event.number
    for event in (
        events.REQUEST_ENDED,
        events.REQUEST_WAITS,
        events.ENGINE_ORDERED,
        events.ENGINE_CHANGED,
        events.ENGINE_FOUND,
        events.LOAD_HELD_BACK,
    )
)


class OutcomeCount(NamedTuple):
    """Requests of a route that ended in one way."""

    route: str
    outcome: str
    requests: int


class ModelLoss(NamedTuple):
    """Tries for a model, and how many were answered; the busiest models come first."""

    model: str
    tries: int
    answered: int
    first_wait_s: float
    first_order_s: float


class UnservedModel(NamedTuple):
    """A model, or a model and adapter, of which no request was answered.

    ``tries`` came over ``span_s`` seconds. ``copies`` engines had the model in memory
    or on disk when their agents first saw them. ``orders`` loads of it were given;
    ``held_back`` counts, by reason, how often an agent began to hold one back.
    """

    name: str
    tries: int
    span_s: float
    copies: int
    orders: int
    held_back: dict[str, int]


class WaitBand(NamedTuple):
    """Waits that were told alike, and how long they were; all in ms.

    ``refused`` of the ``requests`` ended without a server.
    """

    told_from: int
    requests: int
    refused: int
    median: int
    ninetieth: int


class OrderUse(NamedTuple):
    """Engines' time by order, in seconds."""

    order: str
    tier: str
    reason: str
    orders: int
    seconds: float


class Losses(NamedTuple):
    """The account; times count from the first line."""

    outcomes: list[OutcomeCount]
    models: list[ModelLoss]
    unserved: list[UnservedModel]
    waits: list[WaitBand]
    orders: list[OrderUse]


def read_events(paths: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the lines that count, as they stand in the files.

    Raises:
        OSError: If a file cannot be read.
    """
    return read_lines(paths, _WANTED_EVENTS)


def gather_losses(lines: Iterable[dict[str, Any]]) -> Losses:
    """Return the account of a run's lines, in any order."""
    ordered = sorted(lines, key=lambda line: line["time"])
    kinds: dict[int, list[dict[str, Any]]] = defaultdict(list)
    for line in ordered:
        kinds[line["event"]].append(line)
    start = ordered[0]["time"] if ordered else 0.0
    ended = kinds[events.REQUEST_ENDED.number]
    waits = kinds[events.REQUEST_WAITS.number]
    given = kinds[events.ENGINE_ORDERED.number]
    changes = kinds[events.ENGINE_CHANGED.number]
    return Losses(
        _count_outcomes(ended),
        _count_models(ended, waits, given, start),
        _list_unserved(
            ended,
            kinds[events.ENGINE_FOUND.number],
            given,
            kinds[events.LOAD_HELD_BACK.number],
        ),
        _compare_waits(ended, waits),
        _sum_orders(given, changes),
    )


def _count_outcomes(ended: list[dict[str, Any]]) -> list[OutcomeCount]:
    counts = Counter((line.get("route", ""), line["outcome"]) for line in ended)
    return [OutcomeCount(*key, n) for key, n in sorted(counts.items())]


def _count_models(
    ended: list[dict[str, Any]],
    waits: list[dict[str, Any]],
    given: list[dict[str, Any]],
    start: float,
) -> list[ModelLoss]:
    tries = Counter(line["model"] for line in ended if line.get("model"))
    answered = Counter(line["model"] for line in ended if line["outcome"] == _ANSWERED)
    first_wait = _find_first(waits)
    first_order = _find_first(line for line in given if line.get("loads"))
    return [
        ModelLoss(
            model,
            count,
            answered[model],
            first_wait.get(model, start) - start,
            first_order.get(model, start) - start,
        )
        for model, count in tries.most_common()
    ]


def _list_unserved(
    ended: list[dict[str, Any]],
    found: list[dict[str, Any]],
    given: list[dict[str, Any]],
    held_back: list[dict[str, Any]],
) -> list[UnservedModel]:
    tries: dict[str, list[float]] = defaultdict(list)
    served: set[str] = set()
    for line in ended:
        for name in _name_asked(line):
            tries[name].append(line["time"])
            if line["outcome"] == _ANSWERED:
                served.add(name)
    copies = Counter(
        model
        for line in found
        for model in {*line["models"], *line["in_memory"], *line["on_disk"]}
    )
    orders = Counter(_name_asked(line)[-1] for line in given if line["loads"])
    reasons: dict[str, Counter[str]] = defaultdict(Counter)
    for line in held_back:
        reasons[line["model"]][line["reason"]] += 1
    unserved = []
    for name in tries.keys() - served:
        model = name.partition("/")[0]
        times = tries[name]
        span_s = round(times[-1] - times[0], 1)
        counts = dict(reasons[model].most_common())
        unserved.append(
            UnservedModel(name, len(times), span_s, copies[model], orders[name], counts)
        )
    return sorted(unserved, key=lambda item: (-item.tries, item.name))


def _name_asked(line: dict[str, Any]) -> list[str]:
    """Return the model that a line names, and the model with its adapter."""
    model, adapter = line.get("model", ""), line.get("adapter", "")
    if not model:
        return []
    return [model, f"{model}/{adapter}"] if adapter else [model]


def _find_first(lines: Iterable[dict[str, Any]]) -> dict[str, float]:
    first: dict[str, float] = {}
    for line in lines:
        if not line.get("adapter"):
            first.setdefault(line["model"], line["time"])
    return first


def _compare_waits(
    ended: list[dict[str, Any]], waits: list[dict[str, Any]]
) -> list[WaitBand]:
    ends = {line["request_id"]: line for line in ended}
    bands: dict[int, list[tuple[int, bool]]] = defaultdict(list)
    for line in waits:
        end = ends.get(line["request_id"])
        if end is not None:
            told = max((b for b in (0, *_BANDS_MS) if b <= line["ready_ms"]), default=0)
            real = end.get("waited_ms", 0)
            bands[told].append((real, end["sent"] == 0))
    return [_build_band(told, found) for told, found in sorted(bands.items())]


def _build_band(told: int, found: list[tuple[int, bool]]) -> WaitBand:
    served = sorted(real for real, is_refused in found if not is_refused)
    return WaitBand(
        told,
        len(found),
        len(found) - len(served),
        _pick(served, 0.5),
        _pick(served, 0.9),
    )


def _pick(ordered: Sequence[int], share: float) -> int:
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)] if ordered else 0


def _sum_orders(
    given: list[dict[str, Any]], changes: list[dict[str, Any]]
) -> list[OrderUse]:
    """Sum the time from each order for a model to the engine's next change."""
    seconds: dict[tuple[str, str, str], list[float]] = defaultdict(list)
    changed: dict[str, list[float]] = defaultdict(list)
    for line in changes:
        changed[line["node"]].append(line["time"])
    for line in given:
        if line.get("adapter"):
            continue
        later = (at for at in changed[line["node"]] if at > line["time"])
        took_s = next(later, line["time"]) - line["time"]
        order = "load" if line["loads"] else "unload"
        seconds[(order, line.get("tier", ""), line["reason"])].append(took_s)
    return [
        OrderUse(*key, len(times), round(sum(times), 1))
        for key, times in sorted(seconds.items())
    ]


def render_losses(losses: Losses) -> str:
    """Return the account as text."""
    busiest, rest = losses.models[:_BUSIEST], losses.models[_BUSIEST:]
    lines = ["requests by route and outcome"]
    lines += [f"  {o.route:16} {o.outcome:24} {o.requests:6}" for o in losses.outcomes]
    lines.append("models: tries, answered, first wait s, first order s")
    lines += [
        f"  {m.model:16} {m.tries:6} {m.answered:6} "
        f"{m.first_wait_s:7.1f} {m.first_order_s:7.1f}"
        for m in busiest
    ]
    tries, answered = sum(m.tries for m in rest), sum(m.answered for m in rest)
    lines.append(f"  {f'{len(rest)} others':16} {tries:6} {answered:6}")
    lines.append(
        "never answered: tries, over s, copies found, loads ordered, held back"
    )
    for u in losses.unserved[:_UNSERVED_SHOWN]:
        held_back = " ".join(f"{reason}:{n}" for reason, n in u.held_back.items())
        lines.append(
            f"  {u.name:16} {u.tries:6} {u.span_s:7.1f} {u.copies:4} {u.orders:4} "
            f"{held_back}"
        )
    if len(losses.unserved) > _UNSERVED_SHOWN:
        lines.append(f"  and {len(losses.unserved) - _UNSERVED_SHOWN} more")
    lines.append("waits told from ms: requests, refused, real median ms, 90th ms")
    lines += [
        f"  {w.told_from:6} {w.requests:6} {w.refused:6} {w.median:7} {w.ninetieth:7}"
        for w in losses.waits
    ]
    lines.append("orders: tier, reason, number, seconds of engines")
    lines += [
        f"  {u.order:7} {u.tier:7} {u.reason:10} {u.orders:5} {u.seconds:8.1f}"
        for u in losses.orders
    ]
    return "\n".join(lines)
