"""Engine reports that arrive over several paths, late, twice and out of order."""

import random

import pytest

from fleetparts import build_report
from jasminewharf.decisions.enginereports import (
    STALE,
    TAKEN,
    UNKNOWN,
    EngineReportTable,
    extract_load,
)
from jasminewharf.messages.servers import EngineLoad

ADDRESS = "10.0.0.1:80"


def tell(number, life_ms=1_000, models=("m0",), load_number=0):
    return build_report(
        models=list(models), life_ms=life_ms, number=number, load_number=load_number
    )


def tell_load(number, report_number, running=1, life_ms=1_000):
    return EngineLoad(ADDRESS, running, 0, 0, 0.0, 0.0, life_ms, report_number, number)


def test_older_report_over_a_slow_way_changes_nothing():
    """A relay delivers a report after the agent has sent a newer one directly."""
    board = EngineReportTable()
    assert board.update_report(tell(2, models=("m1",)), 5.0) == TAKEN
    assert board.update_report(tell(1), 5.1) == STALE
    assert board.find(ADDRESS).report.models[0].model == "m1"


def test_load_of_a_missed_report_is_not_taken():
    """A load applied to the wrong models would hide the missed report."""
    board = EngineReportTable()
    assert board.update_load(tell_load(1, 1), 1.0) == UNKNOWN
    board.update_report(tell(1), 1.0)
    assert board.update_load(tell_load(2, 2), 1.1) == UNKNOWN
    assert board.update_load(tell_load(2, 1, running=7), 1.1) == TAKEN
    assert board.find(ADDRESS).report.running == 7


def test_older_load_changes_nothing():
    board = EngineReportTable()
    board.update_report(tell(1), 1.0)
    board.update_load(tell_load(5, 1, running=5), 1.5)
    assert board.update_load(tell_load(4, 1, running=4), 1.6) == STALE
    assert board.find(ADDRESS).report.running == 5


def test_report_of_an_older_life_is_refused_while_the_younger_speaks():
    """A relay that was paused sends its queued messages."""
    board = EngineReportTable()
    board.update_report(tell(1, life_ms=2_000), 5.0)
    assert board.update_report(tell(90, life_ms=1_000), 6.0) == STALE
    assert board.update_load(tell_load(90, 90, life_ms=1_000), 6.0) == STALE


def test_clock_set_back_before_a_restart_does_not_silence_the_new_life():
    """The wall clock orders incarnations and may jump by seconds."""
    board = EngineReportTable()
    board.update_report(tell(50, life_ms=9_000), 5.0)
    assert board.update_report(tell(1, life_ms=4_000), 6.0) == STALE
    assert board.update_report(tell(2, life_ms=4_000), 9.0) == TAKEN


def test_load_tells_how_much_less_there_is_to_wait():
    board = EngineReportTable()
    board.update_report(tell(1)._replace(ready_ms=1_000), 1.0)
    board.update_load(tell_load(1, 1), 1.4)
    assert board.find(ADDRESS).report.ready_ms == 600


def test_silent_engines_are_forgotten():
    """Replaced machines must not fill the memory of a relay."""
    board = EngineReportTable()
    board.update_report(tell(1), 1.0)
    board.remove_silent(2.0)
    assert board.find(ADDRESS) is None


class _Agent:
    """Reports its models, in consecutive incarnations."""

    def __init__(self):
        self.life_ms = 1_000
        self.number = self.load_number = 0
        self.last = None

    def report(self):
        self.number += 1
        name = f"m{self.life_ms}-{self.number}"
        self.last = tell(self.number, self.life_ms, (name,), self.load_number)
        return self.last

    def load(self):
        self.load_number += 1
        self.last = self.last._replace(
            running=self.load_number, load_number=self.load_number
        )
        return extract_load(self.last)

    def restart(self, at):
        self.life_ms = int(at * 1_000) + 1_000
        self.number = self.load_number = 0


class _Way:
    """A path that delays, loses and repeats messages but keeps their order."""

    def __init__(self, rng):
        self._rng = rng
        self._queue = []
        self._held_until = 0.0

    def send(self, message, at):
        if self._rng.random() < 0.1:
            return
        self._held_until = max(self._held_until, at + self._rng.random() * 0.4)
        for _ in range(self._rng.choice([1, 1, 2])):
            self._queue.append((self._held_until, at, message))

    def freeze(self, at):
        self._held_until = at + self._rng.uniform(0.5, 2.5)

    def take(self, now):
        due = [item for item in self._queue if item[0] <= now]
        self._queue = [item for item in self._queue if item[0] > now]
        return [(at, message) for _, at, message in due]


def _play(seed):
    """Play one schedule; yield the board and the agent after each step."""
    rng = random.Random(seed)
    agent, board = _Agent(), EngineReportTable()
    ways = [_Way(rng), _Way(rng)]
    first = agent.report()
    for way in ways:
        way.send(first, 0.0)
    for step in range(1, 120):
        now = step * 0.1
        calm = now > 8.0
        if not calm and rng.random() < 0.03:
            agent.restart(now)
            agent.report()
        if not calm and rng.random() < 0.05:
            rng.choice(ways).freeze(now)
        settles = now > 10.0
        message = agent.load() if settles or rng.random() < 0.8 else agent.report()
        for way in ways:
            way.send(message, now)
        for way in ways:
            for at, taken in way.take(now):
                if not isinstance(taken, EngineLoad):
                    board.update_report(taken, at)
                elif board.update_load(taken, at) == UNKNOWN:
                    # The requested report arrives over the path of the load.
                    way.send(agent.last, now)
        yield now, agent, board


@pytest.mark.parametrize("block", range(4))
def test_boards_converge_and_never_go_back(block):
    """2,000 schedules of loss, delay, repetition, freezes and restarts.

    The table has the last change within 2 s, with one message in ten lost.
    """
    for seed in range(block * 500, block * 500 + 500):
        seen = (0, 0, 0)
        for now, agent, board in _play(seed):  # noqa: B007
            posted = board.find(ADDRESS)
            if posted is None:
                continue
            report = posted.report
            mark = (report.life_ms, report.number, report.load_number)
            assert mark >= seen, f"seed {seed} at {now}: {mark} after {seen}"
            seen = mark
        newest = board.find(ADDRESS).report
        assert newest.life_ms == agent.life_ms, f"seed {seed}"
        assert newest.models == agent.last.models, f"seed {seed}"
