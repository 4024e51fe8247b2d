"""Servers that keep their names over an end, and requests that are polled."""

import asyncio

import pytest

from crashingservers import (
    CONTACT_S,
    KINDS,
    LATE_LIMIT,
    SAFE,
    SERVED_PART,
    CrashingServer,
    Kind,
    Load,
    Record,
    ask,
    build_kinds_body,
    list_servers,
)
from fleets import run_with_fleet

_POLLED = Kind("polls", "safe", "polled")


# One server that is back under its name.


@pytest.fixture(scope="module")
def single_servers(tmp_path_factory):
    """Repeat a deadly request at one server of each kind."""
    loads = [Load(kind, servers=1, keeps_name=True) for kind in KINDS]

    async def scenario(fleet):
        runs = [
            load.run(fleet, 14.0, per_s=5, deadly_every=1, calm_s=0.0) for load in loads
        ]
        await asyncio.gather(*runs)

    folder = tmp_path_factory.mktemp("single")
    body = build_kinds_body()
    run_with_fleet(scenario, folder, body=body, **list_servers(loads))
    return {load.kind: load for load in loads}


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.name)
def test_ends_of_a_server_that_keeps_its_name_and_start_time_count(
    single_servers, kind
):
    """Three ends of one name and start time counted as one end of one server."""
    load = single_servers[kind]
    assert len(load.record.list_ends(load.deadly)) >= 1
    assert len(load.record.list_late(load.deadly)) <= LATE_LIMIT


# Requests that are polled.


class Polls:
    """The same GET of two callers, beside a deadly one and then deadly itself.

    Attributes:
        beside: Outcomes at servers that a neighbour's request ends.
        turned: Outcomes at the servers that the first caller's GET ends from
            ``turned_at`` on.
    """

    _PER_S = 25
    _CALM_S = 5.0
    _DURATION_S = 15.0

    def __init__(self):
        self.load = Load(SAFE)
        self.calls = [SAFE.build_call("poll", key=key) for key in ("key-1", "key-9")]
        self.polls = [_POLLED.build_call("poll", key=key) for key in ("key-1", "key-9")]
        self.record = Record()
        self.servers = [
            CrashingServer(f"i-polled{n}", _POLLED, self.record) for n in range(3)
        ]
        self.beside, self.turned = [], []
        self.turned_at = 0.0

    async def run(self, fleet):
        await asyncio.gather(
            self.load.run(
                fleet, self._DURATION_S, per_s=12, deadly_every=4, calm_s=self._CALM_S
            ),
            *(self._poll(fleet, call, self.beside) for call in self.calls),
            *(self._poll(fleet, call, self.turned) for call in self.polls),
            self._turn(),
        )

    async def _turn(self):
        await asyncio.sleep(self._CALM_S)
        self.turned_at = asyncio.get_running_loop().time()
        self.record.deadly.add(self.polls[0])

    async def _poll(self, fleet, call, outcomes):
        async def ask_once(entry):
            outcomes.append(await ask(fleet, call, entry))

        tasks = []
        for number in range(int(self._DURATION_S * self._PER_S)):
            entry = number % len(fleet.entries)
            tasks.append(asyncio.create_task(ask_once(entry)))
            await asyncio.sleep(1 / self._PER_S)
        await asyncio.gather(*tasks)


@pytest.fixture(scope="module")
def polls(tmp_path_factory):
    polls = Polls()
    body = build_kinds_body([*KINDS, _POLLED])
    desks = [*polls.load.servers, *polls.servers]
    folder = tmp_path_factory.mktemp("polls")
    run_with_fleet(polls.run, folder, 3, body=body, engines=[], desks=desks)
    return polls


def measure_served(outcomes, begin):
    sent = [outcome for outcome in outcomes if outcome.at >= begin]
    assert len(sent) > 100
    return sum(outcome.status == 200 for outcome in sent) / len(sent)


def test_polled_request_is_not_refused_for_its_neighbours(polls):
    """A GET that is asked for all the time is at each end, and was refused for it."""
    ends = polls.load.record.list_ends(polls.load.deadly)
    assert len(ends) >= 1
    assert [o for o in polls.beside if o.error_type == "prompt_refused"] == []
    settled = ends[:3][-1].at + 2 * CONTACT_S
    assert measure_served(polls.beside, settled) >= SERVED_PART


def test_polled_request_that_turns_bad_is_found_in_three_ends(polls):
    """Its earlier answers spoke for it, so that it needed more ends."""
    assert len(polls.record.list_ends(polls.polls[0])) >= 1
    assert len(polls.record.list_late(polls.polls[0])) <= LATE_LIMIT


def test_another_caller_of_a_polled_request_is_served(polls):
    """The same GET of another tenant was taken for the one that ends servers."""
    ends = polls.record.list_ends(polls.polls[0])
    settled = ends[:3][-1].at + 2 * CONTACT_S
    others = [o for o in polls.turned if o.call == polls.polls[1]]
    assert measure_served(others, settled) >= SERVED_PART
