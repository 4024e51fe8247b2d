"""Checks of what a deadly request may lead to while processes are struck."""

import math
from typing import NamedTuple

from crashingservers import LATE_LIMIT, SERVED_PART, list_late

# Of an entry that runs again, until it serves.
_RECOVERED_S = 3.0


class Strike(NamedTuple):
    """A span in which an entry was ended or frozen, on the event loop's clock."""

    entry: str
    begin: float
    end: float
    is_freeze: bool = False


class Day(NamedTuple):
    """What is known of a play: all of one service.

    ``began_ids`` are the identifiers of all requests that servers began to run.
    """

    deadly: object
    arrivals: list
    ends: list
    outcomes: list
    began_ids: set
    strikes: list


def find_entry(request_id):
    return request_id.partition("-")[0]


def find_breaches(day, contact_s, settled_s):
    """Return lines that tell which bounds a play broke.

    An entry that was frozen may send what it had begun until the contact time after
    it. Sound requests are looked at from ``settled_s`` after the third end on, and at
    entries that were not struck nearby.
    """
    return [
        *_find_late(day, contact_s),
        *_find_run_again(day),
        *_find_unserved(day, settled_s),
    ]


def _find_late(day, contact_s):
    late = [
        arrival
        for arrival in list_late(day.arrivals, day.ends, day.deadly, contact_s)
        if not any(
            strike.is_freeze
            and strike.entry == find_entry(arrival.request_id)
            and strike.begin <= arrival.at <= strike.end + contact_s
            for strike in day.strikes
        )
    ]
    if len(late) <= LATE_LIMIT:
        return []
    return [f"{len(late)} late sends of {day.deadly.target}: {late[:5]}"]


def _find_run_again(day):
    not_run = {o.request_id for o in day.outcomes if o.is_refused}
    return [f"{found} ran and was not run" for found in not_run & day.began_ids]


def _find_unserved(day, settled_s):
    ended = sorted(end.at for end in day.ends if end.call == day.deadly)
    if not ended:
        return ["no server ended"]
    before = _measure_served(day, 0.0, ended[0])
    after = _measure_served(day, ended[:3][-1] + settled_s, math.inf)
    if after >= before * SERVED_PART:
        return []
    return [f"{after:.3f} of sound requests served, {before:.3f} before"]


def _measure_served(day, begin, end):
    sent = [
        outcome
        for outcome in day.outcomes
        if outcome.call != day.deadly and begin <= outcome.at < end
        if not any(_is_near(outcome, strike) for strike in day.strikes)
    ]
    return sum(outcome.status == 200 for outcome in sent) / max(len(sent), 1)


def _is_near(outcome, strike):
    """Whether a strike may be why a request was not served."""
    if strike.entry != find_entry(outcome.request_id):
        return False
    ended_at = outcome.at + outcome.duration_s
    return outcome.at <= strike.end + _RECOVERED_S and strike.begin <= ended_at
