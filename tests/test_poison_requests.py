"""Whole requests that crash each server which begins to run them, at all entries."""

import asyncio
import itertools

import pytest

from crashingservers import (
    CONTACT_S,
    KINDS,
    LATE_LIMIT,
    SAFE,
    SERVED_PART,
    Load,
    build_kinds_body,
    list_servers,
)
from fleets import run_with_fleet

_DURATION_S = 15.0
_PER_S = 15
# Of each service's requests, one of these is the deadly one; and whether its servers
# come back under their names.
_PLAYS = {"0.2": (5, False), "0.05": (20, True)}


@pytest.fixture(scope="module", params=_PLAYS)
def loads(request, tmp_path_factory):
    """Play loads of all kinds at once, each with its own servers."""
    every, keeps_name = _PLAYS[request.param]
    loads = [Load(k, keeps_name=keeps_name, ends_after_s=0.1) for k in KINDS]

    async def scenario(fleet):
        runs = [
            load.run(fleet, _DURATION_S, per_s=_PER_S, deadly_every=every)
            for load in loads
        ]
        await asyncio.gather(*runs)

    parts = list_servers(loads)
    folder = tmp_path_factory.mktemp("poison")
    run_with_fleet(scenario, folder, 3, body=build_kinds_body(), **parts)
    return {load.kind: load for load in loads}


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.name)
def test_deadly_request_is_kept_from_servers(loads, kind):
    """The same request went on ending servers, at all entries, for ever."""
    load = loads[kind]
    assert len(load.record.list_ends(load.deadly)) >= 1
    assert len(load.record.list_late(load.deadly)) <= LATE_LIMIT


@pytest.mark.parametrize("subject", [0, 1])
@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.name)
def test_sound_requests_are_served_after_the_third_end(loads, kind, subject):
    """The path or the prompt's parts of a deadly request were kept from servers."""
    load = loads[kind]
    ends = load.record.list_ends(load.deadly)
    assert len(ends) >= 1
    settled = ends[:3][-1].at + 2 * CONTACT_S
    assert settled < load.ended - CONTACT_S
    before = load.measure_served(load.began, ends[0].at, subject=subject)
    after = load.measure_served(settled, load.ended, subject=subject)
    assert after >= before * SERVED_PART


def test_service_of_three_servers_is_never_down_as_a_whole(loads):
    """The same request waited at several entries and ended each server that was back.

    Only the first ends, of which nobody knows yet, may overlap.
    """
    load = loads[SAFE]
    ends = load.record.list_ends(load.deadly)
    whole = [end.at for end in ends[3:] if load.record.count_down(end.at) >= 3]
    assert whole == []


def test_one_server_at_a_time_runs_a_request_that_has_ended_one(loads):
    """Each entry tried the request anew, at another server."""
    load = loads[SAFE]
    ends = load.record.list_ends(load.deadly)
    known_at = ends[0].at + CONTACT_S
    runs = [a.at for a in load.record.arrivals if a.is_run and a.at > known_at]
    # A server runs the request for this long before it ends.
    pairs = itertools.pairwise(runs)
    assert [later for earlier, later in pairs if later - earlier < 0.1] == []


def test_other_callers_are_served_from_the_first_end_on(loads):
    """Servers that were on trial took the requests of all others along."""
    load = loads[SAFE]
    ends = load.record.list_ends(load.deadly)
    before = load.measure_served(load.began, ends[0].at)
    after = load.measure_served(ends[0].at, load.ended)
    assert after >= before * SERVED_PART
