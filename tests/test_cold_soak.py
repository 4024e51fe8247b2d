"""Engines turn cold while real processes are killed, stopped and frozen.

``JASMINEWHARF_SOAK_SEEDS=10-60`` plays these seeds in place of the fixed ones.
"""

import asyncio
import json
import random

import pytest

from fleets import build_body, pick_base
from jasminewharf.bench.cold_model import find_fullest_second
from processfleet import read_seeds
from processsoak import (
    ZONE,
    Soak,
    SoakFleet,
    SoakServer,
    build_parts,
    find_broken_promises,
    find_lost,
    now,
)

_FIXED_SEEDS = "1"
_PLAY_S = 12.0
_PER_S = 6.0
_START_S = 2.0
_BOUND = _PER_S * 1.5 + 5
_RULE = {"coldStartS": _START_S, "coldPerS": _PER_S}


class ColdServer(SoakServer):
    """An engine that turns cold, and says so in its report, answers and the list.

    Attributes:
        turns: When it turned cold.
        taken: When requests came that it did not answer with 421.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.turns = []
        self.taken = []

    def turn_cold(self):
        self.turns.append(now())

    def _say_cold(self):
        left_s = self.turns[-1] + _START_S - now() if self.turns else 0.0
        self.cold_reported = self.cold_listed = int(max(left_s, 0.0) * 1_000)
        self.cold_header = str(self.cold_reported)

    def describe(self):
        self._say_cold()
        return super().describe()

    def _report(self, responder):
        self._say_cold()
        super()._report(responder)

    async def _serve(self, request, responder):
        self._say_cold()
        fields = dict(request.headers)
        model = fields.get("x-model", "").partition("/")[0]
        if fields.get("x-expect-instance", self.name) == self.name and (
            model in self.models
        ):
            self.taken.append(now())
        await super()._serve(request, responder)

    def find_overfull(self):
        """Return the turns after which too many requests came in a second."""
        spans = [(at, at + _START_S) for at in self.turns]
        counts = [
            (at, find_fullest_second([t for t in self.taken if at <= t <= until]))
            for at, until in spans
        ]
        return [(at, count) for at, count in counts if count > _BOUND]


class ColdSoak(Soak):
    """A soak whose engines turn cold, one by one and together."""

    engine_service = _RULE

    async def disturb_servers(self, until):
        rng = random.Random(f"turns of {self.seed}")
        while now() < until:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            for engine in rng.sample(self.fleet.engines, rng.choice((1, 1, 2))):
                engine.turn_cold()


def build_cold_parts(seed):
    parts = build_parts(seed, ZONE)
    rng = random.Random(f"cold servers of {seed}")
    parts["engines"] = [
        ColdServer("127.0.0.1", "i-e1", "llm", ["m0", "m1"], rng=rng),
        ColdServer("127.0.0.1", "i-e2", "llm", ["m0", "m2"], rng=rng),
    ]
    parts["engines"][1].zone = ZONE
    services = json.loads(parts["body"])["services"]
    services[0].update(_RULE)
    routes = json.loads(parts["body"])["routes"]
    parts["body"] = build_body(routes=routes, services=services)
    return parts


@pytest.mark.timeout(300)
@pytest.mark.parametrize("seed", read_seeds(_FIXED_SEEDS))
def test_cold_engines_get_few_requests_while_processes_fail(tmp_path, seed):
    """Entries that were restarted or cut off from the owner sent as they liked."""

    async def main():
        parts = build_cold_parts(seed)
        fleet = SoakFleet(pick_base(), tmp_path / "fleet", 3, **parts)
        try:
            await fleet.start()
            soak = ColdSoak(fleet, seed)
            await soak.play(_PLAY_S)
        finally:
            await fleet.stop()
        for engine in fleet.engines:
            assert len(engine.turns) > 0
            assert engine.find_overfull() == []
        assert sum(len(engine.taken) for engine in fleet.engines) > 50
        assert find_lost(soak.requests, soak.works, fleet.strikes) == []
        assert find_broken_promises(soak.requests, soak.works, "orders-") == []
        for path in fleet.folder.glob("*.log"):
            assert "Traceback" not in path.read_text(), path

    asyncio.run(main())
