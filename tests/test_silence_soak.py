"""Requests end whole while sound servers fall silent and configurations change.

The callers of test_change_soak.py; its servers are sound here, but one after the other
writes nothing for up to 1.9 s, not even its report. ``JASMINEWHARF_SOAK_SEEDS=10-60``
plays these seeds in place of the fixed ones.
"""

import asyncio
import collections
import json
import random

import pytest

import test_change_soak
from fleets import run_with_fleet
from jasminewharf import events
from processfleet import read_seeds
from test_change_soak import Sent, Soak, SoakReplica, Work, find_breaches, now

_FIXED_SEEDS = "1-2"
_SILENCES_S = (0.4, 1.2, 1.6, 1.9)
# Longer than what a request needs that a silence has held up.
_SOUND_S = 1.2
# Longer than two silences and what a request needs besides.
_DEADLINE_S = 5.0


def find_ended_by_silence(requests, works):
    """Return the requests that a sound server would have answered."""
    ran = {work.request_id for work in works if work.fault != "full"}
    breaches = []
    for sent in requests:
        status = sent.note[:3]
        if sent.outcome == "broken" or status in ("500", "502", "504"):
            breaches.append(f"ended although its server is sound: {sent}")
        elif status == "503" and sent.request_id in ran:
            breaches.append(f"said not to have run: {sent}")
    return breaches


class QuietReplica(SoakReplica):
    """A sound replica that writes nothing while it is not awake."""

    def __init__(self, *arguments, rng):
        super().__init__(*arguments, rng=rng)
        self.awake = asyncio.Event()
        self.awake.set()

    async def answer(self, request, responder):
        await self.awake.wait()
        await super().answer(request, responder)

    def _choose_fault(self, place):
        if self._random.random() < 0.05:
            return "full"
        return self.answer_soundly

    async def answer_soundly(self, responder, signed):
        """Write a whole answer, with any silence inside it."""
        if self.models is None:
            await asyncio.sleep(self._random.choice((0.01, 0.1, 0.4)))
            await self.awake.wait()
            responder.respond(200, signed, b"ok")
            return
        first = int(self.heads[-1].get("last-event-id", 0)) + 1
        pause_s = self._random.choice((0.02, 0.08))
        responder.start(200, [*signed, ("content-type", "text/event-stream")])
        for number in range(first, 9):
            await self.awake.wait()
            await responder.write(f"id: {number}\ndata: x{number}\n\n".encode())
            await asyncio.sleep(pause_s)
        responder.finish()


class SilenceSoak(Soak):
    """Silences and changes of one seed."""

    def _build_body(self):
        body = json.loads(super()._build_body())
        for route in body["routes"]:
            route["timeoutMs"] = max(route["timeoutMs"], int(_DEADLINE_S * 1000))
        return json.dumps(body).encode()

    async def _change_servers(self, until):
        """Have one server after the other fall silent."""
        # Most streams have one engine only, which falls silent most often.
        replicas = [*self.fleet.engines, self.fleet.engines[0], *self.fleet.desks]
        while now() < until - _SOUND_S:
            await asyncio.sleep(_SOUND_S)
            server = self._random.choice(replicas)
            server.awake.clear()
            await asyncio.sleep(self._random.choice(_SILENCES_S))
            server.awake.set()

    async def _stop_entry(self, until):
        """Leave the entries alone: a stop may cut what is left at its end."""


def build_parts(seed):
    rng = random.Random(f"servers of {seed}")
    engines = [
        QuietReplica("127.0.0.1", "i-e1", "llm", ["m0", "m1"], rng=rng),
        QuietReplica("127.0.0.1", "i-e2", "llm", ["m0"], rng=rng),
    ]
    desks = [
        QuietReplica("127.0.0.1", f"i-d{number}", "desk", rng=rng) for number in (1, 2)
    ]
    return {"engines": engines, "desks": desks}


@pytest.mark.timeout(90)
@pytest.mark.parametrize("seed", read_seeds(_FIXED_SEEDS))
def test_requests_outlast_the_silence_of_their_servers(
    tmp_path, seed, caplog, monkeypatch
):
    """A request was cut or failed because its server was silent for a while."""
    monkeypatch.setattr(test_change_soak, "_DEADLINE_S", _DEADLINE_S)

    async def scenario(fleet):
        soak = SilenceSoak(fleet, seed)
        await soak.play()
        works = [w for fake in (*fleet.engines, *fleet.desks) for w in fake.works]
        breaches = find_ended_by_silence(soak.requests, works)
        breaches += find_breaches(soak.requests, works) + soak.closed_early
        assert not breaches, "\n".join(breaches)
        outcomes = collections.Counter(sent.outcome for sent in soak.requests)
        assert outcomes["answered"] > 30 and outcomes["left"] > 10
        assert min(len(fake.works) for fake in (*fleet.engines, *fleet.desks)) > 0

    run_with_fleet(scenario, tmp_path, **build_parts(seed))
    faults = events.TASK_FAILED, events.HANDLER_FAILED
    assert [r for r in caplog.records if getattr(r, "event", None) in faults] == []


@pytest.mark.parametrize(
    ("sent", "fault"),
    [
        (Sent("x", 1.0, "broken", 2.6, "200 "), "answer_soundly"),
        (Sent("x", 1.0, "refused", 4.0, "504 "), "answer_soundly"),
        (Sent("x", 1.0, "refused", 2.6, "503 "), "answer_soundly"),
    ],
)
def test_checker_finds_what_silence_has_ended(sent, fault):
    """A checker that finds nothing would pass any soak."""
    work = Work("x", "s", 1.0, 2.0, fault)
    assert len(find_ended_by_silence([sent], [work])) == 1


def test_checker_passes_requests_that_have_not_run():
    """A checker that refuses everything would pass the planted faults too."""
    sent = [Sent("x", 1.0, "refused", 1.1, "503 "), Sent("y", 1.0, "answered", 1.1)]
    assert find_ended_by_silence(sent, [Work("x", "s", 1.0, 1.0, "full")]) == []
